package daemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

func (c *Loader) updateSwarms(swarms []*wire.Swarm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, swarm := range swarms {
		digest, err := weights.DigestFromBytes(swarm.Manifest)
		if err != nil {
			continue
		}
		if job, ok := c.jobs[digest]; ok {
			job.updateSwarm(swarm)
		}
	}
}

func (j *versionJob) updateSwarm(swarm *wire.Swarm) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.neighbours = j.addPeers(swarm.Neighbours)
	if swarm.DrawersHash != j.originFetchersHash {
		j.originFetchers, j.originFetchersHash = j.addPeers(swarm.Drawers), swarm.DrawersHash
	}
	j.hasSwarm = true
	select {
	case j.swarmUpdated <- struct{}{}:
	default:
	}
}

// addPeers remembers the peers' addresses.
func (j *versionJob) addPeers(told []*wire.SwarmPeer) []weights.Peer {
	peers := make([]weights.Peer, 0, len(told))
	for _, peer := range told {
		j.addresses[peer.Box] = member.Address(peer.Address)
		peers = append(peers, weights.Peer{Box: peer.Box, Remote: peer.Far})
	}
	return peers
}

func (j *versionJob) address(box string) (member.Address, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	address, ok := j.addresses[box]
	return address, ok
}

// fetchManifest asks neighbours first. The source is asked at once by the first
// in the order of drawers, later by the others, so that it gives few copies.
func (c *Loader) fetchManifest(ctx context.Context, job *versionJob) (*weights.Manifest, error) {
	if manifest, ok := c.options.Store.Manifest(job.pinned.Manifest); ok {
		return manifest, nil
	}
	started := c.options.Clock.Now()
	for ctx.Err() == nil {
		if manifest, ok := c.manifestFromNeighbours(ctx, job); ok {
			return manifest, nil
		}
		if rank, known := job.originFetchRank(string(c.options.Self)); known {
			due := started.Add(time.Duration(rank) * c.options.Picker.RankDelay)
			if !c.options.Clock.Now().Before(due) {
				return c.manifestFromSource(ctx, job)
			}
		}
		select {
		case <-ctx.Done():
		case <-job.swarmUpdated:
		case <-c.options.Clock.After(holdingsInterval):
		}
	}
	return nil, ctx.Err()
}

// originFetchRank is the box's place in the order of drawers; known is false until some
// monitor has told who they are.
func (j *versionJob) originFetchRank(self string) (rank int, known bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	boxes := make([]string, 0, len(j.originFetchers))
	for _, drawer := range j.originFetchers {
		boxes = append(boxes, drawer.Box)
	}
	ordered := member.Rank(j.pinned.Manifest.String(), boxes, len(boxes))
	if at := slices.Index(ordered, self); at >= 0 {
		return at, true
	}
	return len(ordered), j.hasSwarm
}

func (c *Loader) manifestFromNeighbours(ctx context.Context, job *versionJob) (*weights.Manifest, bool) {
	for _, address := range job.neighbourAddresses() {
		callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		answer, err := wire.NewDRPCChunksClient(c.options.Peers.Conn(address)).
			Manifest(callCtx, &wire.ManifestRequest{Manifest: job.pinned.Manifest[:]})
		cancel()
		if err != nil || len(answer.Content) == 0 {
			continue
		}
		manifest, err := weights.Parse(answer.Content, job.pinned.Manifest)
		if err == nil {
			return manifest, true
		}
		c.options.Metrics.chunkFaults.WithLabelValues("peer", "manifest").Inc()
		c.options.Log.Warn().Str("peer", string(address)).Err(err).Msg("manifest refused")
	}
	return nil, false
}

func (c *Loader) manifestFromSource(ctx context.Context, job *versionJob) (*weights.Manifest, error) {
	content, err := readManifest(ctx, c.options.Sources, job.pinned.Model, job.pinned.Version)
	if err != nil {
		return nil, fmt.Errorf("reading the manifest: %w", err)
	}
	manifest, err := weights.Parse(content, job.pinned.Manifest)
	if err != nil {
		c.options.Metrics.chunkFaults.WithLabelValues("source", "manifest").Inc()
		return nil, err
	}
	return manifest, nil
}

func (j *versionJob) neighbourAddresses() []member.Address {
	j.mu.Lock()
	defer j.mu.Unlock()
	addresses := make([]member.Address, 0, len(j.neighbours))
	for _, peer := range j.neighbours {
		addresses = append(addresses, j.addresses[peer.Box])
	}
	return addresses
}

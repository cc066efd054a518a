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

func (c *Copier) takeSwarms(swarms []*wire.Swarm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, swarm := range swarms {
		digest, err := weights.DigestFromBytes(swarm.Manifest)
		if err != nil {
			continue
		}
		if job, ok := c.copies[digest]; ok {
			job.takeSwarm(swarm)
		}
	}
}

func (j *copyJob) takeSwarm(swarm *wire.Swarm) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.neighbours = j.takePeers(swarm.Neighbours)
	if swarm.DrawersHash != j.drawerHash {
		j.drawers, j.drawerHash = j.takePeers(swarm.Drawers), swarm.DrawersHash
	}
	j.swarmed = true
	select {
	case j.updated <- struct{}{}:
	default:
	}
}

// takePeers remembers the peers' addresses.
func (j *copyJob) takePeers(told []*wire.SwarmPeer) []weights.Peer {
	peers := make([]weights.Peer, 0, len(told))
	for _, peer := range told {
		j.addresses[peer.Box] = member.Address(peer.Address)
		peers = append(peers, weights.Peer{Box: peer.Box, Remote: peer.Far})
	}
	return peers
}

func (j *copyJob) address(box string) (member.Address, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	address, ok := j.addresses[box]
	return address, ok
}

// fetchManifest asks neighbours first. The source is asked at once by the first
// in the order of drawers, later by the others, so that it gives few copies.
func (c *Copier) fetchManifest(ctx context.Context, job *copyJob) (*weights.Manifest, error) {
	if manifest, ok := c.options.Store.Manifest(job.weights.Manifest); ok {
		return manifest, nil
	}
	started := c.options.Clock.Now()
	for ctx.Err() == nil {
		if manifest, ok := c.manifestFromNeighbours(ctx, job); ok {
			return manifest, nil
		}
		if rank, known := job.rank(string(c.options.Self)); known {
			due := started.Add(time.Duration(rank) * c.options.Picker.RankDelay)
			if !c.options.Clock.Now().Before(due) {
				return c.manifestFromSource(ctx, job)
			}
		}
		select {
		case <-ctx.Done():
		case <-job.updated:
		case <-c.options.Clock.After(holdingsInterval):
		}
	}
	return nil, ctx.Err()
}

// rank is the box's place in the order of drawers; known is false until some
// monitor has told who they are.
func (j *copyJob) rank(self string) (rank int, known bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	boxes := make([]string, 0, len(j.drawers))
	for _, drawer := range j.drawers {
		boxes = append(boxes, drawer.Box)
	}
	ordered := member.Rank(j.weights.Manifest.String(), boxes, len(boxes))
	if at := slices.Index(ordered, self); at >= 0 {
		return at, true
	}
	return len(ordered), j.swarmed
}

func (c *Copier) manifestFromNeighbours(ctx context.Context, job *copyJob) (*weights.Manifest, bool) {
	for _, address := range job.neighbourAddresses() {
		callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		answer, err := wire.NewDRPCChunksClient(c.options.Peers.Conn(address)).
			Manifest(callCtx, &wire.ManifestRequest{Manifest: job.weights.Manifest[:]})
		cancel()
		if err != nil || len(answer.Content) == 0 {
			continue
		}
		manifest, err := weights.Parse(answer.Content, job.weights.Manifest)
		if err == nil {
			return manifest, true
		}
		c.options.Metrics.chunkFaults.WithLabelValues("peer", "manifest").Inc()
		c.options.Log.Warn().Str("peer", string(address)).Err(err).Msg("manifest refused")
	}
	return nil, false
}

func (c *Copier) manifestFromSource(ctx context.Context, job *copyJob) (*weights.Manifest, error) {
	content, err := readManifest(ctx, c.options.Sources, job.weights.Model, job.weights.Version)
	if err != nil {
		return nil, fmt.Errorf("reading the manifest: %w", err)
	}
	manifest, err := weights.Parse(content, job.weights.Manifest)
	if err != nil {
		c.options.Metrics.chunkFaults.WithLabelValues("source", "manifest").Inc()
		return nil, err
	}
	return manifest, nil
}

func (j *copyJob) neighbourAddresses() []member.Address {
	j.mu.Lock()
	defer j.mu.Unlock()
	addresses := make([]member.Address, 0, len(j.neighbours))
	for _, peer := range j.neighbours {
		addresses = append(addresses, j.addresses[peer.Box])
	}
	return addresses
}

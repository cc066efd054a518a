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

func (l *Loader) updateSwarms(swarms []*wire.Swarm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, swarm := range swarms {
		digest, err := weights.DigestFromBytes(swarm.Manifest)
		if err != nil {
			continue
		}
		if job, ok := l.jobs[digest]; ok {
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

// addPeers records the addresses of the peers and converts them for the picker.
func (j *versionJob) addPeers(swarmPeers []*wire.SwarmPeer) []weights.Peer {
	peers := make([]weights.Peer, 0, len(swarmPeers))
	for _, peer := range swarmPeers {
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

// fetchManifest returns the manifest of a version from the store, a neighbour or a weight source.
// A box uses the sources only after RankDelay times its originFetchRank, so that the sources serve
// few boxes and the others get the manifest from neighbours.
func (l *Loader) fetchManifest(ctx context.Context, job *versionJob) (*weights.Manifest, error) {
	if manifest, ok := l.options.Store.Manifest(job.pinned.Manifest); ok {
		return manifest, nil
	}
	started := l.options.Clock.Now()
	for ctx.Err() == nil {
		if manifest, ok := l.manifestFromNeighbours(ctx, job); ok {
			return manifest, nil
		}
		if rank, known := job.originFetchRank(string(l.options.Self)); known {
			due := started.Add(time.Duration(rank) * l.options.Picker.RankDelay)
			if !l.options.Clock.Now().Before(due) {
				return l.manifestFromSource(ctx, job)
			}
		}
		select {
		case <-ctx.Done():
		case <-job.swarmUpdated:
		case <-l.options.Clock.After(holdingsInterval):
		}
	}
	return nil, ctx.Err()
}

// originFetchRank returns the box's rank among the origin fetchers, starting at 0. A box that is
// not one of them ranks last. If no swarm has been received from a monitor yet, known is false.
func (j *versionJob) originFetchRank(self string) (rank int, known bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	boxes := make([]string, 0, len(j.originFetchers))
	for _, fetcher := range j.originFetchers {
		boxes = append(boxes, fetcher.Box)
	}
	ordered := member.Rank(j.pinned.Manifest.String(), boxes, len(boxes))
	if index := slices.Index(ordered, self); index >= 0 {
		return index, true
	}
	return len(ordered), j.hasSwarm
}

func (l *Loader) manifestFromNeighbours(ctx context.Context, job *versionJob) (*weights.Manifest, bool) {
	for _, address := range job.neighbourAddresses() {
		callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		response, err := wire.NewDRPCChunksClient(l.options.Peers.Conn(address)).
			Manifest(callCtx, &wire.ManifestRequest{Manifest: job.pinned.Manifest[:]})
		cancel()
		if err != nil || len(response.Content) == 0 {
			continue
		}
		manifest, err := weights.Parse(response.Content, job.pinned.Manifest)
		if err == nil {
			return manifest, true
		}
		l.options.Metrics.chunkFaults.WithLabelValues("peer", "manifest").Inc()
		l.options.Log.Warn().Str("peer", string(address)).Err(err).Msg("manifest from peer is invalid; trying another source")
	}
	return nil, false
}

func (l *Loader) manifestFromSource(ctx context.Context, job *versionJob) (*weights.Manifest, error) {
	content, err := readManifest(ctx, l.options.Sources, job.pinned.Model, job.pinned.Version)
	if err != nil {
		return nil, fmt.Errorf("reading manifest from weight sources: %w", err)
	}
	manifest, err := weights.Parse(content, job.pinned.Manifest)
	if err != nil {
		l.options.Metrics.chunkFaults.WithLabelValues("source", "manifest").Inc()
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

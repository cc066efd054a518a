package direct

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// publishedVersion identifies one version of the weights of a model.
type publishedVersion struct {
	model   fleet.ModelName
	version fleet.WeightsVersion
}

const (
	// maxManifestTries is the number of manifest requests to other agents before the origin is used, and
	// manifestRetryDelay the delay between them. Together they cover several times the time in which a
	// manifest passes through a tree of three levels while the origin is busy.
	maxManifestTries   = 10
	manifestRetryDelay = 50 * time.Millisecond
)

const (
	// agreeingReads is how often the origin must send the same manifest before an agent accepts it. A manifest with one wrong
	// digest looks like the right one, and the agents of a region get theirs from the few that read the origin.
	agreeingReads = 2
	// maxManifestRounds is how often agreeingReads manifests are read at once before the download is tried again.
	maxManifestRounds = 2
	// doubtfulMismatches is how often the origin must send the same content for a chunk that does not match its digest before
	// the manifest is dropped. It doubles each time the manifest of the version is dropped.
	doubtfulMismatches = 2
	// maxDoubtDoublings limits how often doubtfulMismatches doubles.
	maxDoubtDoublings = 4
)

// heldManifest is what an agent holds of the manifest of one version. The lock of the Loader guards it.
type heldManifest struct {
	// accepted is the manifest in use, nil if there is none. isFromOrigin is set if it was read from the origin.
	accepted     *weights.Manifest
	isFromOrigin bool
	// reads counts how often the origin has sent each manifest since none was accepted.
	reads map[weights.Digest]int
	// doubted is the manifest that was dropped last because its chunks do not match it, drops how many were dropped.
	doubted *weights.Manifest
	drops   int
}

// isDeferred reports whether chunks of versions that come earlier in the schedule of origin fetches are sent before those of a
// manifest.
func (l *Loader) isDeferred(manifest weights.Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, held := range l.manifests {
		if held.accepted != nil && held.accepted.Digest() == manifest {
			schedule, ok := l.originSchedule.version(key.version)
			return ok && schedule.TimeAhead > 0
		}
	}
	return false
}

// heldManifest returns the entry of a version and creates it if necessary. The lock must be held.
func (l *Loader) heldManifest(key publishedVersion) *heldManifest {
	held := l.manifests[key]
	if held == nil {
		held = &heldManifest{reads: make(map[weights.Digest]int)}
		l.manifests[key] = held
	}
	return held
}

// acceptedManifest returns the manifest of a version, or nil if none is accepted.
func (l *Loader) acceptedManifest(key publishedVersion) *weights.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held := l.manifests[key]; held != nil {
		return held.accepted
	}
	return nil
}

// manifest returns the manifest of a version from memory, a peer or the origin, in this order.
func (l *Loader) manifest(ctx context.Context, desired *target, version fleet.WeightsVersion) (*weights.Manifest, error) {
	key := publishedVersion{desired.model, version}
	if manifest := l.acceptedManifest(key); manifest != nil {
		return manifest, nil
	}
	started := l.options.Clock.Now()
	manifest, err := l.manifestFromPeers(ctx, desired, version)
	isFromOrigin := err != nil
	if isFromOrigin {
		if manifest, err = l.manifestFromOrigin(ctx, desired, version); err != nil {
			return nil, fmt.Errorf("reading manifest from origin: %w", err)
		}
	}
	l.options.Log.Info().Str("model", string(desired.model)).Uint64("version", uint64(version)).Str("from", manifestSource(isFromOrigin)).
		Str("manifest", manifest.Digest().Short()).Int("pieces", len(manifest.Chunks)).Int("pieces_configured", desired.engine.Chunks).
		Dur("taken_ms", l.options.Clock.Since(started)).Msg("manifest taken")
	manifest = l.acceptManifest(key, manifest, isFromOrigin)
	l.dropOlder(key)
	return manifest, nil
}

// manifestSource returns the name of the source of a manifest, for logs and metrics.
func manifestSource(isFromOrigin bool) string {
	if isFromOrigin {
		return "origin"
	}
	return "peer"
}

// acceptManifest accepts a manifest unless one of its version is accepted already, and returns the accepted one. Chunks that
// it has in common with the manifest that it replaces are kept.
func (l *Loader) acceptManifest(key publishedVersion, manifest *weights.Manifest, isFromOrigin bool) *weights.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.heldManifest(key)
	if held.accepted != nil {
		return held.accepted
	}
	l.options.Metrics.manifests.WithLabelValues(manifestSource(isFromOrigin), "taken").Inc()
	held.accepted, held.isFromOrigin = manifest, isFromOrigin
	clear(held.reads)
	l.store.Add(manifest)
	switch {
	case held.doubted == nil:
	case held.doubted.Digest() == manifest.Digest():
		// The origin has sent it again, so its chunks were spoilt.
		held.doubted = nil
	default:
		l.store.Drop(held.doubted.Digest())
	}
	return manifest
}

// errDoubted is returned for a manifest whose chunks do not match it.
var errDoubted = errors.New("chunks do not match the manifest")

// doubtManifest drops a manifest whose chunks do not match it, so that it is read again.
func (l *Loader) doubtManifest(key publishedVersion, manifest *weights.Manifest, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.heldManifest(key)
	if held.accepted != manifest {
		return
	}
	l.options.Metrics.manifests.WithLabelValues(manifestSource(held.isFromOrigin), "dropped").Inc()
	l.options.Log.Warn().Str("model", string(key.model)).Uint64("version", uint64(key.version)).Str("from", manifestSource(held.isFromOrigin)).
		Str("manifest", manifest.Digest().Short()).Int("dropped", held.drops+1).Err(cause).Msg("manifest dropped; reading it again")
	if held.doubted != nil && held.doubted.Digest() != manifest.Digest() {
		l.store.Drop(held.doubted.Digest())
	}
	held.accepted, held.doubted = nil, manifest
	held.drops++
}

// isDoubted reports whether a manifest was dropped because its chunks do not match it.
func (l *Loader) isDoubted(digest weights.Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, held := range l.manifests {
		if held.doubted != nil && held.doubted.Digest() == digest {
			return true
		}
	}
	return false
}

// mismatchLimit returns how often the origin must send the same wrong content for a chunk before the manifest is dropped.
func (l *Loader) mismatchLimit(key publishedVersion) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return doubtfulMismatches << min(l.heldManifest(key).drops, maxDoubtDoublings)
}

// mayDoubt reports whether a manifest is dropped because another agent has dropped it. One that this agent has read from the
// origin itself is not.
func (l *Loader) mayDoubt(key publishedVersion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.heldManifest(key).isFromOrigin
}

// errManifestsDiffer is returned if the origin has not sent the same manifest of a version agreeingReads times.
var errManifestsDiffer = errors.New("origin has not sent the same manifest twice")

// manifestFromOrigin reads the manifest from the origin until it has received the same one agreeingReads times.
func (l *Loader) manifestFromOrigin(ctx context.Context, desired *target, version fleet.WeightsVersion) (*weights.Manifest, error) {
	type readResult struct {
		manifest *weights.Manifest
		err      error
	}
	callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	var errs []error
	for range maxManifestRounds {
		results := make(chan readResult, agreeingReads)
		for range agreeingReads {
			go func() {
				manifest, err := l.options.Origin.Manifest(callCtx, desired.origin.Origin, desired.chunked(version))
				results <- readResult{manifest, err}
			}()
		}
		responded := false
		for range agreeingReads {
			result := <-results
			switch {
			case result.err == nil && l.noteManifestRead(desired, version, result.manifest):
				return result.manifest, nil
			case errors.Is(result.err, weights.ErrInvalidManifest):
				l.noteInvalidManifest(desired, version, true, result.err)
				fallthrough
			case result.err == nil:
				responded = true
			}
			errs = append(errs, result.err)
		}
		if !responded {
			return nil, errors.Join(errs...)
		}
	}
	return nil, errors.Join(append(errs, errManifestsDiffer)...)
}

// noteManifestRead counts a manifest that the origin has sent and reports whether it has sent the same one agreeingReads
// times.
func (l *Loader) noteManifestRead(desired *target, version fleet.WeightsVersion, manifest *weights.Manifest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.heldManifest(publishedVersion{desired.model, version})
	held.reads[manifest.Digest()]++
	return held.reads[manifest.Digest()] >= agreeingReads
}

// noteInvalidManifest counts and logs a manifest that is not used.
func (l *Loader) noteInvalidManifest(desired *target, version fleet.WeightsVersion, isFromOrigin bool, err error) {
	l.options.Metrics.manifests.WithLabelValues(manifestSource(isFromOrigin), "invalid").Inc()
	l.options.Log.Warn().Str("model", string(desired.model)).Uint64("version", uint64(version)).Str("from", manifestSource(isFromOrigin)).
		Err(err).Msg("manifest is not used")
}

// manifestFromPeers requests the manifest in turn from the parent in the manifest tree of the region and from a
// neighbour. A neighbour may have the manifest earlier than the parent or be available when the parent is not.
// The roots of the tree send no requests and get errNoPeer.
func (l *Loader) manifestFromPeers(ctx context.Context, desired *target, version fleet.WeightsVersion) (*weights.Manifest, error) {
	parent, ok := manifestParent(l.agentRecords(desired), member.BoxID(l.options.Agent), desired.model, version)
	if !ok {
		return nil, errNoPeer
	}
	neighbours := l.neighbours(desired)
	for try := range maxManifestTries {
		from := member.Address(parent)
		if try%2 == 1 && len(neighbours) > 0 {
			from = neighbours[try/2%len(neighbours)].Peers
		}
		if manifest, err := l.requestManifest(ctx, desired, version, from); err == nil {
			return manifest, nil
		}
		sleep(ctx, l.options.Clock, manifestRetryDelay)
	}
	return nil, errNoPeer
}

// manifestParent returns the agent from which another agent gets a manifest. ok is false for the roots of the
// tree, two in each region, which read it from the origin. Each agent has about four children, so the number of
// requests to one agent does not grow with the number of agents: when two agents served all others, they received
// 4,000 requests per second from 202 agents.
func manifestParent(agents []member.Record, self member.BoxID, model fleet.ModelName, version fleet.WeightsVersion) (parent member.BoxID, ok bool) {
	var local, all []member.BoxID
	isLocal := false
	for i := range agents {
		all = append(all, agents[i].Box)
		if agents[i].Region == regionLocal {
			local = append(local, agents[i].Box)
			isLocal = isLocal || agents[i].Box == self
		}
	}
	if !isLocal {
		// The settings do not contain the region of this agent's failure domain.
		local = all
	}
	return member.NewTree(fmt.Sprintf("manifest/%s/%d", model, version), local).Parent(self)
}

// dropOlder removes the chunks and manifests of all versions of a model older than the newest and the one before
// it.
func (l *Loader) dropOlder(newest publishedVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, held := range l.manifests {
		if key.model != newest.model || key.version+1 >= newest.version {
			continue
		}
		delete(l.manifests, key)
		for _, manifest := range []*weights.Manifest{held.accepted, held.doubted} {
			if manifest != nil {
				l.store.Drop(manifest.Digest())
			}
		}
	}
}

// errNoPeer is returned if no peer has the manifest.
var errNoPeer = errors.New("no peer has the manifest")

// requestManifest requests a manifest from one agent, which may run another build. It returns errNoPeer if the agent does not
// have it, and an error if the response is invalid, for another version, or was dropped by this agent.
func (l *Loader) requestManifest(ctx context.Context, desired *target, version fleet.WeightsVersion, agent member.Address) (*weights.Manifest, error) {
	callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout/4)
	defer cancel()
	response, err := wire.NewDRPCFleetClient(l.options.Peers.Conn(agent)).
		Published(callCtx, &wire.PublishedRequest{Model: string(desired.model), Version: uint64(version)})
	if err != nil {
		return nil, err
	}
	if len(response.Content) == 0 {
		return nil, errNoPeer
	}
	manifest, err := l.checkPeerManifest(desired, version, response.Content)
	if err != nil {
		l.noteInvalidManifest(desired, version, false, fmt.Errorf("from %s: %w", agent, err))
		return nil, err
	}
	return manifest, nil
}

const (
	// manifestHeadBytes is the maximum size of an encoded manifest without its chunks, and manifestChunkBytes that of a chunk, in
	// bytes.
	manifestHeadBytes  = 4 << 10
	manifestChunkBytes = 256
)

// checkPeerManifest decodes a manifest of a version that another agent has sent, and checks it.
func (l *Loader) checkPeerManifest(desired *target, version fleet.WeightsVersion, content []byte) (*weights.Manifest, error) {
	if limit := manifestHeadBytes + manifestChunkBytes*desired.engine.Chunks; len(content) > limit {
		return nil, fmt.Errorf("%d bytes, want at most %d: %w", len(content), limit, weights.ErrInvalidManifest)
	}
	manifest, err := weights.Parse(content, weights.Digest{})
	if err != nil {
		return nil, err
	}
	if err := desired.chunked(version).Check(manifest); err != nil {
		return nil, err
	}
	if manifest.Hash != weights.HashSHA256 {
		return nil, fmt.Errorf("hash %.20q: %w", manifest.Hash, weights.ErrInvalidManifest)
	}
	if l.isDoubted(manifest.Digest()) {
		return nil, errDoubted
	}
	return manifest, nil
}

// Published returns the manifest of a version. The response is empty if this agent does not have it.
func (l *Loader) Published(_ context.Context, request *wire.PublishedRequest) (*wire.ManifestResponse, error) {
	manifest := l.acceptedManifest(publishedVersion{fleet.ModelName(request.Model), fleet.WeightsVersion(request.Version)})
	if manifest == nil {
		return &wire.ManifestResponse{}, nil
	}
	return &wire.ManifestResponse{Content: manifest.Raw()}, nil
}

package direct

import (
	"context"
	"errors"
	"fmt"
	"strconv"
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

// manifest returns the manifest of a version from memory, a peer or the origin, in this order.
func (l *Loader) manifest(ctx context.Context, desired *target, version fleet.WeightsVersion) (*weights.Manifest, error) {
	key := publishedVersion{desired.model, version}
	l.mu.Lock()
	held := l.manifests[key]
	l.mu.Unlock()
	if held != nil {
		return held, nil
	}
	started := l.options.Clock.Now()
	manifest, err := l.manifestFromPeers(ctx, desired, version)
	source := "peer"
	if err != nil {
		source = "origin"
		callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
		defer cancel()
		manifest, err = l.options.Origin.Manifest(callCtx, desired.origin.Origin, desired.chunked(version))
		if err != nil {
			return nil, fmt.Errorf("reading manifest from origin: %w", err)
		}
	}
	l.options.Log.Info().Str("model", string(desired.model)).Uint64("version", uint64(version)).Str("from", source).
		Str("manifest", manifest.Digest().Short()).Int("pieces", len(manifest.Chunks)).Int("pieces_configured", desired.engine.Chunks).
		Dur("taken_ms", l.options.Clock.Since(started)).Msg("manifest taken")
	l.store.Add(manifest)
	l.mu.Lock()
	l.manifests[key] = manifest
	l.mu.Unlock()
	l.dropOlder(key)
	return manifest, nil
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
	for key, manifest := range l.manifests {
		if key.model == newest.model && key.version+1 < newest.version {
			delete(l.manifests, key)
			l.store.Drop(manifest.Digest())
		}
	}
}

// errNoPeer is returned if no peer has the manifest.
var errNoPeer = errors.New("no peer has the manifest")

// requestManifest requests a manifest from one agent. It returns errNoPeer if the agent does not have it, and an
// error if the response is invalid or for another version.
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
	manifest, err := weights.Parse(response.Content, weights.Digest{})
	if err == nil && (manifest.Model != string(desired.model) || manifest.Version != strconv.FormatUint(uint64(version), 10)) {
		err = errWrongManifest
	}
	if err != nil {
		l.options.Log.Warn().Str("peer", string(agent)).Err(err).Msg("manifest from peer is invalid; trying another source")
		return nil, err
	}
	return manifest, nil
}

// errWrongManifest is returned for a manifest of another model or version than the requested one.
var errWrongManifest = errors.New("manifest is for another model or version")

// Published returns the manifest of a version. The response is empty if this agent does not have it.
func (l *Loader) Published(_ context.Context, request *wire.PublishedRequest) (*wire.ManifestResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	manifest := l.manifests[publishedVersion{fleet.ModelName(request.Model), fleet.WeightsVersion(request.Version)}]
	if manifest == nil {
		return &wire.ManifestResponse{}, nil
	}
	return &wire.ManifestResponse{Content: manifest.Raw()}, nil
}

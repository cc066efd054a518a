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

type publishedVersion struct {
	model   fleet.ModelName
	version fleet.WeightsVersion
}

const (
	// maxManifestTries is how often others are asked for a manifest before the origin is, and
	// manifestRetryDelay the time between: in all several times what it takes to come down a tree of
	// three levels while the origin is busy.
	maxManifestTries   = 10
	manifestRetryDelay = 50 * time.Millisecond
)

// manifest returns the manifest of a version: held, of a peer, or of the origin.
func (l *Loader) manifest(ctx context.Context, want *target, version fleet.WeightsVersion) (*weights.Manifest, error) {
	key := publishedVersion{want.model, version}
	l.mu.Lock()
	held := l.manifests[key]
	l.mu.Unlock()
	if held != nil {
		return held, nil
	}
	asked := l.options.Clock.Now()
	manifest, err := l.manifestFromPeers(ctx, want, version)
	source := "peer"
	if err != nil {
		source = "origin"
		callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
		defer cancel()
		manifest, err = l.options.Origin.Manifest(callCtx, want.origin.Origin, want.model, version)
		if err != nil {
			return nil, fmt.Errorf("reading the manifest: %w", err)
		}
	}
	l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).Str("from", source).
		Dur("taken_ms", l.options.Clock.Since(asked)).Msg("manifest taken")
	l.store.Add(manifest)
	l.mu.Lock()
	l.manifests[key] = manifest
	l.mu.Unlock()
	l.dropOlder(key)
	return manifest, nil
}

// manifestFromPeers asks the agent above in the tree of the region and, in between, a neighbour,
// which may have the manifest earlier or be there when that agent is not. The agents at the top
// ask nobody.
func (l *Loader) manifestFromPeers(ctx context.Context, want *target, version fleet.WeightsVersion) (*weights.Manifest, error) {
	above, ok := manifestParent(l.agentRecords(want), member.BoxID(l.options.Agent), want.model, version)
	if !ok {
		return nil, errNoPeer
	}
	neighbours := l.neighbours(want)
	for try := range maxManifestTries {
		from := member.Address(above)
		if try%2 == 1 && len(neighbours) > 0 {
			from = neighbours[try/2%len(neighbours)].Peers
		}
		if manifest, err := l.requestManifest(ctx, want, version, from); err == nil {
			return manifest, nil
		}
		sleep(ctx, l.options.Clock, manifestRetryDelay)
	}
	return nil, errNoPeer
}

// manifestParent returns the agent that another one has a manifest from; ok is false for those
// that read it from the origin, the first two of each region. Each has some four below it, so
// that what one is asked does not grow with their number: with two readers for all, 202 others
// asked them 4,000 times a second.
func manifestParent(agents []member.Record, self member.BoxID, model fleet.ModelName, version fleet.WeightsVersion) (parent member.BoxID, ok bool) {
	var near, all []member.BoxID
	isNear := false
	for i := range agents {
		all = append(all, agents[i].Box)
		if agents[i].Region == regionLocal {
			near = append(near, agents[i].Box)
			isNear = isNear || agents[i].Box == self
		}
	}
	if !isNear {
		// The settings do not name the region of the own failure domain.
		near = all
	}
	return member.NewTree(fmt.Sprintf("manifest/%s/%d", model, version), near).Parent(self)
}

// dropOlder drops the pieces of versions before the last two.
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

// errNoPeer reports that no peer has a manifest.
var errNoPeer = errors.New("no peer has the manifest")

// requestManifest asks one agent.
func (l *Loader) requestManifest(ctx context.Context, want *target, version fleet.WeightsVersion, agent member.Address) (*weights.Manifest, error) {
	callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout/4)
	defer cancel()
	answer, err := wire.NewDRPCFleetClient(l.options.Peers.Conn(agent)).
		Published(callCtx, &wire.PublishedRequest{Model: string(want.model), Version: uint64(version)})
	if err != nil {
		return nil, err
	}
	if len(answer.Content) == 0 {
		return nil, errNoPeer
	}
	manifest, err := weights.Parse(answer.Content, weights.Digest{})
	if err == nil && (manifest.Model != string(want.model) || manifest.Version != strconv.FormatUint(uint64(version), 10)) {
		err = errWrongManifest
	}
	if err != nil {
		l.options.Log.Warn().Str("peer", string(agent)).Err(err).Msg("manifest refused")
		return nil, err
	}
	return manifest, nil
}

// errWrongManifest reports a manifest that is not the one that was asked for.
var errWrongManifest = errors.New("manifest is of another version")

// Published returns the manifest that is held of a version; empty if none is.
func (l *Loader) Published(_ context.Context, request *wire.PublishedRequest) (*wire.ManifestResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	manifest := l.manifests[publishedVersion{fleet.ModelName(request.Model), fleet.WeightsVersion(request.Version)}]
	if manifest == nil {
		return &wire.ManifestResponse{}, nil
	}
	return &wire.ManifestResponse{Content: manifest.Raw()}, nil
}

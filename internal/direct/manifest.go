package direct

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
	// manifestReaders is how many agents read a manifest from the origin at first; the
	// others ask them, so that the origin's link is free for pieces.
	manifestReaders = 2
	// manifestTries is how often the others ask, manifestWait the time between: in all
	// about twice what a call of the origin takes while it is busy.
	manifestTries = 5
	manifestWait  = 50 * time.Millisecond
)

// manifest returns the manifest of a version: held, of a peer, or of the origin.
func (l *Loader) manifest(ctx context.Context, want *target, version fleet.WeightsVersion) (*weights.Manifest, error) {
	key := publishedVersion{want.model, version}
	l.mu.Lock()
	held := l.published[key]
	l.mu.Unlock()
	if held != nil {
		return held, nil
	}
	manifest, err := l.askForManifest(ctx, want, version)
	if err != nil {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		manifest, err = l.options.Origin.Manifest(callCtx, want.origin.Origin, want.model, version)
		if err != nil {
			return nil, fmt.Errorf("reading the manifest: %w", err)
		}
	}
	l.store.Add(manifest)
	l.mu.Lock()
	l.published[key] = manifest
	l.mu.Unlock()
	l.forgetOlder(key)
	return manifest, nil
}

// askForManifest asks those who read the manifest from the origin, then the
// neighbours. A reader asks nobody.
func (l *Loader) askForManifest(ctx context.Context, want *target, version fleet.WeightsVersion) (*weights.Manifest, error) {
	var agents []member.Address
	for _, record := range l.records(want) {
		agents = append(agents, record.Peers)
	}
	readers := member.Rank(fmt.Sprintf("manifest/%s/%d", want.model, version), agents, manifestReaders)
	if slices.Contains(readers, l.options.Agent) {
		return nil, errNoPeer
	}
	for range manifestTries {
		if manifest, err := l.manifestFrom(ctx, want, version, readers); err == nil {
			return manifest, nil
		}
		sleep(ctx, l.options.Clock, manifestWait)
	}
	var neighbours []member.Address
	for _, record := range l.neighbours(want) {
		neighbours = append(neighbours, record.Peers)
	}
	return l.manifestFrom(ctx, want, version, neighbours)
}

// forgetOlder drops the pieces of versions before the last two.
func (l *Loader) forgetOlder(newest publishedVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, manifest := range l.published {
		if key.model == newest.model && key.version+1 < newest.version {
			delete(l.published, key)
			l.store.Drop(manifest.Digest())
		}
	}
}

// errNoPeer reports that no peer has a manifest.
var errNoPeer = errors.New("no peer has the manifest")

// manifestFrom asks agents one after the other.
func (l *Loader) manifestFrom(ctx context.Context, want *target, version fleet.WeightsVersion, agents []member.Address) (*weights.Manifest, error) {
	for _, agent := range agents {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout/4)
		answer, err := wire.NewDRPCFleetClient(l.options.Peers.Conn(agent)).
			Published(callCtx, &wire.PublishedRequest{Model: string(want.model), Version: uint64(version)})
		cancel()
		if err != nil || len(answer.Content) == 0 {
			continue
		}
		manifest, err := weights.Parse(answer.Content, weights.Digest{})
		if err == nil && manifest.Model == string(want.model) && manifest.Version == strconv.FormatUint(uint64(version), 10) {
			return manifest, nil
		}
		l.options.Log.Warn().Str("peer", string(agent)).Err(err).Msg("manifest refused")
	}
	return nil, errNoPeer
}

// Published returns the manifest that is held of a version; empty if none is.
func (l *Loader) Published(_ context.Context, request *wire.PublishedRequest) (*wire.ManifestResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	manifest := l.published[publishedVersion{fleet.ModelName(request.Model), fleet.WeightsVersion(request.Version)}]
	if manifest == nil {
		return &wire.ManifestResponse{}, nil
	}
	return &wire.ManifestResponse{Content: manifest.Content()}, nil
}

package direct

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// downloadGroups is in how many groups servers get their copies, downloadStagger the
	// time between two of them. Longer ones leave links unused.
	downloadGroups  = 3
	downloadStagger = 300 * time.Millisecond
	// swapTimeout bounds the wait until the server holds what it was ordered to
	// take; streams that run are finished first.
	swapTimeout = 10 * time.Second
	// swapNotice is how long before the order entry boxes are told to send the
	// server nothing more.
	swapNotice = 400 * time.Millisecond
)

// versionDownload is the fetching of one version.
type versionDownload struct {
	cancel context.CancelFunc
	// completedAt is when the last piece came; zero until then.
	completedAt time.Time
}

// startDownload fetches a version unless that has begun. Older ones that have begun
// go on, because the origin may be gone before the newer one has come round.
func (l *Loader) startDownload(want *target, version fleet.WeightsVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.downloads[version] != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.tasks.Context())
	held := &versionDownload{cancel: cancel}
	l.downloads[version] = held
	l.tasks.Go(func(context.Context) { l.download(ctx, want, version, held) })
}

// cancelDownloads ends all fetching; the pieces that came stay.
func (l *Loader) cancelDownloads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for version, held := range l.downloads {
		held.cancel()
		delete(l.downloads, version)
	}
}

// newestComplete returns the newest version of which all pieces are here, and since
// when; 0 if there is none.
func (l *Loader) newestComplete() (newest fleet.WeightsVersion, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for version, held := range l.downloads {
		if !held.completedAt.IsZero() && version > newest {
			newest, since = version, held.completedAt
		}
	}
	return newest, since
}

// markComplete notes a copy that is whole and ends the older ones.
func (l *Loader) markComplete(version fleet.WeightsVersion, held *versionDownload) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held.completedAt = l.options.Clock.Now()
	for older, other := range l.downloads {
		if older < version {
			other.cancel()
		}
	}
}

// download fetches the pieces of a version until all are here.
func (l *Loader) download(ctx context.Context, want *target, version fleet.WeightsVersion, held *versionDownload) {
	started := l.options.Clock.Now()
	for ctx.Err() == nil {
		early := l.startEarlyFetches(ctx, want, version)
		manifest, err := l.manifest(ctx, want, version)
		if err == nil {
			l.importStaged(ctx, want, version, manifest)
			err = l.fetchChunks(ctx, want, version, manifest, early)
		}
		early.stopNew()
		if err == nil {
			l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).
				Dur("taken_ms", l.options.Clock.Since(started)).Msg("weights fetched")
			l.markComplete(version, held)
			return
		}
		if ctx.Err() == nil {
			l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).
				Err(err).Msg("weights not fetched, trying again")
		}
		sleep(ctx, l.options.Clock, loadRetryDelay)
		if now, known := l.target(); known {
			want = &now
		}
	}
}

// swap stages a version and orders the server to take it. What is staged replaces
// what lay there, so the server is told to take nothing new only afterwards.
func (l *Loader) swap(ctx context.Context, want *target, version fleet.WeightsVersion, serving bool) error {
	manifest, err := l.manifest(ctx, want, version)
	if err != nil {
		return err
	}
	if err := l.stage(ctx, want, manifest); err != nil {
		return fmt.Errorf("staging: %w", err)
	}
	defer l.setSwapping(false)
	if serving {
		l.setSwapping(true)
		l.awaitIdle(ctx, swapNotice)
	}
	return l.orderSwap(ctx, want, version, serving)
}

// awaitIdle waits until nothing runs on the server, at most for a time.
func (l *Loader) awaitIdle(ctx context.Context, wait time.Duration) {
	until := l.options.Clock.Now().Add(wait)
	// The entry boxes hear of it within a few round trips.
	sleep(ctx, l.options.Clock, reportInterval)
	for ctx.Err() == nil && l.options.Clock.Now().Before(until) && !l.isIdle() {
		sleep(ctx, l.options.Clock, reportInterval/2)
	}
}

// isIdle reports whether the server runs nothing and nothing waits there.
func (l *Loader) isIdle() bool {
	report, answers := l.serverReport()
	return answers && report.Running+report.Waiting == 0
}

// swapTime is when this server is to be swapped from one version to another, whose copy
// was whole at a time.
func (l *Loader) swapTime(want *target, have, version fleet.WeightsVersion, whole time.Time) time.Time {
	named := want.published.PublishedAt(version)
	barred, ok := want.published.CutoffTime(have, l.options.VersionBound)
	if !ok || named.IsZero() {
		return whole
	}
	place, servers := l.swapPosition(want, version)
	return weights.SwapWindow{Published: named, Cutoff: barred, Position: place, Servers: servers}.Start(whole)
}

// swapPosition is this server's place in the order of the swaps to a version, and how
// many servers there are. One that is not among those that stay comes last.
func (l *Loader) swapPosition(want *target, version fleet.WeightsVersion) (place, servers int) {
	addresses := make([]member.Address, 0, len(want.servers))
	for _, server := range want.servers {
		addresses = append(addresses, server.Address)
	}
	order := member.Rank(fmt.Sprintf("swap/%s/%d", want.model, version), addresses, len(addresses))
	if place = slices.Index(order, l.options.Address); place < 0 {
		place = len(order)
	}
	return place, max(1, len(order))
}

// restrictedUntil is until when this box leaves the links to those whose servers are
// swapped before its own. A server without weights does not wait.
func (l *Loader) restrictedUntil(want *target, version fleet.WeightsVersion) time.Time {
	report, answers := l.serverReport()
	since := want.published.PublishedAt(version)
	if since.IsZero() || answers && loadedVersion(&report, want.model, want.engine.Layers) == 0 {
		return time.Time{}
	}
	place, servers := l.swapPosition(want, version)
	return since.Add(downloadStagger * time.Duration(place*downloadGroups/servers))
}

// stage hands every piece to the server and reads it back: what lies there may
// have turned bad.
func (l *Loader) stage(ctx context.Context, want *target, manifest *weights.Manifest) error {
	for index := range manifest.Chunks {
		if l.isRecentlyVerified(manifest, index) || l.verifyStaged(ctx, want, manifest, index) {
			continue
		}
		data, err := l.store.Get(manifest.Digest(), index)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
		err = l.options.Server.Stage(callCtx, want.model, index, data)
		cancel()
		if err != nil {
			return err
		}
		if !l.verifyStaged(ctx, want, manifest, index) {
			return fmt.Errorf("piece %d reads back wrong: %w", index, weights.ErrDigestMismatch)
		}
	}
	return nil
}

// stagedValidity is for how long a piece counts as right that was just read from the server.
// After a loss of power the server waits for each of them to be read; what turns bad
// within a second would not be found by reading it a little earlier or later either.
const stagedValidity = time.Second

// isRecentlyVerified reports whether the right bytes of a piece were read from the server just now.
func (l *Loader) isRecentlyVerified(manifest *weights.Manifest, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verified.digest == manifest.Digest() && l.options.Clock.Since(l.verified.at[index]) < stagedValidity
}

// noteVerified notes that the right bytes of a piece were read from the server.
func (l *Loader) noteVerified(manifest *weights.Manifest, index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.verified.digest != manifest.Digest() {
		l.verified = verifiedChunks{digest: manifest.Digest(), at: make(map[int]time.Time)}
	}
	l.verified.at[index] = l.options.Clock.Now()
}

// verifiedChunks are when the right bytes of a version's pieces were last read from the
// server.
type verifiedChunks struct {
	digest weights.Digest
	at     map[int]time.Time
}

// verifyStaged reports whether the server holds the right bytes of a piece.
func (l *Loader) verifyStaged(ctx context.Context, want *target, manifest *weights.Manifest, index int) bool {
	callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	data, err := l.options.Server.ReadStaged(callCtx, want.model, index)
	return err == nil && manifest.Hash.Sum(data) == manifest.Chunks[index].Digest
}

// importStaged takes over the pieces that lie at the server already.
func (l *Loader) importStaged(ctx context.Context, want *target, version fleet.WeightsVersion, manifest *weights.Manifest) {
	held := l.store.Held(manifest.Digest())
	taken := 0
	for index := range manifest.Chunks {
		if held.Has(index) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
		data, err := l.options.Server.ReadStaged(callCtx, want.model, index)
		cancel()
		if err != nil {
			if index == 0 {
				return
			}
			continue
		}
		if l.store.Put(manifest, index, data) == nil {
			taken++
			l.noteVerified(manifest, index)
		} else if index == 0 {
			return
		}
	}
	if taken > 0 {
		l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).Int("pieces", taken).Msg("staged pieces taken over")
	}
}

// importRunning takes over the pieces of the version that the server runs, so that other
// agents can have them.
func (l *Loader) importRunning(ctx context.Context, want *target, version fleet.WeightsVersion) error {
	l.mu.Lock()
	_, known := l.manifests[publishedVersion{want.model, version}]
	l.mu.Unlock()
	if known {
		return nil
	}
	manifest, err := l.manifest(ctx, want, version)
	if err != nil {
		return err
	}
	l.importStaged(ctx, want, version, manifest)
	return nil
}

// orderSwap tells the server to take what is staged and waits until it has.
func (l *Loader) orderSwap(ctx context.Context, want *target, version fleet.WeightsVersion, serving bool) error {
	before, _ := l.serverReport()
	callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	err := l.options.Server.Load(callCtx, provider.LoadOrder{Model: want.model, Version: version, AbortRunning: serving && want.resumable})
	cancel()
	l.options.Metrics.orders.WithLabelValues(resultLabel(err)).Inc()
	l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).
		Str("address", string(l.options.Address)).Bool("serving", serving).Err(err).Msg("server ordered to take weights")
	if err != nil {
		return fmt.Errorf("ordering: %w", err)
	}
	ordered := l.options.Clock.Now()
	for ctx.Err() == nil && l.options.Clock.Since(ordered) < swapTimeout {
		sleep(ctx, l.options.Clock, orderPollInterval)
		if err := l.readReport(ctx); err != nil {
			return fmt.Errorf("reading how far the order is: %w", err)
		}
		report, _ := l.serverReport()
		if report.Incarnation != before.Incarnation && before.Incarnation != 0 {
			return errServerRestarted
		}
		if loadedVersion(&report, want.model, want.engine.Layers) == version {
			l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).
				Str("address", string(l.options.Address)).Dur("taken_ms", l.options.Clock.Since(ordered)).Msg("weights live")
			return nil
		}
	}
	return fmt.Errorf("server has not taken version %d of %s", version, want.model)
}

// errServerRestarted reports an order that went with the start of the server that had it.
var errServerRestarted = errors.New("server has started again since the order")

// resultLabel is how the result of a call stands in metrics.
func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

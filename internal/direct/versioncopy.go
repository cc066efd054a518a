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
	// fetchGroups is in how many groups servers get their copies, fetchStagger the
	// time between two of them. Longer ones leave links unused.
	fetchGroups  = 3
	fetchStagger = 300 * time.Millisecond
	// swapTimeout bounds the wait until the server holds what it was ordered to
	// take; streams that run are finished first.
	swapTimeout = 10 * time.Second
	// swapNotice is how long before the order entry boxes are told to send the
	// server nothing more.
	swapNotice = 400 * time.Millisecond
)

// versionCopy is the fetching of one version.
type versionCopy struct {
	cancel context.CancelFunc
	// whole is when the last piece came; zero until then.
	whole time.Time
}

// startCopy fetches a version unless that has begun. Older ones that have begun
// go on, because the origin may be gone before the newer one has come round.
func (l *Loader) startCopy(want *target, version fleet.WeightsVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.copies[version] != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.duties.Context())
	held := &versionCopy{cancel: cancel}
	l.copies[version] = held
	l.duties.Go(func(context.Context) { l.bring(ctx, want, version, held) })
}

// endCopies ends all fetching; the pieces that came stay.
func (l *Loader) endCopies() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for version, held := range l.copies {
		held.cancel()
		delete(l.copies, version)
	}
}

// newestWhole returns the newest version of which all pieces are here, and since
// when; 0 if there is none.
func (l *Loader) newestWhole() (newest fleet.WeightsVersion, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for version, held := range l.copies {
		if !held.whole.IsZero() && version > newest {
			newest, since = version, held.whole
		}
	}
	return newest, since
}

// completed notes a copy that is whole and ends the older ones.
func (l *Loader) completed(version fleet.WeightsVersion, held *versionCopy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held.whole = l.options.Clock.Now()
	for older, other := range l.copies {
		if older < version {
			other.cancel()
		}
	}
}

// bring fetches the pieces of a version until all are here.
func (l *Loader) bring(ctx context.Context, want *target, version fleet.WeightsVersion, held *versionCopy) {
	started := l.options.Clock.Now()
	for ctx.Err() == nil {
		early := l.drawEarly(ctx, want, version)
		manifest, err := l.manifest(ctx, want, version)
		if err == nil {
			l.readStaged(ctx, want, version, manifest)
			err = l.fetch(ctx, want, version, manifest, early)
		}
		early.begun()
		if err == nil {
			l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).
				Dur("taken_ms", l.options.Clock.Since(started)).Msg("weights fetched")
			l.completed(version, held)
			return
		}
		if ctx.Err() == nil {
			l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).
				Err(err).Msg("weights not fetched, trying again")
		}
		sleep(ctx, l.options.Clock, loadRetry)
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
	return l.order(ctx, want, version, serving)
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

// turn is when this server is to be swapped from one version to another, whose copy
// was whole at a time.
func (l *Loader) turn(want *target, have, version fleet.WeightsVersion, whole time.Time) time.Time {
	named := want.named.PublishedAt(version)
	barred, ok := want.named.CutoffTime(have, l.options.Bound)
	if !ok || named.IsZero() {
		return whole
	}
	place, servers := l.place(want, version)
	return weights.SwapWindow{Published: named, Cutoff: barred, Position: place, Servers: servers}.Start(whole)
}

// place is this server's place in the order of the swaps to a version, and how
// many servers there are. One that is not among those that stay comes last.
func (l *Loader) place(want *target, version fleet.WeightsVersion) (place, servers int) {
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

// holdBack is until when this box leaves the links to those whose servers are
// swapped before its own. A server without weights does not wait.
func (l *Loader) holdBack(want *target, version fleet.WeightsVersion) time.Time {
	report, answers := l.serverReport()
	since := want.named.PublishedAt(version)
	if since.IsZero() || answers && loaded(&report, want.model, want.engine.Layers) == 0 {
		return time.Time{}
	}
	place, servers := l.place(want, version)
	return since.Add(fetchStagger * time.Duration(place*fetchGroups/servers))
}

// stage hands every piece to the server and reads it back: what lies there may
// have turned bad.
func (l *Loader) stage(ctx context.Context, want *target, manifest *weights.Manifest) error {
	for index := range manifest.Chunks {
		if l.wasStaged(manifest, index) || l.isStaged(ctx, want, manifest, index) {
			continue
		}
		data, err := l.store.Get(manifest.Digest(), index)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err = l.options.Server.Stage(callCtx, want.model, index, data)
		cancel()
		if err != nil {
			return err
		}
		if !l.isStaged(ctx, want, manifest, index) {
			return fmt.Errorf("piece %d reads back wrong: %w", index, weights.ErrDigestMismatch)
		}
	}
	return nil
}

// stagedTrust is for how long a piece counts as right that was just read from the server.
// After a loss of power the server waits for each of them to be read; what turns bad
// within a second would not be found by reading it a little earlier or later either.
const stagedTrust = time.Second

// wasStaged reports whether the right bytes of a piece were read from the server just now.
func (l *Loader) wasStaged(manifest *weights.Manifest, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.staged.digest == manifest.Digest() && l.options.Clock.Since(l.staged.at[index]) < stagedTrust
}

// noteStaged notes that the right bytes of a piece were read from the server.
func (l *Loader) noteStaged(manifest *weights.Manifest, index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.staged.digest != manifest.Digest() {
		l.staged = stagedPieces{digest: manifest.Digest(), at: make(map[int]time.Time)}
	}
	l.staged.at[index] = l.options.Clock.Now()
}

// stagedPieces are when the right bytes of a version's pieces were last read from the
// server.
type stagedPieces struct {
	digest weights.Digest
	at     map[int]time.Time
}

// isStaged reports whether the server holds the right bytes of a piece.
func (l *Loader) isStaged(ctx context.Context, want *target, manifest *weights.Manifest, index int) bool {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	data, err := l.options.Server.ReadStaged(callCtx, want.model, index)
	return err == nil && manifest.Hash.Sum(data) == manifest.Chunks[index].Digest
}

// readStaged takes over the pieces that lie at the server already.
func (l *Loader) readStaged(ctx context.Context, want *target, version fleet.WeightsVersion, manifest *weights.Manifest) {
	held := l.store.Held(manifest.Digest())
	taken := 0
	for index := range manifest.Chunks {
		if held.Has(index) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
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
			l.noteStaged(manifest, index)
		} else if index == 0 {
			return
		}
	}
	if taken > 0 {
		l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(version)).Int("pieces", taken).Msg("staged pieces taken over")
	}
}

// adopt takes over the pieces of the version that the server runs, so that other
// agents can have them.
func (l *Loader) adopt(ctx context.Context, want *target, version fleet.WeightsVersion) error {
	l.mu.Lock()
	_, known := l.published[publishedVersion{want.model, version}]
	l.mu.Unlock()
	if known {
		return nil
	}
	manifest, err := l.manifest(ctx, want, version)
	if err != nil {
		return err
	}
	l.readStaged(ctx, want, version, manifest)
	return nil
}

// order tells the server to take what is staged and waits until it has.
func (l *Loader) order(ctx context.Context, want *target, version fleet.WeightsVersion, serving bool) error {
	before, _ := l.serverReport()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
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
		sleep(ctx, l.options.Clock, orderInterval)
		if err := l.readReport(ctx); err != nil {
			return fmt.Errorf("reading how far the order is: %w", err)
		}
		report, _ := l.serverReport()
		if report.Incarnation != before.Incarnation && before.Incarnation != 0 {
			return errServerRestarted
		}
		if loaded(&report, want.model, want.engine.Layers) == version {
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

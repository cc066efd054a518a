package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

const (
	// overdueAfter is for how long after its time an answer is waited for before the store is
	// called anew, on another connection. The store answers in milliseconds, and in a
	// quarter of a second when it is slow.
	overdueAfter = 300 * time.Millisecond
	// storeCallTimeout bounds any call that does not wait. Others are made meanwhile, so it may be
	// long against the answers of a slow store.
	storeCallTimeout = 2 * time.Second
	// storeRetryDelay is the wait after a waiting call that failed; up to as much is added at random.
	storeRetryDelay = 100 * time.Millisecond
	// probesPerSecond is how often the store is called while it is away, by all boxes
	// together: the first one that gets an answer tells the others.
	probesPerSecond = 10
	// minProbeInterval and maxProbeInterval bound the time between two such calls of one box, which
	// varies by a quarter. The longest is still below the time in which a change must be in
	// force, for a box that is the only one to reach the store.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 1500 * time.Millisecond
	// maxProbesPerSecond goes before the longest pause when there are hundreds of boxes: it is a
	// tenth of what the store takes.
	maxProbesPerSecond = 200
)

// readIntervals are how often the store is read.
type readIntervals struct {
	// longPoll is how long one call waits for changes. Each call is priced, but one whose
	// connection has gone silent, or that waits while the store drops its history, hears
	// nothing.
	longPoll time.Duration
	// batchDelay is waited after a change, so that changes in quick succession take one call.
	batchDelay time.Duration
}

const (
	// longPollDivisor and batchDelayDivisor are the parts of the time in which a change must be in force:
	// half of it is for reading the change, half for telling the others.
	longPollDivisor   = 2
	batchDelayDivisor = 8
	// maxLongPoll bounds a call in any case: connections that rest for longer may be closed on
	// their way.
	maxLongPoll = 10 * time.Second
)

// readIntervalsFor returns how often the store is read if a change must be in force in a time. Each
// call is priced, so it lasts as long as that allows.
func readIntervalsFor(changeBound time.Duration) readIntervals {
	return readIntervals{longPoll: min(maxLongPoll, changeBound/longPollDivisor), batchDelay: min(maxLongPoll, changeBound) / batchDelayDivisor}
}

// readerTimeout is after how long without an answer of the store a reader no longer counts: it is
// longer than one call, and a call in place of one that is overdue.
func (t readIntervals) readerTimeout() time.Duration {
	return t.longPoll + overdueAfter + minProbeInterval + statusHeartbeat
}

// storeReader is how far one reader has come in the store's changes.
type storeReader struct {
	fleetState *FleetState
	source     provider.FactSource
	after      fleet.Revision
	// shouldRead reports whether this process is to read the store.
	shouldRead func() bool
	// probeInterval is the time between two calls while the store is away.
	probeInterval func() time.Duration
	intervals     readIntervals
	// tokens is how many changes may be followed at once by the next call, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// storeResponse is what became of one call.
type storeResponse struct {
	call     string
	snapshot bool
	started  time.Time
	after    fleet.Revision
	facts    provider.FactBatch
	err      error
}

// ReadStore follows the store for as long as wanted holds. While the store is away it is
// called once in each probeInterval.
func (f *FleetState) ReadStore(source provider.FactSource, times readIntervals, wanted func() bool, probePause func() time.Duration) {
	f.tasks.Go(func(ctx context.Context) {
		reader := &storeReader{fleetState: f, source: source, intervals: times, shouldRead: wanted, probeInterval: probePause}
		for ctx.Err() == nil {
			if !wanted() {
				sleep(ctx, f.clock, times.batchDelay)
				continue
			}
			reader.readOnce(ctx)
		}
	})
}

// probeIntervalFor is the time between two calls of each of some boxes while the store is away.
func probeIntervalFor(boxes int) time.Duration {
	all := time.Duration(boxes) * time.Second
	return max(min(max(all/probesPerSecond, minProbeInterval), maxProbeInterval), all/maxProbesPerSecond)
}

// readOnce reads what has changed, and takes it.
func (r *storeReader) readOnce(ctx context.Context) {
	f := r.fleetState
	answer, ok := r.read(ctx)
	if !ok {
		return
	}
	if answer.err != nil {
		f.log.Warn().Uint64("after", uint64(answer.after)).Err(answer.err).Msg("store history gone, reading everything")
		r.after = 0
		return
	}
	isFirst := f.StoreRespondedAt().IsZero()
	f.noteStoreResponse()
	r.apply(&answer, isFirst)
	if len(answer.facts.Facts) > 0 && !answer.snapshot && !r.takeToken(f.clock.Now()) {
		sleep(ctx, f.clock, r.intervals.batchDelay)
	}
}

// readBurst is how many changes in succession are each read at once before they are gathered.
// A version may be named right after changes of the configuration, and copies of it wait for that.
const readBurst = 4

// takeToken reports whether the next call need not wait for more changes: few came lately.
func (r *storeReader) takeToken(now time.Time) bool {
	if r.refilledAt.IsZero() {
		r.tokens = readBurst
	} else {
		r.tokens = min(readBurst, r.tokens+now.Sub(r.refilledAt).Seconds()/r.intervals.batchDelay.Seconds())
	}
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// read calls the store until it answers; ok is false if the context has ended or the store is
// not to be read any more. An answer that is overdue is waited for no longer than it takes
// to get one by another call: the connection may have gone silent, or the store may be back
// that had swallowed the call.
func (r *storeReader) read(ctx context.Context) (answer storeResponse, ok bool) {
	f := r.fleetState
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := r.intervals.longPoll
	if f.isStoreDown() {
		wait = 0
	}
	answers, waiting := make(chan storeResponse), 1
	first := r.startCall(ctx, wait, answers)
	next := f.clock.Now().Add(wait + overdueAfter)
	for {
		select {
		case <-ctx.Done():
			return storeResponse{}, false
		case answer = <-answers:
			if answer.err == nil || errors.Is(answer.err, provider.ErrCompacted) {
				return answer, true
			}
			waiting--
			r.callFailed(&answer, "failed")
			if answer.started.Equal(first.started) {
				next = f.clock.Now().Add(storeRetryDelay + rand.N(storeRetryDelay))
			}
		case <-f.clock.After(next.Sub(f.clock.Now())):
			if !r.shouldRead() {
				return storeResponse{}, false
			}
			if waiting > 0 {
				first.err = errOverdue
				r.callFailed(&first, "overdue")
			}
			r.source.Reconnect()
			r.startCall(ctx, 0, answers)
			waiting++
			next = f.clock.Now().Add(jittered(r.probeInterval()))
		}
	}
}

// errOverdue reports a call that was not answered in its time.
var errOverdue = errors.New("answer is overdue")

// jittered returns a pause that differs by up to a quarter, so that boxes do not call together.
func jittered(pause time.Duration) time.Duration { return pause*3/4 + rand.N(pause/2) }

// startCall begins one call of the store, which waits for changes at most for a time, and returns
// what is known of it.
func (r *storeReader) startCall(ctx context.Context, wait time.Duration, answers chan<- storeResponse) storeResponse {
	answer := storeResponse{call: "changes", snapshot: r.after == 0, started: r.fleetState.clock.Now(), after: r.after}
	if answer.snapshot {
		answer.call = "snapshot"
	}
	begun := answer
	r.fleetState.tasks.Go(func(context.Context) {
		callCtx, cancel := clockwork.WithTimeout(ctx, r.fleetState.clock, wait+storeCallTimeout)
		defer cancel()
		if answer.snapshot {
			answer.facts, answer.err = r.source.Snapshot(callCtx)
		} else {
			answer.facts, answer.err = r.source.Changes(callCtx, answer.after, wait)
		}
		select {
		case answers <- answer:
		case <-ctx.Done():
		}
	})
	return begun
}

// callFailed notes a call that gave nothing, or nothing in its time.
func (r *storeReader) callFailed(answer *storeResponse, result string) {
	r.fleetState.metrics.storeCalls.WithLabelValues(answer.call, result).Inc()
	r.fleetState.noteStoreFailure(answer.call, answer.started, answer.err)
}

// apply takes what a call has read, the first one of the process or a later one.
func (r *storeReader) apply(answer *storeResponse, isFirst bool) {
	f, got := r.fleetState, answer.facts
	f.metrics.storeCalls.WithLabelValues(answer.call, "done").Inc()
	if answer.snapshot || len(got.Facts) > 0 {
		f.log.Info().Str("call", answer.call).Uint64("after", uint64(answer.after)).Uint64("at", uint64(got.Revision)).Int("facts", len(got.Facts)).
			Dur("taken_ms", f.clock.Since(answer.started)).Msg("facts read from the store")
	}
	f.logFindings(got.Errors, answer.snapshot)
	if answer.snapshot {
		got.Facts = append(got.Facts, f.impliedDeletions(got)...)
	}
	apply := f.Apply
	if isFirst {
		apply = f.ApplyInitial
	}
	apply(f.deferExpired(got.Facts), "store")
	f.MarkComplete(got.Revision)
	r.after = max(r.after, got.Revision)
}

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
	// callTimeout bounds any call that does not wait. Others are made meanwhile, so it may be
	// long against the answers of a slow store.
	callTimeout = 2 * time.Second
	// retryFirst is the wait after a waiting call that failed; up to as much is added at random.
	retryFirst = 100 * time.Millisecond
	// probesPerSecond is how often the store is called while it is away, by all boxes
	// together: the first one that gets an answer tells the others.
	probesPerSecond = 10
	// probeShortest and probeLongest bound the time between two such calls of one box, which
	// varies by a quarter. The longest is still below the time in which a change must be in
	// force, for a box that is the only one to reach the store.
	probeShortest = 300 * time.Millisecond
	probeLongest  = 1500 * time.Millisecond
	// mostProbesPerSecond goes before the longest pause when there are hundreds of boxes: it is a
	// tenth of what the store takes.
	mostProbesPerSecond = 200
)

// readTimes are how often the store is read.
type readTimes struct {
	// watch is how long one call waits for changes. Each call is priced, but one whose
	// connection has gone silent, or that waits while the store drops its history, hears
	// nothing.
	watch time.Duration
	// gather is waited after a change, so that changes in quick succession take one call.
	gather time.Duration
}

const (
	// watchPart and gatherPart are the parts of the time in which a change must be in force:
	// half of it is for reading the change, half for telling the others.
	watchPart  = 2
	gatherPart = 8
	// watchLongest bounds a call in any case: connections that rest for longer may be closed on
	// their way.
	watchLongest = 10 * time.Second
)

// readTimesFor returns how often the store is read if a change must be in force in a time. Each
// call is priced, so it lasts as long as that allows.
func readTimesFor(changeBound time.Duration) readTimes {
	return readTimes{watch: min(watchLongest, changeBound/watchPart), gather: min(watchLongest, changeBound) / gatherPart}
}

// storeAway is after how long without an answer of the store a reader no longer counts: it is
// longer than one call, and a call in place of one that is overdue.
func (t readTimes) storeAway() time.Duration {
	return t.watch + overdueAfter + probeShortest + statusHeartbeat
}

// storeReader is how far one reader has come in the store's changes.
type storeReader struct {
	facts  *Facts
	source provider.FactSource
	after  fleet.Revision
	// wanted reports whether this process is to read the store.
	wanted func() bool
	// probePause is the time between two calls while the store is away.
	probePause func() time.Duration
	times      readTimes
	// spared is how many changes may be followed at once by the next call, as of sparedAt.
	spared   float64
	sparedAt time.Time
}

// storeAnswer is what became of one call.
type storeAnswer struct {
	call  string
	whole bool
	began time.Time
	after fleet.Revision
	got   provider.FactBatch
	err   error
}

// ReadStore follows the store for as long as wanted holds. While the store is away it is
// called once in each probePause.
func (f *Facts) ReadStore(source provider.FactSource, times readTimes, wanted func() bool, probePause func() time.Duration) {
	f.duties.Go(func(ctx context.Context) {
		reader := &storeReader{facts: f, source: source, times: times, wanted: wanted, probePause: probePause}
		for ctx.Err() == nil {
			if !wanted() {
				sleep(ctx, f.clock, times.gather)
				continue
			}
			reader.once(ctx)
		}
	})
}

// probePauseOf is the time between two calls of each of some boxes while the store is away.
func probePauseOf(boxes int) time.Duration {
	all := time.Duration(boxes) * time.Second
	return max(min(max(all/probesPerSecond, probeShortest), probeLongest), all/mostProbesPerSecond)
}

// once reads what has changed, and takes it.
func (r *storeReader) once(ctx context.Context) {
	f := r.facts
	answer, ok := r.read(ctx)
	if !ok {
		return
	}
	if answer.err != nil {
		f.log.Warn().Uint64("after", uint64(answer.after)).Err(answer.err).Msg("store history gone, reading everything")
		r.after = 0
		return
	}
	isFirst := f.Answered().IsZero()
	f.storeAnswered()
	r.take(&answer, isFirst)
	if len(answer.got.Facts) > 0 && !answer.whole && !r.spare(f.clock.Now()) {
		sleep(ctx, f.clock, r.times.gather)
	}
}

// readsAtOnce is how many changes in succession are each read at once before they are gathered.
// A version may be named right after changes of the configuration, and copies of it wait for that.
const readsAtOnce = 4

// spare reports whether the next call need not wait for more changes: few came lately.
func (r *storeReader) spare(now time.Time) bool {
	if r.sparedAt.IsZero() {
		r.spared = readsAtOnce
	} else {
		r.spared = min(readsAtOnce, r.spared+now.Sub(r.sparedAt).Seconds()/r.times.gather.Seconds())
	}
	r.sparedAt = now
	if r.spared < 1 {
		return false
	}
	r.spared--
	return true
}

// read calls the store until it answers; ok is false if the context has ended or the store is
// not to be read any more. An answer that is overdue is waited for no longer than it takes
// to get one by another call: the connection may have gone silent, or the store may be back
// that had swallowed the call.
func (r *storeReader) read(ctx context.Context) (answer storeAnswer, ok bool) {
	f := r.facts
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := r.times.watch
	if f.isStoreLost() {
		wait = 0
	}
	answers, waiting := make(chan storeAnswer), 1
	first := r.call(ctx, wait, answers)
	next := f.clock.Now().Add(wait + overdueAfter)
	for {
		select {
		case <-ctx.Done():
			return storeAnswer{}, false
		case answer = <-answers:
			if answer.err == nil || errors.Is(answer.err, provider.ErrCompacted) {
				return answer, true
			}
			waiting--
			r.failed(&answer, "failed")
			if answer.began.Equal(first.began) {
				next = f.clock.Now().Add(retryFirst + rand.N(retryFirst))
			}
		case <-f.clock.After(next.Sub(f.clock.Now())):
			if !r.wanted() {
				return storeAnswer{}, false
			}
			if waiting > 0 {
				first.err = errOverdue
				r.failed(&first, "overdue")
			}
			r.source.Reconnect()
			r.call(ctx, 0, answers)
			waiting++
			next = f.clock.Now().Add(varied(r.probePause()))
		}
	}
}

// errOverdue reports a call that was not answered in its time.
var errOverdue = errors.New("answer is overdue")

// varied returns a pause that differs by up to a quarter, so that boxes do not call together.
func varied(pause time.Duration) time.Duration { return pause*3/4 + rand.N(pause/2) }

// call begins one call of the store, which waits for changes at most for a time, and returns
// what is known of it.
func (r *storeReader) call(ctx context.Context, wait time.Duration, answers chan<- storeAnswer) storeAnswer {
	answer := storeAnswer{call: "changes", whole: r.after == 0, began: r.facts.clock.Now(), after: r.after}
	if answer.whole {
		answer.call = "snapshot"
	}
	begun := answer
	r.facts.duties.Go(func(context.Context) {
		callCtx, cancel := clockwork.WithTimeout(ctx, r.facts.clock, wait+callTimeout)
		defer cancel()
		if answer.whole {
			answer.got, answer.err = r.source.Snapshot(callCtx)
		} else {
			answer.got, answer.err = r.source.Changes(callCtx, answer.after, wait)
		}
		select {
		case answers <- answer:
		case <-ctx.Done():
		}
	})
	return begun
}

// failed notes a call that gave nothing, or nothing in its time.
func (r *storeReader) failed(answer *storeAnswer, result string) {
	r.facts.metrics.storeCalls.WithLabelValues(answer.call, result).Inc()
	r.facts.storeLost(answer.call, answer.began, answer.err)
}

// take takes what a call has read, the first one of the process or a later one.
func (r *storeReader) take(answer *storeAnswer, isFirst bool) {
	f, got := r.facts, answer.got
	f.metrics.storeCalls.WithLabelValues(answer.call, "done").Inc()
	if answer.whole || len(got.Facts) > 0 {
		f.log.Info().Str("call", answer.call).Uint64("after", uint64(answer.after)).Uint64("at", uint64(got.Revision)).Int("facts", len(got.Facts)).
			Dur("taken_ms", f.clock.Since(answer.began)).Msg("facts read from the store")
	}
	f.noteFindings(got.Errors, answer.whole)
	if answer.whole {
		got.Facts = append(got.Facts, f.missing(got)...)
	}
	apply := f.Apply
	if isFirst {
		apply = f.ApplyFirst
	}
	apply(f.holdLapsed(got.Facts), "store")
	f.CompleteUpTo(got.Revision)
	r.after = max(r.after, got.Revision)
}

package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

const (
	// overdueAfter is how long a response may be overdue before the store is called again on another connection.
	// The store responds within milliseconds, or a quarter of a second when it is slow.
	overdueAfter = 300 * time.Millisecond
	// storeCallTimeout limits each call, in addition to the time for which it waits for changes. It may be much
	// longer than a slow response, because other calls are made meanwhile.
	storeCallTimeout = 2 * time.Second
	// storeRetryDelay is the minimum delay after a failed long poll. A random delay of up to the same length is
	// added.
	storeRetryDelay = 100 * time.Millisecond
	// probesPerSecond is the total rate at which all boxes call the store while it is down. The first box to get a
	// response reports it to the others.
	probesPerSecond = 10
	// minProbeInterval and maxProbeInterval bound the time between two probes of one box, which varies by a
	// quarter. The maximum is below the time within which a change must be in force, for a box that is the only
	// one to reach the store.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 1500 * time.Millisecond
	// maxProbesPerSecond limits the total rate of probes and takes precedence over maxProbeInterval when there are
	// hundreds of boxes. It is a tenth of the rate that the store can handle.
	maxProbesPerSecond = 200
)

// readIntervals are the intervals at which the store is read.
type readIntervals struct {
	// longPoll is how long one call waits for changes. Calls are priced, so they should be long. A call receives
	// nothing if its connection has failed silently, or if the store drops its history meanwhile.
	longPoll time.Duration
	// batchDelay is the delay after a change, so that changes in quick succession need only one call.
	batchDelay time.Duration
}

const (
	// longPollDivisor and batchDelayDivisor divide the time within which a change must be in force. Half of that
	// time is for reading the change, and half for reporting it to other processes.
	longPollDivisor   = 2
	batchDelayDivisor = 8
	// maxLongPoll is the longest wait of one call. Network devices may close connections that are idle for longer.
	maxLongPoll = 10 * time.Second
)

// readIntervalsFor returns the intervals for a time within which a change must be in force. Calls are priced, so
// each lasts as long as that time allows.
func readIntervalsFor(changeBound time.Duration) readIntervals {
	return readIntervals{longPoll: min(maxLongPoll, changeBound/longPollDivisor), batchDelay: min(maxLongPoll, changeBound) / batchDelayDivisor}
}

// readerTimeout returns the time without a response from the store after which a reader no longer counts as
// active. It is longer than one call and a replacement for an overdue one.
func (i readIntervals) readerTimeout() time.Duration {
	return i.longPoll + overdueAfter + minProbeInterval + statusHeartbeat
}

// storeReader reads the changes of the store for one process.
type storeReader struct {
	fleetState *FleetState
	source     provider.FactSource
	after      fleet.Revision
	// shouldRead reports whether this process has to read the store.
	shouldRead func() bool
	// probeInterval returns the time between two calls while the store is down.
	probeInterval func() time.Duration
	intervals     readIntervals
	// tokens is the number of changes that the next calls may follow immediately, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// configurationUnread is set while the store's newest configuration can't be read.
	configurationUnread bool
}

// storeResponse is the result of one call of the store.
type storeResponse struct {
	call     string
	snapshot bool
	started  time.Time
	// due is when the store responds at the latest, unless it is slow or away.
	due   time.Time
	after fleet.Revision
	facts provider.FactBatch
	err   error
}

// ReadStore reads the store's changes while shouldRead returns true. While the store is down, it is called once
// per probeInterval.
func (f *FleetState) ReadStore(source provider.FactSource, intervals readIntervals, shouldRead func() bool, probeInterval func() time.Duration) {
	f.tasks.Go(func(ctx context.Context) {
		reader := &storeReader{fleetState: f, source: source, intervals: intervals, shouldRead: shouldRead, probeInterval: probeInterval}
		for ctx.Err() == nil {
			if !shouldRead() {
				sleep(ctx, f.clock, intervals.batchDelay)
				continue
			}
			reader.readOnce(ctx)
		}
	})
}

// probeIntervalFor returns the time between two probes of one box, given the number of boxes that probe the store.
func probeIntervalFor(boxes int) time.Duration {
	sharedInterval := time.Duration(boxes) * time.Second
	return max(min(max(sharedInterval/probesPerSecond, minProbeInterval), maxProbeInterval), sharedInterval/maxProbesPerSecond)
}

// readOnce reads the next changes and applies them.
func (r *storeReader) readOnce(ctx context.Context) {
	f := r.fleetState
	if era := f.storeEra(); r.after != 0 && r.after.Era() < era {
		f.log.Warn().Stringer("after", r.after).Uint64("known_era", era).Msg("store is in another era; reading a snapshot")
		r.after = 0
	}
	response, ok := r.read(ctx)
	if !ok {
		return
	}
	if !r.isCurrent(ctx, &response) {
		return
	}
	// A response counts once its changes are applied: deferred deletions wait for what it says.
	r.apply(&response, f.StoreRespondedAt().IsZero())
	f.noteStoreResponse()
	if !r.configurationUnread {
		f.confirmConfiguration(responseMadeAt(&response, f.clock.Now()))
	}
	if len(response.facts.Facts) > 0 && !response.snapshot && !r.takeToken(f.clock.Now()) {
		sleep(ctx, f.clock, r.intervals.batchDelay)
	}
}

// isCurrent reports whether a response continues what is known. If not, the next call reads a snapshot: changes of one
// era do not follow a revision of another one, and a response of an era before the latest known one is outdated.
func (r *storeReader) isCurrent(ctx context.Context, response *storeResponse) bool {
	f, era, known := r.fleetState, response.facts.Revision.Era(), r.fleetState.storeEra()
	line := func() *zerolog.Event {
		return f.log.Warn().Str("call", response.call).Stringer("after", response.after).Uint64("era", era).Uint64("known_era", known)
	}
	switch {
	case era < known:
		line().Msg("response of an earlier era of the store dropped")
		r.after = 0
		sleep(ctx, f.clock, storeRetryDelay+rand.N(storeRetryDelay))
	case !response.snapshot && era > response.after.Era():
		line().Msg("store is in another era; reading a snapshot")
		r.after = 0
	case response.err != nil:
		line().Err(response.err).Msg("store history is compacted; reading a snapshot")
		r.after = 0
	default:
		return true
	}
	return false
}

// readBurst is the number of changes in succession that are read immediately, before changes are batched. A
// version may be published right after changes of the configuration, and downloads of the version wait for its
// publication.
const readBurst = 4

// takeToken reports whether the next call may be made immediately, because few changes came recently.
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

// read calls the store until it responds. ok is false if the context has ended or the store no longer has to be
// read. An overdue call stays open only until another call gets a response: its connection may have failed
// silently, or the store may have recovered after it lost the call.
func (r *storeReader) read(ctx context.Context) (response storeResponse, ok bool) {
	f := r.fleetState
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := r.intervals.longPoll
	if f.isStoreDown() {
		wait = 0
	}
	responses, pending := make(chan storeResponse), 1
	first := r.startCall(ctx, wait, responses)
	nextCallAt := f.clock.Now().Add(wait + overdueAfter)
	for {
		select {
		case <-ctx.Done():
			return storeResponse{}, false
		case response = <-responses:
			if response.err == nil || errors.Is(response.err, provider.ErrCompacted) {
				return response, true
			}
			pending--
			r.callFailed(&response, "failed")
			if response.started.Equal(first.started) {
				nextCallAt = f.clock.Now().Add(storeRetryDelay + rand.N(storeRetryDelay))
			}
		case <-f.clock.After(nextCallAt.Sub(f.clock.Now())):
			if !r.shouldRead() {
				return storeResponse{}, false
			}
			if pending > 0 {
				first.err = errOverdue
				r.callFailed(&first, "overdue")
			}
			r.source.Reconnect()
			r.startCall(ctx, 0, responses)
			pending++
			nextCallAt = f.clock.Now().Add(jittered(r.probeInterval()))
		}
	}
}

// errOverdue is the error of a call that got no response in time.
var errOverdue = errors.New("response is overdue")

// jittered returns an interval that differs by up to a quarter, so that boxes do not call at the same time.
func jittered(interval time.Duration) time.Duration { return interval*3/4 + rand.N(interval/2) }

// startCall starts one call of the store, which waits for changes for at most the given time. It returns the state
// of the call at its start, and sends the result to responses.
func (r *storeReader) startCall(ctx context.Context, wait time.Duration, responses chan<- storeResponse) storeResponse {
	now := r.fleetState.clock.Now()
	response := storeResponse{call: "changes", snapshot: r.after == 0, started: now, due: now.Add(wait), after: r.after}
	if response.snapshot {
		response.call = "snapshot"
	}
	pending := response
	r.fleetState.tasks.Go(func(context.Context) {
		callCtx, cancel := clockwork.WithTimeout(ctx, r.fleetState.clock, wait+storeCallTimeout)
		defer cancel()
		if response.snapshot {
			response.facts, response.err = r.source.Snapshot(callCtx)
		} else {
			response.facts, response.err = r.source.Changes(callCtx, response.after, wait)
		}
		select {
		case responses <- response:
		case <-ctx.Done():
		}
	})
	return pending
}

// callFailed records a call that failed or is overdue.
func (r *storeReader) callFailed(response *storeResponse, result string) {
	r.fleetState.metrics.storeCalls.WithLabelValues(response.call, result).Inc()
	r.fleetState.noteStoreFailure(response.call, response.due, response.err)
}

// apply applies the result of a call. isFirst is set for the first result of the process.
func (r *storeReader) apply(response *storeResponse, isFirst bool) {
	f, batch := r.fleetState, response.facts
	f.metrics.storeCalls.WithLabelValues(response.call, "done").Inc()
	if response.snapshot || len(batch.Facts) > 0 {
		f.log.Info().Str("call", response.call).Stringer("after", response.after).Stringer("at", batch.Revision).Int("facts", len(batch.Facts)).
			Dur("taken_ms", f.clock.Since(response.started)).Msg("facts read from the store")
	}
	f.logFindings(batch.Errors, response.snapshot)
	if response.snapshot {
		f.ApplySnapshot(&batch, isFirst)
	} else {
		f.ApplyChanges(&batch, response.after, isFirst)
	}
	r.after = max(r.after, batch.Revision)
	hasConfiguration := slices.ContainsFunc(batch.Facts, func(fact fleet.Fact) bool { return fact.Configuration != nil })
	if response.snapshot || hasConfiguration || batch.HasUnreadableConfiguration {
		r.configurationUnread = batch.HasUnreadableConfiguration
	}
}

package lab

import (
	"errors"
	"maps"
	"strconv"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// unchangedReportInterval is the interval at which a box repeats a report that has not changed.
const unchangedReportInterval = 400 * time.Millisecond

// box is a simulated entry box. It uses the production dispatcher.
type box struct {
	sim    *simulation
	id     member.BoxID
	region int
	// peers are the other boxes of the cell.
	peers      []*box
	servers    []fleet.Server
	dispatcher *route.Dispatcher
	up         bool
	// live is the number of boxes that reported recently, including this one.
	live int
	// partitioned is set while no messages pass between this box and the others.
	partitioned bool
	// reportPending is set while a report of reportSoon is scheduled.
	reportPending bool
	// heardAt is when the last report of each peer arrived.
	heardAt map[*box]time.Time
	// hadFault is set once the box has been killed or partitioned.
	hadFault bool
	// incarnation changes when the box starts or is killed, which invalidates events scheduled before.
	incarnation int
	// localReporter reports to the peers in the same region, remoteReporter to those in other regions.
	localReporter, remoteReporter reporter
	// quarantine is the evidence on requests under which servers crashed. evidenceCursor is what of it has been reported, and
	// evidencePending is set while a report of it is scheduled.
	quarantine      *route.Quarantine
	evidenceCursor  uint64
	evidencePending bool
	// retries is the box's part of the retries of all boxes.
	retries boxRetries
	// inFlight are the requests that were sent to a server, and some that have ended since.
	inFlight []*request
}

// reporter sends a box's load and demand to some of its peers and keeps the last load sent.
type reporter struct {
	load   route.Load
	sentAt time.Time
}

// report sends the load and the demand to the peers in other regions if remote is set, otherwise to those in the
// same region. It sends nothing if the load is unchanged and was sent less than unchangedReportInterval ago.
func (r *reporter) report(b *box, remote bool, load route.Load, demand route.Demand, now time.Time) {
	if r.load != nil && now.Sub(r.sentAt) < unchangedReportInterval && maps.Equal(load, r.load) {
		return
	}
	r.load, r.sentAt = load, now
	for _, other := range b.peers {
		if (other.region != b.region) == remote {
			b.sim.result.Reports++
			other.receiveReport(b, load, demand)
		}
	}
}

// start starts the box with a new dispatcher. It receives a report from each running peer after the message delay.
func (b *box) start() {
	b.up = true
	b.incarnation++
	b.live = 0
	b.localReporter, b.remoteReporter = reporter{}, reporter{}
	b.dispatcher = route.NewDispatcher(route.DispatcherOptions{
		TypicalHoldTime: initialHoldTime, TTFB: initialTTFB, NeedsWeights: true, Random: b.sim.random.Float64, Box: b.id,
		OnLimitedSend: func() { b.reportSoon(b.incarnation) },
	})
	b.dispatcher.SetPriorityClasses(b.sim.deployment.hasSeveralPriorities())
	b.heardAt = make(map[*box]time.Time)
	for _, other := range b.peers {
		b.heardAt[other] = b.sim.Now()
	}
	b.updateBoxCount()
	b.startQuarantine()
	b.startRetries()
	b.initLimits()
	b.updateServers()
	for _, other := range b.peers {
		if other.up && other.dispatcher != nil {
			b.receiveReport(other, other.dispatcher.OwnLoad(), other.dispatcher.Demand(b.sim.Now()))
		}
	}
	b.reportPeriodically(b.incarnation)
}

// reportTimeout is the time without a report after which a peer counts as unreachable.
const reportTimeout = 1500 * time.Millisecond

// updateBoxCount passes the number of reachable peers to the dispatcher.
func (b *box) updateBoxCount() {
	live := 1
	for _, heardAt := range b.heardAt {
		if b.sim.Now().Sub(heardAt) < reportTimeout {
			live++
		}
	}
	if live != b.live {
		b.live = live
		b.dispatcher.SetBoxCount(live, len(b.peers)+1)
		b.updateServers()
	}
}

// updateServers passes the servers and their rate limits to the dispatcher.
func (b *box) updateServers() {
	b.dispatcher.SetServers(b.servers, 0, func(domain member.FailureDomain) bool { return domain == domainOf(b.region) }, b.sim.Now())
}

// kill stops the box and all its requests. Its peers drop the load that it reported.
func (b *box) kill() {
	b.up, b.hadFault = false, true
	b.incarnation++
	maps.DeleteFunc(b.sim.queued, func(r *request, _ struct{}) bool { return r.box == b })
	for _, other := range b.peers {
		if other.up {
			other.dispatcher.UpdatePeerLoad(b.id, nil, true, b.sim.Now())
		}
	}
}

// reportPeriodically reports the box's requests in flight to its peers until the incarnation ends.
func (b *box) reportPeriodically(incarnation int) {
	if b.incarnation != incarnation {
		return
	}
	b.updateBoxCount()
	b.exchangeRetryClaims()
	load, demand := b.dispatcher.OwnLoad(), b.dispatcher.Demand(b.sim.Now())
	now := b.sim.Now()
	b.localReporter.report(b, false, load, demand, now)
	if now.Sub(b.remoteReporter.sentAt) >= b.sim.deployment.RemoteReportInterval {
		b.remoteReporter.report(b, true, load, demand, now)
	}
	b.sim.AfterFunc(b.sim.deployment.ReportInterval, func() { b.reportPeriodically(incarnation) })
}

// reportBatchDelay is how long reportSoon waits, so that one report covers several requests.
const reportBatchDelay = 5 * time.Millisecond

// reportSoon reports to all peers after reportBatchDelay. It is called after a request was sent to a server with a low
// rate limit.
func (b *box) reportSoon(incarnation int) {
	if b.reportPending {
		return
	}
	b.reportPending = true
	b.sim.AfterFunc(reportBatchDelay, func() {
		b.reportPending = false
		if b.incarnation == incarnation {
			load, demand := b.dispatcher.OwnLoad(), b.dispatcher.Demand(b.sim.Now())
			b.localReporter.report(b, false, load, demand, b.sim.Now())
			b.remoteReporter.report(b, true, load, demand, b.sim.Now())
		}
	})
}

// receiveReport applies a report from another box after the message delay. The report is lost if either box restarts
// meanwhile or is partitioned when the report arrives.
func (b *box) receiveReport(from *box, load route.Load, demand route.Demand) {
	incarnation, fromIncarnation := b.incarnation, from.incarnation
	b.sim.AfterFunc(b.sim.delay(from.region, b.region), func() {
		if b.incarnation == incarnation && from.incarnation == fromIncarnation && !b.partitioned && !from.partitioned {
			b.heardAt[from] = b.sim.Now()
			b.dispatcher.UpdatePeerDemand(from.id, demand, b.sim.Now())
			b.dispatcher.UpdatePeerLoad(from.id, load, true, b.sim.Now())
		}
	})
}

// request is a caller's request at an entry box.
type request struct {
	box         *box
	incarnation int
	caller      *caller
	slotRequest route.SlotRequest
	// callerAttempt is the number of the caller's attempt, counted from 1.
	callerAttempt int
	// attempts counts the servers that the request was sent to.
	attempts int
	tried    []fleet.ServerID
	// retry is the current attempt's part of the retry budget; nil for the first attempt.
	retry *route.Retry
	// started is set once the response has started.
	started bool
	// lastEvent is when the box forwarded the last event to the caller.
	lastEvent   time.Time
	reservation *route.Reservation
	queued      *route.QueuedRequest
	job         *job
	server      *engine
	done        bool
	prompt      prompt
	// turn is the exclusive right to be sent to servers with suspect attributes, waitsFrom when the request began to wait
	// for the current attempt.
	turn      route.Turn
	waitsFrom time.Time
	// serverIncarnation is the incarnation of the server of the current attempt. succeeded is set once its response has been
	// in progress for successDuration.
	serverIncarnation int
	succeeded         bool
}

// serve accepts a request from a caller.
func (b *box) serve(c *caller) *request {
	now := b.sim.Now()
	b.retries.recordRequest(now)
	r := &request{box: b, incarnation: b.incarnation, caller: c, callerAttempt: c.attempts, prompt: c.prompt, waitsFrom: now}
	kind := c.kind
	engine := &b.sim.deployment.Engine
	r.slotRequest = route.SlotRequest{
		Priority: kind.Priority, Arrived: now, Objective: c.arrivedAt.Add(kind.Objective), Deadline: c.arrivedAt.Add(kind.Deadline),
		CallerTimeout: kind.CallerTimeout, Prefill: engine.prefillTime(c.promptTokens), Retry: c.attempts > 1,
	}
	if c.organisation >= 0 {
		r.slotRequest.Organisation = strconv.Itoa(c.organisation)
	}
	r.slotRequest.HoldTime = r.slotRequest.Prefill + time.Duration(c.responseTokens)*(engine.StepTime+time.Duration(engine.Slots/2)*engine.StepTimePerRequest)
	r.submit()
	return r
}

// prefillTime returns an entry box's estimate of the prefill time of a prompt.
func (e *Engine) prefillTime(tokens int) time.Duration {
	engine := fleet.Engine{PrefillTokensPerSecond: e.PrefillTokensPerSecond, PrefillChunkTokens: e.PrefillChunkTokens, StepsBetweenPrefills: e.StepsBetweenPrefills, StepTime: e.StepTime}
	return engine.PrefillTime(tokens)
}

// afterFunc calls run after a delay, unless the request is done or its box was killed by then.
func (r *request) afterFunc(wait time.Duration, run func()) {
	r.box.sim.AfterFunc(wait, func() {
		if r.box.incarnation == r.incarnation && !r.done {
			run()
		}
	})
}

// submit requests a slot from the dispatcher.
func (r *request) submit() {
	if !r.checkQuarantine() {
		return
	}
	req := r.slotRequest
	req.Tried = r.tried
	reservation, queued, err := r.box.dispatcher.Submit(&req, func(reservation *route.Reservation) {
		r.queued = nil
		delete(r.box.sim.queued, r)
		r.afterFunc(0, func() { r.send(reservation) })
	}, r.box.sim.Now())
	switch {
	case reservation != nil:
		r.send(reservation)
	case err != nil:
		r.reject(err)
	default:
		r.queued = queued
		r.box.sim.queued[r] = struct{}{}
		r.review()
	}
}

// review reviews a queued request at the times that the dispatcher returns, until it gets a slot or is rejected.
func (r *request) review() {
	if r.queued == nil {
		return
	}
	now := r.box.sim.Now()
	next, waiting, err := r.box.dispatcher.Review(r.queued, now)
	switch {
	case err != nil:
		r.queued = nil
		delete(r.box.sim.queued, r)
		r.reject(err)
	case waiting:
		r.afterFunc(next.Sub(now), r.review)
	}
}

// send sends the request to the server on which its slot is reserved.
func (r *request) send(reservation *route.Reservation) {
	r.reservation = reservation
	if !r.box.quarantine.MaySend(r.prompt.attributes, &r.turn, r.box.sim.Now()) {
		reservation.Release(route.ResultAbandoned, r.box.sim.Now())
		r.resubmit()
		return
	}
	if reservation.Check(r.box.sim.Now()) != nil {
		reservation.Release(route.ResultAbandoned, r.box.sim.Now())
		r.tried = append(r.tried, reservation.Server.ID)
		r.resubmit()
		return
	}
	r.box.sim.countInversions(r)
	r.attempts++
	r.tried = append(r.tried, reservation.Server.ID)
	server := r.box.sim.byID[reservation.Server.ID]
	delay := r.box.sim.delay(r.box.region, server.region)
	r.server, r.serverIncarnation, r.succeeded = server, server.incarnation, false
	r.box.inFlight = append(r.box.inFlight, r)
	r.job = &job{promptTokens: r.caller.promptTokens, responseTokens: r.caller.remainingTokens()}
	sent := r.job
	// afterDelay calls run after the message delay, unless the attempt has been aborted by then.
	afterDelay := func(run func()) {
		r.afterFunc(delay, func() {
			if r.job == sent {
				run()
			}
		})
	}
	sent.onEvent = func() { afterDelay(func() { r.forwardEvent(reservation) }) }
	sent.onEnd = func(complete bool) { afterDelay(func() { r.attemptEnded(complete) }) }
	if r.prompt.crashes {
		sent.crash = func() { r.box.sim.crashOnPart(server, r.box) }
	}
	r.afterFunc(delay, func() {
		if sent.dropped {
			return
		}
		r.recordArrival()
		server.countDuringBackoff(r.box, r.box.sim.result)
		server.recordArrival(r.box)
		server.recordColdArrival()
		switch {
		case server.failing > 0 && r.box.sim.random.Float64() < server.failing:
			afterDelay(func() { r.attemptEnded(false) })
		case server.rejecting:
			r.box.sim.result.RejectedAttempts++
			server.requestBackoff(r.box)
			retryAfter := server.retryAfter
			afterDelay(func() {
				if now := r.box.sim.Now(); retryAfter > 0 {
					reservation.BackOff(now.Add(retryAfter), now, nil)
				}
				r.attemptRejected(true)
			})
		case !server.submit(sent):
			afterDelay(func() { r.attemptRejected(server.up) })
		}
	})
}

// forwardEvent forwards an event of the response to the caller.
func (r *request) forwardEvent(reservation *route.Reservation) {
	reservation.Started(r.box.sim.Now())
	r.retry.Settle(r.box.sim.Now())
	if !r.succeeded && reservation.RespondingFor(r.box.sim.Now()) >= successDuration {
		r.recordSuccess()
	}
	r.box.observeLimit(r.server)
	r.started, r.lastEvent = true, r.box.sim.Now()
	r.afterFunc(r.box.sim.deployment.CallerDelay, func() { r.caller.receiveEvent(r) })
}

// attemptEnded handles the end of a response. If it is incomplete, the request is retried.
func (r *request) attemptEnded(complete bool) {
	now := r.box.sim.Now()
	if complete {
		r.recordSuccess()
		r.reservation.Release(route.ResultDone, now)
		r.reservation = nil
		r.afterFunc(r.box.sim.deployment.CallerDelay, func() {
			r.finish()
			r.caller.complete(r)
		})
		return
	}
	result := route.ResultFailed
	if !r.server.up {
		result = route.ResultServerExited
		r.recordExit()
	}
	r.reservation.Release(result, now)
	r.repeat()
}

// attemptRejected handles an attempt that the server rejected or, if up is false, that did not reach it.
func (r *request) attemptRejected(up bool) {
	result := route.ResultRefused
	if !up {
		result = route.ResultUnreachable
	}
	r.reservation.Release(result, r.box.sim.Now())
	r.repeat()
}

// repeat requests a slot on another server, or ends the response if MaxAttempts is reached or the retry budget is spent.
func (r *request) repeat() {
	r.retry.Settle(r.box.sim.Now())
	r.reservation = nil
	if r.attempts >= r.box.sim.deployment.MaxAttempts || !r.takeRetry() {
		r.afterFunc(r.box.sim.deployment.CallerDelay, func() {
			r.finish()
			r.caller.truncated(r)
		})
		return
	}
	r.resubmit()
}

// resubmit requests a slot for the next attempt.
func (r *request) resubmit() {
	r.reservation = nil
	now := r.box.sim.Now()
	r.waitsFrom = now
	r.slotRequest.Arrived, r.slotRequest.Retry = now, !r.started
	if r.started {
		r.slotRequest.Resuming, r.slotRequest.Priority, r.slotRequest.Objective = true, -1, r.lastEvent.Add(r.caller.kind.MaxEventGap)
	}
	r.submit()
}

// reject rejects the caller with the time to retry after, or truncates a response that has started.
func (r *request) reject(err error) {
	if r.started {
		r.afterFunc(r.box.sim.deployment.CallerDelay, func() {
			r.finish()
			r.caller.truncated(r)
		})
		return
	}
	wait := route.RetryAfter(err, r.slotRequest.Deadline.Sub(r.box.sim.Now()))
	var quarantined *route.QuarantinedError
	if errors.As(err, &quarantined) {
		wait = quarantined.Until.Sub(r.box.sim.Now())
	}
	r.afterFunc(r.box.sim.deployment.CallerDelay, func() {
		r.finish()
		r.caller.rejected(r, wait)
	})
}

// finish ends the request at the box.
func (r *request) finish() {
	r.done = true
	delete(r.box.sim.queued, r)
	r.retry.Settle(r.box.sim.Now())
	r.box.quarantine.EndTurn(&r.turn)
}

// cancel ends a request whose caller has disconnected.
func (r *request) cancel() {
	if r.done || r.box.incarnation != r.incarnation {
		return
	}
	r.finish()
	if r.queued != nil {
		r.box.dispatcher.Cancel(r.queued)
		r.queued = nil
	}
	if r.reservation != nil {
		r.server.cancel(r.job)
		r.reservation.Release(route.ResultAbandoned, r.box.sim.Now())
		r.reservation = nil
	}
}

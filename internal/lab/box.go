package lab

import (
	"maps"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// unchangedReportInterval is after which time a box tells the others again what has not changed.
const unchangedReportInterval = 400 * time.Millisecond

// box is an entry box. Its dispatcher is the one that runs in production.
type box struct {
	sim    *simulation
	id     member.BoxID
	region int
	// peers are the other boxes of its cell.
	peers      []*box
	servers    []fleet.Server
	dispatcher *route.Dispatcher
	up         bool
	// partitioned is set while it does not reach the other boxes, nor they it.
	partitioned bool
	// reportPending is set while a call of reportSoon is scheduled.
	reportPending bool
	// hadFault is set once the box has been killed or cut off.
	hadFault bool
	// incarnation changes when the box is killed, so that what was planned before lapses.
	incarnation int
	// localReport and far are what the others of the own region were told, and those of other regions.
	localReport, remoteReport lastReport
}

// lastReport is what some of the other boxes were told last.
type lastReport struct {
	load route.Load
	at   time.Time
}

// update tells the boxes of other regions, or of the own one, if there is something to tell.
func (t *lastReport) update(b *box, far bool, load route.Load, demand route.Demand, now time.Time) {
	if t.load != nil && now.Sub(t.at) < unchangedReportInterval && maps.Equal(load, t.load) {
		return
	}
	t.load, t.at = load, now
	for _, other := range b.peers {
		if (other.region != b.region) == far {
			other.receiveReport(b, load, demand)
		}
	}
}

// start starts the box; it knows nothing of the others yet.
func (b *box) start() {
	b.up = true
	b.incarnation++
	b.localReport, b.remoteReport = lastReport{}, lastReport{}
	b.dispatcher = route.NewDispatcher(route.DispatcherOptions{
		TypicalHoldTime: initialHoldTime, TTFB: initialTTFB, NeedsWeights: true, Random: b.sim.random.Float64, Box: b.id,
		OnLimitedSend: func() { b.reportSoon(b.incarnation) },
	})
	b.dispatcher.SetBoxCount(len(b.peers) + 1)
	b.initLimits()
	b.updateServers()
	for _, other := range b.peers {
		if other.up && other.dispatcher != nil {
			b.receiveReport(other, other.dispatcher.OwnLoad(), other.dispatcher.Demand(b.sim.Now()))
		}
	}
	b.reportPeriodically(b.incarnation)
}

// updateServers updates the dispatcher with the servers and their rate limits.
func (b *box) updateServers() {
	b.dispatcher.SetServers(b.servers, 0, func(domain member.FailureDomain) bool { return domain == domainOf(b.region) }, b.sim.Now())
}

// kill ends the box and all that it was doing.
func (b *box) kill() {
	b.up, b.hadFault = false, true
	b.incarnation++
	for _, other := range b.peers {
		if other.up {
			other.dispatcher.UpdatePeerLoad(b.id, nil, true, b.sim.Now())
		}
	}
}

// reportPeriodically tells the others what is in flight here, again and again.
func (b *box) reportPeriodically(life int) {
	if b.incarnation != life {
		return
	}
	load, demand := b.dispatcher.OwnLoad(), b.dispatcher.Demand(b.sim.Now())
	now := b.sim.Now()
	b.localReport.update(b, false, load, demand, now)
	if now.Sub(b.remoteReport.at) >= b.sim.deployment.RemoteReportInterval {
		b.remoteReport.update(b, true, load, demand, now)
	}
	b.sim.AfterFunc(b.sim.deployment.ReportInterval, func() { b.reportPeriodically(life) })
}

// reportBatchDelay is how long reportSoon waits, to batch requests.
const reportBatchDelay = 5 * time.Millisecond

// reportSoon reports requests to servers with a low rate limit to the other boxes after reportBatchDelay.
func (b *box) reportSoon(life int) {
	if b.reportPending {
		return
	}
	b.reportPending = true
	b.sim.AfterFunc(reportBatchDelay, func() {
		b.reportPending = false
		if b.incarnation == life {
			load, demand := b.dispatcher.OwnLoad(), b.dispatcher.Demand(b.sim.Now())
			b.localReport.update(b, false, load, demand, b.sim.Now())
			b.remoteReport.update(b, true, load, demand, b.sim.Now())
		}
	})
}

// receiveReport takes what another box tells, a little later.
func (b *box) receiveReport(from *box, load route.Load, demand route.Demand) {
	life, fromLife := b.incarnation, from.incarnation
	b.sim.AfterFunc(b.sim.delay(from.region, b.region), func() {
		if b.incarnation == life && from.incarnation == fromLife && !b.partitioned && !from.partitioned {
			b.dispatcher.UpdatePeerDemand(from.id, demand, b.sim.Now())
			b.dispatcher.UpdatePeerLoad(from.id, load, true, b.sim.Now())
		}
	})
}

// request is one request of a caller at a box.
type request struct {
	box         *box
	incarnation int
	caller      *caller
	slotRequest route.SlotRequest
	// callerAttempt is the number of the caller's attempt that the request belongs to.
	callerAttempt int
	attempts      int
	tried         []fleet.ServerID
	started       bool
	// lastEvent is when the newest event was passed on.
	lastEvent   time.Time
	reservation *route.Reservation
	queued      *route.QueuedRequest
	job         *job
	server      *engine
	done        bool
}

// serve takes a request.
func (b *box) serve(c *caller) *request {
	r := &request{box: b, incarnation: b.incarnation, caller: c, callerAttempt: c.attempts}
	now := b.sim.Now()
	kind := c.kind
	engine := &b.sim.deployment.Engine
	r.slotRequest = route.SlotRequest{
		Priority: kind.Priority, Arrived: now, Objective: c.arrivedAt.Add(kind.Objective), Deadline: c.arrivedAt.Add(kind.Deadline),
		CallerTimeout: kind.CallerTimeout, Prefill: engine.prefillTime(c.promptTokens), Retry: c.attempts > 1,
	}
	r.slotRequest.HoldTime = r.slotRequest.Prefill + time.Duration(c.responseTokens)*(engine.StepTime+time.Duration(engine.Slots/2)*engine.StepTimePerRequest)
	r.submit()
	return r
}

// prefillTime is how long an entry box takes a prompt to be read.
func (e *Engine) prefillTime(tokens int) time.Duration {
	engine := fleet.Engine{PrefillTokensPerSecond: e.PrefillTokensPerSecond, PrefillChunkTokens: e.PrefillChunkTokens, StepsBetweenPrefills: e.StepsBetweenPrefills, StepTime: e.StepTime}
	return engine.PrefillTime(tokens)
}

// afterFunc runs something at the box after a time, if the request lives.
func (r *request) afterFunc(wait time.Duration, run func()) {
	r.box.sim.AfterFunc(wait, func() {
		if r.box.incarnation == r.incarnation && !r.done {
			run()
		}
	})
}

// submit asks for a place.
func (r *request) submit() {
	ask := r.slotRequest
	ask.Tried = r.tried
	place, waiting, err := r.box.dispatcher.Submit(&ask, func(place *route.Reservation) {
		r.queued = nil
		r.afterFunc(0, func() { r.send(place) })
	}, r.box.sim.Now())
	switch {
	case place != nil:
		r.send(place)
	case err != nil:
		r.reject(err)
	default:
		r.queued = waiting
		r.review()
	}
}

// review looks at a waiting request again and again.
func (r *request) review() {
	if r.queued == nil {
		return
	}
	now := r.box.sim.Now()
	again, waits, err := r.box.dispatcher.Review(r.queued, now)
	switch {
	case err != nil:
		r.queued = nil
		r.reject(err)
	case waits:
		r.afterFunc(again.Sub(now), r.review)
	}
}

// send sends the request to a server.
func (r *request) send(place *route.Reservation) {
	r.reservation = place
	if place.Check(r.box.sim.Now()) != nil {
		place.Release(route.ResultAbandoned, r.box.sim.Now())
		r.tried = append(r.tried, place.Server.ID)
		r.retry()
		return
	}
	r.attempts++
	r.tried = append(r.tried, place.Server.ID)
	server := r.box.sim.byID[place.Server.ID]
	delay := r.box.sim.delay(r.box.region, server.region)
	r.server = server
	r.job = &job{promptTokens: r.caller.promptTokens, responseTokens: r.caller.remainingTokens()}
	r.job.onEvent = func() { r.afterFunc(delay, func() { r.forwardEvent(place) }) }
	r.job.onEnd = func(whole bool) { r.afterFunc(delay, func() { r.attemptEnded(whole) }) }
	sent := r.job
	r.afterFunc(delay, func() {
		if sent.dropped {
			return
		}
		server.countDuringBackoff(r.box, r.box.sim.result)
		server.recordArrival(r.box)
		switch {
		case server.rejecting:
			r.box.sim.result.RejectedAttempts++
			server.requestBackoff(r.box)
			rest := server.retryAfter
			r.afterFunc(delay, func() {
				if now := r.box.sim.Now(); rest > 0 {
					place.BackOff(now.Add(rest), now)
				}
				r.attemptRejected(true)
			})
		case !server.submit(sent):
			r.afterFunc(delay, func() { r.attemptRejected(server.up) })
		}
	})
}

// forwardEvent passes an event on.
func (r *request) forwardEvent(place *route.Reservation) {
	place.Started(r.box.sim.Now())
	r.box.observeLimit(r.server)
	r.started, r.lastEvent = true, r.box.sim.Now()
	r.afterFunc(r.box.sim.deployment.CallerDelay, func() { r.caller.receiveEvent(r) })
}

// attemptEnded ends an attempt whose server has ended it.
func (r *request) attemptEnded(whole bool) {
	now := r.box.sim.Now()
	if whole {
		r.reservation.Release(route.ResultDone, now)
		r.reservation = nil
		r.afterFunc(r.box.sim.deployment.CallerDelay, func() {
			r.done = true
			r.caller.complete(r)
		})
		return
	}
	r.reservation.Release(route.ResultFailed, now)
	r.retry()
}

// attemptRejected ends an attempt whose server did not take it.
func (r *request) attemptRejected(up bool) {
	result := route.ResultRefused
	if !up {
		result = route.ResultUnreachable
	}
	r.reservation.Release(result, r.box.sim.Now())
	r.retry()
}

// retry goes on at another server, if one more may be tried.
func (r *request) retry() {
	r.reservation = nil
	if r.attempts >= r.box.sim.deployment.MaxAttempts {
		r.afterFunc(r.box.sim.deployment.CallerDelay, func() {
			r.done = true
			r.caller.truncated(r)
		})
		return
	}
	now := r.box.sim.Now()
	r.slotRequest.Arrived, r.slotRequest.Retry = now, !r.started
	if r.started {
		r.slotRequest.Resuming, r.slotRequest.Priority, r.slotRequest.Objective = true, -1, r.lastEvent.Add(r.caller.kind.MaxEventGap)
	}
	r.submit()
}

// reject tells the caller when to come back.
func (r *request) reject(err error) {
	if r.started {
		r.afterFunc(r.box.sim.deployment.CallerDelay, func() {
			r.done = true
			r.caller.truncated(r)
		})
		return
	}
	wait := route.RetryAfter(err, r.slotRequest.Deadline.Sub(r.box.sim.Now()))
	r.afterFunc(r.box.sim.deployment.CallerDelay, func() {
		r.done = true
		r.caller.rejected(r, wait)
	})
}

// cancel ends a request whose caller has left.
func (r *request) cancel() {
	if r.done || r.box.incarnation != r.incarnation {
		return
	}
	r.done = true
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

package lab

import (
	"maps"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// tellAgain is after which time a box tells the others again what has not changed.
const tellAgain = 400 * time.Millisecond

// box is an entry box. Its dispatcher is the one that runs in production.
type box struct {
	world  *world
	id     member.BoxID
	region int
	// mates are the other boxes of its cell.
	mates      []*box
	servers    []fleet.Server
	dispatcher *route.Dispatcher
	up         bool
	// cutOff is set while it does not reach the other boxes, nor they it.
	cutOff bool
	// tellPending is set while a call of tellSoon is scheduled.
	tellPending bool
	// struck is set once the box has been killed or cut off.
	struck bool
	// life changes when the box is killed, so that what was planned before lapses.
	life int
	// near and far are what the others of the own region were told, and those of other regions.
	near, far told
}

// told is what some of the other boxes were told last.
type told struct {
	load route.Load
	at   time.Time
}

// tell tells the boxes of other regions, or of the own one, if there is something to tell.
func (t *told) tell(b *box, far bool, load route.Load, demand route.Demand, now time.Time) {
	if t.load != nil && now.Sub(t.at) < tellAgain && maps.Equal(load, t.load) {
		return
	}
	t.load, t.at = load, now
	for _, other := range b.mates {
		if (other.region != b.region) == far {
			other.hear(b, load, demand)
		}
	}
}

// start starts the box; it knows nothing of the others yet.
func (b *box) start() {
	b.up = true
	b.life++
	b.near, b.far = told{}, told{}
	b.dispatcher = route.NewDispatcher(route.DispatcherOptions{
		TypicalHoldTime: usualTime, TTFB: firstTime, NeedsWeights: true, Random: b.world.random.Float64, Box: b.id,
		OnLimitedSend: func() { b.tellSoon(b.life) },
	})
	b.dispatcher.SetBoxCount(len(b.mates) + 1)
	b.learnLimits()
	b.listServers()
	for _, other := range b.mates {
		if other.up && other.dispatcher != nil {
			b.hear(other, other.dispatcher.OwnLoad(), other.dispatcher.Demand(b.world.Now()))
		}
	}
	b.tell(b.life)
}

// listServers updates the dispatcher with the servers and their rate limits.
func (b *box) listServers() {
	b.dispatcher.SetServers(b.servers, 0, func(domain member.FailureDomain) bool { return domain == domainOf(b.region) }, b.world.Now())
}

// kill ends the box and all that it was doing.
func (b *box) kill() {
	b.up, b.struck = false, true
	b.life++
	for _, other := range b.mates {
		if other.up {
			other.dispatcher.UpdatePeerLoad(b.id, nil, true, b.world.Now())
		}
	}
}

// tell tells the others what is in flight here, again and again.
func (b *box) tell(life int) {
	if b.life != life {
		return
	}
	load, demand := b.dispatcher.OwnLoad(), b.dispatcher.Demand(b.world.Now())
	now := b.world.Now()
	b.near.tell(b, false, load, demand, now)
	if now.Sub(b.far.at) >= b.world.deployment.FarTellInterval {
		b.far.tell(b, true, load, demand, now)
	}
	b.world.AfterFunc(b.world.deployment.TellInterval, func() { b.tell(life) })
}

// tellDelay is how long tellSoon waits, to batch requests.
const tellDelay = 5 * time.Millisecond

// tellSoon reports requests to servers with a low rate limit to the other boxes after tellDelay.
func (b *box) tellSoon(life int) {
	if b.tellPending {
		return
	}
	b.tellPending = true
	b.world.AfterFunc(tellDelay, func() {
		b.tellPending = false
		if b.life == life {
			load, demand := b.dispatcher.OwnLoad(), b.dispatcher.Demand(b.world.Now())
			b.near.tell(b, false, load, demand, b.world.Now())
			b.far.tell(b, true, load, demand, b.world.Now())
		}
	})
}

// hear takes what another box tells, a little later.
func (b *box) hear(from *box, load route.Load, demand route.Demand) {
	life, fromLife := b.life, from.life
	b.world.AfterFunc(b.world.delay(from.region, b.region), func() {
		if b.life == life && from.life == fromLife && !b.cutOff && !from.cutOff {
			b.dispatcher.UpdatePeerDemand(from.id, demand, b.world.Now())
			b.dispatcher.UpdatePeerLoad(from.id, load, true, b.world.Now())
		}
	})
}

// request is one request of a caller at a box.
type request struct {
	box    *box
	life   int
	caller *caller
	ask    route.SlotRequest
	// try is the number of the caller's attempt that the request belongs to.
	try      int
	attempts int
	tried    []fleet.ServerID
	begun    bool
	// passed is when the newest event was passed on.
	passed  time.Time
	place   *route.Reservation
	waiting *route.QueuedRequest
	job     *job
	server  *engine
	ended   bool
}

// serve takes a request.
func (b *box) serve(c *caller) *request {
	r := &request{box: b, life: b.life, caller: c, try: c.tries}
	now := b.world.Now()
	kind := c.kind
	engine := &b.world.deployment.Engine
	r.ask = route.SlotRequest{
		Priority: kind.Priority, Arrived: now, Objective: c.first.Add(kind.Objective), Deadline: c.first.Add(kind.Deadline),
		CallerTimeout: kind.Patience, Prefill: engine.reading(c.prompt), Retry: c.tries > 1,
	}
	r.ask.HoldTime = r.ask.Prefill + time.Duration(c.answer)*(engine.Step+time.Duration(engine.Slots/2)*engine.StepPerRequest)
	r.submit()
	return r
}

// reading is how long an entry box takes a prompt to be read.
func (e *Engine) reading(tokens int) time.Duration {
	engine := fleet.Engine{PrefillTokensPerSecond: e.ReadPerSecond, PrefillChunkTokens: e.ReadAtOnce, StepsBetweenPrefills: e.Stride, StepTime: e.Step}
	return engine.PrefillTime(tokens)
}

// later runs something at the box after a time, if the request lives.
func (r *request) later(wait time.Duration, run func()) {
	r.box.world.AfterFunc(wait, func() {
		if r.box.life == r.life && !r.ended {
			run()
		}
	})
}

// submit asks for a place.
func (r *request) submit() {
	ask := r.ask
	ask.Tried = r.tried
	place, waiting, err := r.box.dispatcher.Submit(&ask, func(place *route.Reservation) {
		r.waiting = nil
		r.later(0, func() { r.send(place) })
	}, r.box.world.Now())
	switch {
	case place != nil:
		r.send(place)
	case err != nil:
		r.refuse(err)
	default:
		r.waiting = waiting
		r.review()
	}
}

// review looks at a waiting request again and again.
func (r *request) review() {
	if r.waiting == nil {
		return
	}
	now := r.box.world.Now()
	again, waits, err := r.box.dispatcher.Review(r.waiting, now)
	switch {
	case err != nil:
		r.waiting = nil
		r.refuse(err)
	case waits:
		r.later(again.Sub(now), r.review)
	}
}

// send sends the request to a server.
func (r *request) send(place *route.Reservation) {
	r.place = place
	if place.Check(r.box.world.Now()) != nil {
		place.Release(route.ResultAbandoned, r.box.world.Now())
		r.tried = append(r.tried, place.Server.ID)
		r.again()
		return
	}
	r.attempts++
	r.tried = append(r.tried, place.Server.ID)
	server := r.box.world.byID[place.Server.ID]
	delay := r.box.world.delay(r.box.region, server.region)
	r.server = server
	r.job = &job{prompt: r.caller.prompt, answer: r.caller.unwritten()}
	r.job.event = func() { r.later(delay, func() { r.event(place) }) }
	r.job.ended = func(whole bool) { r.later(delay, func() { r.over(whole) }) }
	sent := r.job
	r.later(delay, func() {
		if sent.gone {
			return
		}
		server.noteRest(r.box, r.box.world.result)
		server.noteArrival(r.box)
		switch {
		case server.turnsAway:
			r.box.world.result.TurnedAway++
			server.turnAway(r.box)
			rest := server.rest
			r.later(delay, func() {
				if now := r.box.world.Now(); rest > 0 {
					place.BackOff(now.Add(rest), now)
				}
				r.turnedAway(true)
			})
		case !server.submit(sent):
			r.later(delay, func() { r.turnedAway(server.up) })
		}
	})
}

// event passes an event on.
func (r *request) event(place *route.Reservation) {
	place.Started(r.box.world.Now())
	r.box.hearLimit(r.server)
	r.begun, r.passed = true, r.box.world.Now()
	r.later(r.box.world.deployment.CallerDelay, func() { r.caller.event(r) })
}

// over ends an attempt whose server has ended it.
func (r *request) over(whole bool) {
	now := r.box.world.Now()
	if whole {
		r.place.Release(route.ResultDone, now)
		r.place = nil
		r.later(r.box.world.deployment.CallerDelay, func() {
			r.ended = true
			r.caller.whole(r)
		})
		return
	}
	r.place.Release(route.ResultFailed, now)
	r.again()
}

// turnedAway ends an attempt whose server did not take it.
func (r *request) turnedAway(up bool) {
	result := route.ResultRefused
	if !up {
		result = route.ResultUnreachable
	}
	r.place.Release(result, r.box.world.Now())
	r.again()
}

// again goes on at another server, if one more may be tried.
func (r *request) again() {
	r.place = nil
	if r.attempts >= r.box.world.deployment.MaxAttempts {
		r.later(r.box.world.deployment.CallerDelay, func() {
			r.ended = true
			r.caller.broken(r)
		})
		return
	}
	now := r.box.world.Now()
	r.ask.Arrived, r.ask.Retry = now, !r.begun
	if r.begun {
		r.ask.Resuming, r.ask.Priority, r.ask.Objective = true, -1, r.passed.Add(r.caller.kind.Pause)
	}
	r.submit()
}

// refuse tells the caller when to come back.
func (r *request) refuse(err error) {
	if r.begun {
		r.later(r.box.world.deployment.CallerDelay, func() {
			r.ended = true
			r.caller.broken(r)
		})
		return
	}
	wait := route.RetryAfter(err, r.ask.Deadline.Sub(r.box.world.Now()))
	r.later(r.box.world.deployment.CallerDelay, func() {
		r.ended = true
		r.caller.refused(r, wait)
	})
}

// drop ends a request whose caller has left.
func (r *request) drop() {
	if r.ended || r.box.life != r.life {
		return
	}
	r.ended = true
	if r.waiting != nil {
		r.box.dispatcher.Cancel(r.waiting)
		r.waiting = nil
	}
	if r.place != nil {
		r.server.cancel(r.job)
		r.place.Release(route.ResultAbandoned, r.box.world.Now())
		r.place = nil
	}
}

package lab

import (
	"time"
)

const (
	// connectRetryInterval is after which time a caller that reached no entry box tries again.
	connectRetryInterval = 100 * time.Millisecond
	// retryWaitDivisor is the part of its remaining time for which a caller waits as it is told.
	retryWaitDivisor = 3
)

// caller asks for one answer.
type caller struct {
	sim            *simulation
	region         int
	kind           *RequestKind
	promptTokens   int
	responseTokens int
	arrivedAt      time.Time
	attempts       int
	// events is how many events have come, begun when the first did, last the newest.
	events      int
	firstEvent  time.Time
	lastEvent   time.Time
	maxEventGap time.Duration
	// sentAt is when the present try began.
	sentAt  time.Time
	request *request
	done    bool
}

func newCaller(w *simulation, region int, kind *RequestKind) *caller {
	return &caller{
		sim: w, region: region, kind: kind, arrivedAt: w.Now(),
		promptTokens: w.randomSize(kind.Prompt, kind.PromptSpread), responseTokens: w.randomSize(kind.Response, kind.ResponseSpread),
	}
}

// remainingTokens is how many tokens of the answer have not come yet.
func (c *caller) remainingTokens() int {
	return max(1, c.responseTokens-c.events*c.sim.deployment.Engine.EventTokens)
}

func (c *caller) timeLeft() time.Duration { return c.arrivedAt.Add(c.kind.Deadline).Sub(c.sim.Now()) }

// send asks an entry box of the region.
func (c *caller) send() {
	if c.done {
		return
	}
	if c.timeLeft() <= 0 {
		c.finish(OutcomeFailed)
		return
	}
	if c.attempts == 0 {
		c.sim.AfterFunc(c.kind.Deadline, func() {
			if !c.done {
				c.abandon()
			}
		})
	}
	var near []*box
	for _, b := range c.sim.boxes {
		if b.region == c.region && b.up {
			near = append(near, b)
		}
	}
	if len(near) == 0 {
		c.sim.AfterFunc(connectRetryInterval, c.send)
		return
	}
	b := near[c.sim.random.IntN(len(near))]
	c.attempts++
	c.sentAt = c.sim.Now()
	life := b.incarnation
	c.sim.AfterFunc(c.sim.deployment.CallerDelay, func() {
		if c.done {
			return
		}
		if b.incarnation != life {
			c.disconnected(nil)
			return
		}
		c.request = b.serve(c)
		c.watchBox(c.request)
		c.watchTimeout(c.request)
	})
}

// watchBox notices when the entry box has been killed.
func (c *caller) watchBox(r *request) {
	c.sim.AfterFunc(connectRetryInterval, func() {
		switch {
		case c.done || c.request != r || r.done:
		case r.box.incarnation != r.incarnation:
			c.disconnected(r)
		default:
			c.watchBox(r)
		}
	})
}

// watchTimeout lets the caller leave after a silence.
func (c *caller) watchTimeout(r *request) {
	since := c.sentAt
	if c.lastEvent.After(since) {
		since = c.lastEvent
	}
	c.sim.AfterFunc(since.Add(c.kind.CallerTimeout).Sub(c.sim.Now()), func() {
		if c.done || c.request != r || r.done {
			return
		}
		if c.lastEvent.After(since) {
			c.watchTimeout(r)
			return
		}
		c.abandon()
	})
}

// receiveEvent takes an event.
func (c *caller) receiveEvent(r *request) {
	if c.done || c.request != r {
		return
	}
	now := c.sim.Now()
	if c.events == 0 {
		c.firstEvent = now
	} else {
		c.maxEventGap = max(c.maxEventGap, now.Sub(c.lastEvent))
	}
	c.events++
	c.lastEvent = now
}

// complete takes the end of the answer.
func (c *caller) complete(r *request) {
	if c.done || c.request != r {
		return
	}
	if c.firstEvent.Sub(c.arrivedAt) <= c.kind.Objective && c.maxEventGap <= c.kind.MaxEventGap {
		c.finish(OutcomeInTime)
		return
	}
	c.finish(OutcomeLate)
}

// rejected comes back when it was told to, if it may.
func (c *caller) rejected(r *request, wait time.Duration) {
	if c.done || c.request != r {
		return
	}
	if c.attempts > c.kind.Retries {
		c.finish(OutcomeRejected)
		return
	}
	c.sim.AfterFunc(min(wait, c.timeLeft()/retryWaitDivisor), c.send)
}

// truncated comes back after an answer that broke off.
func (c *caller) truncated(r *request) {
	if c.done || c.request != r {
		return
	}
	if c.attempts > c.kind.Retries {
		c.finish(OutcomeFailed)
		return
	}
	c.send()
}

// disconnected comes back after its entry box was killed.
func (c *caller) disconnected(r *request) {
	if c.done || r != nil && c.request != r {
		return
	}
	if c.attempts > c.kind.Retries {
		c.finish(OutcomeFailed)
		return
	}
	c.send()
}

// abandon gives up.
func (c *caller) abandon() {
	if r := c.request; r != nil {
		c.sim.AfterFunc(c.sim.deployment.CallerDelay, r.cancel)
	}
	c.finish(OutcomeFailed)
}

func (c *caller) finish(outcome Outcome) {
	c.done = true
	c.sim.result.add(c, outcome)
}

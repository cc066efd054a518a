package lab

import (
	"time"
)

const (
	// connectRetryInterval is the time after which a caller tries to connect again if no entry box in its region is up,
	// and the interval at which it checks whether its entry box is still up.
	connectRetryInterval = 100 * time.Millisecond
	// retryWaitDivisor limits the wait before a retry to the time until the deadline divided by it.
	retryWaitDivisor = 3
)

// caller is a client that sends one request and retries it.
type caller struct {
	sim            *simulation
	region         int
	kind           *RequestKind
	promptTokens   int
	responseTokens int
	prompt         prompt
	// organisation is the number of the caller's organisation; -1 if it has none.
	organisation int
	// arrivedAt is when the caller sent its first attempt, from which objective and deadline count.
	arrivedAt time.Time
	attempts  int
	// events counts the received events; firstEvent and lastEvent are when the first and the last were received.
	events      int
	firstEvent  time.Time
	lastEvent   time.Time
	maxEventGap time.Duration
	// sentAt is when the current attempt was sent.
	sentAt  time.Time
	request *request
	done    bool
}

func newCaller(sim *simulation, region int, kind *RequestKind) *caller {
	return &caller{
		sim: sim, region: region, kind: kind, arrivedAt: sim.Now(),
		promptTokens: sim.randomSize(kind.Prompt, kind.PromptSpread), responseTokens: sim.randomSize(kind.Response, kind.ResponseSpread),
		prompt: sim.prompts.draw(), organisation: sim.drawOrganisation(),
	}
}

// remainingTokens estimates how many response tokens are still missing, at least 1.
func (c *caller) remainingTokens() int {
	return max(1, c.responseTokens-c.events*c.sim.deployment.Engine.EventTokens)
}

func (c *caller) timeLeft() time.Duration { return c.arrivedAt.Add(c.kind.Deadline).Sub(c.sim.Now()) }

// send sends an attempt to a random entry box of the region.
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
	var local []*box
	for _, b := range c.sim.boxes {
		if b.region == c.region && b.up {
			local = append(local, b)
		}
	}
	if len(local) == 0 {
		c.sim.AfterFunc(connectRetryInterval, c.send)
		return
	}
	b := local[c.sim.random.IntN(len(local))]
	c.attempts++
	c.sentAt = c.sim.Now()
	c.sim.result.retryLog.Requests = append(c.sim.result.retryLog.Requests, c.sentAt)
	incarnation := b.incarnation
	c.sim.AfterFunc(c.sim.deployment.CallerDelay, func() {
		if c.done {
			return
		}
		if b.incarnation != incarnation {
			c.disconnected(nil)
			return
		}
		c.request = b.serve(c)
		c.watchBox(c.request)
		c.watchTimeout(c.request)
	})
}

// watchBox detects that the entry box was killed.
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

// watchTimeout makes the caller disconnect when no event arrives for its CallerTimeout.
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

// receiveEvent records an event of the response.
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

// complete handles the end of a complete response.
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

// rejected handles a rejection: the caller retries after wait if it has a retry left.
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

// truncated handles a response that failed or is incomplete: the caller retries at once if it has a retry left.
func (c *caller) truncated(r *request) {
	if c.done || c.request != r {
		return
	}
	c.sim.result.Truncated++
	if c.attempts > c.kind.Retries {
		c.finish(OutcomeFailed)
		return
	}
	c.send()
}

// disconnected handles the loss of the entry box: the caller retries at once if it has a retry left.
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

// abandon ends the caller without a response and cancels its request.
func (c *caller) abandon() {
	if r := c.request; r != nil {
		c.sim.AfterFunc(c.sim.deployment.CallerDelay, r.cancel)
	}
	c.finish(OutcomeFailed)
}

func (c *caller) finish(outcome Outcome) {
	c.done = true
	if c.prompt.crashes {
		return
	}
	c.sim.result.add(c, outcome)
}

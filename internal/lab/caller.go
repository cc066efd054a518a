package lab

import (
	"time"
)

const (
	// connectRetry is after which time a caller that reached no entry box tries again.
	connectRetry = 100 * time.Millisecond
	// retryPart is the part of its remaining time for which a caller waits as it is told.
	retryPart = 3
)

// caller asks for one answer.
type caller struct {
	world  *world
	region int
	kind   *Kind
	prompt int
	answer int
	first  time.Time
	tries  int
	// events is how many events have come, begun when the first did, last the newest.
	events int
	begun  time.Time
	last   time.Time
	pause  time.Duration
	// sent is when the present try began.
	sent    time.Time
	request *request
	done    bool
}

func newCaller(w *world, region int, kind *Kind) *caller {
	return &caller{
		world: w, region: region, kind: kind, first: w.Now(),
		prompt: w.draw(kind.Prompt, kind.PromptSpread), answer: w.draw(kind.Answer, kind.AnswerSpread),
	}
}

// unwritten is how many tokens of the answer have not come yet.
func (c *caller) unwritten() int {
	return max(1, c.answer-c.events*c.world.deployment.Engine.EventTokens)
}

func (c *caller) remaining() time.Duration { return c.first.Add(c.kind.Deadline).Sub(c.world.Now()) }

// send asks an entry box of the region.
func (c *caller) send() {
	if c.done {
		return
	}
	if c.remaining() <= 0 {
		c.end(OutcomeFailed)
		return
	}
	if c.tries == 0 {
		c.world.AfterFunc(c.kind.Deadline, func() {
			if !c.done {
				c.leave()
			}
		})
	}
	var near []*box
	for _, b := range c.world.boxes {
		if b.region == c.region && b.up {
			near = append(near, b)
		}
	}
	if len(near) == 0 {
		c.world.AfterFunc(connectRetry, c.send)
		return
	}
	b := near[c.world.random.IntN(len(near))]
	c.tries++
	c.sent = c.world.Now()
	life := b.life
	c.world.AfterFunc(c.world.deployment.CallerDelay, func() {
		if c.done {
			return
		}
		if b.life != life {
			c.lost(nil)
			return
		}
		c.request = b.serve(c)
		c.watchBox(c.request)
		c.watchSilence(c.request)
	})
}

// watchBox notices when the entry box has been killed.
func (c *caller) watchBox(r *request) {
	c.world.AfterFunc(connectRetry, func() {
		switch {
		case c.done || c.request != r || r.ended:
		case r.box.life != r.life:
			c.lost(r)
		default:
			c.watchBox(r)
		}
	})
}

// watchSilence lets the caller leave after a silence.
func (c *caller) watchSilence(r *request) {
	since := c.sent
	if c.last.After(since) {
		since = c.last
	}
	c.world.AfterFunc(since.Add(c.kind.Patience).Sub(c.world.Now()), func() {
		if c.done || c.request != r || r.ended {
			return
		}
		if c.last.After(since) {
			c.watchSilence(r)
			return
		}
		c.leave()
	})
}

// event takes an event.
func (c *caller) event(r *request) {
	if c.done || c.request != r {
		return
	}
	now := c.world.Now()
	if c.events == 0 {
		c.begun = now
	} else {
		c.pause = max(c.pause, now.Sub(c.last))
	}
	c.events++
	c.last = now
}

// whole takes the end of the answer.
func (c *caller) whole(r *request) {
	if c.done || c.request != r {
		return
	}
	if c.begun.Sub(c.first) <= c.kind.Objective && c.pause <= c.kind.Pause {
		c.end(OutcomeInTime)
		return
	}
	c.end(OutcomeLate)
}

// refused comes back when it was told to, if it may.
func (c *caller) refused(r *request, wait time.Duration) {
	if c.done || c.request != r {
		return
	}
	if c.tries > c.kind.Retries {
		c.end(OutcomeRefused)
		return
	}
	c.world.AfterFunc(min(wait, c.remaining()/retryPart), c.send)
}

// broken comes back after an answer that broke off.
func (c *caller) broken(r *request) {
	if c.done || c.request != r {
		return
	}
	if c.tries > c.kind.Retries {
		c.end(OutcomeFailed)
		return
	}
	c.send()
}

// lost comes back after its entry box was killed.
func (c *caller) lost(r *request) {
	if c.done || r != nil && c.request != r {
		return
	}
	if c.tries > c.kind.Retries {
		c.end(OutcomeFailed)
		return
	}
	c.send()
}

// leave gives up.
func (c *caller) leave() {
	if r := c.request; r != nil {
		c.world.AfterFunc(c.world.deployment.CallerDelay, r.drop)
	}
	c.end(OutcomeFailed)
}

func (c *caller) end(outcome Outcome) {
	c.done = true
	c.world.result.add(c, outcome)
}

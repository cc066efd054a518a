package lab

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/virtual"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// job is one request at a server.
type job struct {
	promptTokens, responseTokens int
	// remainingPrompt and unwritten are the tokens that are left.
	remainingPrompt, remainingResponse int
	unreported                         int
	// onEvent is called at each event, ended once: with whole set after the last token.
	onEvent func()
	onEnd   func(whole bool)
	dropped bool
}

// engine is a model server.
type engine struct {
	Engine

	id     fleet.ServerID
	region int
	// boxes are the entry boxes of its cell.
	boxes    []*box
	timeline *virtual.Timeline
	running  []*job
	queue    []*job
	// up is false while it is down, open while it takes new requests.
	up, accepting bool
	// rejecting is set while it takes nothing and asks for rest, if that is not 0.
	rejecting  bool
	retryAfter time.Duration
	// limitRecord is set while the server has a rate limit.
	limitRecord *limitRecord
	// backoffs are the rests that boxes have been asked for.
	backoffs map[*box]backoffWindow
	slowdown float64
	active   bool
	// incarnation changes when the server goes down, so that planned passes lapse.
	incarnation int
}

// backoffWindow is a rest that a server has asked a box for: it wants nothing from the box between two moments.
type backoffWindow struct{ from, until time.Time }

// backoffGrace is how long after a server has asked for rest what is on its way may still come.
const backoffGrace = 500 * time.Millisecond

// requestBackoff asks a box for rest.
func (e *engine) requestBackoff(b *box) {
	if e.retryAfter == 0 {
		return
	}
	if e.backoffs == nil {
		e.backoffs = make(map[*box]backoffWindow)
	}
	now := e.timeline.Now()
	e.backoffs[b] = backoffWindow{from: now.Add(backoffGrace), until: now.Add(e.retryAfter)}
}

// countDuringBackoff counts a request that comes within a rest that its box was asked for.
func (e *engine) countDuringBackoff(b *box, result *Result) {
	asked, ok := e.backoffs[b]
	if now := e.timeline.Now(); ok && now.After(asked.from) && now.Before(asked.until) {
		result.DuringBackoff++
	}
}

// submit takes a request; false if there is no room or the server is closed.
func (e *engine) submit(j *job) bool {
	if !e.up || !e.accepting || len(e.running)+len(e.queue) >= e.Slots+e.Queue {
		return false
	}
	j.remainingPrompt, j.remainingResponse, j.unreported = j.promptTokens, j.responseTokens, 0
	e.queue = append(e.queue, j)
	e.wake()
	return true
}

// cancel drops a request whose caller has left.
func (e *engine) cancel(j *job) { j.dropped = true }

func (e *engine) wake() {
	if e.active || !e.up {
		return
	}
	e.active = true
	e.pass()
}

// pass plays one pass over all that is there: a piece of the prompts that are unread
// and a stride of token steps for those that write.
func (e *engine) pass() {
	e.admit()
	if len(e.running) == 0 {
		e.active = false
		return
	}
	writers, read := e.planPass()
	taken := time.Duration(float64(read) / e.PrefillTokensPerSecond * float64(time.Second))
	if writers > 0 {
		taken += time.Duration(e.StepsBetweenPrefills) * (e.StepTime + time.Duration(writers)*e.StepTimePerRequest)
	}
	life := e.incarnation
	e.timeline.AfterFunc(time.Duration(float64(taken)*e.slowdown), func() {
		if life == e.incarnation {
			e.finishPass()
			e.pass()
		}
	})
}

// admit lets waiting requests into the batch.
func (e *engine) admit() {
	keep := e.running[:0]
	for _, j := range e.running {
		if !j.dropped {
			keep = append(keep, j)
		}
	}
	e.running = keep
	for len(e.queue) > 0 && len(e.running) < e.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if !j.dropped {
			e.running = append(e.running, j)
		}
	}
}

// planPass reads a piece of the prompts, the earliest first, and returns how many requests
// write and how many tokens are read in the pass.
func (e *engine) planPass() (writers, read int) {
	for _, j := range e.running {
		if j.remainingPrompt == 0 {
			writers++
			continue
		}
		piece := min(j.remainingPrompt, e.PrefillChunkTokens*e.StepsBetweenPrefills-read)
		j.remainingPrompt -= piece
		read += piece
		if j.remainingPrompt == 0 {
			// The first token comes at the end of this pass.
			j.unreported = -1
		}
	}
	return writers, read
}

// finishPass tells what the pass has made.
func (e *engine) finishPass() {
	ended := e.running[:0]
	var whole []*job
	for _, j := range e.running {
		if j.dropped {
			continue
		}
		if e.decode(j); j.remainingResponse > 0 {
			ended = append(ended, j)
			continue
		}
		whole = append(whole, j)
	}
	e.running = ended
	for _, j := range whole {
		j.onEvent()
		j.onEnd(true)
	}
}

// decode plays the stride of one request.
func (e *engine) decode(j *job) {
	switch {
	case j.unreported < 0:
		j.remainingResponse--
		j.unreported = 0
		e.timeline.AfterFunc(e.FirstTokenDelay, func() { j.emit() })
	case j.remainingPrompt == 0:
		tokens := min(e.StepsBetweenPrefills, j.remainingResponse)
		j.remainingResponse -= tokens
		if j.unreported += tokens; j.unreported >= e.EventTokens && j.remainingResponse > 0 {
			j.unreported = 0
			j.onEvent()
		}
	}
}

func (j *job) emit() {
	if !j.dropped {
		j.onEvent()
	}
}

// stop ends all that runs and waits here.
func (e *engine) stop() {
	e.incarnation++
	e.active = false
	cut := slices.Concat(e.running, e.queue)
	e.running, e.queue = nil, nil
	for _, j := range cut {
		if !j.dropped {
			j.dropped = true
			j.onEnd(false)
		}
	}
}

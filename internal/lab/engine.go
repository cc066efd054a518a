package lab

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/virtual"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// job is a request at a server.
type job struct {
	promptTokens, responseTokens int
	// remainingPrompt and remainingResponse are the tokens that are not processed or generated yet.
	remainingPrompt, remainingResponse int
	// unreported counts the tokens since the last event; -1 when the current pass completes the prefill.
	unreported int
	// onEvent is called for each event. onEnd is called once: with complete set after the last token, or without it if
	// the server stops.
	onEvent func()
	onEnd   func(complete bool)
	// crash crashes the server when it generates the first token; nil if the request does not.
	crash func()
	// dropped is set once the request is canceled or the server has stopped.
	dropped bool
}

// engine is a simulated model server.
type engine struct {
	Engine

	id     fleet.ServerID
	region int
	// boxes are the entry boxes of the server's cell.
	boxes    []*box
	timeline *virtual.Timeline
	running  []*job
	queue    []*job
	// up is set while the server runs, accepting while it accepts requests.
	up, accepting bool
	// failing is the part of the requests that the server fails.
	failing float64
	// rejecting is set while the server rejects all requests. It then requests a backoff of retryAfter, unless that
	// is 0.
	rejecting  bool
	retryAfter time.Duration
	// limitRecord is non-nil while the server has a rate limit.
	limitRecord *limitRecord
	// coldRecord is non-nil while the server is cold.
	coldRecord *coldRecord
	// backoffs are the last backoffs that the server requested, by box.
	backoffs map[*box]backoffWindow
	slowdown float64
	// silentUntil is when a silent server goes on.
	silentUntil time.Time
	// active is set while a pass is scheduled.
	active bool
	// incarnation changes when the server stops, which invalidates the scheduled pass.
	incarnation int
}

// backoffWindow is the period in which a box must not send requests to a server that has requested a backoff.
type backoffWindow struct{ from, until time.Time }

// backoffGrace is how long after a requested backoff requests may still arrive that were sent before the box received
// it.
const backoffGrace = 500 * time.Millisecond

// requestBackoff records that the server requests a backoff from a box.
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

// countDuringBackoff counts a request that arrives during the backoff requested from its box.
func (e *engine) countDuringBackoff(b *box, result *Result) {
	window, ok := e.backoffs[b]
	if now := e.timeline.Now(); ok && now.After(window.from) && now.Before(window.until) {
		result.DuringBackoff++
	}
}

// submit queues a request and reports whether the server accepted it. It rejects requests while its queue is full,
// during a weight swap and while it is down.
func (e *engine) submit(j *job) bool {
	if !e.up || !e.accepting || len(e.running)+len(e.queue) >= e.Slots+e.Queue {
		return false
	}
	j.remainingPrompt, j.remainingResponse, j.unreported = j.promptTokens, j.responseTokens, 0
	e.queue = append(e.queue, j)
	e.wake()
	return true
}

// cancel drops a request whose caller has disconnected.
func (e *engine) cancel(j *job) { j.dropped = true }

// wake starts a pass if none is scheduled.
func (e *engine) wake() {
	if e.active || !e.up {
		return
	}
	e.active = true
	e.pass()
}

// pass simulates one pass over the running requests: StepsBetweenPrefills token steps, each with up to
// PrefillChunkTokens prompt tokens and one token of every request in the decode phase. It schedules the next pass for
// the end of this one.
func (e *engine) pass() {
	e.admit()
	if len(e.running) == 0 {
		e.active = false
		return
	}
	decoding, prefilled := e.planPass()
	duration := time.Duration(float64(prefilled) / e.PrefillTokensPerSecond * float64(time.Second))
	if decoding > 0 {
		duration += time.Duration(e.StepsBetweenPrefills) * (e.StepTime + time.Duration(decoding)*e.StepTimePerRequest)
	}
	e.finishPassAfter(time.Duration(float64(duration)*e.slowdown), e.incarnation)
}

// finishPassAfter finishes the pass of an incarnation after a time, or when the server is no longer silent.
func (e *engine) finishPassAfter(wait time.Duration, incarnation int) {
	e.timeline.AfterFunc(wait, func() {
		silence := e.silentUntil.Sub(e.timeline.Now())
		switch {
		case incarnation != e.incarnation:
		case silence > 0:
			e.finishPassAfter(silence, incarnation)
		default:
			e.finishPass()
			e.pass()
		}
	})
}

// admit removes dropped requests from the batch and fills it from the queue.
func (e *engine) admit() {
	kept := e.running[:0]
	for _, j := range e.running {
		if !j.dropped {
			kept = append(kept, j)
		}
	}
	e.running = kept
	for len(e.queue) > 0 && len(e.running) < e.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if !j.dropped {
			e.running = append(e.running, j)
		}
	}
}

// planPass distributes the pass's prefill tokens among the running requests in order. It returns the number of requests
// in the decode phase and the number of prompt tokens processed in the pass.
func (e *engine) planPass() (decoding, prefilled int) {
	for _, j := range e.running {
		if j.remainingPrompt == 0 {
			decoding++
			continue
		}
		chunk := min(j.remainingPrompt, e.PrefillChunkTokens*e.StepsBetweenPrefills-prefilled)
		j.remainingPrompt -= chunk
		prefilled += chunk
		if j.remainingPrompt == 0 {
			// The first token is generated at the end of this pass.
			j.unreported = -1
		}
	}
	return decoding, prefilled
}

// finishPass generates the tokens of a pass, reports them, and ends the completed requests.
func (e *engine) finishPass() {
	for _, j := range e.running {
		if !j.dropped && j.unreported < 0 && j.crash != nil {
			j.crash()
			return
		}
	}
	unfinished := e.running[:0]
	var finished []*job
	for _, j := range e.running {
		if j.dropped {
			continue
		}
		if e.decode(j); j.remainingResponse > 0 {
			unfinished = append(unfinished, j)
			continue
		}
		finished = append(finished, j)
	}
	e.running = unfinished
	for _, j := range finished {
		j.onEvent()
		j.onEnd(true)
	}
}

// decode generates the tokens of one request in a pass.
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

// emit reports the first token unless the request was dropped.
func (j *job) emit() {
	if !j.dropped {
		j.onEvent()
	}
}

// stop drops all running and queued requests.
func (e *engine) stop() {
	e.incarnation++
	e.active = false
	jobs := slices.Concat(e.running, e.queue)
	e.running, e.queue = nil, nil
	for _, j := range jobs {
		if !j.dropped {
			j.dropped = true
			j.onEnd(false)
		}
	}
}

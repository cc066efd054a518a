package route

import (
	"sync"
	"time"
)

// RequestID is the caller's id of a request.
type RequestID string

// AttemptID tells the tries of one request apart.
type AttemptID string

// Started is the answer of Once.Start.
type Started int

// The answers of Once.Start.
const (
	// StartedNow means that the attempt may run.
	StartedNow Started = iota
	// StartedBefore means that the request id ran already and must not run again.
	StartedBefore
	// StartedNever means that the attempt was settled and must not run.
	StartedNever
)

type onceEntry struct {
	// attempt is the one that holds a request id.
	attempt AttemptID
	started bool
	settled bool
	at      time.Time
}

// Once remembers request ids on an agent. A request that may not be repeated
// runs at most once on this process within the window, and an attempt that was
// settled as not started never starts. With Claim a second agent is made a
// witness, so that the id does not run again after one of the two is gone.
// Memory is bounded by the window.
type Once struct {
	window time.Duration

	mu       sync.Mutex
	requests map[RequestID]onceEntry
	attempts map[AttemptID]onceEntry
	swept    time.Time
}

// NewOnce returns a registry that remembers for at least window.
func NewOnce(window time.Duration) *Once {
	return &Once{
		window:   window,
		requests: make(map[RequestID]onceEntry),
		attempts: make(map[AttemptID]onceEntry),
	}
}

// Start asks to run an attempt. A repeatable request may run under its id again.
func (o *Once) Start(request RequestID, attempt AttemptID, repeatable bool, now time.Time) Started {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	if held, ok := o.attempts[attempt]; ok {
		if held.settled {
			return StartedNever
		}
		return StartedBefore
	}
	if !repeatable {
		if !o.hold(request, attempt, now) {
			return StartedBefore
		}
	}
	o.attempts[attempt] = onceEntry{started: true, at: now}
	return StartedNow
}

// Claim holds a request id for an attempt that is about to run on another agent.
// It reports false if another attempt holds the id here, running or claimed.
func (o *Once) Claim(request RequestID, attempt AttemptID, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	return o.hold(request, attempt, now)
}

// Release gives up a claim whose attempt did not run.
func (o *Once) Release(request RequestID, attempt AttemptID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests[request].attempt == attempt {
		delete(o.requests, request)
	}
}

func (o *Once) hold(request RequestID, attempt AttemptID, now time.Time) bool {
	if held, ok := o.requests[request]; ok && held.attempt != attempt {
		return false
	}
	o.requests[request] = onceEntry{attempt: attempt, at: now}
	return true
}

// Settle reports whether the attempt was started. If it was not, it never will be.
func (o *Once) Settle(attempt AttemptID, now time.Time) (started bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	if held, ok := o.attempts[attempt]; ok {
		return held.started
	}
	o.attempts[attempt] = onceEntry{settled: true, at: now}
	return false
}

// Abandon takes back a start whose work was surely never handed on. The request
// may run elsewhere, or here under another attempt; this attempt never will.
func (o *Once) Abandon(request RequestID, attempt AttemptID, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests[request].attempt == attempt {
		delete(o.requests, request)
	}
	o.attempts[attempt] = onceEntry{settled: true, at: now}
}

// Len returns how many ids are remembered.
func (o *Once) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests) + len(o.attempts)
}

// sweep forgets what is older than the window, at most once a window, so that
// an id is kept between one and two windows.
func (o *Once) sweep(now time.Time) {
	if now.Sub(o.swept) < o.window {
		return
	}
	o.swept = now
	for id, entry := range o.requests {
		if now.Sub(entry.at) > o.window {
			delete(o.requests, id)
		}
	}
	for id, entry := range o.attempts {
		if now.Sub(entry.at) > o.window {
			delete(o.attempts, id)
		}
	}
}

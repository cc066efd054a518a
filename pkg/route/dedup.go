package route

import (
	"sync"
	"time"
)

// RequestID is the caller's id of a request.
type RequestID string

// AttemptID tells the tries of one request apart.
type AttemptID string

// StartResult is the answer of Once.Start.
type StartResult int

// The answers of Once.Start.
const (
	// StartAllowed means that the attempt may run.
	StartAllowed StartResult = iota
	// StartDuplicate means that the request id ran already and must not run again.
	StartDuplicate
	// StartSettled means that the attempt was settled and must not run.
	StartSettled
)

type dedupEntry struct {
	// attempt is the one that holds a request id.
	attempt AttemptID
	started bool
	settled bool
	at      time.Time
}

// DedupRegistry remembers request ids on an agent. A request that may not be repeated
// runs at most once on this process within the window, and an attempt that was
// settled as not started never starts. With Claim a second agent is made a
// witness, so that the id does not run again after one of the two is gone.
// Memory is bounded by the window.
type DedupRegistry struct {
	window time.Duration

	mu        sync.Mutex
	requests  map[RequestID]dedupEntry
	attempts  map[AttemptID]dedupEntry
	lastSweep time.Time
}

// NewDedupRegistry returns a registry that remembers for at least window.
func NewDedupRegistry(window time.Duration) *DedupRegistry {
	return &DedupRegistry{
		window:   window,
		requests: make(map[RequestID]dedupEntry),
		attempts: make(map[AttemptID]dedupEntry),
	}
}

// Start asks to run an attempt. A repeatable request may run under its id again.
func (o *DedupRegistry) Start(request RequestID, attempt AttemptID, repeatable bool, now time.Time) StartResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	if held, ok := o.attempts[attempt]; ok {
		if held.settled {
			return StartSettled
		}
		return StartDuplicate
	}
	if !repeatable {
		if !o.claim(request, attempt, now) {
			return StartDuplicate
		}
	}
	o.attempts[attempt] = dedupEntry{started: true, at: now}
	return StartAllowed
}

// Claim holds a request id for an attempt that is about to run on another agent.
// It reports false if another attempt holds the id here, running or claimed.
func (o *DedupRegistry) Claim(request RequestID, attempt AttemptID, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	return o.claim(request, attempt, now)
}

// Release gives up a claim whose attempt did not run.
func (o *DedupRegistry) Release(request RequestID, attempt AttemptID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests[request].attempt == attempt {
		delete(o.requests, request)
	}
}

func (o *DedupRegistry) claim(request RequestID, attempt AttemptID, now time.Time) bool {
	if held, ok := o.requests[request]; ok && held.attempt != attempt {
		return false
	}
	o.requests[request] = dedupEntry{attempt: attempt, at: now}
	return true
}

// Settle reports whether the attempt was started. If it was not, it never will be.
func (o *DedupRegistry) Settle(attempt AttemptID, now time.Time) (started bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	if held, ok := o.attempts[attempt]; ok {
		return held.started
	}
	o.attempts[attempt] = dedupEntry{settled: true, at: now}
	return false
}

// Abandon takes back a start whose work was surely never handed on. The request
// may run elsewhere, or here under another attempt; this attempt never will.
func (o *DedupRegistry) Abandon(request RequestID, attempt AttemptID, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests[request].attempt == attempt {
		delete(o.requests, request)
	}
	o.attempts[attempt] = dedupEntry{settled: true, at: now}
}

// Len returns how many ids are remembered.
func (o *DedupRegistry) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests) + len(o.attempts)
}

// sweep forgets what is older than the window, at most once a window, so that
// an id is kept between one and two windows.
func (o *DedupRegistry) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < o.window {
		return
	}
	o.lastSweep = now
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

package route

import (
	"sync"
	"time"
)

// RequestID identifies a request. It is assigned by the caller.
type RequestID string

// AttemptID distinguishes the attempts of a request.
type AttemptID string

// StartResult is the result of DedupRegistry.Start.
type StartResult int

// The results of DedupRegistry.Start.
const (
	// StartAllowed means that the attempt may run.
	StartAllowed StartResult = iota
	// StartDuplicate means that the request id has already run and must not run again.
	StartDuplicate
	// StartSettled means that the attempt was settled as not started and must not run.
	StartSettled
)

// dedupEntry is the record of a request id or of an attempt.
type dedupEntry struct {
	// attempt is the attempt that holds the request id. It is empty in the record of an attempt.
	attempt AttemptID
	started bool
	settled bool
	at      time.Time
}

// DedupRegistry records request ids and attempts on an agent for a deduplication window. Within the window, a request
// that is not repeatable runs at most once in this process, and an attempt that was settled as not started never
// starts. Claim makes a second agent a witness, so that the id does not run again if one of the two agents fails. The
// window bounds the memory use. DedupRegistry is safe for concurrent use.
type DedupRegistry struct {
	window time.Duration

	mu        sync.Mutex
	requests  map[RequestID]dedupEntry
	attempts  map[AttemptID]dedupEntry
	lastSweep time.Time
}

// NewDedupRegistry returns a registry that keeps records for at least window.
func NewDedupRegistry(window time.Duration) *DedupRegistry {
	return &DedupRegistry{
		window:   window,
		requests: make(map[RequestID]dedupEntry),
		attempts: make(map[AttemptID]dedupEntry),
	}
}

// Start records the start of an attempt if the attempt may run. A repeatable request may run several times under its
// id.
func (r *DedupRegistry) Start(request RequestID, attempt AttemptID, repeatable bool, now time.Time) StartResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if entry, ok := r.attempts[attempt]; ok {
		if entry.settled {
			return StartSettled
		}
		return StartDuplicate
	}
	if !repeatable {
		if !r.claim(request, attempt, now) {
			return StartDuplicate
		}
	}
	r.attempts[attempt] = dedupEntry{started: true, at: now}
	return StartAllowed
}

// Claim reserves a request id for an attempt that is about to run on another agent. It returns false if another attempt
// holds the id on this agent, whether that attempt runs here or elsewhere.
func (r *DedupRegistry) Claim(request RequestID, attempt AttemptID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	return r.claim(request, attempt, now)
}

func (r *DedupRegistry) claim(request RequestID, attempt AttemptID, now time.Time) bool {
	if entry, ok := r.requests[request]; ok && entry.attempt != attempt {
		return false
	}
	if !r.attempts[attempt].settled {
		r.requests[request] = dedupEntry{attempt: attempt, at: now}
	}
	return true
}

// Settle reports whether the attempt was started. An attempt that was not started can no longer start.
func (r *DedupRegistry) Settle(attempt AttemptID, now time.Time) (started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if entry, ok := r.attempts[attempt]; ok {
		return entry.started
	}
	r.attempts[attempt] = dedupEntry{settled: true, at: now}
	return false
}

// Abandon reverts the start or the claim of an attempt that has certainly not reached the backend server. The request may run
// on another agent, or on this one under another attempt. The abandoned attempt can no longer start, and a claim of it that
// arrives later is not recorded.
func (r *DedupRegistry) Abandon(request RequestID, attempt AttemptID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests[request].attempt == attempt {
		delete(r.requests, request)
	}
	r.attempts[attempt] = dedupEntry{settled: true, at: now}
}

// Len returns the number of recorded request ids and attempts.
func (r *DedupRegistry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests) + len(r.attempts)
}

// sweep deletes the records that are older than the window. It runs at most once per window, so a record is kept for
// one to two windows.
func (r *DedupRegistry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < r.window {
		return
	}
	r.lastSweep = now
	for id, entry := range r.requests {
		if now.Sub(entry.at) > r.window {
			delete(r.requests, id)
		}
	}
	for id, entry := range r.attempts {
		if now.Sub(entry.at) > r.window {
			delete(r.attempts, id)
		}
	}
}

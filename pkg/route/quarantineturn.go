package route

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// trialRetryAfter is how long a request is rejected for while another one with its attributes is tried.
	trialRetryAfter = time.Second
	// maxTurnWait is how long a suspect request waits for another one of this box with the same attributes.
	maxTurnWait = time.Second
	// turnCheckInterval is the time between two checks of a request that waits for another one.
	turnCheckInterval = 25 * time.Millisecond
)

// Turn is the exclusive right of one request of a box to be sent to servers with its suspect attributes. Its zero value holds
// none. It is safe for concurrent use.
type Turn struct {
	attributes atomic.Pointer[[]AttributeID]
}

// covers reports whether the turn holds all of the attributes.
func (t *Turn) covers(attributes []AttributeID) bool {
	var held []AttributeID
	if attributes := t.attributes.Load(); attributes != nil {
		held = *attributes
	}
	return !slices.ContainsFunc(attributes, func(attribute AttributeID) bool { return !slices.Contains(held, attribute) })
}

// Permit states whether a request may be sent to a server.
type Permit struct {
	// Suspect is set if a server may have exited because of the request. It must not be sent to a server that has
	// another suspect request.
	Suspect bool
	// Wait is the time after which CheckSend must be called again; 0 if the request may be sent or is rejected.
	Wait time.Duration
	// Rejected is the reason for which the request must not be sent; nil if there is none.
	Rejected *QuarantinedError
	// Trial is the attribute of which the request is the first one after a block; nil if it is none.
	Trial *AttributeID
	// Exits is the number of incarnations that have exited under the attribute with the most exits.
	Exits int
}

// CheckSend decides whether a request may be sent to a server now, after its previous attempts have ended. After an exit it lets
// the request wait for reports of other boxes, which may have sent requests with the same attributes, and for another request
// of this box with them. waitsFrom is when the request began to wait.
func (q *Quarantine) CheckSend(request []AttributeID, turn *Turn, waitsFrom, now time.Time) Permit {
	decision := q.EvaluateRequest(request, now)
	permit := Permit{Suspect: decision.Suspect, Exits: decision.Exits}
	hasWaited := now.Sub(waitsFrom) > maxTurnWait
	switch {
	case decision.Blocked:
		permit.Rejected = &QuarantinedError{decision.Attribute, decision.BlockedUntil, decision.Exits}
	case turn.attributes.Load() != nil && !turn.covers(decision.Trials):
		// The request was tried, and its server exited.
		permit.Rejected = &QuarantinedError{decision.Trials[0], now.Add(trialRetryAfter), decision.Exits}
	case decision.SettlesAt.After(now):
		permit.Wait = decision.SettlesAt.Sub(now)
	case turn.covers(decision.Suspects):
	case q.takeTurn(turn, decision.Suspects):
		if len(decision.Trials) > 0 {
			permit.Trial = &decision.Trials[0]
		}
	case len(decision.Trials) > 0, hasWaited && decision.Exits > 1:
		permit.Rejected = &QuarantinedError{decision.Suspects[0], now.Add(trialRetryAfter), decision.Exits}
	case !hasWaited:
		permit.Wait = turnCheckInterval
	}
	return permit
}

// MaySend reports whether a request that CheckSend has permitted may still be sent.
func (q *Quarantine) MaySend(request []AttributeID, turn *Turn, now time.Time) bool {
	decision := q.EvaluateRequest(request, now)
	return !decision.Blocked && turn.covers(decision.Trials)
}

// takeTurn ends the turn and begins it anew with other attributes, unless another request has one with some of them.
func (q *Quarantine) takeTurn(turn *Turn, attributes []AttributeID) bool {
	q.EndTurn(turn)
	q.mu.Lock()
	defer q.mu.Unlock()
	if slices.ContainsFunc(attributes, func(attribute AttributeID) bool { _, isTaken := q.taken[attribute]; return isTaken }) {
		return false
	}
	if q.taken == nil {
		q.taken = make(map[AttributeID]struct{})
	}
	for _, attribute := range attributes {
		q.taken[attribute] = struct{}{}
	}
	turn.attributes.Store(&attributes)
	return true
}

// EndTurn ends a turn. It must be called when the request has ended or one of its responses has shown that its attributes are
// not the cause of exits.
func (q *Quarantine) EndTurn(turn *Turn) {
	attributes := turn.attributes.Swap(nil)
	if attributes == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, attribute := range *attributes {
		delete(q.taken, attribute)
	}
}

// QuarantinedError is ErrQuarantined with the attribute that blocks the request, the end of the block and the number of exits.
type QuarantinedError struct {
	Attribute AttributeID
	Until     time.Time
	Exits     int
}

// Error returns the message of ErrQuarantined.
func (e *QuarantinedError) Error() string { return ErrQuarantined.Error() }

// Unwrap returns ErrQuarantined.
func (e *QuarantinedError) Unwrap() error { return ErrQuarantined }

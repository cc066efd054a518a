package route

import (
	"sync"
	"time"
)

// maxAnswered limits the attributes whose last answer is kept within successRetention.
const maxAnswered = 8192

// answeredAttributes holds the times at which requests with an attribute were last answered. Its zero value is empty.
type answeredAttributes struct {
	mu sync.Mutex
	// current holds the attributes that were answered since currentSince, previous those of the period before.
	current, previous map[AttributeID]time.Time
	currentSince      time.Time
}

// add records that a request with the attributes was answered.
func (a *answeredAttributes) add(attributes []AttributeID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || now.Sub(a.currentSince) >= successRetention || len(a.current) >= maxAnswered {
		a.previous, a.current, a.currentSince = a.current, make(map[AttributeID]time.Time), now
	}
	for _, attribute := range attributes {
		a.current[attribute] = now
	}
}

// lastAt returns when a request with an attribute was last answered. ok is false if none was within successRetention.
func (a *answeredAttributes) lastAt(attribute AttributeID, now time.Time) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok = a.current[attribute]; !ok {
		at, ok = a.previous[attribute]
	}
	return at, ok && now.Sub(at) < successRetention
}

// NoteAnswered records that a server has answered a request with the attributes. It is called for the attributes that many
// requests share, which are in flight at every server that exits, whatever the cause.
func (q *Quarantine) NoteAnswered(attributes []AttributeID, now time.Time) {
	if len(attributes) > 0 {
		q.answered.add(attributes, now)
	}
}

// PossibleCauses returns the attributes of a request that may have caused its server to exit: those of which no other request
// was answered since the request was sent.
func (q *Quarantine) PossibleCauses(request []AttributeID, sentAt, now time.Time) (causes []AttributeID) {
	for _, attribute := range request {
		if answeredAt, ok := q.answered.lastAt(attribute, now); !ok || answeredAt.Before(sentAt) {
			causes = append(causes, attribute)
		}
	}
	return causes
}

package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/internal/provider"
)

// BoxList is a stand-in for the platform's list of boxes. Its responses show each change only after a lag.
type BoxList struct {
	faults
	handler http.Handler
	clock   clockwork.Clock
	lag     time.Duration

	mu      sync.Mutex
	changes []listChange
}

type listChange struct {
	at      time.Time
	box     provider.ListedBox
	removed bool
	name    string
}

// NewBoxList returns an empty list whose responses show the state of the list as of lag ago.
func NewBoxList(clock clockwork.Clock, lag time.Duration) *BoxList {
	l := &BoxList{clock: clock, lag: lag}
	l.handler = l.withFaults(clock, http.HandlerFunc(l.serve))
	return l
}

// ServeHTTP implements http.Handler.
func (l *BoxList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// Set adds a box or replaces its entry.
func (l *BoxList) Set(box provider.ListedBox) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: l.clock.Now(), box: box, name: string(box.Box)})
}

// Remove removes a box from the list.
func (l *BoxList) Remove(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: l.clock.Now(), removed: true, name: box})
}

func (l *BoxList) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleUntil := l.clock.Now().Add(-l.lag)
	boxes := make(map[string]provider.ListedBox)
	var order []string
	for _, change := range l.changes {
		if change.at.After(visibleUntil) {
			continue
		}
		if _, known := boxes[change.name]; !known {
			order = append(order, change.name)
		}
		boxes[change.name] = change.box
		if change.removed {
			delete(boxes, change.name)
		}
	}
	groups := []provider.TargetGroup{}
	for _, name := range order {
		if box, listed := boxes[name]; listed {
			groups = append(groups, targetGroup(box))
			delete(boxes, name)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, groups)
}

func targetGroup(box provider.ListedBox) provider.TargetGroup {
	return provider.TargetGroup{
		Targets: []string{string(box.PeerAddress)},
		Labels: map[string]string{
			provider.LabelBox:           string(box.Box),
			provider.LabelRole:          string(box.Role),
			provider.LabelRegion:        string(box.Region),
			provider.LabelFailureDomain: string(box.FailureDomain),
			provider.LabelState:         string(box.State),
		},
	}
}

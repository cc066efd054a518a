package route

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/pkg/table"
)

// ErrQueueFull reports that a group has too many requests waiting.
var ErrQueueFull = errors.New("the group's queue is full")

// ErrDeadline reports that a request could not start before its deadline.
var ErrDeadline = errors.New("the deadline would pass before the request starts")

// Admission shares a number of places among groups. Where a place is free a
// request takes it at once, whoever asks, so that bursts borrow what is idle.
// Where all are taken, each group waits in a queue of its own, and a place that
// becomes free goes to the group with the least work served over its weight.
// Within a group the higher priority goes first, then the earlier.
type Admission struct {
	queueLimit int

	mu      sync.Mutex
	slots   int
	running int
	groups  map[table.Group]*groupQueue
	// virtualTime is the service mark of the last group that got a place. A group
	// that was idle starts from it, so that it cannot save up a claim.
	virtualTime float64
	// typicalHoldTime is a moving average of how long a place is held.
	typicalHoldTime time.Duration
}

type groupQueue struct {
	weight      float64
	virtualTime float64
	running     int
	waiting     []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// NewAdmission returns an admission with a number of places; each group's queue
// holds at most queueLimit requests.
func NewAdmission(places, queueLimit int) *Admission {
	return &Admission{slots: places, queueLimit: queueLimit, groups: make(map[table.Group]*groupQueue)}
}

// SetSlots changes how many requests may run at once.
func (a *Admission) SetSlots(places int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = places
	a.grant()
}

// SetWeight changes a group's weight; a group never named has weight 1.
func (a *Admission) SetWeight(group table.Group, weight float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.group(group).weight = weight
}

func (a *Admission) group(name table.Group) *groupQueue {
	g, ok := a.groups[name]
	if !ok {
		g = &groupQueue{weight: 1}
		a.groups[name] = g
	}
	return g
}

// Acquire waits for a place. Errors are ErrQueueFull, ErrDeadline and the
// context's; with each of them the request has not started and never will.
func (a *Admission) Acquire(ctx context.Context, group table.Group, priority int, now time.Time, deadline time.Time) (*Slot, error) {
	a.mu.Lock()
	g := a.group(group)
	if a.running < a.slots && len(g.waiting) == 0 {
		a.start(g)
		a.mu.Unlock()
		return &Slot{admission: a, group: g, acquiredAt: now}, nil
	}
	if len(g.waiting) >= a.queueLimit {
		a.mu.Unlock()
		return nil, ErrQueueFull
	}
	if !deadline.IsZero() && now.Add(a.expectedWait(g)).After(deadline) {
		a.mu.Unlock()
		return nil, ErrDeadline
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	a.enqueue(g, w)
	a.mu.Unlock()
	return a.wait(ctx, g, w, now)
}

func (a *Admission) wait(ctx context.Context, g *groupQueue, w *waiter, now time.Time) (*Slot, error) {
	select {
	case <-w.ready:
		return &Slot{admission: a, group: g, acquiredAt: now}, nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-w.ready:
		// The place came together with the end; it goes to the next one.
		a.finish(g)
	default:
		g.remove(w)
	}
	return nil, ctx.Err()
}

// enqueue keeps the queue in order of priority, then of arrival.
func (a *Admission) enqueue(g *groupQueue, w *waiter) {
	if len(g.waiting) == 0 && g.running == 0 {
		g.virtualTime = max(g.virtualTime, a.virtualTime)
	}
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].priority < w.priority {
		at--
	}
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = w
}

func (g *groupQueue) remove(w *waiter) {
	for i, held := range g.waiting {
		if held == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}

func (a *Admission) start(g *groupQueue) {
	if g.running == 0 {
		g.virtualTime = max(g.virtualTime, a.virtualTime)
	}
	a.running++
	g.running++
	a.virtualTime = max(a.virtualTime, g.virtualTime)
	g.virtualTime += 1 / g.weight
}

func (a *Admission) finish(g *groupQueue) {
	a.running--
	g.running--
	a.grant()
}

// grant gives free places to the groups that are furthest behind.
func (a *Admission) grant() {
	for a.running < a.slots {
		var next *groupQueue
		for _, g := range a.groups {
			if len(g.waiting) > 0 && (next == nil || g.virtualTime < next.virtualTime) {
				next = g
			}
		}
		if next == nil {
			return
		}
		w := next.waiting[0]
		next.waiting = next.waiting[1:]
		a.start(next)
		close(w.ready)
	}
}

// expectedWait is a low estimate, so that no request is refused for a deadline
// it could have met: the group's queue, served with all places.
func (a *Admission) expectedWait(g *groupQueue) time.Duration {
	if a.slots == 0 {
		return 0
	}
	return a.typicalHoldTime * time.Duration(len(g.waiting)) / time.Duration(a.slots)
}

// RetryAfter is when a refused request of the group may find a place.
func (a *Admission) RetryAfter(group table.Group) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(time.Second, a.expectedWait(a.group(group)))
}

// Counts returns how many requests wait and run.
func (a *Admission) Counts() (waiting, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.groups {
		waiting += len(g.waiting)
	}
	return waiting, a.running
}

// Slot is one place in use.
type Slot struct {
	admission  *Admission
	group      *groupQueue
	acquiredAt time.Time
	once       sync.Once
}

// holdTimeShift sets how much one request moves the average: a sixteenth.
const holdTimeShift = 4

// Release gives the place back and charges extra work, in requests of common size,
// beyond the one that was charged at the start.
func (s *Slot) Release(extra float64, now time.Time) {
	s.once.Do(func() {
		a := s.admission
		a.mu.Lock()
		defer a.mu.Unlock()
		s.group.virtualTime += extra / s.group.weight
		a.typicalHoldTime += (now.Sub(s.acquiredAt) - a.typicalHoldTime) >> holdTimeShift
		a.finish(s.group)
	})
}

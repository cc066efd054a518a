package route

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/pkg/table"
)

// ErrQueueFull reports that the queue of a group has reached its limit.
var ErrQueueFull = errors.New("the group's queue is full")

// ErrDeadline reports that a request is not expected to start before its deadline.
var ErrDeadline = errors.New("the deadline would pass before the request starts")

// Admission shares a number of slots among groups of callers by weighted fair queueing. It grants a free slot
// immediately to any group, so that bursts can use idle capacity. While all slots are in use, each group has its own
// queue, and a released slot goes to the group with the lowest virtual time, which is the work served divided by the
// weight. Within a group, requests are ordered by priority, highest first, and then by arrival. It is safe for
// concurrent use.
type Admission struct {
	queueLimit int

	mu      sync.Mutex
	slots   int
	running int
	groups  map[table.Group]*groupQueue
	// virtualTime is the highest virtual time at which a group was granted a slot. An idle group resumes at it, so that
	// it accumulates no credit.
	virtualTime float64
	// typicalHoldTime is a moving average of how long a slot is held.
	typicalHoldTime time.Duration
}

// groupQueue contains the waiting requests of a group and accounts for its use of slots.
type groupQueue struct {
	weight      float64
	virtualTime float64
	running     int
	waiting     []*waiter
}

// waiter is a queued request.
type waiter struct {
	priority int
	// ready is closed when the request is granted a slot.
	ready chan struct{}
}

// NewAdmission returns an Admission with a number of slots. The queue of each group holds at most queueLimit requests.
func NewAdmission(slots, queueLimit int) *Admission {
	return &Admission{slots: slots, queueLimit: queueLimit, groups: make(map[table.Group]*groupQueue)}
}

// SetSlots sets how many requests may run at the same time.
func (a *Admission) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.grant()
}

// SetWeight sets the weight of a group. The default is 1.
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

// Acquire waits for a slot. It returns ErrQueueFull, ErrDeadline or the error of the context; in each case the request
// has not started and holds no slot.
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
		// The slot was granted while the context ended; it goes to the next request.
		a.finish(g)
	default:
		g.remove(w)
	}
	return nil, ctx.Err()
}

// enqueue inserts a request into the queue, which is ordered by priority and then by arrival.
func (a *Admission) enqueue(g *groupQueue, w *waiter) {
	if len(g.waiting) == 0 && g.running == 0 {
		g.virtualTime = max(g.virtualTime, a.virtualTime)
	}
	pos := len(g.waiting)
	for pos > 0 && g.waiting[pos-1].priority < w.priority {
		pos--
	}
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[pos+1:], g.waiting[pos:])
	g.waiting[pos] = w
}

func (g *groupQueue) remove(w *waiter) {
	for i, queued := range g.waiting {
		if queued == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}

// start gives a slot to the group and charges it for one request.
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

// grant gives the free slots to the groups with the lowest virtual time.
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

// expectedWait returns how long the group's queue would take if all slots served it. This estimate is low, so that no
// request is rejected whose deadline it could have met.
func (a *Admission) expectedWait(g *groupQueue) time.Duration {
	if a.slots == 0 {
		return 0
	}
	return a.typicalHoldTime * time.Duration(len(g.waiting)) / time.Duration(a.slots)
}

// RetryAfter returns how long a rejected caller of the group should wait before it retries; at least one second.
func (a *Admission) RetryAfter(group table.Group) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(time.Second, a.expectedWait(a.group(group)))
}

// Counts returns how many requests are waiting and running.
func (a *Admission) Counts() (waiting, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.groups {
		waiting += len(g.waiting)
	}
	return waiting, a.running
}

// Slot is the permission for one request to run. It must be released.
type Slot struct {
	admission  *Admission
	group      *groupQueue
	acquiredAt time.Time
	once       sync.Once
}

// holdTimeShift sets the weight of one request in the average hold time: 1/16.
const holdTimeShift = 4

// Release returns the slot and charges the group for extra work beyond the one request that it was charged for at the
// start. The unit of extra is a request of typical size. Only the first call has an effect.
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

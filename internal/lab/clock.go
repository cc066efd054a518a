package lab

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at time.Duration
	// order keeps events of one moment in the order in which they were planned.
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(e any) { *h = append(*h, e.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// timeline runs events in the order of virtual time.
type timeline struct {
	events  eventHeap
	order   uint64
	elapsed time.Duration
}

// epoch is when virtual time begins.
var epoch = time.Unix(1_000_000, 0)

// now is the present moment of virtual time.
func (l *timeline) now() time.Time { return epoch.Add(l.elapsed) }

// after plans something.
func (l *timeline) after(wait time.Duration, run func()) {
	l.order++
	heap.Push(&l.events, event{at: l.elapsed + max(0, wait), order: l.order, run: run})
}

// run lets time pass until a moment.
func (l *timeline) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		next := heap.Pop(&l.events).(event)
		l.elapsed = next.at
		next.run()
	}
	l.elapsed = until
}

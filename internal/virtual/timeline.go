// Package virtual runs events in virtual time, for models that have to give the same
// result each time and faster than the clock.
//
// # Usage
//
//	var line virtual.Timeline
//	line.After(time.Second, func() { fmt.Println(line.Elapsed()) })
//	line.Run(time.Minute)
package virtual

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at time.Duration
	// sequence keeps events of one moment in the order in which they were planned.
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for container/heap.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// Timeline runs events in the order of virtual time. Its zero value is at the beginning.
// It is not safe for concurrent use.
type Timeline struct {
	events   events
	sequence uint64
	elapsed  time.Duration
}

// Epoch is when virtual time begins; any moment serves.
var Epoch = time.Unix(1_000_000, 0)

// Now is the present moment of virtual time.
func (l *Timeline) Now() time.Time { return Epoch.Add(l.elapsed) }

// Elapsed is how much virtual time has passed.
func (l *Timeline) Elapsed() time.Duration { return l.elapsed }

// AfterFunc plans something.
func (l *Timeline) AfterFunc(wait time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.elapsed + max(0, wait), sequence: l.sequence, run: run})
}

// Step runs the next event, if there is one until a moment.
func (l *Timeline) Step(until time.Duration) bool {
	if len(l.events) == 0 || l.events[0].at > until {
		return false
	}
	next := heap.Pop(&l.events).(event)
	l.elapsed = next.at
	next.run()
	return true
}

// Run lets time pass until a moment.
func (l *Timeline) Run(until time.Duration) {
	for l.Step(until) {
	}
	l.elapsed = max(l.elapsed, until)
}

// Package virtual runs events in virtual time, for simulations that need reproducible
// results and must run faster than real time.
//
// # Usage
//
//	var timeline virtual.Timeline
//	timeline.AfterFunc(time.Second, func() { fmt.Println(timeline.Elapsed()) })
//	timeline.Run(time.Minute)
package virtual

import (
	"container/heap"
	"time"
)

// event is a function scheduled for a virtual time.
type event struct {
	at time.Duration
	// sequence keeps events for the same time in the order in which they were scheduled.
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// Timeline runs events in order of their virtual times. The zero value is an empty timeline at
// Epoch. It is not safe for concurrent use.
type Timeline struct {
	events   events
	sequence uint64
	elapsed  time.Duration
}

// Epoch is the start of virtual time. Its value is arbitrary.
var Epoch = time.Unix(1_000_000, 0)

// Now returns the current virtual time.
func (l *Timeline) Now() time.Time { return Epoch.Add(l.elapsed) }

// Elapsed returns the virtual time since Epoch.
func (l *Timeline) Elapsed() time.Duration { return l.elapsed }

// AfterFunc schedules run for the time after wait. A negative wait counts as 0.
func (l *Timeline) AfterFunc(wait time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.elapsed + max(0, wait), sequence: l.sequence, run: run})
}

// Step runs the next event if it is scheduled for until or earlier, and reports whether it ran
// one. until is a duration since Epoch.
func (l *Timeline) Step(until time.Duration) bool {
	if len(l.events) == 0 || l.events[0].at > until {
		return false
	}
	next := heap.Pop(&l.events).(event)
	l.elapsed = next.at
	next.run()
	return true
}

// Run runs all events scheduled for until or earlier, then advances the virtual time to until, a
// duration since Epoch.
func (l *Timeline) Run(until time.Duration) {
	for l.Step(until) {
	}
	l.elapsed = max(l.elapsed, until)
}

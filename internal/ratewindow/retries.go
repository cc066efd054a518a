package ratewindow

import (
	"slices"
	"time"
)

// RetryBound limits the retries for a service in each window, from all entry boxes together.
type RetryBound struct {
	// Ratio is the number of retries per request, Extra the number that does not depend on the requests.
	Ratio, Extra float64
	Window       time.Duration
}

// RetryLog holds the requests for one service, by when their callers sent them, and the arrivals at its servers beyond the
// first of each request. Both must be sorted by time.
type RetryLog struct {
	Requests, Retries []time.Time
}

// RetryWindow is the retries in one window and the number that is allowed there.
type RetryWindow struct {
	Start   time.Time
	Retries int
	Allowed float64
}

// Use returns the retries as a fraction of those allowed.
func (w *RetryWindow) Use() float64 {
	if w.Retries == 0 {
		return 0
	}
	return float64(w.Retries) / w.Allowed
}

// Worst returns the window with the largest use, over all windows that start or end with a retry; the zero value if there
// are no retries. Any other window holds the retries of one of these at most, but for the requests at its ends.
func (l *RetryLog) Worst(bound *RetryBound) (worst RetryWindow) {
	for _, at := range l.Retries {
		// A window holds its end but not its start.
		for _, start := range []time.Time{at.Add(-1), at.Add(-bound.Window)} {
			if w := l.At(start, bound); w.Use() > worst.Use() || worst.Retries == 0 {
				worst = w
			}
		}
	}
	return worst
}

// At returns the window after a start. The requests are those in the window, in the window before it, or in the window half
// a window before it, whichever holds the most.
func (l *RetryLog) At(start time.Time, bound *RetryBound) RetryWindow {
	requests := 0
	for _, earlier := range []time.Duration{0, bound.Window / 2, bound.Window} {
		requests = max(requests, countAfter(l.Requests, start.Add(-earlier), bound.Window))
	}
	return RetryWindow{
		Start: start, Retries: countAfter(l.Retries, start, bound.Window), Allowed: bound.Ratio*float64(requests) + bound.Extra,
	}
}

// countAfter returns the number of events later than start and at most a window later.
func countAfter(events []time.Time, start time.Time, window time.Duration) int {
	return indexAfter(events, start.Add(window)) - indexAfter(events, start)
}

// indexAfter returns the index of the first event that is later than a time.
func indexAfter(events []time.Time, at time.Time) int {
	index, _ := slices.BinarySearchFunc(events, at, func(event, at time.Time) int {
		if event.After(at) {
			return 1
		}
		return -1
	})
	return index
}

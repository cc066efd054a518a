// Package ratewindow counts the requests to a server in sliding time windows and defines how many a rate-limited
// server may receive in one window. Tests and simulations use it.
//
// # Usage
//
//	ratewindow.Each(arrivals, ratewindow.Window, func(end time.Time, count int) {
//		if float64(count) > ratewindow.Allowed(limit) { ... }
//	})
package ratewindow

import "time"

// In any Window, a server may receive at most burstFactor times the requests that its rate limit allows, plus
// extraRequests.
const (
	Window        = 4 * time.Second
	burstFactor   = 1.5
	extraRequests = 5
)

// Allowed returns the largest number of requests that a server with the given rate limit may receive in a Window.
func Allowed(perSecond float64) float64 {
	return burstFactor*Window.Seconds()*perSecond + extraRequests
}

// Each calls fn for each event, in order, with the event's time and the number of events in the window that ends with
// it. The event itself counts; an event that is exactly a window older does not. The events must be sorted by time.
func Each(events []time.Time, window time.Duration, fn func(end time.Time, count int)) {
	first := 0
	for last, end := range events {
		for end.Sub(events[first]) >= window {
			first++
		}
		fn(end, last-first+1)
	}
}

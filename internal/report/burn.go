package report

import (
	"cmp"
	"slices"
	"time"
)

// BurnOptions are the service level objective and the windows over which its burn rate is measured.
type BurnOptions struct {
	// Target is the fraction of a route's requests that must be good, below 1.
	Target float64
	// Windows are the lengths of the windows, which all end at the newest event.
	Windows []time.Duration
}

// Counts are the numbers of requests of one route in one window, by result.
type Counts struct {
	// Good requests got a complete response that started within their objective, and Late requests one that started
	// later. Refused requests were not run. Failed requests are all others.
	Good, Late, Refused, Failed int
}

// total returns the number of requests that count. Requests that their caller abandoned or that the configuration
// does not allow do not count.
func (c *Counts) total() int { return c.Good + c.Late + c.Refused + c.Failed }

// Window is the burn rate of one route in one window.
type Window struct {
	Span time.Duration
	Counts
	// Rate is the burn rate: the fraction of bad requests divided by the fraction that the target allows. At 1 the
	// error budget is just used up.
	Rate float64
}

// RouteBurn holds the burn rates of one route, one for each window.
type RouteBurn struct {
	Route   string
	Windows []Window
}

// MeasureBurn returns the burn rates of each route, sorted by route name. The events must be sorted by time.
func MeasureBurn(events []Event, options BurnOptions) []RouteBurn {
	var newest time.Time
	for i := range events {
		if events[i].Time.After(newest) {
			newest = events[i].Time
		}
	}
	routes := make(map[string]*RouteBurn)
	for i := range events {
		countEvent(routes, &events[i], newest, options.Windows)
	}
	burns := make([]RouteBurn, 0, len(routes))
	for _, burn := range routes {
		for i := range burn.Windows {
			burn.Windows[i].Rate = burnRate(&burn.Windows[i].Counts, options.Target)
		}
		burns = append(burns, *burn)
	}
	slices.SortFunc(burns, func(a, b RouteBurn) int { return cmp.Compare(a.Route, b.Route) })
	return burns
}

func countEvent(routes map[string]*RouteBurn, event *Event, newest time.Time, windows []time.Duration) {
	outcome, route := event.Get("outcome"), event.Get("route")
	if outcome == "" || outcome == "left" || outcome == "rejected" || route == "" || route == "none" {
		return
	}
	burn := routes[route]
	if burn == nil {
		burn = &RouteBurn{Route: route}
		for _, span := range windows {
			burn.Windows = append(burn.Windows, Window{Span: span})
		}
		routes[route] = burn
	}
	for i := range burn.Windows {
		if newest.Sub(event.Time) < burn.Windows[i].Span {
			burn.Windows[i].add(event, outcome)
		}
	}
}

func (c *Counts) add(event *Event, outcome string) {
	objective := event.Milliseconds("objective_ms")
	switch {
	case outcome == "refused":
		c.Refused++
	case outcome != "answered":
		c.Failed++
	case objective > 0 && event.Milliseconds("begun_ms") > objective:
		c.Late++
	default:
		c.Good++
	}
}

func burnRate(counts *Counts, target float64) float64 {
	all := counts.total()
	if all == 0 || target >= 1 {
		return 0
	}
	bad := float64(all-counts.Good) / float64(all)
	return bad / (1 - target)
}

package report

import (
	"cmp"
	"slices"
	"time"
)

// BurnOptions set what a service level promises.
type BurnOptions struct {
	// Target is the part of a route's requests that must be good, below 1.
	Target float64
	// Windows are the spans over which the burn is told, counted back from the newest
	// event.
	Windows []time.Duration
}

// Counts are the requests of one route in one window.
type Counts struct {
	// Good were answered in time, Late later than their objective, Refused not at all
	// with the promise that they had not run, and Failed in any other way.
	Good, Late, Refused, Failed int
}

// total is how many requests count. Those whose caller left, or that the configuration
// does not allow, do not.
func (c *Counts) total() int { return c.Good + c.Late + c.Refused + c.Failed }

// Window is the burn of one route in one window.
type Window struct {
	Span time.Duration
	Counts
	// Rate is how many times faster than the target allows bad requests came: at 1 the
	// allowance of bad requests is just used up.
	Rate float64
}

// RouteBurn is the burn of one route.
type RouteBurn struct {
	Route   string
	Windows []Window
}

// MeasureBurn returns the burn of each route, by its name. The events must be in the
// order of their times.
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

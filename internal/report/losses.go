package report

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Cause is the result of a request: a response in time, or the reason why there was none.
type Cause string

// The causes. Responses in time and late responses are complete. A late response started after the objective, except
// with CauseEventGap.
const (
	CauseInTime Cause = "in time"
	// CauseEventGap is a response that started in time and had a gap between two events that is longer than the route
	// allows.
	CauseEventGap Cause = "late: paused"
	// CauseRetriedLate is a response to a caller whose objective had already passed when the retry arrived.
	CauseRetriedLate Cause = "late: came back late"
	// CauseWaitedForSlot is a late response that would have started in time without the wait for a slot.
	CauseWaitedForSlot Cause = "late: waited for a place"
	// CauseSecondAttempt is a late response of a request that took more than one attempt.
	CauseSecondAttempt Cause = "late: second attempt"
	// CauseSlowServer is a late response that the server was slow to start.
	CauseSlowServer Cause = "late: slow to begin"
	// CauseRefusedAtOnce and CauseRefusedAfterWait are refusals because all slots were in use.
	CauseRefusedAtOnce    Cause = "refused: at once"
	CauseRefusedAfterWait Cause = "refused: after waiting"
	// CauseNoServer is a refusal because no server was available, including backoffs and rate limits.
	CauseNoServer Cause = "refused: no server"
	// CauseRefusedOther is a refusal for any other reason, for example because the box had no configuration or was
	// leaving, or because the server refused the request.
	CauseRefusedOther Cause = "refused: other"
	// CauseTruncated is a truncated response after one attempt, CauseTruncatedTwice one after several attempts.
	CauseTruncated      Cause = "cut"
	CauseTruncatedTwice Cause = "cut: both attempts"
	// CauseFailed is a request that failed and that a server may have run.
	CauseFailed Cause = "failed"
	// CauseCallerLeft is a request whose caller disconnected.
	CauseCallerLeft Cause = "left"
)

// Causes are all causes, in display order.
var Causes = []Cause{
	CauseInTime, CauseEventGap, CauseRetriedLate, CauseWaitedForSlot, CauseSecondAttempt, CauseSlowServer, CauseRefusedAtOnce,
	CauseRefusedAfterWait, CauseNoServer, CauseRefusedOther, CauseTruncated, CauseTruncatedTwice, CauseFailed, CauseCallerLeft,
}

// immediateRefusalLimit is the wait below which a refusal counts as immediate: callers do not notice a shorter wait.
const immediateRefusalLimit = 20 * time.Millisecond

// classify returns the cause of the request that ended with an event. ok is false if the event does not end a request,
// or if the configuration does not allow the request.
func classify(event *Event) (cause Cause, ok bool) {
	if route := event.Get("route"); route == "" || route == "none" {
		return "", false
	}
	switch event.Get("outcome") {
	case "answered":
		return classifyResponse(event), true
	case "refused":
		return classifyRefusal(event), true
	case "cut":
		if attempts, err := strconv.Atoi(event.Get("attempts")); err == nil && attempts > 1 {
			return CauseTruncatedTwice, true
		}
		return CauseTruncated, true
	case "unknown":
		return CauseFailed, true
	case "left":
		return CauseCallerLeft, true
	}
	return "", false
}

func classifyResponse(event *Event) Cause {
	objective, since := event.Milliseconds("objective_ms"), event.Milliseconds("since_first_ms")
	begun, waited := event.Milliseconds("begun_ms"), event.Milliseconds("waited_ms")
	switch {
	case objective == 0 || since+begun <= objective:
		if event.Get("paused") == "true" {
			return CauseEventGap
		}
		return CauseInTime
	case since >= objective:
		return CauseRetriedLate
	case event.Get("attempts") != "1":
		return CauseSecondAttempt
	case since+begun-waited <= objective:
		return CauseWaitedForSlot
	}
	return CauseSlowServer
}

func classifyRefusal(event *Event) Cause {
	switch reason := event.Get("reason"); {
	case reason == "no-server", reason == "resting", reason == "limited", reason == "cold", reason == "evacuated", reason == "residency":
		return CauseNoServer
	case reason != "busy":
		return CauseRefusedOther
	case event.Milliseconds("waited_ms") < immediateRefusalLimit:
		return CauseRefusedAtOnce
	}
	return CauseRefusedAfterWait
}

// Dimension is the property of requests by which losses are grouped.
type Dimension string

// The dimensions.
const (
	ByNothing      Dimension = "all"
	BySecond       Dimension = "second"
	ByRoute        Dimension = "route"
	ByOrganisation Dimension = "organisation"
	ByBox          Dimension = "box"
	// BySize groups the requests of each route by the number of prompt tokens: the largest tenth, the fifth below it
	// and the others.
	BySize Dimension = "size"
)

// Losses are the numbers of requests of one group by cause. New counts the first requests of callers, Retries their
// later ones.
type Losses struct {
	Group   string
	New     map[Cause]int `json:"First"`
	Retries map[Cause]int `json:"Returned"`
}

// sum returns the sum of the counts of some causes, or of all causes if none is given.
func sum(counts map[Cause]int, causes ...Cause) int {
	all := 0
	for cause, n := range counts {
		if len(causes) == 0 || slices.Contains(causes, cause) {
			all += n
		}
	}
	return all
}

// Callers returns the number of callers, which is the number of new requests.
func (l *Losses) Callers() int { return sum(l.New) }

// InTime returns the number of callers that got a response in time, to a new request or to a retry.
func (l *Losses) InTime() int { return sum(l.New, CauseInTime) + sum(l.Retries, CauseInTime) }

// Late returns the number of callers that got a late response.
func (l *Losses) Late() int {
	late := []Cause{CauseEventGap, CauseRetriedLate, CauseWaitedForSlot, CauseSecondAttempt, CauseSlowServer}
	return sum(l.New, late...) + sum(l.Retries, late...)
}

// Lost returns the number of retries without a complete response. Callers that gave up without a retry are not
// included, as the logs do not show them.
func (l *Losses) Lost() int {
	return sum(l.Retries, CauseRefusedAtOnce, CauseRefusedAfterWait, CauseNoServer, CauseRefusedOther, CauseTruncated, CauseTruncatedTwice, CauseFailed)
}

// MeasureLosses counts the causes of all requests that ended in the events, grouped by one dimension and sorted by
// group name. The names of seconds, counted from the earliest event, are padded so that they sort by time up to 99,999.
func MeasureLosses(events []Event, by Dimension) []Losses {
	sizes := sizeBoundsByRoute(events, by)
	start := earliestTime(events)
	groups := make(map[string]*Losses)
	for i := range events {
		event := &events[i]
		cause, ok := classify(event)
		if !ok {
			continue
		}
		name := groupName(event, by, start, sizes)
		group := groups[name]
		if group == nil {
			group = &Losses{Group: name, New: make(map[Cause]int), Retries: make(map[Cause]int)}
			groups[name] = group
		}
		if event.Milliseconds("since_first_ms") > 0 {
			group.Retries[cause]++
		} else {
			group.New[cause]++
		}
	}
	all := make([]Losses, 0, len(groups))
	for _, group := range groups {
		all = append(all, *group)
	}
	slices.SortFunc(all, func(a, b Losses) int { return cmp.Compare(a.Group, b.Group) })
	return all
}

// earliestTime returns the time of the earliest event.
func earliestTime(events []Event) time.Time {
	var first time.Time
	for i := range events {
		if at := events[i].Time; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// groupName returns the name of the group that a request belongs to. start is the time of second 0.
func groupName(event *Event, by Dimension, start time.Time, sizes map[string]sizeBounds) string {
	switch by {
	case BySecond:
		arrived := event.Time.Add(-event.Milliseconds("taken_ms"))
		return fmt.Sprintf("%5d", int(arrived.Sub(start)/time.Second))
	case ByRoute:
		return event.Get("route")
	case ByOrganisation:
		return event.Get("organisation")
	case ByBox:
		return event.Process
	case BySize:
		return sizes[event.Get("route")].groupName(event.Get("route"), promptTokens(event))
	}
	return string(ByNothing)
}

// sizeBounds are the sizes, in tokens, of the smallest prompt in the largest tenth of a route's requests and of the
// smallest in the fifth below it.
type sizeBounds struct{ tenth, fifth int }

func (b sizeBounds) groupName(route string, tokens int) string {
	switch {
	case tokens == 0:
		return route + ", no prompt"
	case tokens >= b.tenth:
		return route + ", largest tenth"
	case tokens >= b.fifth:
		return route + ", next fifth"
	}
	return route + ", others"
}

// promptTokens returns the number of prompt tokens of a request, or 0 if it is unknown.
func promptTokens(event *Event) int {
	tokens, err := strconv.Atoi(event.Get("prompt_tokens"))
	if err != nil {
		return 0
	}
	return tokens
}

// sizeBoundsByRoute returns the size bounds of each route; the map is empty unless by is BySize.
func sizeBoundsByRoute(events []Event, by Dimension) map[string]sizeBounds {
	bounds := make(map[string]sizeBounds)
	if by != BySize {
		return bounds
	}
	prompts := make(map[string][]int)
	for i := range events {
		if _, ok := classify(&events[i]); ok {
			route := events[i].Get("route")
			prompts[route] = append(prompts[route], promptTokens(&events[i]))
		}
	}
	for route, tokens := range prompts {
		slices.Sort(tokens)
		bounds[route] = sizeBounds{tenth: tokens[len(tokens)*9/10], fifth: tokens[len(tokens)*7/10]}
	}
	return bounds
}

// MainCause returns the most frequent cause other than CauseInTime; it is empty if there is none.
func (l *Losses) MainCause() Cause {
	var mainCause Cause
	most := 0
	for _, cause := range Causes[1:] {
		if n := l.New[cause] + l.Retries[cause]; n > most {
			mainCause, most = cause, n
		}
	}
	return mainCause
}

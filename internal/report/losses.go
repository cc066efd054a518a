package report

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Cause is what became of a request, with the reason if it is not an answer in time.
type Cause string

// The causes.
const (
	CauseInTime Cause = "in time"
	// CauseEventGap is an answer that began in time and paused for longer than its readers
	// accept.
	CauseEventGap Cause = "late: paused"
	// CauseRetriedLate is an answer to a caller that came back when its objective had
	// passed.
	CauseRetriedLate Cause = "late: came back late"
	// CauseWaitedForSlot is an answer that would have begun in time without the wait for a place.
	CauseWaitedForSlot Cause = "late: waited for a place"
	// CauseSecondAttempt is an answer that a second server began.
	CauseSecondAttempt Cause = "late: second attempt"
	// CauseSlowServer is an answer that its server began late.
	CauseSlowServer Cause = "late: slow to begin"
	// CauseRefusedAtOnce and CauseRefusedAfterWait are refusals for want of a place.
	CauseRefusedAtOnce    Cause = "refused: at once"
	CauseRefusedAfterWait Cause = "refused: after waiting"
	CauseNoServer         Cause = "refused: no server"
	// CauseRefusedOther is a box that knew no configuration, or was leaving, or a server
	// that refused.
	CauseRefusedOther Cause = "refused: other"
	// CauseTruncated is an answer that broke off, CauseTruncatedTwice one that did so at two servers.
	CauseTruncated      Cause = "cut"
	CauseTruncatedTwice Cause = "cut: both attempts"
	CauseFailed         Cause = "failed"
	// CauseCallerLeft is a caller that left.
	CauseCallerLeft Cause = "left"
)

// Causes are all causes, in the order in which they are shown.
var Causes = []Cause{
	CauseInTime, CauseEventGap, CauseRetriedLate, CauseWaitedForSlot, CauseSecondAttempt, CauseSlowServer, CauseRefusedAtOnce,
	CauseRefusedAfterWait, CauseNoServer, CauseRefusedOther, CauseTruncated, CauseTruncatedTwice, CauseFailed, CauseCallerLeft,
}

// immediateRefusalLimit is within which time a refusal counts as one at once: a caller does not notice it.
const immediateRefusalLimit = 20 * time.Millisecond

// classify returns what became of the request that a line tells of; ok is false for a
// line that tells of none, or of one that the configuration does not allow.
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
	case reason == "no-server", reason == "resting", reason == "limited":
		return CauseNoServer
	case reason != "busy":
		return CauseRefusedOther
	case event.Milliseconds("waited_ms") < immediateRefusalLimit:
		return CauseRefusedAtOnce
	}
	return CauseRefusedAfterWait
}

// Dimension is what losses are grouped by.
type Dimension string

// The dimensions.
const (
	ByNothing      Dimension = "all"
	BySecond       Dimension = "second"
	ByRoute        Dimension = "route"
	ByOrganisation Dimension = "organisation"
	ByBox          Dimension = "box"
	// BySize groups the prompts of each route: the largest tenth, the fifth below it, and
	// the others.
	BySize Dimension = "size"
)

// Losses are the requests of one group by cause: those of callers that came for the first
// time, and those that came back.
type Losses struct {
	Group   string
	New     map[Cause]int `json:"First"`
	Retries map[Cause]int `json:"Returned"`
}

// sum adds up some causes; all of them if none is named.
func sum(counts map[Cause]int, causes ...Cause) int {
	all := 0
	for cause, n := range counts {
		if len(causes) == 0 || slices.Contains(causes, cause) {
			all += n
		}
	}
	return all
}

// Callers is how many callers there were, InTime how many were answered in time.
func (l *Losses) Callers() int { return sum(l.New) }

// InTime is how many callers were answered in time, whether or not they came back.
func (l *Losses) InTime() int { return sum(l.New, CauseInTime) + sum(l.Retries, CauseInTime) }

// Late is how many callers were answered later.
func (l *Losses) Late() int {
	late := []Cause{CauseEventGap, CauseRetriedLate, CauseWaitedForSlot, CauseSecondAttempt, CauseSlowServer}
	return sum(l.New, late...) + sum(l.Retries, late...)
}

// Lost is how many callers came back and got no whole answer then either. Those that did
// not come back are not seen in logs.
func (l *Losses) Lost() int {
	return sum(l.Retries, CauseRefusedAtOnce, CauseRefusedAfterWait, CauseNoServer, CauseRefusedOther, CauseTruncated, CauseTruncatedTwice, CauseFailed)
}

// MeasureLosses counts what became of the requests that events tell of, by one dimension.
// The groups are in the order of their names, seconds in that of time.
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

func earliestTime(events []Event) time.Time {
	var first time.Time
	for i := range events {
		if at := events[i].Time; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

func groupName(event *Event, by Dimension, start time.Time, sizes map[string]sizeBounds) string {
	switch by {
	case BySecond:
		came := event.Time.Add(-event.Milliseconds("taken_ms"))
		return fmt.Sprintf("%5d", int(came.Sub(start)/time.Second))
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

// sizeBounds are the smallest prompts of the largest tenth of a route's requests and of
// the fifth below it, in tokens.
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

func promptTokens(event *Event) int {
	tokens, err := strconv.Atoi(event.Get("prompt_tokens"))
	if err != nil {
		return 0
	}
	return tokens
}

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

// MainCause is the cause, other than an answer in time, that most requests of the group had;
// empty if there is none.
func (l *Losses) MainCause() Cause {
	var worst Cause
	most := 0
	for _, cause := range Causes[1:] {
		if n := l.New[cause] + l.Retries[cause]; n > most {
			worst, most = cause, n
		}
	}
	return worst
}

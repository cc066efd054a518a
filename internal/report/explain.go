package report

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// contextWindow is how long before the end of a request an event of its box may have affected it: the longest
	// time for which a box relies on a value that it received or keeps a server in backoff.
	contextWindow = 10 * time.Second
	// orderWindow is the maximum time between an order to a server and the end of an attempt that the order interrupted.
	orderWindow = time.Second
)

// Names of the events that explanations use.
const (
	eventAttemptEnded     = "attempt ended"
	eventOrdered          = "server ordered to take weights"
	eventDesired          = "weights wanted"
	eventLive             = "weights live"
	eventDependencyDown   = "dependency lost"
	eventDependencyUp     = "dependency regained"
	eventServerRemoved    = "server gone from the list"
	eventConfiguration    = "configuration in force"
	eventStarted          = "started"
	eventLeaving          = "leaving"
	eventLinesDropped     = "log lines dropped"
	eventAgeCorrected     = "age of wanted weights corrected"
	eventDeletionDeferred = "server's entry went while the store was away, held"
	eventDeparture        = "server has said that it leaves"
	eventBackoff          = "server asks for rest"
	eventRetry            = "retry"
	eventRateLimit        = "server advertises a rate limit"
	eventRateLimitLifted  = "server no longer advertises a rate limit"
	eventEvacuated        = "failure domain evacuated"
	eventReadmitted       = "evacuation of failure domain withdrawn"
	eventCold             = "server is cold"
	eventServerExited     = "server has ended under a request"
	eventCleared          = "request is no longer suspect"
)

// contextEvents are the events by which a box changes its state in a way that can affect any of its requests.
var contextEvents = map[string]bool{
	eventDesired: true, eventDependencyDown: true, eventDependencyUp: true, eventServerRemoved: true, eventConfiguration: true,
	eventStarted: true, eventLeaving: true, eventLinesDropped: true, eventAgeCorrected: true, eventDeletionDeferred: true,
	eventDeparture: true, eventBackoff: true, eventRateLimit: true, eventRateLimitLifted: true,
	eventEvacuated: true, eventReadmitted: true, eventCold: true,
}

// contentEvents are the events that affect only requests with the same content.
var contentEvents = map[string]bool{eventServerExited: true, eventCleared: true}

// Explanation describes how one request ended, with the events that show it.
type Explanation struct {
	Request string
	// Cause is a text that says how the request ended and why.
	Cause string
	// Events are the events of the request itself.
	Events []Event
	// Context are events of the box that handled the request, and of the agents of the servers that it was sent to,
	// that may have affected the request.
	Context []Event
}

// Explain explains how a request ended. The events must be sorted by time. ok is false if no event belongs to the
// request.
func Explain(events []Event, request string) (explanation Explanation, ok bool) {
	explanation.Request = request
	for _, event := range events {
		if event.Get("request") == request {
			explanation.Events = append(explanation.Events, event)
		}
	}
	if len(explanation.Events) == 0 {
		return explanation, false
	}
	last := explanation.Events[len(explanation.Events)-1]
	for _, event := range events {
		// A backoff requested in the response to one request also affects later requests.
		isOtherRequest := event.Get("request") == "" || event.Name == eventBackoff && event.Get("request") != request
		if isOtherRequest && explanation.isRelevant(&event, &last) {
			explanation.Context = append(explanation.Context, event)
		}
	}
	explanation.Cause = explanation.cause(&last)
	return explanation, true
}

// isRelevant reports whether an event that does not belong to the request may have affected it. last is the request's
// last event.
func (x *Explanation) isRelevant(event, last *Event) bool {
	if event.Time.After(last.Time.Add(orderWindow)) {
		return false
	}
	if contentEvents[event.Name] {
		// Quarantine lasts for minutes, longer than contextWindow.
		return event.Source == last.Source && x.hasContent(event.Get("content"))
	}
	if event.Time.Before(last.Time.Add(-contextWindow)) {
		return false
	}
	if event.Source == last.Source {
		return contextEvents[event.Name]
	}
	return (event.Name == eventOrdered || event.Name == eventLive) && x.hasAttemptAt(event.Get("address"))
}

// hasContent reports whether an event of the request has the given content.
func (x *Explanation) hasContent(content string) bool {
	for i := range x.Events {
		if x.Events[i].Get("content") == content {
			return true
		}
	}
	return false
}

// hasAttemptAt reports whether an attempt of the request went to the server at an address.
func (x *Explanation) hasAttemptAt(address string) bool {
	for i := range x.Events {
		if x.Events[i].Name == eventAttemptEnded && x.Events[i].Get("address") == address {
			return true
		}
	}
	return false
}

// cause returns the text of Cause from the outcome in the last event.
func (x *Explanation) cause(last *Event) string {
	switch last.Get("outcome") {
	case "answered":
		return x.describeResponse(last)
	case "refused":
		return "refused without having run: " + refusalTexts[last.Get("reason")] + x.describeNewest(refusalEvents[last.Get("reason")])
	case "rejected":
		return "rejected by configuration " + last.Get("configuration") + ": " + last.Get("reason") + x.describeNewest(eventConfiguration)
	case "unknown":
		return "answered " + last.Get("status") + ", it may have run" + x.describeDeniedRetry() + ": " + x.describeAttempts()
	case "cut":
		return "broken off in the middle of the answer" + cutTexts[last.Get("reason")] + ": " + x.describeAttempts()
	case "left":
		return "its caller left after " + last.Milliseconds("taken_ms").Round(time.Millisecond).String() + ": " + x.describeAttempts()
	}
	return "its last line tells of no outcome; the process may have ended before"
}

// describeDeniedRetry returns a text if the retry budget denied the request another attempt.
func (x *Explanation) describeDeniedRetry() string {
	for i := range x.Events {
		if x.Events[i].Name == eventRetry && x.Events[i].Get("result") == "denied" {
			return cutTexts["retry-budget"]
		}
	}
	return ""
}

// refusalTexts explains the reasons for which requests are refused.
var refusalTexts = map[string]string{
	"busy":             "all places were taken, and it could not have begun in time",
	"no-server":        "no server could run it",
	"leaving":          "the box was in a planned stop and could not have ended it",
	"no-configuration": "the box had just started and knew no configuration",
	"quarantined":      "servers that began to run it had ended, so it is sent to none",
	"resting":          "all servers that could run it had asked the box for rest",
	"limited":          "all servers that could run it have a rate limit, which is used up",
	"cold":             "all servers that could run it are cold and get all the requests that they bear",
	"evacuated":        "the failure domains of all servers that could run it are evacuated",
	"residency":        "no server is in a region in which it may be served",
	"memory":           "the box held too many bytes for other requests",
	"not-run":          "its server refused it or could not be reached, and no further attempt was allowed",
}

// cutTexts explains the reasons for which responses are cut.
var cutTexts = map[string]string{
	"deadline":      ", its time was over",
	"not-resumable": ", which no other server could continue",
	"attempts":      ", its route allowed no further attempt",
	"retry-budget":  ", the retry budget was spent",
	"no-server":     ", no other server could run it",
	"quarantined":   ", servers that began to run it had ended",
}

// refusalEvents maps the reason of a refusal to the event that causes it.
var refusalEvents = map[string]string{
	"no-server": eventDesired, "no-configuration": eventStarted, "resting": eventBackoff, "limited": eventRateLimit, "cold": eventCold,
	"evacuated": eventEvacuated, "residency": eventConfiguration, "quarantined": eventServerExited,
}

// describeNewest describes the newest event with a name in the context; the text is empty if there is none.
func (x *Explanation) describeNewest(name string) string {
	for i := len(x.Context) - 1; i >= 0; i-- {
		if event := &x.Context[i]; name != "" && event.Name == name {
			return fmt.Sprintf(" (%s at %s%s)", name, event.Time.Format(timeFormat), versionOf(event))
		}
	}
	return ""
}

// versionOf returns the text for the version field of an event; it is empty if the event has none.
func versionOf(event *Event) string {
	if version := event.Get("version"); version != "" {
		return ", version " + version
	}
	return ""
}

// describeResponse describes a complete response and the failed attempts before it.
func (x *Explanation) describeResponse(last *Event) string {
	taken := last.Milliseconds("begun_ms")
	text := "answered by " + last.Get("server")
	if objective := last.Milliseconds("objective_ms"); objective > 0 && taken > objective {
		text += fmt.Sprintf(", begun after %v with an objective of %v", taken.Round(time.Millisecond), objective)
	}
	if attempts := x.describeAttempts(); attempts != "" {
		text += ", after " + attempts
	}
	return text
}

// describeAttempts describes how each logged attempt ended; an attempt is logged only if it did not succeed.
func (x *Explanation) describeAttempts() string {
	var descriptions []string
	for i := range x.Events {
		event := &x.Events[i]
		if event.Name != eventAttemptEnded {
			continue
		}
		text := fmt.Sprintf("attempt at %s (%s) %s after %v", event.Get("server"), event.Get("address"), event.Get("result"),
			event.Milliseconds("held_ms").Round(time.Millisecond))
		if order := x.orderAround(event); order != nil {
			text += ", which was cut for weights" + versionOf(order)
		} else if problem := event.Get("error"); problem != "" {
			text += ": " + problem
		}
		descriptions = append(descriptions, text)
	}
	return strings.Join(descriptions, "; ")
}

// orderAround returns the order to load weights that an attempt's server received within orderWindow of the end of the
// attempt; nil if there is none.
func (x *Explanation) orderAround(attempt *Event) *Event {
	for i := range x.Context {
		event := &x.Context[i]
		isClose := event.Time.Sub(attempt.Time).Abs() < orderWindow
		if event.Name == eventOrdered && isClose && sameHost(event.Get("address"), attempt.Get("address")) {
			return event
		}
	}
	return nil
}

// sameHost reports whether two addresses of the form host:port have the same host.
func sameHost(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && hostA == hostB
}

// timeFormat is the format of times in explanations.
const timeFormat = "15:04:05.000"

// String returns the explanation as text: the cause, the events of the request, and the events of its context.
func (x *Explanation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %s\n", x.Request, x.Cause)
	writeEvents(&text, "its own lines", x.Events)
	writeEvents(&text, "what its boxes came to believe", x.Context)
	return text.String()
}

func writeEvents(text *strings.Builder, title string, events []Event) {
	if len(events) == 0 {
		return
	}
	fmt.Fprintf(text, "%s:\n", title)
	for i := range events {
		event := &events[i]
		fmt.Fprintf(text, "  %s %s: %s", event.Time.Format(timeFormat), event.Source, event.Name)
		for _, field := range event.fields {
			if field.key != "level" && field.key != "request" {
				fmt.Fprintf(text, " %s=%q", field.key, field.value)
			}
		}
		text.WriteByte('\n')
	}
}

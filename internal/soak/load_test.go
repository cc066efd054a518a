package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

const (
	callerTimeout = 3 * time.Second
	// failureBackoff is how long a caller waits after a request that failed.
	failureBackoff = 20 * time.Millisecond
)

// routeNames are the names of the routes that callers use. Requests on "once" and "book", and uploads on "post", may run at most once.
var routeNames = []string{"talk", "once", "look", "book", "near", "far"}

// load sends the requests of the callers and records their results.
type load struct {
	deployment *testDeployment
	client     *http.Client
	lastID     atomic.Int64
	stopped    atomic.Bool
	wg         sync.WaitGroup

	mu         sync.Mutex
	rejected   []string
	atMostOnce []string
	problems   []string
	counts     map[string]int
	// requests holds all requests by id. leavingReceived holds the time at which a caller received the header of a
	// response whose server announced that it is leaving, by request id.
	requests        map[string]sentRequest
	leavingReceived map[string]time.Time
	// limitReceived holds the time at which the header of a response with a rate limit was received, by request id.
	limitReceived map[string]time.Time
	// cuts are the responses that were cut.
	cuts []cut
}

func newLoad(d *testDeployment) *load {
	return &load{
		deployment: d, counts: make(map[string]int), requests: make(map[string]sentRequest),
		leavingReceived: make(map[string]time.Time), limitReceived: make(map[string]time.Time),
		client: &http.Client{Timeout: bulkTimeout + time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
	}
}

// run starts the callers. They share a client, which keeps connections open until the entry box closes them.
func (l *load) run(callers int) {
	for range callers {
		l.wg.Go(func() {
			for !l.stopped.Load() {
				route := routeNames[rand.IntN(len(routeNames))]
				if !l.send(route, l.deployment.callerAddresses[rand.IntN(len(l.deployment.callerAddresses))]) {
					time.Sleep(failureBackoff)
				}
			}
		})
	}
}

// stop stops the callers and waits for the requests in progress.
func (l *load) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}

// awaitServing waits until every entry box serves requests on every route.
func (l *load) awaitServing(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(recoveryTimeout)
	for _, entry := range l.deployment.callerAddresses {
		for _, route := range routeNames {
			for !l.send(route, entry) {
				if time.Now().After(deadline) {
					t.Errorf("%s does not serve requests on route %s", entry, route)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// awaitChange drops the traffic of the store for a time, writes a configuration change once the store is reachable
// again, and waits until the change is in effect on every entry box.
func (l *load) awaitChange(t *testing.T) {
	t.Helper()
	outage := maxOutage * time.Duration(l.deployment.random.Int64N(100)) / 100
	blackholeStore(l.deployment, 0, outage/2)
	route := l.deployment.putConfig()
	start := time.Now()
	var elapsed time.Duration
	for _, entry := range l.deployment.callerAddresses {
		for !l.hasRoute(entry, route) {
			if time.Since(start) > recoveryTimeout {
				t.Errorf("%s does not have route %s after the store was unreachable for %s", entry, route, outage)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		elapsed = time.Since(start)
	}
	t.Logf("the store was unreachable for %s; a change took effect on all entry boxes %s later", outage, elapsed.Round(time.Millisecond))
	if *maxChangeTime > 0 && elapsed > *maxChangeTime {
		t.Errorf("a change took %s to take effect, want at most %s", elapsed, *maxChangeTime)
	}
}

// maxOutage is the upper bound of the store outage before a change. It is longer than any interval between two calls to
// the store.
const maxOutage = 6 * time.Second

// hasRoute reports whether an entry box has a route.
func (l *load) hasRoute(entry, route string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+route+"/1", http.NoBody)
	if err != nil {
		l.problem("route %s: %v", route, err)
		return true
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", fmt.Sprintf("r-%d-%d", l.deployment.index, l.lastID.Add(1)))
	response, err := l.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode != http.StatusNotFound
}

// send sends one request and checks the response. It reports whether the request succeeded.
func (l *load) send(route, entry string) bool {
	id := fmt.Sprintf("r-%d-%d", l.deployment.index, l.lastID.Add(1))
	if route == "once" || route == "book" || route == "post" {
		l.note(&l.atMostOnce, id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeoutOf(route))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+route+"/1", strings.NewReader(bodyOf(route)))
	if err != nil {
		l.problem("request %s: %v", id, err)
		return false
	}
	request.Host = "a.example"
	// With GetBody the client could retry the request by itself and so send it twice.
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeoutOf(route).Milliseconds()))
	request.Header.Set("X-Token-Usage", "100,60")
	request.Header.Set("X-Prompt-Prefix", standin.DrawPrompt(standin.SharedFirstPart))
	l.mu.Lock()
	l.requests[id] = sentRequest{entry, route, time.Now()}
	l.mu.Unlock()
	response, err := l.client.Do(request)
	if err != nil {
		l.count("no response")
		l.noteCut(route, id, entry, err)
		return false
	}
	if response.Header.Get("Server-Leaving") != "" {
		l.recordLeaving(id)
	}
	if response.Header.Get("Server-Limit") != "" {
		l.recordLimit(id)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := l.readResponse(route, id, entry, response)
	return l.check(route, id, response, body, err)
}

// check checks one response and reports whether it is a complete success.
func (l *load) check(route, id string, response *http.Response, body string, err error) bool {
	l.count(fmt.Sprint(response.StatusCode))
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		l.note(&l.rejected, id)
		if response.Header.Get("Retry-After") == "" {
			l.problem("request %s was rejected without Retry-After", id)
		}
		return false
	case http.StatusOK:
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return false
	default:
		l.problem("request %s (%s): status %d", id, route, response.StatusCode)
		return false
	}
	if got := response.Header.Get("X-Request-Id"); got != id || response.Header.Get("X-Response-Seal") == "" {
		l.problem("request %s: got a response to %q with seal %q", id, got, response.Header.Get("X-Response-Seal"))
	}
	want := "answer to " + id
	switch route {
	case "talk", "once":
		want = completeStream()
	case bulkService:
		want = bulkBody
	}
	switch {
	case err != nil && standin.IsEndlessBody(body):
		l.count("body without an end, cut")
	case err != nil && !strings.HasPrefix(want, body):
		l.problem("request %s: truncated response %q is not a prefix of %q", id, body, want)
	case err == nil && body != want:
		l.problem("request %s: got response %q, want %q", id, body, want)
	case err != nil:
		l.count("truncated with an error")
	}
	return err == nil
}

func completeStream() string {
	var want strings.Builder
	for event := range eventCount {
		fmt.Fprintf(&want, "id: %d\ndata: token %d\n\n", event+1, event+1)
	}
	return want.String()
}

func (l *load) note(list *[]string, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, id)
}

func (l *load) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

func (l *load) problem(format string, args ...any) {
	l.note(&l.problems, fmt.Sprintf(format, args...))
}

// findings returns the problems seen by callers, and the requests that ran although they were rejected or ran twice
// although they may run only once.
func (l *load) findings() []string {
	runs := make(map[string]int)
	for _, s := range l.deployment.allServers() {
		for id, count := range s.Runs() {
			runs[id] += count
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := append([]string(nil), l.problems...)
	for _, id := range l.atMostOnce {
		if runs[id] > 1 {
			findings = append(findings, fmt.Sprintf("request %s may run at most once and ran %d times", id, runs[id]))
		}
	}
	for _, id := range l.rejected {
		if runs[id] > 0 {
			findings = append(findings, fmt.Sprintf("request %s was rejected as not executed and ran %d times", id, runs[id]))
		}
	}
	return findings
}

func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("outcomes: %v", l.counts)
}

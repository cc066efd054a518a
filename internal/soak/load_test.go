package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	callerTimeout = 3 * time.Second
	// failureBackoff is how long a caller waits after a request that was not served.
	failureBackoff = 20 * time.Millisecond
)

// routeKinds are the routes that callers use.
var routeKinds = []string{"talk", "once", "look", "book"}

// load is the callers, and what they have seen.
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
	// requests are all requests by their ids; heard is when the head of an answer came in which its server says that
	// it leaves.
	requests        map[string]sentRequest
	leavingReceived map[string]time.Time
	// limitReceived is when the header of an answer with a rate limit was received, by request id.
	limitReceived map[string]time.Time
}

func newLoad(d *testDeployment) *load {
	return &load{
		deployment: d, counts: make(map[string]int), requests: make(map[string]sentRequest),
		leavingReceived: make(map[string]time.Time), limitReceived: make(map[string]time.Time),
		client: &http.Client{Timeout: callerTimeout + time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
	}
}

// run starts the callers. Each keeps its connections open until the process is gone.
func (l *load) run(callers int) {
	for range callers {
		l.wg.Go(func() {
			for !l.stopped.Load() {
				kind := routeKinds[rand.IntN(len(routeKinds))]
				if !l.send(kind, l.deployment.callerAddresses[rand.IntN(len(l.deployment.callerAddresses))]) {
					time.Sleep(failureBackoff)
				}
			}
		})
	}
}

// stop waits for the requests that are in progress.
func (l *load) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}

// awaitServing waits until every entry box answers every kind of request.
func (l *load) awaitServing(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(recoveryTimeout)
	for _, entry := range l.deployment.callerAddresses {
		for _, kind := range routeKinds {
			for !l.send(kind, entry) {
				if time.Now().After(deadline) {
					t.Errorf("%s does not answer %s", entry, kind)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// awaitChange lets the store swallow calls for a while, and waits until a change that is
// written at its return is in force on every entry box.
func (l *load) awaitChange(t *testing.T) {
	t.Helper()
	silent := maxOutage * time.Duration(l.deployment.random.Int64N(100)) / 100
	blackholeStore(l.deployment, 0, silent/2)
	added := l.deployment.putConfig()
	began := time.Now()
	var last time.Duration
	for _, entry := range l.deployment.callerAddresses {
		for !l.hasRoute(entry, added) {
			if time.Since(began) > recoveryTimeout {
				t.Errorf("%s does not know route %s after the store was silent for %s", entry, added, silent)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		last = time.Since(began)
	}
	t.Logf("the store was silent for %s, a change was in force everywhere %s later", silent, last.Round(time.Millisecond))
	if *maxChangeTime > 0 && last > *maxChangeTime {
		t.Errorf("a change took %s, want %s at most", last, *maxChangeTime)
	}
}

// maxOutage is the longest silence of the store before a change, longer than any wait
// between two calls of it.
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

// send sends one request and checks what comes back. It reports whether the request was
// answered with success.
func (l *load) send(kind, entry string) bool {
	id := fmt.Sprintf("r-%d-%d", l.deployment.index, l.lastID.Add(1))
	if kind == "once" || kind == "book" {
		l.note(&l.atMostOnce, id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+kind+"/1", strings.NewReader("draft"))
	if err != nil {
		l.problem("request %s: %v", id, err)
		return false
	}
	request.Host = "a.example"
	// Without this the client would send a request that it takes for repeatable twice.
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	request.Header.Set("X-Token-Usage", "100,60")
	l.mu.Lock()
	l.requests[id] = sentRequest{entry, time.Now()}
	l.mu.Unlock()
	response, err := l.client.Do(request)
	if err != nil {
		l.count("no answer")
		return false
	}
	if response.Header.Get("Server-Leaving") != "" {
		l.recordLeaving(id)
	}
	if response.Header.Get("Server-Limit") != "" {
		l.recordLimit(id)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return l.check(kind, id, response, string(body), err)
}

// check holds one answer against what was promised.
func (l *load) check(kind, id string, response *http.Response, body string, err error) bool {
	l.count(fmt.Sprint(response.StatusCode))
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		l.note(&l.rejected, id)
		if response.Header.Get("Retry-After") == "" {
			l.problem("request %s was refused without a time to come back", id)
		}
		return false
	case http.StatusOK:
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return false
	default:
		l.problem("request %s (%s): status %d", id, kind, response.StatusCode)
		return false
	}
	if got := response.Header.Get("X-Request-Id"); got != id || response.Header.Get("X-Response-Seal") == "" {
		l.problem("request %s: answer of %q with seal %q", id, got, response.Header.Get("X-Response-Seal"))
	}
	want := "answer to " + id
	if kind == "talk" || kind == "once" {
		want = completeStream()
	}
	switch {
	case err != nil && !strings.HasPrefix(want, body):
		l.problem("request %s: broken answer %q is no beginning of %q", id, body, want)
	case err == nil && body != want:
		l.problem("request %s: answer %q, want %q", id, body, want)
	case err != nil:
		l.count("visibly broken")
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

// findings are the promises that were broken.
func (l *load) findings() []string {
	runs := make(map[string]int)
	for _, s := range l.deployment.servers {
		for id, count := range s.Runs() {
			runs[id] += count
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := append([]string(nil), l.problems...)
	for _, id := range l.atMostOnce {
		if runs[id] > 1 {
			findings = append(findings, fmt.Sprintf("request %s may run once and ran %d times", id, runs[id]))
		}
	}
	for _, id := range l.rejected {
		if runs[id] > 0 {
			findings = append(findings, fmt.Sprintf("request %s was refused as not run and ran %d times", id, runs[id]))
		}
	}
	return findings
}

func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("outcomes: %v", l.counts)
}

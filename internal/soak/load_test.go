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
	callerWait = 3 * time.Second
	// failurePause is how long a caller waits after a request that was not served.
	failurePause = 20 * time.Millisecond
)

// kinds are the routes that callers use.
var kinds = []string{"talk", "once", "look", "book"}

// load is the callers, and what they have seen.
type load struct {
	w      *world
	client *http.Client
	number atomic.Int64
	ended  atomic.Bool
	all    sync.WaitGroup

	mu       sync.Mutex
	refused  []string
	once     []string
	problems []string
	counts   map[string]int
	// asks are all requests by their ids; heard is when the head of an answer came in which its server says that
	// it leaves.
	asks  map[string]asked
	heard map[string]time.Time
	// limitHeard is when the header of an answer with a rate limit was received, by request id.
	limitHeard map[string]time.Time
}

func newLoad(w *world) *load {
	return &load{
		w: w, counts: make(map[string]int), asks: make(map[string]asked),
		heard: make(map[string]time.Time), limitHeard: make(map[string]time.Time),
		client: &http.Client{Timeout: callerWait + time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
	}
}

// run starts the callers. Each keeps its connections open until the process is gone.
func (l *load) run(callers int) {
	for range callers {
		l.all.Go(func() {
			for !l.ended.Load() {
				kind := kinds[rand.IntN(len(kinds))]
				if !l.ask(kind, l.w.callers[rand.IntN(len(l.w.callers))]) {
					time.Sleep(failurePause)
				}
			}
		})
	}
}

// stop waits for the requests that are in progress.
func (l *load) stop() {
	l.ended.Store(true)
	l.all.Wait()
}

// awaitServed waits until every entry box answers every kind of request.
func (l *load) awaitServed(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(settleLimit)
	for _, entry := range l.w.callers {
		for _, kind := range kinds {
			for !l.ask(kind, entry) {
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
	silent := longestOutage * time.Duration(l.w.random.Int64N(100)) / 100
	storeSwallows(l.w, 0, silent/2)
	added := l.w.putConfig()
	began := time.Now()
	var last time.Duration
	for _, entry := range l.w.callers {
		for !l.isKnown(entry, added) {
			if time.Since(began) > settleLimit {
				t.Errorf("%s does not know route %s after the store was silent for %s", entry, added, silent)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		last = time.Since(began)
	}
	t.Logf("the store was silent for %s, a change was in force everywhere %s later", silent, last.Round(time.Millisecond))
	if *change > 0 && last > *change {
		t.Errorf("a change took %s, want %s at most", last, *change)
	}
}

// longestOutage is the longest silence of the store before a change, longer than any wait
// between two calls of it.
const longestOutage = 6 * time.Second

// isKnown reports whether an entry box has a route.
func (l *load) isKnown(entry, route string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+route+"/1", http.NoBody)
	if err != nil {
		l.problem("route %s: %v", route, err)
		return true
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", fmt.Sprintf("r-%d-%d", l.w.number, l.number.Add(1)))
	response, err := l.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode != http.StatusNotFound
}

// ask sends one request and checks what comes back. It reports whether the request was
// answered with success.
func (l *load) ask(kind, entry string) bool {
	id := fmt.Sprintf("r-%d-%d", l.w.number, l.number.Add(1))
	if kind == "once" || kind == "book" {
		l.note(&l.once, id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
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
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerWait.Milliseconds()))
	request.Header.Set("X-Token-Usage", "100,60")
	l.mu.Lock()
	l.asks[id] = asked{entry, time.Now()}
	l.mu.Unlock()
	response, err := l.client.Do(request)
	if err != nil {
		l.count("no answer")
		return false
	}
	if response.Header.Get("Server-Leaving") != "" {
		l.hear(id)
	}
	if response.Header.Get("Server-Limit") != "" {
		l.hearLimit(id)
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
		l.note(&l.refused, id)
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
		want = wholeStream()
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

func wholeStream() string {
	var want strings.Builder
	for event := range events {
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
	for _, s := range l.w.servers {
		for id, count := range s.Runs() {
			runs[id] += count
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := append([]string(nil), l.problems...)
	for _, id := range l.once {
		if runs[id] > 1 {
			findings = append(findings, fmt.Sprintf("request %s may run once and ran %d times", id, runs[id]))
		}
	}
	for _, id := range l.refused {
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

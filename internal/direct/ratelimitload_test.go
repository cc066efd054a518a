package direct_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
	"github.com/cinderslip/cinderslip/platform/standin"
)

// In any ratewindow.Window, a server that advertises a rate limit must not receive more than ratewindow.Allowed
// requests. Only requests from boxes that forwarded a response with the limit at least limitNotice before are
// counted, and only windows that end at least limitGrace after the limit was first advertised are checked.
const (
	limitNotice = 500 * time.Millisecond
	limitGrace  = 3 * time.Second
)

// loadResults records the results of the requests of cmdLoad.
type loadResults struct {
	mu sync.Mutex
	// entries are the entry boxes that requests were sent to; respondedAt are the times at which the response
	// headers arrived. Both are keyed by request ID.
	entries     map[string]string
	respondedAt map[string]time.Time
	// refused is the number of 503 responses with a Retry-After header.
	refused int
}

// cmdLoad sends requests to entry boxes in turn, for a number of seconds and at a rate per second:
//
//	load 8 100 /look/1 entry-1 entry-2
func (w *testDeployment) cmdLoad(args []string) error {
	seconds, rate, path, entries := parseInt(args[0], 1), parseInt(args[1], 1), args[2], args[3:]
	w.loadResults.mu.Lock()
	if w.loadResults.entries == nil {
		w.loadResults.entries, w.loadResults.respondedAt = make(map[string]string), make(map[string]time.Time)
	}
	w.loadResults.refused = 0
	w.loadResults.mu.Unlock()
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range seconds * rate {
		<-ticker.C
		all.Go(func() { w.sendLoadRequest(entries[i%len(entries)], path) })
	}
	all.Wait()
	return nil
}

// sendLoadRequest sends one request and records the result.
func (w *testDeployment) sendLoadRequest(entry, path string) {
	id := fmt.Sprintf("load-%d", w.requestCount.Add(1))
	w.loadResults.mu.Lock()
	w.loadResults.entries[id] = entry
	w.loadResults.mu.Unlock()
	response, err := w.request(entry, id, path, "key-1")
	if err != nil {
		return
	}
	w.loadResults.mu.Lock()
	w.loadResults.respondedAt[id] = time.Now()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
		w.loadResults.refused++
	}
	w.loadResults.mu.Unlock()
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// cmdCheckRateLimit checks that a server received no more requests than its rate limit allows and, in its last
// seconds, at least the given part of that:
//
//	check-limit plain-1 0.8 4
func (w *testDeployment) cmdCheckRateLimit(args []string) error {
	requests := sinceLimited(w.servers[args[0]].ReceivedRequests())
	w.loadResults.mu.Lock()
	defer w.loadResults.mu.Unlock()
	notifiedAt := make(map[string]time.Time)
	var limitedAt time.Time
	for _, request := range requests {
		if request.Limit == "" {
			continue
		}
		if limitedAt.IsZero() {
			limitedAt = request.At
		}
		entry, at := w.loadResults.entries[request.RequestID], w.loadResults.respondedAt[request.RequestID]
		if earliest := notifiedAt[entry]; !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			notifiedAt[entry] = at
		}
	}
	if limitedAt.IsZero() {
		return fmt.Errorf("%s has advertised no limit", args[0])
	}
	var counted []standin.ReceivedRequest
	for _, request := range requests {
		if at := notifiedAt[w.loadResults.entries[request.RequestID]]; !at.IsZero() && request.At.Sub(at) >= limitNotice {
			counted = append(counted, request)
		}
	}
	maxCount, err := withinLimit(counted, requests, limitedAt.Add(limitGrace))
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	w.t.Logf("%s: at most %d counted requests in %v", args[0], maxCount, ratewindow.Window)
	return w.usesLimit(args[0], requests, args[1], args[2])
}

// sinceLimited returns the requests after the last one whose response had no limit.
func sinceLimited(requests []standin.ReceivedRequest) []standin.ReceivedRequest {
	for i := len(requests) - 1; i >= 0; i-- {
		if requests[i].Limit == "" {
			return requests[i+1:]
		}
	}
	return requests
}

// withinLimit checks each window of the counted requests that ends at or after from against the highest limit
// that was advertised in the window or in limitGrace before it. It returns the largest number of requests in a
// window.
func withinLimit(counted, all []standin.ReceivedRequest, from time.Time) (maxCount int, err error) {
	arrivals := make([]time.Time, 0, len(counted))
	for _, request := range counted {
		arrivals = append(arrivals, request.At)
	}
	ratewindow.Each(arrivals, ratewindow.Window, func(end time.Time, count int) {
		if err != nil || end.Before(from) {
			return
		}
		highest := highestLimit(all, end.Add(-ratewindow.Window-limitGrace), end)
		maxCount = max(maxCount, count)
		if allowed := ratewindow.Allowed(highest); float64(count) > allowed {
			err = fmt.Errorf("advertised a limit of %v per second and received %d requests in %v, want at most %v",
				highest, count, ratewindow.Window, allowed)
		}
	})
	return maxCount, err
}

func highestLimit(requests []standin.ReceivedRequest, from, to time.Time) float64 {
	highest := 0.0
	for _, request := range requests {
		if limit, err := strconv.ParseFloat(request.Limit, 64); err == nil && !request.At.Before(from) && !request.At.After(to) {
			highest = max(highest, limit)
		}
	}
	return highest
}

// usesLimit checks that a server received at least the given part of what its limit allows in the last seconds.
func (w *testDeployment) usesLimit(server string, requests []standin.ReceivedRequest, part, seconds string) error {
	minPart, err := strconv.ParseFloat(part, 64)
	if err != nil {
		return err
	}
	last := requests[len(requests)-1]
	limit, err := strconv.ParseFloat(last.Limit, 64)
	if err != nil {
		return err
	}
	span, got := time.Duration(parseInt(seconds, 1))*time.Second, 0
	for _, request := range requests {
		if request.At.After(last.At.Add(-span)) {
			got++
		}
	}
	w.t.Logf("%s: %d requests in the last %v with a limit of %v per second", server, got, span, limit)
	if want := minPart * limit * span.Seconds(); float64(got) < want {
		return fmt.Errorf("%s advertised a limit of %v per second and received %d requests in %v, want at least %.1f",
			server, limit, got, span, want)
	}
	return nil
}

// cmdCheckRefused checks how many requests of the last load were refused with a Retry-After header:
//
//	check-refused 300 700
func (w *testDeployment) cmdCheckRefused(args []string) error {
	w.loadResults.mu.Lock()
	defer w.loadResults.mu.Unlock()
	if minCount, maxCount := parseInt(args[0], 0), parseInt(args[1], 0); w.loadResults.refused < minCount || w.loadResults.refused > maxCount {
		return fmt.Errorf("%d requests were refused, want %d to %d", w.loadResults.refused, minCount, maxCount)
	}
	return nil
}

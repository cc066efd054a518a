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

// In any ratewindow.Window, a server that advertises a rate limit must not receive more than ratewindow.Allowed requests. Only requests
// from boxes that passed on an answer with the limit at least limitNotice before are counted, and only windows that end at least
// limitGrace after the limit was first advertised are checked.
const (
	limitNotice = 500 * time.Millisecond
	limitGrace  = 3 * time.Second
)

// loadResults records the results of the requests of cmdLoad.
type loadResults struct {
	mu sync.Mutex
	// entries are the entry boxes that requests were sent to, and answered are the times at which the response headers arrived;
	// both by request ID.
	entries     map[string]string
	respondedAt map[string]time.Time
	// refused is the number of 503 responses with a Retry-After header.
	refused int
}

// cmdLoad sends requests to entry boxes in turn, given the seconds and the rate per second: load 8 100 /look/1 entry-1 entry-2.
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

// cmdCheckRateLimit checks that a server received no more requests than its rate limit allows and, in its last seconds, at least the given
// part of that: limited plain-1 0.8 4.
func (w *testDeployment) cmdCheckRateLimit(args []string) error {
	visits := sinceLimited(w.servers[args[0]].ReceivedRequests())
	w.loadResults.mu.Lock()
	defer w.loadResults.mu.Unlock()
	told := make(map[string]time.Time)
	var named time.Time
	for _, visit := range visits {
		if visit.Limit == "" {
			continue
		}
		if named.IsZero() {
			named = visit.At
		}
		entry, at := w.loadResults.entries[visit.RequestID], w.loadResults.respondedAt[visit.RequestID]
		if known := told[entry]; !at.IsZero() && (known.IsZero() || at.Before(known)) {
			told[entry] = at
		}
	}
	if named.IsZero() {
		return fmt.Errorf("%s has advertised no limit", args[0])
	}
	var counted []standin.ReceivedRequest
	for _, visit := range visits {
		if at := told[w.loadResults.entries[visit.RequestID]]; !at.IsZero() && visit.At.Sub(at) >= limitNotice {
			counted = append(counted, visit)
		}
	}
	most, err := withinLimit(counted, visits, named.Add(limitGrace))
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	w.t.Logf("%s: at most %d counted requests in %v", args[0], most, ratewindow.Window)
	return w.usesLimit(args[0], visits, args[1], args[2])
}

// sinceLimited returns the visits after the last one whose answer had no limit.
func sinceLimited(visits []standin.ReceivedRequest) []standin.ReceivedRequest {
	for i := len(visits) - 1; i >= 0; i-- {
		if visits[i].Limit == "" {
			return visits[i+1:]
		}
	}
	return visits
}

// withinLimit checks each window of the counted visits that ends at or after from, against the highest limit that was advertised in
// the window or in limitGrace before it. It returns the largest number of visits in a window.
func withinLimit(counted, all []standin.ReceivedRequest, from time.Time) (most int, err error) {
	arrivals := make([]time.Time, 0, len(counted))
	for _, visit := range counted {
		arrivals = append(arrivals, visit.At)
	}
	ratewindow.Each(arrivals, func(end time.Time, count int) {
		if err != nil || end.Before(from) {
			return
		}
		highest := highestLimit(all, end.Add(-ratewindow.Window-limitGrace), end)
		most = max(most, count)
		if allowed := ratewindow.Allowed(highest); float64(count) > allowed {
			err = fmt.Errorf("advertised a limit of %v per second and received %d requests in %v, want at most %v",
				highest, count, ratewindow.Window, allowed)
		}
	})
	return most, err
}

func highestLimit(visits []standin.ReceivedRequest, from, to time.Time) float64 {
	highest := 0.0
	for _, visit := range visits {
		if named, err := strconv.ParseFloat(visit.Limit, 64); err == nil && !visit.At.Before(from) && !visit.At.After(to) {
			highest = max(highest, named)
		}
	}
	return highest
}

// usesLimit checks that a server received at least the given part of what its limit allows in the last seconds of its visits.
func (w *testDeployment) usesLimit(server string, visits []standin.ReceivedRequest, part, seconds string) error {
	least, err := strconv.ParseFloat(part, 64)
	if err != nil {
		return err
	}
	last := visits[len(visits)-1]
	limit, err := strconv.ParseFloat(last.Limit, 64)
	if err != nil {
		return err
	}
	span, got := time.Duration(parseInt(seconds, 1))*time.Second, 0
	for _, visit := range visits {
		if visit.At.After(last.At.Add(-span)) {
			got++
		}
	}
	w.t.Logf("%s: %d requests in the last %v with a limit of %v per second", server, got, span, limit)
	if want := least * limit * span.Seconds(); float64(got) < want {
		return fmt.Errorf("%s advertised a limit of %v per second and received %d requests in %v, want at least %.1f",
			server, limit, got, span, want)
	}
	return nil
}

// cmdCheckRefused checks how many requests of the last load were refused with a Retry-After header: refused 300 700.
func (w *testDeployment) cmdCheckRefused(args []string) error {
	w.loadResults.mu.Lock()
	defer w.loadResults.mu.Unlock()
	if least, most := parseInt(args[0], 0), parseInt(args[1], 0); w.loadResults.refused < least || w.loadResults.refused > most {
		return fmt.Errorf("%d requests were refused, want %d to %d", w.loadResults.refused, least, most)
	}
	return nil
}

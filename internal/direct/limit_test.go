package direct_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// What a server that names a limit must not get: in some limitWindow more than limitFactor times what the limit allows, and
// limitExtra more, from the boxes that passed on such an answer limitKnown before or earlier. It counts limitGrace after the
// limit was first named.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitKnown  = 500 * time.Millisecond
	limitGrace  = 3 * time.Second
)

// callersLoad is what the callers of a load have seen.
type callersLoad struct {
	mu sync.Mutex
	// entries are the boxes that requests were sent to, answered when the head of the answer came; by the request's id.
	entries  map[string]string
	answered map[string]time.Time
	// refused counts the refusals that told the caller when to come back.
	refused int
}

// cmdLoad sends requests to entry boxes in turn at a rate, for some seconds: load 8 100 /look/1 entry-1 entry-2.
func (w *world) cmdLoad(args []string) error {
	lasts, rate, path, entries := number(args[0], 1), number(args[1], 1), args[2], args[3:]
	w.load.mu.Lock()
	if w.load.entries == nil {
		w.load.entries, w.load.answered = make(map[string]string), make(map[string]time.Time)
	}
	w.load.refused = 0
	w.load.mu.Unlock()
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range lasts * rate {
		<-ticker.C
		all.Go(func() { w.loadOne(entries[i%len(entries)], path) })
	}
	all.Wait()
	return nil
}

// loadOne makes one request and notes what its caller sees.
func (w *world) loadOne(entry, path string) {
	id := fmt.Sprintf("load-%d", w.asked.Add(1))
	w.load.mu.Lock()
	w.load.entries[id] = entry
	w.load.mu.Unlock()
	response, err := w.request(entry, id, path, "key-1")
	if err != nil {
		return
	}
	w.load.mu.Lock()
	w.load.answered[id] = time.Now()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
		w.load.refused++
	}
	w.load.mu.Unlock()
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// cmdLimited checks that a server got no more of a load than the limit that it named allows, and at least a part of that in
// its last seconds: limited plain-1 0.8 4.
func (w *world) cmdLimited(args []string) error {
	visits := w.servers[args[0]].Visits()
	w.load.mu.Lock()
	defer w.load.mu.Unlock()
	told := make(map[string]time.Time)
	var named time.Time
	for _, visit := range visits {
		if visit.Limit == "" {
			continue
		}
		if named.IsZero() {
			named = visit.At
		}
		entry, at := w.load.entries[visit.Request], w.load.answered[visit.Request]
		if known := told[entry]; !at.IsZero() && (known.IsZero() || at.Before(known)) {
			told[entry] = at
		}
	}
	if named.IsZero() {
		return fmt.Errorf("%s has named no limit", args[0])
	}
	var counted []standin.Visit
	for _, visit := range visits {
		if at := told[w.load.entries[visit.Request]]; !at.IsZero() && visit.At.Sub(at) >= limitKnown {
			counted = append(counted, visit)
		}
	}
	if err := withinLimit(counted, visits, named.Add(limitGrace)); err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	return usesLimit(args[0], visits, args[1], args[2])
}

// withinLimit looks at each window of the visits that count and ends after a moment. The highest limit that was named within
// the window or limitGrace before counts.
func withinLimit(counted, all []standin.Visit, from time.Time) error {
	for first, last := 0, 0; last < len(counted); last++ {
		end := counted[last].At
		for end.Sub(counted[first].At) >= limitWindow {
			first++
		}
		if end.Before(from) {
			continue
		}
		highest := highestLimit(all, end.Add(-limitWindow-limitGrace), end)
		got, allowed := last-first+1, limitFactor*limitWindow.Seconds()*highest+limitExtra
		if float64(got) > allowed {
			return fmt.Errorf("named a limit of %v a second and got %d requests in %v, want at most %v", highest, got, limitWindow, allowed)
		}
	}
	return nil
}

func highestLimit(visits []standin.Visit, from, to time.Time) float64 {
	highest := 0.0
	for _, visit := range visits {
		if named, err := strconv.ParseFloat(visit.Limit, 64); err == nil && !visit.At.Before(from) && !visit.At.After(to) {
			highest = max(highest, named)
		}
	}
	return highest
}

// usesLimit checks that a server got a part of what its limit allows in the last seconds of its visits.
func usesLimit(server string, visits []standin.Visit, part, seconds string) error {
	least, err := strconv.ParseFloat(part, 64)
	if err != nil {
		return err
	}
	last := visits[len(visits)-1]
	limit, err := strconv.ParseFloat(last.Limit, 64)
	if err != nil {
		return err
	}
	span, got := time.Duration(number(seconds, 1))*time.Second, 0
	for _, visit := range visits {
		if visit.At.After(last.At.Add(-span)) {
			got++
		}
	}
	if want := least * limit * span.Seconds(); float64(got) < want {
		return fmt.Errorf("%s named a limit of %v a second and got %d requests in %v, want at least %.1f", server, limit, got, span, want)
	}
	return nil
}

// cmdRefused checks how many requests of the last load were refused and told when to come back: refused 300 700.
func (w *world) cmdRefused(args []string) error {
	w.load.mu.Lock()
	defer w.load.mu.Unlock()
	if least, most := number(args[0], 0), number(args[1], 0); w.load.refused < least || w.load.refused > most {
		return fmt.Errorf("%d requests were refused, want %d to %d", w.load.refused, least, most)
	}
	return nil
}

package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// A caller's request that ends each backend server that begins to run it, and comes again and again at any entry box. The
// promise: once three servers have ended, and the boxes had contactTime to tell each other, no more than three of its tries
// reach a server, from boxes that were there all that time. Everybody else is answered as before.

const (
	// deadlyBody is what ends a server.
	deadlyBody = "deadly"
	// deadlyEvery is how often it is sent, deadlyWait for how long its caller waits.
	deadlyEvery = 150 * time.Millisecond
	deadlyWait  = 2 * time.Second
	// crashDown is for how long a server is away that has crashed.
	crashDown = 300 * time.Millisecond
	// contactTime is for how long a box must have been there, undisturbed, to be judged.
	contactTime = 3 * time.Second
	// endsAllowed and retriesAllowed are how many servers may end, and how many tries may reach one after that.
	endsAllowed    = 3
	retriesAllowed = 3
)

// deadlyKinds are the routes on which it is sent, each a request of its own.
var deadlyKinds = []string{"talk", "look"}

// crash ends a server and lets it start again, with the weights that it had, under its id.
func (w *world) crash(s *server) {
	s.link.end()
	version := s.Version()
	w.crashes.Go(func() {
		time.Sleep(crashDown)
		s.Restart(s.id)
		s.SetVersion(version)
		if err := s.link.listen(s.link.address()); err != nil {
			w.t.Error(err)
		}
		w.store.Put("servers/"+s.id, s.Entry(s.service, s.link.address(), "hall-a", false))
	})
}

// runDeadly sends the request until the load ends, to one entry box after the other.
func (l *load) runDeadly() {
	for _, s := range l.w.servers {
		s.CrashOnBody(deadlyBody, func() { l.w.crash(s) })
	}
	for _, kind := range deadlyKinds {
		l.all.Go(func() {
			for i := 0; !l.ended.Load(); i++ {
				l.askDeadly(kind, l.w.callers[i%len(l.w.callers)])
				time.Sleep(deadlyEvery)
			}
		})
	}
}

// askDeadly sends the request once and returns the status of its answer; 0 if there is none.
func (l *load) askDeadly(kind, entry string) int {
	id := fmt.Sprintf("d-%d-%d", l.w.number, l.number.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadlyWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+kind+"/1", strings.NewReader(deadlyBody))
	if err != nil {
		l.problem("request %s: %v", id, err)
		return 0
	}
	request.Host = "a.example"
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlyWait.Milliseconds()))
	l.mu.Lock()
	l.asks[id] = asked{entry, time.Now()}
	l.mu.Unlock()
	response, err := l.client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		l.note(&l.refused, id)
	}
	return response.StatusCode
}

// deadlyVisits are the tries of the request on a route that reached a server, in their order.
func (l *load) deadlyVisits(kind string) (visits []standin.ReceivedRequest) {
	for _, s := range l.w.servers {
		for _, visit := range s.ReceivedRequests() {
			if visit.Body == deadlyBody && strings.HasPrefix(visit.Path, "/"+kind+"/") {
				visits = append(visits, visit)
			}
		}
	}
	slices.SortFunc(visits, func(a, b standin.ReceivedRequest) int { return a.At.Compare(b.At) })
	return visits
}

// deadlyFindings are the tries that reached servers although enough had ended.
func (l *load) deadlyFindings() (findings []string) {
	for _, kind := range deadlyKinds {
		visits := l.deadlyVisits(kind)
		if len(visits) <= endsAllowed {
			continue
		}
		bound, late := visits[endsAllowed-1].At.Add(contactTime), 0
		for _, visit := range visits {
			l.mu.Lock()
			entry := l.asks[visit.RequestID].entry
			l.mu.Unlock()
			if visit.At.After(bound) && !l.w.disturbedBetween(entry, visit.At.Add(-contactTime), visit.At) {
				late++
			}
		}
		l.w.t.Logf("%s: %d tries of the request that ends servers reached one, %d late", kind, len(visits), late)
		if late > retriesAllowed {
			findings = append(findings, fmt.Sprintf("a request on %s that had ended %d servers was sent to %d more", kind, endsAllowed, late))
		}
	}
	return findings
}

// awaitBarred lets the request end as many servers as it may, and checks that every entry box refuses it then, and that no other
// request is refused for good.
func (l *load) awaitBarred(t *testing.T) {
	t.Helper()
	for _, kind := range deadlyKinds {
		for i := 0; len(l.deadlyVisits(kind)) < endsAllowed && i < 100; i++ {
			if l.askDeadly(kind, l.w.callers[i%len(l.w.callers)]) == http.StatusServiceUnavailable {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	time.Sleep(contactTime)
	for _, kind := range deadlyKinds {
		before := len(l.deadlyVisits(kind))
		for _, entry := range l.w.callers {
			if status := l.askDeadly(kind, entry); status != http.StatusServiceUnavailable {
				t.Errorf("%s answered %d on %s to what had ended %d servers", entry, status, kind, before)
			}
		}
		if after := len(l.deadlyVisits(kind)); after > before {
			t.Errorf("%d more servers ended on %s, %d in all", after-before, kind, after)
		}
	}
	l.w.crashes.Wait()
}

// disturbedBetween reports whether an entry box was started, or woke from standing still, between two moments.
func (w *world) disturbedBetween(entry string, from, to time.Time) bool {
	for i, callers := range w.callers {
		if callers == entry {
			return w.entries[i].startedBetween(from, to) || w.entries[i].wokeBetween(from, to)
		}
	}
	return false
}

func (p *process) wokeBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.wakes, func(woke time.Time) bool { return woke.After(from) && woke.Before(to) })
}

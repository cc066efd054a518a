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
// promise: once three servers have ended, and the boxes had propagationTime to tell each other, no more than three of its tries
// reach a server, from boxes that were there all that time. Everybody else is answered as before.

const (
	// crashBody is what ends a server.
	crashBody = "deadly"
	// crashRequestInterval is how often it is sent, crashRequestTimeout for how long its caller waits.
	crashRequestInterval = 150 * time.Millisecond
	crashRequestTimeout  = 2 * time.Second
	// crashRestartDelay is for how long a server is away that has crashed.
	crashRestartDelay = 300 * time.Millisecond
	// propagationTime is for how long a box must have been there, undisturbed, to be judged.
	propagationTime = 3 * time.Second
	// maxCrashes and maxLateRequests are how many servers may end, and how many tries may reach one after that.
	maxCrashes      = 3
	maxLateRequests = 3
)

// crashKinds are the routes on which it is sent, each a request of its own.
var crashKinds = []string{"talk", "look"}

// crashServer ends a server and lets it start again, with the weights that it had, under its id.
func (d *testDeployment) crashServer(s *server) {
	s.proxy.close()
	version := s.Version()
	d.pendingRestarts.Go(func() {
		time.Sleep(crashRestartDelay)
		s.Restart(s.id)
		s.SetVersion(version)
		if err := s.proxy.listen(s.proxy.address()); err != nil {
			d.t.Error(err)
		}
		d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), "hall-a", false))
	})
}

// runCrashRequests sends the request until the load ends, to one entry box after the other.
func (l *load) runCrashRequests() {
	for _, s := range l.deployment.servers {
		s.CrashOnBody(crashBody, func() { l.deployment.crashServer(s) })
	}
	for _, kind := range crashKinds {
		l.wg.Go(func() {
			for i := 0; !l.stopped.Load(); i++ {
				l.sendCrashRequest(kind, l.deployment.callerAddresses[i%len(l.deployment.callerAddresses)])
				time.Sleep(crashRequestInterval)
			}
		})
	}
}

// sendCrashRequest sends the request once and returns the status of its answer; 0 if there is none.
func (l *load) sendCrashRequest(kind, entry string) int {
	id := fmt.Sprintf("d-%d-%d", l.deployment.index, l.lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), crashRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+kind+"/1", strings.NewReader(crashBody))
	if err != nil {
		l.problem("request %s: %v", id, err)
		return 0
	}
	request.Host = "a.example"
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(crashRequestTimeout.Milliseconds()))
	l.mu.Lock()
	l.requests[id] = sentRequest{entry, time.Now()}
	l.mu.Unlock()
	response, err := l.client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		l.note(&l.rejected, id)
	}
	return response.StatusCode
}

// receivedCrashRequests are the tries of the request on a route that reached a server, in their order.
func (l *load) receivedCrashRequests(kind string) (visits []standin.ReceivedRequest) {
	for _, s := range l.deployment.servers {
		for _, visit := range s.ReceivedRequests() {
			if visit.Body == crashBody && strings.HasPrefix(visit.Path, "/"+kind+"/") {
				visits = append(visits, visit)
			}
		}
	}
	slices.SortFunc(visits, func(a, b standin.ReceivedRequest) int { return a.At.Compare(b.At) })
	return visits
}

// crashFindings are the tries that reached servers although enough had ended.
func (l *load) crashFindings() (findings []string) {
	for _, kind := range crashKinds {
		visits := l.receivedCrashRequests(kind)
		if len(visits) <= maxCrashes {
			continue
		}
		bound, late := visits[maxCrashes-1].At.Add(propagationTime), 0
		for _, visit := range visits {
			l.mu.Lock()
			entry := l.requests[visit.RequestID].entry
			l.mu.Unlock()
			if visit.At.After(bound) && !l.deployment.entryDisturbedBetween(entry, visit.At.Add(-propagationTime), visit.At) {
				late++
			}
		}
		l.deployment.t.Logf("%s: %d tries of the request that ends servers reached one, %d late", kind, len(visits), late)
		if late > maxLateRequests {
			findings = append(findings, fmt.Sprintf("a request on %s that had ended %d servers was sent to %d more", kind, maxCrashes, late))
		}
	}
	return findings
}

// awaitBlocked lets the request end as many servers as it may, and checks that every entry box refuses it then, and that no other
// request is refused for good.
func (l *load) awaitBlocked(t *testing.T) {
	t.Helper()
	for _, kind := range crashKinds {
		for i := 0; len(l.receivedCrashRequests(kind)) < maxCrashes && i < 100; i++ {
			if l.sendCrashRequest(kind, l.deployment.callerAddresses[i%len(l.deployment.callerAddresses)]) == http.StatusServiceUnavailable {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	time.Sleep(propagationTime)
	for _, kind := range crashKinds {
		before := len(l.receivedCrashRequests(kind))
		for _, entry := range l.deployment.callerAddresses {
			if status := l.sendCrashRequest(kind, entry); status != http.StatusServiceUnavailable {
				t.Errorf("%s answered %d on %s to what had ended %d servers", entry, status, kind, before)
			}
		}
		if after := len(l.receivedCrashRequests(kind)); after > before {
			t.Errorf("%d more servers ended on %s, %d in all", after-before, kind, after)
		}
	}
	l.deployment.pendingRestarts.Wait()
}

// entryDisturbedBetween reports whether an entry box was started, or woke from standing still, between two moments.
func (d *testDeployment) entryDisturbedBetween(entry string, from, to time.Time) bool {
	for i, callers := range d.callerAddresses {
		if callers == entry {
			return d.entries[i].startedBetween(from, to) || d.entries[i].resumedBetween(from, to)
		}
	}
	return false
}

func (p *process) resumedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.resumedAt, func(woke time.Time) bool { return woke.After(from) && woke.Before(to) })
}

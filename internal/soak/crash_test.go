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

// One caller repeatedly sends a request that crashes every backend server that starts to run it, through all entry
// boxes. After three crashes, and propagationTime for the entry boxes to exchange reports, at most three further
// attempts may reach a server. Only attempts through boxes that ran undisturbed during that time count. Other requests
// must still be served.

const (
	// crashBody is the request body that crashes a server.
	crashBody = "deadly"
	// crashRequestInterval is the time between two of these requests, crashRequestTimeout how long the caller waits.
	crashRequestInterval = 150 * time.Millisecond
	crashRequestTimeout  = 2 * time.Second
	// crashRestartDelay is the time from the crash of a server to its restart.
	crashRestartDelay = 300 * time.Millisecond
	// propagationTime is how long an entry box must have run undisturbed before its requests are counted.
	propagationTime = 3 * time.Second
	// maxCrashes is how many servers the request may crash before it is blocked, and maxLateRequests how many attempts
	// may reach a server after that.
	maxCrashes      = 3
	maxLateRequests = 3
)

// crashRoutes are the routes on which the request is sent. The system must treat each as a different request.
var crashRoutes = []string{"talk", "look"}

// crashServer closes a server's connections and restarts the server after a delay, with the same id and weights.
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

// runCrashRequests sends the crashing requests to the entry boxes in turn until the load stops.
func (l *load) runCrashRequests() {
	for _, s := range l.deployment.servers {
		s.CrashOnBody(crashBody, func() { l.deployment.crashServer(s) })
	}
	for _, route := range crashRoutes {
		l.wg.Go(func() {
			for i := 0; !l.stopped.Load(); i++ {
				l.sendCrashRequest(route, l.deployment.callerAddresses[i%len(l.deployment.callerAddresses)])
				time.Sleep(crashRequestInterval)
			}
		})
	}
}

// sendCrashRequest sends the request once and returns the status of the response, or 0 if there is none.
func (l *load) sendCrashRequest(route, entry string) int {
	id := fmt.Sprintf("d-%d-%d", l.deployment.index, l.lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), crashRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+route+"/1", strings.NewReader(crashBody))
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

// receivedCrashRequests returns the attempts on a route that reached a server, ordered by time.
func (l *load) receivedCrashRequests(route string) (attempts []standin.ReceivedRequest) {
	for _, s := range l.deployment.servers {
		for _, attempt := range s.ReceivedRequests() {
			if attempt.Body == crashBody && strings.HasPrefix(attempt.Path, "/"+route+"/") {
				attempts = append(attempts, attempt)
			}
		}
	}
	slices.SortFunc(attempts, func(a, b standin.ReceivedRequest) int { return a.At.Compare(b.At) })
	return attempts
}

// crashFindings reports the routes on which too many attempts reached a server after maxCrashes.
func (l *load) crashFindings() (findings []string) {
	for _, route := range crashRoutes {
		attempts := l.receivedCrashRequests(route)
		if len(attempts) <= maxCrashes {
			continue
		}
		countFrom, late := attempts[maxCrashes-1].At.Add(propagationTime), 0
		for _, attempt := range attempts {
			l.mu.Lock()
			entry := l.requests[attempt.RequestID].entry
			l.mu.Unlock()
			if attempt.At.After(countFrom) && !l.deployment.entryDisturbedBetween(entry, attempt.At.Add(-propagationTime), attempt.At) {
				late++
			}
		}
		l.deployment.t.Logf("%s: %d attempts of the crashing request reached a server, %d of them late", route, len(attempts), late)
		if late > maxLateRequests {
			findings = append(findings, fmt.Sprintf("a request on %s that had crashed %d servers was sent to servers %d more times", route, maxCrashes, late))
		}
	}
	return findings
}

// awaitBlocked sends the crashing requests until each has crashed maxCrashes servers. It then checks that every entry
// box rejects them and that they crash no further server. runSeed checks afterwards, with awaitServing, that other
// requests are still served.
func (l *load) awaitBlocked(t *testing.T) {
	t.Helper()
	for _, route := range crashRoutes {
		for i := 0; len(l.receivedCrashRequests(route)) < maxCrashes && i < 100; i++ {
			if l.sendCrashRequest(route, l.deployment.callerAddresses[i%len(l.deployment.callerAddresses)]) == http.StatusServiceUnavailable {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	time.Sleep(propagationTime)
	for _, route := range crashRoutes {
		before := len(l.receivedCrashRequests(route))
		for _, entry := range l.deployment.callerAddresses {
			if status := l.sendCrashRequest(route, entry); status != http.StatusServiceUnavailable {
				t.Errorf("%s responded with status %d on %s to the request that had crashed %d servers", entry, status, route, before)
			}
		}
		if after := len(l.receivedCrashRequests(route)); after > before {
			t.Errorf("%d more servers crashed on %s, %d in total", after-before, route, after)
		}
	}
	l.deployment.pendingRestarts.Wait()
}

// entryDisturbedBetween reports whether an entry box was started, or resumed after a freeze, between two times.
func (d *testDeployment) entryDisturbedBetween(entry string, from, to time.Time) bool {
	for i, address := range d.callerAddresses {
		if address == entry {
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

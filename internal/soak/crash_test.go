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
	// crashPart is a part of prompts that crashes a server, maxPartCrashes how many servers requests with it may crash before
	// they are blocked.
	crashPart      = "dead01"
	maxPartCrashes = 5
)

// crashPartResponses is what servers send before they crash because of crashPart, in turn by server.
var crashPartResponses = []standin.CrashResponse{standin.CrashBeforeHead, standin.CrashAfterHead, standin.CrashInsideEvent, standin.CrashAfterEvent}

// crashListenTime is how long some servers still listen after the connection of a request with crashPart has closed.
const crashListenTime = 5 * time.Millisecond

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
	for i, s := range l.deployment.servers {
		s.CrashOnBody(crashBody, func() { l.deployment.crashServer(s) })
		s.SetListensAfterCrash(time.Duration(i%3) * crashListenTime)
		s.CrashOnParts([]string{crashPart}, crashPartResponses[i%len(crashPartResponses)], func(string) { l.deployment.crashServer(s) })
	}
	l.wg.Go(func() {
		for i := 0; !l.stopped.Load(); i++ {
			l.sendCrashPart(l.deployment.callerAddresses[i%len(l.deployment.callerAddresses)])
			time.Sleep(crashRequestInterval)
		}
	})
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
	return l.sendCrash(route, entry, crashBody, standin.DrawPrompt(standin.SharedFirstPart))
}

// sendCrashPart sends a request with crashPart, whose content differs each time, and returns the status of the response, or 0
// if there is none.
func (l *load) sendCrashPart(entry string) int {
	return l.sendCrash("talk", entry, fmt.Sprintf("draft %d", l.lastID.Add(1)), standin.DrawPrompt(standin.SharedFirstPart, crashPart))
}

func (l *load) sendCrash(route, entry, body, prompt string) int {
	id := fmt.Sprintf("d-%d-%d", l.deployment.index, l.lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), crashRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+route+"/1", strings.NewReader(body))
	if err != nil {
		l.problem("request %s: %v", id, err)
		return 0
	}
	request.Host = "a.example"
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(crashRequestTimeout.Milliseconds()))
	request.Header.Set("X-Prompt-Prefix", prompt)
	l.mu.Lock()
	l.requests[id] = sentRequest{entry, route, time.Now()}
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
func (l *load) receivedCrashRequests(route string) []standin.ReceivedRequest {
	return l.receivedRequests(func(r *standin.ReceivedRequest) bool {
		return r.Body == crashBody && strings.HasPrefix(r.Path, "/"+route+"/")
	})
}

// receivedCrashParts returns the attempts with crashPart that reached a server, ordered by time.
func (l *load) receivedCrashParts() []standin.ReceivedRequest {
	return l.receivedRequests(func(r *standin.ReceivedRequest) bool { return slices.Contains(r.Parts, crashPart) })
}

// receivedRequests returns the attempts that match and reached a server, ordered by time.
func (l *load) receivedRequests(matches func(r *standin.ReceivedRequest) bool) (attempts []standin.ReceivedRequest) {
	for _, s := range l.deployment.servers {
		for _, attempt := range s.ReceivedRequests() {
			if matches(&attempt) {
				attempts = append(attempts, attempt)
			}
		}
	}
	slices.SortFunc(attempts, func(a, b standin.ReceivedRequest) int { return a.At.Compare(b.At) })
	return attempts
}

// crashFindings reports the requests of which too many attempts reached a server after maxCrashes, or maxPartCrashes.
func (l *load) crashFindings() (findings []string) {
	for _, route := range crashRoutes {
		findings = append(findings, l.lateFindings("a request on "+route, l.receivedCrashRequests(route), maxCrashes)...)
	}
	return append(findings, l.lateFindings("requests with part "+crashPart, l.receivedCrashParts(), maxPartCrashes)...)
}

// lateFindings reports requests of which too many attempts reached a server after a number of crashes.
func (l *load) lateFindings(what string, attempts []standin.ReceivedRequest, crashes int) []string {
	if len(attempts) <= crashes {
		return nil
	}
	countFrom, late := attempts[crashes-1].At.Add(propagationTime), 0
	for _, attempt := range attempts {
		l.mu.Lock()
		entry := l.requests[attempt.RequestID].entry
		l.mu.Unlock()
		if attempt.At.After(countFrom) && !l.deployment.entryDisturbedBetween(entry, attempt.At.Add(-propagationTime), attempt.At) {
			late++
		}
	}
	l.deployment.t.Logf("%s: %d attempts reached a server, %d of them late", what, len(attempts), late)
	if late <= maxLateRequests {
		return nil
	}
	return []string{fmt.Sprintf("%s that had crashed %d servers: sent to servers %d more times", what, crashes, late)}
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

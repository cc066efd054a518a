package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
)

// retryBound limits the retries of all entry boxes together. The servers' records of what they received are checked against
// it in every window, whatever faults there were.
var retryBound = ratewindow.RetryBound{Ratio: 0.2, Extra: 30, Window: 10 * time.Second}

// serviceByRoute is the service of each route that callers use.
var serviceByRoute = map[string]string{
	"talk": "llm", "once": "llm", "look": "maps", "book": "maps", "near": "places", "far": "places",
	"haul": uploadService, "post": uploadService, keyedRoute: departService, bulkService: bulkService, failingService: failingService,
}

const (
	// failingService has servers that fail most of their requests at all times, so that the retry budget is spent.
	// failingCallers is the number of its callers, callerPause the time between two requests of a caller.
	failingService = "failing"
	failingServers = 2
	failingCallers = 4
	callerPause    = 20 * time.Millisecond
	// failingTime is the longest time for which a server fails all requests, soundTime that for which it fails none.
	failingTime = 400 * time.Millisecond
	soundTime   = 100 * time.Millisecond
)

// addFailingServers adds the servers of failingService.
func (d *testDeployment) addFailingServers() {
	for i := range failingServers {
		s := d.newServer(fmt.Sprintf("i-failing-%d", i), failingService, "", d.ip(230+i))
		d.failing = append(d.failing, s)
		d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), "hall-a", false))
	}
}

// runFailing lets the servers of failingService fail, and starts its callers, which use all entry boxes in turn.
func (l *load) runFailing() {
	for _, s := range l.deployment.failing {
		l.wg.Go(func() {
			for !l.stopped.Load() {
				s.SetErrorStatus(http.StatusInternalServerError)
				time.Sleep(rand.N(failingTime))
				s.SetErrorStatus(0)
				time.Sleep(rand.N(soundTime))
			}
		})
	}
	for caller := range failingCallers {
		l.wg.Go(func() {
			for i := caller; !l.stopped.Load(); i++ {
				l.send(failingService, l.deployment.callerAddresses[i%len(l.deployment.callerAddresses)])
				time.Sleep(callerPause)
			}
		})
	}
}

// retryFindings reports the services that received more requests beyond the first of each than allowed in a window.
func (l *load) retryFindings() (findings []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	logs := make(map[string]*ratewindow.RetryLog)
	for _, service := range serviceByRoute {
		logs[service] = &ratewindow.RetryLog{}
	}
	for _, request := range l.requests {
		log := logs[serviceByRoute[request.route]]
		log.Requests = append(log.Requests, request.sent)
	}
	for service, arrivals := range l.deployment.arrivalsByRequest() {
		for _, times := range arrivals {
			slices.SortFunc(times, time.Time.Compare)
			logs[service].Retries = append(logs[service].Retries, times[1:]...)
		}
	}
	for service, log := range logs {
		slices.SortFunc(log.Requests, time.Time.Compare)
		slices.SortFunc(log.Retries, time.Time.Compare)
		worst := log.Worst(&retryBound)
		l.deployment.t.Logf("%s: %d requests, %d retries, %.2f of those allowed in the worst window", service, len(log.Requests), len(log.Retries), worst.Use())
		if worst.Use() > 1 {
			findings = append(findings, fmt.Sprintf("%s received %d requests beyond the first of each in %s, want at most %.1f",
				service, worst.Retries, retryBound.Window, worst.Allowed))
		}
	}
	return findings
}

// arrivalsByRequest returns when each request arrived at the servers of each service.
func (d *testDeployment) arrivalsByRequest() map[string]map[string][]time.Time {
	arrivals := make(map[string]map[string][]time.Time)
	for _, s := range d.allServers() {
		if arrivals[s.service] == nil {
			arrivals[s.service] = make(map[string][]time.Time)
		}
		for _, received := range s.ReceivedRequests() {
			arrivals[s.service][received.RequestID] = append(arrivals[s.service][received.RequestID], received.At)
		}
	}
	return arrivals
}

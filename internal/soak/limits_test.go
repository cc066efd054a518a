package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
	"github.com/cinderslip/cinderslip/platform/standin"
)

// The rate limit in a server's responses applies to the total requests of all entry boxes. These checks fail if the
// boxes together send more. They count the requests to boxes that had already forwarded a response with a limit,
// except boxes that were started or resumed shortly before.

const (
	// limitChangeInterval is the mean time between two limit changes, over all servers.
	limitChangeInterval = time.Second
	// faultFreeLimitTime is how long servers have a limit after all faults have ended.
	faultFreeLimitTime = 6 * time.Second
	// limitEffectDelay is the time from the first response with a limit that a box forwards until its requests are
	// counted.
	limitEffectDelay = 500 * time.Millisecond
	// limitGrace is how long after the first response with a limit no excess is reported. Limits in responses within
	// this time before or after a window also apply to the window.
	limitGrace = time.Second
	// limitRecoveryTime is how long the requests of a box are not counted after it was started or resumed.
	limitRecoveryTime = 5 * time.Second
)

// limitValues are valid and invalid values of the Server-Limit header; an empty value omits it.
var limitValues = []string{"0", "0.05", "1", "1.9", "5", "20", "1000", "", "-1", "NaN", "few"}

// varyLimits sets and removes the limits of randomly chosen servers for a time.
func (d *testDeployment) varyLimits(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		d.servers[d.limitRand.IntN(len(d.servers))].SetRateLimit(limitValues[d.limitRand.IntN(len(limitValues))])
		time.Sleep(time.Duration(d.limitRand.Int64N(int64(2 * limitChangeInterval))))
	}
}

// limitWithoutFaults sets a rate limit on one server of each service for a time while no faults are injected.
func (d *testDeployment) limitWithoutFaults() {
	d.servers[0].SetRateLimit("0")
	d.servers[len(d.servers)-1].SetRateLimit("1")
	time.Sleep(faultFreeLimitTime)
	for _, s := range d.servers {
		s.SetRateLimit("")
	}
}

// recordLimit records that a caller received a response with a rate limit.
func (l *load) recordLimit(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitReceived[id] = time.Now()
}

// limitFindings reports the servers that received more requests than their limits allow.
func (l *load) limitFindings() (findings []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.deployment.servers {
		limited := []standin.ReceivedRequest{}
		for _, attempt := range s.ReceivedRequests() {
			if _, err := parseLimit(&attempt); err != nil || len(limited) > 0 && attempt.StartedAtMs != limited[0].StartedAtMs {
				findings = append(findings, l.exceededLimit(s.id, limited)...)
				limited = limited[:0]
			}
			if _, err := parseLimit(&attempt); err == nil {
				limited = append(limited, attempt)
			}
		}
		findings = append(findings, l.exceededLimit(s.id, limited)...)
	}
	return findings
}

// parseLimit returns the limit in requests per second in the response to a request. It returns an error if the limit is
// missing or invalid.
func parseLimit(attempt *standin.ReceivedRequest) (float64, error) {
	limit, err := strconv.ParseFloat(attempt.Limit, 64)
	if err == nil && !(limit >= 0) {
		err = strconv.ErrRange
	}
	return limit, err
}

// exceededLimit checks consecutive requests to one incarnation of a server whose responses all had a valid limit, and
// reports the first window with too many requests. The caller must hold the lock.
func (l *load) exceededLimit(server string, limited []standin.ReceivedRequest) (findings []string) {
	knownSince := make(map[string]time.Time)
	for _, attempt := range limited {
		receivedAt, entry := l.limitReceived[attempt.RequestID], l.requests[attempt.RequestID].entry
		if first := knownSince[entry]; !receivedAt.IsZero() && (first.IsZero() || receivedAt.Before(first)) {
			knownSince[entry] = receivedAt
		}
	}
	var counted []time.Time
	for _, attempt := range limited {
		request := l.requests[attempt.RequestID]
		if since := knownSince[request.entry]; !since.IsZero() && request.sent.Sub(since) >= limitEffectDelay &&
			!l.deployment.entryDisturbedBetween(request.entry, request.sent.Add(-limitRecoveryTime), attempt.At) {
			counted = append(counted, request.sent)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	ratewindow.Each(counted, ratewindow.Window, func(end time.Time, count int) {
		if len(findings) > 0 || end.Sub(limited[0].At) < limitGrace {
			return
		}
		highest := highestLimit(limited, end)
		if allowed := ratewindow.Allowed(highest); float64(count) > allowed {
			findings = append(findings, fmt.Sprintf("%s has a limit of %v requests per second and received %d in %s, want at most %v",
				server, highest, count, ratewindow.Window, allowed))
		}
	})
	return findings
}

// highestLimit returns the highest limit that applies to the window that ends at end. Limits apply from limitGrace
// before the window to limitGrace after it.
func highestLimit(limited []standin.ReceivedRequest, end time.Time) float64 {
	highest := 0.0
	for i := range limited {
		if age := end.Sub(limited[i].At); age < ratewindow.Window+limitGrace && age > -limitGrace {
			limit, _ := parseLimit(&limited[i])
			highest = max(highest, limit)
		}
	}
	return highest
}

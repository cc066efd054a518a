package soak

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// Backend servers signal in response headers that they are leaving, or how long clients must back off. These checks
// fail if a caller sends a request after its entry box received such a signal and the request still reaches the
// server. They compare only the order of events. Requests through a box that was restarted after the signal are not
// counted, because the box has lost it.

const (
	// signalInterval is the mean delay before each signal of a randomly chosen server.
	signalInterval = 500 * time.Millisecond
	// minUptimeBeforeLeaving is the minimum uptime of a server before it announces that it is leaving. Just after a
	// restart, a box may know only the previous incarnation, and a response does not identify its incarnation.
	minUptimeBeforeLeaving = 2500 * time.Millisecond
	// maxRequestsDuringBackoff is how many requests a server may receive from a box during a backoff. A box that
	// detects a restart of the server sends one probe.
	maxRequestsDuringBackoff = 2
)

// retryAfterValues are valid and invalid values of the Retry-After header.
var retryAfterValues = []string{"0.4", "1", "2.5", "1.5", "0", "-1", "NaN", "soon"}

// sendServerSignals makes randomly chosen servers signal that they are leaving or request a backoff, for a time. A
// leaving server restarts later, before or after its store entry shows that it is leaving.
func (d *testDeployment) sendServerSignals(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(d.signalRand.Int64N(int64(2 * signalInterval))))
		s := d.servers[d.signalRand.IntN(len(d.servers))]
		if d.signalRand.IntN(2) == 0 {
			s.SetRetryAfter(retryAfterValues[d.signalRand.IntN(len(retryAfterValues))])
			time.Sleep(time.Duration(d.signalRand.Int64N(int64(signalInterval))))
			s.SetRetryAfter("")
			continue
		}
		if s.SetLeavingAfterUptime(minUptimeBeforeLeaving) && d.signalRand.IntN(2) == 0 {
			time.Sleep(time.Duration(d.signalRand.Int64N(int64(signalInterval))))
			// The server may have restarted in the meantime, and the new incarnation is not leaving.
			d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), "hall-a", s.IsLeaving()))
		}
	}
}

// clearSignals ends the backoff of all servers and restarts those that are leaving.
func (d *testDeployment) clearSignals() {
	for _, s := range d.servers {
		s.SetRetryAfter("")
		if s.IsLeaving() {
			s.Restart(s.id)
			d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), "hall-a", false))
		}
	}
}

// sentRequest is the entry box and time of one request of a caller.
type sentRequest struct {
	entry, route string
	sent         time.Time
}

// leavingKey identifies one incarnation of a server as seen by an entry box.
type leavingKey struct {
	entry       string
	startedAtMs int64
}

// recordLeaving records that a caller received a response of a leaving server. The entry box has received the signal by
// then.
func (l *load) recordLeaving(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingReceived[id] = time.Now()
}

// signalFindings reports the requests that reached a server after it signaled that it is leaving, and the servers that
// received too many requests during a backoff.
func (l *load) signalFindings() (findings []string) {
	backoffs := make(map[string]time.Time)
	for _, p := range l.deployment.entries {
		p.readBackoffs(backoffs)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.deployment.servers {
		attempts := s.ReceivedRequests()
		findings = append(findings, l.sentToLeaving(s.id, attempts)...)
		findings = append(findings, l.sentDuringBackoff(s.id, attempts, backoffs)...)
	}
	return findings
}

// sentToLeaving reports the requests that reached a server after it announced that it is leaving. The caller must hold
// the lock.
func (l *load) sentToLeaving(server string, attempts []standin.ReceivedRequest) (findings []string) {
	firstSignal := make(map[leavingKey]time.Time)
	for _, attempt := range attempts {
		signaledAt, ok := l.leavingReceived[attempt.RequestID]
		key := leavingKey{l.requests[attempt.RequestID].entry, attempt.StartedAtMs}
		if known := firstSignal[key]; ok && attempt.Leaving && (known.IsZero() || signaledAt.Before(known)) {
			firstSignal[key] = signaledAt
		}
	}
	for _, attempt := range attempts {
		request := l.requests[attempt.RequestID]
		signaledAt := firstSignal[leavingKey{request.entry, attempt.StartedAtMs}]
		if !signaledAt.IsZero() && request.sent.After(signaledAt) && !l.deployment.entryStartedBetween(request.entry, signaledAt, attempt.At) {
			findings = append(findings, fmt.Sprintf("request %s reached %s %s after %s had forwarded its announcement that it is leaving",
				attempt.RequestID, server, attempt.At.Sub(signaledAt), request.entry))
		}
	}
	return findings
}

// sentDuringBackoff reports the backoffs of a server during which it received too many requests. The caller must hold
// the lock.
func (l *load) sentDuringBackoff(server string, attempts []standin.ReceivedRequest, backoffs map[string]time.Time) (findings []string) {
	for _, rejected := range attempts {
		signaledAt, ok := backoffs[rejected.RequestID]
		if !ok || rejected.BackoffUntil.IsZero() {
			continue
		}
		entry, count := l.requests[rejected.RequestID].entry, 0
		for _, attempt := range attempts {
			request := l.requests[attempt.RequestID]
			if request.entry == entry && attempt.StartedAtMs == rejected.StartedAtMs && request.sent.After(signaledAt) && attempt.At.Before(rejected.BackoffUntil) &&
				!l.deployment.entryStartedBetween(entry, signaledAt, attempt.At) {
				count++
			}
		}
		if count > maxRequestsDuringBackoff {
			findings = append(findings, fmt.Sprintf("%s requested a backoff from %s in its response to %s and received %d requests during it", server, entry, rejected.RequestID, count))
		}
	}
	return findings
}

// entryStartedBetween reports whether an entry box was started between two times.
func (d *testDeployment) entryStartedBetween(entry string, from, to time.Time) bool {
	for i, address := range d.callerAddresses {
		if address == entry {
			return d.entries[i].startedBetween(from, to)
		}
	}
	return false
}

func (p *process) startedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.startedAt {
		if started.After(from) && started.Before(to) {
			return true
		}
	}
	return false
}

// backoffLine matches the log line of an entry box on a backoff that a server requested.
var backoffLine = regexp.MustCompile(`^time=(\S+) .*event="server asks for rest".* request=(\S+)`)

// readBackoffs reads from the log when the box received each backoff, and adds the times to backoffs by request id.
func (p *process) readBackoffs(backoffs map[string]time.Time) {
	file, err := os.Open(p.log)
	if err != nil {
		p.addFinding(err.Error())
		return
	}
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		found := backoffLine.FindStringSubmatch(scanner.Text())
		if found == nil {
			continue
		}
		signaledAt, err := time.Parse(time.RFC3339Nano, found[1])
		if err != nil {
			p.addFinding(err.Error())
			continue
		}
		backoffs[found[2]] = signaledAt
	}
}

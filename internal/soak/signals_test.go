package soak

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// What backend servers say of themselves in their answers: that they leave, and for how long they want rest. Both
// promises are judged by the order of events alone: a caller asks after the entry box has heard the word, and the
// request reaches the server all the same. A box that was started since has forgotten it and is excused.

const (
	// signalInterval is how often a server says something, in the mean.
	signalInterval = 500 * time.Millisecond
	// minUptimeBeforeLeaving is for how long a server is there at least before it leaves: of one that has just started again
	// a box may know the start before only, and an answer does not tell starts.
	minUptimeBeforeLeaving = 2500 * time.Millisecond
	// maxRequestsDuringBackoff is how many requests may come within a rest: a box that learns of a start of the server asks once.
	maxRequestsDuringBackoff = 2
)

// retryAfterValues are such as servers may write.
var retryAfterValues = []string{"0.4", "1", "2.5", "1.5", "0", "-1", "NaN", "soon"}

// sendServerSignals lets servers say that they leave, or ask for rest, for a time. A server that leaves ends later and
// starts again, before or after its entry says so.
func (d *testDeployment) sendServerSignals(lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
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
			// It may have started again meanwhile, and that start does not leave.
			d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), "hall-a", s.IsLeaving()))
		}
	}
}

// clearSignals lets every server that leaves start again, and take what comes.
func (d *testDeployment) clearSignals() {
	for _, s := range d.servers {
		s.SetRetryAfter("")
		if s.IsLeaving() {
			s.Restart(s.id)
			d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), "hall-a", false))
		}
	}
}

// sentRequest is one request of a caller.
type sentRequest struct {
	entry string
	sent  time.Time
}

// leavingKey is what an entry box has heard of one start of a server.
type leavingKey struct {
	entry       string
	startedAtMs int64
}

// recordLeaving notes that a caller has got an answer of a server that leaves: its entry box has heard the word.
func (l *load) recordLeaving(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingReceived[id] = time.Now()
}

// signalFindings are the requests that reached a server against its word.
func (l *load) signalFindings() (findings []string) {
	rests := make(map[string]time.Time)
	for _, p := range l.deployment.entries {
		p.readBackoffs(rests)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.deployment.servers {
		visits := s.ReceivedRequests()
		findings = append(findings, l.sentToLeaving(s.id, visits)...)
		findings = append(findings, l.sentDuringBackoff(s.id, visits, rests)...)
	}
	return findings
}

// sentToLeaving finds requests that reached a server that had said that it leaves. The lock must be held.
func (l *load) sentToLeaving(server string, visits []standin.ReceivedRequest) (findings []string) {
	first := make(map[leavingKey]time.Time)
	for _, visit := range visits {
		heard, ok := l.leavingReceived[visit.RequestID]
		about := leavingKey{l.requests[visit.RequestID].entry, visit.StartedAtMs}
		if known := first[about]; ok && visit.Leaving && (known.IsZero() || heard.Before(known)) {
			first[about] = heard
		}
	}
	for _, visit := range visits {
		ask := l.requests[visit.RequestID]
		heard := first[leavingKey{ask.entry, visit.StartedAtMs}]
		if !heard.IsZero() && ask.sent.After(heard) && !l.deployment.entryStartedBetween(ask.entry, heard, visit.At) {
			findings = append(findings, fmt.Sprintf("request %s reached %s %s after %s had passed on that it leaves",
				visit.RequestID, server, visit.At.Sub(heard), ask.entry))
		}
	}
	return findings
}

// sentDuringBackoff finds rests that a server asked for and did not get. The lock must be held.
func (l *load) sentDuringBackoff(server string, visits []standin.ReceivedRequest, rests map[string]time.Time) (findings []string) {
	for _, turned := range visits {
		heard, ok := rests[turned.RequestID]
		if !ok || turned.BackoffUntil.IsZero() {
			continue
		}
		entry, came := l.requests[turned.RequestID].entry, 0
		for _, visit := range visits {
			ask := l.requests[visit.RequestID]
			if ask.entry == entry && visit.StartedAtMs == turned.StartedAtMs && ask.sent.After(heard) && visit.At.Before(turned.BackoffUntil) &&
				!l.deployment.entryStartedBetween(entry, heard, visit.At) {
				came++
			}
		}
		if came > maxRequestsDuringBackoff {
			findings = append(findings, fmt.Sprintf("%s asked %s for rest by its answer to %s and got %d requests", server, entry, turned.RequestID, came))
		}
	}
	return findings
}

// entryStartedBetween reports whether an entry box was started between two moments.
func (d *testDeployment) entryStartedBetween(entry string, from, to time.Time) bool {
	for i, callers := range d.callerAddresses {
		if callers == entry {
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

// backoffLine is a line of the log by which an entry box has heard that a server wants rest.
var backoffLine = regexp.MustCompile(`^time=(\S+) .*event="server asks for rest".* request=(\S+)`)

// readBackoffs adds when the box heard of each rest that the answer to a request asked for.
func (p *process) readBackoffs(rests map[string]time.Time) {
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
		heard, err := time.Parse(time.RFC3339Nano, found[1])
		if err != nil {
			p.addFinding(err.Error())
			continue
		}
		rests[found[2]] = heard
	}
}

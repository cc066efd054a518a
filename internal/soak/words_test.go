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
	// speakEvery is how often a server says something, in the mean.
	speakEvery = 500 * time.Millisecond
	// leavesAfter is for how long a server is there at least before it leaves: of one that has just started again
	// a box may know the start before only, and an answer does not tell starts.
	leavesAfter = 2500 * time.Millisecond
	// restedOnce is how many requests may come within a rest: a box that learns of a start of the server asks once.
	restedOnce = 2
)

// restsAsked are such as servers may write.
var restsAsked = []string{"0.4", "1", "2.5", "1.5", "0", "-1", "NaN", "soon"}

// letServersSpeak lets servers say that they leave, or ask for rest, for a time. A server that leaves ends later and
// starts again, before or after its entry says so.
func (w *world) letServersSpeak(lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		time.Sleep(time.Duration(w.words.Int64N(int64(2 * speakEvery))))
		s := w.servers[w.words.IntN(len(w.servers))]
		if w.words.IntN(2) == 0 {
			s.SetRetryAfter(restsAsked[w.words.IntN(len(restsAsked))])
			time.Sleep(time.Duration(w.words.Int64N(int64(speakEvery))))
			s.SetRetryAfter("")
			continue
		}
		if s.SetLeavingAfterUptime(leavesAfter) && w.words.IntN(2) == 0 {
			time.Sleep(time.Duration(w.words.Int64N(int64(speakEvery))))
			// It may have started again meanwhile, and that start does not leave.
			w.store.Put("servers/"+s.id, s.Entry(s.service, s.link.address(), "hall-a", s.IsLeaving()))
		}
	}
}

// endWords lets every server that leaves start again, and take what comes.
func (w *world) endWords() {
	for _, s := range w.servers {
		s.SetRetryAfter("")
		if s.IsLeaving() {
			s.Restart(s.id)
			w.store.Put("servers/"+s.id, s.Entry(s.service, s.link.address(), "hall-a", false))
		}
	}
}

// asked is one request of a caller.
type asked struct {
	entry string
	sent  time.Time
}

// word is what an entry box has heard of one start of a server.
type word struct {
	entry string
	born  int64
}

// hear notes that a caller has got an answer of a server that leaves: its entry box has heard the word.
func (l *load) hear(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[id] = time.Now()
}

// wordFindings are the requests that reached a server against its word.
func (l *load) wordFindings() (findings []string) {
	rests := make(map[string]time.Time)
	for _, p := range l.w.entries {
		p.readRests(rests)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.w.servers {
		visits := s.ReceivedRequests()
		findings = append(findings, l.sentToLeaving(s.id, visits)...)
		findings = append(findings, l.sentToResting(s.id, visits, rests)...)
	}
	return findings
}

// sentToLeaving finds requests that reached a server that had said that it leaves. The lock must be held.
func (l *load) sentToLeaving(server string, visits []standin.ReceivedRequest) (findings []string) {
	first := make(map[word]time.Time)
	for _, visit := range visits {
		heard, ok := l.heard[visit.RequestID]
		about := word{l.asks[visit.RequestID].entry, visit.StartedAtMs}
		if known := first[about]; ok && visit.Leaving && (known.IsZero() || heard.Before(known)) {
			first[about] = heard
		}
	}
	for _, visit := range visits {
		ask := l.asks[visit.RequestID]
		heard := first[word{ask.entry, visit.StartedAtMs}]
		if !heard.IsZero() && ask.sent.After(heard) && !l.w.startedSince(ask.entry, heard, visit.At) {
			findings = append(findings, fmt.Sprintf("request %s reached %s %s after %s had passed on that it leaves",
				visit.RequestID, server, visit.At.Sub(heard), ask.entry))
		}
	}
	return findings
}

// sentToResting finds rests that a server asked for and did not get. The lock must be held.
func (l *load) sentToResting(server string, visits []standin.ReceivedRequest, rests map[string]time.Time) (findings []string) {
	for _, turned := range visits {
		heard, ok := rests[turned.RequestID]
		if !ok || turned.BackoffUntil.IsZero() {
			continue
		}
		entry, came := l.asks[turned.RequestID].entry, 0
		for _, visit := range visits {
			ask := l.asks[visit.RequestID]
			if ask.entry == entry && visit.StartedAtMs == turned.StartedAtMs && ask.sent.After(heard) && visit.At.Before(turned.BackoffUntil) &&
				!l.w.startedSince(entry, heard, visit.At) {
				came++
			}
		}
		if came > restedOnce {
			findings = append(findings, fmt.Sprintf("%s asked %s for rest by its answer to %s and got %d requests", server, entry, turned.RequestID, came))
		}
	}
	return findings
}

// startedSince reports whether an entry box was started between two moments.
func (w *world) startedSince(entry string, from, to time.Time) bool {
	for i, callers := range w.callers {
		if callers == entry {
			return w.entries[i].startedBetween(from, to)
		}
	}
	return false
}

func (p *process) startedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.starts {
		if started.After(from) && started.Before(to) {
			return true
		}
	}
	return false
}

// restLine is a line of the log by which an entry box has heard that a server wants rest.
var restLine = regexp.MustCompile(`^time=(\S+) .*event="server asks for rest".* request=(\S+)`)

// readRests adds when the box heard of each rest that the answer to a request asked for.
func (p *process) readRests(rests map[string]time.Time) {
	file, err := os.Open(p.log)
	if err != nil {
		p.report(err.Error())
		return
	}
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		found := restLine.FindStringSubmatch(scanner.Text())
		if found == nil {
			continue
		}
		heard, err := time.Parse(time.RFC3339Nano, found[1])
		if err != nil {
			p.report(err.Error())
			continue
		}
		rests[found[2]] = heard
	}
}

package lab

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// partCrashDowntime is how long a server that has crashed on a part of a prompt is down.
	partCrashDowntime = 3 * time.Second
	// frequentParts and rareParts are the numbers of parts of prompts of which half of the drawn ones are each.
	frequentParts = 6
	rareParts     = 400
	// successDuration is how long a response must have been in progress so that the exit of its server is not attributed to
	// its request.
	successDuration = 200 * time.Millisecond
	// abortCheckDelay is how long after evidence the requests in flight are evaluated again.
	abortCheckDelay = 200 * time.Millisecond
)

// prompts draws the attributes of requests.
type prompts struct {
	random *rand.Rand
	count  int
	// crashShare is the fraction of the requests whose prompts have the part that crashes servers.
	crashShare float64
}

// prompt is what requests have in common with others.
type prompt struct {
	// parts are the shared parts, attributes also contain the content.
	parts, attributes []route.AttributeID
	// crashes is set if the prompt has the part that crashes servers.
	crashes bool
}

// draw returns a prompt with a first part that all prompts have, one that many or few have, and another content than all others.
func (p *prompts) draw() prompt {
	p.count++
	drawn := fmt.Sprintf("rare-%d", p.random.IntN(rareParts))
	if p.random.IntN(2) == 0 {
		drawn = fmt.Sprintf("frequent-%d", p.random.IntN(frequentParts))
	}
	names := []string{"first", drawn}
	crashes := p.crashShare > 0 && p.random.Float64() < p.crashShare
	if crashes {
		names = append(names, "crashing")
	}
	result := prompt{crashes: crashes}
	for _, name := range names {
		result.parts = append(result.parts, route.PartAttribute(sha256.Sum256([]byte(name))))
	}
	content := route.AttributeID(sha256.Sum256(fmt.Appendf(nil, "content %d", p.count)))
	result.attributes = append([]route.AttributeID{content}, result.parts...)
	return result
}

// crashOnPart crashes the server of a request of a box whose prompt has the part that crashes servers.
func (s *simulation) crashOnPart(e *engine, b *box) {
	if !b.partitioned {
		s.result.PartCrashes++
	}
	s.crash(e, partCrashDowntime)
}

// startQuarantine starts the quarantine of the box with the evidence of its peers.
func (b *box) startQuarantine() {
	b.quarantine = &route.Quarantine{Box: b.id, BoxCount: func() int { return b.live }}
	b.evidenceCursor, b.inFlight = 0, nil
	for _, other := range b.peers {
		if other.up && other.quarantine != nil {
			evidence, _ := other.quarantine.Since(0)
			b.receiveEvidence(other, evidence)
		}
	}
}

// reportEvidence reports new evidence to the peers after reportBatchDelay, and aborts requests that it blocks.
func (b *box) reportEvidence() {
	b.sim.AfterFunc(0, b.abortQuarantined)
	b.sim.AfterFunc(abortCheckDelay, b.abortQuarantined)
	if b.evidencePending {
		return
	}
	b.evidencePending = true
	incarnation := b.incarnation
	b.sim.AfterFunc(reportBatchDelay, func() {
		b.evidencePending = false
		if b.incarnation != incarnation {
			return
		}
		var evidence []route.Evidence
		evidence, b.evidenceCursor = b.quarantine.Since(b.evidenceCursor)
		for _, other := range b.peers {
			other.receiveEvidence(b, evidence)
		}
	})
}

// receiveEvidence merges the evidence of another box after the message delay, by which it appears later. Evidence arrives after
// a partition.
func (b *box) receiveEvidence(from *box, evidence []route.Evidence) {
	incarnation, delay := b.incarnation, b.sim.delay(from.region, b.region)
	b.sim.AfterFunc(delay, func() {
		switch {
		case b.incarnation != incarnation || !b.up:
			return
		case b.partitioned || from.partitioned:
			b.sim.AfterFunc(unchangedReportInterval, func() { b.receiveEvidence(from, evidence) })
			return
		}
		isNew := false
		for _, item := range evidence {
			item.At = item.At.Add(delay)
			isNew = b.quarantine.Merge(item, b.sim.Now()) || isNew
		}
		if isNew {
			b.reportEvidence()
		}
	})
}

// abortQuarantined ends the requests that are blocked after they were sent and whose response has not started.
func (b *box) abortQuarantined() {
	b.inFlight = slices.DeleteFunc(b.inFlight, func(r *request) bool { return r.done || r.reservation == nil })
	for _, r := range slices.Clone(b.inFlight) {
		// A request is listed once for each of its attempts.
		if r.reservation == nil || r.started || r.incarnation != b.incarnation || b.quarantine.MaySend(r.prompt.attributes, &r.turn, b.sim.Now()) {
			continue
		}
		r.server.cancel(r.job)
		r.job = nil
		r.reservation.Release(route.ResultAbandoned, b.sim.Now())
		r.repeat()
	}
}

// checkQuarantine reports whether the request may be sent. Otherwise it rejects the request or submits it again later.
func (r *request) checkQuarantine() bool {
	permit := r.box.quarantine.CheckSend(r.prompt.attributes, &r.turn, r.waitsFrom, r.box.sim.Now())
	r.slotRequest.Suspect = permit.Suspect
	switch {
	case permit.Rejected != nil:
		r.reject(permit.Rejected)
	case permit.Wait > 0:
		r.afterFunc(permit.Wait, r.submit)
	default:
		return true
	}
	return false
}

// recordSuccess records that a server has been running the request without exiting.
func (r *request) recordSuccess() {
	now, isNew := r.box.sim.Now(), false
	r.succeeded = true
	r.box.quarantine.EndTurn(&r.turn)
	r.box.quarantine.NoteAnswered(r.prompt.parts, now)
	for _, attribute := range r.prompt.attributes {
		isNew = r.box.quarantine.Record(route.Evidence{Attribute: attribute, At: now}, now) || isNew
	}
	if isNew {
		r.box.reportEvidence()
	}
}

// recordExit records that the server of the request has exited.
func (r *request) recordExit() {
	if r.reservation.RespondingFor(r.box.sim.Now()) >= successDuration {
		return
	}
	now, isNew := r.box.sim.Now(), false
	exited := route.ServerIncarnation{Server: r.server.id, Incarnation: member.Incarnation(r.serverIncarnation + 1)}
	for _, attribute := range r.box.quarantine.PossibleCauses(r.prompt.attributes, r.reservation.ReservedAt(), now) {
		isNew = r.box.quarantine.Record(route.Evidence{Attribute: attribute, Exited: exited, At: now}, now) || isNew
	}
	if isNew {
		r.box.reportEvidence()
	}
}

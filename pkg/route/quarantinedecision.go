package route

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Decision states whether and how a request may be sent to a server.
type Decision struct {
	// Suspect is set if a server may have exited because of the request. It must not be sent to a server that has
	// another suspect request.
	Suspect bool
	// Blocked is set if the request must not be sent to any server until BlockedUntil, because of Attribute.
	Blocked      bool
	BlockedUntil time.Time
	Attribute    AttributeID
	// Trials are the attributes that are considered the cause of exits and whose block has ended. Only one request with each
	// of them may be sent at a time. Suspects are all attributes that may have caused exits.
	Trials   []AttributeID
	Suspects []AttributeID
	// SettlesAt is the time until which evidence of other boxes on the last exit may arrive, and the turn of this box after it.
	// It may be in the past.
	SettlesAt time.Time
	// Exits is the number of incarnations that have exited under the attribute with the most exits.
	Exits int
}

// Evaluate decides whether and how a request that has one attribute only may be sent now.
func (q *Quarantine) Evaluate(attribute AttributeID, now time.Time) Decision {
	return q.EvaluateRequest([]AttributeID{attribute}, now)
}

// EvaluateRequest decides whether and how a request with the given attributes may be sent now.
func (q *Quarantine) EvaluateRequest(request []AttributeID, now time.Time) (decision Decision) {
	if q.Empty() {
		return decision
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, attribute := range request {
		s := q.attributes[attribute]
		if s == nil || q.counted(s) == 0 {
			continue
		}
		decision.add(attribute, q.evaluate(attribute, s, request, now))
	}
	return decision
}

// add combines the decision for a request with that for another one of its attributes.
func (d *Decision) add(attribute AttributeID, next Decision) {
	d.Suspect = d.Suspect || next.Suspect
	d.SettlesAt = latest(d.SettlesAt, next.SettlesAt)
	d.Trials = append(d.Trials, next.Trials...)
	if next.Suspect {
		d.Suspects = append(d.Suspects, attribute)
	}
	if next.Blocked && (!d.Blocked || next.BlockedUntil.After(d.BlockedUntil)) {
		d.Blocked, d.BlockedUntil, d.Attribute = true, next.BlockedUntil, attribute
	}
	d.Exits = max(d.Exits, next.Exits)
}

// evaluate decides whether and how a request may be sent as far as one of its attributes, which has exits, is concerned.
func (q *Quarantine) evaluate(attribute AttributeID, s *suspect, request []AttributeID, now time.Time) Decision {
	isResponsible := q.isResponsible(s, request, now)
	if s.isExpired(attribute, isResponsible, now) {
		return Decision{}
	}
	decision := Decision{Suspect: true, Exits: len(s.exits), SettlesAt: s.last().at.Add(settleDelay + q.settleTurn(attribute, len(s.exits)))}
	until := s.last().at.Add(s.blockDuration(attribute, q.isContested(s, request)))
	switch q.explanation(s, request) {
	case explainedByCause:
		return Decision{}
	case explainedEqually:
		// The other attributes with the same exits never came without this one, nor this one without them. The request has
		// this one alone and so shows which of them is the cause.
		until = decision.SettlesAt
	case unexplained:
	}
	if !isResponsible {
		return decision
	}
	until = until.Add(q.stagger(attribute, len(s.exits)))
	if now.Before(until) {
		decision.Blocked, decision.BlockedUntil = true, until
		return decision
	}
	decision.Trials = []AttributeID{attribute}
	return decision
}

// isResponsible reports whether an attribute of a request is considered the cause of the exits under it.
func (q *Quarantine) isResponsible(s *suspect, request []AttributeID, now time.Time) bool {
	if q.isConfirmed(s) {
		return true
	}
	return q.counted(s) >= exitsToBlockAlone && !now.Before(s.last().at.Add(settleDelay)) && q.explainsAllExits(s, request)
}

// explainsAllExits reports whether an attribute alone explains all exits from aloneLookback before its first exit until
// settleDelay after its last one: each of these exits was under the attribute, and no attribute that the request lacks is
// recorded under all exits of this one. Later exits are no evidence for or against it.
func (q *Quarantine) explainsAllExits(s *suspect, request []AttributeID) bool {
	from, to := s.exits[0].at.Add(-aloneLookback), s.last().at.Add(settleDelay)
	for incarnation, at := range q.exitedAt {
		if at.After(from) && at.Before(to) && !s.hasExited(incarnation) {
			return false
		}
	}
	for other, known := range q.attributes {
		if known != s && !slices.Contains(request, other) && known.hasAllExitsOf(s) {
			return false
		}
	}
	return true
}

// hasAllExitsOf reports whether all exits of another attribute are exits of this one.
func (s *suspect) hasAllExitsOf(other *suspect) bool {
	return !slices.ContainsFunc(other.exits, func(e exit) bool { return !s.hasExited(e.incarnation) })
}

// explanation states whether attributes that a request lacks explain the exits under one of its attributes.
type explanation int

const (
	// unexplained means that some exit was under no confirmed cause that the request lacks.
	unexplained explanation = iota
	// explainedEqually means that each exit was under a confirmed cause that the request lacks, and that some of these
	// have no more exits than the attribute itself.
	explainedEqually
	// explainedByCause means that each exit was under a confirmed cause that the request lacks and that has more exits.
	explainedByCause
)

// explanation returns whether attributes that the request lacks explain all exits of one of its attributes.
func (q *Quarantine) explanation(s *suspect, request []AttributeID) explanation {
	result := unexplained
	for i, e := range s.exits {
		found := unexplained
		for other, known := range q.confirmed {
			switch {
			case len(known.exits) < len(s.exits) || !known.hasExited(e.incarnation) || slices.Contains(request, other):
			case len(known.exits) > len(s.exits):
				found = explainedByCause
			default:
				found = max(found, explainedEqually)
			}
		}
		if found == unexplained {
			return unexplained
		}
		if i == 0 || found < result {
			result = found
		}
	}
	return result
}

// isContested reports whether a confirmed cause that the request lacks has some of the exits of one of its attributes. Several
// causes at once may block what all requests have in common before any of them can clear it.
func (q *Quarantine) isContested(s *suspect, request []AttributeID) bool {
	for other, known := range q.confirmed {
		if slices.Contains(request, other) {
			continue
		}
		if slices.ContainsFunc(s.exits, func(e exit) bool { return known.hasExited(e.incarnation) }) {
			return true
		}
	}
	return false
}

// blockDuration returns how long an attribute is blocked after its last exit if it is responsible. A part of prompts, or a
// contested attribute, is tried soon, and its blocks grow with the exits after a block only.
func (s *suspect) blockDuration(attribute AttributeID, isContested bool) time.Duration {
	duration, growths := blockInitial, len(s.exits)-exitsToBlock
	if attribute.IsPart() || isContested {
		duration, growths = partBlockInitial, s.rounds()-1
	}
	for range growths {
		duration = min(blockMax, duration*blockGrowth)
	}
	return duration
}

// rounds returns the number of groups of exits that are further apart than roundGap.
func (s *suspect) rounds() int {
	rounds := 1
	for i := 1; i < len(s.exits); i++ {
		if s.exits[i].at.Sub(s.exits[i-1].at) > roundGap {
			rounds++
		}
	}
	return rounds
}

// stagger returns how much longer than others this box blocks an attribute. All boxes receive requests with it, and if all
// blocks ended at the same time, each box would send one. The first box resumes at once on average, the others over some
// seconds, so that at most a few requests are sent before the boxes know their outcome. An attribute that only few requests
// have is tried by a box as soon as one comes.
func (q *Quarantine) stagger(attribute AttributeID, exits int) time.Duration {
	rank := q.turn(attribute, exits) * float64(q.boxes())
	return time.Duration(math.Log2(max(1, rank)) * float64(staggerDoubling))
}

// settleTurn returns how much longer than settleDelay this box waits after the last of a number of exits under an attribute.
// If all boxes sent a request at the same time, the exits would count as simultaneous ones.
func (q *Quarantine) settleTurn(attribute AttributeID, exits int) time.Duration {
	return time.Duration(q.turn(attribute, exits) * float64(maxSettleTurn))
}

// turn returns a number from 0 to 1 that orders the boxes after a number of exits under an attribute; 0 for the only box.
func (q *Quarantine) turn(attribute AttributeID, exits int) float64 {
	if q.boxes() <= 1 {
		return 0
	}
	sum := sha256.Sum256(slices.Concat(attribute[:], []byte{byte(exits)}, []byte(q.Box)))
	return float64(binary.BigEndian.Uint64(sum[:])) / math.MaxUint64
}

// boxes returns the number of boxes that evaluate requests.
func (q *Quarantine) boxes() int {
	if q.BoxCount == nil {
		return 1
	}
	return q.BoxCount()
}

// isExpired reports whether the evidence on the attribute can be deleted, given whether the attribute is responsible for
// the exits.
func (s *suspect) isExpired(attribute AttributeID, isResponsible bool, now time.Time) bool {
	switch {
	case len(s.exits) == 0:
		return now.Sub(s.clearedAt) > suspectTime
	case !isResponsible:
		return now.Sub(s.last().at) > suspectTime
	}
	return now.Sub(s.last().at) > s.blockDuration(attribute, false)+unblockedRetention
}

// BlockedAttribute is an attribute of requests that must not be sent to any server.
type BlockedAttribute struct {
	Attribute AttributeID
	Until     time.Time
	// Exits contains the incarnations that have exited under the attribute, the earliest exit first.
	Exits []ServerIncarnation
}

// Blocked returns the blocked attributes, the latest end of a block first. Attributes with the same exits are all listed,
// although a request that has only some of them may be sent.
func (q *Quarantine) Blocked(now time.Time) []BlockedAttribute {
	q.mu.Lock()
	defer q.mu.Unlock()
	var blocked []BlockedAttribute
	for attribute, s := range q.attributes {
		if q.counted(s) == 0 {
			continue
		}
		request := []AttributeID{attribute}
		if q.isConfirmed(s) {
			request = q.withSameExits(s)
		}
		decision := q.evaluate(attribute, s, request, now)
		if !decision.Blocked {
			continue
		}
		entry := BlockedAttribute{Attribute: attribute, Until: decision.BlockedUntil}
		for _, e := range s.exits {
			entry.Exits = append(entry.Exits, e.incarnation)
		}
		blocked = append(blocked, entry)
	}
	slices.SortFunc(blocked, func(a, b BlockedAttribute) int { return b.Until.Compare(a.Until) })
	return blocked
}

// withSameExits returns the attributes with the same exits as one of them, including it.
func (q *Quarantine) withSameExits(s *suspect) (same []AttributeID) {
	for attribute, other := range q.attributes {
		if len(other.exits) == len(s.exits) && other.hasAllExitsOf(s) {
			same = append(same, attribute)
		}
	}
	return same
}

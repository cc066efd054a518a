package route

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// A request may cause every backend server that starts to run it to exit, and may be submitted again with another id at
// any entry box. So may all requests that have an attribute in common, such as a part of their prompts. The evidence must
// therefore outlast the attempt, the request and the box, and is kept for each attribute. Otherwise such requests take down
// one server after another, together with the responses to all other requests on these servers. At most one of the
// requests on a server is the cause of its exit, so an exit only makes their attributes suspect; one response to a request
// with an attribute shows that the attribute was not the cause.

// ErrQuarantined reports that a request is not sent to any server because servers have exited under it.
var ErrQuarantined = errors.New("request is quarantined: backend servers exited while starting to run it")

const (
	// exitsToBlock is the number of exits under an attribute that block it, whatever other requests were on the servers.
	exitsToBlock = 3
	// exitsToBlockAmongOthers replaces exitsToBlock for a part of prompts that explains less than half of the exits between the
	// first and the last one under it.
	exitsToBlockAmongOthers = 4
	// exitsToBlockAlone is the number of exits that block an attribute if it alone explains all of them.
	exitsToBlockAlone = 2
	// aloneLookback is the period before the first exit under an attribute in which no server may have exited without it.
	// Such an exit shows that servers also exit for other reasons.
	aloneLookback = 10 * time.Second
	// settleDelay is how long evidence of other boxes on an exit may take to arrive. Boxes report evidence immediately.
	settleDelay = 150 * time.Millisecond
	// maxSettleTurn is how much longer than settleDelay the last box waits, so that the boxes do not send at the same time.
	maxSettleTurn = 150 * time.Millisecond
	// suspectTime is how long an attribute that is not responsible for the exits remains suspect after the last one.
	suspectTime = time.Minute
	// blockInitial is the duration of the first block. It is multiplied by blockGrowth for each exit beyond
	// exitsToBlock, up to blockMax, so that an attribute that causes every server to exit takes down few servers in total.
	blockInitial = 10 * time.Minute
	blockGrowth  = 8
	blockMax     = 7 * 24 * time.Hour
	// partBlockInitial replaces blockInitial for parts of prompts and contested attributes. A new part is in several requests
	// at a time, so servers that exit for another reason block it more easily than a content, and none of its requests can
	// clear it then. It is multiplied for each exit that follows the one before after roundGap.
	partBlockInitial = 3 * time.Second
	// roundGap is the time between two exits from which on the second one is due to a request that was sent after the first one
	// was known.
	roundGap = 2 * time.Second
	// staggerDoubling is the time in which the number of boxes whose block has ended doubles.
	staggerDoubling = 500 * time.Millisecond
	// successRetention is how long before the first exit under an attribute a response shows that servers run it. One exit
	// is then attributed to another cause.
	successRetention = 30 * time.Second
	// simultaneousExits is the period in which several exits are considered simultaneous.
	simultaneousExits = 20 * time.Millisecond
	// unblockedRetention is how long an attribute is kept after its block has ended.
	unblockedRetention = 24 * time.Hour
	// maxAttributes is the maximum number of attributes kept. Beyond it, those with the fewest exits are evicted first.
	maxAttributes = 2048
	// expireInterval is the minimum interval between two removals of expired attributes.
	expireInterval = 5 * time.Second
	// maxExitsPerAttribute is the maximum number of exits kept for an attribute, the latest ones; more would not block it
	// for longer.
	maxExitsPerAttribute = 8
)

// ServerIncarnation identifies one incarnation of a backend server.
type ServerIncarnation struct {
	Server fleet.ServerID
	// Incarnation is 0 if the platform does not report incarnations.
	Incarnation member.Incarnation
	// UnreportedRestarts is the number of later restarts that were not reported. While the platform's store is
	// unavailable, a server may restart under the same id and exit again.
	UnreportedRestarts uint32
}

// Evidence is an observation of one box about an attribute of requests.
type Evidence struct {
	Attribute AttributeID
	// Exited is the incarnation that exited when it started to run a request with the attribute. It is zero if a server has
	// run one successfully, or if an operator has unblocked the attribute.
	Exited ServerIncarnation
	// At is the time of the observation.
	At time.Time
}

// isExit reports whether a server has exited under the attribute.
func (e *Evidence) isExit() bool { return e.Exited != ServerIncarnation{} }

// Quarantine keeps the attributes of requests under which backend servers have exited. Its zero value is empty and ready
// to use. It is safe for concurrent use.
//
// # Usage
//
//	if decision := quarantine.EvaluateRequest(attributes, now); decision.Blocked { ... } // reject the request
//	...
//	quarantine.Record(Evidence{Attribute: attribute, Exited: incarnation, At: now}, now) // the server exited
//	quarantine.Record(Evidence{Attribute: attribute, At: now}, now)                      // the server responded
//	...
//	evidence, cursor = quarantine.Since(cursor) // report the evidence to other boxes, which call Merge
type Quarantine struct {
	// Box is the box that evaluates requests, BoxCount returns the number of boxes that do. A nil BoxCount stands for one
	// box.
	Box      member.BoxID
	BoxCount func() int

	// attributeCount is the length of attributes. It can be read without the lock.
	attributeCount atomic.Int64

	mu         sync.Mutex
	attributes map[AttributeID]*suspect
	// confirmed contains the attributes for which isConfirmed was true when their evidence last changed.
	confirmed map[AttributeID]*suspect
	// taken contains the attributes of all turns.
	taken map[AttributeID]struct{}
	// exitedAt contains the exits within blockInitial, including those under attributes that have been cleared since.
	exitedAt map[ServerIncarnation]time.Time
	// changes is the number of changes so far.
	changes uint64
	// lastExpiry is when expired attributes were last removed.
	lastExpiry time.Time

	answered answeredAttributes
}

// suspect is the evidence on one attribute.
type suspect struct {
	// isPart is set for a part of prompts.
	isPart bool
	// exits are sorted by time.
	exits []exit
	// clearedAt is the time of the last known successful run; zero if there was none.
	clearedAt time.Time
	// lastChange is the value of Quarantine.changes when the attribute last changed.
	lastChange uint64
}

// exit is the exit of one incarnation of a server.
type exit struct {
	incarnation ServerIncarnation
	at          time.Time
}

// Empty reports whether the quarantine contains no attribute, so that Evaluate need not be called.
func (q *Quarantine) Empty() bool { return q.attributeCount.Load() == 0 }

// Record adds evidence and reports whether it is new, which means that it has to be reported to other boxes. A success of
// an attribute that is not suspect is not kept.
func (q *Quarantine) Record(evidence Evidence, now time.Time) bool {
	return q.record(evidence, now, false)
}

// Merge adds evidence that another box reports, as Record does. It keeps a success of an unknown attribute, because the
// box reports it for an exit that it may have yet to report.
func (q *Quarantine) Merge(evidence Evidence, now time.Time) bool {
	return q.record(evidence, now, true)
}

func (q *Quarantine) record(evidence Evidence, now time.Time, keepsSuccess bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if evidence.isExit() && now.Sub(evidence.At) <= blockInitial {
		evidence.At = q.recordExit(evidence.Exited, evidence.At, now)
	}
	s := q.attributes[evidence.Attribute]
	if s == nil {
		isKept := evidence.isExit() || keepsSuccess && now.Sub(evidence.At) <= successRetention
		if !isKept {
			return false
		}
		s = q.newSuspect(evidence.Attribute, now)
	}
	isNew := false
	switch {
	case evidence.isExit():
		isNew = q.recordUnder(evidence.Attribute, s, exit{evidence.Exited, evidence.At}, now)
	case len(s.exits) == 0 && s.clearedAt.IsZero():
		s.clearedAt, isNew = evidence.At, true
	default:
		isNew = q.clear(s, evidence.At)
	}
	if !isNew {
		return false
	}
	q.changes++
	s.lastChange = q.changes
	q.updateConfirmed(evidence.Attribute, s)
	return true
}

// recordUnder adds an exit to an attribute, and the last answer that this box has received to a request with it, which other
// boxes may not know. It reports whether either changes the evidence.
func (q *Quarantine) recordUnder(attribute AttributeID, s *suspect, exited exit, now time.Time) bool {
	isNew := s.add(exited)
	if answeredAt, ok := q.answered.lastAt(attribute, now); ok {
		isNew = q.clear(s, answeredAt) || isNew
	}
	return isNew
}

// newSuspect adds an attribute without evidence.
func (q *Quarantine) newSuspect(attribute AttributeID, now time.Time) *suspect {
	q.makeRoom(now)
	s := &suspect{isPart: attribute.IsPart()}
	q.attributes[attribute] = s
	q.attributeCount.Store(int64(len(q.attributes)))
	return s
}

// updateConfirmed adds an attribute to confirmed or removes it.
func (q *Quarantine) updateConfirmed(attribute AttributeID, s *suspect) {
	if !q.isConfirmed(s) {
		delete(q.confirmed, attribute)
		return
	}
	if q.confirmed == nil {
		q.confirmed = make(map[AttributeID]*suspect)
	}
	q.confirmed[attribute] = s
}

// isConfirmed reports whether an attribute has so many exits that it is considered their cause whatever else was on the servers.
func (q *Quarantine) isConfirmed(s *suspect) bool {
	counted := q.counted(s)
	if counted < exitsToBlock {
		return false
	}
	return !s.isPart || counted >= exitsToBlockAmongOthers || 2*len(s.exits) >= q.countExits(s.exits[0].at, s.last().at)
}

// countExits returns the number of exits in a period.
func (q *Quarantine) countExits(from, to time.Time) (count int) {
	for _, at := range q.exitedAt {
		if !at.Before(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// remove removes an attribute.
func (q *Quarantine) remove(attribute AttributeID) {
	delete(q.attributes, attribute)
	delete(q.confirmed, attribute)
}

// IncarnationAt returns the incarnation that received a request sent at a time, given the latest reported incarnation
// of the server. A request that was sent after the exit of an incarnation was received by a later one, even if no
// restart was reported.
func (q *Quarantine) IncarnationAt(reported ServerIncarnation, sent time.Time) ServerIncarnation {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		exitedAt, isKnown := q.exitedAt[reported]
		if !isKnown || !sent.After(exitedAt) {
			return reported
		}
		reported.UnreportedRestarts++
	}
}

// recordExit records the exit of an incarnation and returns the earliest time at which it is known to have happened. Reports
// contain ages, so each box that forwards one makes the exit appear later, at last later than the success that clears it.
func (q *Quarantine) recordExit(incarnation ServerIncarnation, at, now time.Time) time.Time {
	if known, isKnown := q.exitedAt[incarnation]; isKnown {
		if known.After(at) {
			q.exitedAt[incarnation] = at
			return at
		}
		return known
	}
	if q.exitedAt == nil {
		q.exitedAt = make(map[ServerIncarnation]time.Time)
	}
	for other, known := range q.exitedAt {
		if now.Sub(known) > blockInitial {
			delete(q.exitedAt, other)
		}
	}
	q.exitedAt[incarnation] = at
	return at
}

// clear removes the exits up to the time of a successful run. It returns false if that changes no decision: there were
// none, and the run is not the first one known to have preceded the exits that remain.
func (q *Quarantine) clear(s *suspect, at time.Time) bool {
	before, counted, clearedAt := len(s.exits), q.counted(s), s.clearedAt
	s.exits = slices.DeleteFunc(s.exits, func(e exit) bool { return !e.at.After(at) })
	s.clearedAt = latest(s.clearedAt, at)
	if len(s.exits) == before && q.counted(s) == counted {
		s.clearedAt = clearedAt
		return false
	}
	return true
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// add adds an exit. It returns false if the exit is known, is not after the run that cleared the attribute, or is older than
// the maxExitsPerAttribute that are kept.
func (s *suspect) add(next exit) bool {
	if s.hasExited(next.incarnation) || !next.at.After(s.clearedAt) {
		return false
	}
	if len(s.exits) >= maxExitsPerAttribute {
		if !next.at.After(s.exits[0].at) {
			return false
		}
		s.exits = s.exits[1:]
	}
	s.exits = append(slices.Clone(s.exits), next)
	slices.SortFunc(s.exits, func(a, b exit) int { return a.at.Compare(b.at) })
	return true
}

// counted returns the number of exits that count against an attribute. If a server has run a request with the attribute
// shortly before the first one, that one does not count.
func (q *Quarantine) counted(s *suspect) int {
	count := 0
	for i := 0; i < len(s.exits); {
		simultaneous := q.simultaneous(s, s.exits[i:])
		i += simultaneous
		count++
	}
	if count > 0 && !s.clearedAt.IsZero() && s.exits[0].at.Sub(s.clearedAt) <= successRetention {
		count--
	}
	return count
}

// simultaneous returns how many of the next exits of an attribute count as one. New requests with a part of prompts are on
// several servers at a time, so exits under a part count as one if other servers exited at the same time without it: all of
// them have another cause.
func (q *Quarantine) simultaneous(s *suspect, next []exit) int {
	count := 1
	for count < len(next) && next[count].at.Sub(next[0].at) <= simultaneousExits {
		count++
	}
	if count == 1 || !s.isPart {
		return 1
	}
	for incarnation, at := range q.exitedAt {
		if at.Sub(next[0].at).Abs() <= simultaneousExits && !s.hasExited(incarnation) {
			return count
		}
	}
	return 1
}

// last returns the latest exit; zero if there is none.
func (s *suspect) last() exit {
	if len(s.exits) == 0 {
		return exit{}
	}
	return s.exits[len(s.exits)-1]
}

// Expire removes expired attributes, at most once per expireInterval.
func (q *Quarantine) Expire(now time.Time) {
	if q.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastExpiry) >= expireInterval {
		q.expire(now)
	}
}

// expire is Expire with the lock held.
func (q *Quarantine) expire(now time.Time) {
	q.lastExpiry = now
	for attribute, s := range q.attributes {
		if s.isExpired(attribute, q.isResponsible(s, []AttributeID{attribute}, now), now) {
			q.remove(attribute)
		}
	}
	q.attributeCount.Store(int64(len(q.attributes)))
}

// makeRoom expires and evicts attributes until one more can be added.
func (q *Quarantine) makeRoom(now time.Time) {
	if q.attributes == nil {
		q.attributes = make(map[AttributeID]*suspect)
	}
	if len(q.attributes) >= maxAttributes {
		q.expire(now)
	}
	for len(q.attributes) >= maxAttributes {
		q.evictLeast()
	}
}

// evictLeast removes the attribute with the fewest exits; among several, the one that changed least recently.
func (q *Quarantine) evictLeast() {
	var least AttributeID
	var leastSuspect *suspect
	for attribute, s := range q.attributes {
		if leastSuspect == nil || cmp.Or(cmp.Compare(len(s.exits), len(leastSuspect.exits)), cmp.Compare(s.lastChange, leastSuspect.lastChange)) < 0 {
			least, leastSuspect = attribute, s
		}
	}
	q.remove(least)
}

// hasExited reports whether an incarnation has exited under the attribute.
func (s *suspect) hasExited(incarnation ServerIncarnation) bool {
	return slices.ContainsFunc(s.exits, func(e exit) bool { return e.incarnation == incarnation })
}

// Since returns all evidence on each attribute whose evidence has changed after the cursor, oldest change first, and the
// cursor for the next call. The first cursor is 0.
func (q *Quarantine) Since(cursor uint64) (evidence []Evidence, next uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cursor == q.changes {
		return nil, cursor
	}
	var changed []AttributeID
	for attribute, s := range q.attributes {
		if s.lastChange > cursor {
			changed = append(changed, attribute)
		}
	}
	slices.SortFunc(changed, func(a, b AttributeID) int {
		return cmp.Compare(q.attributes[a].lastChange, q.attributes[b].lastChange)
	})
	for _, attribute := range changed {
		s := q.attributes[attribute]
		if !s.clearedAt.IsZero() {
			evidence = append(evidence, Evidence{Attribute: attribute, At: s.clearedAt})
		}
		for _, e := range s.exits {
			evidence = append(evidence, Evidence{Attribute: attribute, Exited: e.incarnation, At: e.at})
		}
	}
	return evidence, q.changes
}

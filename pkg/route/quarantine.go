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
// any entry box. The evidence must therefore outlast the attempt, the request and the box. Otherwise the request takes
// down one server after another, together with the responses to all other requests on these servers. At most one of the
// requests on a server is the cause of its exit, so an exit only makes a request suspect; one response shows that it
// was not the cause.

// ErrQuarantined reports that a request is not sent to any server because servers have exited under it.
var ErrQuarantined = errors.New("request is quarantined: backend servers exited while starting to run it")

const (
	// exitsToBlock is the number of exits under a request that block it, whatever other requests were on the servers.
	exitsToBlock = 3
	// exitsToBlockAlone is the number of exits that block a request if it alone explains all of them.
	exitsToBlockAlone = 2
	// aloneLookback is the period before the first exit under a request in which no server may have exited without the
	// request. Such an exit shows that servers also exit for other reasons.
	aloneLookback = 10 * time.Second
	// settleDelay is how long evidence of other boxes on an exit may take to arrive. Boxes report evidence immediately.
	settleDelay = 150 * time.Millisecond
	// suspectTime is how long a request that is not responsible for the exits remains suspect after the last one.
	suspectTime = time.Minute
	// blockInitial is the duration of the first block. It is multiplied by blockGrowth for each exit beyond
	// exitsToBlock, up to blockMax, so that a request that causes every server to exit takes down few servers in total.
	blockInitial = 10 * time.Minute
	blockGrowth  = 8
	blockMax     = 7 * 24 * time.Hour
	// unblockedRetention is how long a request is kept after its block has ended.
	unblockedRetention = 24 * time.Hour
	// maxContents is the maximum number of requests kept. Beyond it, those with the fewest exits are evicted first.
	maxContents = 1024
	// expireInterval is the minimum interval between two removals of expired requests.
	expireInterval = 5 * time.Second
	// maxExitsPerContent is the maximum number of exits kept for a request; more would not block it for longer.
	maxExitsPerContent = 8
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

// Evidence is an observation of one box about a request.
type Evidence struct {
	Content ContentID
	// Exited is the incarnation that exited when it started to run the request. It is zero if a server has run the
	// request successfully, or if an operator has unblocked it.
	Exited ServerIncarnation
	// At is the time of the observation.
	At time.Time
}

// isExit reports whether a server has exited under the request.
func (e *Evidence) isExit() bool { return e.Exited != ServerIncarnation{} }

// Decision states whether and how a request may be sent to a server.
type Decision struct {
	// Suspect is set if a server may have exited because of the request. It must not be sent to a server that has
	// another suspect request.
	Suspect bool
	// Blocked is set if the request must not be sent to any server until BlockedUntil.
	Blocked      bool
	BlockedUntil time.Time
	// SettlesAt is the time until which evidence of other boxes on the last exit may arrive. It may be in the past.
	SettlesAt time.Time
	// Exits is the number of incarnations that have exited under the request.
	Exits int
}

// Quarantine keeps the requests under which backend servers have exited. Its zero value is empty and ready to use. It
// is safe for concurrent use.
//
// # Usage
//
//	if decision := quarantine.Evaluate(content, now); decision.Blocked { ... } // reject the request
//	...
//	quarantine.Record(Evidence{Content: content, Exited: incarnation, At: now}, now) // the server exited
//	quarantine.Record(Evidence{Content: content, At: now}, now)                      // the server responded
//	...
//	evidence, cursor = quarantine.Since(cursor) // report the evidence to other boxes
type Quarantine struct {
	// requestCount is the length of requests. It can be read without the lock.
	requestCount atomic.Int64

	mu       sync.Mutex
	requests map[ContentID]*suspect
	// exitedAt contains the exits within blockInitial, including those under requests that have been cleared since.
	exitedAt map[ServerIncarnation]time.Time
	// changes is the number of changes so far.
	changes uint64
	// lastExpiry is when expired requests were last removed.
	lastExpiry time.Time
}

// suspect is the evidence on one request.
type suspect struct {
	// exits are sorted by time.
	exits []exit
	// clearedAt is the time of the last successful run that cleared exits; zero if there was none.
	clearedAt time.Time
	// lastChange is the value of Quarantine.changes when the request last changed.
	lastChange uint64
}

// exit is the exit of one incarnation of a server.
type exit struct {
	incarnation ServerIncarnation
	at          time.Time
}

// Empty reports whether the quarantine contains no request, so that Evaluate need not be called.
func (q *Quarantine) Empty() bool { return q.requestCount.Load() == 0 }

// Record adds evidence and reports whether it is new, which means that it has to be reported to other boxes.
func (q *Quarantine) Record(evidence Evidence, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if evidence.isExit() && now.Sub(evidence.At) <= blockInitial {
		q.recordExit(evidence.Exited, evidence.At, now)
	}
	s := q.requests[evidence.Content]
	switch {
	case !evidence.isExit():
		if s == nil || !s.clear(evidence.At) {
			return false
		}
	case s == nil:
		q.makeRoom(now)
		s = &suspect{exits: []exit{{evidence.Exited, evidence.At}}}
		q.requests[evidence.Content] = s
		q.requestCount.Store(int64(len(q.requests)))
	case !s.add(exit{evidence.Exited, evidence.At}):
		return false
	}
	q.changes++
	s.lastChange = q.changes
	return true
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

// recordExit records the exit of an incarnation.
func (q *Quarantine) recordExit(incarnation ServerIncarnation, at, now time.Time) {
	if q.exitedAt == nil {
		q.exitedAt = make(map[ServerIncarnation]time.Time)
	}
	if _, isKnown := q.exitedAt[incarnation]; isKnown {
		return
	}
	for other, known := range q.exitedAt {
		if now.Sub(known) > blockInitial {
			delete(q.exitedAt, other)
		}
	}
	q.exitedAt[incarnation] = at
}

// clear removes the exits up to the time of a successful run. It returns false if there were none.
func (s *suspect) clear(at time.Time) bool {
	before := len(s.exits)
	s.exits = slices.DeleteFunc(s.exits, func(e exit) bool { return !e.at.After(at) })
	if len(s.exits) == before {
		return false
	}
	s.clearedAt = at
	return true
}

// add adds an exit. It returns false if the exit is known, is not after the run that cleared the request, or exceeds
// maxExitsPerContent.
func (s *suspect) add(next exit) bool {
	if s.hasExited(next.incarnation) || !next.at.After(s.clearedAt) || len(s.exits) >= maxExitsPerContent {
		return false
	}
	s.exits = append(s.exits, next)
	slices.SortFunc(s.exits, func(a, b exit) int { return a.at.Compare(b.at) })
	return true
}

// last returns the latest exit; zero if there is none.
func (s *suspect) last() exit {
	if len(s.exits) == 0 {
		return exit{}
	}
	return s.exits[len(s.exits)-1]
}

// blockDuration returns how long the request is blocked after its last exit if it is responsible.
func (s *suspect) blockDuration() time.Duration {
	duration := blockInitial
	for range len(s.exits) - exitsToBlock {
		duration = min(blockMax, duration*blockGrowth)
	}
	return duration
}

// isExpired reports whether the evidence on the request can be deleted, given whether the request is responsible for
// the exits.
func (s *suspect) isExpired(isResponsible bool, now time.Time) bool {
	switch {
	case len(s.exits) == 0:
		return now.Sub(s.clearedAt) > suspectTime
	case !isResponsible:
		return now.Sub(s.last().at) > suspectTime
	}
	return now.Sub(s.last().at) > s.blockDuration()+unblockedRetention
}

// isResponsible reports whether a request is considered the cause of the exits under it.
func (q *Quarantine) isResponsible(content ContentID, s *suspect, now time.Time) bool {
	if len(s.exits) >= exitsToBlock {
		return true
	}
	return len(s.exits) >= exitsToBlockAlone && !now.Before(s.last().at.Add(settleDelay)) && q.explainsAllExits(content, s)
}

// Expire removes expired requests, at most once per expireInterval.
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
	for content, s := range q.requests {
		if s.isExpired(q.isResponsible(content, s, now), now) {
			delete(q.requests, content)
		}
	}
	q.requestCount.Store(int64(len(q.requests)))
}

// makeRoom expires and evicts requests until one more can be added.
func (q *Quarantine) makeRoom(now time.Time) {
	if q.requests == nil {
		q.requests = make(map[ContentID]*suspect)
	}
	if len(q.requests) >= maxContents {
		q.expire(now)
	}
	for len(q.requests) >= maxContents {
		q.evictLeast()
	}
}

// evictLeast removes the request with the fewest exits; among several, the one that changed least recently.
func (q *Quarantine) evictLeast() {
	var least ContentID
	var leastSuspect *suspect
	for content, s := range q.requests {
		if leastSuspect == nil || cmp.Or(cmp.Compare(len(s.exits), len(leastSuspect.exits)), cmp.Compare(s.lastChange, leastSuspect.lastChange)) < 0 {
			least, leastSuspect = content, s
		}
	}
	delete(q.requests, least)
}

// Evaluate decides whether and how a request may be sent now.
func (q *Quarantine) Evaluate(content ContentID, now time.Time) Decision {
	if q.Empty() {
		return Decision{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.requests[content]
	if s == nil || len(s.exits) == 0 {
		return Decision{}
	}
	isResponsible := q.isResponsible(content, s, now)
	if s.isExpired(isResponsible, now) {
		return Decision{}
	}
	decision := Decision{Suspect: true, Exits: len(s.exits), SettlesAt: s.last().at.Add(settleDelay)}
	if until := s.last().at.Add(s.blockDuration()); isResponsible && now.Before(until) {
		decision.Blocked, decision.BlockedUntil = true, until
	}
	return decision
}

// explainsAllExits reports whether a request alone explains all exits from aloneLookback before its first exit until
// settleDelay after its last one: each of these exits was under the request, and no other request is recorded under all
// exits of this request. Later exits are no evidence for or against it.
func (q *Quarantine) explainsAllExits(content ContentID, s *suspect) bool {
	from, to := s.exits[0].at.Add(-aloneLookback), s.last().at.Add(settleDelay)
	for incarnation, at := range q.exitedAt {
		if at.After(from) && at.Before(to) && !s.hasExited(incarnation) {
			return false
		}
	}
	for other, known := range q.requests {
		if other != content && !slices.ContainsFunc(s.exits, func(e exit) bool { return !known.hasExited(e.incarnation) }) {
			return false
		}
	}
	return true
}

// hasExited reports whether an incarnation has exited under the request.
func (s *suspect) hasExited(incarnation ServerIncarnation) bool {
	return slices.ContainsFunc(s.exits, func(e exit) bool { return e.incarnation == incarnation })
}

// Since returns all evidence on each request whose evidence has changed after the cursor, oldest change first, and the
// cursor for the next call. The first cursor is 0.
func (q *Quarantine) Since(cursor uint64) (evidence []Evidence, next uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cursor == q.changes {
		return nil, cursor
	}
	var contents []ContentID
	for content, s := range q.requests {
		if s.lastChange > cursor {
			contents = append(contents, content)
		}
	}
	slices.SortFunc(contents, func(a, b ContentID) int { return cmp.Compare(q.requests[a].lastChange, q.requests[b].lastChange) })
	for _, content := range contents {
		s := q.requests[content]
		if !s.clearedAt.IsZero() {
			evidence = append(evidence, Evidence{Content: content, At: s.clearedAt})
		}
		for _, e := range s.exits {
			evidence = append(evidence, Evidence{Content: content, Exited: e.incarnation, At: e.at})
		}
	}
	return evidence, q.changes
}

// BlockedRequest is a request that must not be sent to any server.
type BlockedRequest struct {
	Content ContentID
	Until   time.Time
	// Exits contains the incarnations that have exited under the request, the earliest exit first.
	Exits []ServerIncarnation
}

// Blocked returns the blocked requests, the latest end of a block first.
func (q *Quarantine) Blocked(now time.Time) []BlockedRequest {
	q.mu.Lock()
	contents := make([]ContentID, 0, len(q.requests))
	for content := range q.requests {
		contents = append(contents, content)
	}
	q.mu.Unlock()
	var blocked []BlockedRequest
	for _, content := range contents {
		if decision := q.Evaluate(content, now); decision.Blocked {
			blocked = append(blocked, BlockedRequest{Content: content, Until: decision.BlockedUntil, Exits: q.exitsOf(content)})
		}
	}
	slices.SortFunc(blocked, func(a, b BlockedRequest) int { return b.Until.Compare(a.Until) })
	return blocked
}

// exitsOf returns the incarnations that have exited under a request.
func (q *Quarantine) exitsOf(content ContentID) (incarnations []ServerIncarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.requests[content]; s != nil {
		for _, e := range s.exits {
			incarnations = append(incarnations, e.incarnation)
		}
	}
	return incarnations
}

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

// A request may end each backend server that begins to run it, and come again with another id at any entry box. What
// is known of it must outlast the attempt, the request and the box, or it ends one server after the other, and with each
// the answers of all others that run there. Of the many that were on a server as it ended one is to blame at most, so
// an end is a suspicion; one answer shows that it was not the request.

// ErrQuarantined reports a request that is not sent to any server, as those that began to run it have ended.
var ErrQuarantined = errors.New("backend servers that began to run this request have ended")

const (
	// exitsToBlock is how many starts of servers must have ended under a request to bar it whatever else ran there.
	exitsToBlock = 3
	// exitsToBlockAlone is the same for one that alone explains every end since its first.
	exitsToBlockAlone = 2
	// aloneLookback is for how long before its first end no server may have ended without it, or servers end by themselves.
	aloneLookback = 10 * time.Second
	// settleDelay is for how long after an end it is waited for what other boxes have to say of it: they tell it at once.
	settleDelay = 150 * time.Millisecond
	// suspectTime is how long a request stays suspect under which one server has ended.
	suspectTime = time.Minute
	// blockInitial is for how long a request is barred at first. It grows by blockGrowth with each further end, up to
	// blockMax, so that one that never changes ends few servers in all.
	blockInitial = 10 * time.Minute
	blockGrowth  = 8
	blockMax     = 7 * 24 * time.Hour
	// unblockedRetention is how long after a bar its request stays known.
	unblockedRetention = 24 * time.Hour
	// maxContents bounds the requests that are known. Beyond it those go first of which least is known.
	maxContents = 1024
	// expireInterval is how often at most is looked for requests of which nothing is of use any more.
	expireInterval = 5 * time.Second
	// maxExitsPerContent bounds the ends that are known of one request; more would not bar it for longer.
	maxExitsPerContent = 8
)

// ServerIncarnation is one start of a backend server.
type ServerIncarnation struct {
	Server fleet.ServerID
	// Incarnation is which start it is; 0 where the platform does not tell starts.
	Incarnation member.Incarnation
	// UnreportedRestarts counts the starts since that one of which nobody was told: while the platform's store is away a server may start
	// again under its id, and end once more.
	UnreportedRestarts uint32
}

// Evidence is what one box has seen of a request.
type Evidence struct {
	Content ContentID
	// Exited is the start of a server that ended as it began to run the request; zero if a server has run the request well,
	// or an operator has lifted its bar.
	Exited ServerIncarnation
	// At is when that was.
	At time.Time
}

// isExit reports whether the evidence speaks against the request.
func (e *Evidence) isExit() bool { return e.Exited != ServerIncarnation{} }

// Decision is what may be done with a request.
type Decision struct {
	// Suspect is set if a server may have ended because of it: it goes to no server that has another suspect.
	Suspect bool
	// Blocked is set if it must not be sent to any server, until BlockedUntil.
	Blocked      bool
	BlockedUntil time.Time
	// SettlesAt is until when more may be heard of the last end, if that is still to come.
	SettlesAt time.Time
	// Exits is how many servers have ended under it.
	Exits int
}

// Quarantine knows the requests under which backend servers have ended. Its zero value knows none. It is safe for
// concurrent use.
//
// # Usage
//
//	if verdict := quarantine.Judge(content, now); verdict.Barred { ... } // refuse it
//	...
//	quarantine.Take(Evidence{Content: content, Ended: start, At: now}, now) // the server ended
//	quarantine.Take(Evidence{Content: content, At: now}, now)               // the server has answered
//	...
//	evidence, told = quarantine.Since(told) // what to tell other boxes
type Quarantine struct {
	// requestCount is how many requests there are, to be asked without the lock.
	requestCount atomic.Int64

	mu       sync.Mutex
	requests map[ContentID]*suspect
	// exitedAt are the servers that have ended within blockInitial, also those whose requests have been cleared since.
	exitedAt map[ServerIncarnation]time.Time
	// changes is that of the newest change.
	changes uint64
	// lastExpiry is when was last looked for what is of no use any more.
	lastExpiry time.Time
}

// suspect is what is known of one request.
type suspect struct {
	// exits are sorted by their time.
	exits []exit
	// clearedAt is when a server had last run it well; zero if none has.
	clearedAt time.Time
	// lastChange orders the requests as something new was heard of them.
	lastChange uint64
}

// exit is the end of one start of a server.
type exit struct {
	incarnation ServerIncarnation
	at          time.Time
}

// Empty reports whether no request is known, so that none need be judged.
func (q *Quarantine) Empty() bool { return q.requestCount.Load() == 0 }

// Record takes evidence and reports whether it is news, which other boxes are to be told.
func (q *Quarantine) Record(seen Evidence, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if seen.isExit() && now.Sub(seen.At) <= blockInitial {
		q.recordExit(seen.Exited, seen.At, now)
	}
	s := q.requests[seen.Content]
	switch {
	case !seen.isExit():
		if s == nil || !s.clear(seen.At) {
			return false
		}
	case s == nil:
		q.makeRoom(now)
		s = &suspect{exits: []exit{{seen.Exited, seen.At}}}
		q.requests[seen.Content] = s
		q.requestCount.Store(int64(len(q.requests)))
	case !s.add(exit{seen.Exited, seen.At}):
		return false
	}
	q.changes++
	s.lastChange = q.changes
	return true
}

// IncarnationAt returns the start of a server that a request was sent to at a time. What nobody was told shows by its ends: what a
// server took after it had ended was taken by a later start.
func (q *Quarantine) IncarnationAt(told ServerIncarnation, sent time.Time) ServerIncarnation {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		ended, isKnown := q.exitedAt[told]
		if !isKnown || !sent.After(ended) {
			return told
		}
		told.UnreportedRestarts++
	}
}

// recordExit notes the end of a server.
func (q *Quarantine) recordExit(start ServerIncarnation, at, now time.Time) {
	if q.exitedAt == nil {
		q.exitedAt = make(map[ServerIncarnation]time.Time)
	}
	if _, isKnown := q.exitedAt[start]; isKnown {
		return
	}
	for other, known := range q.exitedAt {
		if now.Sub(known) > blockInitial {
			delete(q.exitedAt, other)
		}
	}
	q.exitedAt[start] = at
}

// clear forgets the ends up to a moment at which a server had run the request well; false if there were none.
func (s *suspect) clear(at time.Time) bool {
	before := len(s.exits)
	s.exits = slices.DeleteFunc(s.exits, func(e exit) bool { return !e.at.After(at) })
	if len(s.exits) == before {
		return false
	}
	s.clearedAt = at
	return true
}

// add notes an end; false if it is known, or older than what has cleared the request.
func (s *suspect) add(next exit) bool {
	if s.hasExited(next.incarnation) || !next.at.After(s.clearedAt) || len(s.exits) >= maxExitsPerContent {
		return false
	}
	s.exits = append(s.exits, next)
	slices.SortFunc(s.exits, func(a, b exit) int { return a.at.Compare(b.at) })
	return true
}

// last returns the newest end; zero if there is none.
func (s *suspect) last() exit {
	if len(s.exits) == 0 {
		return exit{}
	}
	return s.exits[len(s.exits)-1]
}

// blockDuration is for how long after its last end a request is barred.
func (s *suspect) blockDuration() time.Duration {
	bar := blockInitial
	for range len(s.exits) - exitsToBlock {
		bar = min(blockMax, bar*blockGrowth)
	}
	return bar
}

// isExpired reports whether nothing that is known of the request is of use any more, by whether it is to blame.
func (s *suspect) isExpired(isToBlame bool, now time.Time) bool {
	switch {
	case len(s.exits) == 0:
		return now.Sub(s.clearedAt) > suspectTime
	case !isToBlame:
		return now.Sub(s.last().at) > suspectTime
	}
	return now.Sub(s.last().at) > s.blockDuration()+unblockedRetention
}

// isResponsible reports whether the servers that have ended under a request have ended because of it.
func (q *Quarantine) isResponsible(content ContentID, s *suspect, now time.Time) bool {
	if len(s.exits) >= exitsToBlock {
		return true
	}
	return len(s.exits) >= exitsToBlockAlone && !now.Before(s.last().at.Add(settleDelay)) && q.explainsAllExits(content, s)
}

// Expire forgets the requests of which nothing is of use any more, now and then.
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

// makeRoom makes room for one more request.
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

// evictLeast forgets the request of which least is known; of those, the one that was heard of first.
func (q *Quarantine) evictLeast() {
	var least ContentID
	var known *suspect
	for content, s := range q.requests {
		if known == nil || cmp.Or(cmp.Compare(len(s.exits), len(known.exits)), cmp.Compare(s.lastChange, known.lastChange)) < 0 {
			least, known = content, s
		}
	}
	delete(q.requests, least)
}

// Evaluate returns what may be done with a request now.
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
	isToBlame := q.isResponsible(content, s, now)
	if s.isExpired(isToBlame, now) {
		return Decision{}
	}
	verdict := Decision{Suspect: true, Exits: len(s.exits), SettlesAt: s.last().at.Add(settleDelay)}
	if until := s.last().at.Add(s.blockDuration()); isToBlame && now.Before(until) {
		verdict.Blocked, verdict.BlockedUntil = true, until
	}
	return verdict
}

// explainsAllExits reports whether every server that ended between the first and the last end of a request, and some time
// before, ended under it, and no other request was on all of these servers. What ends later says nothing of it.
func (q *Quarantine) explainsAllExits(content ContentID, s *suspect) bool {
	from, to := s.exits[0].at.Add(-aloneLookback), s.last().at.Add(settleDelay)
	for start, at := range q.exitedAt {
		if at.After(from) && at.Before(to) && !s.hasExited(start) {
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

// hasExited reports whether a start of a server is one that ended under the request.
func (s *suspect) hasExited(start ServerIncarnation) bool {
	return slices.ContainsFunc(s.exits, func(e exit) bool { return e.incarnation == start })
}

// Since returns what is known of the requests of which something was heard after a number of changes, the oldest
// first, and how many there are now.
func (q *Quarantine) Since(told uint64) (evidence []Evidence, now uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if told == q.changes {
		return nil, told
	}
	var contents []ContentID
	for content, s := range q.requests {
		if s.lastChange > told {
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

// BlockedRequest is a request that is barred.
type BlockedRequest struct {
	Content ContentID
	Until   time.Time
	// Exits are the servers that have ended under it, the first one first.
	Exits []ServerIncarnation
}

// Blocked returns the requests that are barred, those for longest first.
func (q *Quarantine) Blocked(now time.Time) []BlockedRequest {
	q.mu.Lock()
	contents := make([]ContentID, 0, len(q.requests))
	for content := range q.requests {
		contents = append(contents, content)
	}
	q.mu.Unlock()
	var held []BlockedRequest
	for _, content := range contents {
		if verdict := q.Evaluate(content, now); verdict.Blocked {
			held = append(held, BlockedRequest{Content: content, Until: verdict.BlockedUntil, Exits: q.exitsOf(content)})
		}
	}
	slices.SortFunc(held, func(a, b BlockedRequest) int { return b.Until.Compare(a.Until) })
	return held
}

func (q *Quarantine) exitsOf(content ContentID) (starts []ServerIncarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.requests[content]; s != nil {
		for _, e := range s.exits {
			starts = append(starts, e.incarnation)
		}
	}
	return starts
}

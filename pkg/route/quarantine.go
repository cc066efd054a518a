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
	// endsCertain is how many starts of servers must have ended under a request to bar it whatever else ran there.
	endsCertain = 3
	// endsAlone is the same for one that alone explains every end since its first.
	endsAlone = 2
	// aloneBefore is for how long before its first end no server may have ended without it, or servers end by themselves.
	aloneBefore = 10 * time.Second
	// settleTime is for how long after an end it is waited for what other boxes have to say of it: they tell it at once.
	settleTime = 150 * time.Millisecond
	// suspectTime is how long a request stays suspect under which one server has ended.
	suspectTime = time.Minute
	// barFirst is for how long a request is barred at first. It grows by barGrowth with each further end, up to
	// barLongest, so that one that never changes ends few servers in all.
	barFirst   = 10 * time.Minute
	barGrowth  = 8
	barLongest = 7 * 24 * time.Hour
	// probation is how long after a bar its request stays known.
	probation = 24 * time.Hour
	// contentsKept bounds the requests that are known. Beyond it those go first of which least is known.
	contentsKept = 1024
	// expireInterval is how often at most is looked for requests of which nothing is of use any more.
	expireInterval = 5 * time.Second
	// endsKept bounds the ends that are known of one request; more would not bar it for longer.
	endsKept = 8
)

// ServerStart is one start of a backend server.
type ServerStart struct {
	Server fleet.ServerID
	// Incarnation is which start it is; 0 where the platform does not tell starts.
	Incarnation member.Incarnation
	// Again counts the starts since that one of which nobody was told: while the platform's store is away a server may start
	// again under its id, and end once more.
	Again uint32
}

// Evidence is what one box has seen of a request.
type Evidence struct {
	Content ContentID
	// Ended is the start of a server that ended as it began to run the request; zero if a server has run the request well,
	// or an operator has lifted its bar.
	Ended ServerStart
	// At is when that was.
	At time.Time
}

// isEnd reports whether the evidence speaks against the request.
func (e *Evidence) isEnd() bool { return e.Ended != ServerStart{} }

// Verdict is what may be done with a request.
type Verdict struct {
	// Suspect is set if a server may have ended because of it: it goes to no server that has another suspect.
	Suspect bool
	// Barred is set if it must not be sent to any server, until BarredUntil.
	Barred      bool
	BarredUntil time.Time
	// Settles is until when more may be heard of the last end, if that is still to come.
	Settles time.Time
	// Ends is how many servers have ended under it.
	Ends int
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
	// known is how many requests there are, to be asked without the lock.
	known atomic.Int64

	mu       sync.Mutex
	requests map[ContentID]*suspect
	// ended are the servers that have ended within barFirst, also those whose requests have been cleared since.
	ended map[ServerStart]time.Time
	// number is that of the newest change.
	number uint64
	// expired is when was last looked for what is of no use any more.
	expired time.Time
}

// suspect is what is known of one request.
type suspect struct {
	// ends are sorted by their time.
	ends []end
	// cleared is when a server had last run it well; zero if none has.
	cleared time.Time
	// number orders the requests as something new was heard of them.
	number uint64
}

// end is the end of one start of a server.
type end struct {
	start ServerStart
	at    time.Time
}

// Empty reports whether no request is known, so that none need be judged.
func (q *Quarantine) Empty() bool { return q.known.Load() == 0 }

// Take takes evidence and reports whether it is news, which other boxes are to be told.
func (q *Quarantine) Take(seen Evidence, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if seen.isEnd() && now.Sub(seen.At) <= barFirst {
		q.noteEnded(seen.Ended, seen.At, now)
	}
	s := q.requests[seen.Content]
	switch {
	case !seen.isEnd():
		if s == nil || !s.clear(seen.At) {
			return false
		}
	case s == nil:
		q.makeRoom(now)
		s = &suspect{ends: []end{{seen.Ended, seen.At}}}
		q.requests[seen.Content] = s
		q.known.Store(int64(len(q.requests)))
	case !s.add(end{seen.Ended, seen.At}):
		return false
	}
	q.number++
	s.number = q.number
	return true
}

// StartAt returns the start of a server that a request was sent to at a time. What nobody was told shows by its ends: what a
// server took after it had ended was taken by a later start.
func (q *Quarantine) StartAt(told ServerStart, sent time.Time) ServerStart {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		ended, isKnown := q.ended[told]
		if !isKnown || !sent.After(ended) {
			return told
		}
		told.Again++
	}
}

// noteEnded notes the end of a server.
func (q *Quarantine) noteEnded(start ServerStart, at, now time.Time) {
	if q.ended == nil {
		q.ended = make(map[ServerStart]time.Time)
	}
	if _, isKnown := q.ended[start]; isKnown {
		return
	}
	for other, known := range q.ended {
		if now.Sub(known) > barFirst {
			delete(q.ended, other)
		}
	}
	q.ended[start] = at
}

// clear forgets the ends up to a moment at which a server had run the request well; false if there were none.
func (s *suspect) clear(at time.Time) bool {
	before := len(s.ends)
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return !e.at.After(at) })
	if len(s.ends) == before {
		return false
	}
	s.cleared = at
	return true
}

// add notes an end; false if it is known, or older than what has cleared the request.
func (s *suspect) add(next end) bool {
	if s.isUnder(next.start) || !next.at.After(s.cleared) || len(s.ends) >= endsKept {
		return false
	}
	s.ends = append(s.ends, next)
	slices.SortFunc(s.ends, func(a, b end) int { return a.at.Compare(b.at) })
	return true
}

// last returns the newest end; zero if there is none.
func (s *suspect) last() end {
	if len(s.ends) == 0 {
		return end{}
	}
	return s.ends[len(s.ends)-1]
}

// barredFor is for how long after its last end a request is barred.
func (s *suspect) barredFor() time.Duration {
	bar := barFirst
	for range len(s.ends) - endsCertain {
		bar = min(barLongest, bar*barGrowth)
	}
	return bar
}

// isOver reports whether nothing that is known of the request is of use any more, by whether it is to blame.
func (s *suspect) isOver(isToBlame bool, now time.Time) bool {
	switch {
	case len(s.ends) == 0:
		return now.Sub(s.cleared) > suspectTime
	case !isToBlame:
		return now.Sub(s.last().at) > suspectTime
	}
	return now.Sub(s.last().at) > s.barredFor()+probation
}

// isToBlame reports whether the servers that have ended under a request have ended because of it.
func (q *Quarantine) isToBlame(content ContentID, s *suspect, now time.Time) bool {
	if len(s.ends) >= endsCertain {
		return true
	}
	return len(s.ends) >= endsAlone && !now.Before(s.last().at.Add(settleTime)) && q.explainsAll(content, s)
}

// Expire forgets the requests of which nothing is of use any more, now and then.
func (q *Quarantine) Expire(now time.Time) {
	if q.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.expired) >= expireInterval {
		q.expire(now)
	}
}

// expire is Expire with the lock held.
func (q *Quarantine) expire(now time.Time) {
	q.expired = now
	for content, s := range q.requests {
		if s.isOver(q.isToBlame(content, s, now), now) {
			delete(q.requests, content)
		}
	}
	q.known.Store(int64(len(q.requests)))
}

// makeRoom makes room for one more request.
func (q *Quarantine) makeRoom(now time.Time) {
	if q.requests == nil {
		q.requests = make(map[ContentID]*suspect)
	}
	if len(q.requests) >= contentsKept {
		q.expire(now)
	}
	for len(q.requests) >= contentsKept {
		q.dropLeast()
	}
}

// dropLeast forgets the request of which least is known; of those, the one that was heard of first.
func (q *Quarantine) dropLeast() {
	var least ContentID
	var known *suspect
	for content, s := range q.requests {
		if known == nil || cmp.Or(cmp.Compare(len(s.ends), len(known.ends)), cmp.Compare(s.number, known.number)) < 0 {
			least, known = content, s
		}
	}
	delete(q.requests, least)
}

// Judge returns what may be done with a request now.
func (q *Quarantine) Judge(content ContentID, now time.Time) Verdict {
	if q.Empty() {
		return Verdict{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.requests[content]
	if s == nil || len(s.ends) == 0 {
		return Verdict{}
	}
	isToBlame := q.isToBlame(content, s, now)
	if s.isOver(isToBlame, now) {
		return Verdict{}
	}
	verdict := Verdict{Suspect: true, Ends: len(s.ends), Settles: s.last().at.Add(settleTime)}
	if until := s.last().at.Add(s.barredFor()); isToBlame && now.Before(until) {
		verdict.Barred, verdict.BarredUntil = true, until
	}
	return verdict
}

// explainsAll reports whether every server that ended between the first and the last end of a request, and some time
// before, ended under it, and no other request was on all of these servers. What ends later says nothing of it.
func (q *Quarantine) explainsAll(content ContentID, s *suspect) bool {
	from, to := s.ends[0].at.Add(-aloneBefore), s.last().at.Add(settleTime)
	for start, at := range q.ended {
		if at.After(from) && at.Before(to) && !s.isUnder(start) {
			return false
		}
	}
	for other, known := range q.requests {
		if other != content && !slices.ContainsFunc(s.ends, func(e end) bool { return !known.isUnder(e.start) }) {
			return false
		}
	}
	return true
}

// isUnder reports whether a start of a server is one that ended under the request.
func (s *suspect) isUnder(start ServerStart) bool {
	return slices.ContainsFunc(s.ends, func(e end) bool { return e.start == start })
}

// Since returns what is known of the requests of which something was heard after a number of changes, the oldest
// first, and how many there are now.
func (q *Quarantine) Since(told uint64) (evidence []Evidence, now uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if told == q.number {
		return nil, told
	}
	var contents []ContentID
	for content, s := range q.requests {
		if s.number > told {
			contents = append(contents, content)
		}
	}
	slices.SortFunc(contents, func(a, b ContentID) int { return cmp.Compare(q.requests[a].number, q.requests[b].number) })
	for _, content := range contents {
		s := q.requests[content]
		if !s.cleared.IsZero() {
			evidence = append(evidence, Evidence{Content: content, At: s.cleared})
		}
		for _, e := range s.ends {
			evidence = append(evidence, Evidence{Content: content, Ended: e.start, At: e.at})
		}
	}
	return evidence, q.number
}

// Held is a request that is barred.
type Held struct {
	Content ContentID
	Until   time.Time
	// Ends are the servers that have ended under it, the first one first.
	Ends []ServerStart
}

// Barred returns the requests that are barred, those for longest first.
func (q *Quarantine) Barred(now time.Time) []Held {
	q.mu.Lock()
	contents := make([]ContentID, 0, len(q.requests))
	for content := range q.requests {
		contents = append(contents, content)
	}
	q.mu.Unlock()
	var held []Held
	for _, content := range contents {
		if verdict := q.Judge(content, now); verdict.Barred {
			held = append(held, Held{Content: content, Until: verdict.BarredUntil, Ends: q.endsOf(content)})
		}
	}
	slices.SortFunc(held, func(a, b Held) int { return b.Until.Compare(a.Until) })
	return held
}

func (q *Quarantine) endsOf(content ContentID) (starts []ServerStart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.requests[content]; s != nil {
		for _, e := range s.ends {
			starts = append(starts, e.start)
		}
	}
	return starts
}

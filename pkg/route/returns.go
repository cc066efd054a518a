package route

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Who asks for the first time competes for places with those who can still be answered in
// time; who was sent away before is late, or nearly so. A caller's requests carry other ids
// each time, so entry boxes know who came back by two things that stay: what is asked, and
// the moment until which the caller waits. A box remembers whom it has sent away and tells
// all other boxes, as callers come back to any of them: those of its cell itself, those of
// other cells through one box of each.
//
// The remaining time alone does not tell: callers differ in how long they wait.

// Fingerprint identifies what a request asks for: it is the same when its caller asks again.
type Fingerprint uint64

// SentAway is a caller who got no answer and may come back.
type SentAway struct {
	Fingerprint Fingerprint
	// First is when the caller first asked, Ends until when it waits.
	First, Ends time.Time
}

const (
	// endsTolerance is by how much the moment until which a caller waits may seem to differ
	// between two of its requests: what they take to arrive, and to be read by a box that is
	// short of processor time. On calm machines it is 3 ms at most.
	endsTolerance = 100 * time.Millisecond
	// returnsKept bounds the callers that are remembered; beyond it, others count as new until
	// some stop waiting. At 56 bytes each, without the map, it is half a megabyte.
	returnsKept = 8192
	// returnsTold is how many of the newest a box can still tell; a busy box tells one or two at a time.
	returnsTold = 256
	// relaysPerSecond bounds what a box tells its cell of callers whom others have sent away: with 18 boxes in a cell each
	// hears 13 KB of it a second at most. Beyond that, such callers count as new.
	relaysPerSecond = 40
	// sameKept bounds the callers that are remembered of those who ask for the very same.
	sameKept = 8
)

// Returns remembers callers who were sent away until they stop waiting. Its zero value
// remembers nobody. It is safe for concurrent use.
//
// It takes one caller for another only if both ask for the same, with the same key and body,
// and stop waiting at the same moment, give or take endsTolerance.
type Returns struct {
	mu      sync.Mutex
	callers map[Fingerprint][]SentAway
	// count is how many callers are remembered, swept when those who had stopped waiting were
	// last forgotten.
	count int
	swept time.Time
	// news are the newest that this box is to tell others, told counts all of them.
	news []sentAwayNews
	told uint64
	// relayed is how many callers of other cells were to be told on since a moment.
	relayed      int
	relayedSince time.Time
}

// Relay is the way on which boxes of different cells tell each other. Cells are numbered, and a box tells those cells whose
// number differs from its own in one bit; the relay is the place of the bit, counted from 1. What has come on one way goes on
// by lower ones only, so that it comes to each cell once.
type Relay int

const (
	// RelayCell is telling within the own cell, where everything is told.
	RelayCell Relay = 0
	// relayOwn stands for what no other box has told.
	relayOwn Relay = math.MaxInt
)

// sentAwayNews is a caller to be told of, and the way on which it was heard of.
type sentAwayNews struct {
	caller SentAway
	from   Relay
}

// Note remembers a caller that this box sends away.
func (r *Returns) Note(caller SentAway, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(caller, now)
	r.tell(caller, relayOwn)
}

// Learn remembers callers of whom another box tells on a way. Those of other cells are told on.
func (r *Returns) Learn(callers []SentAway, from Relay, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, caller := range callers {
		isNew := r.add(caller, now)
		if isNew && from != RelayCell && r.mayRelay(now) {
			r.tell(caller, from)
		}
	}
}

// mayRelay reports whether one more caller may be told on.
func (r *Returns) mayRelay(now time.Time) bool {
	if now.Sub(r.relayedSince) >= time.Second {
		r.relayed, r.relayedSince = 0, now
	}
	r.relayed++
	return r.relayed <= relaysPerSecond
}

// tell lets others be told of a caller.
func (r *Returns) tell(caller SentAway, from Relay) {
	r.news = append(r.news, sentAwayNews{caller, from})
	r.told++
	if len(r.news) >= 2*returnsTold {
		r.news = slices.Clone(r.news[len(r.news)-returnsTold:])
	}
}

// First returns when a caller first asked who asks now and waits until a moment; ok is false
// if it was not sent away before, as far as is known.
func (r *Returns) First(fingerprint Fingerprint, ends, now time.Time) (first time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, caller := range r.callers[fingerprint] {
		if caller.isAt(ends) && caller.First.Before(now) {
			return caller.First, true
		}
	}
	return time.Time{}, false
}

// Since returns the callers that are to be told on a way after a number of them, and the
// number now. Those before the newest few are left out.
func (r *Returns) Since(told uint64, to Relay) (callers []SentAway, now uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := min(r.told-min(told, r.told), uint64(min(len(r.news), returnsTold)))
	for _, news := range r.news[len(r.news)-int(missing):] {
		if news.from > to {
			callers = append(callers, news.caller)
		}
	}
	return callers, r.told
}

// isAt reports whether the caller waits until a moment.
func (s *SentAway) isAt(ends time.Time) bool { return s.Ends.Sub(ends).Abs() <= endsTolerance }

// add remembers a caller; of one that is known already, its earliest request. It reports whether the caller was not known.
func (r *Returns) add(caller SentAway, now time.Time) (isNew bool) {
	if !caller.Ends.After(now) {
		return false
	}
	if now.Sub(r.swept) >= time.Second || r.count >= returnsKept {
		r.sweep(now)
	}
	same := r.callers[caller.Fingerprint]
	for i := range same {
		if same[i].isAt(caller.Ends) {
			if caller.First.Before(same[i].First) {
				same[i].First = caller.First
			}
			return false
		}
	}
	if len(same) >= sameKept || r.count >= returnsKept {
		return false
	}
	if r.callers == nil {
		r.callers = make(map[Fingerprint][]SentAway)
	}
	r.callers[caller.Fingerprint] = append(same, caller)
	r.count++
	return true
}

// sweep forgets the callers who have stopped waiting.
func (r *Returns) sweep(now time.Time) {
	r.swept, r.count = now, 0
	for fingerprint, same := range r.callers {
		same = slices.DeleteFunc(same, func(caller SentAway) bool { return now.Sub(caller.Ends) > endsTolerance })
		if len(same) == 0 {
			delete(r.callers, fingerprint)
			continue
		}
		r.callers[fingerprint] = same
		r.count += len(same)
	}
}

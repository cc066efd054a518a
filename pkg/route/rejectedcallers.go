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

// RejectedCaller is a caller who got no answer and may come back.
type RejectedCaller struct {
	Fingerprint Fingerprint
	// FirstRequestAt is when the caller first asked, Ends until when it waits.
	FirstRequestAt, TimeoutAt time.Time
}

const (
	// timeoutTolerance is by how much the moment until which a caller waits may seem to differ
	// between two of its requests: what they take to arrive, and to be read by a box that is
	// short of processor time. On calm machines it is 3 ms at most.
	timeoutTolerance = 100 * time.Millisecond
	// maxRejectedCallers bounds the callers that are remembered; beyond it, others count as new until
	// some stop waiting. At 56 bytes each, without the map, it is half a megabyte.
	maxRejectedCallers = 8192
	// maxReportedCallers is how many of the newest a box can still tell; a busy box tells one or two at a time.
	maxReportedCallers = 256
	// relaysPerSecond bounds what a box tells its cell of callers whom others have sent away: with 18 boxes in a cell each
	// hears 13 KB of it a second at most. Beyond that, such callers count as new.
	relaysPerSecond = 40
	// maxCallersPerFingerprint bounds the callers that are remembered of those who ask for the very same.
	maxCallersPerFingerprint = 8
)

// RejectedCallers remembers callers who were sent away until they stop waiting. Its zero value
// remembers nobody. It is safe for concurrent use.
//
// It takes one caller for another only if both ask for the same, with the same key and body,
// and stop waiting at the same moment, give or take timeoutTolerance.
type RejectedCallers struct {
	mu      sync.Mutex
	callers map[Fingerprint][]RejectedCaller
	// count is how many callers are remembered, swept when those who had stopped waiting were
	// last forgotten.
	count     int
	lastSweep time.Time
	// reports are the newest that this box is to tell others, told counts all of them.
	reports     []callerReport
	reportCount uint64
	// relayed is how many callers of other cells were to be told on since a moment.
	relayed      int
	relayedSince time.Time
}

// RelayDimension is the way on which boxes of different cells tell each other. Cells are numbered, and a box tells those cells whose
// number differs from its own in one bit; the relay is the place of the bit, counted from 1. What has come on one way goes on
// by lower ones only, so that it comes to each cell once.
type RelayDimension int

const (
	// RelayWithinCell is telling within the own cell, where everything is told.
	RelayWithinCell RelayDimension = 0
	// relayOrigin stands for what no other box has told.
	relayOrigin RelayDimension = math.MaxInt
)

// callerReport is a caller to be told of, and the way on which it was heard of.
type callerReport struct {
	caller RejectedCaller
	from   RelayDimension
}

// Record remembers a caller that this box sends away.
func (r *RejectedCallers) Record(caller RejectedCaller, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(caller, now)
	r.queueReport(caller, relayOrigin)
}

// Merge remembers callers of whom another box tells on a way. Those of other cells are told on.
func (r *RejectedCallers) Merge(callers []RejectedCaller, from RelayDimension, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, caller := range callers {
		isNew := r.add(caller, now)
		if isNew && from != RelayWithinCell && r.mayRelay(now) {
			r.queueReport(caller, from)
		}
	}
}

// mayRelay reports whether one more caller may be told on.
func (r *RejectedCallers) mayRelay(now time.Time) bool {
	if now.Sub(r.relayedSince) >= time.Second {
		r.relayed, r.relayedSince = 0, now
	}
	r.relayed++
	return r.relayed <= relaysPerSecond
}

// queueReport lets others be told of a caller.
func (r *RejectedCallers) queueReport(caller RejectedCaller, from RelayDimension) {
	r.reports = append(r.reports, callerReport{caller, from})
	r.reportCount++
	if len(r.reports) >= 2*maxReportedCallers {
		r.reports = slices.Clone(r.reports[len(r.reports)-maxReportedCallers:])
	}
}

// FirstRequestAt returns when a caller first asked who asks now and waits until a moment; ok is false
// if it was not sent away before, as far as is known.
func (r *RejectedCallers) FirstRequestAt(fingerprint Fingerprint, ends, now time.Time) (first time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, caller := range r.callers[fingerprint] {
		if caller.timesOutAt(ends) && caller.FirstRequestAt.Before(now) {
			return caller.FirstRequestAt, true
		}
	}
	return time.Time{}, false
}

// Since returns the callers that are to be told on a way after a number of them, and the
// number now. Those before the newest few are left out.
func (r *RejectedCallers) Since(told uint64, to RelayDimension) (callers []RejectedCaller, now uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := min(r.reportCount-min(told, r.reportCount), uint64(min(len(r.reports), maxReportedCallers)))
	for _, news := range r.reports[len(r.reports)-int(missing):] {
		if news.from > to {
			callers = append(callers, news.caller)
		}
	}
	return callers, r.reportCount
}

// timesOutAt reports whether the caller waits until a moment.
func (s *RejectedCaller) timesOutAt(ends time.Time) bool {
	return s.TimeoutAt.Sub(ends).Abs() <= timeoutTolerance
}

// add remembers a caller; of one that is known already, its earliest request. It reports whether the caller was not known.
func (r *RejectedCallers) add(caller RejectedCaller, now time.Time) (isNew bool) {
	if !caller.TimeoutAt.After(now) {
		return false
	}
	if now.Sub(r.lastSweep) >= time.Second || r.count >= maxRejectedCallers {
		r.sweep(now)
	}
	same := r.callers[caller.Fingerprint]
	for i := range same {
		if same[i].timesOutAt(caller.TimeoutAt) {
			if caller.FirstRequestAt.Before(same[i].FirstRequestAt) {
				same[i].FirstRequestAt = caller.FirstRequestAt
			}
			return false
		}
	}
	if len(same) >= maxCallersPerFingerprint || r.count >= maxRejectedCallers {
		return false
	}
	if r.callers == nil {
		r.callers = make(map[Fingerprint][]RejectedCaller)
	}
	r.callers[caller.Fingerprint] = append(same, caller)
	r.count++
	return true
}

// sweep forgets the callers who have stopped waiting.
func (r *RejectedCallers) sweep(now time.Time) {
	r.lastSweep, r.count = now, 0
	for fingerprint, same := range r.callers {
		same = slices.DeleteFunc(same, func(caller RejectedCaller) bool { return now.Sub(caller.TimeoutAt) > timeoutTolerance })
		if len(same) == 0 {
			delete(r.callers, fingerprint)
			continue
		}
		r.callers[fingerprint] = same
		r.count += len(same)
	}
}

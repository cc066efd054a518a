package route

import (
	"math"
	"slices"
	"sync"
	"time"
)

// A new request competes for slots with the requests that can still meet their objective, while the retry of a rejected
// caller is late or almost late. A caller uses a new id for each request, so entry boxes recognize a retry by two
// properties that do not change: the fingerprint of the request, and the time at which the caller times out. As callers
// may retry at any box, each box records the callers that it rejects and reports them to all other boxes: to those of
// its own cell directly, and to those of other cells through one box of each cell.
//
// The remaining time alone does not identify a retry, as timeouts differ among callers.

// Fingerprint identifies the content of a request. The retry of a caller has the same fingerprint.
type Fingerprint uint64

// RejectedCaller is a caller that received no response and may retry.
type RejectedCaller struct {
	Fingerprint Fingerprint
	// FirstRequestAt is when the caller sent its first request, and TimeoutAt when it stops waiting for a response.
	FirstRequestAt, TimeoutAt time.Time
}

const (
	// timeoutTolerance is the maximum difference between the timeouts that boxes compute from two requests of one
	// caller. The difference is due to the time that requests take to arrive and to be read by a box that is short of
	// CPU time. It is at most 3 ms on machines that are not overloaded.
	timeoutTolerance = 100 * time.Millisecond
	// maxRejectedCallers is the maximum number of recorded callers. Beyond it, other callers count as new until some
	// time out. At 56 bytes each, without the map, the callers take half a megabyte.
	maxRejectedCallers = 8192
	// maxReportedCallers is the number of latest callers that a report can contain. A busy box reports one or two at a
	// time.
	maxReportedCallers = 256
	// relaysPerSecond is the maximum number of callers that a box relays from other cells. With 18 boxes in a cell,
	// each box receives at most 13 KB of relayed callers per second. Callers beyond it count as new.
	relaysPerSecond = 40
	// maxCallersPerFingerprint is the maximum number of recorded callers with the same fingerprint.
	maxCallersPerFingerprint = 8
)

// RejectedCallers records rejected callers until they time out. Its zero value is empty and ready to use. It is safe
// for concurrent use.
//
// It confuses two callers only if they send the same request with the same key and body, and their timeouts differ by
// no more than timeoutTolerance.
type RejectedCallers struct {
	mu      sync.Mutex
	callers map[Fingerprint][]RejectedCaller
	// count is the number of recorded callers; lastSweep is when those that had timed out were last removed.
	count     int
	lastSweep time.Time
	// reports are the latest callers to report to other boxes; reportCount is the number of all of them so far.
	reports     []callerReport
	reportCount uint64
	// relayed is the number of callers of other cells that were received for relaying since relayedSince.
	relayed      int
	relayedSince time.Time
}

// RelayDimension is a dimension in which boxes of different cells report to each other. Cells are numbered, and a box
// reports to the cells whose number differs from its own in one bit. The dimension is the position of this bit, counted
// from 1. A report received in one dimension is relayed only in lower ones, so that it reaches each cell once.
type RelayDimension int

const (
	// RelayWithinCell is the dimension of reports within the box's own cell, which contain the callers of all
	// dimensions.
	RelayWithinCell RelayDimension = 0
	// relayOrigin is the dimension of callers that this box has rejected itself.
	relayOrigin RelayDimension = math.MaxInt
)

// callerReport is a caller to report, and the dimension in which it was received.
type callerReport struct {
	caller RejectedCaller
	from   RelayDimension
}

// Record adds a caller that this box rejects.
func (r *RejectedCallers) Record(caller RejectedCaller, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(caller, now)
	r.queueReport(caller, relayOrigin)
}

// Merge adds callers that another box has reported in a dimension. New callers from other cells are relayed.
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

// mayRelay reports whether one more caller may be relayed.
func (r *RejectedCallers) mayRelay(now time.Time) bool {
	if now.Sub(r.relayedSince) >= time.Second {
		r.relayed, r.relayedSince = 0, now
	}
	r.relayed++
	return r.relayed <= relaysPerSecond
}

// queueReport adds a caller to the reports to other boxes.
func (r *RejectedCallers) queueReport(caller RejectedCaller, from RelayDimension) {
	r.reports = append(r.reports, callerReport{caller, from})
	r.reportCount++
	if len(r.reports) >= 2*maxReportedCallers {
		r.reports = slices.Clone(r.reports[len(r.reports)-maxReportedCallers:])
	}
}

// FirstRequestAt returns when the caller of a request sent its first request; ok is false if no rejected caller with
// the same fingerprint and timeout is recorded. The request has arrived now, and its caller times out at timeoutAt.
func (r *RejectedCallers) FirstRequestAt(fingerprint Fingerprint, timeoutAt, now time.Time) (first time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, caller := range r.callers[fingerprint] {
		if caller.timesOutAt(timeoutAt) && caller.FirstRequestAt.Before(now) {
			return caller.FirstRequestAt, true
		}
	}
	return time.Time{}, false
}

// Since returns the callers that were added after the cursor, limited to those that are reported in the given relay
// dimension, and the cursor for the next call. The first cursor is 0. Callers before the latest maxReportedCallers are
// omitted.
func (r *RejectedCallers) Since(cursor uint64, to RelayDimension) (callers []RejectedCaller, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := min(r.reportCount-min(cursor, r.reportCount), uint64(min(len(r.reports), maxReportedCallers)))
	for _, report := range r.reports[len(r.reports)-int(pending):] {
		if report.from > to {
			callers = append(callers, report.caller)
		}
	}
	return callers, r.reportCount
}

// timesOutAt reports whether the caller times out at a time, within timeoutTolerance.
func (c *RejectedCaller) timesOutAt(at time.Time) bool {
	return c.TimeoutAt.Sub(at).Abs() <= timeoutTolerance
}

// add adds a caller and reports whether it is new. For a recorded caller, it keeps the earliest first request.
func (r *RejectedCallers) add(caller RejectedCaller, now time.Time) (isNew bool) {
	if !caller.TimeoutAt.After(now) {
		return false
	}
	if now.Sub(r.lastSweep) >= time.Second || r.count >= maxRejectedCallers {
		r.sweep(now)
	}
	known := r.callers[caller.Fingerprint]
	for i := range known {
		if known[i].timesOutAt(caller.TimeoutAt) {
			if caller.FirstRequestAt.Before(known[i].FirstRequestAt) {
				known[i].FirstRequestAt = caller.FirstRequestAt
			}
			return false
		}
	}
	if len(known) >= maxCallersPerFingerprint || r.count >= maxRejectedCallers {
		return false
	}
	if r.callers == nil {
		r.callers = make(map[Fingerprint][]RejectedCaller)
	}
	r.callers[caller.Fingerprint] = append(known, caller)
	r.count++
	return true
}

// sweep removes the callers that have timed out.
func (r *RejectedCallers) sweep(now time.Time) {
	r.lastSweep, r.count = now, 0
	for fingerprint, known := range r.callers {
		known = slices.DeleteFunc(known, func(caller RejectedCaller) bool { return now.Sub(caller.TimeoutAt) > timeoutTolerance })
		if len(known) == 0 {
			delete(r.callers, fingerprint)
			continue
		}
		r.callers[fingerprint] = known
		r.count += len(known)
	}
}

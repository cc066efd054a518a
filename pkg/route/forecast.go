package route

import "time"

const (
	// retryLeast is the shortest time after which a caller is told to return.
	retryLeast = 100 * time.Millisecond
	// retryLongestPart is the part of its remaining time for which a caller waits at
	// most: one in so many.
	retryLongestPart = 3
	// spareShare is the part of the places that is there for requests which come back,
	// beside those that come first, once a service has recovered.
	spareShare = 0.3
)

// hasChance reports whether a request is likely to get a place while an answer is still
// of use: in time for its objective or, once that can't be met, before its caller leaves.
func (d *Dispatcher) hasChance(ask *Ask, now time.Time) bool {
	if !ask.isLate(now) {
		inTime := d.anyEligible(now) && !now.Add(d.expected(ask, now)).After(ask.startBy)
		if inTime || !ask.Returning {
			return inTime
		}
	}
	wait, ok := d.expectedLate(ask, now)
	return ok && !now.Add(wait).After(d.latest(ask))
}

// latest is when a request that can't meet its objective must have started to be of use.
func (d *Dispatcher) latest(ask *Ask) time.Time {
	latest := ask.Deadline.Add(-time.Duration(lateReserve * float64(d.usual)))
	if ask.Patience > 0 {
		if leaves := ask.Arrived.Add(ask.Patience - leaveReserve); leaves.Before(latest) {
			return leaves
		}
	}
	return latest
}

// expected returns how long a request that is in time waits for its place. Places go to
// the boxes by how many such requests wait there, and a box keeps those that it gives back.
func (d *Dispatcher) expected(ask *Ask, now time.Time) time.Duration {
	ahead, own := 0, 1
	for _, w := range d.queue {
		if w.ask == ask || w.ask.isLate(now) {
			continue
		}
		own++
		if isAhead(w.ask, ask, now) {
			ahead++
		}
	}
	share := max(1/float64(d.boxes), float64(own)/float64(own+d.peersDemand(now).InTime))
	perSecond := max(1, float64(d.places(now))) / d.usual.Seconds() * share
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// expectedLate returns how long a request that is late waits for its place, behind those
// that wait elsewhere too. ok is false if there is no place for late ones.
func (d *Dispatcher) expectedLate(ask *Ask, now time.Time) (wait time.Duration, ok bool) {
	places := d.latePlaces(now)
	if places <= 0 {
		return 0, false
	}
	ahead := float64(d.ahead(ask, now) + d.peersDemand(now).Late + 1)
	return time.Duration(ahead / places * float64(d.usual)), true
}

// places is how many places there are. Where no server takes requests, those count that
// are being swapped: they are back before who waits has left.
func (d *Dispatcher) places(now time.Time) int {
	open, swapping := 0, 0
	for _, b := range d.order {
		switch {
		case d.isEligible(b, now):
			open += d.limit(b)
		case d.isSwapping(b, now):
			swapping += d.limit(b)
		}
	}
	if open == 0 {
		return swapping
	}
	return open
}

// latePlaces is how many places late requests may hold, at all entry boxes: those that
// first requests do not need at the rate at which they come (Little's law). Taken by late
// ones, they would be missing when the first ones come.
func (d *Dispatcher) latePlaces(now time.Time) float64 {
	arrivals := d.arrivals.count(now) + d.peersDemand(now).Arrivals
	return float64(d.places(now)) - float64(arrivals)*d.usual.Seconds()/rateSpan.Seconds()
}

// hasLatePlace reports whether one more late request may get a place.
func (d *Dispatcher) hasLatePlace(now time.Time) bool {
	return float64(d.lateRunning+d.peersDemand(now).LateRunning+1) <= d.latePlaces(now)
}

// ahead is how many requests wait here that get a place before another one.
func (d *Dispatcher) ahead(ask *Ask, now time.Time) int {
	ahead := 0
	for _, w := range d.queue {
		if w.ask != ask && isAhead(w.ask, ask, now) {
			ahead++
		}
	}
	return ahead
}

// interval is how long after each other places become free for this box.
func (d *Dispatcher) interval() time.Duration {
	places := 0
	for _, b := range d.order {
		places += d.limit(b)
	}
	share := max(1, float64(places)/float64(d.boxes))
	return time.Duration(float64(d.usual) / share)
}

package route

import "time"

const (
	// retryLeast is the shortest time after which a caller is told to return.
	retryLeast = 100 * time.Millisecond
	// retryLongestPart is the part of its remaining time for which a caller waits at
	// most: one in so many.
	retryLongestPart = 3
	// holdPart is the part of its time for which a request that was refused before
	// waits for a place or a server: a second refusal is final, and with less than
	// half of its time held nothing is lost by waiting.
	holdPart = 0.48
	// spareShare is the part of the places that is there for requests which come back,
	// beside those that come first, once a service has recovered.
	spareShare = 0.3
)

// hasChance reports whether a request is likely to get a place in time.
func (d *Dispatcher) hasChance(ask *Ask, now time.Time) bool {
	latest := d.latest(ask)
	if ask.Returning {
		return now.Before(latest)
	}
	return d.anyEligible(now) && !now.Add(d.expected(ask, now)).After(latest)
}

// latest is when a request must have started to be worth waiting for: in time for its
// objective, or, if it was refused before, before it has waited for too long.
func (d *Dispatcher) latest(ask *Ask) time.Time {
	latest := ask.startBy
	if ask.Returning {
		held := time.Duration(holdPart * float64(ask.Deadline.Sub(ask.Arrived)))
		if ask.Patience > 0 {
			held = min(held, ask.Patience-leaveReserve)
		}
		if last := ask.Arrived.Add(held); last.After(latest) {
			latest = last
		}
	}
	if end := ask.Deadline.Add(-time.Duration(lateReserve * float64(d.usual))); end.Before(latest) {
		return end
	}
	return latest
}

// expected returns how long a request waits for its place.
func (d *Dispatcher) expected(ask *Ask, now time.Time) time.Duration {
	ahead := 0
	for _, w := range d.queue {
		if w.ask != ask && isAhead(w.ask, ask, now) {
			ahead++
		}
	}
	return time.Duration(ahead+1) * d.interval()
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

package route

import (
	"errors"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// A server that has no room may turn a request away and ask this box for rest. By what it has in flight it then
// looks the emptiest of all, and would get more than any other server, each of which uses up an attempt. Rest is asked of one box, so it is not told to others.

// ErrLeaving reports a place on a server that has said meanwhile that it will end.
var ErrLeaving = errors.New("the server has said that it leaves")

// ErrBackingOff reports a place on a server that has asked for rest meanwhile.
var ErrBackingOff = errors.New("the server has asked for rest")

// backoff is until when one start of a server wants nothing from this box.
type backoff struct {
	incarnation member.Incarnation
	until       time.Time
}

// backoffs are those that were asked for, kept beside the list: a server whose entry goes and comes back still
// wants the time that it asked for.
type backoffs map[fleet.ServerID]backoff

// add notes a rest. Of two times the later one holds.
func (r backoffs) add(id fleet.ServerID, asked backoff, now time.Time) {
	for other, known := range r {
		if !now.Before(known.until) {
			delete(r, other)
		}
	}
	known, ok := r[id]
	if ok && (known.incarnation > asked.incarnation || known.incarnation == asked.incarnation && known.until.After(asked.until)) {
		return
	}
	r[id] = asked
}

// until returns until when a start of a server rests; a later start than the one that asked does not.
func (r backoffs) until(id fleet.ServerID, incarnation member.Incarnation) time.Time {
	if known, ok := r[id]; ok && incarnation <= known.incarnation {
		return known.until
	}
	return time.Time{}
}

// newBackend returns a server of which nothing is known but which start of it this is, and the rest that this
// start has asked for.
func (d *Dispatcher) newBackend(id fleet.ServerID, incarnation member.Incarnation, now time.Time) *backend {
	b := newBackend(incarnation)
	b.backoffUntil = d.backoffs.until(id, incarnation)
	// An answer does not say of which start it is, so the rest may be this start's, of which was heard later: it
	// gets one request first.
	b.recovered = !now.Before(d.backoffs[id].until)
	return b
}

// BackOff notes that the server wants nothing more from this box until a time.
func (r *Reservation) BackOff(until, now time.Time) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backoffs.add(r.Server.ID, backoff{r.Incarnation, until}, now)
	b := d.backends[r.Server.ID]
	if b == nil {
		return
	}
	b.backoffUntil = d.backoffs.until(r.Server.ID, b.incarnation)
	b.recovered = !b.isBackingOff(now)
	d.updateIneligibleSince(b, now)
	d.forecast, d.capacity = forecast{}, capacitySnapshot{}
}

// IsLeaving reports whether the server has announced that it will end.
func (r *Reservation) IsLeaving() bool {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving[r.Server.ID]
}

// Check must be called before the request is sent. It returns an error if the server has announced its end, asked for rest or
// advertised a rate limit since the place was reserved. Opening a connection can take several hundred milliseconds. If it returns
// nil, the request counts against the rate limit.
func (r *Reservation) Check(now time.Time) error {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving[r.Server.ID] {
		return ErrLeaving
	}
	if now.Before(d.backoffs.until(r.Server.ID, r.Incarnation)) {
		return ErrBackingOff
	}
	return r.checkLimit(now)
}

// isBackingOff reports whether the server has asked this box for rest that is not over.
func (b *backend) isBackingOff(now time.Time) bool { return now.Before(b.backoffUntil) }

// isProbing reports whether a request is on its way to a server that has rested and has not answered one since.
// Others wait for what becomes of it, unless the server stands still: all boxes come back to it at one moment, and
// each that it turns away has used up an attempt.
func (b *backend) isProbing(now time.Time) bool {
	return !b.recovered && len(b.awaiting) > 0 && b.maxFirstByteWait(now) < stallTimeout
}

// updateRecovered notes that the server has begun or ended an answer to a request; one that was sent before the rest
// says nothing of what comes after it.
func (b *backend) updateRecovered(r *Reservation) {
	if !r.reservedAt.Before(b.backoffUntil) {
		b.recovered = true
	}
}

// backoffServers are the servers of the list that have asked this box for rest that is not over.
type backoffServers struct {
	servers, slots int
	// earliest is when the first of them may be asked again.
	earliest time.Time
}

// backingOff returns the servers that rest. It looks at those that have asked for rest alone: refusals come
// by the thousand, and a fleet has as many servers.
func (d *Dispatcher) backingOff(now time.Time) (resting backoffServers) {
	for id := range d.backoffs {
		b := d.backends[id]
		if b == nil || !b.isBackingOff(now) {
			continue
		}
		resting.servers++
		resting.slots += d.slots(b)
		if resting.earliest.IsZero() || b.backoffUntil.Before(resting.earliest) {
			resting.earliest = b.backoffUntil
		}
	}
	return resting
}

// BackoffError returns why a request that was turned away should come back later if every server that could run it
// rests, nil otherwise.
func (d *Dispatcher) BackoffError(ask *SlotRequest, now time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backingOff(now).servers == 0 || d.anyEligible(now) {
		return nil
	}
	ask.startBy = d.startBy(ask, now)
	return d.busyError(ask, now)
}

// retryAfterBackoff returns when a caller should come back where every server rests: once the first has rested, those who
// were told so before first, one after the other.
func (d *Dispatcher) retryAfterBackoff(resting backoffServers, now time.Time) (wait time.Duration, ok bool) {
	if resting.servers == 0 || d.anyEligible(now) {
		return 0, false
	}
	before := time.Duration(d.scheduledRetries.count(now)*d.boxes) * d.typicalHoldTime / time.Duration(resting.slots)
	return resting.earliest.Sub(now) + before, true
}

package route

import (
	"errors"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// A server without capacity may reject a request and return a backoff time (Retry-After) to this box. As few requests
// are in flight there, it would then appear to be the least loaded server and receive more requests than any other, and
// each rejected request uses up an attempt. A server requests a backoff from a single box, so it is not reported to
// other boxes.

// ErrLeaving reports that the server has announced that it is leaving, or left the list, since the slot was reserved.
var ErrLeaving = errors.New("server is leaving")

// ErrEvacuated reports that the operators have evacuated the failure domain of the server since the slot was reserved.
var ErrEvacuated = errors.New("failure domain of the server is evacuated")

// ErrBackingOff reports that the server has requested a backoff since the slot was reserved.
var ErrBackingOff = errors.New("server has requested a backoff")

// backoff is the time until which one incarnation of a server accepts no requests from this box.
type backoff struct {
	incarnation member.Incarnation
	until       time.Time
	// received is when the response that requested it arrived.
	received time.Time
	// isConnected reports whether the connection of that response is still open; nil if that is not known.
	isConnected func() bool
}

// appliesTo reports whether the backoff was requested by the given incarnation of the server or by a later one. The
// requesting incarnation may be listed only after its response. If the times allow either incarnation, the open
// connection of the response decides, because it is closed when the process that sent the response ends.
func (b *backoff) appliesTo(incarnation member.Incarnation) bool {
	if incarnation <= b.incarnation || fleet.WasRunning(incarnation, b.received) {
		return true
	}
	return b.isConnected != nil && !fleet.StartedAfter(incarnation, b.received) && b.isConnected()
}

// backoffs contains the requested backoffs. It is independent of the server list, as a backoff remains valid when the
// server is unlisted and listed again.
type backoffs map[fleet.ServerID]backoff

// add records a backoff and removes those that have ended. Of two backoffs of one incarnation, the later end applies.
func (r backoffs) add(id fleet.ServerID, requested backoff, now time.Time) {
	for other, known := range r {
		if !now.Before(known.until) {
			delete(r, other)
		}
	}
	known, ok := r[id]
	if ok && (known.incarnation > requested.incarnation || known.incarnation == requested.incarnation && known.until.After(requested.until)) {
		return
	}
	r[id] = requested
}

// until returns the end of the backoff of a server's incarnation; zero if there is none. A backoff does not apply to
// later incarnations than the one that requested it. The incarnation is recorded as the one that requested it, because
// the connection may be closed later.
func (r backoffs) until(id fleet.ServerID, incarnation member.Incarnation) time.Time {
	known, ok := r[id]
	if !ok || !known.appliesTo(incarnation) {
		return time.Time{}
	}
	if incarnation > known.incarnation {
		known.incarnation = incarnation
		r[id] = known
	}
	return known.until
}

// newBackend returns a backend for an incarnation of a server, with the backoff that this incarnation has requested.
func (d *Dispatcher) newBackend(id fleet.ServerID, incarnation member.Incarnation, now time.Time) *backend {
	b := newBackend(incarnation)
	b.backoffUntil = d.backoffs.until(id, incarnation)
	// A response does not identify the incarnation that sent it. The backoff may therefore be that of this incarnation,
	// which became known only later, so the server is probed with one request first.
	b.recovered = !now.Before(d.backoffs[id].until)
	return b
}

// BackOff records that the server has requested a backoff from this box until a time. isConnected reports whether the
// connection of the response is still open; it is called with the dispatcher locked, must not block and may be nil.
func (r *Reservation) BackOff(until, now time.Time, isConnected func() bool) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backoffs.add(r.Server.ID, backoff{r.Incarnation, until, now, isConnected}, now)
	b := d.backends[r.Server.ID]
	if b == nil {
		return
	}
	b.backoffUntil = d.backoffs.until(r.Server.ID, b.incarnation)
	b.recovered = !b.isBackingOff(now)
	d.updateIneligibleSince(b, now)
	d.forecast, d.capacity = forecast{}, capacitySnapshot{}
}

// IsLeaving reports whether the server has announced that it is leaving.
func (r *Reservation) IsLeaving() bool {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving[r.Server.ID]
}

// Check must be called immediately before the request is sent, as opening a connection can take several hundred
// milliseconds. It returns ErrLeaving, ErrEvacuated, ErrBackingOff or ErrRateLimited if the server is leaving or not
// listed, is in an evacuated failure domain, has requested a backoff, or has no token left under a rate limit that was
// set or lowered since the slot was reserved.
// If it returns nil, the request counts against the rate limit.
func (r *Reservation) Check(now time.Time) error {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := d.backends[r.Server.ID]
	if d.leaving[r.Server.ID] || listed == nil {
		return ErrLeaving
	}
	if listed.server.Evacuated {
		return ErrEvacuated
	}
	if now.Before(d.backoffs.until(r.Server.ID, r.Incarnation)) {
		return ErrBackingOff
	}
	return r.checkLimit(now)
}

// isBackingOff reports whether the backoff that the server has requested from this box has not ended.
func (b *backend) isBackingOff(now time.Time) bool { return now.Before(b.backoffUntil) }

// isProbing reports whether a request awaits its first byte from a server that has not responded since its backoff.
// Other requests wait for the result of this probe, as all boxes resume sending when the backoff ends and each request
// that the server rejects uses up an attempt. They no longer wait once the server is stalled.
func (b *backend) isProbing(now time.Time) bool {
	return !b.recovered && len(b.awaiting) > 0 && b.maxFirstByteWait(now) < stallTimeout
}

// updateRecovered marks the server as recovered when it responds to a request that was sent after the backoff. A
// response to an earlier request is no evidence that the server accepts requests again.
func (b *backend) updateRecovered(r *Reservation) {
	if !r.reservedAt.Before(b.backoffUntil) {
		b.recovered = true
	}
}

// backoffServers summarizes the listed servers that are backing off.
type backoffServers struct {
	servers, slots int
	// earliest is when the first backoff ends.
	earliest time.Time
}

// backingOff returns a summary of the servers in the allowed regions of a request that are backing off. It iterates only
// over servers with a backoff, as there can be thousands of rejections and thousands of servers.
func (d *Dispatcher) backingOff(req *SlotRequest, now time.Time) (total backoffServers) {
	for id := range d.backoffs {
		b := d.backends[id]
		if b == nil || !req.Residency.Allows(b.region) || !b.isBackingOff(now) {
			continue
		}
		total.servers++
		total.slots += d.slots(b)
		if total.earliest.IsZero() || b.backoffUntil.Before(total.earliest) {
			total.earliest = b.backoffUntil
		}
	}
	return total
}

// BackoffError returns a *BusyError with the retry time of a rejected request if servers are backing off and no server
// is eligible. Otherwise, it returns nil.
func (d *Dispatcher) BackoffError(req *SlotRequest, now time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backingOff(req, now).servers == 0 || d.anyEligible(req, now) {
		return nil
	}
	req.startBy = d.startBy(req, now)
	return d.busyError(req, now)
}

// retryAfterBackoff returns how long a caller should wait before it retries if servers are backing off and no server is
// eligible: until the first backoff ends, plus the time for the retries that were scheduled before. Otherwise, ok is
// false.
func (d *Dispatcher) retryAfterBackoff(req *SlotRequest, backingOff backoffServers, now time.Time) (wait time.Duration, ok bool) {
	if backingOff.servers == 0 || d.anyEligible(req, now) {
		return 0, false
	}
	earlierRetries := time.Duration(d.scheduledRetries.count(now)*d.boxes) * d.typicalHoldTime / time.Duration(backingOff.slots)
	return backingOff.earliest.Sub(now) + earlierRetries, true
}

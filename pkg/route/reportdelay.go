package route

import (
	"math"
	"time"
)

// Boxes report their load and demand at most every 50 ms, and less often when they are slow or in another region. What the
// other boxes have done since their last reports is estimated from the intervals of the reports, the arrivals that they
// contain and the typical time that a request holds its slot. Reports at
// an interval of up to allocationRound count as they are.

const (
	// reportTransferTime is the time until a report has been transferred and merged.
	reportTransferTime = 10 * time.Millisecond
	// intervalSmoothing is the weight of the newest sample in the moving average of the interval of a box's reports. The
	// average follows a box that becomes slow within four reports.
	intervalSmoothing = 0.25
	// changesPerRequest is how many changes of its load a box reports for each request, at least: a slot taken and
	// released.
	changesPerRequest = 2
	// roundTolerance is the part of the mean report interval that a round must cover. Rounds are doubled until they do, as
	// all boxes must use the same rounds although their means differ. If a round covers less, two boxes take the same
	// slot; if it covers more, slots stay idle.
	roundTolerance = 0.75
	// minRetained is the smallest part of the reported requests that is assumed to be still in flight: a few requests may
	// hold their slots for much longer than is typical.
	minRetained = 0.5
)

// reportDelays is the estimate of what the other boxes have done since their last reports.
type reportDelays struct {
	at time.Time
	// changes is the dispatcher's count of changes at that time.
	changes uint64
	// arrivals is the number of new requests that arrive at the other boxes until their next reports.
	arrivals float64
	// round is the length of the allocation rounds.
	round time.Duration
	// retained is the part of the reported requests that is still in flight.
	retained float64
}

// unreportedTime returns the time from one report of the box until the next has arrived, without the time in which the box had
// nothing to report; at least allocationRound.
func (p *peerDemand) unreportedTime() time.Duration {
	if p.Arrivals == 0 {
		return allocationRound
	}
	quiet := rateWindow / time.Duration(changesPerRequest*p.Arrivals)
	return max(allocationRound, p.interval+reportTransferTime-quiet)
}

// reportDelays returns the current estimate.
func (d *Dispatcher) reportDelays(now time.Time) *reportDelays {
	r := &d.delays
	if r.round > 0 && r.changes == d.changes && r.at.Equal(now) {
		return r
	}
	d.peerDemands.expire(now)
	*r = reportDelays{at: now, changes: d.changes, round: allocationRound, retained: 1}
	// The sums are integers, so that they do not depend on the order of the boxes.
	requests, unreported, age := 0, time.Duration(0), time.Duration(0)
	for _, peer := range d.peerDemands.boxes {
		period := peer.unreportedTime()
		requests += peer.Arrivals
		unreported += time.Duration(peer.Arrivals) * period
		if period > allocationRound {
			age += time.Duration(peer.Arrivals) * now.Sub(peer.at)
		}
	}
	if requests == 0 {
		return r
	}
	r.arrivals = unreported.Seconds() / rateWindow.Seconds()
	for r.round.Seconds() < roundTolerance*unreported.Seconds()/float64(requests) {
		r.round *= 2
	}
	if hold := d.typicalHoldTime.Seconds(); hold > 0 {
		r.retained = max(minRetained, math.Exp(-age.Seconds()/float64(requests)/hold))
	}
	return r
}

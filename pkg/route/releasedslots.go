package route

import "time"

// A slot that this box has released is in use according to its last report, so no other box takes it until the next one.
// A request that takes it cannot collide with one of another box, however old the reports are, and keeps the last report
// true. The other free slots are visible to all boxes, and choices among them are the less reliable the older the reports
// are.

// releasedSlotMargin is how much the cost of a server with a released slot, apart from its slots in use, may exceed that of
// other servers. It allows 200 ms more of outstanding prefill, half of a usual objective, and is less than the cost of a server in another region, of a cold one or of one that is about to swap its
// weights, and that of a server that fails one request in ten.
const releasedSlotMargin = 0.25

// releasedSlots returns the number of a server's slots that this box has released after complete responses since its last
// load report; 0 if no other box reports, or if the server has a rate limit. Servers that fail requests or are silent also
// release slots, and must not attract requests by that.
func (d *Dispatcher) releasedSlots(b *backend) int {
	if len(d.peerDemands.boxes) == 0 || d.buckets[b.server.ID] != nil {
		return 0
	}
	return max(0, min(b.doneSinceReport, b.reportedRequests-b.ownLoad.Requests))
}

// minFreeShare is the share of free slots from which released slots have no precedence: a server with two and a half times
// the mean number of requests then has no queue, and a server without other requests responds fastest. With reports at an
// interval of 500 ms, the largest number was up to 2.3 times the mean.
const minFreeShare = 0.6

// pickReleased returns the cheapest candidate with a released slot, nil if there is none whose cost apart from its slots in
// use is within releasedSlotMargin of the lowest one, or if slots are plenty.
func (d *Dispatcher) pickReleased(now time.Time) *backend {
	if c := d.currentCapacity(now); float64(c.free) >= minFreeShare*float64(c.slots) {
		return nil
	}
	var released *candidate
	for i := range d.candidates {
		if c := &d.candidates[i]; (released == nil || c.cost < released.cost) && d.releasedSlots(c.backend) > 0 {
			released = c
		}
	}
	if released == nil {
		return nil
	}
	for i := range d.candidates {
		if d.candidates[i].penalty < released.penalty-releasedSlotMargin {
			return nil
		}
	}
	return released.backend
}

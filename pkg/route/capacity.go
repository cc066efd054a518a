package route

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// sampleThreshold is the largest number of servers that are all considered for each decision.
	sampleThreshold = 64
	// sampleSize is the number of servers considered if there are more, half of them in the own
	// region: the best of twelve random servers is among the best eighth of all nine times out of
	// ten.
	sampleSize = 24
	// capacityMaxAge is the maximum age of the capacity snapshot if there are more than
	// sampleThreshold servers. Reservations of this box are counted in at once.
	capacityMaxAge = 50 * time.Millisecond
)

// capacitySnapshot is the total capacity of all servers at one time.
type capacitySnapshot struct {
	at time.Time
	// changes is the dispatcher's count of changes at that time.
	changes uint64
	// slots is the number of slots of the eligible servers, free how many of them are free.
	slots, free int
	// maxRate is the total request rate, per second, that these servers can run.
	maxRate float64
	// slotsByRegion divides slots by the region of the servers.
	slotsByRegion map[member.Region]int
	// local and remote are the eligible servers with a free slot that advertise no rate limit, by
	// region; limited are those that advertise one.
	local, remote, limited []*backend
}

// currentCapacity returns the capacity snapshot. It is exact up to sampleThreshold servers, and at
// most capacityMaxAge old with more.
func (d *Dispatcher) currentCapacity(now time.Time) *capacitySnapshot {
	c := &d.capacity
	if age := now.Sub(c.at); c.changes == d.changes && age == 0 || len(d.backendList) > sampleThreshold && age >= 0 && age < capacityMaxAge {
		return c
	}
	c.at, c.changes, c.slots, c.free, c.maxRate = now, d.changes, 0, 0, 0
	c.local, c.remote, c.limited = c.local[:0], c.remote[:0], c.limited[:0]
	if c.slotsByRegion == nil {
		c.slotsByRegion = make(map[member.Region]int)
	}
	clear(c.slotsByRegion)
	for _, b := range d.backendList {
		if !d.isEligible(b, now) {
			continue
		}
		slots := d.slots(b)
		c.slots += slots
		c.slotsByRegion[b.region] += slots
		c.maxRate += d.maxRate(b)
		free := slots - d.load(b, now).Requests
		bucket := d.buckets[b.server.ID]
		if bucket != nil {
			free = min(free, bucket.available(now))
		}
		if free <= 0 {
			continue
		}
		c.free += free
		switch {
		case d.isRateLimited(b):
			c.limited = append(c.limited, b)
		case b.remote:
			c.remote = append(c.remote, b)
		default:
			c.local = append(c.local, b)
		}
	}
	return c
}

// allowedSlots returns the number of slots of the eligible servers in the allowed regions of a
// request.
func (c *capacitySnapshot) allowedSlots(req *SlotRequest) int {
	if !req.Residency.Restricted {
		return c.slots
	}
	allowed := 0
	for region, slots := range c.slotsByRegion {
		if req.Residency.Allows(region) {
			allowed += slots
		}
	}
	return allowed
}

// allowedShare returns the part of all slots that allowedSlots returns.
func (c *capacitySnapshot) allowedShare(req *SlotRequest) float64 {
	if c.slots == 0 {
		return 1
	}
	return float64(c.allowedSlots(req)) / float64(c.slots)
}

// collectCandidates collects the servers that a request may be sent to, or a sample if there are
// many.
func (d *Dispatcher) collectCandidates(req *SlotRequest, now time.Time) {
	c := d.currentCapacity(now)
	d.candidates = d.candidates[:0]
	if req.Residency.Restricted {
		// A sample might contain no server of the allowed regions.
		for _, servers := range [][]*backend{c.limited, c.local, c.remote} {
			d.addCandidates(req, servers, len(servers), now)
		}
		return
	}
	d.addCandidates(req, c.limited, min(len(c.limited), limitedSample), now)
	if len(c.local)+len(c.remote) <= sampleThreshold {
		d.addCandidates(req, c.local, len(c.local), now)
		d.addCandidates(req, c.remote, len(c.remote), now)
		return
	}
	local := min(len(c.local), sampleSize/2)
	d.addCandidates(req, c.local, local, now)
	d.addCandidates(req, c.remote, min(len(c.remote), sampleSize-local), now)
}

// addCandidates adds count of the given servers to the candidates, chosen at random if there are
// more.
func (d *Dispatcher) addCandidates(req *SlotRequest, servers []*backend, count int, now time.Time) {
	for i := range count {
		if count < len(servers) {
			i = int(d.random() * float64(len(servers)))
		}
		if c, ok := d.candidate(servers[i], req, now); ok {
			d.candidates = append(d.candidates, c)
		}
	}
}

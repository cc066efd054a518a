package route

import "time"

const (
	// sampleThreshold is up to how many servers every one is looked at for each decision.
	sampleThreshold = 64
	// sampleSize is how many are looked at where there are more, half of them in the
	// own region: the best of twelve that are drawn is among the best eighth of all nine
	// times out of ten.
	sampleSize = 24
	// capacityMaxAge is for how long the census of many servers serves; what this box does
	// meanwhile is counted in.
	capacityMaxAge = 50 * time.Millisecond
)

// capacitySnapshot is what is known of all servers together.
type capacitySnapshot struct {
	at time.Time
	// changes is the dispatcher's count of changes at that time.
	changes uint64
	// slots is how many places the servers have that take requests, free how many of
	// them are free.
	slots, free int
	// maxRate is the total request rate that these servers can run.
	maxRate float64
	// local and far are the servers without a rate limit that take requests and have room, by region; limited are those with one.
	local, remote, limited []*backend
}

// currentCapacity returns the census. With few servers it is exact, with many a little old.
func (d *Dispatcher) currentCapacity(now time.Time) *capacitySnapshot {
	c := &d.capacity
	if age := now.Sub(c.at); c.changes == d.changes && age == 0 || len(d.backendList) > sampleThreshold && age >= 0 && age < capacityMaxAge {
		return c
	}
	c.at, c.changes, c.slots, c.free, c.maxRate = now, d.changes, 0, 0, 0
	c.local, c.remote, c.limited = c.local[:0], c.remote[:0], c.limited[:0]
	for _, b := range d.backendList {
		if !d.isEligible(b, now) {
			continue
		}
		limit := d.slots(b)
		c.slots += limit
		c.maxRate += d.maxRate(b)
		free := limit - d.load(b, now).Requests
		bucket := d.buckets[b.server.ID]
		if bucket != nil {
			free = min(free, bucket.available(now))
		}
		if free <= 0 {
			continue
		}
		c.free += free
		switch {
		case bucket != nil:
			c.limited = append(c.limited, b)
		case b.remote:
			c.remote = append(c.remote, b)
		default:
			c.local = append(c.local, b)
		}
	}
	return c
}

// collectCandidates collects the servers that a request may be sent to, of many a sample.
func (d *Dispatcher) collectCandidates(ask *SlotRequest, now time.Time) {
	c := d.currentCapacity(now)
	d.candidates = d.candidates[:0]
	d.addCandidates(ask, c.limited, min(len(c.limited), limitedSample), now)
	if len(c.local)+len(c.remote) <= sampleThreshold {
		d.addCandidates(ask, c.local, len(c.local), now)
		d.addCandidates(ask, c.remote, len(c.remote), now)
		return
	}
	near := min(len(c.local), sampleSize/2)
	d.addCandidates(ask, c.local, near, now)
	d.addCandidates(ask, c.remote, min(len(c.remote), sampleSize-near), now)
}

// addCandidates adds so many of some servers to the candidates: all of them, or some drawn.
func (d *Dispatcher) addCandidates(ask *SlotRequest, servers []*backend, count int, now time.Time) {
	for i := range count {
		if count < len(servers) {
			i = int(d.random() * float64(len(servers)))
		}
		if c, ok := d.candidate(servers[i], ask, now); ok {
			d.candidates = append(d.candidates, c)
		}
	}
}

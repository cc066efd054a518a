package route

import "time"

const (
	// exactServers is up to how many servers every one is looked at for each decision.
	exactServers = 64
	// sampleServers is how many are looked at where there are more, half of them in the
	// own region: the best of twelve that are drawn is among the best eighth of all nine
	// times out of ten.
	sampleServers = 24
	// censusAge is for how long the census of many servers serves; what this box does
	// meanwhile is counted in.
	censusAge = 50 * time.Millisecond
)

// census is what is known of all servers together.
type census struct {
	at time.Time
	// changes is the dispatcher's count of changes at that time.
	changes uint64
	// places is how many places the servers have that take requests, free how many of
	// them are free.
	places, free int
	// perSecond is the total request rate that these servers can run.
	perSecond float64
	// near and far are the servers without a rate limit that take requests and have room, by region; limited are those with one.
	near, far, limited []*backend
}

// survey returns the census. With few servers it is exact, with many a little old.
func (d *Dispatcher) survey(now time.Time) *census {
	c := &d.census
	if age := now.Sub(c.at); c.changes == d.changes && age == 0 || len(d.order) > exactServers && age >= 0 && age < censusAge {
		return c
	}
	c.at, c.changes, c.places, c.free, c.perSecond = now, d.changes, 0, 0, 0
	c.near, c.far, c.limited = c.near[:0], c.far[:0], c.limited[:0]
	for _, b := range d.order {
		if !d.isEligible(b, now) {
			continue
		}
		limit := d.limit(b)
		c.places += limit
		c.perSecond += d.perSecond(b)
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
		case b.far:
			c.far = append(c.far, b)
		default:
			c.near = append(c.near, b)
		}
	}
	return c
}

// gather collects the servers that a request may be sent to, of many a sample.
func (d *Dispatcher) gather(ask *Ask, now time.Time) {
	c := d.survey(now)
	d.candidates = d.candidates[:0]
	d.consider(ask, c.limited, min(len(c.limited), limitedSample), now)
	if len(c.near)+len(c.far) <= exactServers {
		d.consider(ask, c.near, len(c.near), now)
		d.consider(ask, c.far, len(c.far), now)
		return
	}
	near := min(len(c.near), sampleServers/2)
	d.consider(ask, c.near, near, now)
	d.consider(ask, c.far, min(len(c.far), sampleServers-near), now)
}

// consider adds so many of some servers to the candidates: all of them, or some drawn.
func (d *Dispatcher) consider(ask *Ask, servers []*backend, count int, now time.Time) {
	for i := range count {
		if count < len(servers) {
			i = int(d.random() * float64(len(servers)))
		}
		if c, ok := d.candidate(servers[i], ask, now); ok {
			d.candidates = append(d.candidates, c)
		}
	}
}

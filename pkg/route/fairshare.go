package route

import (
	"math"
	"time"
)

const (
	// fairShareTime is the time constant of the counts by organisation. A box of a large fleet receives about one request in
	// ten seconds of each organisation and priority, so over a shorter time equal organisations exceed their shares by
	// chance.
	fairShareTime = 20 * time.Second
	// fairShareFactor is the fair share of an organisation relative to the mean of all. Smaller shares are exceeded by
	// chance, by organisations with few requests.
	fairShareFactor = 2
	// maxFairShares limits the organisations that are counted in a priority class. Those beyond it have no share.
	maxFairShares = 1024
	// minFairShareCount is the count below which an organisation is no longer counted: its last request is at least 92 s old.
	minFairShareCount = 0.01
	// fairShareSweepInterval is the interval at which organisations without recent requests are removed.
	fairShareSweepInterval = time.Second
)

// fairShares divides the requests of a priority class among organisations by weighted fair queueing with equal weights, as
// far as this box sees them. A box has too few queued requests at a time to order these fairly; therefore a request
// is marked on arrival if its organisation has had more than its share. Marked requests are served after the others of the
// class at all boxes, and use what these leave.
type fairShares struct {
	organisations map[string]*fairShare
	// total is the sum of the counts of all organisations.
	total   decayingCount
	sweptAt time.Time
}

// fairShare counts the requests of an organisation, and those of them that were within its share.
type fairShare struct{ arrived, within decayingCount }

// decayingCount is a count of events that decays exponentially with fairShareTime.
type decayingCount struct {
	count float64
	at    time.Time
}

// add adds n events and returns the count.
func (c *decayingCount) add(n float64, now time.Time) float64 {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		c.count *= math.Exp(-elapsed.Seconds() / fairShareTime.Seconds())
		c.at = now
	}
	c.count += n
	return c.count
}

// exceeds counts a request of an organisation and reports whether it exceeds the organisation's fair share.
func (f *fairShares) exceeds(organisation string, now time.Time) bool {
	if now.Sub(f.sweptAt) >= fairShareSweepInterval {
		f.sweep(now)
	}
	share := f.organisations[organisation]
	if share == nil {
		if len(f.organisations) >= maxFairShares {
			return true
		}
		if f.organisations == nil {
			f.organisations = make(map[string]*fairShare)
		}
		share = &fairShare{}
		f.organisations[organisation] = share
	}
	share.arrived.add(1, now)
	fair := max(1, fairShareFactor*f.total.add(1, now)/float64(len(f.organisations)))
	if share.within.add(0, now)+1 > fair {
		return true
	}
	share.within.add(1, now)
	return false
}

// sweep removes the organisations without recent requests.
func (f *fairShares) sweep(now time.Time) {
	f.sweptAt = now
	for organisation, share := range f.organisations {
		if share.arrived.add(0, now) < minFairShareCount {
			delete(f.organisations, organisation)
		}
	}
}

// checkFairShare marks a new request that exceeds the fair share of its organisation.
func (d *Dispatcher) checkFairShare(req *SlotRequest, now time.Time) {
	if req.Organisation != "" && !req.Retry && !req.Resuming && !req.NoWait {
		req.overShare = d.fairShares[req.priorityClass()].exceeds(req.Organisation, now)
	}
}

package lab

import (
	"math"
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// In any ratewindow.Window, a server with a rate limit must not receive more than ratewindow.Allowed requests from all
// entry boxes together that received the limit at least limitReactionTime before. Windows that end less than limitGrace
// after the limit was set are not checked.
const (
	limitReactionTime = 500 * time.Millisecond
	limitGrace        = 3 * time.Second
)

// limitRecord records the requests received by a server with a rate limit.
type limitRecord struct {
	perSecond float64
	// since is when the limit was set.
	since time.Time
	// receivedAt is when each box first received a response with the limit.
	receivedAt map[*box]time.Time
	// arrivals holds the arrival times of all requests. counted holds only those of requests from boxes that received
	// the limit at least limitReactionTime earlier and were never killed or partitioned.
	arrivals, counted []time.Time
}

// setLimit sets the server's rate limit; its responses advertise it from then on.
func (e *engine) setLimit(perSecond float64) {
	e.limitRecord = &limitRecord{perSecond: perSecond, since: e.timeline.Now(), receivedAt: make(map[*box]time.Time)}
}

// recordArrival records a request if the server has a rate limit.
func (e *engine) recordArrival(b *box) {
	if e.limitRecord == nil {
		return
	}
	now := e.timeline.Now()
	e.limitRecord.arrivals = append(e.limitRecord.arrivals, now)
	if receivedAt, ok := e.limitRecord.receivedAt[b]; ok && now.Sub(receivedAt) >= limitReactionTime && !b.hadFault {
		e.limitRecord.counted = append(e.limitRecord.counted, now)
	}
}

// clearLimit removes the server's rate limit and records the excess and the utilization in the result.
func (e *engine) clearLimit(result *Result) {
	l := e.limitRecord
	e.limitRecord = nil
	ratewindow.Each(l.counted, ratewindow.Window, func(end time.Time, count int) {
		if end.Sub(l.since) >= limitGrace {
			result.LimitExcess = max(result.LimitExcess, float64(count)-ratewindow.Allowed(l.perSecond))
		}
	})
	received := 0
	for _, at := range l.arrivals {
		if at.Sub(l.since) >= limitGrace {
			received++
		}
	}
	result.LimitUtilization = append(result.LimitUtilization, float64(received)/(l.perSecond*(e.timeline.Now().Sub(l.since)-limitGrace).Seconds()))
}

// limit returns the rate limit that the server advertises.
func (e *engine) limit() fleet.RateLimit {
	if e.limitRecord == nil {
		return fleet.RateLimit{}
	}
	return fleet.RateLimit{Set: true, PerSecond: e.limitRecord.perSecond}
}

// observeLimit records the rate limit in a response and, if it has changed, reports it to the other boxes of the cell.
func (b *box) observeLimit(e *engine) {
	if e.limitRecord != nil && e.limitRecord.receivedAt[b].IsZero() {
		e.limitRecord.receivedAt[b] = b.sim.Now()
	}
	limit := e.limit()
	if !b.updateLimit(e.id, limit) {
		return
	}
	for _, other := range b.peers {
		incarnation := other.incarnation
		b.sim.AfterFunc(b.sim.deployment.ReportInterval+b.sim.delay(b.region, other.region), func() {
			if other.incarnation == incarnation && other.up && !b.partitioned && !other.partitioned {
				other.updateLimit(e.id, limit)
			}
		})
	}
}

// updateLimit records a server's rate limit and reports whether it has changed. The limit of a cold server stays.
func (b *box) updateLimit(id fleet.ServerID, limit fleet.RateLimit) bool {
	for i := range b.servers {
		if b.servers[i].ID == id {
			if b.servers[i].Cold || b.servers[i].Limit == limit {
				return false
			}
			b.servers[i].Limit = limit
			b.updateServers()
			return true
		}
	}
	return false
}

// initLimits sets each server's rate limit at a starting box to the lowest that a running peer has recorded.
func (b *box) initLimits() {
	for i := range b.servers {
		b.servers[i].Limit = fleet.RateLimit{}
		for _, other := range b.peers {
			if other.up && other.dispatcher != nil && len(other.servers) == len(b.servers) && other.servers[i].Limit.IsBelow(b.servers[i].Limit) {
				b.servers[i].Limit = other.servers[i].Limit
			}
		}
	}
}

// minLimitUtilization returns the lowest utilization of a rate limit, or infinity if no server had one.
func (r *Result) minLimitUtilization() float64 {
	lowest := math.Inf(1)
	for _, utilization := range r.LimitUtilization {
		lowest = min(lowest, utilization)
	}
	return lowest
}

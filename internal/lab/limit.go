package lab

import (
	"math"
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// In any ratewindow.Window, a server with a rate limit must not receive more than ratewindow.Allowed requests from all entry boxes that
// have known of the limit for limitNotice. Windows that end less than limitGrace after the limit was set are not checked.
const (
	limitNotice = 500 * time.Millisecond
	limitGrace  = 3 * time.Second
)

// limitRecord records the requests that a server with a rate limit has received.
type limitRecord struct {
	perSecond float64
	from      time.Time
	// told is when each box first received an answer with the limit.
	told map[*box]time.Time
	// arrivals are the times of all requests; counted are those from boxes that had known of the limit for limitNotice.
	arrivals, counted []time.Time
}

// setLimit sets the server's rate limit; its answers carry it from then on.
func (e *engine) setLimit(perSecond float64) {
	e.limited = &limitRecord{perSecond: perSecond, from: e.line.Now(), told: make(map[*box]time.Time)}
}

// noteArrival records a request if the server has a rate limit.
func (e *engine) noteArrival(b *box) {
	if e.limited == nil {
		return
	}
	now := e.line.Now()
	e.limited.arrivals = append(e.limited.arrivals, now)
	if told, ok := e.limited.told[b]; ok && now.Sub(told) >= limitNotice && !b.struck {
		e.limited.counted = append(e.limited.counted, now)
	}
}

// clearLimit removes the server's rate limit and adds its excess and utilization to the result.
func (e *engine) clearLimit(result *Result) {
	l := e.limited
	e.limited = nil
	ratewindow.Each(l.counted, func(end time.Time, count int) {
		if end.Sub(l.from) >= limitGrace {
			result.LimitExcess = max(result.LimitExcess, float64(count)-ratewindow.Allowed(l.perSecond))
		}
	})
	used := 0
	for _, at := range l.arrivals {
		if at.Sub(l.from) >= limitGrace {
			used++
		}
	}
	result.LimitUsed = append(result.LimitUsed, float64(used)/(l.perSecond*(e.line.Now().Sub(l.from)-limitGrace).Seconds()))
}

// limit returns the rate limit that the server advertises.
func (e *engine) limit() fleet.RateLimit {
	if e.limited == nil {
		return fleet.RateLimit{}
	}
	return fleet.RateLimit{Set: true, PerSecond: e.limited.perSecond}
}

// hearLimit records the rate limit in an answer and, if it has changed, reports it to the other boxes of the cell.
func (b *box) hearLimit(e *engine) {
	if e.limited != nil && e.limited.told[b].IsZero() {
		e.limited.told[b] = b.world.Now()
	}
	limit := e.limit()
	if !b.learnLimit(e.id, limit) {
		return
	}
	for _, other := range b.mates {
		life := other.life
		b.world.AfterFunc(b.world.deployment.TellInterval+b.world.delay(b.region, other.region), func() {
			if other.life == life && other.up && !b.cutOff && !other.cutOff {
				other.learnLimit(e.id, limit)
			}
		})
	}
}

// learnLimit records a server's rate limit and reports whether it has changed.
func (b *box) learnLimit(id fleet.ServerID, limit fleet.RateLimit) bool {
	for i := range b.servers {
		if b.servers[i].ID == id {
			if b.servers[i].Limit == limit {
				return false
			}
			b.servers[i].Limit = limit
			b.listServers()
			return true
		}
	}
	return false
}

// learnLimits sets the rate limits of a box that starts to the lowest that its peers know.
func (b *box) learnLimits() {
	for i := range b.servers {
		b.servers[i].Limit = fleet.RateLimit{}
		for _, other := range b.mates {
			if other.up && other.dispatcher != nil && len(other.servers) == len(b.servers) && other.servers[i].Limit.IsBelow(b.servers[i].Limit) {
				b.servers[i].Limit = other.servers[i].Limit
			}
		}
	}
}

// lowestLimitUse returns the lowest utilization of a rate limit; infinity if no server was limited.
func (r *Result) lowestLimitUse() float64 {
	lowest := math.Inf(1)
	for _, used := range r.LimitUsed {
		lowest = min(lowest, used)
	}
	return lowest
}

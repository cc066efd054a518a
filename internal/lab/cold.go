package lab

import (
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// coldNoticeDelay is the maximum time until a box receives notice that a server is cold: the interval at which the
	// server writes its entry, plus the time until the box has read it.
	coldNoticeDelay = 1500 * time.Millisecond
	// coldWindow is the period in which the requests to a cold server are counted.
	coldWindow = time.Second
)

// coldAllowance is how many requests cold servers may receive.
var coldAllowance = route.ColdAllowance{Factor: 1.5, Extra: 5}

// coldRecord records the requests received by a cold server.
type coldRecord struct {
	rate  float64
	since time.Time
	// arrivals holds the arrival times of the requests of all boxes since all of them have received notice.
	arrivals []time.Time
}

// makeCold makes a server cold for a time. Each box receives notice after a random delay.
func (s *simulation) makeCold(e *engine, rate float64, duration time.Duration) {
	e.coldRecord = &coldRecord{rate: rate, since: s.Now()}
	for _, b := range e.boxes {
		s.AfterFunc(time.Duration(s.random.Int64N(int64(coldNoticeDelay))), func() { b.setCold(e.id, coldAllowance.Limit(rate)) })
	}
	s.AfterFunc(duration, func() {
		e.endCold(s.result)
		for _, b := range e.boxes {
			b.setCold(e.id, fleet.RateLimit{})
		}
	})
}

// setCold sets the limit of a cold server, or removes it. A box that is down keeps it for its next start, when it reads
// the entry of the server.
func (b *box) setCold(id fleet.ServerID, limit fleet.RateLimit) {
	for i := range b.servers {
		if b.servers[i].ID == id {
			b.servers[i].Cold, b.servers[i].Limit = limit.Set, limit
		}
	}
	if b.up {
		b.updateServers()
	}
}

// recordColdArrival records a request if the server is cold and all boxes have received notice.
func (e *engine) recordColdArrival() {
	if now := e.timeline.Now(); e.coldRecord != nil && now.Sub(e.coldRecord.since) >= coldNoticeDelay {
		e.coldRecord.arrivals = append(e.coldRecord.arrivals, now)
	}
}

// endCold ends the cold time of a server and records the excess and the utilization in the result.
func (e *engine) endCold(result *Result) {
	cold := e.coldRecord
	e.coldRecord = nil
	ratewindow.Each(cold.arrivals, coldWindow, func(_ time.Time, count int) {
		result.ColdExcess = max(result.ColdExcess, float64(count)-coldAllowance.PerSecond(cold.rate))
	})
	noticed := e.timeline.Now().Sub(cold.since) - coldNoticeDelay
	result.ColdUtilization = append(result.ColdUtilization, float64(len(cold.arrivals))/(cold.rate*noticed.Seconds()))
}

package route

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Demand is what one entry box is asked for of a service beyond what it has in flight.
type Demand struct {
	// Arrivals is how many requests came for the first time in the last rateSpan.
	Arrivals int
	// InTime is how many requests wait for a place that can still meet their objective,
	// Late how many of the others.
	InTime, Late int
	// Beginning is how many requests hold a place whose answers have not begun.
	Beginning int
}

// Demands are the demands of one entry box, by service.
type Demands map[member.Service]Demand

// peerDemand is what another entry box told last, and when.
type peerDemand struct {
	Demand
	at time.Time
}

// Demand returns what this box is asked for.
func (d *Dispatcher) Demand(now time.Time) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand(now)
}

func (d *Dispatcher) demand(now time.Time) Demand {
	demand := Demand{Arrivals: d.arrivals.count(now), Beginning: d.beginning}
	for _, w := range d.queue {
		if w.ask.isLate(now) {
			demand.Late++
		} else {
			demand.InTime++
		}
	}
	return demand
}

// PeerDemand takes what another entry box is asked for.
func (d *Dispatcher) PeerDemand(box member.BoxID, demand Demand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demands[box] = peerDemand{demand, now}
}

// peersDemand sums what the other entry boxes told lately.
func (d *Dispatcher) peersDemand(now time.Time) Demand {
	var sum Demand
	for box, told := range d.demands {
		if now.Sub(told.at) >= peerLoadAge {
			delete(d.demands, box)
			continue
		}
		sum.Arrivals += told.Arrivals
		sum.InTime += told.InTime
		sum.Late += told.Late
		sum.Beginning += told.Beginning
	}
	return sum
}

const (
	// rateSpan is over which time arrivals are counted: bursts begin and end within a
	// second or so.
	rateSpan = time.Second
	// rateParts is in how many parts it is counted.
	rateParts = 10
)

// rateMeter counts events over the last rateSpan.
type rateMeter struct {
	counts [rateParts + 1]int
	// at is the number of the newest part, counted from started.
	at      int64
	started time.Time
}

func (m *rateMeter) advance(now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
	at := int64(now.Sub(m.started) / (rateSpan / rateParts))
	for steps := 0; m.at < at && steps < len(m.counts); steps++ {
		m.at++
		m.counts[m.at%int64(len(m.counts))] = 0
	}
	m.at = max(m.at, at)
}

func (m *rateMeter) add(now time.Time) {
	m.advance(now)
	m.counts[m.at%int64(len(m.counts))]++
}

// count returns the events of the last rateSpan, without the part that is not over.
func (m *rateMeter) count(now time.Time) int {
	m.advance(now)
	sum := 0
	for i, count := range m.counts {
		if int64(i) != m.at%int64(len(m.counts)) {
			sum += count
		}
	}
	return sum
}

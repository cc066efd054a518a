package route

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Demand is what one entry box is asked for of a service beyond what it has in flight.
type Demand struct {
	// Arrivals is how many requests came for the first time in the last rateWindow.
	Arrivals int
	// InTime is how many requests wait for a place that can still meet their objective,
	// Late how many of the others.
	InTime, Late int
	// AwaitingFirstByte is how many requests hold a place whose answers have not begun.
	AwaitingFirstByte int
}

// Demands are the demands of one entry box, by service.
type Demands map[member.Service]Demand

// peerDemand is what another entry box told last, and when.
type peerDemand struct {
	Demand
	at time.Time
}

// peerDemands keeps what the other entry boxes are asked for, and the sum.
type peerDemands struct {
	boxes map[member.BoxID]peerDemand
	sum   Demand
	// oldest is when the oldest of them was told, or before.
	oldest time.Time
}

func (p *peerDemands) set(box member.BoxID, demand Demand, now time.Time) {
	if len(p.boxes) == 0 {
		p.oldest = now
	}
	p.sum.add(p.boxes[box].Demand, -1)
	p.sum.add(demand, 1)
	p.boxes[box] = peerDemand{demand, now}
}

// expire forgets the boxes that have told nothing for long.
func (p *peerDemands) expire(now time.Time) {
	if now.Sub(p.oldest) < peerLoadMaxAge {
		return
	}
	p.oldest = now
	for box, told := range p.boxes {
		if now.Sub(told.at) >= peerLoadMaxAge {
			p.sum.add(told.Demand, -1)
			delete(p.boxes, box)
			continue
		}
		if told.at.Before(p.oldest) {
			p.oldest = told.at
		}
	}
}

func (d *Demand) add(other Demand, sign int) {
	d.Arrivals += sign * other.Arrivals
	d.InTime += sign * other.InTime
	d.Late += sign * other.Late
	d.AwaitingFirstByte += sign * other.AwaitingFirstByte
}

// Demand returns what this box is asked for.
func (d *Dispatcher) Demand(now time.Time) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand(now)
}

func (d *Dispatcher) demand(now time.Time) Demand {
	inTime, late := d.queueCounts(now)
	return Demand{Arrivals: d.arrivals.count(now), InTime: inTime, Late: late, AwaitingFirstByte: len(d.awaiting)}
}

// UpdatePeerDemand takes what another entry box is asked for.
func (d *Dispatcher) UpdatePeerDemand(box member.BoxID, demand Demand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerDemands.set(box, demand, now)
}

// totalPeerDemand sums what the other entry boxes told lately.
func (d *Dispatcher) totalPeerDemand(now time.Time) Demand {
	d.peerDemands.expire(now)
	return d.peerDemands.sum
}

const (
	// rateWindow is over which time arrivals are counted: bursts begin and end within a
	// second or so.
	rateWindow = time.Second
	// rateBuckets is in how many parts it is counted.
	rateBuckets = 10
)

// rateMeter counts events over the last rateWindow.
type rateMeter struct {
	counts [rateBuckets + 1]int
	// at is the number of the newest part, counted from started.
	at      int64
	started time.Time
}

func (m *rateMeter) advance(now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
	at := int64(now.Sub(m.started) / (rateWindow / rateBuckets))
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

// count returns the events of the last rateWindow, without the part that is not over.
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

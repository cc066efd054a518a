package route

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Demand is the demand for a service at one entry box, without the requests whose responses have
// started.
type Demand struct {
	// Arrivals is the number of new requests in the last rateWindow.
	Arrivals int
	// InTime is the number of queued requests that can still meet their objective, Late that of the
	// others.
	InTime, Late int
	// AwaitingFirstByte is the number of requests that hold a slot and whose responses have not
	// started.
	AwaitingFirstByte int
}

// Demands are the demands of one entry box, by service.
type Demands map[member.Service]Demand

// peerDemand is the last demand that another entry box reported, and when.
type peerDemand struct {
	Demand
	at time.Time
	// interval is the moving average of the time between the reports of the box.
	interval time.Duration
}

// peerDemands holds the demands of the other entry boxes and their sum.
type peerDemands struct {
	boxes map[member.BoxID]peerDemand
	sum   Demand
	// oldest is a lower bound of the time of the oldest report.
	oldest time.Time
}

func (p *peerDemands) set(box member.BoxID, demand Demand, now time.Time) {
	if len(p.boxes) == 0 {
		p.oldest = now
	}
	p.sum.add(p.boxes[box].Demand, -1)
	p.sum.add(demand, 1)
	interval := allocationRound - reportTransferTime
	if last, ok := p.boxes[box]; ok {
		interval = last.interval + time.Duration(intervalSmoothing*float64(now.Sub(last.at)-last.interval))
	}
	p.boxes[box] = peerDemand{demand, now, interval}
}

// expire removes the boxes whose last report is older than peerLoadMaxAge.
func (p *peerDemands) expire(now time.Time) {
	if now.Sub(p.oldest) < peerLoadMaxAge {
		return
	}
	p.oldest = now
	for box, demand := range p.boxes {
		if now.Sub(demand.at) >= peerLoadMaxAge {
			p.sum.add(demand.Demand, -1)
			delete(p.boxes, box)
			continue
		}
		if demand.at.Before(p.oldest) {
			p.oldest = demand.at
		}
	}
}

func (d *Demand) add(other Demand, sign int) {
	d.Arrivals += sign * other.Arrivals
	d.InTime += sign * other.InTime
	d.Late += sign * other.Late
	d.AwaitingFirstByte += sign * other.AwaitingFirstByte
}

// Demand returns the demand of this box.
func (d *Dispatcher) Demand(now time.Time) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand(now)
}

func (d *Dispatcher) demand(now time.Time) Demand {
	inTime, late := d.queueCounts(now)
	return Demand{Arrivals: d.arrivals.count(now), InTime: inTime, Late: late, AwaitingFirstByte: len(d.awaiting)}
}

// UpdatePeerDemand records the demand that another entry box reported.
func (d *Dispatcher) UpdatePeerDemand(box member.BoxID, demand Demand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerDemands.set(box, demand, now)
	d.delays = reportDelays{}
}

// totalPeerDemand returns the sum of the other entry boxes' current demands.
func (d *Dispatcher) totalPeerDemand(now time.Time) Demand {
	d.peerDemands.expire(now)
	return d.peerDemands.sum
}

const (
	// rateWindow is the period over which arrivals are counted: bursts start and end within about a
	// second.
	rateWindow = time.Second
	// rateBuckets is the number of buckets that rateWindow is divided into.
	rateBuckets = 10
)

// rateMeter counts events over the last rateWindow.
type rateMeter struct {
	counts [rateBuckets + 1]int
	// newest is the number of the newest bucket, counted from started.
	newest  int64
	started time.Time
}

func (m *rateMeter) advance(now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
	at := int64(now.Sub(m.started) / (rateWindow / rateBuckets))
	for steps := 0; m.newest < at && steps < len(m.counts); steps++ {
		m.newest++
		m.counts[m.newest%int64(len(m.counts))] = 0
	}
	m.newest = max(m.newest, at)
}

func (m *rateMeter) add(now time.Time) {
	m.advance(now)
	m.counts[m.newest%int64(len(m.counts))]++
}

// count returns the number of events in the last rateWindow, without the current bucket.
func (m *rateMeter) count(now time.Time) int {
	m.advance(now)
	sum := 0
	for i, count := range m.counts {
		if int64(i) != m.newest%int64(len(m.counts)) {
			sum += count
		}
	}
	return sum
}

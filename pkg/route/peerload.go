package route

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// peerLoadMaxAge is the maximum age of the load that another entry box reported. It is several
// times the interval of the reports.
const peerLoadMaxAge = 1500 * time.Millisecond

// peerLoadRetention is how long the load of a box is kept after its last report. By then a stream
// that reports only changes has ended, and the next stream starts with a full report.
const peerLoadRetention = time.Minute

// ServerLoad is what entry boxes have in flight at one server.
type ServerLoad struct {
	Requests int
	// Prefill is the total prefill time of the requests whose responses have not started.
	Prefill time.Duration
	// Sent is the number of requests sent since the box first received the server's rate limit; 0 if
	// there is no limit.
	Sent uint32
}

// Load is what one entry box has in flight at each server.
type Load map[fleet.ServerID]ServerLoad

// peerLoad is the load that another entry box last reported, and when.
type peerLoad struct {
	load Load
	at   time.Time
	// expired is set while the load does not count because the last report is too old. The load is
	// kept, because the next report may contain only changes.
	expired bool
}

// peerLoads holds the loads of the other entry boxes and their sums, so that the choice of a server
// need not add them up.
type peerLoads struct {
	boxes map[member.BoxID]*peerLoad
	sums  Load
	// oldest is a lower bound of the time of the oldest report.
	oldest time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{boxes: make(map[member.BoxID]*peerLoad), sums: make(Load)}
}

// merge records the load of a box. If full is set, the report covers all servers; otherwise it
// covers only those that changed.
func (p *peerLoads) merge(box member.BoxID, report Load, full bool, now time.Time) {
	known := p.boxes[box]
	switch {
	case known == nil && !full:
		// The first report of a box is a full one; changes that arrive before it cannot be applied.
		return
	case known == nil:
		known = &peerLoad{load: make(Load)}
		p.boxes[box] = known
	}
	if known.at = now; len(p.boxes) == 1 {
		p.oldest = now
	}
	if known.expired {
		known.expired = false
		for id, load := range known.load {
			p.addToSum(id, load, 1)
		}
	}
	if full {
		for id := range known.load {
			if _, reported := report[id]; !reported {
				p.set(known, id, ServerLoad{})
			}
		}
	}
	for id, load := range report {
		p.set(known, id, load)
	}
}

// set changes the load of one box at one server, and the sum.
func (p *peerLoads) set(box *peerLoad, id fleet.ServerID, load ServerLoad) {
	p.addToSum(id, box.load[id], -1)
	p.addToSum(id, load, 1)
	if box.load[id] = load; load == (ServerLoad{}) {
		delete(box.load, id)
	}
}

// addToSum adds a load to the sum, or subtracts it if sign is -1.
func (p *peerLoads) addToSum(id fleet.ServerID, load ServerLoad, sign int) {
	sum := p.sums[id]
	sum.Requests += sign * load.Requests
	sum.Prefill += time.Duration(sign) * load.Prefill
	if p.sums[id] = sum; sum == (ServerLoad{}) {
		delete(p.sums, id)
	}
}

// expire excludes the boxes whose last report is older than peerLoadMaxAge from the sums, and
// deletes those older than peerLoadRetention.
func (p *peerLoads) expire(now time.Time) {
	if now.Sub(p.oldest) < peerLoadMaxAge {
		return
	}
	p.oldest = now
	for box, known := range p.boxes {
		age := now.Sub(known.at)
		switch {
		case age < peerLoadMaxAge:
			if known.at.Before(p.oldest) {
				p.oldest = known.at
			}
		case !known.expired:
			known.expired = true
			for id, load := range known.load {
				p.addToSum(id, load, -1)
			}
		case age >= peerLoadRetention:
			delete(p.boxes, box)
		}
	}
}

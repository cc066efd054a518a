package route

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// peerLoadMaxAge is how long the load that another entry box told counts. It is
// several of the intervals at which they tell it.
const peerLoadMaxAge = 1500 * time.Millisecond

// peerLoadRetention is for how long after a box's last word it is kept what it told: the stream that tells only changes has ended well
// before, and the next one begins with the whole.
const peerLoadRetention = time.Minute

// ServerLoad is what entry boxes have in flight at one server.
type ServerLoad struct {
	Requests int
	// Prefill is how long the server takes to read the requests whose answers have
	// not begun.
	Prefill time.Duration
	// Sent is the number of requests sent since the box learned of the server's rate limit; 0 if there is no limit.
	Sent uint32
}

// Load is what one entry box has in flight at each server.
type Load map[fleet.ServerID]ServerLoad

// peerLoad is what another entry box told last, and when.
type peerLoad struct {
	load Load
	at   time.Time
	// expired is set while it does not count, as the box was not heard for long. Its next word may tell only what has
	// changed.
	expired bool
}

// peerLoads keeps what the other entry boxes have in flight, and the sums, so that
// choosing a server does not add them up each time.
type peerLoads struct {
	boxes map[member.BoxID]*peerLoad
	sums  Load
	// oldest is when the oldest of them was told, or before.
	oldest time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{boxes: make(map[member.BoxID]*peerLoad), sums: make(Load)}
}

// merge notes what a box has in flight: at the servers that are named, or, if whole
// is set, at these and no others.
func (p *peerLoads) merge(box member.BoxID, told Load, whole bool, now time.Time) {
	known := p.boxes[box]
	switch {
	case known == nil && !whole:
		// The first word of a box is whole; what comes before it is of no use.
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
	if whole {
		for id := range known.load {
			if _, stays := told[id]; !stays {
				p.set(known, id, ServerLoad{})
			}
		}
	}
	for id, load := range told {
		p.set(known, id, load)
	}
}

// set changes what one box has in flight at one server, and the sum.
func (p *peerLoads) set(box *peerLoad, id fleet.ServerID, load ServerLoad) {
	p.addToSum(id, box.load[id], -1)
	p.addToSum(id, load, 1)
	if box.load[id] = load; load == (ServerLoad{}) {
		delete(box.load, id)
	}
}

// addToSum adds a load to the sum, or takes it out.
func (p *peerLoads) addToSum(id fleet.ServerID, load ServerLoad, sign int) {
	sum := p.sums[id]
	sum.Requests += sign * load.Requests
	sum.Prefill += time.Duration(sign) * load.Prefill
	if p.sums[id] = sum; sum == (ServerLoad{}) {
		delete(p.sums, id)
	}
}

// expire leaves out the boxes that have told nothing for long.
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

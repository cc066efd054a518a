package route

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Several entry boxes that hear of the same free place would all take it: what one of
// them takes the others know only after a while. So while places are scarce each free
// place belongs to one box for such a while, a round; which one is drawn by weighted
// rendezvous hashing over what the boxes are asked for, so that all work it out alike
// without a word. Where they believe different things two may take one place, or none
// does for a round.

const (
	// claimRound is how long it takes until the other entry boxes know that a place was
	// taken: the interval at which they tell each other, and the way.
	claimRound = 60 * time.Millisecond
	// scarcePart is how many times the requests of a round must find room for places not
	// to be scarce: below, boxes that choose at random meet at one in ten servers.
	scarcePart = 2
	// idleWeight is the weight of a box that is asked for nothing, against one for each
	// request: something may have come since it was heard of.
	idleWeight = 0.02
)

// standing is whether a request can still meet its objective.
type standing int

// The standings of requests.
const (
	standsInTime standing = iota
	standsLate
)

func (a *Ask) standing(now time.Time) standing {
	if a.isLate(now) {
		return standsLate
	}
	return standsInTime
}

// competition is how many places are free, and how many requests of other boxes may take
// one in this round.
type competition struct {
	round        int64
	free         float64
	inTime, late float64
}

// competition returns who competes for how many places.
func (d *Dispatcher) competition(now time.Time) competition {
	peers := d.peersDemand(now)
	return competition{
		round: now.UnixNano() / int64(claimRound), inTime: float64(peers.InTime) + peers.coming(), late: float64(peers.Late),
		free: float64(max(0, d.survey(now).free)),
	}
}

// coming is how many requests come for the first time in one round.
func (d *Demand) coming() float64 {
	return float64(d.Arrivals) * claimRound.Seconds() / rateSpan.Seconds()
}

// others is how many requests of other boxes compete with one of a standing.
func (c *competition) others(s standing) float64 {
	if s == standsLate {
		return c.inTime + c.late
	}
	return c.inTime
}

// isScarce reports whether places are to be shared out among the boxes.
func (c *competition) isScarce(s standing) bool { return c.free < scarcePart*(c.others(s)+1) }

// claimWeight is the weight by which a box is drawn for a place.
func (d *Demand) claimWeight() float64 { return float64(d.InTime) + d.coming() + idleWeight }

// claimable is how many of a server's free places this box may still take in a round.
func (d *Dispatcher) claimable(b *backend, free int, round int64, own float64) int {
	if b.claimRound != round {
		b.claimRound, b.claimed = round, 0
	}
	mine := 0
	// What was taken in this round was free when it began.
	for place := range free + b.claimed {
		if d.wins(claim{b.server.ID, place, round}, own) {
			mine++
		}
	}
	return mine - b.claimed
}

// claim names one free place in one round.
type claim struct {
	server fleet.ServerID
	place  int
	round  int64
}

// wins reports whether a place is this box's.
func (d *Dispatcher) wins(c claim, own float64) bool {
	mine := c.score(d.self, own)
	for box, told := range d.demands.boxes {
		if c.score(box, told.claimWeight()) > mine {
			return false
		}
	}
	return true
}

// score is a box's score for a place; the highest gets it.
func (c *claim) score(box member.BoxID, weight float64) float64 {
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], uint64(c.place))
	binary.LittleEndian.PutUint64(number[8:], uint64(c.round))
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(c.server))
	_, _ = hash.Write(number[:])
	_, _ = hash.WriteString(string(box))
	// A number above 0 and below 1, of the 53 bits that a float holds.
	drawn := (float64(hash.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(drawn)
}

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
	// allocationRound is how long it takes until the other entry boxes know that a place was
	// taken: the interval at which they tell each other, and the way.
	allocationRound = 60 * time.Millisecond
	// scarcityFactor is how many times the requests of a round must find room for places not
	// to be scarce: below, boxes that choose at random meet at one in ten servers.
	scarcityFactor = 2
	// idleWeight is the weight of a box that is asked for nothing, against one for each
	// request: something may have come since it was heard of.
	idleWeight = 0.02
)

// requestClass is whether a request can still meet its objective.
type requestClass int

// The standings of requests.
const (
	classInTime requestClass = iota
	classLate
)

func (a *SlotRequest) class(now time.Time) requestClass {
	if a.isLate(now) {
		return classLate
	}
	return classInTime
}

// contention is how many places are free, and how many requests of other boxes may take
// one in this round.
type contention struct {
	round        int64
	free         float64
	inTime, late float64
}

// contention returns who competes for how many places.
func (d *Dispatcher) contention(now time.Time) contention {
	peers := d.totalPeerDemand(now)
	return contention{
		round: now.UnixNano() / int64(allocationRound), inTime: float64(peers.InTime) + peers.arrivalsPerRound(), late: float64(peers.Late),
		free: float64(max(0, d.currentCapacity(now).free)),
	}
}

// arrivalsPerRound is how many requests come for the first time in one round.
func (d *Demand) arrivalsPerRound() float64 {
	return float64(d.Arrivals) * allocationRound.Seconds() / rateWindow.Seconds()
}

// competitors is how many requests of other boxes compete with one of a standing.
func (c *contention) competitors(s requestClass) float64 {
	if s == classLate {
		return c.inTime + c.late
	}
	return c.inTime
}

// isScarce reports whether places are to be shared out among the boxes.
func (c *contention) isScarce(s requestClass) bool {
	return c.free < scarcityFactor*(c.competitors(s)+1)
}

// allocationWeight is the weight by which a box is drawn for a place.
func (d *Demand) allocationWeight() float64 {
	return float64(d.InTime) + d.arrivalsPerRound() + idleWeight
}

// remainingShare is how many of a server's free places this box may still take in a round.
func (d *Dispatcher) remainingShare(b *backend, free int, round int64, own float64) int {
	if b.round != round {
		b.round, b.takenInRound = round, 0
	}
	mine := 0
	// What was taken in this round was free when it began.
	for place := range free + b.takenInRound {
		if d.owns(freeSlot{b.server.ID, place, round}, own) {
			mine++
		}
	}
	return mine - b.takenInRound
}

// freeSlot names one free place in one round.
type freeSlot struct {
	server fleet.ServerID
	index  int
	round  int64
}

// owns reports whether a place is this box's.
func (d *Dispatcher) owns(c freeSlot, own float64) bool {
	mine := c.score(d.self, own)
	for box, told := range d.peerDemands.boxes {
		if c.score(box, told.allocationWeight()) > mine {
			return false
		}
	}
	return true
}

// score is a box's score for a place; the highest gets it.
func (c *freeSlot) score(box member.BoxID, weight float64) float64 {
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], uint64(c.index))
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

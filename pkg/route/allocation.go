package route

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// The report that a box has taken a slot reaches the other entry boxes only after a delay, so without
// coordination all boxes would take the same free slot. While slots are scarce, each free slot is
// therefore allocated to one box for a round, which is as long as that delay. The box is chosen by
// weighted rendezvous hashing over the demands of all boxes, so that each box computes the same
// result without further messages. If the boxes' views differ, two boxes may take the same slot, or
// none takes it for one round.

const (
	// allocationRound is the delay until the other entry boxes know that a slot was taken: the
	// interval of the load reports plus their transfer time.
	allocationRound = 60 * time.Millisecond
	// scarcityFactor is the number of free slots per competing request below which slots are
	// scarce. Below it, boxes that choose at random collide on one in ten servers.
	scarcityFactor = 2
	// idleWeight is the weight of a box without demand, where each request weighs 1: requests may
	// have arrived there since its last report.
	idleWeight = 0.02
)

// requestClass is the class of a request by whether it can still meet its objective.
type requestClass int

// The request classes.
const (
	classInTime requestClass = iota
	classLate
)

func (r *SlotRequest) class(now time.Time) requestClass {
	if r.isLate(now) {
		return classLate
	}
	return classInTime
}

// contention is the number of free slots, and of requests at other boxes that may take one in this
// round.
type contention struct {
	round        int64
	free         float64
	inTime, late float64
}

// contention returns the contention for free slots in the current round.
func (d *Dispatcher) contention(now time.Time) contention {
	peers := d.totalPeerDemand(now)
	return contention{
		round: now.UnixNano() / int64(allocationRound), inTime: float64(peers.InTime) + peers.arrivalsPerRound(), late: float64(peers.Late),
		free: float64(max(0, d.currentCapacity(now).free)),
	}
}

// arrivalsPerRound returns the number of new requests expected in one round.
func (d *Demand) arrivalsPerRound() float64 {
	return float64(d.Arrivals) * allocationRound.Seconds() / rateWindow.Seconds()
}

// competitors returns how many requests at other boxes compete with a request of a class.
func (c *contention) competitors(class requestClass) float64 {
	if class == classLate {
		return c.inTime + c.late
	}
	return c.inTime
}

// isScarce reports whether free slots are to be allocated to single boxes.
func (c *contention) isScarce(class requestClass) bool {
	return c.free < scarcityFactor*(c.competitors(class)+1)
}

// allocationWeight returns the weight of a box in the allocation of a slot.
func (d *Demand) allocationWeight() float64 {
	return float64(d.InTime) + d.arrivalsPerRound() + idleWeight
}

// remainingShare returns how many more of a server's free slots this box may take in a round.
func (d *Dispatcher) remainingShare(b *backend, free int, round int64, weight float64) int {
	b.startRound(round)
	share := 0
	// The slots that this box took in this round were free when it began.
	for i := range free + b.takenInRound {
		if d.owns(freeSlot{b.server.ID, i, round}, weight) {
			share++
		}
	}
	return share - b.takenInRound
}

// startRound resets what this box took of the server's free slots if the round is a new one.
func (b *backend) startRound(round int64) {
	if b.round != round {
		b.round, b.takenInRound, b.takenByClass = round, 0, [demandClassCount]int{}
	}
}

// take records that this box took one of the server's free slots in a round.
func (b *backend) take(req *SlotRequest, round int64) {
	b.startRound(round)
	b.takenInRound++
	b.takenByClass[req.demandClass()]++
}

// freeSlot identifies a free slot in one round.
type freeSlot struct {
	server fleet.ServerID
	index  int
	round  int64
}

// owns reports whether a slot is allocated to this box.
func (d *Dispatcher) owns(slot freeSlot, weight float64) bool {
	ownScore := slot.score(d.self, weight)
	for box, demand := range d.peerDemands.boxes {
		if slot.score(box, demand.allocationWeight()) > ownScore {
			return false
		}
	}
	return true
}

// score returns the score of a box for a slot. The slot is allocated to the box with the highest
// score.
func (s *freeSlot) score(box member.BoxID, weight float64) float64 {
	return -weight / math.Log(s.uniform(box))
}

// position returns a number in (0, 1) that depends on the slot only, so it is the same at all boxes.
func (s *freeSlot) position() float64 { return s.uniform("") }

// uniform returns a number strictly between 0 and 1 that depends on the slot and the box.
func (s *freeSlot) uniform(box member.BoxID) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(s.index))
	binary.LittleEndian.PutUint64(key[8:], uint64(s.round))
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(s.server))
	_, _ = hash.Write(key[:])
	_, _ = hash.WriteString(string(box))
	// The number is made of the upper 53 bits, the precision of a float64.
	return (float64(hash.Sum64()>>11) + 0.5) / (1 << 53)
}

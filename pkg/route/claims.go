package route

import (
	"math"
	"time"
)

// Several entry boxes that hear of the same free place would all take it: what one of
// them takes the others know only after a while. So in each such while, a round, a box
// claims no more of the free places than its part of those who compete for them. Which
// requests go before others holds among all boxes in this way: places are left to those
// who can be in time, wherever they wait.

// claimRound is how long it takes until the other entry boxes know that a place was
// taken: the interval at which they tell each other, and the way.
const claimRound = 60 * time.Millisecond

// standing is whether a request can still meet its objective.
type standing int

// The standings of requests.
const (
	standsInTime standing = iota
	standsLate

	standings
)

func (a *Ask) standing(now time.Time) standing {
	if a.isLate(now) {
		return standsLate
	}
	return standsInTime
}

// claims are what a box has asked for and taken of the free places in one round.
type claims struct {
	round int64
	// asked is how many requests wanted a place, taken how many got one.
	asked, taken [standings]int
	// draw decides, the same all through the round, whether a part of a place is one.
	draw float64
}

// competition is how many free places there are, and how many requests of other boxes
// may take one before this box knows.
type competition struct {
	free         float64
	inTime, late float64
}

// startRound begins a new round if the last one is over.
func (d *Dispatcher) startRound(now time.Time) {
	round := now.UnixNano() / int64(claimRound)
	if d.claims.round == round {
		return
	}
	d.claims = claims{round: round, draw: d.random()}
	for _, w := range d.queue {
		d.claims.asked[w.ask.standing(now)]++
	}
}

// competition returns who competes for how many places.
func (d *Dispatcher) competition(now time.Time) competition {
	peers := d.peersDemand(now)
	c := competition{
		inTime: float64(peers.InTime) + float64(peers.Arrivals)*claimRound.Seconds()/rateSpan.Seconds(),
		late:   float64(peers.Late),
	}
	for _, b := range d.order {
		if d.isEligible(b, now) {
			c.free += float64(max(0, d.limit(b)-d.load(b, now).Requests))
		}
	}
	return c
}

// mayClaim reports whether this box may take one more of the free places in this round.
func (d *Dispatcher) mayClaim(s standing, c *competition) bool {
	asked, taken := float64(max(1, d.claims.asked[s])), float64(d.claims.taken[s])
	// What was taken in this round was free when it began.
	free, others := c.free+taken, c.inTime
	if s == standsLate {
		free, others = free-c.inTime-float64(d.claims.asked[standsInTime]-d.claims.taken[standsInTime]), c.late
	}
	part := free / (others + asked)
	return part >= 1 || taken < math.Floor(max(0, part)*asked+d.claims.draw)
}

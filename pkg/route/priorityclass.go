package route

import (
	"slices"
	"time"
)

// PriorityClasses is the number of priority classes: priorities range from 0, the most urgent, to 9. Others count as the
// nearest of these, so that what a box keeps by class is bounded.
const PriorityClasses = 10

// ClassDemand is the part of a demand that belongs to one priority class.
type ClassDemand struct {
	Arrivals, InTime, Late int
}

// demandClassCount is the number of demand classes: each priority class has one for the requests within their
// organisations' fair shares, and a less urgent one for the others.
const demandClassCount = 2 * PriorityClasses

// DemandClasses are the parts of a demand by demand class; see DemandClass. They are all zero if the box does not report
// classes.
type DemandClasses [demandClassCount]ClassDemand

// DemandClass returns the index in DemandClasses of the requests of a priority class that are within their organisations'
// fair shares, or of those that exceed them.
func DemandClass(priority int, overShare bool) int {
	if overShare {
		return 2*priority + 1
	}
	return 2 * priority
}

// priorityClass returns the priority class of a request. A resumed response, which precedes all others, is in the most
// urgent class.
func (r *SlotRequest) priorityClass() int { return min(max(r.Priority, 0), PriorityClasses-1) }

// demandClass returns the demand class of a request.
func (r *SlotRequest) demandClass() int { return DemandClass(r.priorityClass(), r.overShare) }

// SetPriorityClasses sets whether the requests of the service have several priorities. If so, the demand is reported by
// class, and scarce slots are allocated to the most urgent class first. Otherwise boxes share slots by their total demand.
func (d *Dispatcher) SetPriorityClasses(several bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if several == d.hasClasses {
		return
	}
	d.hasClasses = several
	d.classArrivals, d.classRetries = [demandClassCount]rateMeter{}, [demandClassCount]scheduledRetries{}
	d.fairShares = [PriorityClasses]fairShares{}
}

func (c *ClassDemand) add(other ClassDemand, sign int) {
	c.Arrivals += sign * other.Arrivals
	c.InTime += sign * other.InTime
	c.Late += sign * other.Late
}

const (
	// guaranteedRate is the lowest rate at which a class is served, relative to that of all requests. Callers need a
	// quarter; the rest covers slots that no box takes because the boxes' views differ.
	guaranteedRate = 0.3
	// idleClassWeight is the weight of a box without demand of a class. It is well below idleWeight because idle boxes are
	// the majority in each class, and a slot that they are allocated is not used for a round.
	idleClassWeight = 0.001
	// noClass is the class of a slot that no class needs in the current round.
	noClass = demandClassCount
)

// classShares are the parts of the free slots of one round that are allocated to each class. Guaranteed parts come
// first, then those of the most urgent class.
type classShares struct {
	// guaranteed and total are upper bounds of the classes' ranges within [0, 1), in ascending order.
	guaranteed, total [demandClassCount]float64
}

// perRound returns how many requests of the class take a slot in the current round: those queued in time and those that
// arrive. For the latter, slots are reserved that less urgent requests would take first; more of them would be left
// unused until the next round.
func (c *ClassDemand) perRound() float64 {
	return float64(c.InTime) + float64(c.Arrivals)*allocationRound.Seconds()/rateWindow.Seconds()
}

// divide returns the shares of the classes in a number of slots, given the demand at all boxes.
func (c *DemandClasses) divide(slots float64) (shares classShares) {
	if slots <= 0 {
		return shares
	}
	arrivals := 0.0
	for i := range c {
		arrivals += float64(c[i].Arrivals)
	}
	var guaranteed [demandClassCount]float64
	bound := 0.0
	for i := range c {
		if arrivals > 0 {
			guaranteed[i] = min(c[i].perRound()/slots, guaranteedRate*float64(c[i].Arrivals)/arrivals)
		}
		bound += guaranteed[i]
		shares.guaranteed[i] = bound
	}
	for i := range c {
		bound += max(0, min(1-bound, c[i].perRound()/slots-guaranteed[i]))
		shares.total[i] = bound
	}
	return shares
}

// class returns the class that a slot is allocated to, by its position in [0, 1). guaranteed is set if the slot is in the
// guaranteed range of the class, which requests of more urgent classes may not use.
func (s *classShares) class(position float64) (class int, guaranteed bool) {
	for class, bound := range s.guaranteed {
		if position < bound {
			return class, true
		}
	}
	for class, bound := range s.total {
		if position < bound {
			return class, false
		}
	}
	return noClass, false
}

// allClasses returns the demand by class at this box and its peers.
func (d *Dispatcher) allClasses(now time.Time) DemandClasses {
	own, peers := d.demand(now), d.totalPeerDemand(now)
	for i := range own.Classes {
		own.Classes[i].add(peers.Classes[i], 1)
	}
	return own.Classes
}

// allocationWeightIn returns the weight of a box in the allocation of a slot to a class.
func (d *Demand) allocationWeightIn(class int) float64 {
	if class == noClass {
		return d.allocationWeight()
	}
	return d.Classes[class].perRound() + idleClassWeight
}

// reportsClasses reports whether the demand has classes or is empty. Older boxes report none.
func (d *Demand) reportsClasses() bool {
	return d.Classes != DemandClasses{} || d.InTime == 0 && d.Late == 0 && d.Arrivals == 0
}

// keepOwnClassShare limits the candidates to the free slots that are allocated to this box and to the class of a request.
// A late request gets only slots that no request in time needs.
func (d *Dispatcher) keepOwnClassShare(req *SlotRequest, contention *contention, now time.Time) {
	own, all := d.demand(now), d.allClasses(now)
	shares := all.divide(contention.free)
	kept := d.candidates[:0]
	for _, c := range d.candidates {
		if d.isRateLimited(c.backend) {
			kept = append(kept, c)
			continue
		}
		if share := d.remainingClassShare(c.backend, req, int(c.room), &shares, &own, contention.round, now); share > 0 {
			c.room = float64(share)
			kept = append(kept, c)
		}
	}
	d.candidates = kept
}

// remainingClassShare returns how many more of a server's free slots a request of this box may choose from in a round.
func (d *Dispatcher) remainingClassShare(b *backend, req *SlotRequest, free int, shares *classShares, own *Demand, round int64, now time.Time) int {
	b.startRound(round)
	owned, allowed, requestClass := 0, 0, req.demandClass()
	for i := range free + b.takenInRound {
		slot := freeSlot{b.server.ID, i, round}
		class, guaranteed := shares.class(slot.position())
		if !d.ownsInClass(slot, class, own) {
			continue
		}
		owned++
		switch {
		case class == noClass, class == requestClass && !req.isLate(now), class > requestClass && !guaranteed && !req.isLate(now):
			allowed++
		}
	}
	return min(owned-b.takenInRound, allowed-b.takenByClass[requestClass])
}

// ownsInClass reports whether a slot of a class is allocated to this box. A box that reports no classes takes the slots
// that its total demand gives it, so the others leave it these.
func (d *Dispatcher) ownsInClass(slot freeSlot, class int, own *Demand) bool {
	ownScore := slot.score(d.self, own.allocationWeightIn(class))
	hasOlder := false
	for box, demand := range d.peerDemands.boxes {
		if !demand.reportsClasses() {
			hasOlder = true
		} else if slot.score(box, demand.allocationWeightIn(class)) > ownScore {
			return false
		}
	}
	return !hasOlder || !d.olderBoxOwns(slot, own)
}

// olderBoxOwns reports whether a slot is allocated to a box that reports no classes.
func (d *Dispatcher) olderBoxOwns(slot freeSlot, own *Demand) bool {
	best, bestOlder := slot.score(d.self, own.allocationWeight()), 0.0
	for box, demand := range d.peerDemands.boxes {
		score := slot.score(box, demand.allocationWeight())
		best = max(best, score)
		if !demand.reportsClasses() {
			bestOlder = max(bestOlder, score)
		}
	}
	return bestOlder >= best
}

// grantByClass does what grant does for a service with several classes. A slot that this box has released is allocated
// to a class like any other. If it is in the guaranteed range of a class, a request of that class gets it first; if
// it is needed for more urgent requests at other boxes, it is left to them.
func (d *Dispatcher) grantByClass(freed *backend, now time.Time) {
	freedClass := noClass
	if freed != nil && len(d.queue) > 0 {
		var guaranteed bool
		if freedClass, guaranteed = d.drawClass(now); guaranteed && d.grantFirst(freedClass, freed, now) {
			freed = nil
		}
	}
	for _, late := range []bool{false, true} {
		for i := 0; i < len(d.queue); {
			req := d.queue[i].req
			if req.isLate(now) != late {
				i++
				continue
			}
			usable := freed
			if freedClass != noClass && (late || req.demandClass() > freedClass) {
				usable = nil
			}
			reservation := d.choose(req, usable, now)
			if reservation == nil {
				i = d.nextAfter(i)
				continue
			}
			if reservation.backend == freed {
				freed = nil
			}
			d.grantTo(i, reservation)
		}
	}
}

// grantFirst grants a released slot to the first request of a class, and reports whether it did.
func (d *Dispatcher) grantFirst(class int, freed *backend, now time.Time) bool {
	i := d.firstInTime(class, now)
	if i < 0 {
		return false
	}
	reservation := d.choose(d.queue[i].req, freed, now)
	if reservation == nil {
		return false
	}
	d.grantTo(i, reservation)
	return reservation.backend == freed
}

// nextAfter returns the index of the next request to try if there is no slot for the one at index i. If that could run on
// any server, there is none for the others of its priority either.
func (d *Dispatcher) nextAfter(i int) int {
	req := d.queue[i].req
	for i++; !req.isConfined() && i < len(d.queue) && d.queue[i].req.rank() == req.rank(); {
		i++
	}
	return i
}

// drawClass draws the class that a slot released at this box is allocated to, from the demand at all boxes for the slots
// that are free or released within a round.
func (d *Dispatcher) drawClass(now time.Time) (class int, guaranteed bool) {
	all, capacity := d.allClasses(now), d.currentCapacity(now)
	shares := all.divide(float64(max(0, capacity.free)) + capacity.maxRate*allocationRound.Seconds())
	class, guaranteed = shares.class(d.random())
	if guaranteed && d.firstInTime(class, now) < 0 {
		// Another box serves this class; the slot is one of the others.
		bound := shares.guaranteed[demandClassCount-1]
		return shares.class(bound + (1-bound)*d.random())
	}
	return class, guaranteed
}

// firstInTime returns the index of the first queued request of a class that is in time; -1 if there is none.
func (d *Dispatcher) firstInTime(class int, now time.Time) int {
	return slices.IndexFunc(d.queue, func(queued *QueuedRequest) bool {
		return queued.req.demandClass() == class && !queued.req.isLate(now)
	})
}

// grantTo passes a reservation to the request at index i of the queue, and removes it from there.
func (d *Dispatcher) grantTo(i int, reservation *Reservation) {
	queued := d.queue[i]
	d.dequeue(i)
	queued.onGranted(reservation)
}

// expectedClassWait returns how long a request that is in time waits for a slot if the service has several classes:
// behind the more urgent requests that are queued at all boxes and that arrive meanwhile, and among those of its class.
// The guaranteed rate of the class limits the wait.
func (d *Dispatcher) expectedClassWait(req *SlotRequest, now time.Time) time.Duration {
	own, peers, class := d.demand(now), d.totalPeerDemand(now), req.demandClass()
	capacity := d.currentCapacity(now)
	rate := capacity.maxRate * capacity.allowedShare(req)
	if rate == 0 {
		rate = 1 / d.typicalHoldTime.Seconds()
	}
	urgent, urgentRate, arrivals := 0.0, 0.0, 0.0
	for i := range own.Classes {
		both := own.Classes[i]
		both.add(peers.Classes[i], 1)
		arrivals += float64(both.Arrivals)
		if i < class {
			urgent += float64(both.InTime)
			urgentRate += float64(both.Arrivals) / rateWindow.Seconds()
		}
	}
	ownQueued := own.Classes[class].InTime
	if !req.queued {
		ownQueued++
	}
	inClass := ownQueued + peers.Classes[class].InTime
	share := max(1/float64(d.boxes), float64(ownQueued)/float64(inClass))
	ahead := float64(d.aheadInClass(req, now)+1) / share
	wait := (urgent + ahead) / max(1e-3, rate-urgentRate)
	if arrivals > 0 {
		classArrivals := float64(own.Classes[class].Arrivals + peers.Classes[class].Arrivals)
		wait = min(wait, ahead/max(1e-3, rate*guaranteedRate*classArrivals/arrivals))
	}
	return time.Duration(wait * float64(time.Second))
}

// aheadInClass returns how many requests of the same class that are in time get a slot of this box before req.
func (d *Dispatcher) aheadInClass(req *SlotRequest, now time.Time) int {
	ahead := 0
	for _, queued := range d.queue {
		if other := queued.req; other != req && other.demandClass() == req.demandClass() && !other.isLate(now) && !other.startBy.After(req.startBy) {
			ahead++
		}
	}
	return ahead
}

// moreUrgent returns the number of requests of more urgent classes that are queued at all boxes.
func (d *Dispatcher) moreUrgent(req *SlotRequest, now time.Time) int {
	if !d.hasClasses {
		return 0
	}
	all, sum := d.allClasses(now), 0
	for _, class := range all[:DemandClass(req.priorityClass(), false)] {
		sum += class.InTime + class.Late
	}
	return sum
}

// QueueLenByClass returns the number of queued requests by priority class; ok is false if the service has one class.
func (d *Dispatcher) QueueLenByClass(now time.Time) (lengths [PriorityClasses]int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hasClasses {
		return lengths, false
	}
	for class, demand := range d.demand(now).Classes {
		lengths[class/2] += demand.InTime + demand.Late
	}
	return lengths, true
}

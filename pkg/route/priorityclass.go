package route

// PriorityClasses is the number of priority classes: priorities range from 0, the most urgent, to 9. Others count as the
// nearest of these, so that what a box keeps by class is bounded.
const PriorityClasses = 10

// ClassDemand is the part of a demand that belongs to one priority class.
type ClassDemand struct {
	Arrivals, InTime, Late int
}

// DemandClasses are the parts of a demand by priority class. They are all zero if the box does not report classes.
type DemandClasses [PriorityClasses]ClassDemand

// priorityClass returns the priority class of a request. A resumed response, which precedes all others, is in the most
// urgent class.
func (r *SlotRequest) priorityClass() int { return min(max(r.Priority, 0), PriorityClasses-1) }

// SetPriorityClasses sets whether the requests of the service have several priorities. If so, the demand is reported by
// class, and scarce slots are allocated to the most urgent class first. Otherwise boxes share slots by their total demand.
func (d *Dispatcher) SetPriorityClasses(several bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if several == d.hasClasses {
		return
	}
	d.hasClasses = several
	d.classArrivals = [PriorityClasses]rateMeter{}
}

func (c *ClassDemand) add(other ClassDemand, sign int) {
	c.Arrivals += sign * other.Arrivals
	c.InTime += sign * other.InTime
	c.Late += sign * other.Late
}

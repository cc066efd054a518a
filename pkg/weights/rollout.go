package weights

import "time"

// Turn says when one server is swapped to newer weights. The servers of a service
// go one after the other, so that capacity stays up.
type Turn struct {
	// Named is when the newer version was named, Barred when the weights that the
	// server has may no longer start requests.
	Named, Barred time.Time
	// Place is the server's place in the order, from 0, among so many servers.
	Place, Servers int
}

const (
	// turnsBegin is after which part of the time between naming and bar the first
	// server is swapped: before, hardly any copy is whole.
	turnsBegin = 0.31
	// turnTime is for how long a server is out of service for a swap.
	turnTime = 900 * time.Millisecond
	// turnsReserve is left between the end of the last swap and the bar, because
	// requests that were sent shortly before the bar have to begin before it.
	turnsReserve = time.Second
	// lateSpread is the part of the remaining time over which servers are spread
	// whose copies came after their turn.
	lateSpread = 0.6
)

// At returns when the server is to be swapped whose copy was whole at a time.
func (t Turn) At(whole time.Time) time.Time {
	first := t.Named.Add(time.Duration(turnsBegin * float64(t.Barred.Sub(t.Named))))
	last := t.Barred.Add(-turnsReserve - turnTime)
	if !last.After(first) {
		return whole
	}
	turn := t.within(first, last, 1)
	if !whole.After(turn) {
		return turn
	}
	if !last.After(whole) {
		return whole
	}
	return t.within(whole, last, lateSpread)
}

// within returns the place's moment in a part of the time between two others.
func (t Turn) within(from, to time.Time, part float64) time.Time {
	return from.Add(time.Duration(part * float64(to.Sub(from)) * float64(t.Place) / float64(max(1, t.Servers))))
}

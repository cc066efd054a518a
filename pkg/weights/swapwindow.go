package weights

import "time"

// SwapWindow says when one server is swapped to newer weights. The servers of a service
// go one after the other, so that capacity stays up.
type SwapWindow struct {
	// Published is when the newer version was named, Barred when the weights that the
	// server has may no longer start requests.
	Published, Cutoff time.Time
	// Position is the server's place in the order, from 0, among so many servers.
	Position, Servers int
}

const (
	// firstSwapFraction is after which part of the time between naming and bar the first
	// server is swapped: before, hardly any copy is whole.
	firstSwapFraction = 0.31
	// swapDuration is for how long a server is out of service for a swap.
	swapDuration = 900 * time.Millisecond
	// cutoffMargin is left between the end of the last swap and the bar, because
	// requests that were sent shortly before the bar have to begin before it.
	cutoffMargin = time.Second
	// lateSpreadFraction is the part of the remaining time over which servers are spread
	// whose copies came after their turn.
	lateSpreadFraction = 0.6
)

// Start returns when the server is to be swapped whose copy was whole at a time.
func (t SwapWindow) Start(whole time.Time) time.Time {
	first := t.Published.Add(time.Duration(firstSwapFraction * float64(t.Cutoff.Sub(t.Published))))
	last := t.Cutoff.Add(-cutoffMargin - swapDuration)
	if !last.After(first) {
		return whole
	}
	turn := t.spread(first, last, 1)
	if !whole.After(turn) {
		return turn
	}
	if !last.After(whole) {
		return whole
	}
	return t.spread(whole, last, lateSpreadFraction)
}

// spread returns the place's moment in a part of the time between two others.
func (t SwapWindow) spread(from, to time.Time, part float64) time.Time {
	return from.Add(time.Duration(part * float64(to.Sub(from)) * float64(t.Position) / float64(max(1, t.Servers))))
}

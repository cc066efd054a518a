package route

import "math"

// candidate is a server that a request may be sent to.
type candidate struct {
	backend *backend
	// cost is the cost of sending a request to the server, costPerRequest by how much each request
	// raises it.
	cost, costPerRequest float64
	// penalty is the cost without that of the slots in use.
	penalty float64
	// room is how many more requests the server can accept.
	room float64
}

// filled returns how many requests raise the server's cost to the given level.
func (c *candidate) filled(level float64) float64 {
	return min(c.room, max(0, (level-c.cost)/c.costPerRequest))
}

// levelIterations is the number of bisection steps in the search for the cost level: the costs of
// servers differ by a few units at most, and a request costs about 0.1.
const levelIterations = 12

// pickBackend chooses a server at random. Entry boxes choose concurrently without knowledge of each
// other's choice, so if each chose the cheapest server, all would choose the same one. Therefore
// the requests expected at all boxes in one round are assumed to fill the cheapest servers up to a
// common cost level, and the probability of each server is proportional to the requests that it
// would get (see M. Dahlin, Interpreting Stale Load Information, 1999). The argument point is a
// random number in [0, 1).
func pickBackend(candidates []candidate, expected, point float64) *backend {
	if len(candidates) == 0 {
		return nil
	}
	low, high, room := math.Inf(1), math.Inf(-1), 0.0
	for i := range candidates {
		c := &candidates[i]
		low = min(low, c.cost)
		high = max(high, c.cost+c.room*c.costPerRequest)
		room += c.room
	}
	expected = max(1, min(expected, room))
	for range levelIterations {
		if level := (low + high) / 2; filledAll(candidates, level) < expected {
			low = level
		} else {
			high = level
		}
	}
	point *= filledAll(candidates, high)
	for i := range candidates {
		if point -= candidates[i].filled(high); point < 0 {
			return candidates[i].backend
		}
	}
	return candidates[len(candidates)-1].backend
}

func filledAll(candidates []candidate, level float64) float64 {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].filled(level)
	}
	return sum
}

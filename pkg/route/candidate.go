package route

import "math"

// candidate is a server that a request may be sent to.
type candidate struct {
	backend *backend
	// cost is what it costs to send a request there, costPerRequest by how much each one
	// raises that.
	cost, costPerRequest float64
	// room is how many more requests the server may get.
	room float64
}

// filled is how many requests bring the server to a level of cost.
func (c *candidate) filled(level float64) float64 {
	return min(c.room, max(0, (level-c.cost)/c.costPerRequest))
}

// levelIterations is how often the interval is halved in which the level is looked for; the
// costs of servers differ by a few units at most, a request costs about a tenth.
const levelIterations = 12

// pickBackend draws a server. Entry boxes choose at the same time without knowing of each
// other; if each took the cheapest, all would go there. So the requests that come in one
// round, at all boxes, are thought to fill the cheapest servers to a common level, and
// each server is drawn by what it would get (load interpretation: M. Dahlin,
// Interpreting Stale Load Information, 1999).
func pickBackend(candidates []candidate, coming, drawn float64) *backend {
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
	coming = max(1, min(coming, room))
	for range levelIterations {
		if level := (low + high) / 2; filledAll(candidates, level) < coming {
			low = level
		} else {
			high = level
		}
	}
	drawn *= filledAll(candidates, high)
	for i := range candidates {
		if drawn -= candidates[i].filled(high); drawn < 0 {
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

package plan

import (
	"math"
	"slices"
)

// Demand is the demand of one row for a share of its model's pool. Floor, Ceiling and Requested are shares from 0 to 1.
type Demand struct {
	Weight  float64
	Floor   float64
	Ceiling float64
	// Requested is the share that the group could use now. A floor is granted even if less is requested, so that
	// the capacity is ready for a burst.
	Requested float64
}

// bisectionSteps is the number of halvings of the interval for the water level. The remaining error of a share is far
// below one replica.
const bisectionSteps = 80

// Shares divides a pool by weighted max-min fairness with floors and ceilings. The shares sum to 1, or to less if the
// ceilings and requested shares do not use the whole pool. Floors that sum to more than 1 are scaled down
// proportionally.
func Shares(demands []Demand) []float64 {
	low := make([]float64, len(demands))
	high := make([]float64, len(demands))
	floorSum := 0.0
	for i, demand := range demands {
		low[i] = demand.Floor
		high[i] = math.Max(demand.Floor, math.Min(demand.Ceiling, demand.Requested))
		floorSum += demand.Floor
	}
	if floorSum > 1 {
		for i := range low {
			low[i] /= floorSum
		}
		return low
	}
	return waterFill(demands, low, high)
}

// waterFill returns the shares at the level where they add up to the whole pool. A share is level times weight, limited
// to the bounds low and high of its demand.
func waterFill(demands []Demand, low, high []float64) []float64 {
	sharesAt := func(level float64) ([]float64, float64) {
		shares := make([]float64, len(demands))
		sum := 0.0
		for i, demand := range demands {
			shares[i] = math.Min(high[i], math.Max(low[i], level*demand.Weight))
			sum += shares[i]
		}
		return shares, sum
	}
	bottom, top := 0.0, 0.0
	for _, demand := range demands {
		top = math.Max(top, 1/demand.Weight)
	}
	if shares, sum := sharesAt(top); sum <= 1 {
		return shares
	}
	for range bisectionSteps {
		middle := (bottom + top) / 2
		if _, sum := sharesAt(middle); sum > 1 {
			top = middle
		} else {
			bottom = middle
		}
	}
	shares, _ := sharesAt(bottom)
	return shares
}

// Apportion converts shares to whole replicas by the largest remainder method. Each share above 0 gets at least one
// replica if there are enough.
func Apportion(shares []float64, replicas int) []int {
	counts := make([]int, len(shares))
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	if sum <= 0 || replicas <= 0 {
		return counts
	}
	type remainder struct {
		index    int
		fraction float64
	}
	remainders := make([]remainder, 0, len(shares))
	remaining := replicas
	for i, share := range shares {
		exact := share / sum * float64(replicas)
		counts[i] = int(exact)
		remaining -= counts[i]
		remainders = append(remainders, remainder{i, exact - float64(counts[i])})
	}
	slices.SortStableFunc(remainders, func(a, b remainder) int {
		switch {
		case a.fraction > b.fraction:
			return -1
		case a.fraction < b.fraction:
			return 1
		}
		return 0
	})
	for _, r := range remainders[:remaining] {
		counts[r.index]++
	}
	ensureOneReplica(shares, counts)
	return counts
}

// ensureOneReplica gives each share above 0 that has no replica one from the largest count, while that is above 1.
func ensureOneReplica(shares []float64, counts []int) {
	for i, share := range shares {
		if share <= 0 || counts[i] > 0 {
			continue
		}
		largest := 0
		for j := range counts {
			if counts[j] > counts[largest] {
				largest = j
			}
		}
		if counts[largest] > 1 {
			counts[largest]--
			counts[i]++
		}
	}
}

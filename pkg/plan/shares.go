package plan

import (
	"math"
	"slices"
)

// Demand is one row's claim on its model's pool.
type Demand struct {
	Weight  float64
	Floor   float64
	Ceiling float64
	// Requested is the share that the group could use now, 0 to 1. A floor is
	// granted even where less is wanted, so that a burst finds it ready.
	Requested float64
}

// bisectionSteps halves the interval of the water level often enough that shares
// are exact to far below one replica.
const bisectionSteps = 80

// Shares divides a pool by weighted max-min with floors and ceilings. The sum
// is 1 unless all claims are met with less. Floors that sum to more than 1 are
// scaled down together.
func Shares(demands []Demand) []float64 {
	low := make([]float64, len(demands))
	high := make([]float64, len(demands))
	floors := 0.0
	for i, demand := range demands {
		low[i] = demand.Floor
		high[i] = math.Max(demand.Floor, math.Min(demand.Ceiling, demand.Requested))
		floors += demand.Floor
	}
	if floors > 1 {
		for i := range low {
			low[i] /= floors
		}
		return low
	}
	return waterFill(demands, low, high)
}

// waterFill finds the level at which each claim, level times weight kept within its
// bounds, adds up to the whole pool.
func waterFill(demands []Demand, low, high []float64) []float64 {
	at := func(level float64) ([]float64, float64) {
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
	if shares, sum := at(top); sum <= 1 {
		return shares
	}
	for range bisectionSteps {
		middle := (bottom + top) / 2
		if _, sum := at(middle); sum > 1 {
			top = middle
		} else {
			bottom = middle
		}
	}
	shares, _ := at(bottom)
	return shares
}

// Apportion turns shares into whole replicas by largest remainder. Each share
// above 0 gets at least one replica while there are enough.
func Apportion(shares []float64, replicas int) []int {
	counts := make([]int, len(shares))
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	if sum <= 0 || replicas <= 0 {
		return counts
	}
	type rest struct {
		index int
		part  float64
	}
	rests := make([]rest, 0, len(shares))
	left := replicas
	for i, share := range shares {
		exact := share / sum * float64(replicas)
		counts[i] = int(exact)
		left -= counts[i]
		rests = append(rests, rest{i, exact - float64(counts[i])})
	}
	slices.SortStableFunc(rests, func(a, b rest) int {
		switch {
		case a.part > b.part:
			return -1
		case a.part < b.part:
			return 1
		}
		return 0
	})
	for _, r := range rests[:left] {
		counts[r.index]++
	}
	giveOneEach(shares, counts)
	return counts
}

// giveOneEach moves replicas from the largest counts to claims that got none.
func giveOneEach(shares []float64, counts []int) {
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

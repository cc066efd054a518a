package member

// NeighboursPerBox is how many boxes an agent exchanges chunks with.
const NeighboursPerBox = 8

// How many rings there are of each kind; each gives a box two neighbours.
const (
	domainRings = 2
	regionRings = 1
	remoteRings = 1
)

// Neighbours chooses the boxes that a box exchanges chunks with: half of its own
// failure domain, a quarter of its region, the rest of anywhere.
//
// The boxes stand on several rings, each in a hash order of its own, and a box's
// neighbours are those beside it. So each box has as many that choose it as it
// chooses, nobody is crowded and nobody is left out, and a box that comes or goes
// changes the neighbours of two others on each ring.
func Neighbours(self Record, candidates []Record) []Record {
	domain := func(r Record) bool { return r.FailureDomain == self.FailureDomain && r.Region == self.Region }
	region := func(r Record) bool { return r.Region == self.Region }
	anywhere := func(Record) bool { return true }
	var chosen []Record
	add := func(name string, rings int, belongs func(Record) bool) {
		for ring := range rings {
			for _, record := range ringNeighbours(name+string(rune('0'+ring)), self, candidates, belongs) {
				if !containsBox(chosen, record.Box) {
					chosen = append(chosen, record)
				}
			}
		}
	}
	add("domain", domainRings, domain)
	add("region", regionRings, region)
	add("far", remoteRings, anywhere)
	// Small groups share their neighbours, so further rings fill up.
	for ring := 0; len(chosen) < NeighboursPerBox && ring < NeighboursPerBox; ring++ {
		add("more"+string(rune('0'+ring)), 1, anywhere)
	}
	return chosen
}

func containsBox(records []Record, box BoxID) bool {
	for _, record := range records {
		if record.Box == box {
			return true
		}
	}
	return false
}

// ringNeighbours returns the boxes before and after a box on one ring.
func ringNeighbours(ring string, self Record, candidates []Record, belongs func(Record) bool) []Record {
	own := Score(ring, string(self.Box))
	var before, after, first, last *Record
	var beforeScore, afterScore, firstScore, lastScore uint64
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Box == self.Box || !belongs(*candidate) {
			continue
		}
		score := Score(ring, string(candidate.Box))
		if score < own && (before == nil || score > beforeScore) {
			before, beforeScore = candidate, score
		}
		if score >= own && (after == nil || score < afterScore) {
			after, afterScore = candidate, score
		}
		if first == nil || score < firstScore {
			first, firstScore = candidate, score
		}
		if last == nil || score > lastScore {
			last, lastScore = candidate, score
		}
	}
	if first == nil {
		return nil
	}
	if before == nil {
		before = last
	}
	if after == nil {
		after = first
	}
	if before.Box == after.Box {
		return []Record{*before}
	}
	return []Record{*before, *after}
}

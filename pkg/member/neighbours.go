package member

// NeighboursPerBox is the number of boxes that an agent exchanges chunks with.
const NeighboursPerBox = 8

// Number of rings of each kind. Each ring gives a box two neighbours.
const (
	domainRings = 2
	regionRings = 1
	remoteRings = 1
)

// Neighbours returns the boxes that a box exchanges chunks with: half are from its
// own failure domain, a quarter from its region and the rest from any region.
//
// The boxes form several rings, each in its own hash order. The neighbours of a box
// are the boxes directly before and after it on each ring. Each box is therefore
// chosen by as many boxes as it chooses, so no box is overloaded or isolated. A box
// that is added or removed changes the neighbours of two others on each ring.
func Neighbours(self Record, candidates []Record) []Record {
	domain := func(r Record) bool { return r.FailureDomain == self.FailureDomain && r.Region == self.Region }
	region := func(r Record) bool { return r.Region == self.Region }
	anywhere := func(Record) bool { return true }
	var chosen []Record
	add := func(name string, rings int, eligible func(Record) bool) {
		for ring := range rings {
			for _, record := range ringNeighbours(name+string(rune('0'+ring)), self, candidates, eligible) {
				if !containsBox(chosen, record.Box) {
					chosen = append(chosen, record)
				}
			}
		}
	}
	add("domain", domainRings, domain)
	add("region", regionRings, region)
	add("far", remoteRings, anywhere)
	// In small groups, several rings give the same neighbours. Further rings fill up the list.
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
func ringNeighbours(ring string, self Record, candidates []Record, eligible func(Record) bool) []Record {
	ownScore := Score(ring, string(self.Box))
	var before, after, first, last *Record
	var beforeScore, afterScore, firstScore, lastScore uint64
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Box == self.Box || !eligible(*candidate) {
			continue
		}
		score := Score(ring, string(candidate.Box))
		if score < ownScore && (before == nil || score > beforeScore) {
			before, beforeScore = candidate, score
		}
		if score >= ownScore && (after == nil || score < afterScore) {
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

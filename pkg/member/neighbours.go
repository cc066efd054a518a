package member

// NeighboursPerBox is how many boxes an agent exchanges chunks with.
const NeighboursPerBox = 8

// Neighbours chooses the boxes that a box exchanges chunks with: half of its own
// failure domain, a quarter of its region, the rest of anywhere, so that chunks
// also cross. Within each part the choice is by rendezvous, so that it is spread
// and stays while the candidates do.
func Neighbours(self Record, candidates []Record) []Record {
	records := make(map[BoxID]Record, len(candidates))
	var domain, region, far []BoxID
	for _, candidate := range candidates {
		records[candidate.Box] = candidate
		switch {
		case candidate.Box == self.Box:
		case candidate.FailureDomain == self.FailureDomain:
			domain = append(domain, candidate.Box)
		case candidate.Region == self.Region:
			region = append(region, candidate.Box)
		default:
			far = append(far, candidate.Box)
		}
	}
	chosen := Rank(string(self.Box), domain, NeighboursPerBox/2)
	chosen = append(chosen, Rank(string(self.Box), region, NeighboursPerBox/4)...)
	chosen = append(chosen, Rank(string(self.Box), far, NeighboursPerBox-len(chosen))...)
	out := make([]Record, 0, len(chosen))
	for _, box := range chosen {
		out = append(out, records[box])
	}
	return out
}

package plan

import (
	"maps"
	"slices"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// placeReplicas chooses the boxes of each version, up to its target. Boxes that already hold the version come
// first. The others are added from the failure domains with the fewest boxes of the version.
func (p *modelPlan) placeReplicas(targets map[table.ModelVersion]int) map[table.ModelVersion][]member.BoxID {
	replicas := make(map[table.ModelVersion][]member.BoxID, len(targets))
	taken := make(map[member.BoxID]bool, len(p.pool))
	versions := slices.Sorted(maps.Keys(targets))
	spreads := make(map[table.ModelVersion]*domainSpread, len(versions))
	for _, version := range versions {
		spreads[version] = &domainSpread{count: make(map[member.FailureDomain]int)}
		holders := p.byDomain(func(box *member.Record) bool { return p.holds(box, version) })
		replicas[version] = spreads[version].fill(nil, targets[version], holders, taken)
	}
	free := p.byDomain(func(box *member.Record) bool { return !taken[box.Box] })
	for _, version := range versions {
		replicas[version] = spreads[version].fill(replicas[version], targets[version], free, taken)
	}
	return replicas
}

// domainBoxes groups boxes by failure domain, sorted by box id.
type domainBoxes struct {
	domains []member.FailureDomain
	boxes   map[member.FailureDomain][]member.BoxID
}

func (p *modelPlan) byDomain(include func(*member.Record) bool) *domainBoxes {
	out := &domainBoxes{boxes: make(map[member.FailureDomain][]member.BoxID)}
	for i := range p.pool {
		box := &p.pool[i]
		if include(box) {
			out.boxes[box.FailureDomain] = append(out.boxes[box.FailureDomain], box.Box)
		}
	}
	out.domains = slices.Sorted(maps.Keys(out.boxes))
	return out
}

// next returns the first box of a domain that is not taken.
func (d *domainBoxes) next(domain member.FailureDomain, taken map[member.BoxID]bool) (member.BoxID, bool) {
	for boxes := d.boxes[domain]; len(boxes) > 0; boxes = d.boxes[domain] {
		if !taken[boxes[0]] {
			return boxes[0], true
		}
		d.boxes[domain] = boxes[1:]
	}
	return "", false
}

// domainSpread counts the boxes of one version in each failure domain.
type domainSpread struct {
	count map[member.FailureDomain]int
}

// fill adds candidates to the chosen boxes up to the target, each from the failure domain with the fewest boxes of
// the version.
func (s *domainSpread) fill(chosen []member.BoxID, target int, candidates *domainBoxes, taken map[member.BoxID]bool) []member.BoxID {
	for len(chosen) < target {
		var best member.BoxID
		var bestDomain member.FailureDomain
		found := false
		for _, domain := range candidates.domains {
			if found && s.count[domain] >= s.count[bestDomain] {
				continue
			}
			if box, ok := candidates.next(domain, taken); ok {
				best, bestDomain, found = box, domain, true
			}
		}
		if !found {
			return chosen
		}
		chosen = append(chosen, best)
		taken[best] = true
		s.count[bestDomain]++
	}
	return chosen
}

// holds reports whether a box has the version or is assigned it by the previous plan.
func (p *modelPlan) holds(box *member.Record, version table.ModelVersion) bool {
	if p.in.Previous.Boxes[box.Box].includes(p.model, version) {
		return true
	}
	return slices.ContainsFunc(box.Copies, func(c member.Copy) bool {
		return c.Model == p.model && c.Version == version
	})
}

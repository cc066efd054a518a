package plan

import (
	"math"
	"slices"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
)

func (p *modelPlan) liveOn(version table.ModelVersion) int { return p.live[version] }

// countLive counts, for each version, the boxes of the pool that have it live and whose previous assignment, if any,
// includes it.
func (p *modelPlan) countLive() {
	p.live = make(map[table.ModelVersion]int)
	for i := range p.pool {
		for _, version := range p.retainedVersions(&p.pool[i]) {
			p.live[version]++
		}
	}
}

// retainedVersions returns the versions that a box has live and that its previous assignment, if any, includes.
func (p *modelPlan) retainedVersions(box *member.Record) []table.ModelVersion {
	before, assigned := p.in.Previous.Boxes[box.Box]
	var versions []table.ModelVersion
	for _, c := range box.Copies {
		isLive := c.Model == p.model && c.Phase == member.PhaseLive
		if isLive && (!assigned || before.includes(c.Model, c.Version)) {
			versions = append(versions, c.Version)
		}
	}
	return versions
}

// assign sets the assignment of each box: the versions that rows still need there, then the target version. If both do
// not fit, the box drops a retained version that more boxes hold than the floors of its rows require. If there is
// none, the target waits.
func (p *modelPlan) assign(next *Plan, replicas map[table.ModelVersion][]member.BoxID) {
	target := make(map[member.BoxID]table.ModelVersion)
	for version, boxes := range replicas {
		for _, box := range boxes {
			target[box] = version
		}
	}
	retained := p.newRetention(next)
	for i := range p.pool {
		box := &p.pool[i]
		assignment := next.Boxes[box.Box]
		room := max(1, box.Slots) - len(assignment.Versions) - p.reservedSlots(box)
		for _, version := range retained.fit(box, target[box.Box], room) {
			if digest, ok := p.manifest(version); ok {
				assignment.Versions = append(assignment.Versions, PinnedVersion{Model: p.model, Version: version, Manifest: digest})
			}
		}
		next.Boxes[box.Box] = assignment
	}
}

// reservedSlots returns the number of slots held for models that are planned after this one, so a new version of one
// model never displaces a version in service of another.
func (p *modelPlan) reservedSlots(box *member.Record) int {
	count := 0
	before := p.in.Previous.Boxes[box.Box]
	for _, c := range box.Copies {
		if c.Model > p.model && p.in.models[c.Model] && before.includes(c.Model, c.Version) {
			count++
		}
	}
	return count
}

// retention decides which old versions stay on which boxes.
type retention struct {
	plan *modelPlan
	// kept counts the boxes that still hold a version; required is the number of boxes that have to.
	kept     map[table.ModelVersion]int
	required map[table.ModelVersion]int
	// recent marks versions that recently stopped serving.
	recent map[table.ModelVersion]bool
}

func (p *modelPlan) newRetention(next *Plan) *retention {
	r := &retention{
		plan:     p,
		kept:     make(map[table.ModelVersion]int),
		required: make(map[table.ModelVersion]int),
		recent:   make(map[table.ModelVersion]bool),
	}
	floors := make(map[table.ModelVersion]float64)
	for _, row := range p.rows {
		decided := next.Rows[row.Key()]
		floors[decided.Serving] += row.Floor
		if decided.Previous != "" {
			r.recent[decided.Previous] = true
		}
	}
	for version, floor := range floors {
		r.required[version] = max(1, int(math.Ceil(floor*float64(len(p.pool)))))
	}
	for i := range p.pool {
		for _, version := range r.neededVersions(&p.pool[i]) {
			r.kept[version]++
		}
	}
	return r
}

// neededVersions returns the versions retained on the box that serve a row or recently did.
func (r *retention) neededVersions(box *member.Record) []table.ModelVersion {
	versions := slices.DeleteFunc(r.plan.retainedVersions(box), func(version table.ModelVersion) bool {
		return r.required[version] == 0 && !r.recent[version]
	})
	slices.Sort(versions)
	return versions
}

func (a Assignment) includes(model table.Model, version table.ModelVersion) bool {
	return slices.ContainsFunc(a.Versions, func(w PinnedVersion) bool { return w.Model == model && w.Version == version })
}

// fit returns the versions of the model to assign to a box with the given number of free slots.
func (r *retention) fit(box *member.Record, target table.ModelVersion, room int) []table.ModelVersion {
	versions := r.neededVersions(box)
	if target != "" && !slices.Contains(versions, target) {
		for len(versions) >= room {
			surplus := r.surplusVersion(versions)
			if surplus < 0 {
				break
			}
			r.kept[versions[surplus]]--
			versions = slices.Delete(versions, surplus, surplus+1)
		}
		versions = append(versions, target)
	}
	return versions[:max(0, min(room, len(versions)))]
}

// surplusVersion returns the index of the version with the most boxes beyond the required number, or -1 if no version
// has any.
func (r *retention) surplusVersion(versions []table.ModelVersion) int {
	best, most := -1, 0
	for i, version := range versions {
		if surplus := r.kept[version] - r.required[version]; !r.recent[version] && surplus > most {
			best, most = i, surplus
		}
	}
	return best
}

package plan

import (
	"math"
	"slices"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
)

func (p *modelPlan) liveOn(version table.ModelVersion) int { return p.live[version] }

// countLive counts the boxes of the pool that have each version live and have
// not been told to drop it.
func (p *modelPlan) countLive() {
	p.live = make(map[table.ModelVersion]int)
	for i := range p.pool {
		for _, version := range p.retainedVersions(&p.pool[i]) {
			p.live[version]++
		}
	}
}

// retainedVersions are the versions that a box has live and has not been told to drop.
func (p *modelPlan) retainedVersions(box *member.Record) []table.ModelVersion {
	before, told := p.in.Previous.Boxes[box.Box]
	var versions []table.ModelVersion
	for _, held := range box.Copies {
		isLive := held.Model == p.model && held.Phase == member.PhaseLive
		if isLive && (!told || before.includes(held.Model, held.Version)) {
			versions = append(versions, held.Version)
		}
	}
	return versions
}

// assign writes each box's assignment: what it must keep while a row is still
// answered by it, then its target. Where both do not fit, a kept version gives
// way on boxes beyond those that the floors of its rows need; if there are none,
// the target waits.
func (p *modelPlan) assign(next *Plan, carriers map[table.ModelVersion][]member.BoxID) {
	target := make(map[member.BoxID]table.ModelVersion)
	for version, boxes := range carriers {
		for _, box := range boxes {
			target[box] = version
		}
	}
	keeping := p.newRetention(next)
	for i := range p.pool {
		box := &p.pool[i]
		assignment := next.Boxes[box.Box]
		room := max(1, box.Slots) - len(assignment.Versions) - p.reservedSlots(box)
		for _, version := range keeping.fit(box, target[box.Box], room) {
			if digest, ok := p.manifest(version); ok {
				assignment.Versions = append(assignment.Versions, PinnedVersion{Model: p.model, Version: version, Manifest: digest})
			}
		}
		next.Boxes[box.Box] = assignment
	}
}

// reservedSlots counts the slots of models that are decided later, so that one model's
// new version never pushes out what another one serves with.
func (p *modelPlan) reservedSlots(box *member.Record) int {
	count := 0
	before := p.in.Previous.Boxes[box.Box]
	for _, held := range box.Copies {
		if held.Model > p.model && p.in.models[held.Model] && before.includes(held.Model, held.Version) {
			count++
		}
	}
	return count
}

// retention decides which old versions stay on which boxes.
type retention struct {
	plan *modelPlan
	// kept counts the boxes that still keep a version, need how many must.
	kept     map[table.ModelVersion]int
	required map[table.ModelVersion]int
	// recent marks versions that were in service until lately.
	recent map[table.ModelVersion]bool
}

func (p *modelPlan) newRetention(next *Plan) *retention {
	k := &retention{
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
			k.recent[decided.Previous] = true
		}
	}
	for version, floor := range floors {
		k.required[version] = max(1, int(math.Ceil(floor*float64(len(p.pool)))))
	}
	for i := range p.pool {
		for _, version := range k.neededVersions(&p.pool[i]) {
			k.kept[version]++
		}
	}
	return k
}

// neededVersions are those that stay on the box and some row is or was answered by.
func (k *retention) neededVersions(box *member.Record) []table.ModelVersion {
	versions := slices.DeleteFunc(k.plan.retainedVersions(box), func(version table.ModelVersion) bool {
		return k.required[version] == 0 && !k.recent[version]
	})
	slices.Sort(versions)
	return versions
}

func (a Assignment) includes(model table.Model, version table.ModelVersion) bool {
	return slices.ContainsFunc(a.Versions, func(w PinnedVersion) bool { return w.Model == model && w.Version == version })
}

// fit returns what the box is to carry of the model in the room that it has.
func (k *retention) fit(box *member.Record, target table.ModelVersion, room int) []table.ModelVersion {
	versions := k.neededVersions(box)
	if target != "" && !slices.Contains(versions, target) {
		for len(versions) >= room {
			spare := k.surplusVersion(versions)
			if spare < 0 {
				break
			}
			k.kept[versions[spare]]--
			versions = slices.Delete(versions, spare, spare+1)
		}
		versions = append(versions, target)
	}
	return versions[:max(0, min(room, len(versions)))]
}

// surplusVersion is the version with the most boxes beyond its need; -1 if there is none.
func (k *retention) surplusVersion(versions []table.ModelVersion) int {
	best, most := -1, 0
	for i, version := range versions {
		if surplus := k.kept[version] - k.required[version]; !k.recent[version] && surplus > most {
			best, most = i, surplus
		}
	}
	return best
}

// Package plan decides from the table and the boxes which box carries which
// version, which share each group gets, and which version answers each group.
//
// Next is a pure decision over its input: it does no I/O, reads no clock and
// gives the same plan for the same input. A plan is kept as one item for each
// box and each row, so that a change moves only what it touches.
//
// A row whose version changes keeps its old version in service until enough
// boxes have the new one live to keep the group's floor; the old version then
// stays loaded for a while, so that an entry box that has not heard of the
// change yet is still answered.
//
// # Usage
//
//	next := plan.Next(plan.Input{Rows: rows, Boxes: boxes, Previous: previous, Now: now, Options: plan.DefaultOptions()})
//	for box, assignment := range next.Boxes { ... }
//	for key, row := range next.Rows { ... }
package plan

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// Key prefixes of the plan's items in a state.Store.
const (
	BoxPrefix = "plan/box/"
	RowPrefix = "plan/row/"
	HeadKey   = "plan/head"
)

// PinnedVersion is one version of a model, pinned by its manifest.
type PinnedVersion struct {
	Model    table.Model        `json:"model" cbor:"1,keyasint,omitempty"`
	Version  table.ModelVersion `json:"version" cbor:"2,keyasint,omitempty"`
	Manifest weights.Digest     `json:"manifest" cbor:"3,keyasint,omitempty"`
}

// Assignment is what one box carries.
type Assignment struct {
	Versions []PinnedVersion `json:"weights" cbor:"1,keyasint,omitempty"`
}

// RowPlan is what is in force for one row.
type RowPlan struct {
	Share float64 `json:"share" cbor:"1,keyasint,omitempty"`
	// Serving answers the group's requests; Target is the table's version.
	Serving table.ModelVersion `json:"serving" cbor:"2,keyasint,omitempty"`
	Target  table.ModelVersion `json:"target" cbor:"3,keyasint,omitempty"`
	// Previous stays loaded until Until.
	Previous    table.ModelVersion `json:"previous,omitempty" cbor:"4,keyasint,omitempty"`
	RetainUntil time.Time          `json:"until,omitzero" cbor:"5,keyasint,omitzero"`
	// Replicas is how many boxes carry Target, Live on how many it is loaded.
	Replicas int `json:"replicas" cbor:"6,keyasint,omitempty"`
	Live     int `json:"live" cbor:"7,keyasint,omitempty"`
	// WaitReason says why Serving is not Target yet.
	WaitReason string `json:"waits,omitempty" cbor:"8,keyasint,omitempty"`
}

// Head names a plan as a whole.
type Head struct {
	Epoch    uint64         `json:"epoch" cbor:"1,keyasint,omitempty"`
	Sequence uint64         `json:"sequence" cbor:"2,keyasint,omitempty"`
	Planner  member.BoxID   `json:"planner" cbor:"3,keyasint,omitempty"`
	Table    table.Revision `json:"table" cbor:"4,keyasint,omitempty"`
}

// Plan is everything decided.
type Plan struct {
	Boxes map[member.BoxID]Assignment
	Rows  map[table.Key]RowPlan
}

// Options tunes the decision.
type Options struct {
	// Retention is how long a version that no longer serves stays loaded; longer
	// than a change takes to be in force everywhere.
	Retention time.Duration
	// ReadyFraction is the part of a version's reachable replicas that must be live
	// before it answers, beside the group's floor.
	ReadyFraction float64
}

// DefaultOptions holds for changes in force within 8 s.
func DefaultOptions() Options {
	return Options{Retention: 10 * time.Second, ReadyFraction: 0.5}
}

// Input is all that a plan depends on.
type Input struct {
	Rows []table.Row
	// Boxes are the agents' records, silent and leaving ones included.
	Boxes []member.Record
	// Manifests pins every version that is known to be published.
	Manifests map[table.Model]map[table.ModelVersion]weights.Digest
	Previous  Plan
	Now       time.Time
	Options   Options

	// models holds the models of the rows.
	models map[table.Model]bool
}

// The reasons for which a row waits.
const (
	reasonVersionNotFound = "version not found in the weight store"
	reasonNoBoxUp         = "no box of the pool is up"
	reasonTooFewLive      = "too few boxes have the version live"
	reasonNoRoom          = "too few boxes have room for it beside the version in service"
)

// Next returns the plan that follows from the input.
func Next(in Input) Plan {
	next := Plan{Boxes: make(map[member.BoxID]Assignment), Rows: make(map[table.Key]RowPlan)}
	byModel := make(map[table.Model][]table.Row)
	for _, row := range in.Rows {
		byModel[row.Model] = append(byModel[row.Model], row)
	}
	in.models = make(map[table.Model]bool, len(byModel))
	for model := range byModel {
		in.models[model] = true
	}
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		newModelPlan(&in, model, byModel[model]).decide(&next)
	}
	in.keepUnreachable(&next)
	return next
}

// keepUnreachable leaves the assignment of a box that is silent or leaving as it
// was, so that a short silence moves no weights.
func (in *Input) keepUnreachable(next *Plan) {
	for _, box := range in.Boxes {
		before, had := in.Previous.Boxes[box.Box]
		if box.Status != member.StatusUp && had {
			next.Boxes[box.Box] = before
		}
	}
}

// modelPlan works on one model at a time.
type modelPlan struct {
	in    *Input
	model table.Model
	rows  []table.Row
	pool  []member.Record
	live  map[table.ModelVersion]int
}

func newModelPlan(in *Input, model table.Model, rows []table.Row) *modelPlan {
	p := &modelPlan{in: in, model: model, rows: rows}
	table.SortRows(p.rows)
	for _, box := range in.Boxes {
		if box.Status == member.StatusUp && box.Role == member.RoleAgent && slices.Contains(box.Models, model) {
			p.pool = append(p.pool, box)
		}
	}
	slices.SortFunc(p.pool, func(a, b member.Record) int {
		if a.Box < b.Box {
			return -1
		}
		return 1
	})
	p.countLive()
	return p
}

func (p *modelPlan) decide(next *Plan) {
	shares := p.shares()
	targets := p.targets(shares)
	carriers := p.placeReplicas(targets)
	for i, row := range p.rows {
		next.Rows[row.Key()] = p.rowPlan(row, shares[i], carriers[row.Version])
	}
	p.assign(next, carriers)
}

func (p *modelPlan) shares() []float64 {
	demands := make([]Demand, 0, len(p.rows))
	for _, row := range p.rows {
		demands = append(demands, Demand{
			Weight: row.Weight, Floor: row.Floor, Ceiling: row.Ceiling, Requested: 1,
		})
	}
	return Shares(demands)
}

// targets returns how many boxes each published version gets.
func (p *modelPlan) targets(shares []float64) map[table.ModelVersion]int {
	byVersion := make(map[table.ModelVersion]float64)
	for i, row := range p.rows {
		if _, published := p.manifest(row.Version); published {
			byVersion[row.Version] += shares[i]
		}
	}
	versions := slices.Sorted(maps.Keys(byVersion))
	parts := make([]float64, len(versions))
	for i, version := range versions {
		parts[i] = byVersion[version]
	}
	targets := make(map[table.ModelVersion]int, len(versions))
	for i, count := range Apportion(parts, len(p.pool)) {
		targets[versions[i]] = count
	}
	return targets
}

func (p *modelPlan) manifest(version table.ModelVersion) (weights.Digest, bool) {
	digest, ok := p.in.Manifests[p.model][version]
	return digest, ok
}

func (p *modelPlan) rowPlan(row table.Row, share float64, carriers []member.BoxID) RowPlan {
	before := p.in.Previous.Rows[row.Key()]
	out := RowPlan{
		Share: share, Target: row.Version, Serving: before.Serving,
		Previous: before.Previous, RetainUntil: before.RetainUntil,
		Replicas: len(carriers), Live: p.liveOn(row.Version),
	}
	if out.Serving == "" {
		out.Serving = p.initialServing(row)
	}
	if out.Serving != row.Version {
		out.WaitReason = p.waitReason(row, &out)
		if out.WaitReason == "" {
			out.Previous = out.Serving
			out.RetainUntil = p.in.Now.Add(p.in.Options.Retention).UTC().Round(0)
			out.Serving = row.Version
		}
	}
	if !out.RetainUntil.IsZero() && !p.in.Now.Before(out.RetainUntil) {
		out.Previous = ""
		out.RetainUntil = time.Time{}
	}
	return out
}

// initialServing is for a row without a plan: a new planner that lost the old
// plan must not take a version out of service that is live, so it prefers the
// table's version only where it is live or nothing else is.
func (p *modelPlan) initialServing(row table.Row) table.ModelVersion {
	if p.liveOn(row.Version) > 0 {
		return row.Version
	}
	best, most := row.Version, 0
	for _, version := range slices.Sorted(maps.Keys(p.live)) {
		if p.live[version] > most {
			best, most = version, p.live[version]
		}
	}
	return best
}

// waitReason says why the row's version cannot answer yet; empty if it can.
func (p *modelPlan) waitReason(row table.Row, out *RowPlan) string {
	if _, published := p.manifest(row.Version); !published {
		return reasonVersionNotFound
	}
	if len(p.pool) == 0 {
		return reasonNoBoxUp
	}
	floor := int(math.Ceil(row.Floor * float64(len(p.pool))))
	assigned := p.assignedCount(row.Version)
	ready := int(math.Ceil(p.in.Options.ReadyFraction * float64(min(out.Replicas, max(1, assigned)))))
	need := max(1, min(out.Replicas, floor), ready)
	switch {
	case out.Live >= need:
		return ""
	case assigned > 0 && assigned < need:
		return reasonNoRoom
	}
	return reasonTooFewLive
}

// assignedCount counts the boxes that the previous plan gave a version to. It can
// be fewer than are to carry it, where old versions still take the room.
func (p *modelPlan) assignedCount(version table.ModelVersion) int {
	count := 0
	for i := range p.pool {
		if p.in.Previous.Boxes[p.pool[i].Box].includes(p.model, version) {
			count++
		}
	}
	return count
}

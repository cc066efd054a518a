// Package plan decides which box holds which model version, which share of the model's pool each group gets, and which
// version serves each group.
//
// Next is a pure function: it does no I/O, reads no clock and returns the same plan for the same input. A plan is
// stored as one item per box and one per row, so a change rewrites only the affected items.
//
// When the version of a row changes, the old version stays in service until enough boxes have the new one live to
// meet the group's floor. The old version then stays loaded for some time, because entry boxes that have not received
// the change yet still send requests to it.
//
// # Usage
//
//	next := plan.Next(plan.Input{
//		Rows: rows, Boxes: boxes, Manifests: manifests,
//		Previous: previous, Now: now, Options: plan.DefaultOptions(),
//	})
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

// Keys of the plan's items in a state.Store: the prefixes for boxes and rows, and the key of the head.
const (
	BoxPrefix = "plan/box/"
	RowPrefix = "plan/row/"
	HeadKey   = "plan/head"
)

// PinnedVersion is one version of a model together with the digest of its manifest.
type PinnedVersion struct {
	Model    table.Model        `json:"model" cbor:"1,keyasint,omitempty"`
	Version  table.ModelVersion `json:"version" cbor:"2,keyasint,omitempty"`
	Manifest weights.Digest     `json:"manifest" cbor:"3,keyasint,omitempty"`
}

// Assignment lists the versions that one box has to hold.
type Assignment struct {
	Versions []PinnedVersion `json:"weights" cbor:"1,keyasint,omitempty"`
}

// RowPlan is the plan for one row of the table.
type RowPlan struct {
	Share float64 `json:"share" cbor:"1,keyasint,omitempty"`
	// Serving is the version that serves the group's requests; Target is the version in the table.
	Serving table.ModelVersion `json:"serving" cbor:"2,keyasint,omitempty"`
	Target  table.ModelVersion `json:"target" cbor:"3,keyasint,omitempty"`
	// Previous is the version that served before and stays loaded until RetainUntil.
	Previous    table.ModelVersion `json:"previous,omitempty" cbor:"4,keyasint,omitempty"`
	RetainUntil time.Time          `json:"until,omitzero" cbor:"5,keyasint,omitzero"`
	// Replicas is the number of boxes chosen for Target, Live the number of boxes that have it loaded.
	Replicas int `json:"replicas" cbor:"6,keyasint,omitempty"`
	Live     int `json:"live" cbor:"7,keyasint,omitempty"`
	// WaitReason states why Serving is not Target yet; empty if it is.
	WaitReason string `json:"waits,omitempty" cbor:"8,keyasint,omitempty"`
}

// Head identifies a plan: the planner, its epoch and sequence, and the table revision that the plan is for.
type Head struct {
	Epoch    uint64         `json:"epoch" cbor:"1,keyasint,omitempty"`
	Sequence uint64         `json:"sequence" cbor:"2,keyasint,omitempty"`
	Planner  member.BoxID   `json:"planner" cbor:"3,keyasint,omitempty"`
	Table    table.Revision `json:"table" cbor:"4,keyasint,omitempty"`
}

// Plan holds the assignments of all boxes and the plans of all rows.
type Plan struct {
	Boxes map[member.BoxID]Assignment
	Rows  map[table.Key]RowPlan
}

// Options configures Next.
type Options struct {
	// Retention is how long a version stays loaded after it stops serving. It has to be longer than a change
	// takes to apply everywhere.
	Retention time.Duration
	// ReadyFraction is the fraction of a version's reachable assigned replicas that must be live before it
	// serves, in addition to the group's floor.
	ReadyFraction float64
}

// DefaultOptions returns options for changes that apply everywhere within 8 s.
func DefaultOptions() Options {
	return Options{Retention: 10 * time.Second, ReadyFraction: 0.5}
}

// Input is everything that a plan depends on.
type Input struct {
	Rows []table.Row
	// Boxes holds the records of the agents, including silent and leaving ones.
	Boxes []member.Record
	// Manifests holds the manifest digest of every version that is known to be published.
	Manifests map[table.Model]map[table.ModelVersion]weights.Digest
	Previous  Plan
	Now       time.Time
	Options   Options

	// models is the set of models in the rows.
	models map[table.Model]bool
}

// The values of RowPlan.WaitReason.
const (
	reasonVersionNotFound = "version not found in the weight store"
	reasonNoBoxUp         = "no box of the pool is up"
	reasonTooFewLive      = "too few boxes have the version live"
	reasonNoRoom          = "too few boxes have room for it beside the version in service"
)

// Next returns the plan for the input.
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

// keepUnreachable keeps the previous assignment of a box that is silent or leaving, so a short outage moves no
// weights.
func (in *Input) keepUnreachable(next *Plan) {
	for _, box := range in.Boxes {
		before, had := in.Previous.Boxes[box.Box]
		if box.Status != member.StatusUp && had {
			next.Boxes[box.Box] = before
		}
	}
}

// modelPlan computes the plan of one model.
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
	replicas := p.placeReplicas(targets)
	for i, row := range p.rows {
		next.Rows[row.Key()] = p.rowPlan(row, shares[i], replicas[row.Version])
	}
	p.assign(next, replicas)
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

// targets returns the number of boxes for each published version.
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

func (p *modelPlan) rowPlan(row table.Row, share float64, replicas []member.BoxID) RowPlan {
	before := p.in.Previous.Rows[row.Key()]
	out := RowPlan{
		Share: share, Target: row.Version, Serving: before.Serving,
		Previous: before.Previous, RetainUntil: before.RetainUntil,
		Replicas: len(replicas), Live: p.liveOn(row.Version),
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

// initialServing returns the version that serves a row without a previous plan. It is the table's version if that is
// live on any box or no version is live, otherwise the version that is live on the most boxes: a planner that lost the
// previous plan must not take a live version out of service.
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

// waitReason returns why the row's version cannot serve yet; empty if it can.
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
	required := max(1, min(out.Replicas, floor), ready)
	switch {
	case out.Live >= required:
		return ""
	case assigned > 0 && assigned < required:
		return reasonNoRoom
	}
	return reasonTooFewLive
}

// assignedCount returns the number of boxes that the previous plan assigns a version. It can be below the number of
// chosen boxes while older versions still occupy the slots.
func (p *modelPlan) assignedCount(version table.ModelVersion) int {
	count := 0
	for i := range p.pool {
		if p.in.Previous.Boxes[p.pool[i].Box].includes(p.model, version) {
			count++
		}
	}
	return count
}

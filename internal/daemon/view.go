package daemon

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// tableRowPrefix is the key prefix of the table's rows in the store. The item tableHeadKey
// holds the revision of the table.
const (
	tableRowPrefix = "table/row/"
	tableHeadKey   = "table/head"
)

// reportedEpochKey is the key of the highest epoch that a box reported to hold an assignment of. The version of the
// item is the epoch.
const reportedEpochKey = "plan/reported"

// versionedAssignment is a box's assignment with the version of its replicated item.
type versionedAssignment struct {
	plan.Assignment
	version state.Version
	raw     []byte
}

// View holds the decoded replicated items, indexed for routing and planning. One goroutine
// follows the store and applies each changed item.
type View struct {
	store  *state.Store
	log    zerolog.Logger
	router *route.Router
	tasks  *kernel.TaskGroup

	mu      sync.RWMutex
	members map[member.BoxID]member.Record
	rows    map[table.Key]table.Row
	// models and groups hold the number of rows for each model and group.
	models          map[table.Model]int
	groups          map[table.Group]int
	revision        table.Revision
	assignments     map[member.BoxID]versionedAssignment
	rowPlans        map[table.Key]plan.RowPlan
	head            plan.Head
	reportedEpoch   uint64
	swarms          map[weights.Digest]map[member.BoxID]bool
	changed         chan struct{}
	shareGeneration uint64
	entryGeneration uint64
	// entryCache is recomputed when entryGeneration differs from entryCacheGeneration.
	entryCache           map[member.Region][]member.Record
	entryCacheGeneration uint64
	// leavingHints holds the incarnations of the boxes that the platform lists as leaving.
	leavingHints map[member.BoxID]member.Incarnation
}

// NewView returns a view that follows a store and updates a router for callers of a region.
func NewView(store *state.Store, region member.Region, log zerolog.Logger) *View {
	v := &View{
		store: store, log: log,
		router:       route.NewRouter(region),
		tasks:        kernel.NewTaskGroup(),
		members:      make(map[member.BoxID]member.Record),
		rows:         make(map[table.Key]table.Row),
		models:       make(map[table.Model]int),
		groups:       make(map[table.Group]int),
		assignments:  make(map[member.BoxID]versionedAssignment),
		rowPlans:     make(map[table.Key]plan.RowPlan),
		swarms:       make(map[weights.Digest]map[member.BoxID]bool),
		changed:      make(chan struct{}),
		leavingHints: make(map[member.BoxID]member.Incarnation),
	}
	v.tasks.Go(v.follow)
	return v
}

// String returns the service's name.
func (v *View) String() string { return "view" }

// Stop stops following the store.
func (v *View) Stop(ctx context.Context) error { return v.tasks.Stop(ctx) }

// Router returns the router that the view updates.
func (v *View) Router() *route.Router { return v.router }

func (v *View) follow(ctx context.Context) {
	var cursor state.Cursor
	for {
		changed := v.store.Changed()
		batch := v.store.Since(cursor, 0)
		cursor = batch.Next
		if len(batch.Items) > 0 {
			v.apply(batch.Items)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (v *View) apply(items []state.Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, item := range items {
		if err := v.applyItem(item); err != nil {
			v.log.Error().Str("key", item.Key).Err(err).Msg("cannot decode replicated item; skipping it")
		}
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *View) applyItem(item state.Item) error {
	switch {
	case strings.HasPrefix(item.Key, member.KeyPrefix):
		return v.applyMember(item)
	case strings.HasPrefix(item.Key, leavingPrefix):
		return v.applyLeavingHint(item)
	case strings.HasPrefix(item.Key, tableRowPrefix):
		return v.applyRow(item)
	case strings.HasPrefix(item.Key, plan.RowPrefix):
		v.shareGeneration++
		return applyRowValue(v.rowPlans, plan.RowPrefix, item)
	case strings.HasPrefix(item.Key, plan.BoxPrefix):
		return v.applyAssignment(item)
	case item.Key == tableHeadKey:
		return state.Decode(item.Value, &v.revision)
	case item.Key == plan.HeadKey:
		return state.Decode(item.Value, &v.head)
	case item.Key == reportedEpochKey:
		v.reportedEpoch = item.Version.Major
	}
	return nil
}

// applyRow stores or deletes a row and updates the counts of its model and group.
func (v *View) applyRow(item state.Item) error {
	v.shareGeneration++
	key := rowKey(tableRowPrefix, item)
	if _, had := v.rows[key]; had {
		v.countRow(key, -1)
	}
	err := applyRowValue(v.rows, tableRowPrefix, item)
	if _, has := v.rows[key]; has {
		v.countRow(key, 1)
	}
	return err
}

func (v *View) countRow(key table.Key, by int) {
	v.models[key.Model] += by
	v.groups[key.Group] += by
	if v.models[key.Model] == 0 {
		delete(v.models, key.Model)
	}
	if v.groups[key.Group] == 0 {
		delete(v.groups, key.Group)
	}
}

func rowKey(prefix string, item state.Item) table.Key {
	group, model, _ := strings.Cut(strings.TrimPrefix(item.Key, prefix), "/")
	return table.Key{Group: table.Group(group), Model: table.Model(model)}
}

func (v *View) applyMember(item state.Item) error {
	box := member.BoxID(strings.TrimPrefix(item.Key, member.KeyPrefix))
	v.shareGeneration++
	if item.Deleted {
		if v.members[box].Role == member.RoleEntry {
			v.entryGeneration++
		}
		delete(v.members, box)
		delete(v.leavingHints, box)
		v.router.Remove(box)
		return nil
	}
	record, err := member.ParseRecord(item.Value)
	if err != nil {
		return err
	}
	v.setMember(record)
	return nil
}

// setMember stores a record. It applies the platform's hint that the box is leaving.
func (v *View) setMember(record member.Record) {
	if record.Status == member.StatusUp && v.leavingHints[record.Box] == record.Incarnation {
		record.Status = member.StatusLeaving
	}
	if record.Role == member.RoleEntry {
		v.entryGeneration++
	}
	v.members[record.Box] = record
	v.router.Set(record)
}

func (v *View) applyLeavingHint(item state.Item) error {
	box := member.BoxID(strings.TrimPrefix(item.Key, leavingPrefix))
	v.leavingHints[box] = member.Incarnation(item.Version.Major)
	if record, ok := v.members[box]; ok {
		v.shareGeneration++
		v.setMember(record)
	}
	return nil
}

func (v *View) applyAssignment(item state.Item) error {
	box := member.BoxID(strings.TrimPrefix(item.Key, plan.BoxPrefix))
	for _, pinned := range v.assignments[box].Versions {
		delete(v.swarms[pinned.Manifest], box)
		if len(v.swarms[pinned.Manifest]) == 0 {
			delete(v.swarms, pinned.Manifest)
		}
	}
	if item.Deleted {
		delete(v.assignments, box)
		return nil
	}
	next := versionedAssignment{version: item.Version, raw: item.Value}
	if err := state.Decode(item.Value, &next.Assignment); err != nil {
		return err
	}
	v.assignments[box] = next
	for _, pinned := range next.Versions {
		if v.swarms[pinned.Manifest] == nil {
			v.swarms[pinned.Manifest] = make(map[member.BoxID]bool)
		}
		v.swarms[pinned.Manifest][box] = true
	}
	return nil
}

// applyRowValue stores or deletes the value of an item under the row key in the item's key.
func applyRowValue[V any](values map[table.Key]V, prefix string, item state.Item) error {
	key := rowKey(prefix, item)
	if item.Deleted {
		delete(values, key)
		return nil
	}
	var value V
	if err := state.Decode(item.Value, &value); err != nil {
		return err
	}
	values[key] = value
	return nil
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// ShareGeneration returns a number that changes with every item that can affect shares.
func (v *View) ShareGeneration() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.shareGeneration
}

// EntryGeneration returns a number that changes with the record of any entry box.
func (v *View) EntryGeneration() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.entryGeneration
}

// Rows returns the sorted rows of the current table and its revision.
func (v *View) Rows() ([]table.Row, table.Revision) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	rows := slices.Collect(maps.Values(v.rows))
	table.SortRows(rows)
	return rows, v.revision
}

// Members returns all records, sorted by box.
func (v *View) Members() []member.Record {
	v.mu.RLock()
	defer v.mu.RUnlock()
	records := slices.Collect(maps.Values(v.members))
	slices.SortFunc(records, func(a, b member.Record) int { return strings.Compare(string(a.Box), string(b.Box)) })
	return records
}

// Member returns the record of a box.
func (v *View) Member(box member.BoxID) (member.Record, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	record, ok := v.members[box]
	return record, ok
}

// Entries returns the records of the entry boxes of a region that are up, sorted by box. An empty
// region means all regions. The returned slice is shared and must not be modified.
func (v *View) Entries(region member.Region) []member.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.entryCacheGeneration != v.entryGeneration || v.entryCache == nil {
		v.entryCacheGeneration = v.entryGeneration
		v.entryCache = v.entriesByRegion()
	}
	return v.entryCache[region]
}

func (v *View) entriesByRegion() map[member.Region][]member.Record {
	entries := make(map[member.Region][]member.Record)
	for _, record := range v.members {
		if record.Role == member.RoleEntry && record.Status == member.StatusUp {
			entries[""] = append(entries[""], record)
			entries[record.Region] = append(entries[record.Region], record)
		}
	}
	for _, records := range entries {
		slices.SortFunc(records, func(a, b member.Record) int { return strings.Compare(string(a.Box), string(b.Box)) })
	}
	return entries
}

// Plan returns the current plan and its head.
func (v *View) Plan() (plan.Plan, plan.Head) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	current := plan.Plan{
		Boxes: make(map[member.BoxID]plan.Assignment, len(v.assignments)),
		Rows:  maps.Clone(v.rowPlans),
	}
	for box, assigned := range v.assignments {
		current.Boxes[box] = assigned.Assignment
	}
	return current, v.head
}

// PlanHead returns the head of the current plan, which identifies it.
func (v *View) PlanHead() plan.Head {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.head
}

// LatestEpoch returns the highest epoch that is known: that of the plan in force, or that of an assignment that a box
// holds, which is higher if all entry boxes have started anew.
func (v *View) LatestEpoch() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return max(v.head.Epoch, v.reportedEpoch)
}

// RowPlans returns the current plan of every row.
func (v *View) RowPlans() map[table.Key]plan.RowPlan {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.rowPlans)
}

// RowPlan returns the current plan of the row for a group and model.
func (v *View) RowPlan(key table.Key) (plan.RowPlan, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	row, ok := v.rowPlans[key]
	return row, ok
}

// HasModel reports whether the table has a row for the model.
func (v *View) HasModel(model table.Model) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.models[model] > 0
}

// HasGroup reports whether the table has a row for the group.
func (v *View) HasGroup(group table.Group) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.groups[group] > 0
}

func (v *View) assignment(box member.BoxID) (versionedAssignment, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	assigned, ok := v.assignments[box]
	return assigned, ok
}

// Swarm returns the boxes that are assigned a manifest, sorted by box.
func (v *View) Swarm(manifest weights.Digest) []member.BoxID {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Sorted(maps.Keys(v.swarms[manifest]))
}

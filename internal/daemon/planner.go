package daemon

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// Keys of the planner in the key-value service: the lease, and the head of the newest plan.
// A planner replaces the head by compare-and-swap before it publishes a plan.
const (
	plannerLeaseKey = "cinderslip/planner"
	planHeadKey     = "cinderslip/plan"
)

const (
	// plannerLeaseTTL is the time after which the lease of a failed planner expires, so that another one
	// can acquire it. It is longer than several calls to a slow key-value service that takes
	// 2 seconds for each.
	plannerLeaseTTL      = 10 * time.Second
	plannerRenewInterval = 2 * time.Second
	// plannerPollInterval is the interval at which a relay without the lease checks whether the lease is free.
	plannerPollInterval = time.Second
	// minPlanInterval is the minimum pause between two plans. After a large plan, the pause is
	// planPauseFactor times the time to compute it, which limits the planner to 3% of a core.
	// After the pause, the planner waits for a change, at most for maxPlanInterval, because
	// some decisions depend on time alone.
	minPlanInterval = 200 * time.Millisecond
	planPauseFactor = 30
	maxPlanInterval = time.Second
	// startupHeartbeats is the number of heartbeat intervals for which a planner without a previous
	// plan waits, so that boxes can report which versions they hold.
	startupHeartbeats = 2
	// manifestRetryDelay is the time after a failed manifest lookup before the next attempt.
	manifestRetryDelay = 2 * time.Second
)

// errSuperseded means that another planner holds the lease or has a newer epoch.
var errSuperseded = errors.New("another planner has taken over")

// Planner computes plans while it holds the lease. Its epoch is the revision of the key-value
// service at which it acquired the lease, so epochs only increase. After a restore of the service
// its revisions may be lower than epochs that boxes know; then the epoch is the next one after
// these. A new planner first writes its epoch into the plan head. If the previous planner was
// paused beyond its lease, the compare-and-swap of its next plan therefore fails.
type Planner struct {
	self    member.BoxID
	kv      provider.KeyValue
	sources []provider.WeightSource
	view    *View
	replica *Replica
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	isRelay func() bool
	tasks   *kernel.TaskGroup
	options plan.Options
	// heartbeatInterval is the time between two heartbeats of a box.
	heartbeatInterval time.Duration
	// versionResolved triggers a new plan after the manifest of a version was pinned.
	versionResolved chan struct{}

	mu             sync.Mutex
	manifests      map[table.Model]map[table.ModelVersion]weights.Digest
	lookupFailures map[table.Model]map[table.ModelVersion]time.Time
}

// NewPlanner starts a planner, which tries to acquire the lease while isRelay returns true.
func NewPlanner(self member.BoxID, kv provider.KeyValue, sources []provider.WeightSource, view *View, replica *Replica,
	clock clockwork.Clock, log zerolog.Logger, metrics *Metrics, isRelay func() bool, heartbeat time.Duration,
) *Planner {
	p := &Planner{
		self: self, kv: kv, sources: sources, view: view, replica: replica,
		clock: clock, log: log, metrics: metrics, isRelay: isRelay,
		tasks:             kernel.NewTaskGroup(),
		options:           plan.DefaultOptions(),
		heartbeatInterval: heartbeat,
		versionResolved:   make(chan struct{}, 1),
		manifests:         make(map[table.Model]map[table.ModelVersion]weights.Digest),
		lookupFailures:    make(map[table.Model]map[table.ModelVersion]time.Time),
	}
	p.tasks.Go(p.campaign)
	return p
}

// String returns the service's name.
func (p *Planner) String() string { return "planner" }

// Stop ends planning and releases the lease.
func (p *Planner) Stop(ctx context.Context) error { return p.tasks.Stop(ctx) }

func (p *Planner) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		if p.isRelay() {
			p.campaignOnce(ctx)
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(plannerPollInterval):
		}
	}
}

func (p *Planner) campaignOnce(ctx context.Context) {
	if !p.isLeaseFree(ctx) {
		return
	}
	t, err := p.acquire(ctx)
	if err != nil {
		p.log.Debug().Err(err).Msg("cannot acquire planner lease; retrying")
		return
	}
	p.log.Info().Uint64("epoch", t.epoch).Msg("planner lease acquired")
	p.metrics.isPlanner.Set(1)
	defer p.metrics.isPlanner.Set(0)
	err = p.runTerm(ctx, t)
	p.log.Info().Uint64("epoch", t.epoch).Err(err).Msg("planner term ended; releasing the lease")
	p.release(t)
}

// isLeaseFree reports whether no planner holds the lease. It returns false if the lookup fails.
func (p *Planner) isLeaseFree(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("get").Inc()
	entry, err := p.kv.Get(callCtx, plannerLeaseKey)
	return err == nil && entry.Revision == 0
}

// runTerm computes plans until the lease is lost or a compare-and-swap fails. While the key-value
// service is down, the lease expires and the last plan stays in force.
func (p *Planner) runTerm(ctx context.Context, t *leaseTerm) error {
	if p.view.PlanHead().Epoch == 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.clock.After(startupHeartbeats*p.heartbeatInterval + minPlanInterval):
		}
	}
	resolveCtx, stop := context.WithCancel(ctx)
	defer stop()
	p.tasks.Go(func(context.Context) { p.resolveVersions(resolveCtx) })
	for {
		changed := p.view.Changed()
		started := p.clock.Now()
		if err := p.planOnce(ctx, t); err != nil {
			return err
		}
		pause := max(minPlanInterval, planPauseFactor*t.planDuration)
		p.metrics.planSeconds.Observe(t.planDuration.Seconds())
		p.log.Debug().Dur("taken_ms", p.clock.Since(started)).Dur("pause_ms", pause).Msg("planned")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-t.lost:
			return err
		case <-p.clock.After(pause):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-t.lost:
			return err
		case <-changed:
		case <-p.versionResolved:
		case <-p.clock.After(maxPlanInterval):
		}
	}
}

func (p *Planner) planOnce(ctx context.Context, t *leaseTerm) error {
	if head := p.view.PlanHead(); p.view.LatestEpoch() > t.epoch || head.Epoch == t.epoch && head.Planner != p.self {
		// Boxes ignore plans of this term, or another planner has the same epoch from before a restore. The next term
		// has a later epoch.
		return errSuperseded
	}
	rows, revision := p.view.Rows()
	previous, _ := p.view.Plan()
	members := p.view.Members()
	p.pinFromRecords(members)
	started := p.clock.Now()
	next := plan.Next(plan.Input{
		Rows: rows, Boxes: members, Manifests: p.pins(), Previous: previous, Now: started, Options: p.options,
	})
	t.planDuration = p.clock.Since(started)
	version := state.Version{Major: t.epoch, Minor: t.sequence + 1}
	items, err := planItems(previous, next, version)
	if err != nil {
		return err
	}
	// A plan without changes is still published for a new table revision, so that
	// the plan head shows that the edit is in force.
	if before := p.view.PlanHead(); len(items) == 0 && before.Epoch == t.epoch && before.Table == revision {
		return nil
	}
	head := plan.Head{Epoch: t.epoch, Sequence: version.Minor, Planner: p.self, Table: revision}
	if err := p.compareAndSwapHead(ctx, t, head); err != nil {
		return err
	}
	t.sequence = version.Minor
	value, err := state.Encode(head)
	if err != nil {
		return err
	}
	p.replica.Publish(append(items, state.Item{Key: plan.HeadKey, Version: version, Value: value})...)
	p.log.Info().Uint64("epoch", t.epoch).Uint64("sequence", t.sequence).Int("changes", len(items)).Msg("plan in force")
	p.awaitView(ctx, version)
	return nil
}

// awaitView waits until the view contains the published plan, because the next plan is based on it.
func (p *Planner) awaitView(ctx context.Context, version state.Version) {
	for {
		changed := p.view.Changed()
		head := p.view.PlanHead()
		if (state.Version{Major: head.Epoch, Minor: head.Sequence}).Compare(version) >= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// planItems returns an item for each box and row that differs between two plans,
// with a deletion for those that the next plan lacks.
func planItems(previous, next plan.Plan, version state.Version) ([]state.Item, error) {
	var items []state.Item
	add := func(key string, value any) error {
		raw, err := state.Encode(value)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		items = append(items, state.Item{Key: key, Version: version, Value: raw})
		return nil
	}
	for box, assignment := range next.Boxes {
		if before, had := previous.Boxes[box]; had && reflect.DeepEqual(before, assignment) {
			continue
		}
		if err := add(plan.BoxPrefix+string(box), assignment); err != nil {
			return nil, err
		}
	}
	for key, row := range next.Rows {
		if before, had := previous.Rows[key]; had && before == row {
			continue
		}
		if err := add(plan.RowPrefix+key.String(), row); err != nil {
			return nil, err
		}
	}
	for box := range previous.Boxes {
		if _, kept := next.Boxes[box]; !kept {
			items = append(items, state.Item{Key: plan.BoxPrefix + string(box), Version: version, Deleted: true})
		}
	}
	for key := range previous.Rows {
		if _, kept := next.Rows[key]; !kept {
			items = append(items, state.Item{Key: plan.RowPrefix + key.String(), Version: version, Deleted: true})
		}
	}
	return items, nil
}

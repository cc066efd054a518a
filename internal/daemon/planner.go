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

// The planner's keys in the key-value service: the lease, and the head of the
// newest plan, which every plan must win by compare-and-swap before it is used.
const (
	plannerLeaseKey = "cinderslip/planner"
	planHeadKey     = "cinderslip/plan"
)

const (
	// plannerLeaseTTL is how long a planner that is gone holds up its successor. It
	// outlasts several calls of a key-value service that takes 2 s for each.
	plannerLeaseTTL      = 10 * time.Second
	plannerRenewInterval = 2 * time.Second
	// plannerPollInterval is how often a relay that is not the planner looks.
	plannerPollInterval = time.Second
	// minPlanInterval is the least time between two plans; maxPlanInterval is the most,
	// for what changes with time alone. A large plan waits planPauseFactor times as long
	// as it took to compute, which bounds the planner to 3% of a core.
	minPlanInterval = 200 * time.Millisecond
	planPauseFactor = 30
	maxPlanInterval = time.Second
	// startupHeartbeats is for how many heartbeats a planner that knows no plan waits
	// to be told what the boxes hold.
	startupHeartbeats = 2
	// manifestRetryDelay is how long a version that was not found is not asked for.
	manifestRetryDelay = 2 * time.Second
)

// errSuperseded reports that another planner has taken over.
var errSuperseded = errors.New("another planner has taken over")

// Planner computes plans while it holds the lease. Its epoch is the key-value
// service's revision at which it took the lease, so epochs only go up. A planner
// that was paused beyond its lease loses the compare-and-swap of its next plan
// to its successor, which swaps the head first of all.
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
	// heartbeatInterval is the time between the heartbeats of a box.
	heartbeatInterval time.Duration
	// versionResolved wakes planning when a version was pinned.
	versionResolved chan struct{}

	mu             sync.Mutex
	manifests      map[table.Model]map[table.ModelVersion]weights.Digest
	lookupFailures map[table.Model]map[table.ModelVersion]time.Time
}

// NewPlanner starts to compete for the lease while isRelay holds.
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

// Stop gives the lease back.
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
		p.log.Debug().Err(err).Msg("planner lease not taken")
		return
	}
	p.log.Info().Uint64("epoch", t.epoch).Msg("planner lease taken")
	p.metrics.isPlanner.Set(1)
	defer p.metrics.isPlanner.Set(0)
	err = p.runTerm(ctx, t)
	p.log.Info().Uint64("epoch", t.epoch).Err(err).Msg("planner lease given up")
	p.release(t)
}

// isLeaseFree reports whether nobody holds the lease.
func (p *Planner) isLeaseFree(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("get").Inc()
	held, err := p.kv.Get(callCtx, plannerLeaseKey)
	return err == nil && held.Revision == 0
}

// runTerm plans until the lease or a swap is lost. With the key-value service down
// the lease lapses and the last plan stays in force.
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
	rows, revision := p.view.Rows()
	previous, _ := p.view.Plan()
	members := p.view.Members()
	p.pinHeld(members)
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
	// A plan without changes is still published for a new table, so that its
	// head tells that the edit is in force.
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

// awaitView waits until the view holds the plan just published, which the next
// one builds on.
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

// planItems returns an item for each box and row whose decision changed.
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

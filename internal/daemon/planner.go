package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/platform"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// The planner's keys in the key-value service: the lease, and the head of the
// newest plan, which every plan must win by compare-and-swap before it is used.
const (
	plannerKey  = "cinderslip/planner"
	planHeadKey = "cinderslip/plan"
)

const (
	plannerLease = 5 * time.Second
	// plannerRenew leaves several tries within one lease.
	plannerRenew = 1500 * time.Millisecond
	// plannerPoll is how often a relay that is not the planner looks.
	plannerPoll = time.Second
	// planInterval is the least time between two plans; planPulse is the most,
	// for what changes with time alone. A large plan waits planPace times as long
	// as it took to compute, which bounds the planner to 3% of a core.
	planInterval = 200 * time.Millisecond
	planPace     = 30
	planPulse    = time.Second
	// settleBeats is for how many heartbeats a planner that knows no plan waits
	// to be told what the boxes hold.
	settleBeats = 2
	// manifestRetry is how long a version that was not found is not asked for.
	manifestRetry = 2 * time.Second
)

// errDeposed reports that another planner has taken over.
var errDeposed = errors.New("another planner has taken over")

// Planner computes plans while it holds the lease. Its epoch is the key-value
// service's revision at which it took the lease, so epochs only go up. A planner
// that was paused beyond its lease loses the compare-and-swap of its next plan
// to its successor, which swaps the head first of all.
type Planner struct {
	self    member.BoxID
	kv      platform.KeyValue
	sources []platform.WeightSource
	view    *View
	replica *Replica
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	isRelay func() bool
	duties  *kernel.Duties
	options plan.Options
	// heartbeat is the time between the heartbeats of a box.
	heartbeat time.Duration
	// resolved wakes planning when a version was pinned.
	resolved chan struct{}

	mu        sync.Mutex
	manifests map[table.Model]map[table.ModelVersion]weights.Digest
	missed    map[table.Model]map[table.ModelVersion]time.Time
}

// NewPlanner starts to compete for the lease while isRelay holds.
func NewPlanner(self member.BoxID, kv platform.KeyValue, sources []platform.WeightSource, view *View, replica *Replica,
	clock clockwork.Clock, log zerolog.Logger, metrics *Metrics, isRelay func() bool, heartbeat time.Duration,
) *Planner {
	p := &Planner{
		self: self, kv: kv, sources: sources, view: view, replica: replica,
		clock: clock, log: log, metrics: metrics, isRelay: isRelay,
		duties:    kernel.NewDuties(),
		options:   plan.DefaultOptions(),
		heartbeat: heartbeat,
		resolved:  make(chan struct{}, 1),
		manifests: make(map[table.Model]map[table.ModelVersion]weights.Digest),
		missed:    make(map[table.Model]map[table.ModelVersion]time.Time),
	}
	p.duties.Go(p.compete)
	return p
}

// String returns the service's name.
func (p *Planner) String() string { return "planner" }

// Stop gives the lease back.
func (p *Planner) Stop(ctx context.Context) error { return p.duties.Stop(ctx) }

func (p *Planner) compete(ctx context.Context) {
	for ctx.Err() == nil {
		if p.isRelay() {
			p.tryOnce(ctx)
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(plannerPoll):
		}
	}
}

// tenure is one time of holding the lease.
type tenure struct {
	epoch    uint64
	lease    platform.LeaseID
	sequence uint64
	// headRevision is that of the head in the key-value service, which the next
	// swap expects.
	headRevision platform.Revision
	// computed is how long the last plan took to compute.
	computed time.Duration
	// renewed is when the last renewal that succeeded was sent.
	renewed time.Time
}

func (p *Planner) tryOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("get").Inc()
	held, err := p.kv.Get(callCtx, plannerKey)
	if err != nil || held.Revision != 0 {
		return
	}
	t, err := p.acquire(callCtx)
	if err != nil {
		p.log.Debug().Err(err).Msg("planner lease not taken")
		return
	}
	p.log.Info().Uint64("epoch", t.epoch).Msg("planner lease taken")
	p.metrics.planner.Set(1)
	defer p.metrics.planner.Set(0)
	err = p.serve(ctx, t)
	p.log.Info().Uint64("epoch", t.epoch).Err(err).Msg("planner lease given up")
	p.release(t)
}

func (p *Planner) acquire(ctx context.Context) (*tenure, error) {
	sent := p.clock.Now()
	p.metrics.keyValueCalls.WithLabelValues("lease").Inc()
	lease, err := p.kv.Grant(ctx, plannerLease)
	if err != nil {
		return nil, err
	}
	t := &tenure{lease: lease, renewed: sent}
	p.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	revision, won, err := p.kv.Swap(ctx, plannerKey, []byte(p.self), 0, lease)
	if err == nil && !won {
		err = errDeposed
	}
	if err != nil {
		p.release(t)
		return nil, err
	}
	t.epoch = uint64(revision)
	if err := p.claim(ctx, t); err != nil {
		p.release(t)
		return nil, err
	}
	return t, nil
}

// claim writes the new epoch into the head, after which no plan of an older
// epoch can win its swap.
func (p *Planner) claim(ctx context.Context, t *tenure) error {
	p.metrics.keyValueCalls.WithLabelValues("get").Inc()
	entry, err := p.kv.Get(ctx, planHeadKey)
	if err != nil {
		return err
	}
	var head plan.Head
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &head); err != nil {
			return fmt.Errorf("decoding plan head: %w", err)
		}
	}
	if head.Epoch >= t.epoch {
		return errDeposed
	}
	t.headRevision = entry.Revision
	return p.swapHead(ctx, t, plan.Head{Epoch: t.epoch, Planner: p.self, Table: head.Table})
}

func (p *Planner) swapHead(ctx context.Context, t *tenure, head plan.Head) error {
	value, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encoding plan head: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	revision, won, err := p.kv.Swap(callCtx, planHeadKey, value, t.headRevision, 0)
	if err != nil {
		return err
	}
	if !won {
		return errDeposed
	}
	t.headRevision = revision
	return nil
}

func (p *Planner) release(t *tenure) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := p.kv.Revoke(ctx, t.lease); err != nil {
		p.log.Debug().Err(err).Msg("planner lease not revoked")
	}
}

// serve plans until the lease or a swap is lost. With the key-value service down
// the lease lapses and the last plan stays in force.
func (p *Planner) serve(ctx context.Context, t *tenure) error {
	if p.view.Head().Epoch == 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.clock.After(settleBeats*p.heartbeat + planInterval):
		}
	}
	lost := make(chan error, 1)
	renewCtx, stop := context.WithCancel(ctx)
	defer stop()
	p.duties.Go(func(context.Context) { lost <- p.renew(renewCtx, t.lease, t.renewed) })
	p.duties.Go(func(context.Context) { p.resolve(renewCtx) })
	for {
		changed := p.view.Changed()
		started := p.clock.Now()
		if err := p.planOnce(ctx, t); err != nil {
			return err
		}
		pause := max(planInterval, planPace*t.computed)
		p.metrics.planSeconds.Observe(t.computed.Seconds())
		p.log.Debug().Dur("taken_ms", p.clock.Since(started)).Dur("pause_ms", pause).Msg("planned")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-lost:
			return err
		case <-p.clock.After(pause):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-lost:
			return err
		case <-changed:
		case <-p.resolved:
		case <-p.clock.After(planPulse):
		}
	}
}

// renew keeps the lease, counting its time from when a renewal was sent.
func (p *Planner) renew(ctx context.Context, lease platform.LeaseID, renewed time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.clock.After(plannerRenew):
		}
		sent := p.clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, plannerRenew)
		p.metrics.keyValueCalls.WithLabelValues("lease").Inc()
		err := p.kv.KeepAlive(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			renewed = sent
		case errors.Is(err, platform.ErrLeaseLost):
			return err
		}
		if p.clock.Since(renewed) > plannerLease {
			return platform.ErrLeaseLost
		}
	}
}

func (p *Planner) planOnce(ctx context.Context, t *tenure) error {
	rows, revision := p.view.Rows()
	previous, _ := p.view.Plan()
	members := p.view.Members()
	p.pinHeld(members)
	started := p.clock.Now()
	next := plan.Next(plan.Input{
		Rows: rows, Boxes: members, Manifests: p.pins(), Previous: previous, Now: started, Options: p.options,
	})
	t.computed = p.clock.Since(started)
	version := state.Version{Major: t.epoch, Minor: t.sequence + 1}
	items, err := planItems(previous, next, version)
	if err != nil {
		return err
	}
	// A plan without changes is still published for a new table, so that its
	// head tells that the edit is in force.
	if before := p.view.Head(); len(items) == 0 && before.Epoch == t.epoch && before.Table == revision {
		return nil
	}
	head := plan.Head{Epoch: t.epoch, Sequence: version.Minor, Planner: p.self, Table: revision}
	if err := p.swapHead(ctx, t, head); err != nil {
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
		head := p.view.Head()
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

// pinHeld takes over the pins of what boxes hold, so that a source that is down
// does not matter for versions in use.
func (p *Planner) pinHeld(members []member.Record) {
	for _, record := range members {
		for _, held := range record.Copies {
			if !p.isPinned(held.Model, held.Version) {
				p.setPin(held.Model, held.Version, held.Manifest)
			}
		}
	}
}

// resolve pins the manifest of each version that the table comes to name. It is
// a duty of its own, so that a slow source does not hold up planning.
func (p *Planner) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.view.Changed()
		rows, _ := p.view.Rows()
		for _, row := range rows {
			p.resolveRow(ctx, row)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-p.clock.After(manifestRetry):
		}
	}
}

func (p *Planner) resolveRow(ctx context.Context, row table.Row) {
	if p.isPinned(row.Model, row.Version) || p.missedLately(row) {
		return
	}
	content, err := readManifest(ctx, p.sources, row.Model, row.Version)
	if err == nil {
		_, err = weights.Parse(content, weights.Digest{})
	}
	if err != nil {
		p.log.Warn().Str("model", string(row.Model)).Str("version", string(row.Version)).Err(err).Msg("version cannot be resolved")
		p.miss(row)
		return
	}
	p.setPin(row.Model, row.Version, weights.Sum(content))
	select {
	case p.resolved <- struct{}{}:
	default:
	}
}

func readManifest(ctx context.Context, sources []platform.WeightSource, model table.Model, version table.ModelVersion) ([]byte, error) {
	return fromSources(sources, func(source platform.WeightSource) ([]byte, error) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return source.Manifest(callCtx, model, version)
	})
}

func (p *Planner) isPinned(model table.Model, version table.ModelVersion) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.manifests[model][version]
	return ok
}

func (p *Planner) setPin(model table.Model, version table.ModelVersion, digest weights.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	setNested(p.manifests, model, version, digest)
}

func (p *Planner) miss(row table.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	setNested(p.missed, row.Model, row.Version, p.clock.Now())
}

func (p *Planner) missedLately(row table.Row) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.missed[row.Model][row.Version]
	return ok && p.clock.Since(at) < manifestRetry
}

func setNested[A, B comparable, V any](values map[A]map[B]V, a A, b B, value V) {
	if values[a] == nil {
		values[a] = make(map[B]V)
	}
	values[a][b] = value
}

// pins returns a copy that a plan can read while versions are added.
func (p *Planner) pins() map[table.Model]map[table.ModelVersion]weights.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[table.Model]map[table.ModelVersion]weights.Digest, len(p.manifests))
	for model, versions := range p.manifests {
		for version, digest := range versions {
			setNested(out, model, version, digest)
		}
	}
	return out
}

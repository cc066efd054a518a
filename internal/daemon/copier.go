package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// copyRetry is the wait after a step of a copy that failed.
const copyRetry = 500 * time.Millisecond

// CopierOptions are the parts that a Copier works with.
type CopierOptions struct {
	Self    member.BoxID
	Peers   *Peers
	Store   *weights.MemoryStore
	Sources []provider.WeightSource
	Engine  provider.Engine
	Gate    *Gate
	Heart   *Heart
	Clock   clockwork.Clock
	Log     zerolog.Logger
	Metrics *Metrics
	Picker  weights.PickerOptions
}

// Copier brings the box in line with its assignment: it fetches and verifies
// what is missing, gives the engine its fenced orders, opens the gate for what
// is live, and drains and unloads what is no longer wanted.
type Copier struct {
	options CopierOptions
	duties  *kernel.TaskGroup
	assign  chan assigned

	mu      sync.Mutex
	version state.Version
	copies  map[weights.Digest]*copyJob
	// dropping holds the manifests on their way out. One that is wanted again
	// waits for it, so that a late unload never takes away what is live.
	dropping map[weights.Digest]chan struct{}
}

// copyJob is one version on its way to live and out again.
type copyJob struct {
	weights plan.PinnedVersion
	cancel  context.CancelFunc
	done    chan struct{}
	// fence is the newest plan that wants the version.
	fence provider.FencingToken

	mu         sync.Mutex
	neighbours []weights.Peer
	drawers    []weights.Peer
	addresses  map[string]member.Address
	drawerHash uint64
	swarmed    bool
	fetching   bool
	updated    chan struct{}
}

// NewCopier starts to follow assignments.
func NewCopier(options CopierOptions) *Copier {
	c := &Copier{
		options: options,
		duties:  kernel.NewTaskGroup(),
		assign:  make(chan assigned, 1),
		copies:  make(map[weights.Digest]*copyJob),

		dropping: make(map[weights.Digest]chan struct{}),
	}
	c.duties.Go(c.follow)
	return c
}

// String returns the service's name.
func (c *Copier) String() string { return "copier" }

// Stop ends all copies. What is live stays live.
func (c *Copier) Stop(ctx context.Context) error { return c.duties.Stop(ctx) }

// Fill adds what is in force and what is being fetched to a heartbeat.
func (c *Copier) Fill(request *wire.HeartbeatRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.AssignmentMajor, request.AssignmentMinor = c.version.Major, c.version.Minor
	request.Load = c.options.Gate.load()
	for digest, job := range c.copies {
		job.mu.Lock()
		if job.fetching {
			request.Wanted = append(request.Wanted, &wire.Wanted{Manifest: digest[:], DrawersHash: job.drawerHash})
		}
		job.mu.Unlock()
	}
}

// Answered takes the assignment and the neighbours from a monitor's answer.
func (c *Copier) Answered(answer *wire.HeartbeatResponse) {
	c.takeSwarms(answer.Swarms)
	if len(answer.Assignment) == 0 {
		return
	}
	next := assigned{version: state.Version{Major: answer.AssignmentMajor, Minor: answer.AssignmentMinor}}
	if err := state.Decode(answer.Assignment, &next.Assignment); err != nil {
		c.options.Log.Error().Err(err).Msg("assignment cannot be read")
		return
	}
	c.mu.Lock()
	newer := next.version.Compare(c.version) > 0
	if newer {
		c.version = next.version
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	// Only the newest assignment counts; one that nobody took yet is replaced.
	select {
	case <-c.assign:
	default:
	}
	select {
	case c.assign <- next:
	default:
	}
}

// follow carries out one assignment after the other.
func (c *Copier) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-c.assign:
			c.adopt(ctx, next)
		}
	}
}

func (c *Copier) adopt(ctx context.Context, next assigned) {
	fence := provider.FencingToken{Epoch: next.version.Major, Sequence: next.version.Minor}
	wanted := make(map[weights.Digest]bool)
	for _, w := range next.Versions {
		wanted[w.Manifest] = true
		c.want(ctx, w, fence)
	}
	c.mu.Lock()
	var dropped []*copyJob
	for digest, job := range c.copies {
		if !wanted[digest] {
			dropped = append(dropped, job)
			delete(c.copies, digest)
			c.dropping[digest] = make(chan struct{})
		}
	}
	c.mu.Unlock()
	for _, job := range dropped {
		c.duties.Go(func(ctx context.Context) {
			c.drop(ctx, job, fence)
			c.dropped(job.weights.Manifest)
		})
	}
	c.options.Log.Info().Uint64("epoch", fence.Epoch).Uint64("sequence", fence.Sequence).
		Int("wanted", len(wanted)).Int("dropped", len(dropped)).Msg("assignment taken")
}

// dropped lets a copy of the same manifest begin.
func (c *Copier) dropped(manifest weights.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dropping[manifest])
	delete(c.dropping, manifest)
}

func (c *Copier) want(ctx context.Context, w plan.PinnedVersion, fence provider.FencingToken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job, running := c.copies[w.Manifest]; running {
		job.mu.Lock()
		job.fence = fence
		job.mu.Unlock()
		return
	}
	jobCtx, cancel := context.WithCancel(ctx)
	job := &copyJob{
		weights: w, cancel: cancel, fence: fence,
		done: make(chan struct{}), updated: make(chan struct{}, 1),
		addresses: make(map[string]member.Address),
	}
	c.copies[w.Manifest] = job
	dropping := c.dropping[w.Manifest]
	c.duties.Go(func(context.Context) {
		defer close(job.done)
		if dropping != nil {
			select {
			case <-dropping:
			case <-jobCtx.Done():
				return
			}
		}
		c.bring(jobCtx, job)
	})
}

// bring takes a version through its phases and watches it while it is live,
// until it is not wanted.
func (c *Copier) bring(ctx context.Context, job *copyJob) {
	log := c.options.Log.With().Str("model", string(job.weights.Model)).Str("version", string(job.weights.Version)).Logger()
	for ctx.Err() == nil {
		started := c.options.Clock.Now()
		err := c.bringOnce(ctx, job)
		if err == nil {
			taken := c.options.Clock.Since(started)
			c.options.Metrics.copySeconds.Observe(taken.Seconds())
			log.Info().Dur("taken_ms", taken).Msg("version is live")
			c.watchLoaded(ctx, job)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		log.Warn().Err(err).Msg("copy is held up")
		c.setCopy(job, member.PhaseFetching, 0, err.Error())
		c.pause(ctx, copyRetry)
	}
}

func (c *Copier) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.options.Clock.After(wait):
	}
}

// loadedInterval is how often the engine is asked whether a live version is
// still loaded.
const loadedInterval = 2 * time.Second

// watchLoaded returns when the engine no longer has the version, as after a
// restart of its own. An engine that does not answer may be busy; its requests
// tell what it is worth.
func (c *Copier) watchLoaded(ctx context.Context, job *copyJob) {
	for ctx.Err() == nil {
		c.pause(ctx, loadedInterval)
		loaded, err := c.isLoaded(ctx, job)
		if ctx.Err() != nil || err != nil || loaded {
			continue
		}
		c.options.Log.Warn().Str("model", string(job.weights.Model)).Str("version", string(job.weights.Version)).
			Msg("engine lost the version")
		c.options.Gate.Shut(c.place(job))
		return
	}
}

func (c *Copier) bringOnce(ctx context.Context, job *copyJob) error {
	if loaded, err := c.isLoaded(ctx, job); err != nil || loaded {
		if err == nil {
			c.goLive(job)
		}
		return err
	}
	job.setFetching(true)
	defer job.setFetching(false)
	c.setCopy(job, member.PhaseFetching, 0, "")
	manifest, err := c.fetchManifest(ctx, job)
	if err != nil {
		return err
	}
	c.options.Store.Add(manifest)
	if err := newFetch(c, job, manifest).run(ctx); err != nil {
		return err
	}
	c.setCopy(job, member.PhaseVerifying, len(manifest.Chunks), "")
	if err := c.options.Store.Verify(manifest); err != nil {
		return err
	}
	c.setCopy(job, member.PhaseLoading, len(manifest.Chunks), "")
	if err := c.load(ctx, job, manifest); err != nil {
		return err
	}
	c.goLive(job)
	return nil
}

func (j *copyJob) setFetching(fetching bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fetching = fetching
}

func (j *copyJob) currentFence() provider.FencingToken {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fence
}

// isLoaded finds a version that the engine kept while this process was away.
func (c *Copier) isLoaded(ctx context.Context, job *copyJob) (bool, error) {
	current, err := c.options.Engine.State(ctx)
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(current.Loaded, func(l provider.LoadedVersion) bool {
		return l.Model == job.weights.Model && l.Version == job.weights.Version && l.Manifest == job.weights.Manifest
	}), nil
}

// load hands the verified chunks over and gives the fenced order.
func (c *Copier) load(ctx context.Context, job *copyJob, manifest *weights.Manifest) error {
	for i := range manifest.Chunks {
		data, err := c.options.Store.Get(manifest.Digest(), i)
		if err != nil {
			return err
		}
		if err := c.options.Engine.Stage(ctx, manifest.Digest(), i, data); err != nil {
			return err
		}
	}
	return c.options.Engine.Order(ctx, provider.Order{
		Kind: provider.OrderLoad, Model: job.weights.Model, Version: job.weights.Version, Manifest: manifest.Digest(),
		Chunks: len(manifest.Chunks), WholeDigest: manifest.WholeDigest, Fence: job.currentFence(),
	})
}

func (c *Copier) place(job *copyJob) route.ServiceVersion {
	return route.ServiceVersion{Service: member.Service(job.weights.Model), Version: job.weights.Version}
}

func (c *Copier) goLive(job *copyJob) {
	c.options.Gate.Open(c.place(job))
	c.setCopy(job, member.PhaseLive, 0, "")
}

// drop takes a version out: no new requests, those in progress end, then the
// engine unloads it.
func (c *Copier) drop(ctx context.Context, job *copyJob, fence provider.FencingToken) {
	job.cancel()
	<-job.done
	c.removeCopy(job)
	if !c.options.Gate.Close(ctx, c.place(job)) {
		return
	}
	for ctx.Err() == nil {
		err := c.options.Engine.Order(ctx, provider.Order{
			Kind: provider.OrderUnload, Model: job.weights.Model, Version: job.weights.Version,
			Manifest: job.weights.Manifest, Fence: fence,
		})
		if err == nil || errors.Is(err, provider.ErrFenced) {
			break
		}
		c.options.Log.Warn().Err(err).Msg("unload is held up")
		c.pause(ctx, copyRetry)
	}
	c.options.Store.Drop(job.weights.Manifest)
	c.options.Log.Info().Str("model", string(job.weights.Model)).Str("version", string(job.weights.Version)).Msg("version dropped")
}

// setCopy puts the state of a copy into the box's record. Progress within a
// phase is told in quarters, because each change travels to every entry box.
func (c *Copier) setCopy(job *copyJob, phase member.Phase, chunks int, waits string) {
	total := 0
	if manifest, ok := c.options.Store.Manifest(job.weights.Manifest); ok {
		total = len(manifest.Chunks)
	}
	next := member.Copy{
		Model: job.weights.Model, Version: job.weights.Version, Manifest: job.weights.Manifest,
		Phase: phase, HeldChunks: chunks, TotalChunks: total, WaitReason: waits,
	}
	if slices.Contains(c.options.Heart.Record().Copies, next) {
		return
	}
	c.options.Heart.Update(func(record *member.Record) {
		record.Copies = append(copiesWithout(record.Copies, job), next)
	})
}

func (c *Copier) removeCopy(job *copyJob) {
	c.options.Heart.Update(func(record *member.Record) { record.Copies = copiesWithout(record.Copies, job) })
}

// copiesWithout leaves the given copies as they are: earlier records share them.
func copiesWithout(copies []member.Copy, job *copyJob) []member.Copy {
	return slices.DeleteFunc(slices.Clone(copies), func(held member.Copy) bool { return held.Manifest == job.weights.Manifest })
}

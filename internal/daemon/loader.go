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

// loadRetryDelay is the wait after a step of a copy that failed.
const loadRetryDelay = 500 * time.Millisecond

// LoaderOptions are the parts that a Copier works with.
type LoaderOptions struct {
	Self        member.BoxID
	Peers       *PeerPool
	Store       *weights.MemoryStore
	Sources     []provider.WeightSource
	Engine      provider.Engine
	Proxy       *BackendProxy
	Heartbeater *Heartbeater
	Clock       clockwork.Clock
	Log         zerolog.Logger
	Metrics     *Metrics
	Picker      weights.PickerOptions
}

// Loader brings the box in line with its assignment: it fetches and verifies
// what is missing, gives the engine its fenced orders, opens the gate for what
// is live, and drains and unloads what is no longer wanted.
type Loader struct {
	options     LoaderOptions
	tasks       *kernel.TaskGroup
	assignments chan versionedAssignment

	mu                sync.Mutex
	assignmentVersion state.Version
	jobs              map[weights.Digest]*versionJob
	// unloading holds the manifests on their way out. One that is wanted again
	// waits for it, so that a late unload never takes away what is live.
	unloading map[weights.Digest]chan struct{}
}

// versionJob is one version on its way to live and out again.
type versionJob struct {
	pinned plan.PinnedVersion
	cancel context.CancelFunc
	done   chan struct{}
	// fencingToken is the newest plan that wants the version.
	fencingToken provider.FencingToken

	mu                 sync.Mutex
	neighbours         []weights.Peer
	originFetchers     []weights.Peer
	addresses          map[string]member.Address
	originFetchersHash uint64
	hasSwarm           bool
	fetching           bool
	swarmUpdated       chan struct{}
}

// NewLoader starts to follow assignments.
func NewLoader(options LoaderOptions) *Loader {
	c := &Loader{
		options:     options,
		tasks:       kernel.NewTaskGroup(),
		assignments: make(chan versionedAssignment, 1),
		jobs:        make(map[weights.Digest]*versionJob),

		unloading: make(map[weights.Digest]chan struct{}),
	}
	c.tasks.Go(c.run)
	return c
}

// String returns the service's name.
func (c *Loader) String() string { return "copier" }

// Stop ends all copies. What is live stays live.
func (c *Loader) Stop(ctx context.Context) error { return c.tasks.Stop(ctx) }

// FillHeartbeat adds what is in force and what is being fetched to a heartbeat.
func (c *Loader) FillHeartbeat(request *wire.HeartbeatRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.AssignmentMajor, request.AssignmentMinor = c.assignmentVersion.Major, c.assignmentVersion.Minor
	request.Load = c.options.Proxy.load()
	for digest, job := range c.jobs {
		job.mu.Lock()
		if job.fetching {
			request.Wanted = append(request.Wanted, &wire.Wanted{Manifest: digest[:], DrawersHash: job.originFetchersHash})
		}
		job.mu.Unlock()
	}
}

// HandleResponse takes the assignment and the neighbours from a monitor's answer.
func (c *Loader) HandleResponse(answer *wire.HeartbeatResponse) {
	c.updateSwarms(answer.Swarms)
	if len(answer.Assignment) == 0 {
		return
	}
	next := versionedAssignment{version: state.Version{Major: answer.AssignmentMajor, Minor: answer.AssignmentMinor}}
	if err := state.Decode(answer.Assignment, &next.Assignment); err != nil {
		c.options.Log.Error().Err(err).Msg("assignment cannot be read")
		return
	}
	c.mu.Lock()
	newer := next.version.Compare(c.assignmentVersion) > 0
	if newer {
		c.assignmentVersion = next.version
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	// Only the newest assignment counts; one that nobody took yet is replaced.
	select {
	case <-c.assignments:
	default:
	}
	select {
	case c.assignments <- next:
	default:
	}
}

// run carries out one assignment after the other.
func (c *Loader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-c.assignments:
			c.applyAssignment(ctx, next)
		}
	}
}

func (c *Loader) applyAssignment(ctx context.Context, next versionedAssignment) {
	fence := provider.FencingToken{Epoch: next.version.Major, Sequence: next.version.Minor}
	wanted := make(map[weights.Digest]bool)
	for _, w := range next.Versions {
		wanted[w.Manifest] = true
		c.ensureJob(ctx, w, fence)
	}
	c.mu.Lock()
	var dropped []*versionJob
	for digest, job := range c.jobs {
		if !wanted[digest] {
			dropped = append(dropped, job)
			delete(c.jobs, digest)
			c.unloading[digest] = make(chan struct{})
		}
	}
	c.mu.Unlock()
	for _, job := range dropped {
		c.tasks.Go(func(ctx context.Context) {
			c.unload(ctx, job, fence)
			c.finishUnload(job.pinned.Manifest)
		})
	}
	c.options.Log.Info().Uint64("epoch", fence.Epoch).Uint64("sequence", fence.Sequence).
		Int("wanted", len(wanted)).Int("dropped", len(dropped)).Msg("assignment taken")
}

// finishUnload lets a copy of the same manifest begin.
func (c *Loader) finishUnload(manifest weights.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.unloading[manifest])
	delete(c.unloading, manifest)
}

func (c *Loader) ensureJob(ctx context.Context, w plan.PinnedVersion, fence provider.FencingToken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job, running := c.jobs[w.Manifest]; running {
		job.mu.Lock()
		job.fencingToken = fence
		job.mu.Unlock()
		return
	}
	jobCtx, cancel := context.WithCancel(ctx)
	job := &versionJob{
		pinned: w, cancel: cancel, fencingToken: fence,
		done: make(chan struct{}), swarmUpdated: make(chan struct{}, 1),
		addresses: make(map[string]member.Address),
	}
	c.jobs[w.Manifest] = job
	dropping := c.unloading[w.Manifest]
	c.tasks.Go(func(context.Context) {
		defer close(job.done)
		if dropping != nil {
			select {
			case <-dropping:
			case <-jobCtx.Done():
				return
			}
		}
		c.runJob(jobCtx, job)
	})
}

// runJob takes a version through its phases and watches it while it is live,
// until it is not wanted.
func (c *Loader) runJob(ctx context.Context, job *versionJob) {
	log := c.options.Log.With().Str("model", string(job.pinned.Model)).Str("version", string(job.pinned.Version)).Logger()
	for ctx.Err() == nil {
		started := c.options.Clock.Now()
		err := c.makeLive(ctx, job)
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
		c.sleep(ctx, loadRetryDelay)
	}
}

func (c *Loader) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.options.Clock.After(wait):
	}
}

// loadedCheckInterval is how often the engine is asked whether a live version is
// still loaded.
const loadedCheckInterval = 2 * time.Second

// watchLoaded returns when the engine no longer has the version, as after a
// restart of its own. An engine that does not answer may be busy; its requests
// tell what it is worth.
func (c *Loader) watchLoaded(ctx context.Context, job *versionJob) {
	for ctx.Err() == nil {
		c.sleep(ctx, loadedCheckInterval)
		loaded, err := c.isLoaded(ctx, job)
		if ctx.Err() != nil || err != nil || loaded {
			continue
		}
		c.options.Log.Warn().Str("model", string(job.pinned.Model)).Str("version", string(job.pinned.Version)).
			Msg("engine lost the version")
		c.options.Proxy.Disable(c.serviceVersion(job))
		return
	}
}

func (c *Loader) makeLive(ctx context.Context, job *versionJob) error {
	if loaded, err := c.isLoaded(ctx, job); err != nil || loaded {
		if err == nil {
			c.setLive(job)
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
	if err := newChunkFetcher(c, job, manifest).run(ctx); err != nil {
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
	c.setLive(job)
	return nil
}

func (j *versionJob) setFetching(fetching bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fetching = fetching
}

func (j *versionJob) currentFencingToken() provider.FencingToken {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fencingToken
}

// isLoaded finds a version that the engine kept while this process was away.
func (c *Loader) isLoaded(ctx context.Context, job *versionJob) (bool, error) {
	current, err := c.options.Engine.State(ctx)
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(current.Loaded, func(l provider.LoadedVersion) bool {
		return l.Model == job.pinned.Model && l.Version == job.pinned.Version && l.Manifest == job.pinned.Manifest
	}), nil
}

// load hands the verified chunks over and gives the fenced order.
func (c *Loader) load(ctx context.Context, job *versionJob, manifest *weights.Manifest) error {
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
		Kind: provider.OrderLoad, Model: job.pinned.Model, Version: job.pinned.Version, Manifest: manifest.Digest(),
		Chunks: len(manifest.Chunks), WholeDigest: manifest.WholeDigest, Fence: job.currentFencingToken(),
	})
}

func (c *Loader) serviceVersion(job *versionJob) route.ServiceVersion {
	return route.ServiceVersion{Service: member.Service(job.pinned.Model), Version: job.pinned.Version}
}

func (c *Loader) setLive(job *versionJob) {
	c.options.Proxy.Enable(c.serviceVersion(job))
	c.setCopy(job, member.PhaseLive, 0, "")
}

// unload takes a version out: no new requests, those in progress end, then the
// engine unloads it.
func (c *Loader) unload(ctx context.Context, job *versionJob, fence provider.FencingToken) {
	job.cancel()
	<-job.done
	c.removeCopy(job)
	if !c.options.Proxy.Drain(ctx, c.serviceVersion(job)) {
		return
	}
	for ctx.Err() == nil {
		err := c.options.Engine.Order(ctx, provider.Order{
			Kind: provider.OrderUnload, Model: job.pinned.Model, Version: job.pinned.Version,
			Manifest: job.pinned.Manifest, Fence: fence,
		})
		if err == nil || errors.Is(err, provider.ErrFenced) {
			break
		}
		c.options.Log.Warn().Err(err).Msg("unload is held up")
		c.sleep(ctx, loadRetryDelay)
	}
	c.options.Store.Drop(job.pinned.Manifest)
	c.options.Log.Info().Str("model", string(job.pinned.Model)).Str("version", string(job.pinned.Version)).Msg("version dropped")
}

// setCopy puts the state of a copy into the box's record. Progress within a
// phase is told in quarters, because each change travels to every entry box.
func (c *Loader) setCopy(job *versionJob, phase member.Phase, chunks int, waits string) {
	total := 0
	if manifest, ok := c.options.Store.Manifest(job.pinned.Manifest); ok {
		total = len(manifest.Chunks)
	}
	next := member.Copy{
		Model: job.pinned.Model, Version: job.pinned.Version, Manifest: job.pinned.Manifest,
		Phase: phase, HeldChunks: chunks, TotalChunks: total, WaitReason: waits,
	}
	if slices.Contains(c.options.Heartbeater.Record().Copies, next) {
		return
	}
	c.options.Heartbeater.Update(func(record *member.Record) {
		record.Copies = append(copiesWithout(record.Copies, job), next)
	})
}

func (c *Loader) removeCopy(job *versionJob) {
	c.options.Heartbeater.Update(func(record *member.Record) { record.Copies = copiesWithout(record.Copies, job) })
}

// copiesWithout leaves the given copies as they are: earlier records share them.
func copiesWithout(copies []member.Copy, job *versionJob) []member.Copy {
	return slices.DeleteFunc(slices.Clone(copies), func(held member.Copy) bool { return held.Manifest == job.pinned.Manifest })
}

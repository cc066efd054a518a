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

// loadRetryDelay is the delay before a failed download, load or unload is retried.
const loadRetryDelay = 500 * time.Millisecond

// LoaderOptions configures a Loader.
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

// Loader makes the versions of the box's assignment live. It downloads and verifies missing
// chunks, sends the engine orders with fencing tokens, and enables live versions in the backend
// proxy. It drains and unloads versions that are no longer assigned.
type Loader struct {
	options     LoaderOptions
	tasks       *kernel.TaskGroup
	assignments chan versionedAssignment

	mu                sync.Mutex
	assignmentVersion state.Version
	jobs              map[weights.Digest]*versionJob
	// unloading has a channel for each manifest that is being unloaded, closed when that is
	// done. A version that is assigned again waits for it, so that a late unload order
	// never removes a live version.
	unloading map[weights.Digest]chan struct{}
}

// versionJob downloads one assigned version, makes it live and keeps it loaded.
type versionJob struct {
	pinned plan.PinnedVersion
	cancel context.CancelFunc
	done   chan struct{}
	// fencingToken is the token of the newest assignment that contains the version.
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

// NewLoader starts a Loader, which applies the assignments passed to HandleResponse.
func NewLoader(options LoaderOptions) *Loader {
	l := &Loader{
		options:     options,
		tasks:       kernel.NewTaskGroup(),
		assignments: make(chan versionedAssignment, 1),
		jobs:        make(map[weights.Digest]*versionJob),

		unloading: make(map[weights.Digest]chan struct{}),
	}
	l.tasks.Go(l.run)
	return l
}

// String returns the name of the service for logs.
func (l *Loader) String() string { return "copier" }

// Stop cancels all downloads. Live versions stay live.
func (l *Loader) Stop(ctx context.Context) error { return l.tasks.Stop(ctx) }

// FillHeartbeat adds the assignment version, the load and the manifests being fetched to a
// heartbeat.
func (l *Loader) FillHeartbeat(request *wire.HeartbeatRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.AssignmentMajor, request.AssignmentMinor = l.assignmentVersion.Major, l.assignmentVersion.Minor
	request.Load = l.options.Proxy.load()
	for digest, job := range l.jobs {
		job.mu.Lock()
		if job.fetching {
			request.Wanted = append(request.Wanted, &wire.Wanted{Manifest: digest[:], DrawersHash: job.originFetchersHash})
		}
		job.mu.Unlock()
	}
}

// HandleResponse applies the assignment and the swarms in a monitor's heartbeat response.
func (l *Loader) HandleResponse(response *wire.HeartbeatResponse) {
	l.updateSwarms(response.Swarms)
	if len(response.Assignment) == 0 {
		return
	}
	next := versionedAssignment{version: state.Version{Major: response.AssignmentMajor, Minor: response.AssignmentMinor}}
	if err := state.Decode(response.Assignment, &next.Assignment); err != nil {
		l.options.Log.Error().Err(err).Msg("decoding the assignment failed; keeping the previous one")
		return
	}
	l.mu.Lock()
	newer := next.version.Compare(l.assignmentVersion) > 0
	if newer {
		l.assignmentVersion = next.version
	}
	l.mu.Unlock()
	if !newer {
		return
	}
	// Only the newest assignment counts. Replace one that is still waiting in the channel.
	select {
	case <-l.assignments:
	default:
	}
	select {
	case l.assignments <- next:
	default:
	}
}

// run applies assignments in turn until the context ends.
func (l *Loader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-l.assignments:
			l.applyAssignment(ctx, next)
		}
	}
}

func (l *Loader) applyAssignment(ctx context.Context, next versionedAssignment) {
	token := provider.FencingToken{Epoch: next.version.Major, Sequence: next.version.Minor}
	assigned := make(map[weights.Digest]bool)
	for _, v := range next.Versions {
		assigned[v.Manifest] = true
		l.ensureJob(ctx, v, token)
	}
	l.mu.Lock()
	var dropped []*versionJob
	for digest, job := range l.jobs {
		if !assigned[digest] {
			dropped = append(dropped, job)
			delete(l.jobs, digest)
			l.unloading[digest] = make(chan struct{})
		}
	}
	l.mu.Unlock()
	for _, job := range dropped {
		l.tasks.Go(func(ctx context.Context) {
			l.unload(ctx, job, token)
			l.finishUnload(job.pinned.Manifest)
		})
	}
	l.options.Log.Info().Uint64("epoch", token.Epoch).Uint64("sequence", token.Sequence).
		Int("wanted", len(assigned)).Int("dropped", len(dropped)).Msg("applying a new assignment")
}

// finishUnload marks a manifest as unloaded, so that a waiting job for it can start.
func (l *Loader) finishUnload(manifest weights.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.unloading[manifest])
	delete(l.unloading, manifest)
}

func (l *Loader) ensureJob(ctx context.Context, v plan.PinnedVersion, token provider.FencingToken) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if job, running := l.jobs[v.Manifest]; running {
		job.mu.Lock()
		job.fencingToken = token
		job.mu.Unlock()
		return
	}
	jobCtx, cancel := context.WithCancel(ctx)
	job := &versionJob{
		pinned: v, cancel: cancel, fencingToken: token,
		done: make(chan struct{}), swarmUpdated: make(chan struct{}, 1),
		addresses: make(map[string]member.Address),
	}
	l.jobs[v.Manifest] = job
	unloaded := l.unloading[v.Manifest]
	l.tasks.Go(func(context.Context) {
		defer close(job.done)
		if unloaded != nil {
			select {
			case <-unloaded:
			case <-jobCtx.Done():
				return
			}
		}
		l.runJob(jobCtx, job)
	})
}

// runJob makes a version live, and again when the engine loses it, until the context ends.
// It retries failures after loadRetryDelay.
func (l *Loader) runJob(ctx context.Context, job *versionJob) {
	log := l.options.Log.With().Str("model", string(job.pinned.Model)).Str("version", string(job.pinned.Version)).Logger()
	for ctx.Err() == nil {
		started := l.options.Clock.Now()
		err := l.makeLive(ctx, job)
		if err == nil {
			elapsed := l.options.Clock.Since(started)
			l.options.Metrics.loadSeconds.Observe(elapsed.Seconds())
			log.Info().Dur("taken_ms", elapsed).Msg("version is live")
			l.watchLoaded(ctx, job)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		log.Warn().Err(err).Msg("making the version live failed; retrying")
		l.setCopy(job, member.PhaseFetching, 0, err.Error())
		l.sleep(ctx, loadRetryDelay)
	}
}

func (l *Loader) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.options.Clock.After(wait):
	}
}

// loadedCheckInterval is how often the loader checks that a live version is still loaded.
const loadedCheckInterval = 2 * time.Second

// watchLoaded disables the version and returns when the engine no longer has it, for example
// after an engine restart. An engine that does not respond may only be busy, so an error changes
// nothing here; requests that fail at the engine show whether it works.
func (l *Loader) watchLoaded(ctx context.Context, job *versionJob) {
	for ctx.Err() == nil {
		l.sleep(ctx, loadedCheckInterval)
		loaded, err := l.isLoaded(ctx, job)
		if ctx.Err() != nil || err != nil || loaded {
			continue
		}
		l.options.Log.Warn().Str("model", string(job.pinned.Model)).Str("version", string(job.pinned.Version)).
			Msg("engine no longer has the version loaded; loading it again")
		l.options.Proxy.Disable(l.serviceVersion(job))
		return
	}
}

func (l *Loader) makeLive(ctx context.Context, job *versionJob) error {
	if loaded, err := l.isLoaded(ctx, job); err != nil || loaded {
		if err == nil {
			l.setLive(job)
		}
		return err
	}
	job.setFetching(true)
	defer job.setFetching(false)
	l.setCopy(job, member.PhaseFetching, 0, "")
	manifest, err := l.fetchManifest(ctx, job)
	if err != nil {
		return err
	}
	l.options.Store.Add(manifest)
	if err := newChunkFetcher(l, job, manifest).run(ctx); err != nil {
		return err
	}
	l.setCopy(job, member.PhaseVerifying, len(manifest.Chunks), "")
	if err := l.options.Store.Verify(manifest); err != nil {
		return err
	}
	l.setCopy(job, member.PhaseLoading, len(manifest.Chunks), "")
	if err := l.load(ctx, job, manifest); err != nil {
		return err
	}
	l.setLive(job)
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

// isLoaded reports whether the engine has the version loaded, possibly since before this process
// started.
func (l *Loader) isLoaded(ctx context.Context, job *versionJob) (bool, error) {
	current, err := l.options.Engine.State(ctx)
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(current.Loaded, func(v provider.LoadedVersion) bool {
		return v.Model == job.pinned.Model && v.Version == job.pinned.Version && v.Manifest == job.pinned.Manifest
	}), nil
}

// load stages the verified chunks at the engine and orders it to load them.
func (l *Loader) load(ctx context.Context, job *versionJob, manifest *weights.Manifest) error {
	for i := range manifest.Chunks {
		data, err := l.options.Store.Get(manifest.Digest(), i)
		if err != nil {
			return err
		}
		if err := l.options.Engine.Stage(ctx, manifest.Digest(), i, data); err != nil {
			return err
		}
	}
	return l.options.Engine.Order(ctx, provider.Order{
		Kind: provider.OrderLoad, Model: job.pinned.Model, Version: job.pinned.Version, Manifest: manifest.Digest(),
		Chunks: len(manifest.Chunks), WholeDigest: manifest.WholeDigest, Fence: job.currentFencingToken(),
	})
}

func (l *Loader) serviceVersion(job *versionJob) route.ServiceVersion {
	return route.ServiceVersion{Service: member.Service(job.pinned.Model), Version: job.pinned.Version}
}

func (l *Loader) setLive(job *versionJob) {
	l.options.Proxy.Enable(l.serviceVersion(job))
	l.setCopy(job, member.PhaseLive, 0, "")
}

// unload stops the job of a version, drains its requests and orders the engine to unload it.
// Finally it drops the chunks from the memory store.
func (l *Loader) unload(ctx context.Context, job *versionJob, token provider.FencingToken) {
	job.cancel()
	<-job.done
	l.removeCopy(job)
	if !l.options.Proxy.Drain(ctx, l.serviceVersion(job)) {
		return
	}
	for ctx.Err() == nil {
		err := l.options.Engine.Order(ctx, provider.Order{
			Kind: provider.OrderUnload, Model: job.pinned.Model, Version: job.pinned.Version,
			Manifest: job.pinned.Manifest, Fence: token,
		})
		if err == nil || errors.Is(err, provider.ErrFenced) {
			break
		}
		l.options.Log.Warn().Err(err).Msg("unloading the version failed; retrying")
		l.sleep(ctx, loadRetryDelay)
	}
	l.options.Store.Drop(job.pinned.Manifest)
	l.options.Log.Info().Str("model", string(job.pinned.Model)).Str("version", string(job.pinned.Version)).Msg("version dropped")
}

// setCopy sets the state of a version in the box's record. Progress within a phase is reported
// in quarters (progressSteps), because each change is sent to every entry box.
func (l *Loader) setCopy(job *versionJob, phase member.Phase, chunks int, waitReason string) {
	total := 0
	if manifest, ok := l.options.Store.Manifest(job.pinned.Manifest); ok {
		total = len(manifest.Chunks)
	}
	next := member.Copy{
		Model: job.pinned.Model, Version: job.pinned.Version, Manifest: job.pinned.Manifest,
		Phase: phase, HeldChunks: chunks, TotalChunks: total, WaitReason: waitReason,
	}
	if slices.Contains(l.options.Heartbeater.Record().Copies, next) {
		return
	}
	l.options.Heartbeater.Update(func(record *member.Record) {
		record.Copies = append(copiesWithout(record.Copies, job), next)
	})
}

func (l *Loader) removeCopy(job *versionJob) {
	l.options.Heartbeater.Update(func(record *member.Record) { record.Copies = copiesWithout(record.Copies, job) })
}

// copiesWithout returns the copies without the version of job. It does not modify the given
// slice, because earlier records share it.
func copiesWithout(copies []member.Copy, job *versionJob) []member.Copy {
	return slices.DeleteFunc(slices.Clone(copies), func(existing member.Copy) bool { return existing.Manifest == job.pinned.Manifest })
}

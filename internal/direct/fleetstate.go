package direct

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// minAssumedAge is the minimum age that a process assumes for versions of weights that were published before it
// started.
const minAssumedAge = 5 * time.Second

// assumedAgeAtStart returns the age that a process assumes for versions of weights that were published before it
// started. The true age is unknown, as all processes may have been killed at once. The rest of the version bound
// passes before the process is settled. With a fixed age and a bound of 30 s, a process would start requests on
// older weights for 24 s.
func assumedAgeAtStart(bound, settle time.Duration) time.Duration {
	return max(minAssumedAge, bound-settle)
}

// isServerKey reports whether a key is that of a server's entry.
func isServerKey(key string) bool { return strings.HasPrefix(key, fleet.ServerKey("")) }

// FleetState merges the facts of the platform's store and the state reported by other processes.
type FleetState struct {
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	// mirror holds the facts of the platform's store.
	mirror *state.Mirror
	view   atomic.Pointer[fleet.View]
	tasks  *kernel.TaskGroup
	// assumedAge is the age assumed for versions of weights that were published before the process started.
	assumedAge time.Duration
	// fleetSize is what entry boxes have reported of their number to an agent.
	fleetSize fleetSizeMemory

	mu sync.Mutex
	// changed is closed when the view changes.
	changed chan struct{}
	// parser parses the facts that are merged.
	parser  fleet.Parser
	servers map[fleet.ServerID]serverEntry
	// changes are what of the servers has changed since the view was updated.
	changes serverChanges
	// departures are the departures that servers have announced in their responses.
	departures departures
	// returned are the servers that may be listed only because the store came back from a copy.
	returned returnedServers
	// startedAt is when the process started. completeBefore is the revision up to which every change was known before the
	// merge in progress.
	startedAt      time.Time
	completeBefore fleet.Revision
	// rateLimits are the rate limits that servers have advertised in their responses.
	rateLimits rateLimits
	published  map[fleet.ModelName]fleet.PublishedVersions
	// evacuated are the failure domains that the operators have evacuated.
	evacuated map[member.FailureDomain]bool
	// cold are the servers that are cold. coldAllowance determines their rate limits.
	cold          map[fleet.ServerID]coldState
	coldAllowance route.ColdAllowance
	// ageChanges counts the new versions and the corrected ages.
	ageChanges int
	// newest is the newest revision of any fact, or of a snapshot: it may lack entries that were deleted by then.
	newest fleet.Revision
	// unreadableEntries are the errors of the entries that could not be read, by key.
	unreadableEntries map[string]string
	// unconfigured are the services that have entries but are not in the configuration.
	unconfigured map[member.Service]bool
	// storeResponded is the time of the store's last response, or zero if there was none.
	storeResponded time.Time
	// downSince is the time since which the store has not responded although it was due to, and failedCalls is the
	// number of failed calls since its last response. Both are zero while the store responds.
	downSince   time.Time
	failedCalls int
	// recoveredAt is when the store last responded after an outage in which entries may have expired.
	recoveredAt time.Time
	// outageReportedAt is when another box last reported such an outage.
	outageReportedAt time.Time
	// responseReportedAt is the time of the store's last response to another box of the region.
	responseReportedAt time.Time
	// newestReported is the newest revision that another box has reported to know.
	newestReported fleet.Revision
	// confirmations show whether the held configuration may be outdated.
	confirmations confirmations
}

// defaultChangeBound is the time within which a change must be in force, if the settings do not define it.
const defaultChangeBound = 2 * time.Second

// NewFleetState returns a FleetState without any facts.
func NewFleetState(clock clockwork.Clock, log zerolog.Logger, metrics *Metrics) *FleetState {
	f := &FleetState{
		clock: clock, log: log, metrics: metrics, assumedAge: minAssumedAge, startedAt: clock.Now(),
		mirror: state.NewMirror(rand.Uint64(), isRemovableKey), tasks: kernel.NewTaskGroup(),
		changed: make(chan struct{}),
		servers: make(map[fleet.ServerID]serverEntry), changes: newServerChanges(), departures: newDepartures(), returned: newReturnedServers(), rateLimits: newRateLimits(),
		published: make(map[fleet.ModelName]fleet.PublishedVersions),
		evacuated: make(map[member.FailureDomain]bool), cold: make(map[fleet.ServerID]coldState), coldAllowance: route.ColdAllowance{Factor: 1},
		unreadableEntries: make(map[string]string), unconfigured: make(map[member.Service]bool),
		confirmations: newConfirmations(defaultChangeBound),
	}
	f.view.Store(fleet.EmptyView())
	return f
}

// String returns the service's name.
func (f *FleetState) String() string { return "facts" }

// Stop stops all reads of the store and of other processes.
func (f *FleetState) Stop(ctx context.Context) error { return f.tasks.Stop(ctx) }

// View returns the current view.
func (f *FleetState) View() *fleet.View { return f.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (f *FleetState) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// StoreResponseAge returns the time since the store's last response, or a negative value if there was none.
func (f *FleetState) StoreResponseAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeResponded.IsZero() {
		return -1
	}
	return f.clock.Since(f.storeResponded)
}

// StoreRespondedAt returns the time of the store's last response, or zero if there was none.
func (f *FleetState) StoreRespondedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeResponded
}

// mergeFunc merges items into the mirror. It returns the applied items, and the deletions to apply later.
type mergeFunc func() (applied, deferred []state.Item)

// mirrorMerge returns a mergeFunc for items of which it is not known what else was written with them.
func (f *FleetState) mirrorMerge(items []state.Item) mergeFunc {
	return func() (applied, deferred []state.Item) { return f.mirror.Merge(items), nil }
}

// Apply merges facts that were read from the store when they were written. Facts older than the known ones change
// nothing.
func (f *FleetState) Apply(facts []fleet.Fact, from string) {
	f.merge(f.mirrorMerge(f.itemsOf(facts)), from, true)
}

// ApplyChanges merges every change of the store after a revision. isFirst is set for the first read of the process:
// its facts may have been written at any earlier time, even if another process has already reported a configuration.
func (f *FleetState) ApplyChanges(batch *provider.FactBatch, after fleet.Revision, isFirst bool) {
	items := f.itemsOf(batch.Facts)
	f.merge(func() (applied, deferred []state.Item) {
		defer f.logOlderByWriter(batch)
		return f.mirror.MergeChanges(items, uint64(after), uint64(batch.Revision), f.shouldDefer)
	}, "store", !isFirst)
}

// ApplySnapshot merges a snapshot of the store and deletes the servers that it lacks. For isFirst see ApplyChanges.
func (f *FleetState) ApplySnapshot(batch *provider.FactBatch, isFirst bool) {
	items := f.itemsOf(batch.Facts)
	f.merge(func() (applied, deferred []state.Item) {
		defer f.logOlderByWriter(batch)
		return f.mirror.MergeSnapshot(items, uint64(batch.Revision), f.shouldDefer)
	}, "store", !isFirst)
}

// ApplyTransfer merges facts that another process sent. It returns an error if facts were sent as deltas that do not
// apply. These facts are not merged, and must be requested again from the cursor of before.
func (f *FleetState) ApplyTransfer(transfer *state.Transfer, from string) (err error) {
	f.merge(func() (applied, deferred []state.Item) {
		err = f.mirror.Resolve(transfer)
		f.newest = max(f.newest, newestOf(transfer))
		return f.mirror.MergeTransfer(transfer, f.shouldDeferMissing)
	}, from, false)
	return err
}

// newestOf returns the newest revision in a transfer: that of any item, and the floor of the sender with the
// last batch, even if nothing of it is taken.
func newestOf(transfer *state.Transfer) (newest fleet.Revision) {
	if transfer.Complete > 0 {
		newest = fleet.Revision(transfer.Floor)
	}
	for i := range transfer.Items {
		newest = max(newest, fleet.Revision(transfer.Items[i].Version.Major))
	}
	return newest
}

// itemsOf returns facts in their replicated form. It logs and skips facts that cannot be encoded.
func (f *FleetState) itemsOf(facts []fleet.Fact) []state.Item {
	items := make([]state.Item, 0, len(facts))
	for i := range facts {
		item, err := facts[i].Item()
		if err != nil {
			f.log.Error().Str("fact", facts[i].Key).Err(err).Msg("skipping a fact that cannot be encoded")
			continue
		}
		items = append(items, item)
	}
	return items
}

// maxItemsLogged is the number of servers' entries in one batch up to which each is logged. A process that starts
// receives thousands at once, and so does each of thousands of processes.
const maxItemsLogged = 16

// merge merges facts. observed is set if they were read from the store when they were written.
func (f *FleetState) merge(mergeItems mergeFunc, from string, observed bool) {
	// The lock is held from the update of the mirror to that of the view, so that both apply facts in the same
	// order. Otherwise the older of two concurrent entries could stay in the view permanently.
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.mirror.Status()
	f.completeBefore = fleet.Revision(before.Complete)
	applied, deferred := mergeItems()
	after := f.mirror.Status()
	if outdated := after.Outdated - before.Outdated; outdated > 0 {
		f.metrics.outdatedEntries.Add(float64(outdated))
		f.log.Info().Uint64("entries", outdated).Stringer("complete", fleet.Revision(after.Complete)).Str("from", from).Msg("outdated entries of servers not taken")
	}
	f.applyLater(deferred)
	f.newest = max(f.newest, fleet.Revision(after.Floor))
	if len(applied) == 0 {
		f.metrics.observeView(f.View(), f.watermarks(), after.Deferred)
		return
	}
	log := f.log
	if len(applied) > maxItemsLogged {
		f.log.Info().Int("facts", len(applied)).Str("from", from).Msg("merged many facts; individual servers are not logged")
		log = f.log.Level(zerolog.WarnLevel)
	}
	view := f.View()
	// Versions that are received before the first configuration were published before the process started.
	observed = observed && view.Configuration != nil
	serversChanged, versionsChanged := false, false
	for _, item := range applied {
		f.newest = max(f.newest, fleet.Revision(item.Version.Major))
		fact, err := f.parser.Parse(item)
		if err != nil {
			f.log.Error().Str("fact", item.Key).Err(err).Msg("skipping a fact that cannot be decoded")
			continue
		}
		switch {
		case fact.Configuration != nil:
			view = f.applyConfiguration(view, &fact, from)
			// The configuration decides which services' servers are in the view.
			serversChanged = true
		case isServerKey(fact.Key):
			f.applyServer(&fact, from, &log)
			serversChanged = true
		case strings.HasPrefix(fact.Key, fleet.DesiredKey("")):
			f.applyDesired(&fact, from, observed)
			versionsChanged = true
		case isEvacuationKey(fact.Key):
			f.applyEvacuation(&fact, from)
			serversChanged = true
		}
	}
	if serversChanged {
		view = f.withCurrentServers(view)
	}
	if versionsChanged {
		view = view.WithPublishedVersions(maps.Clone(f.published))
	}
	f.setView(view)
}

// setView replaces the current view. The lock must be held.
func (f *FleetState) setView(view *fleet.View) {
	f.view.Store(view)
	f.metrics.observeView(view, f.watermarks(), f.mirror.Status().Deferred)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *FleetState) applyConfiguration(view *fleet.View, fact *fleet.Fact, from string) *fleet.View {
	f.noteAllServersChanged()
	current := view.Configuration
	if current != nil && fact.Configuration.Version < current.Version {
		f.log.Error().Uint64("version", fact.Configuration.Version).Uint64("held", current.Version).Msg("ignoring an older configuration at a newer revision")
		return view
	}
	f.log.Info().Uint64("version", fact.Configuration.Version).Stringer("revision", fact.Revision).Str("from", from).
		Int("routes", len(fact.Configuration.Routes)).Int("organisations", len(fact.Configuration.Organisations)).
		Stringer("keys", fact.Configuration.KeyPolicy).Msg("configuration in force")
	if unreadable := fact.Configuration.Unreadable; unreadable != (fleet.UnreadableParts{}) {
		f.log.Error().Uint64("version", fact.Configuration.Version).Bool("routes", unreadable.Routes).Bool("services", unreadable.Services).
			Bool("organisations", unreadable.Organisations).Bool("limits", unreadable.Limits).Msg("parts of the configuration that can't be read stay as they were")
	}
	return view.WithConfiguration(fact.Configuration.WithFallback(current), fact.Revision)
}

// logFindings logs the errors of entries. Each error is logged once while it stays the same, as an entry is read
// again whenever its writer repeats it.
func (f *FleetState) logFindings(findings []*provider.EntryError, isSnapshot bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.unreadableEntries
	if isSnapshot {
		f.unreadableEntries = make(map[string]string, len(findings))
	}
	for _, finding := range findings {
		text := finding.Err.Error()
		if known[finding.Key] != text {
			f.log.Error().Err(finding).Msg("entry of the store not taken whole")
		}
		if len(f.unreadableEntries) < maxUnreadableEntries {
			f.unreadableEntries[finding.Key] = text
		}
	}
}

// maxUnreadableEntries bounds the unreadable entries that are remembered, so that a writer that fills the store
// with them cannot exhaust the memory of each box.
const maxUnreadableEntries = 1024

// applyDesired adds a published version. Only a process that observed the publication knows its time. If a process
// took the time at which another one reported the version instead, it would replace the assumed ages of all
// processes that have just started, and requests would start on older weights for too long.
func (f *FleetState) applyDesired(fact *fleet.Fact, from string, observed bool) {
	if fact.Desired == nil {
		return
	}
	model := fact.Desired.Model
	published := f.published[model]
	if len(published) > 0 && fact.Desired.Version <= published.Newest().Version {
		return
	}
	publishedAt := f.clock.Now()
	if !observed {
		publishedAt = publishedAt.Add(-f.assumedAge)
	}
	f.ageChanges++
	f.published[model] = published.With(fleet.PublishedVersion{
		Version: fact.Desired.Version, Revision: fact.Revision, PublishedAt: publishedAt, Observed: observed,
	})
	f.log.Info().Str("model", string(model)).Uint64("version", uint64(fact.Desired.Version)).Dur("age_ms", f.clock.Since(publishedAt)).
		Bool("witnessed", observed).Stringer("revision", fact.Revision).Str("from", from).Msg("weights wanted")
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(wait):
	}
}

func (p *Process) newFleetState() error {
	direct := p.settings.Direct
	p.fleetState = NewFleetState(p.options.Clock, p.options.Log, p.metrics)
	p.fleetState.coldAllowance = route.ColdAllowance{Factor: *direct.ColdRateFactor, Extra: *direct.ColdRateExtra}
	p.fleetState.assumedAge = assumedAgeAtStart(time.Duration(direct.VersionBound), time.Duration(direct.SettleTime))
	p.fleetState.confirmations.bound = time.Duration(direct.ChangeBound)
	p.metrics.observeStoreAge(p.fleetState.StoreResponseAge)
	p.metrics.observeConfirmationAge(p.fleetState.ConfirmationAge)
	return p.services.Register(p.fleetState)
}

// startFleetState creates the fleet state of an entry box. It is filled once other entry boxes can be queried too.
func (p *Process) startFleetState() error { return p.newFleetState() }

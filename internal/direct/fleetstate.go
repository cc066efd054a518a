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
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	// expiryDeferral is how long a server stays believed whose entry went while the
	// store was away: entries of servers that live are back within two seconds.
	expiryDeferral = 2200 * time.Millisecond
	// minExpiryOutage is how long the store must have been away for entries to have lapsed
	// meanwhile: they last for several heartbeats, which come every second or so.
	minExpiryOutage = 1400 * time.Millisecond
	// expiryDeferralWindow is how long after the store's return entries may still be found
	// to have lapsed meanwhile.
	expiryDeferralWindow = 1500 * time.Millisecond
	// minAssumedAge is how long before its start a process takes weights to have been named at
	// least that were there already.
	minAssumedAge = 5 * time.Second
)

// assumedAgeAtStart is how long before its start a process takes weights to have been named that were
// there already, as it can't know if all were killed. What remains of the bound passes before the
// process is settled: with a fixed age and a bound of 30 s it would begin requests on older
// weights for 24 s.
func assumedAgeAtStart(bound, settle time.Duration) time.Duration {
	return max(minAssumedAge, bound-settle)
}

// FleetState keeps what the platform's store and other boxes tell.
type FleetState struct {
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	store   *state.Store
	view    atomic.Pointer[fleet.View]
	tasks   *kernel.TaskGroup
	// assumedAge is how long before its start the process takes weights to have been named that
	// were there already.
	assumedAge time.Duration

	mu sync.Mutex
	// changed is closed when the view changes.
	changed chan struct{}
	servers map[fleet.ServerID]serverEntry
	// departures are what servers have said in their answers of their end.
	departures departures
	// rateLimits are the rate limits that servers have advertised in their answers.
	rateLimits rateLimits
	published  map[fleet.ModelName]fleet.PublishedVersions
	// ageChanges goes up with each version that is heard of and each age that is corrected.
	ageChanges int
	// newest is the newest revision of any fact, complete the one up to which all were read,
	// those included that are held back.
	newest, complete fleet.Revision
	// deferred are the deletions that are held back, by key.
	deferred map[string]fleet.Revision
	// unreadableEntries is what was wrong with the entries that could not be read, by key.
	unreadableEntries map[string]string
	// unconfigured are the services of entries that the configuration does not name.
	unconfigured map[member.Service]bool
	// storeResponded is when the store last answered; zero if it never did.
	storeResponded time.Time
	// downSince is when the first of the calls began that the store has not answered since,
	// failures how many they are; zero while it answers.
	downSince   time.Time
	failedCalls int
	// recoveredAt is when the store answered after it had been away for so long that entries
	// may have lapsed.
	recoveredAt time.Time
}

// NewFleetState returns facts that know nothing yet.
func NewFleetState(clock clockwork.Clock, log zerolog.Logger, metrics *Metrics) *FleetState {
	f := &FleetState{
		clock: clock, log: log, metrics: metrics, assumedAge: minAssumedAge,
		store: state.NewStore(rand.Uint64()), tasks: kernel.NewTaskGroup(),
		changed: make(chan struct{}),
		servers: make(map[fleet.ServerID]serverEntry), departures: newDepartures(), rateLimits: newRateLimits(),
		published:         make(map[fleet.ModelName]fleet.PublishedVersions),
		deferred:          make(map[string]fleet.Revision),
		unreadableEntries: make(map[string]string), unconfigured: make(map[member.Service]bool),
	}
	f.view.Store(fleet.EmptyView())
	return f
}

// String returns the service's name.
func (f *FleetState) String() string { return "facts" }

// Stop ends reading.
func (f *FleetState) Stop(ctx context.Context) error { return f.tasks.Stop(ctx) }

// View returns what is believed now.
func (f *FleetState) View() *fleet.View { return f.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (f *FleetState) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Watermarks is how far the changes of the platform's store are known.
type Watermarks struct {
	// Newest is the newest revision of which anything is known.
	Newest fleet.Revision
	// Complete is the revision up to which everything is known. Deletions that are held
	// back come after it, so that they are asked of another box that knows better.
	Complete fleet.Revision
}

// isBehind reports whether another process knows something that this one does not.
func (e Watermarks) isBehind(other Watermarks) bool {
	return other.Newest > e.Newest || other.Complete > e.Complete
}

// Watermarks returns how far the changes of the platform's store are known.
func (f *FleetState) Watermarks() Watermarks {
	f.mu.Lock()
	defer f.mu.Unlock()
	complete := min(f.newest, f.complete)
	for _, held := range f.deferred {
		complete = min(complete, held-1)
	}
	return Watermarks{Newest: f.newest, Complete: complete}
}

// MarkComplete notes that everything up to a revision was read.
func (f *FleetState) MarkComplete(revision fleet.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.complete = max(f.complete, revision)
}

// StoreResponseAge returns how long ago the store answered; negative if it never did.
func (f *FleetState) StoreResponseAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeResponded.IsZero() {
		return -1
	}
	return f.clock.Since(f.storeResponded)
}

// StoreRespondedAt returns when the store last answered; zero if it never did.
func (f *FleetState) StoreRespondedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeResponded
}

// isStoreDown reports whether the store has not answered the last call.
func (f *FleetState) isStoreDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.downSince.IsZero()
}

// noteStoreFailure notes a call that was not answered, or not in time.
func (f *FleetState) noteStoreFailure(call string, began time.Time, err error) {
	f.mu.Lock()
	first := f.downSince.IsZero()
	if first {
		f.downSince = began
	}
	f.failedCalls++
	f.mu.Unlock()
	if first {
		f.log.Warn().Str("dependency", "store").Str("call", call).Dur("age_ms", f.StoreResponseAge()).Err(err).Msg("dependency lost")
	}
}

func (f *FleetState) noteStoreResponse() {
	f.mu.Lock()
	now := f.clock.Now()
	regained, away, failures := !f.downSince.IsZero(), now.Sub(f.downSince), f.failedCalls
	f.storeResponded, f.downSince, f.failedCalls = now, time.Time{}, 0
	if regained && away >= minExpiryOutage {
		f.recoveredAt = now
	}
	f.mu.Unlock()
	if regained {
		f.log.Info().Str("dependency", "store").Dur("away_ms", away).Int("failures", failures).Msg("dependency regained")
	}
}

// deferExpired takes out the entries of servers that went while the store was away,
// and applies them later: an entry that is back by then is newer.
func (f *FleetState) deferExpired(facts []fleet.Fact) []fleet.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recoveredAt.IsZero() || f.clock.Since(f.recoveredAt) >= expiryDeferralWindow {
		return facts
	}
	var now, later []fleet.Fact
	for _, fact := range facts {
		id := fleet.ServerID(strings.TrimPrefix(fact.Key, fleet.ServerKey("")))
		if server, known := f.servers[id]; fact.Deleted && known && !server.Leaving && server.revision < fact.Revision {
			later = append(later, fact)
			f.deferred[fact.Key] = fact.Revision
			f.log.Info().Str("server", string(id)).Uint64("revision", uint64(fact.Revision)).
				Dur("hold_ms", expiryDeferral).Msg("server's entry went while the store was away, held")
			continue
		}
		now = append(now, fact)
	}
	if len(later) > 0 {
		f.clock.AfterFunc(expiryDeferral, func() {
			f.Apply(later, "store")
			f.clearDeferred(later)
		})
	}
	return now
}

// clearDeferred ends holding back deletions.
func (f *FleetState) clearDeferred(facts []fleet.Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range facts {
		if f.deferred[facts[i].Key] == facts[i].Revision {
			delete(f.deferred, facts[i].Key)
		}
	}
	f.metrics.observeView(f.View(), f.newest, len(f.deferred))
}

// impliedDeletions returns the facts that are held but no longer in the store.
func (f *FleetState) impliedDeletions(got provider.FactBatch) []fleet.Fact {
	present := make(map[string]bool, len(got.Facts))
	for i := range got.Facts {
		present[got.Facts[i].Key] = true
	}
	var gone []fleet.Fact
	for _, item := range f.store.Prefix("") {
		if !present[item.Key] && !item.Deleted {
			gone = append(gone, fleet.Fact{Key: item.Key, Revision: got.Revision, Deleted: true})
		}
	}
	return gone
}

// Apply merges facts that were read from the store as they were written. Older ones than those
// held change nothing.
func (f *FleetState) Apply(facts []fleet.Fact, from string) { f.merge(f.itemsOf(facts), from, true) }

// itemsOf returns facts in their replicated form.
func (f *FleetState) itemsOf(facts []fleet.Fact) []state.Item {
	items := make([]state.Item, 0, len(facts))
	for i := range facts {
		item, err := facts[i].Item()
		if err != nil {
			f.log.Error().Str("fact", facts[i].Key).Err(err).Msg("fact not taken")
			continue
		}
		items = append(items, item)
	}
	return items
}

// ApplyInitial is Apply for the first reading of the store: what is there was written at any time
// before, also if another process has told a configuration meanwhile.
func (f *FleetState) ApplyInitial(facts []fleet.Fact, from string) {
	f.merge(f.itemsOf(facts), from, false)
}

// maxItemsLogged is how many servers' entries have a log line each when they come together. A process
// that starts hears of thousands at once, and so does each of thousands.
const maxItemsLogged = 16

// ApplyItems merges facts that another process tells, in their replicated form.
func (f *FleetState) ApplyItems(items []state.Item, from string) { f.merge(items, from, false) }

// merge merges facts. Witnessed is set if they were read from the store as they were written.
func (f *FleetState) merge(items []state.Item, from string, witnessed bool) {
	// What is believed follows the order in which the store takes facts: of two entries that
	// came at the same moment the older one was believed for good.
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.store.Apply(items, state.OriginLocal)
	if len(fresh) == 0 {
		return
	}
	log := f.log
	if len(fresh) > maxItemsLogged {
		f.log.Info().Int("facts", len(fresh)).Str("from", from).Msg("many facts taken")
		log = f.log.Level(zerolog.WarnLevel)
	}
	view := f.View()
	// What comes before any configuration was there when the process started.
	witnessed = witnessed && view.Configuration != nil
	servers, wanted := false, false
	for _, item := range fresh {
		delete(f.deferred, item.Key)
		f.newest = max(f.newest, fleet.Revision(item.Version.Major))
		fact, err := fleet.ParseFact(item)
		if err != nil {
			f.log.Error().Str("fact", item.Key).Err(err).Msg("fact not taken")
			continue
		}
		switch {
		case fact.Configuration != nil:
			view = f.applyConfiguration(view, &fact, from)
			// Whether a service is named there decides whether its servers are believed.
			servers = true
		case strings.HasPrefix(fact.Key, fleet.ServerKey("")):
			f.applyServer(&fact, from, &log)
			servers = true
		case strings.HasPrefix(fact.Key, fleet.DesiredKey("")):
			f.applyDesired(&fact, from, witnessed)
			wanted = true
		}
	}
	if servers {
		view = view.WithServers(f.currentServers(view.Configuration))
	}
	if wanted {
		view = view.WithPublishedVersions(maps.Clone(f.published))
	}
	f.setView(view)
}

// setView makes a view the one that is believed. The lock must be held.
func (f *FleetState) setView(view *fleet.View) {
	f.view.Store(view)
	f.metrics.observeView(view, f.newest, len(f.deferred))
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *FleetState) applyConfiguration(view *fleet.View, fact *fleet.Fact, from string) *fleet.View {
	held := view.Configuration
	if held != nil && fact.Configuration.Version < held.Version {
		f.log.Error().Uint64("version", fact.Configuration.Version).Uint64("held", held.Version).Msg("older configuration at a newer revision not taken")
		return view
	}
	f.log.Info().Uint64("version", fact.Configuration.Version).Uint64("revision", uint64(fact.Revision)).Str("from", from).
		Int("routes", len(fact.Configuration.Routes)).Int("organisations", len(fact.Configuration.Organisations)).Msg("configuration in force")
	if unread := fact.Configuration.Unreadable; unread != (fleet.UnreadableParts{}) {
		f.log.Error().Uint64("version", fact.Configuration.Version).Bool("routes", unread.Routes).Bool("services", unread.Services).
			Bool("organisations", unread.Organisations).Bool("limits", unread.Limits).Msg("parts of the configuration that can't be read stay as they were")
	}
	return view.WithConfiguration(fact.Configuration.WithFallback(held), fact.Revision)
}

// logFindings logs what is wrong with entries, once for each as long as it stays: an entry
// is read again whenever its writer repeats it.
func (f *FleetState) logFindings(findings []*provider.EntryError, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.unreadableEntries
	if whole {
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

// maxUnreadableEntries bounds the entries that are remembered as not readable: somebody who fills the
// store with them must not fill the memory of each box.
const maxUnreadableEntries = 1024

// applyDesired takes the name of a version. When it was named is known to a witness alone: a process
// that takes the moment at which another one told it for that would replace the guesses of all that have
// just started, and older weights would begin requests for too long.
func (f *FleetState) applyDesired(fact *fleet.Fact, from string, witnessed bool) {
	if fact.Desired == nil {
		return
	}
	model := fact.Desired.Model
	named := f.published[model]
	if len(named) > 0 && fact.Desired.Version <= named.Newest().Version {
		return
	}
	since := f.clock.Now()
	if !witnessed {
		since = since.Add(-f.assumedAge)
	}
	f.ageChanges++
	f.published[model] = named.With(fleet.PublishedVersion{
		Version: fact.Desired.Version, Revision: fact.Revision, PublishedAt: since, Observed: witnessed,
	})
	f.log.Info().Str("model", string(model)).Uint64("version", uint64(fact.Desired.Version)).Dur("age_ms", f.clock.Since(since)).
		Bool("witnessed", witnessed).Uint64("revision", uint64(fact.Revision)).Str("from", from).Msg("weights wanted")
}

// sleep waits, at most until the context ends.
func sleep(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(wait):
	}
}

func (p *Process) newFleetState() error {
	direct := p.settings.Direct
	p.fleetState = NewFleetState(p.options.Clock, p.options.Log, p.metrics)
	p.fleetState.assumedAge = assumedAgeAtStart(time.Duration(direct.VersionBound), time.Duration(direct.SettleTime))
	p.metrics.observeStoreAge(p.fleetState.StoreResponseAge)
	return p.services.Register(p.fleetState)
}

// startFleetState makes the facts of an entry box, which are read once the other
// entry boxes can be asked too.
func (p *Process) startFleetState() error { return p.newFleetState() }

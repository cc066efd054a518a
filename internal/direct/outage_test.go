package direct

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// testIntervals are the intervals for changes that must be in force within two seconds.
var testIntervals = readIntervalsFor(2 * time.Second)

// maxReadDelay is the time within which a box must read a change of the store: half of the two seconds within
// which the change must be in force, as the other half is for reporting it to other boxes.
const maxReadDelay = time.Second

// silentStore is a store that loses calls. A call made while it is silent never gets a response, even after the
// store recovers.
type silentStore struct {
	mu      sync.Mutex
	silent  bool
	version uint64
	changed chan struct{}
	// disconnected is closed when the open connections become silent. Connections opened later have another
	// channel.
	disconnected chan struct{}
}

func newSilentStore() *silentStore {
	return &silentStore{version: 1, changed: make(chan struct{}), disconnected: make(chan struct{})}
}

// setSilent starts or ends the outage. Calls that wait for changes are lost too.
func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// disconnect makes the open connections silent, so that their calls get no response.
func (s *silentStore) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.disconnected)
}

// reconnect makes later calls use a new connection.
func (s *silentStore) reconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected = make(chan struct{})
}

// configure writes a new version of the configuration.
func (s *silentStore) configure(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) source() provider.FactSource {
	return provider.FactSource{
		Snapshot: func(ctx context.Context) (provider.FactBatch, error) { return s.factsAfter(ctx, 0, 0) },
		Changes:  s.factsAfter, Reconnect: s.reconnect,
	}
}

func (s *silentStore) factsAfter(ctx context.Context, after fleet.Revision, wait time.Duration) (provider.FactBatch, error) {
	end := time.After(wait)
	s.mu.Lock()
	disconnected := s.disconnected
	s.mu.Unlock()
	for {
		s.mu.Lock()
		silent, revision, changed := s.silent, fleet.Revision(s.version), s.changed
		s.mu.Unlock()
		if silent || isClosed(disconnected) {
			<-ctx.Done()
			return provider.FactBatch{}, provider.ErrUnavailable
		}
		if revision > after {
			fact := fleet.Fact{Key: fleet.ConfigurationKey(), Revision: revision, Configuration: &fleet.Configuration{Version: uint64(revision)}}
			return provider.FactBatch{Facts: []fleet.Fact{fact}, Revision: revision}, nil
		}
		select {
		case <-disconnected:
		case <-changed:
		case <-end:
			return provider.FactBatch{Revision: after}, nil
		case <-ctx.Done():
			return provider.FactBatch{}, provider.ErrUnavailable
		}
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// awaitVersion returns the time until a configuration is in force, at most a minute.
func awaitVersion(fleetState *FleetState, version uint64) time.Duration {
	startedAt, limit := time.Now(), time.After(time.Minute)
	for {
		changed := fleetState.Changed()
		if view := fleetState.View(); view.Configuration != nil && view.Configuration.Version >= version {
			return time.Since(startedAt)
		}
		select {
		case <-changed:
		case <-limit:
			return time.Since(startedAt)
		}
	}
}

// Guards against slow detection of a recovered store. A call that the store lost just before its recovery, and the
// delay after it, hid the recovery for up to four seconds.
func TestRecoveredStoreIsReadPromptly(t *testing.T) {
	const shortest, longest, step = 2 * time.Second, 9 * time.Second, 100 * time.Millisecond
	for silent := shortest; silent <= longest; silent += step {
		synctest.Test(t, func(t *testing.T) {
			store, fleetState := newSilentStore(), NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
			defer func() { require.NoError(t, fleetState.Stop(context.Background())) }()
			fleetState.ReadStore(store.source(), testIntervals, func() bool { return true }, func() time.Duration { return probeIntervalFor(7) })
			awaitVersion(fleetState, 1)
			store.setSilent(true)
			time.Sleep(silent)
			store.setSilent(false)
			store.configure(2)
			assert.LessOrEqual(t, awaitVersion(fleetState, 2), maxReadDelay, "silent for %s", silent)
		})
	}
}

func TestProbeRateIsBoundedDuringOutage(t *testing.T) {
	for boxes, want := range map[int]time.Duration{
		1: minProbeInterval, 7: 700 * time.Millisecond, 39: maxProbeInterval, 300: maxProbeInterval, 2000: 10 * time.Second,
	} {
		require.Equal(t, want, probeIntervalFor(boxes), "%d boxes", boxes)
	}
}

// The open connections to the store become silent permanently, idle ones included, while new ones work.
func TestChangeIsReadDespiteSilentConnections(t *testing.T) {
	for phase := time.Duration(0); phase <= testIntervals.longPoll; phase += testIntervals.longPoll / 10 {
		synctest.Test(t, func(t *testing.T) {
			store, fleetState := newSilentStore(), NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
			defer func() { require.NoError(t, fleetState.Stop(context.Background())) }()
			fleetState.ReadStore(store.source(), testIntervals, func() bool { return true }, func() time.Duration { return probeIntervalFor(7) })
			awaitVersion(fleetState, 1)
			time.Sleep(5*time.Second + phase)
			synctest.Wait()
			store.disconnect()
			store.configure(2)
			assert.LessOrEqual(t, awaitVersion(fleetState, 2), testIntervals.longPoll+overdueAfter, "connections silent %s after a call", phase)
		})
	}
}

// newTestEntryBoxes returns the entry boxes known to a box that has received the given statuses.
func newTestEntryBoxes(fleetState *FleetState, statuses ...*wire.EntryStatus) *EntryBoxes {
	boxes := &EntryBoxes{
		suspects: noSuspectRequests(), fleetState: fleetState, clock: fleetState.clock, log: zerolog.Nop(), tasks: kernel.NewTaskGroup(),
		boxes: make(map[string]EntryBox), cursors: make(map[member.Address]state.Cursor),
		membership: newTestMembership(fleetState.clock, "self"), readers: newReaderSet("self", "", testIntervals.readerTimeout()),
	}
	boxes.self.Box = "self"
	for _, status := range statuses {
		boxes.updateBox(status.Peers, status, fleetState.clock.Now())
	}
	return boxes
}

func newTestStatusServer(fleetState *FleetState) *StatusServer {
	own := member.Record{Box: "reader", Peers: "reader:1", Incarnation: 1, Status: member.StatusStarting}
	return &StatusServer{suspects: noSuspectRequests(), clock: fleetState.clock, fleetState: fleetState, membership: NewMembership(own, fleetState.clock, zerolog.Nop())}
}

func configurationFact(version uint64, revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.ConfigurationKey(), Revision: revision, Configuration: &fleet.Configuration{Version: version}}
}

// Guards against a reader that defers the deletion of a server's entry and reports only the revision before it.
// For up to 2.2 s, no other box requested the configuration that the reader had read since.
func TestConfigurationIsReportedWhileDeletionsAreDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, clock := newTestFleetState()
		replayStore(t, clock, reader, outage(
			returnsFacts(5, listed("a", 3), configurationFact(1, 5)),
			returnsFacts(9, fleet.Fact{Key: fleet.ServerKey("a"), Revision: 6, Deleted: true}, configurationFact(2, 9)))...)
		require.EqualValues(t, 2, reader.View().Configuration.Version)
		follower := NewFleetState(clock, zerolog.Nop(), NewMetrics())
		follower.Apply([]fleet.Fact{listed("a", 3), configurationFact(1, 5)}, "store")
		status := newTestStatusServer(reader)
		boxes := newTestEntryBoxes(follower, status.fullStatus())
		isBehind := func() bool {
			boxes.updateBox("reader:1", status.fullStatus(), clock.Now())
			_, behind := boxes.pickNewer(nil)
			return behind
		}
		read := func() {
			require.NoError(t, boxes.applyBatch("reader:1", status.factsBatch(boxes.cursors["reader:1"], follower.mirror.Receiver(), false)))
		}
		require.True(t, isBehind(), "the follower must pull the new configuration")
		read()
		require.EqualValues(t, 2, follower.View().Configuration.Version)
		require.Len(t, follower.View().Servers("llm"), 1)
		require.False(t, isBehind(), "there is nothing to pull until the deletion is applied")
		clock.Advance(expiryDeferral)
		synctest.Wait()
		require.True(t, isBehind(), "the follower must pull the deletion")
		read()
		require.Empty(t, follower.View().Servers("llm"))
		require.False(t, isBehind())
	})
}

// A reader with an old cursor receives the deletions of expired entries again. Deletions of entries that are known
// to have returned must not be deferred, nor lower the reported watermarks.
func TestReturnedEntryIsNotDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		fleetState.Apply([]fleet.Fact{listed("a", 8), configurationFact(2, 9)}, "entry-2")
		replayStore(t, clock, fleetState, outage(returnsFacts(5, listed("a", 3)), returnsFacts(9, deleted(), listed("a", 8), configurationFact(2, 9)))...)
		require.Len(t, fleetState.View().Servers("llm"), 1)
		require.Equal(t, Watermarks{Newest: 9, Complete: 9, Ordered: fleetState.mirror.Status().Ordered}, fleetState.Watermarks())
	})
}

// Facts reach each region through its own reader. Guards against pulling them from whichever box has them first,
// which sent them over the links between regions once per box.
func TestBoxPullsFromOwnRegionFirst(t *testing.T) {
	fleetState, clock := newTestFleetState()
	status := func(box, region string) *wire.EntryStatus {
		return &wire.EntryStatus{Box: box, Peers: box, Region: region, Revision: 7}
	}
	boxes := newTestEntryBoxes(fleetState, status("far", "kurzeme"))
	boxes.self.Region = "riga"
	boxes.membership.Merge(recordItems(t, member.Record{Box: "far", Region: "kurzeme", Status: member.StatusUp}), "")
	nextSource := func(r *repairer, at time.Time) member.Address {
		if from, ok := r.nextSource(at); ok {
			return from
		}
		return ""
	}
	alone, now := &repairer{boxes: boxes}, clock.Now()
	require.Empty(t, nextSource(alone, now))
	require.Empty(t, nextSource(alone, now.Add(pullDelay-time.Millisecond)))
	require.Equal(t, member.Address("far"), nextSource(alone, now.Add(pullDelay)))
	boxes.updateBox("near", status("near", "riga"), now)
	boxes.readers.update(higherRankedBox("self"), now)
	require.False(t, boxes.isReader())
	require.Equal(t, member.Address("near"), nextSource(&repairer{boxes: boxes}, now))
}

// higherRankedBox returns a box that ranks higher than another one as a reader of the store.
func higherRankedBox(box member.BoxID) member.BoxID {
	for i := 0; ; i++ {
		other := member.BoxID(fmt.Sprintf("reader-%d", i))
		if member.Rank("reader/", []member.BoxID{box, other}, 1)[0] == other {
			return other
		}
	}
}

// Guards against treating one batch as complete because it contains the newest fact, while more facts follow.
func TestPartialBatchIsNotComplete(t *testing.T) {
	source, _ := newTestFleetState()
	var facts []fleet.Fact
	for i := range 2 * maxBatchItems {
		facts = append(facts, listed(fleet.ServerID(rune('a'+i)), fleet.Revision(2*maxBatchItems-i)))
	}
	applySnapshot(source, 2*maxBatchItems, facts...)
	status, follower := newTestStatusServer(source), NewFleetState(source.clock, zerolog.Nop(), NewMetrics())
	boxes := newTestEntryBoxes(follower, status.fullStatus())
	for range 2 {
		_, behind := boxes.pickNewer(nil)
		require.True(t, behind)
		require.NoError(t, boxes.applyBatch("reader:1", status.factsBatch(boxes.cursors["reader:1"], follower.mirror.Receiver(), false)))
	}
	require.NoError(t, boxes.applyBatch("reader:1", status.factsBatch(boxes.cursors["reader:1"], follower.mirror.Receiver(), false)))
	_, behind := boxes.pickNewer(nil)
	require.False(t, behind)
	require.Len(t, follower.View().Servers("llm"), 2*maxBatchItems)
}

// The batches of a large response are read in succession over one connection.
func TestPullReadsAllBatches(t *testing.T) {
	source, _ := newTestFleetState()
	var facts []fleet.Fact
	for i := range 2*maxBatchItems + 1 {
		facts = append(facts, listed(fleet.ServerID(rune('a'+i)), fleet.Revision(i+1)))
	}
	applySnapshot(source, 2*maxBatchItems+1, facts...)
	status := newTestStatusServer(source)
	status.done = make(chan struct{})
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, status))
	listener, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	server := daemon.NewPeerServer(listener, mux, zerolog.Nop())
	defer func() { require.NoError(t, server.Stop(context.Background())) }()
	follower := NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
	boxes := newTestEntryBoxes(follower)
	boxes.peers = daemon.NewPeerPool()
	require.NoError(t, boxes.pullFacts(t.Context(), member.Address(listener.Addr().String())))
	require.Equal(t, source.Watermarks(), follower.Watermarks())
	require.Len(t, follower.View().Servers("llm"), 2*maxBatchItems+1)
}

// Guards against pulling facts from one box at a time. An unresponsive box delayed the pull by two and a half
// seconds.
func TestUnresponsiveBoxDoesNotDelayPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState := NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
		fleetState.Apply([]fleet.Fact{configurationFact(1, 1)}, "store")
		status := func(box string) *wire.EntryStatus {
			return &wire.EntryStatus{Box: box, Peers: box, Revision: 2, Ready: true}
		}
		boxes := newTestEntryBoxes(fleetState, status("silent"), status("healthy"))
		var once sync.Once
		boxes.pull = func(ctx context.Context, from member.Address) error {
			// The first box that is queried is the silent one, so that the random choice does not matter.
			silent := false
			once.Do(func() { silent = true })
			if silent {
				pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
				defer cancel()
				<-pullCtx.Done()
				return pullCtx.Err()
			}
			fleetState.Apply([]fleet.Fact{configurationFact(2, 2)}, string(from))
			return nil
		}
		defer func() { require.NoError(t, boxes.Stop(context.Background())) }()
		boxes.tasks.Go(func(ctx context.Context) {
			for ctx.Err() == nil {
				boxes.updateBox("silent", status("silent"), time.Now())
				boxes.updateBox("healthy", status("healthy"), time.Now())
				sleep(ctx, fleetState.clock, statusHeartbeat)
			}
		})
		boxes.tasks.Go(boxes.repair)
		assert.LessOrEqual(t, awaitVersion(fleetState, 2), maxReadDelay)
	})
}

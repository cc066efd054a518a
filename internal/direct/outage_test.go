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

// testIntervals are those for changes that must be in force in two seconds.
var testIntervals = readIntervalsFor(2 * time.Second)

// maxReadDelay is in which time a box has to read a change of the store: half of the two
// seconds after which it has to be in force, so that others can be told in the other half.
const maxReadDelay = time.Second

// silentStore is a store that swallows calls: one that comes while it is silent never gets
// an answer, also after it is back.
type silentStore struct {
	mu      sync.Mutex
	silent  bool
	version uint64
	changed chan struct{}
	// disconnected is closed when the connections go silent; there is another one for those that are
	// opened later.
	disconnected chan struct{}
}

func newSilentStore() *silentStore {
	return &silentStore{version: 1, changed: make(chan struct{}), disconnected: make(chan struct{})}
}

// setSilent begins or ends the outage; calls that wait for changes are swallowed too.
func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// disconnect lets the calls on connections that are open hear nothing any more.
func (s *silentStore) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.disconnected)
}

// reconnect lets later calls use another connection.
func (s *silentStore) reconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected = make(chan struct{})
}

// configure writes another configuration.
func (s *silentStore) configure(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) source() provider.FactSource {
	return provider.FactSource{
		Snapshot: func(ctx context.Context) (provider.FactBatch, error) { return s.answer(ctx, 0, 0) },
		Changes:  s.answer, Reconnect: s.reconnect,
	}
}

func (s *silentStore) answer(ctx context.Context, after fleet.Revision, wait time.Duration) (provider.FactBatch, error) {
	end := time.After(wait)
	s.mu.Lock()
	cut := s.disconnected
	s.mu.Unlock()
	for {
		s.mu.Lock()
		silent, at, changed := s.silent, fleet.Revision(s.version), s.changed
		s.mu.Unlock()
		if silent || isClosed(cut) {
			<-ctx.Done()
			return provider.FactBatch{}, provider.ErrUnavailable
		}
		if at > after {
			fact := fleet.Fact{Key: fleet.ConfigurationKey(), Revision: at, Configuration: &fleet.Configuration{Version: uint64(at)}}
			return provider.FactBatch{Facts: []fleet.Fact{fact}, Revision: at}, nil
		}
		select {
		case <-cut:
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

// awaitVersion returns how long it takes until a configuration is in force, at most a minute.
func awaitVersion(facts *FleetState, version uint64) time.Duration {
	began, limit := time.Now(), time.After(time.Minute)
	for {
		changed := facts.Changed()
		if view := facts.View(); view.Configuration != nil && view.Configuration.Version >= version {
			return time.Since(began)
		}
		select {
		case <-changed:
		case <-limit:
			return time.Since(began)
		}
	}
}

// A call that the store had swallowed just before it came back, and the pause after it, hid
// for up to four seconds that it was back.
func TestRecoveredStoreIsReadPromptly(t *testing.T) {
	const shortest, longest, step = 2 * time.Second, 9 * time.Second, 100 * time.Millisecond
	for silent := shortest; silent <= longest; silent += step {
		synctest.Test(t, func(t *testing.T) {
			store, facts := newSilentStore(), NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
			defer func() { require.NoError(t, facts.Stop(context.Background())) }()
			facts.ReadStore(store.source(), testIntervals, func() bool { return true }, func() time.Duration { return probeIntervalFor(7) })
			awaitVersion(facts, 1)
			store.setSilent(true)
			time.Sleep(silent)
			store.setSilent(false)
			store.configure(2)
			assert.LessOrEqual(t, awaitVersion(facts, 2), maxReadDelay, "silent for %s", silent)
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

// The connections to the store go silent for good, the kept ones too, while new ones work.
func TestChangeIsReadDespiteSilentConnections(t *testing.T) {
	for phase := time.Duration(0); phase <= testIntervals.longPoll; phase += testIntervals.longPoll / 10 {
		synctest.Test(t, func(t *testing.T) {
			store, facts := newSilentStore(), NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
			defer func() { require.NoError(t, facts.Stop(context.Background())) }()
			facts.ReadStore(store.source(), testIntervals, func() bool { return true }, func() time.Duration { return probeIntervalFor(7) })
			awaitVersion(facts, 1)
			time.Sleep(5*time.Second + phase)
			synctest.Wait()
			store.disconnect()
			store.configure(2)
			assert.LessOrEqual(t, awaitVersion(facts, 2), testIntervals.longPoll+overdueAfter, "silent %s after a call", phase)
		})
	}
}

// newTestEntryBoxes returns what a box knows of one other that told its status.
func newTestEntryBoxes(facts *FleetState, told ...*wire.EntryStatus) *EntryBoxes {
	boxes := &EntryBoxes{
		suspects: noSuspectRequests(), fleetState: facts, clock: facts.clock, log: zerolog.Nop(), tasks: kernel.NewTaskGroup(),
		boxes: make(map[string]EntryBox), cursors: make(map[member.Address]state.Cursor),
		membership: newTestMembership(facts.clock, "self"), readers: newReaderSet("self", "", testIntervals.readerTimeout()),
	}
	boxes.self.Box = "self"
	for _, status := range told {
		boxes.updateBox(status.Peers, status, facts.clock.Now())
	}
	return boxes
}

func newTestStatusServer(facts *FleetState) *StatusServer {
	own := member.Record{Box: "reader", Peers: "reader:1", Incarnation: 1, Status: member.StatusStarting}
	return &StatusServer{suspects: noSuspectRequests(), clock: facts.clock, fleetState: facts, membership: NewMembership(own, facts.clock, zerolog.Nop())}
}

func configurationFact(version uint64, revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.ConfigurationKey(), Revision: revision, Configuration: &fleet.Configuration{Version: version}}
}

// A box that held back the deletion of a server's entry told the revision before it, so that
// nobody asked it, for up to 2.2 s, for the configuration that it had read since.
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
		read := func() { boxes.applyBatch("reader:1", status.factsBatch(boxes.cursors["reader:1"], false)) }
		require.True(t, isBehind(), "the follower has to ask for the new configuration")
		read()
		require.EqualValues(t, 2, follower.View().Configuration.Version)
		require.Len(t, follower.View().Servers("llm"), 1)
		require.False(t, isBehind(), "there is nothing to ask for until the deletion counts")
		clock.Advance(expiryDeferral)
		synctest.Wait()
		require.True(t, isBehind(), "the follower has to ask for the deletion")
		read()
		require.Empty(t, follower.View().Servers("llm"))
		require.False(t, isBehind())
	})
}

// A reader whose cursor is old hears once more of entries that lapsed; those that it knows to
// be back must not be held, nor keep it from telling what it knows.
func TestReturnedEntryIsNotDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		facts, clock := newTestFleetState()
		facts.Apply([]fleet.Fact{listed("a", 8), configurationFact(2, 9)}, "entry-2")
		replayStore(t, clock, facts, outage(returnsFacts(5, listed("a", 3)), returnsFacts(9, deleted(), listed("a", 8), configurationFact(2, 9)))...)
		require.Len(t, facts.View().Servers("llm"), 1)
		require.Equal(t, Watermarks{Newest: 9, Complete: 9}, facts.Watermarks())
	})
}

// Facts come to each region by its own reader; asked of whoever knew them first, they crossed
// the links between regions once for each box.
func TestBoxPullsFromOwnRegionFirst(t *testing.T) {
	facts, clock := newTestFleetState()
	status := func(box, region string) *wire.EntryStatus {
		return &wire.EntryStatus{Box: box, Peers: box, Region: region, Revision: 7}
	}
	boxes := newTestEntryBoxes(facts, status("far", "kurzeme"))
	boxes.self.Region = "riga"
	boxes.membership.Merge(recordItems(t, member.Record{Box: "far", Region: "kurzeme", Status: member.StatusUp}), "")
	asks := func(r *repairer, at time.Time) member.Address {
		if from, ok := r.nextSource(at); ok {
			return from
		}
		return ""
	}
	alone, now := &repairer{boxes: boxes}, clock.Now()
	require.Empty(t, asks(alone, now))
	require.Empty(t, asks(alone, now.Add(pullDelay-time.Millisecond)))
	require.Equal(t, member.Address("far"), asks(alone, now.Add(pullDelay)))
	boxes.updateBox("near", status("near", "riga"), now)
	boxes.readers.update(higherRankedBox("self"), now)
	require.False(t, boxes.isReader())
	require.Equal(t, member.Address("near"), asks(&repairer{boxes: boxes}, now))
}

// higherRankedBox returns a box that is to read the store rather than another one.
func higherRankedBox(box member.BoxID) member.BoxID {
	for i := 0; ; i++ {
		other := member.BoxID(fmt.Sprintf("reader-%d", i))
		if member.Rank("reader/", []member.BoxID{box, other}, 1)[0] == other {
			return other
		}
	}
}

// More facts than one batch holds were taken for all of them, once the newest was among them.
func TestPartialBatchIsNotComplete(t *testing.T) {
	source, _ := newTestFleetState()
	var facts []fleet.Fact
	for i := range 2 * maxBatchItems {
		facts = append(facts, listed(fleet.ServerID(rune('a'+i)), fleet.Revision(2*maxBatchItems-i)))
	}
	source.Apply(facts, "store")
	source.MarkComplete(2 * maxBatchItems)
	status, follower := newTestStatusServer(source), NewFleetState(source.clock, zerolog.Nop(), NewMetrics())
	boxes := newTestEntryBoxes(follower, status.fullStatus())
	for range 2 {
		_, behind := boxes.pickNewer(nil)
		require.True(t, behind)
		boxes.applyBatch("reader:1", status.factsBatch(boxes.cursors["reader:1"], false))
	}
	boxes.applyBatch("reader:1", status.factsBatch(boxes.cursors["reader:1"], false))
	_, behind := boxes.pickNewer(nil)
	require.False(t, behind)
	require.Len(t, follower.View().Servers("llm"), 2*maxBatchItems)
}

// The batches of a large answer come one after the other over one connection.
func TestPullReadsAllBatches(t *testing.T) {
	source, _ := newTestFleetState()
	var facts []fleet.Fact
	for i := range 2*maxBatchItems + 1 {
		facts = append(facts, listed(fleet.ServerID(rune('a'+i)), fleet.Revision(i+1)))
	}
	source.Apply(facts, "store")
	source.MarkComplete(2*maxBatchItems + 1)
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

// Facts were asked of one box after the other, so that a silent one held up all others for
// two and a half seconds.
func TestUnresponsiveBoxDoesNotDelayPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		facts := NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
		facts.Apply([]fleet.Fact{configurationFact(1, 1)}, "store")
		status := func(box string) *wire.EntryStatus {
			return &wire.EntryStatus{Box: box, Peers: box, Revision: 2, Ready: true}
		}
		boxes := newTestEntryBoxes(facts, status("silent"), status("sound"))
		var once sync.Once
		boxes.pull = func(ctx context.Context, from member.Address) error {
			// Whoever is asked first is the silent one, so that the draw does not matter.
			silent := false
			once.Do(func() { silent = true })
			if silent {
				pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
				defer cancel()
				<-pullCtx.Done()
				return pullCtx.Err()
			}
			facts.Apply([]fleet.Fact{configurationFact(2, 2)}, string(from))
			return nil
		}
		defer func() { require.NoError(t, boxes.Stop(context.Background())) }()
		boxes.tasks.Go(func(ctx context.Context) {
			for ctx.Err() == nil {
				boxes.updateBox("silent", status("silent"), time.Now())
				boxes.updateBox("sound", status("sound"), time.Now())
				sleep(ctx, facts.clock, statusHeartbeat)
			}
		})
		boxes.tasks.Go(boxes.repair)
		assert.LessOrEqual(t, awaitVersion(facts, 2), maxReadDelay)
	})
}

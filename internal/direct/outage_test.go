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

// testTimes are those for changes that must be in force in two seconds.
var testTimes = readTimesFor(2 * time.Second)

// readBound is in which time a box has to read a change of the store: half of the two
// seconds after which it has to be in force, so that others can be told in the other half.
const readBound = time.Second

// silentStore is a store that swallows calls: one that comes while it is silent never gets
// an answer, also after it is back.
type silentStore struct {
	mu      sync.Mutex
	silent  bool
	version uint64
	changed chan struct{}
	// cut is closed when the connections go silent; there is another one for those that are
	// opened later.
	cut chan struct{}
}

func newSilentStore() *silentStore {
	return &silentStore{version: 1, changed: make(chan struct{}), cut: make(chan struct{})}
}

// silence begins or ends the outage; calls that wait for changes are swallowed too.
func (s *silentStore) silence(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// silenceConnections lets the calls on connections that are open hear nothing any more.
func (s *silentStore) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
}

// reconnect lets later calls use another connection.
func (s *silentStore) reconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = make(chan struct{})
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
	cut := s.cut
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
func awaitVersion(facts *Facts, version uint64) time.Duration {
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
func TestAStoreThatIsBackIsReadSoonHoweverLongItWasSilent(t *testing.T) {
	const shortest, longest, step = 2 * time.Second, 9 * time.Second, 100 * time.Millisecond
	for silent := shortest; silent <= longest; silent += step {
		synctest.Test(t, func(t *testing.T) {
			store, facts := newSilentStore(), NewFacts(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
			defer func() { require.NoError(t, facts.Stop(context.Background())) }()
			facts.ReadStore(store.source(), testTimes, func() bool { return true }, func() time.Duration { return probePauseOf(7) })
			awaitVersion(facts, 1)
			store.silence(true)
			time.Sleep(silent)
			store.silence(false)
			store.configure(2)
			assert.LessOrEqual(t, awaitVersion(facts, 2), readBound, "silent for %s", silent)
		})
	}
}

func TestTheStoreIsCalledAtABoundedRateWhileItIsAway(t *testing.T) {
	for boxes, want := range map[int]time.Duration{
		1: probeShortest, 7: 700 * time.Millisecond, 39: probeLongest, 300: probeLongest, 2000: 10 * time.Second,
	} {
		require.Equal(t, want, probePauseOf(boxes), "%d boxes", boxes)
	}
}

// The connections to the store go silent for good, the kept ones too, while new ones work.
func TestAChangeIsReadAlthoughAllOpenConnectionsAreSilent(t *testing.T) {
	for phase := time.Duration(0); phase <= testTimes.watch; phase += testTimes.watch / 10 {
		synctest.Test(t, func(t *testing.T) {
			store, facts := newSilentStore(), NewFacts(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
			defer func() { require.NoError(t, facts.Stop(context.Background())) }()
			facts.ReadStore(store.source(), testTimes, func() bool { return true }, func() time.Duration { return probePauseOf(7) })
			awaitVersion(facts, 1)
			time.Sleep(5*time.Second + phase)
			synctest.Wait()
			store.silenceConnections()
			store.configure(2)
			assert.LessOrEqual(t, awaitVersion(facts, 2), testTimes.watch+overdueAfter, "silent %s after a call", phase)
		})
	}
}

// newTestBoxes returns what a box knows of one other that told its status.
func newTestBoxes(facts *Facts, told ...*wire.EntryStatus) *EntryBoxes {
	boxes := &EntryBoxes{
		suspects: noSuspects(), facts: facts, clock: facts.clock, log: zerolog.Nop(), duties: kernel.NewTaskGroup(),
		boxes: make(map[string]EntryBox), pulled: make(map[member.Address]state.Cursor),
		members: newTestMembers(facts.clock, "self"), readers: newReaders("self", "", testTimes.storeAway()),
	}
	boxes.self.Box = "self"
	for _, status := range told {
		boxes.update(status.Peers, status, facts.clock.Now())
	}
	return boxes
}

func newTestStatus(facts *Facts) *Status {
	own := member.Record{Box: "reader", Peers: "reader:1", Incarnation: 1, Status: member.StatusStarting}
	return &Status{suspects: noSuspects(), clock: facts.clock, facts: facts, members: NewMembers(own, facts.clock, zerolog.Nop())}
}

func configurationAt(version uint64, revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.ConfigurationKey(), Revision: revision, Configuration: &fleet.Configuration{Version: version}}
}

// A box that held back the deletion of a server's entry told the revision before it, so that
// nobody asked it, for up to 2.2 s, for the configuration that it had read since.
func TestAConfigurationReadAfterAnOutageIsToldWhileDeletionsAreHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, clock := newTestFacts()
		play(t, clock, reader, outage(
			gives(5, listed("a", 3), configurationAt(1, 5)),
			gives(9, fleet.Fact{Key: fleet.ServerKey("a"), Revision: 6, Deleted: true}, configurationAt(2, 9)))...)
		require.EqualValues(t, 2, reader.View().Configuration.Version)
		follower := NewFacts(clock, zerolog.Nop(), NewMetrics())
		follower.Apply([]fleet.Fact{listed("a", 3), configurationAt(1, 5)}, "store")
		status := newTestStatus(reader)
		boxes := newTestBoxes(follower, status.whole())
		isBehind := func() bool {
			boxes.update("reader:1", status.whole(), clock.Now())
			_, behind := boxes.newest(nil)
			return behind
		}
		read := func() { boxes.takeBatch("reader:1", status.batch(boxes.pulled["reader:1"], false)) }
		require.True(t, isBehind(), "the follower has to ask for the new configuration")
		read()
		require.EqualValues(t, 2, follower.View().Configuration.Version)
		require.Len(t, follower.View().Servers("llm"), 1)
		require.False(t, isBehind(), "there is nothing to ask for until the deletion counts")
		clock.Advance(lapseHold)
		synctest.Wait()
		require.True(t, isBehind(), "the follower has to ask for the deletion")
		read()
		require.Empty(t, follower.View().Servers("llm"))
		require.False(t, isBehind())
	})
}

// A reader whose cursor is old hears once more of entries that lapsed; those that it knows to
// be back must not be held, nor keep it from telling what it knows.
func TestALapsedEntryThatIsKnownToBeBackIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		facts, clock := newTestFacts()
		facts.Apply([]fleet.Fact{listed("a", 8), configurationAt(2, 9)}, "entry-2")
		play(t, clock, facts, outage(gives(5, listed("a", 3)), gives(9, gone(), listed("a", 8), configurationAt(2, 9)))...)
		require.Len(t, facts.View().Servers("llm"), 1)
		require.Equal(t, Extent{Newest: 9, Complete: 9}, facts.Extent())
	})
}

// Facts come to each region by its own reader; asked of whoever knew them first, they crossed
// the links between regions once for each box.
func TestABoxAsksAnotherRegionOnlyForWhatDoesNotComeToItsOwn(t *testing.T) {
	facts, clock := newTestFacts()
	status := func(box, region string) *wire.EntryStatus {
		return &wire.EntryStatus{Box: box, Peers: box, Region: region, Revision: 7}
	}
	boxes := newTestBoxes(facts, status("far", "kurzeme"))
	boxes.self.Region = "riga"
	boxes.members.Learn(recordsOf(t, member.Record{Box: "far", Region: "kurzeme", Status: member.StatusUp}), "")
	asks := func(r *repairer, at time.Time) member.Address {
		if from, ok := r.next(at); ok {
			return from
		}
		return ""
	}
	alone, now := &repairer{boxes: boxes}, clock.Now()
	require.Empty(t, asks(alone, now))
	require.Empty(t, asks(alone, now.Add(factsGap-time.Millisecond)))
	require.Equal(t, member.Address("far"), asks(alone, now.Add(factsGap)))
	boxes.update("near", status("near", "riga"), now)
	boxes.readers.heard(rankedBefore("self"), now)
	require.False(t, boxes.isReader())
	require.Equal(t, member.Address("near"), asks(&repairer{boxes: boxes}, now))
}

// rankedBefore returns a box that is to read the store rather than another one.
func rankedBefore(box member.BoxID) member.BoxID {
	for i := 0; ; i++ {
		other := member.BoxID(fmt.Sprintf("reader-%d", i))
		if member.Rank("reader/", []member.BoxID{box, other}, 1)[0] == other {
			return other
		}
	}
}

// More facts than one batch holds were taken for all of them, once the newest was among them.
func TestABatchThatIsCutDoesNotCountAsComplete(t *testing.T) {
	source, _ := newTestFacts()
	var facts []fleet.Fact
	for i := range 2 * factsLimit {
		facts = append(facts, listed(fleet.ServerID(rune('a'+i)), fleet.Revision(2*factsLimit-i)))
	}
	source.Apply(facts, "store")
	source.CompleteUpTo(2 * factsLimit)
	status, follower := newTestStatus(source), NewFacts(source.clock, zerolog.Nop(), NewMetrics())
	boxes := newTestBoxes(follower, status.whole())
	for range 2 {
		_, behind := boxes.newest(nil)
		require.True(t, behind)
		boxes.takeBatch("reader:1", status.batch(boxes.pulled["reader:1"], false))
	}
	boxes.takeBatch("reader:1", status.batch(boxes.pulled["reader:1"], false))
	_, behind := boxes.newest(nil)
	require.False(t, behind)
	require.Len(t, follower.View().Servers("llm"), 2*factsLimit)
}

// The batches of a large answer come one after the other over one connection.
func TestFactsThatFillSeveralBatchesAreReadAtOnce(t *testing.T) {
	source, _ := newTestFacts()
	var facts []fleet.Fact
	for i := range 2*factsLimit + 1 {
		facts = append(facts, listed(fleet.ServerID(rune('a'+i)), fleet.Revision(i+1)))
	}
	source.Apply(facts, "store")
	source.CompleteUpTo(2*factsLimit + 1)
	status := newTestStatus(source)
	status.done = make(chan struct{})
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, status))
	listener, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	server := daemon.NewPeerServer(listener, mux, zerolog.Nop())
	defer func() { require.NoError(t, server.Stop(context.Background())) }()
	follower := NewFacts(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
	boxes := newTestBoxes(follower)
	boxes.peers = daemon.NewPeers()
	require.NoError(t, boxes.readFacts(t.Context(), member.Address(listener.Addr().String())))
	require.Equal(t, source.Extent(), follower.Extent())
	require.Len(t, follower.View().Servers("llm"), 2*factsLimit+1)
}

// Facts were asked of one box after the other, so that a silent one held up all others for
// two and a half seconds.
func TestABoxThatDoesNotAnswerHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		facts := NewFacts(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
		facts.Apply([]fleet.Fact{configurationAt(1, 1)}, "store")
		status := func(box string) *wire.EntryStatus {
			return &wire.EntryStatus{Box: box, Peers: box, Revision: 2, Ready: true}
		}
		boxes := newTestBoxes(facts, status("silent"), status("sound"))
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
			facts.Apply([]fleet.Fact{configurationAt(2, 2)}, string(from))
			return nil
		}
		defer func() { require.NoError(t, boxes.Stop(context.Background())) }()
		boxes.duties.Go(func(ctx context.Context) {
			for ctx.Err() == nil {
				boxes.update("silent", status("silent"), time.Now())
				boxes.update("sound", status("sound"), time.Now())
				sleep(ctx, facts.clock, statusHeartbeat)
			}
		})
		boxes.duties.Go(boxes.repair)
		assert.LessOrEqual(t, awaitVersion(facts, 2), readBound)
	})
}

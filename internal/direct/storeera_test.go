package direct

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// eraState is a fleet state that has read the store. It must run in a synctest bubble.
type eraState struct{ *FleetState }

func newEraState(facts ...fleet.Fact) *eraState {
	f := &eraState{NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())}
	f.snapshot(fleet.NewRevision(1, 20), facts...)
	return f
}

// snapshot reads a snapshot, at a revision that is also that of its facts.
func (f *eraState) snapshot(revision fleet.Revision, facts ...fleet.Fact) {
	for i := range facts {
		facts[i].Revision = revision
	}
	f.noteStoreResponse()
	f.ApplySnapshot(&provider.FactBatch{Facts: facts, Revision: revision}, false)
}

// change reads a change.
func (f *eraState) change(revision fleet.Revision, fact fleet.Fact) {
	fact.Revision = revision
	f.noteStoreResponse()
	f.ApplyChanges(&provider.FactBatch{Facts: []fleet.Fact{fact}, Revision: revision}, revision-1, false)
}

// wait lets time pass, while the store responds.
func (f *eraState) wait(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.noteStoreResponse()
		time.Sleep(50 * time.Millisecond)
	}
	synctest.Wait()
}

// inBubble returns a test that runs in virtual time.
func inBubble(test func(t *testing.T)) func(t *testing.T) {
	return func(t *testing.T) { synctest.Test(t, test) }
}

func readyServer(incarnation member.Incarnation) fleet.Fact { return listedIncarnation(incarnation, 0) }

func leavingServer() fleet.Fact {
	fact := listedIncarnation(5, 0)
	fact.Server.Leaving = true
	return fact
}

// Guards against using a server that was leaving, or whose entry was deleted, because the copy lists it as ready.
func TestServerOfACopyIsNotUsedAgain(t *testing.T) {
	second := fleet.NewRevision(2, 10)
	for name, test := range map[string]struct {
		before []fleet.Fact
		after  func(f *eraState)
		used   bool
		ready  bool
	}{
		"was leaving":                    {[]fleet.Fact{leavingServer()}, func(*eraState) {}, true, false},
		"was leaving, is written again":  {[]fleet.Fact{leavingServer()}, func(f *eraState) { f.change(second+1, readyServer(5)) }, true, false},
		"was leaving, later incarnation": {[]fleet.Fact{leavingServer()}, func(f *eraState) { f.change(second+1, readyServer(6)) }, true, true},
		"was deleted":                    {[]fleet.Fact{deletedAt(0)}, func(*eraState) {}, false, false},
		"was deleted, store answers":     {[]fleet.Fact{deletedAt(0)}, func(f *eraState) { f.wait(withholdTime - time.Second) }, false, false},
		"was deleted, is written again":  {[]fleet.Fact{deletedAt(0)}, func(f *eraState) { f.change(second+1, readyServer(5)) }, true, true},
		"was deleted, entry has lasted":  {[]fleet.Fact{deletedAt(0)}, func(f *eraState) { f.wait(withholdTime + time.Second) }, true, true},
		"was deleted, later incarnation": {[]fleet.Fact{deletedAt(0)}, func(f *eraState) { f.change(second+1, readyServer(6)) }, true, true},
		"was deleted, is deleted again":  {[]fleet.Fact{deletedAt(0)}, func(f *eraState) { f.change(second+1, deletedAt(0)); f.wait(withholdTime) }, false, false},
		"was deleted, copy again": {[]fleet.Fact{deletedAt(0)}, func(f *eraState) {
			f.wait(3 * time.Second)
			f.snapshot(fleet.NewRevision(3, 5), readyServer(5))
			f.wait(time.Second)
		}, false, false},
		"was leaving and deleted, lasted": {[]fleet.Fact{leavingServer(), deletedAt(0)}, func(f *eraState) { f.wait(withholdTime + time.Second) }, true, false},
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			f := newEraState(readyServer(5))
			for i, fact := range test.before {
				f.change(fleet.Revision(21+i), fact)
			}
			f.snapshot(second, readyServer(5))
			test.after(f)
			servers := f.View().Servers("llm")
			require.Equal(t, test.used, len(servers) == 1, "%v", servers)
			require.Equal(t, test.ready, len(servers) == 1 && !servers[0].Leaving, "%v", servers)
		}))
	}
}

// Guards against using a server of the copy although its entry was deleted again, while the boxes that read the store defer
// that. Entry boxes receive reports of what others know; agents receive facts alone.
func TestServerOfACopyIsWithheldWhileOthersDeferItsDeletion(t *testing.T) {
	for name, hasReports := range map[string]bool{"entry box": true, "agent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, second := newEraState(readyServer(5)), fleet.NewRevision(2, 10)
				f.change(21, deletedAt(0))
				f.snapshot(second, readyServer(5))
				f.wait(entryLapse)
				// Another box has the deletion, which it defers, and a later change, which it passes on.
				later := fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: &fleet.Configuration{Version: 2}, Revision: second + 2}
				item, err := later.Item()
				require.NoError(t, err)
				require.NoError(t, f.ApplyTransfer(&state.Transfer{Batch: state.Batch{Items: []state.Item{item}}}, "entry-2"))
				if hasReports {
					f.noteReport(second+2, nil)
				}
				f.wait(expiryDeferral + 500*time.Millisecond)
				require.Empty(t, f.View().Servers("llm"))
				f.change(second+1, deletedAt(0))
				f.wait(maxEraWait)
				require.Empty(t, f.View().Servers("llm"))
			})
		})
	}
}

// Guards against using a server of the copy at a process that started after the deletion of its entry.
func TestServerOfACopyThatWasDeletedBeforeTheStartIsNotUsed(t *testing.T) {
	for name, test := range map[string]struct {
		incarnation func() member.Incarnation
		number      uint64
		used        bool
	}{
		"started before the process":                      {func() member.Incarnation { return 5 }, 10, false},
		"started after the process":                       {func() member.Incarnation { return member.Incarnation(time.Now().Add(3 * time.Second).UnixMilli()) }, 10, true},
		"without an incarnation":                          {func() member.Incarnation { return 0 }, 10, true},
		"listed later than the process knew every change": {func() member.Incarnation { return 5 }, 21, true},
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			f := newEraState()
			f.snapshot(fleet.NewRevision(2, test.number), readyServer(test.incarnation()))
			require.Equal(t, test.used, len(f.View().Servers("llm")) == 1)
			f.wait(withholdTime + time.Second)
			require.Len(t, f.View().Servers("llm"), 1)
		}))
	}
}

// Guards against dropping what a copy lacks before its writer had time to write it again.
func TestWhatACopyLacksIsDeferred(t *testing.T) { synctest.Test(t, checkWhatACopyLacksIsDeferred) }

func checkWhatACopyLacksIsDeferred(t *testing.T) {
	evacuation := fleet.Fact{Key: fleet.EvacuationKey("hall-a"), Evacuation: &fleet.Evacuation{Domain: "hall-a"}}
	f := newEraState(readyServer(5), evacuation)
	f.snapshot(fleet.NewRevision(2, 10))
	f.wait(expiryDeferral - 200*time.Millisecond)
	require.Len(t, f.View().Servers("llm"), 1)
	require.Equal(t, []member.FailureDomain{"hall-a"}, f.EvacuatedDomains())
	require.EqualValues(t, 1, f.Watermarks().Complete.Era(), "a deferred deletion must not count as known")
	f.wait(time.Second)
	require.Empty(t, f.View().Servers("llm"))
	require.Empty(t, f.EvacuatedDomains())
	require.Equal(t, "2:10", f.Watermarks().Complete.String())
}

// Guards against deleting what another copy lacks as soon as the time after the first one is over.
func TestDeferralStartsAnewWithEachEra(t *testing.T) {
	synctest.Test(t, checkDeferralStartsAnewWithEachEra)
}

func checkDeferralStartsAnewWithEachEra(t *testing.T) {
	f := newEraState(readyServer(5))
	f.snapshot(fleet.NewRevision(2, 10))
	f.wait(2 * time.Second)
	f.snapshot(fleet.NewRevision(3, 10))
	f.wait(2 * time.Second)
	require.Len(t, f.View().Servers("llm"), 1)
	f.change(fleet.NewRevision(3, 11), readyServer(5))
	f.wait(time.Second)
	require.Len(t, f.View().Servers("llm"), 1)
	require.Equal(t, "3:11", f.Watermarks().Complete.String())
}

// Guards against deferring the deletion of an entry in the current era.
func TestDeletionInTheCurrentEraIsNotDeferred(t *testing.T) {
	synctest.Test(t, checkDeletionInTheCurrentEraIsNotDeferred)
}

func checkDeletionInTheCurrentEraIsNotDeferred(t *testing.T) {
	f := newEraState(readyServer(5))
	f.snapshot(fleet.NewRevision(2, 10), readyServer(5))
	f.change(fleet.NewRevision(2, 11), deletedAt(0))
	require.Empty(t, f.View().Servers("llm"))
}

// Guards against an older configuration or an older desired version of a copy.
func TestOlderVersionsOfACopyAreNotTaken(t *testing.T) {
	synctest.Test(t, checkOlderVersionsOfACopyAreNotTaken)
}

func checkOlderVersionsOfACopyAreNotTaken(t *testing.T) {
	desired := func(version fleet.WeightsVersion) fleet.Fact {
		return fleet.Fact{Key: fleet.DesiredKey("m"), Desired: &fleet.DesiredVersion{Model: "m", Version: version}}
	}
	f := newEraState(configurationFact(7, 0), desired(3))
	f.snapshot(fleet.NewRevision(2, 10), configurationFact(5, 0), desired(2))
	require.EqualValues(t, 7, f.View().Configuration.Version)
	require.EqualValues(t, 3, f.published["m"].Newest().Version)
	f.change(fleet.NewRevision(2, 11), configurationFact(6, 0))
	require.EqualValues(t, 7, f.View().Configuration.Version)
	f.change(fleet.NewRevision(2, 12), configurationFact(8, 0))
	require.EqualValues(t, 8, f.View().Configuration.Version)
}

// Guards against a response of the store that seems later with each relay: servers that the store had deleted were used.
func TestRelayedReportIsNoLaterResponse(t *testing.T) {
	reader := func(box string, age time.Duration) *wire.StoreReader {
		return &wire.StoreReader{Box: box, AgeMilliseconds: uint64(age.Milliseconds())}
	}
	for name, test := range map[string]struct {
		reader, other *wire.StoreReader
		lacks         bool
	}{
		"response to this box, relayed":        {reader("reader", time.Second), reader("self", 0), true},
		"response to another box, relayed":     {reader("reader", time.Second), reader("reader", 0), true},
		"later response to another box":        {reader("reader", 0), reader("reader", time.Second), false},
		"later response to a box not followed": {reader("reader", time.Second), reader("far", 0), false},
	} {
		t.Run(name, func(t *testing.T) {
			f, clock := newTestFleetState()
			since := clock.Now()
			f.noteStoreResponse()
			clock.Advance(entryLapse + 500*time.Millisecond)
			newTestEntryBoxes(f, &wire.EntryStatus{Box: "reader", Peers: "reader", Readers: []*wire.StoreReader{test.reader}},
				&wire.EntryStatus{Box: "other", Peers: "other", Readers: []*wire.StoreReader{test.other}})
			require.Equal(t, test.lacks, f.mayLackChanges(since, entryLapse))
		})
	}
}

// Guards against a response that counts before its changes are applied: a deferred deletion was applied in between.
func TestResponseCountsOnceItsChangesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEraState(readyServer(5))
		f.noteStoreResponse()
		heardAt, applied := f.StoreRespondedAt(), false
		f.log = zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
			if strings.HasSuffix(message, "while the store was away, held") {
				applied = true
				require.Equal(t, heardAt, f.storeResponded)
			}
		}))
		source := provider.FactSource{Snapshot: func(context.Context) (provider.FactBatch, error) {
			time.Sleep(time.Second)
			return provider.FactBatch{Revision: fleet.NewRevision(2, 10)}, nil
		}}
		reader := &storeReader{fleetState: f.FleetState, source: source, intervals: testIntervals, shouldRead: func() bool { return true }}
		reader.probeInterval = func() time.Duration { return time.Second }
		reader.readOnce(t.Context())
		require.True(t, applied)
		require.Equal(t, time.Second, f.StoreRespondedAt().Sub(heardAt))
	})
}

// Guards against a message that a frozen box receives late and takes for a new one: a deferred deletion was applied while
// the store was away.
func TestLateReportIsNoLaterResponse(t *testing.T) {
	for name, test := range map[string]struct {
		sent  time.Duration
		lacks bool
	}{
		"sent when it arrives":         {expiryDeferral + time.Second, false},
		"sent long before it arrives":  {time.Second, true},
		"sent before the wait is over": {expiryDeferral - 10*time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			f, clock := newTestFleetState()
			since := clock.Now()
			message := func(sent time.Duration) *wire.EntryStatus {
				return &wire.EntryStatus{
					Box: "reader", Peers: "reader", Readers: []*wire.StoreReader{{Box: "reader"}}, SentMilliseconds: proto.Uint64(uint64(sent.Milliseconds())),
				}
			}
			boxes := newTestEntryBoxes(f, message(0))
			clock.Advance(expiryDeferral + time.Second)
			boxes.updateBox("reader", message(test.sent), clock.Now())
			require.Equal(t, test.lacks, f.mayLackChanges(since, expiryDeferral))
		})
	}
}

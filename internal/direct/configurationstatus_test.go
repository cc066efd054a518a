package direct

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// applyFromStore applies facts of a response that the store has just made.
func applyFromStore(f *FleetState, facts []fleet.Fact) {
	f.Apply(facts, "store")
	f.confirmConfiguration(f.clock.Now())
}

// Guards against denying a proper request, which its caller does not repeat, by a configuration that nothing has
// confirmed for longer than a change may take.
func TestUnconfirmedConfigurationDeniesNothing(t *testing.T) {
	valid := factsFromStore(t, validConfiguration, 3)
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		replayStore(t, clock, fleetState, returnsFacts(3, valid.Facts...))
		require.Equal(t, http.StatusNotFound, admitStatus(t, fleetState, "/find/1", "Bearer k"), "just confirmed")
		require.Equal(t, http.StatusUnauthorized, admitStatus(t, fleetState, "/look/1", "Bearer wrong"), "just confirmed")
		clock.Advance(5 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/find/1", "Bearer k"), "the route may exist by now")
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/look/1", "Bearer wrong"), "the key may exist by now")
		require.Equal(t, admitted, admitStatus(t, fleetState, "/look/1", "Bearer k"), "the held configuration allows it")
	})
}

// statement returns a confirmation of the test's readers.
func statement(reader uint32, response, version uint64, at time.Time) *confirmation {
	return &confirmation{reader: reader, response: response, version: version, at: at}
}

// Guards against processes that are cut off together and make a response of the store newer and newer by passing it on to
// each other: each time adds the time for which the message was under way.
func TestResponseOfTheStoreConfirmsOnce(t *testing.T) {
	start := time.Now()
	c := newConfirmations(2 * time.Second)
	c.take(statement(1, 7, 4, start), start)
	c.take(statement(2, 3, 4, start.Add(10*time.Millisecond)), start.Add(20*time.Millisecond))
	for i := range 400 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		c.take(statement(1, 7, 4, now), now)
		c.take(statement(2, 3, 4, now), now)
	}
	require.Equal(t, start.Add(10*time.Millisecond), c.latest.at)
	require.Equal(t, configurationCurrent, c.status(4, 0, start.Add(2*time.Second)))
	require.Equal(t, configurationUnconfirmed, c.status(4, 0, start.Add(2010*time.Millisecond)))
	require.Zero(t, c.forReport(start.Add(2010*time.Millisecond)), "not passed on once it is older than the bound")
	later := start.Add(2100 * time.Millisecond)
	c.take(statement(1, 8, 4, later), later)
	require.Equal(t, configurationCurrent, c.status(4, 0, later))
}

// Guards against a configuration that counts as current although the store has a later one, and against one that stays
// behind a version that the store has lost.
func TestLaterVersionMakesAConfigurationBehind(t *testing.T) {
	start := time.Now()
	c := newConfirmations(5 * time.Second)
	c.take(statement(1, 1, 4, start), start)
	c.take(statement(2, 1, 5, start.Add(-100*time.Millisecond)), start)
	require.Equal(t, configurationBehind, c.status(4, 0, start), "whichever response is newer by estimate")
	require.Equal(t, configurationCurrent, c.status(5, 0, start))
	c.take(statement(1, 2, 4, start.Add(300*time.Millisecond)), start.Add(300*time.Millisecond))
	require.Equal(t, configurationBehind, c.status(4, 0, start.Add(300*time.Millisecond)), "read at about the same time")
	c.take(statement(1, 3, 4, start.Add(time.Second)), start.Add(time.Second))
	require.Equal(t, configurationCurrent, c.status(4, 0, start.Add(time.Second)), "the store came back from a copy")
}

// Guards against counting a response from when it arrives, if the store made it earlier.
func TestConfirmationCountsFromWhenTheStoreMadeIt(t *testing.T) {
	start := time.Now()
	call := storeResponse{started: start, due: start.Add(time.Second)}
	require.Equal(t, start.Add(300*time.Millisecond), responseMadeAt(&call, start.Add(300*time.Millisecond)), "a change")
	require.Equal(t, start.Add(time.Second), responseMadeAt(&call, start.Add(1800*time.Millisecond)), "a late response")
	call.snapshot = true
	require.Equal(t, start, responseMadeAt(&call, start.Add(300*time.Millisecond)), "a snapshot of several pages")
}

// Guards against boxes that refuse everything unknown while they run beside boxes of a version without confirmations.
func TestReportsWithoutConfirmationsConfirm(t *testing.T) {
	f, clock := newTestFleetState()
	f.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 3, Configuration: &fleet.Configuration{Version: 3}}}, "peer")
	require.Equal(t, configurationUnconfirmed, f.configurationStatus())
	status := func(ordered uint64, age time.Duration) *wire.EntryStatus {
		return &wire.EntryStatus{
			Box: "old", Peers: "old:1", Ordered: ordered, Readers: []*wire.StoreReader{{Box: "old", AgeMilliseconds: uint64(age.Milliseconds())}},
		}
	}
	own := f.Watermarks().Ordered
	boxes := newTestEntryBoxes(f)
	boxes.updateBox("old:1", status(own+1, 0), clock.Now())
	require.NotEqual(t, configurationCurrent, f.configurationStatus(), "the other box knows a later configuration")
	clock.Advance(statusTimeout)
	boxes.updateBox("old:1", status(own, time.Second), clock.Now())
	require.Equal(t, configurationCurrent, f.configurationStatus())
	require.Equal(t, time.Second, f.ConfirmationAge())
	require.Zero(t, f.confirmation(), "not passed on: nothing identifies the response")
	boxes.updateBox("old:1", status(own+1, 0), clock.Now())
	require.Equal(t, configurationBehind, f.configurationStatus())
	clock.Advance(2 * time.Second)
	require.Equal(t, configurationUnconfirmed, f.configurationStatus())
}

// Guards against rejecting a body as too long by a limit that may be outdated.
func TestBodyOverAnOutdatedLimitIsRefused(t *testing.T) {
	for name, length := range map[string]int64{"known length": 100, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			f, clock := newTestFleetState()
			applyFromStore(f, factsFromStore(t, validConfiguration, 3).Facts)
			send := func(size int) int {
				s := newTestCallerServer(f)
				request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/look/1", strings.NewReader(strings.Repeat("a", size)))
				request.ContentLength = min(length, int64(size))
				recorder := httptest.NewRecorder()
				if s.readBody(&exchange{writer: recorder, request: request, arrived: clock.Now(), route: new(fleet.Route)}) {
					return admitted
				}
				return recorder.Code
			}
			require.Equal(t, http.StatusRequestEntityTooLarge, send(100))
			require.Equal(t, admitted, send(70))
			f.noteConfirmation(statement(1, 1, 5, clock.Now()))
			require.Equal(t, http.StatusServiceUnavailable, send(100), "a later configuration may allow it")
			require.Equal(t, admitted, send(70), "the held one allows it")
			clock.Advance(5 * time.Second)
			require.Equal(t, http.StatusServiceUnavailable, send(100), "nothing confirms the held one")
		})
	}
}

// Guards against taking a box whose confirmations are too old to pass on for one of a version without confirmations: what
// it reports of readers may have come in a circle.
func TestBoxWithoutACurrentConfirmationConfirmsNothing(t *testing.T) {
	f, clock := newTestFleetState()
	f.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 3, Configuration: &fleet.Configuration{Version: 3}}}, "peer")
	cursor := statusCursor{fullStatus: func() *wire.EntryStatus {
		return &wire.EntryStatus{Box: "other", Peers: "other:1", Ordered: f.Watermarks().Ordered}
	}}
	summary := statusSummary{readers: []*wire.StoreReader{{Box: "other"}}}
	newTestEntryBoxes(f, cursor.nextMessage(summary, nil, nil, clock.Now(), false))
	require.Equal(t, configurationUnconfirmed, f.configurationStatus())
}

// Guards against denying a request that the newest configuration may allow, because that one can't be read at all and the
// held one counts as the newest.
func TestUnreadableConfigurationConfirmsNothing(t *testing.T) {
	valid, unreadable := factsFromStore(t, validConfiguration, 3), factsFromStore(t, `{"Version":{}}`, 4)
	mended := factsFromStore(t, strings.Replace(validConfiguration, `"Version":4`, `"Version":5`, 1), 5)
	returns := func(batch provider.FactBatch) func() (provider.FactBatch, error) {
		return func() (provider.FactBatch, error) { return batch, nil }
	}
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		replayStore(t, clock, fleetState, returns(valid), returns(unreadable), returns(provider.FactBatch{Revision: 4}))
		clock.Advance(1900 * time.Millisecond)
		replayStore(t, clock, fleetState, returns(unreadable))
		clock.Advance(1900 * time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/find/1", "Bearer k"), "the route may be in the one that can't be read")
		require.Equal(t, admitted, admitStatus(t, fleetState, "/look/1", "Bearer k"))
		replayStore(t, clock, fleetState, returns(mended))
		require.Equal(t, http.StatusNotFound, admitStatus(t, fleetState, "/find/1", "Bearer k"), "the mended one is held")
	})
}

// Guards against confirmations that seem older and older on a stream of which only some messages say when they were made,
// because the clocks of the two boxes differ.
func TestSendTimesFollowClocksBetweenMessagesWithoutThem(t *testing.T) {
	start := time.Now()
	var box EntryBox
	for elapsed := time.Duration(0); elapsed < time.Hour; elapsed += statusInterval {
		before, status := box, &wire.EntryStatus{Partial: true}
		box.LastSeen = start.Add(elapsed)
		if elapsed%(10*statusInterval) == 0 {
			status.SentMilliseconds = new(uint64((elapsed - elapsed/(2*maxClockDrift)).Milliseconds()))
		}
		if sentAt := box.noteSent(status, &before); status.SentMilliseconds != nil {
			require.LessOrEqual(t, box.LastSeen.Sub(sentAt), 10*time.Millisecond, "after %s", elapsed)
		}
	}
}

package direct

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// After a loss of power all boxes start at once: none knows the others, and what they
// used before still counts.
func TestNewBoxUsesSmallShareOfRetries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := &CallerServer{suspects: noSuspectRequests(), recentResponses: newRecentResponses(), clock: clock, started: clock.Now(), retries: retryLimits{ratio: 0.2, extra: 100, window: 10 * time.Second}}
	require.Less(t, f.retryExtra(), 2.0)
	clock.Advance(9 * time.Second)
	require.Less(t, f.retryExtra(), 2.0)
	clock.Advance(time.Second)
	require.InDelta(t, 100*retrySafety, f.retryExtra(), 1e-9)
	members := newTestMembership(clock, "self")
	for _, name := range []member.BoxID{"a", "b"} {
		members.Merge(recordItems(t, member.Record{Box: name, Status: member.StatusUp}), "a")
	}
	f.entries.Store(&EntryBoxes{membership: members})
	require.InDelta(t, 100*retrySafety/3, f.retryExtra(), 1e-9)
}

// When many boxes are behind, they do not all ask the same one.
func TestBoxesBehindPullFromDifferentBoxes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	facts, _ := newTestFleetState()
	e := &EntryBoxes{clock: clock, fleetState: facts, boxes: make(map[string]EntryBox)}
	e.self.Region = "riga"
	for _, name := range []string{"a", "b", "c"} {
		e.boxes[name] = EntryBox{Box: member.BoxID(name), Region: "riga", Watermarks: Watermarks{Newest: 7}, LastSeen: clock.Now()}
	}
	e.boxes["far"] = EntryBox{Box: "far", Region: "kurzeme", Watermarks: Watermarks{Newest: 9}, LastSeen: clock.Now()}
	asked := make(map[member.BoxID]bool)
	for range 200 {
		box, ok := e.pickNewer(nil)
		require.True(t, ok)
		asked[box.Box] = true
	}
	require.Equal(t, map[member.BoxID]bool{"a": true, "b": true, "c": true}, asked)
}

// A box that had just started refused for good whoever had come back to it, some
// milliseconds before it knew the configuration.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	facts, clock := newTestFleetState()
	f := &CallerServer{suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: facts, clock: clock}
	x := &exchange{InboundMetadata: provider.InboundMetadata{Deadline: 4 * time.Second}, request: httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)}
	got := make(chan *fleet.View, 1)
	go func() { got <- f.awaitConfiguration(x) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	facts.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 3}}}, "store")
	require.EqualValues(t, 3, (<-got).Configuration.Version)

	empty, clock := newTestFleetState()
	f = &CallerServer{suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: empty, clock: clock}
	go func() { got <- f.awaitConfiguration(x) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Duration(configurationWaitFraction * float64(x.Deadline)))
	require.Nil(t, (<-got).Configuration, "it does not wait for longer than a part of its time")
}

// A request that came five seconds after a planned stop had begun was held for a place,
// and cut when the grace was over.
func TestLeavingBoxRefusesLateRequests(t *testing.T) {
	facts, clock := newTestFleetState()
	facts.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 3}}}, "store")
	f := &CallerServer{
		suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: facts, clock: clock, metrics: NewMetrics(), log: zerolog.Nop(),
		protocol: provider.CallerProtocol{ReadRequest: func(*http.Request) provider.InboundMetadata { return provider.InboundMetadata{} }},
	}
	f.leavingSince = clock.Now()
	f.leaving.Store(true)
	ask := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/none/", http.NoBody)
		require.NoError(t, f.serve(echo.New().NewContext(request, recorder)))
		require.Equal(t, "close", recorder.Header().Get("Connection"))
		return recorder
	}
	require.Equal(t, http.StatusNotFound, ask().Code, "a request that comes early is taken")
	clock.Advance(leaveAcceptDuration)
	refused := ask()
	require.Equal(t, http.StatusServiceUnavailable, refused.Code)
	require.NotEmpty(t, refused.Header().Get("Retry-After"))
}

// One who had been refused counted as in time for another objective, and took places
// from those who came for the first time. Taking the remaining time alone for it, those who
// wait for less than others counted as refused ones.
func TestObjectiveCountsFromFirstTry(t *testing.T) {
	facts, clock := newTestFleetState()
	f := &CallerServer{suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: facts, clock: clock, log: zerolog.Nop(), metrics: NewMetrics(), callerTimeouts: make(map[string]*route.CallerTimeoutEstimator)}
	come := func(target string, left time.Duration) (*exchange, *route.SlotRequest) {
		x := &exchange{
			InboundMetadata: provider.InboundMetadata{Deadline: left}, arrived: clock.Now(), writer: httptest.NewRecorder(),
			request: httptest.NewRequestWithContext(t.Context(), http.MethodPost, target, http.NoBody),
			route:   &fleet.Route{Name: "draft", Objective: 400 * time.Millisecond, Timeout: 6 * time.Second},
		}
		f.setDeadline(x)
		return x, f.slotRequest(x, nil, false)
	}
	for i := range route.CallerTimeoutMinSamples {
		_, ask := come(fmt.Sprintf("/new/%d", i), 6*time.Second)
		require.Equal(t, clock.Now().Add(400*time.Millisecond), ask.Objective)
		require.False(t, ask.Retry)
	}
	refused, _ := come("/a", 6*time.Second)
	f.refuse(refused, "busy", 100*time.Millisecond)
	clock.Advance(100 * time.Millisecond)
	again, ask := come("/a", 5900*time.Millisecond)
	require.True(t, ask.Retry)
	require.Equal(t, clock.Now().Add(300*time.Millisecond), ask.Objective)
	_, ask = come("/b", 5900*time.Millisecond)
	require.False(t, ask.Retry, "another one, who waits for less")
	require.Equal(t, clock.Now().Add(400*time.Millisecond), ask.Objective)

	f.refuse(again, "busy", 1900*time.Millisecond)
	clock.Advance(1900 * time.Millisecond)
	_, ask = come("/a", 4*time.Second)
	require.True(t, ask.Retry)
	require.Equal(t, clock.Now().Add(-1600*time.Millisecond), ask.Objective, "from the first try of three")

	_, ask = come("/c", 2*time.Second)
	require.True(t, ask.Retry, "its box was killed, but nobody waits for so little")
	require.Equal(t, clock.Now().Add(-3600*time.Millisecond), ask.Objective)
}

// One who was refused came back to another box, which took it for a new one: its request had
// another id, and its remaining time lay among those of first requests.
func TestRejectedCallerIsKnownToCellPeers(t *testing.T) {
	facts, clock := newTestFleetState()
	newFront := func() *CallerServer {
		return &CallerServer{suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: facts, clock: clock, log: zerolog.Nop(), metrics: NewMetrics(), callerTimeouts: make(map[string]*route.CallerTimeoutEstimator)}
	}
	here, there := newFront(), newFront()
	come := func(f *CallerServer, id, target string, left time.Duration) *exchange {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, target, http.NoBody)
		x := &exchange{
			InboundMetadata: provider.InboundMetadata{ID: id, Key: "k", Deadline: left}, arrived: clock.Now(), request: request, writer: httptest.NewRecorder(),
			body: []byte("draft"), route: &fleet.Route{Name: "draft", Objective: 400 * time.Millisecond, Timeout: 6 * time.Second},
		}
		f.setDeadline(x)
		return x
	}
	first := come(here, "1", "/x/7", 5300*time.Millisecond)
	require.Zero(t, first.sinceFirstTry)
	here.refuse(first, "busy", 100*time.Millisecond)
	callers, _ := here.rejectedCallers.Since(0, route.RelayWithinCell)
	there.MergeRejectedCallers(rejectedFromWire(rejectedToWire(callers, clock.Now()), clock.Now()), route.RelayWithinCell, clock.Now())
	clock.Advance(150 * time.Millisecond)
	require.Equal(t, 150*time.Millisecond, come(there, "2", "/x/7", 5152*time.Millisecond).sinceFirstTry)
	require.Equal(t, 150*time.Millisecond, come(here, "2", "/x/7", 5150*time.Millisecond).sinceFirstTry)
	require.Zero(t, come(there, "3", "/x/8", 5150*time.Millisecond).sinceFirstTry, "another request")
	require.Zero(t, come(there, "4", "/x/7", 5900*time.Millisecond).sinceFirstTry, "another caller")
}

// A stream that a swap had cut waited behind all that could be in time, and paused for
// longer than its reader accepts.
func TestResumedStreamObjectiveIsItsNextEvent(t *testing.T) {
	facts, clock := newTestFleetState()
	f := &CallerServer{suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: facts, clock: clock, callerTimeouts: make(map[string]*route.CallerTimeoutEstimator)}
	x := &exchange{
		arrived: clock.Now(), started: true, attempts: 1,
		route: &fleet.Route{Name: "draft", Objective: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Timeout: 6 * time.Second},
	}
	clock.Advance(2 * time.Second)
	x.noteForwarded(clock.Now())
	clock.Advance(50 * time.Millisecond)
	ask := f.slotRequest(x, nil, false)
	require.Equal(t, clock.Now().Add(250*time.Millisecond), ask.Objective)
	require.True(t, ask.Resuming)
	require.False(t, ask.Retry)
	require.Less(t, ask.Priority, 0)
}

// newUnconfiguredCallerServer returns a front that knows no configuration yet.
func newUnconfiguredCallerServer() (*CallerServer, *clockwork.FakeClock) {
	facts, clock := newTestFleetState()
	return &CallerServer{
		fleetState: facts, clock: clock, log: zerolog.Nop(), metrics: NewMetrics(), suspects: noSuspectRequests(),
		isLocal: func(member.FailureDomain) bool { return true }, dispatchers: make(map[member.Service]*route.Dispatcher),
		models: make(map[member.Service]fleet.ModelName),
	}, clock
}

// configureServices puts services in force, each with one server of its name.
func configureServices(f *CallerServer, slots int, names ...member.Service) {
	var services []fleet.Service
	var servers []fleet.Server
	for _, name := range names {
		services = append(services, fleet.Service{Name: name})
		servers = append(servers, fleet.Server{ID: fleet.ServerID(name), Service: name, Address: member.Address(name), Slots: slots})
	}
	f.fleetState.view.Store(fleet.EmptyView().WithConfiguration(&fleet.Configuration{Services: services}, 1).WithServers(servers))
}

// One in three requests was late while the fleet was asked for more than it could do, though some servers stood half empty: they had 3 to 21
// requests of the 12 that they can run, and boxes took nearly all of them for having 10. The boxes had found each other
// before they knew a configuration, and what each had in flight came once whole, when there was no service yet that it could be
// counted for; after that only what changed was told, which says nothing without the whole.
func TestServiceConfiguredLaterCountsPeerLoad(t *testing.T) {
	f, clock := newUnconfiguredCallerServer()
	hasRoom := func(service member.Service) bool {
		d := f.dispatcher(service)
		now := clock.Now()
		place, waiting, _ := d.Submit(&route.SlotRequest{
			Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
		}, func(place *route.Reservation) { place.Release(route.ResultAbandoned, now) }, now)
		if waiting != nil {
			d.Cancel(waiting)
		}
		if place != nil {
			place.Release(route.ResultAbandoned, now)
		}
		return place != nil
	}
	full, half := route.ServerLoad{Requests: 4}, route.ServerLoad{Requests: 2}
	f.MergePeerReport("entry-2", route.Load{"maps": half, "tiles": full, "names": full}, nil, true, clock.Now())
	f.MergePeerReport("entry-2", route.Load{"maps": full}, nil, false, clock.Now())
	f.MergePeerReport("entry-3", route.Load{"names": full}, nil, false, clock.Now())
	configureServices(f, 4, "maps")
	require.False(t, hasRoom("maps"), "it was told twice, whole and what had changed")
	f.MergePeerReport("entry-2", route.Load{"tiles": half, "names": {}}, nil, false, clock.Now())
	configureServices(f, 4, "maps", "tiles", "names")
	require.True(t, hasRoom("tiles"))
	require.True(t, hasRoom("names"), "the first word of a box is whole; what comes before it is of no use")
	f.MergePeerReport("entry-2", nil, nil, true, clock.Now())
	require.True(t, hasRoom("maps"), "the box is no longer heard")
	configureServices(f, 4, "maps", "roads")
	require.True(t, hasRoom("roads"))
}

// What is waited for elsewhere is told like what is in flight.
func TestServiceConfiguredLaterCountsPeerDemand(t *testing.T) {
	const slots = 2
	f, clock := newUnconfiguredCallerServer()
	f.MergePeerReport("entry-2", route.Load{}, route.Demands{"maps": {Late: 7}}, true, clock.Now())
	f.MergePeerReport("entry-2", route.Load{}, route.Demands{"maps": {Late: 4}}, false, clock.Now())
	configureServices(f, slots, "maps")
	require.Equal(t, 4, waitingElsewhere(t, f.dispatcher("maps"), clock.Now(), slots))
}

// A demand that stays as it is is not told again; boxes forgot it after a second and a half.
func TestUnchangedPeerDemandLastsWhileBoxIsLive(t *testing.T) {
	const slots = 2
	f, clock := newUnconfiguredCallerServer()
	configureServices(f, slots, "maps")
	d := f.dispatcher("maps")
	f.MergePeerReport("entry-2", route.Load{}, route.Demands{"maps": {Late: 4}}, true, clock.Now())
	for range 3 {
		clock.Advance(time.Second)
		f.MergePeerReport("entry-2", route.Load{}, route.Demands{}, false, clock.Now())
	}
	require.Equal(t, 4, waitingElsewhere(t, d, clock.Now(), slots))
	clock.Advance(2 * time.Second)
	require.Zero(t, waitingElsewhere(t, d, clock.Now(), slots), "the box is not heard")
}

// waitingElsewhere returns how many late requests wait at other boxes, as a refusal tells once the places are taken.
func waitingElsewhere(t *testing.T, d *route.Dispatcher, now time.Time, slots int) int {
	t.Helper()
	var err error
	for range slots + 1 {
		// The last place may belong to another box just now.
		ask := &route.SlotRequest{Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second), NoWait: true}
		if _, _, err = d.Submit(ask, nil, now); err != nil {
			break
		}
	}
	var busy *route.BusyError
	require.ErrorAs(t, err, &busy)
	return busy.PeerWaiting
}

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

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// If many boxes are outdated, they must not all pull from the same box.
func TestBoxesBehindPullFromDifferentBoxes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, _ := newTestFleetState()
	e := &EntryBoxes{clock: clock, fleetState: state, boxes: make(map[string]EntryBox)}
	e.self.Region = "riga"
	for _, name := range []string{"a", "b", "c"} {
		e.boxes[name] = EntryBox{Box: member.BoxID(name), Region: "riga", Watermarks: Watermarks{Newest: 7}, LastSeen: clock.Now()}
	}
	e.boxes["far"] = EntryBox{Box: "far", Region: "kurzeme", Watermarks: Watermarks{Newest: 9}, LastSeen: clock.Now()}
	picked := make(map[member.BoxID]bool)
	for range 200 {
		box, ok := e.pickNewer(nil)
		require.True(t, ok)
		picked[box.Box] = true
	}
	require.Equal(t, map[member.BoxID]bool{"a": true, "b": true, "c": true}, picked)
}

// A box that has just started must not reject requests in the milliseconds before it has read its first
// configuration, because callers do not retry after a rejection.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	state, clock := newTestFleetState()
	s := newTestCallerServer(state)
	x := &exchange{InboundMetadata: provider.InboundMetadata{Deadline: 4 * time.Second}, request: httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)}
	got := make(chan *fleet.View, 1)
	await := func() {
		var last *fleet.View
		s.lookUp(x, func(view *fleet.View) bool {
			last = view
			return view.Configuration != nil
		})
		got <- last
	}
	go await()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	state.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 3}}}, "store")
	require.EqualValues(t, 3, (<-got).Configuration.Version)

	empty, clock := newTestFleetState()
	s = newTestCallerServer(empty)
	x = &exchange{InboundMetadata: x.InboundMetadata, request: x.request}
	go await()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Duration(configurationWaitFraction * float64(x.Deadline)))
	require.Nil(t, (<-got).Configuration, "waits for a part of its deadline only")
}

// A request that arrives late in a planned stop must be refused. If it waits for a slot instead, its response
// is truncated at the end of the grace period.
func TestLeavingBoxRefusesLateRequests(t *testing.T) {
	state, clock := newTestFleetState()
	applyFromStore(state, []fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 3}}})
	s := newTestCallerServer(state)
	s.protocol = provider.CallerProtocol{ReadRequest: func(*http.Request) provider.InboundMetadata { return provider.InboundMetadata{} }}
	s.leavingSince = clock.Now()
	s.leaving.Store(true)
	send := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/none/", http.NoBody)
		require.NoError(t, s.serve(echo.New().NewContext(request, recorder)))
		require.Equal(t, "close", recorder.Header().Get("Connection"))
		return recorder
	}
	require.Equal(t, http.StatusNotFound, send().Code, "an early request is accepted")
	clock.Advance(leaveAcceptDuration)
	refused := send()
	require.Equal(t, http.StatusServiceUnavailable, refused.Code)
	require.NotEmpty(t, refused.Header().Get("Retry-After"))
}

// The objective of a retry counts from the first try. If it counts from the retry, retries take slots from new
// requests. If retries are recognised by their remaining time alone, new requests of callers with a short
// timeout count as retries.
func TestObjectiveCountsFromFirstTry(t *testing.T) {
	state, clock := newTestFleetState()
	s := newTestCallerServer(state)
	newRequest := func(target string, timeout time.Duration) (*exchange, *route.SlotRequest) {
		x := &exchange{
			InboundMetadata: provider.InboundMetadata{Deadline: timeout}, arrived: clock.Now(), writer: httptest.NewRecorder(),
			request: httptest.NewRequestWithContext(t.Context(), http.MethodPost, target, http.NoBody),
			route:   &fleet.Route{Name: "draft", Objective: 400 * time.Millisecond, Timeout: 6 * time.Second},
		}
		s.setDeadline(x)
		return x, s.slotRequest(x, nil, false)
	}
	for i := range route.CallerTimeoutMinSamples {
		_, req := newRequest(fmt.Sprintf("/new/%d", i), 6*time.Second)
		require.Equal(t, clock.Now().Add(400*time.Millisecond), req.Objective)
		require.False(t, req.Retry)
	}
	refused, _ := newRequest("/a", 6*time.Second)
	s.refuse(refused, "busy", 100*time.Millisecond)
	clock.Advance(100 * time.Millisecond)
	retry, req := newRequest("/a", 5900*time.Millisecond)
	require.True(t, req.Retry)
	require.Equal(t, clock.Now().Add(300*time.Millisecond), req.Objective)
	_, req = newRequest("/b", 5900*time.Millisecond)
	require.False(t, req.Retry, "a new request of a caller with a shorter timeout")
	require.Equal(t, clock.Now().Add(400*time.Millisecond), req.Objective)

	s.refuse(retry, "busy", 1900*time.Millisecond)
	clock.Advance(1900 * time.Millisecond)
	_, req = newRequest("/a", 4*time.Second)
	require.True(t, req.Retry)
	require.Equal(t, clock.Now().Add(-1600*time.Millisecond), req.Objective, "from the first try of three")

	_, req = newRequest("/c", 2*time.Second)
	require.True(t, req.Retry, "no caller has such a short timeout, so its box must have failed")
	require.Equal(t, clock.Now().Add(-3600*time.Millisecond), req.Objective)
}

// A retry at another box has another request ID and may have as much time left as a new request. The box must
// recognise it by the reports of its cell peers.
func TestRejectedCallerIsKnownToCellPeers(t *testing.T) {
	state, clock := newTestFleetState()
	local, peer := newTestCallerServer(state), newTestCallerServer(state)
	newRequest := func(s *CallerServer, id, target string, timeout time.Duration) *exchange {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, target, http.NoBody)
		x := &exchange{
			InboundMetadata: provider.InboundMetadata{ID: id, Key: "k", Deadline: timeout}, arrived: clock.Now(), request: request, writer: httptest.NewRecorder(),
			body: []byte("draft"), route: &fleet.Route{Name: "draft", Objective: 400 * time.Millisecond, Timeout: 6 * time.Second},
		}
		s.setDeadline(x)
		return x
	}
	first := newRequest(local, "1", "/x/7", 5300*time.Millisecond)
	require.Zero(t, first.sinceFirstTry)
	local.refuse(first, "busy", 100*time.Millisecond)
	callers, _ := local.rejectedCallers.Since(0, route.RelayWithinCell)
	peer.MergeRejectedCallers(rejectedFromWire(rejectedToWire(callers, clock.Now()), clock.Now()), route.RelayWithinCell, clock.Now())
	clock.Advance(150 * time.Millisecond)
	require.Equal(t, 150*time.Millisecond, newRequest(peer, "2", "/x/7", 5152*time.Millisecond).sinceFirstTry)
	require.Equal(t, 150*time.Millisecond, newRequest(local, "2", "/x/7", 5150*time.Millisecond).sinceFirstTry)
	require.Zero(t, newRequest(peer, "3", "/x/8", 5150*time.Millisecond).sinceFirstTry, "another request")
	require.Zero(t, newRequest(peer, "4", "/x/7", 5900*time.Millisecond).sinceFirstTry, "another caller")
}

// A stream that a weight swap has truncated must not wait behind requests that can still meet their objective,
// because its reader accepts only a limited gap between events.
func TestResumedStreamObjectiveIsItsNextEvent(t *testing.T) {
	state, clock := newTestFleetState()
	s := newTestCallerServer(state)
	x := &exchange{
		arrived: clock.Now(), started: true, attempts: 1,
		route: &fleet.Route{Name: "draft", Objective: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Timeout: 6 * time.Second},
	}
	clock.Advance(2 * time.Second)
	x.noteForwarded(clock.Now())
	clock.Advance(50 * time.Millisecond)
	req := s.slotRequest(x, nil, false)
	require.Equal(t, clock.Now().Add(250*time.Millisecond), req.Objective)
	require.True(t, req.Resuming)
	require.False(t, req.Retry)
	require.Less(t, req.Priority, 0)
}

// newTestCallerServer returns a caller server of a box that knows the state of a fleet. It is not started.
func newTestCallerServer(state *FleetState) *CallerServer {
	return &CallerServer{
		fleetState: state, clock: state.clock, log: zerolog.Nop(), metrics: NewMetrics(), tasks: kernel.NewTaskGroup(),
		held: newTestHeldBytes(1 << 20), suspects: noSuspectRequests(), recentResponses: newRecentResponses(),
		isLocal:     func(member.FailureDomain) bool { return true },
		regionOf:    func(domain member.FailureDomain) member.Region { return member.Region(domain) },
		dispatchers: make(map[member.Service]*route.Dispatcher), budgets: make(map[member.Service]*route.WindowRetryBudget),
		models: make(map[member.Service]fleet.ModelName), callerTimeouts: make(map[string]*route.CallerTimeoutEstimator),
	}
}

// allowRetries limits the retries to a number in each window of ten seconds, without regard to the requests.
func (s *CallerServer) allowRetries(extra float64) {
	s.retries = route.RetryLimits{Extra: extra, Window: 10 * time.Second}
	s.started = s.clock.Now().Add(-s.retries.StartTime())
	s.retryAllowance.Store(&route.RetryAllowance{Share: extra})
}

// newUnconfiguredCallerServer returns a caller server without a configuration.
func newUnconfiguredCallerServer() (*CallerServer, *clockwork.FakeClock) {
	state, clock := newTestFleetState()
	return newTestCallerServer(state), clock
}

// configureServices applies a configuration of services, each with one server of the same name.
func configureServices(s *CallerServer, slots int, names ...member.Service) {
	var services []fleet.Service
	var servers []fleet.Server
	for _, name := range names {
		services = append(services, fleet.Service{Name: name})
		servers = append(servers, fleet.Server{ID: fleet.ServerID(name), Service: name, Address: member.Address(name), Slots: slots})
	}
	s.fleetState.view.Store(fleet.EmptyView().WithConfiguration(&fleet.Configuration{Services: services}, 1).WithServers(servers))
}

// A box receives the complete load of a peer only once, possibly before it has a configuration; later reports
// contain only changes. The complete load must also count for services that are configured later. If it is
// lost, the box underestimates the load of some servers and overestimates that of others: in an overload, one
// request in three missed its objective, and servers with 12 slots held 3 to 21 requests while boxes assumed 10
// for nearly all of them.
func TestServiceConfiguredLaterCountsPeerLoad(t *testing.T) {
	s, clock := newUnconfiguredCallerServer()
	hasRoom := func(service member.Service) bool {
		d := s.dispatcher(service)
		now := clock.Now()
		reservation, waiting, _ := d.Submit(&route.SlotRequest{
			Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
		}, func(reservation *route.Reservation) { reservation.Release(route.ResultAbandoned, now) }, now)
		if waiting != nil {
			d.Cancel(waiting)
		}
		if reservation != nil {
			reservation.Release(route.ResultAbandoned, now)
		}
		return reservation != nil
	}
	full, half := route.ServerLoad{Requests: 4}, route.ServerLoad{Requests: 2}
	s.MergePeerReport("entry-2", route.Load{"maps": half, "tiles": full, "names": full}, nil, true, clock.Now())
	s.MergePeerReport("entry-2", route.Load{"maps": full}, nil, false, clock.Now())
	s.MergePeerReport("entry-3", route.Load{"names": full}, nil, false, clock.Now())
	configureServices(s, 4, "maps")
	require.False(t, hasRoom("maps"), "reported twice: completely and as a change")
	s.MergePeerReport("entry-2", route.Load{"tiles": half, "names": {}}, nil, false, clock.Now())
	configureServices(s, 4, "maps", "tiles", "names")
	require.True(t, hasRoom("tiles"))
	require.True(t, hasRoom("names"), "changes before the first complete report are ignored")
	s.MergePeerReport("entry-2", nil, nil, true, clock.Now())
	require.True(t, hasRoom("maps"), "the box no longer reports")
	configureServices(s, 4, "maps", "roads")
	require.True(t, hasRoom("roads"))
}

// Peer demands that are reported before a service is configured must count like the peer load.
func TestServiceConfiguredLaterCountsPeerDemand(t *testing.T) {
	const slots = 2
	s, clock := newUnconfiguredCallerServer()
	s.MergePeerReport("entry-2", route.Load{}, route.Demands{"maps": {Late: 7}}, true, clock.Now())
	s.MergePeerReport("entry-2", route.Load{}, route.Demands{"maps": {Late: 4}}, false, clock.Now())
	configureServices(s, slots, "maps")
	require.Equal(t, 4, waitingElsewhere(t, s.dispatcher("maps"), clock.Now(), slots))
}

// An unchanged demand is not reported again. It must not expire after 1.5 s while the box that reported it is
// live.
func TestUnchangedPeerDemandLastsWhileBoxIsLive(t *testing.T) {
	const slots = 2
	s, clock := newUnconfiguredCallerServer()
	configureServices(s, slots, "maps")
	d := s.dispatcher("maps")
	s.MergePeerReport("entry-2", route.Load{}, route.Demands{"maps": {Late: 4}}, true, clock.Now())
	for range 3 {
		clock.Advance(time.Second)
		s.MergePeerReport("entry-2", route.Load{}, route.Demands{}, false, clock.Now())
	}
	require.Equal(t, 4, waitingElsewhere(t, d, clock.Now(), slots))
	clock.Advance(2 * time.Second)
	require.Zero(t, waitingElsewhere(t, d, clock.Now(), slots), "the box no longer reports")
}

// waitingElsewhere returns the number of late requests that wait at other boxes, as reported by a refusal once
// all slots are in use.
func waitingElsewhere(t *testing.T, d *route.Dispatcher, now time.Time, slots int) int {
	t.Helper()
	var err error
	for range slots + 1 {
		// The last slot may be allotted to another box at this moment.
		req := &route.SlotRequest{Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second), NoWait: true}
		if _, _, err = d.Submit(req, nil, now); err != nil {
			break
		}
	}
	var busy *route.BusyError
	require.ErrorAs(t, err, &busy)
	return busy.PeerWaiting
}

package direct

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

func TestPartialStatusesConvergeToSameLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cursor := statusCursor{fullStatus: func() *wire.EntryStatus { return &wire.EntryStatus{Box: "entry-1"} }}
		receivedLoad, receivedDemands, now := make(route.Load), make(route.Demands), time.Unix(1000, 0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(statusInterval)
			load := make(route.Load)
			for _, id := range []fleet.ServerID{"a", "b", "c", "d"} {
				if requests := rapid.IntRange(0, 2).Draw(t, "requests"); requests > 0 {
					load[id] = route.ServerLoad{Requests: requests, Prefill: time.Duration(requests) * time.Millisecond}
				}
			}
			revision := func(name string) fleet.Revision { return fleet.Revision(rapid.IntRange(0, 1).Draw(t, name)) }
			summary := statusSummary{watermarks: Watermarks{Newest: revision("newest"), Complete: revision("complete")}}
			demands := route.Demands{"draft": {Arrivals: 7, Late: rapid.IntRange(0, 1).Draw(t, "late")}}
			message := cursor.nextMessage(summary, load, demands, now, false)
			if message == nil {
				if !maps.Equal(load, receivedLoad) || !maps.Equal(demands, receivedDemands) {
					t.Fatalf("no message for load %v, receiver has %v", load, receivedLoad)
				}
				continue
			}
			maps.Copy(receivedDemands, demandsFromWire(message.Demands))
			if !message.Partial {
				clear(receivedLoad)
			}
			maps.Copy(receivedLoad, loadFromWire(message.InFlight))
			maps.DeleteFunc(receivedLoad, func(_ fleet.ServerID, load route.ServerLoad) bool { return load == route.ServerLoad{} })
			if !maps.Equal(load, receivedLoad) || message.Partial && watermarksFromWire(message) != summary.watermarks || !maps.Equal(demands, receivedDemands) {
				t.Fatalf("receiver has %v, want %v", receivedLoad, load)
			}
		}
	})
}

// Guards against full statuses in every heartbeat: sent every 0.4 s with the addresses of all other boxes, they
// were most of the traffic between the regions of 39 boxes.
func TestStatusIsFullFirstAndWhenAgesChange(t *testing.T) {
	fullStatuses := 0
	cursor := statusCursor{fullStatus: func() *wire.EntryStatus {
		fullStatuses++
		return &wire.EntryStatus{Box: "entry-1", Ages: []*wire.VersionAge{{Model: "m"}}}
	}}
	now, summary := time.Unix(1000, 0), statusSummary{ages: 1, ready: true, leaving: true, watermarks: Watermarks{Newest: 6, Complete: 5}}
	require.False(t, cursor.nextMessage(summary, route.Load{}, nil, now, false).Partial)
	require.Nil(t, cursor.nextMessage(summary, route.Load{}, nil, now.Add(statusInterval), false))
	require.True(t, cursor.nextMessage(summary, route.Load{"a": {Requests: 1}}, nil, now.Add(2*statusInterval), false).Partial)
	now = now.Add(2*statusInterval + statusHeartbeat)
	heartbeat := cursor.nextMessage(summary, route.Load{"a": {Requests: 1}}, nil, now, false)
	require.True(t, heartbeat.Partial, "a heartbeat has only the state of the box and its watermarks")
	require.Equal(t, summary.watermarks, watermarksFromWire(heartbeat))
	require.True(t, heartbeat.Ready && heartbeat.Leaving, "a partial message has the flags too")
	require.Empty(t, heartbeat.InFlight)
	summary.watermarks.Newest = 7
	require.EqualValues(t, 7, cursor.nextMessage(summary, route.Load{"a": {Requests: 1}}, nil, now, false).Revision, "a changed watermark is sent immediately")
	summary.ages = 2
	require.False(t, cursor.nextMessage(summary, route.Load{"a": {Requests: 1}}, nil, now, false).Partial)
	require.Equal(t, 2, fullStatuses, "a full status is built only when it is sent")
}

// A change in the number of waiting requests is sent immediately. A change in the number of arrivals is not worth
// a message.
func TestDemandIsUrgentOnlyIfWaitingChanges(t *testing.T) {
	cursor := statusCursor{fullStatus: func() *wire.EntryStatus { return &wire.EntryStatus{} }}
	now := time.Unix(1000, 0)
	require.NotNil(t, cursor.nextMessage(statusSummary{}, nil, route.Demands{"draft": {Arrivals: 1}}, now, false))
	require.Nil(t, cursor.nextMessage(statusSummary{}, nil, route.Demands{"draft": {Arrivals: 2}}, now, false))
	message := cursor.nextMessage(statusSummary{}, nil, route.Demands{"draft": {Arrivals: 3, InTime: 1}}, now, false)
	require.True(t, message.Partial)
	require.Equal(t, route.Demands{"draft": {Arrivals: 3, InTime: 1}}, demandsFromWire(message.Demands))
}

// Guards against too many messages between regions: with one every 50 ms to each follower, 39 boxes sent 20,000
// messages per second across regions.
func TestRemoteIntervalGrowsWithFollowers(t *testing.T) {
	var s StatusServer
	s.remoteFollowers.Store(6)
	require.Equal(t, statusInterval, s.interval(true))
	s.remoteFollowers.Store(26)
	require.InDelta(t, 108, s.interval(true).Milliseconds(), 1)
	require.Equal(t, statusInterval, s.interval(false))
}

func TestServerStatusDeltaOmitsKnownFields(t *testing.T) {
	status := &wire.ServerStatus{
		Box: "agent-1", Address: "10.0.0.1:1", Model: "m", Version: 2, Whole: true, Running: 3, Ages: []*wire.VersionAge{{Model: "m", Version: 2}},
	}
	require.Same(t, status, serverStatusDelta(nil, status))
	delta := serverStatusDelta(status, status)
	require.Empty(t, delta.Box+delta.Address+delta.Model)
	require.Empty(t, delta.Ages)
	require.EqualValues(t, 3, delta.Running)
	require.True(t, delta.Whole)
	newAges := &wire.ServerStatus{Version: 2, Ages: []*wire.VersionAge{{Model: "m", Version: 3}}}
	require.Equal(t, newAges.Ages, serverStatusDelta(status, newAges).Ages)
}

// Guards against a rescheduled weight swap that is reported only with the next heartbeat.
func TestRescheduledSwapIsReportedImmediately(t *testing.T) {
	reported := &wire.ServerStatus{SwapInMilliseconds: 1000}
	swapIn := func(milliseconds uint64) *wire.ServerStatus {
		return &wire.ServerStatus{SwapInMilliseconds: milliseconds}
	}
	require.True(t, isSameServerStatus(reported, swapIn(700), 300*time.Millisecond), "only the remaining time has decreased")
	require.False(t, isSameServerStatus(reported, swapIn(1000), 300*time.Millisecond))
	require.False(t, isSameServerStatus(reported, swapIn(0), 300*time.Millisecond))
	require.False(t, isSameServerStatus(nil, swapIn(0), 0))
}

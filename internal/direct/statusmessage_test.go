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
		told := statusCursor{fullStatus: func() *wire.EntryStatus { return &wire.EntryStatus{Box: "entry-1"} }}
		received, asked, now := make(route.Load), make(route.Demands), time.Unix(1000, 0)
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
			message := told.nextMessage(summary, load, demands, now, false)
			if message == nil {
				if !maps.Equal(load, received) || !maps.Equal(demands, asked) {
					t.Fatalf("nothing told of %v, known is %v", load, received)
				}
				continue
			}
			maps.Copy(asked, demandsFromWire(message.Demands))
			if !message.Partial {
				clear(received)
			}
			maps.Copy(received, loadFromWire(message.InFlight))
			maps.DeleteFunc(received, func(_ fleet.ServerID, load route.ServerLoad) bool { return load == route.ServerLoad{} })
			if !maps.Equal(load, received) || message.Partial && watermarksFromWire(message) != summary.watermarks || !maps.Equal(demands, asked) {
				t.Fatalf("told %v, want %v", received, load)
			}
		}
	})
}

// Whole statuses each 0.4 s, with the addresses of all others, were most of what crossed
// between the regions of 39 boxes.
func TestStatusIsFullFirstAndWhenAgesChange(t *testing.T) {
	wholes := 0
	told := statusCursor{fullStatus: func() *wire.EntryStatus {
		wholes++
		return &wire.EntryStatus{Box: "entry-1", Ages: []*wire.VersionAge{{Model: "m"}}}
	}}
	now, summary := time.Unix(1000, 0), statusSummary{ages: 1, ready: true, leaving: true, watermarks: Watermarks{Newest: 6, Complete: 5}}
	require.False(t, told.nextMessage(summary, route.Load{}, nil, now, false).Partial)
	require.Nil(t, told.nextMessage(summary, route.Load{}, nil, now.Add(statusInterval), false))
	require.True(t, told.nextMessage(summary, route.Load{"a": {Requests: 1}}, nil, now.Add(2*statusInterval), false).Partial)
	now = now.Add(2*statusInterval + statusHeartbeat)
	heartbeat := told.nextMessage(summary, route.Load{"a": {Requests: 1}}, nil, now, false)
	require.True(t, heartbeat.Partial, "a heartbeat tells that the box is there, and how far its facts reach")
	require.Equal(t, summary.watermarks, watermarksFromWire(heartbeat))
	require.True(t, heartbeat.Ready && heartbeat.Leaving, "of a partial message these count too")
	require.Empty(t, heartbeat.InFlight)
	summary.watermarks.Newest = 7
	require.EqualValues(t, 7, told.nextMessage(summary, route.Load{"a": {Requests: 1}}, nil, now, false).Revision, "a change is told at once")
	summary.ages = 2
	require.False(t, told.nextMessage(summary, route.Load{"a": {Requests: 1}}, nil, now, false).Partial)
	require.Equal(t, 2, wholes, "it is built only when it is told")
}

// A box where requests wait is heard of at once; that a few more came is not worth a message.
func TestDemandIsUrgentOnlyIfWaitingChanges(t *testing.T) {
	told := statusCursor{fullStatus: func() *wire.EntryStatus { return &wire.EntryStatus{} }}
	now := time.Unix(1000, 0)
	require.NotNil(t, told.nextMessage(statusSummary{}, nil, route.Demands{"draft": {Arrivals: 1}}, now, false))
	require.Nil(t, told.nextMessage(statusSummary{}, nil, route.Demands{"draft": {Arrivals: 2}}, now, false))
	message := told.nextMessage(statusSummary{}, nil, route.Demands{"draft": {Arrivals: 3, InTime: 1}}, now, false)
	require.True(t, message.Partial)
	require.Equal(t, route.Demands{"draft": {Arrivals: 3, InTime: 1}}, demandsFromWire(message.Demands))
}

// Told each 50 ms, 39 boxes sent each other 20,000 messages a second across regions.
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
	brief := serverStatusDelta(status, status)
	require.Empty(t, brief.Box+brief.Address+brief.Model)
	require.Empty(t, brief.Ages)
	require.EqualValues(t, 3, brief.Running)
	require.True(t, brief.Whole)
	named := &wire.ServerStatus{Version: 2, Ages: []*wire.VersionAge{{Model: "m", Version: 3}}}
	require.Equal(t, named.Ages, serverStatusDelta(status, named).Ages)
}

// A swap that had moved was told with the next heartbeat only.
func TestRescheduledSwapIsReportedImmediately(t *testing.T) {
	told := &wire.ServerStatus{SwapInMilliseconds: 1000}
	in := func(milliseconds uint64) *wire.ServerStatus {
		return &wire.ServerStatus{SwapInMilliseconds: milliseconds}
	}
	require.True(t, isSameServerStatus(told, in(700), 300*time.Millisecond), "time has passed")
	require.False(t, isSameServerStatus(told, in(1000), 300*time.Millisecond))
	require.False(t, isSameServerStatus(told, in(0), 300*time.Millisecond))
	require.False(t, isSameServerStatus(nil, in(0), 0))
}

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

func TestPartialStatusesBringTheReceiverToTheSameLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told statusTold
		received, now := make(route.Load), time.Unix(1000, 0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(statusInterval)
			load := make(route.Load)
			for _, id := range []fleet.ServerID{"a", "b", "c", "d"} {
				if requests := rapid.IntRange(0, 2).Draw(t, "requests"); requests > 0 {
					load[id] = route.ServerLoad{Requests: requests, Reading: time.Duration(requests) * time.Millisecond}
				}
			}
			status := &wire.EntryStatus{Box: "entry-1", Revision: uint64(rapid.IntRange(0, 1).Draw(t, "revision"))}
			message := told.next(status, load, now)
			if message == nil {
				if !maps.Equal(load, received) {
					t.Fatalf("nothing told of %v, known is %v", load, received)
				}
				continue
			}
			if !message.Partial {
				clear(received)
			}
			maps.Copy(received, loadOf(message.InFlight))
			maps.DeleteFunc(received, func(_ fleet.ServerID, load route.ServerLoad) bool { return load == route.ServerLoad{} })
			if !maps.Equal(load, received) || message.Revision != status.Revision {
				t.Fatalf("told %v, want %v", received, load)
			}
		}
	})
}

func TestAStatusIsToldWholeAtFirstAndNowAndThen(t *testing.T) {
	var told statusTold
	now := time.Unix(1000, 0)
	status := func() *wire.EntryStatus { return &wire.EntryStatus{Box: "entry-1", Entries: []string{"10.0.0.1:1"}} }
	require.False(t, told.next(status(), route.Load{}, now).Partial)
	require.Nil(t, told.next(status(), route.Load{}, now.Add(statusInterval)))
	require.True(t, told.next(status(), route.Load{"a": {Requests: 1}}, now.Add(2*statusInterval)).Partial)
	require.False(t, told.next(status(), route.Load{"a": {Requests: 1}}, now.Add(statusHeartbeat)).Partial)
}

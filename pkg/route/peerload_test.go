package route

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// drawLoad draws what a box has in flight, nothing at some servers.
func drawLoad(t *rapid.T) Load {
	load := make(Load)
	for _, id := range []fleet.ServerID{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "named") {
			load[id] = ServerLoad{
				Requests: rapid.IntRange(0, 5).Draw(t, "requests"), Prefill: time.Duration(rapid.IntRange(0, 99).Draw(t, "reading")) * time.Millisecond,
			}
		}
	}
	return load
}

func TestPeerLoadSumsMatchLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		peers, want := newPeerLoads(), make(map[member.BoxID]*peerLoad)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			box := member.BoxID(fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "box")))
			told, whole := drawLoad(t), rapid.Bool().Draw(t, "whole")
			peers.expire(now)
			peers.merge(box, told, whole, now)
			if whole {
				want[box] = &peerLoad{load: maps.Clone(told), at: now}
			} else if known := want[box]; known != nil {
				maps.Copy(known.load, told)
				known.at = now
			}
			sums := make(Load)
			for _, known := range want {
				if now.Sub(known.at) >= peerLoadMaxAge {
					continue
				}
				for id, load := range known.load {
					sum := sums[id]
					sum.Requests += load.Requests
					sum.Prefill += load.Prefill
					sums[id] = sum
				}
			}
			maps.DeleteFunc(sums, func(_ fleet.ServerID, load ServerLoad) bool { return load == ServerLoad{} })
			if !maps.Equal(sums, peers.sums) {
				t.Fatalf("sums are %v, want %v", peers.sums, sums)
			}
		}
	})
}

// Without it, a server that reads the long prompts of another box seemed free.
func TestPrefillOfPeerRequestsCountsUntilFirstByte(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 16, 1), modelServer("b", 16, 1))
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 1, Prefill: 2 * prefillScale}}, true, b.clock.Now())
	for range 8 {
		require.Equal(t, fleet.ServerID("b"), b.acquire(t).Server.ID)
	}
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 1}}, false, b.clock.Now())
	require.Equal(t, fleet.ServerID("a"), b.acquire(t).Server.ID)
}

func TestPrefillCountsUntilFirstByte(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 16, 1))
	ask := b.request()
	ask.Prefill = 30 * time.Millisecond
	place, err := b.Acquire(t.Context(), ask, b.clock)
	require.NoError(t, err)
	require.Equal(t, Load{"a": {Requests: 1, Prefill: 30 * time.Millisecond}}, b.OwnLoad())
	place.Started(b.clock.Now())
	place.Started(b.clock.Now())
	require.Equal(t, Load{"a": {Requests: 1}}, b.OwnLoad())
	place.Release(ResultDone, b.clock.Now())
	require.Empty(t, b.OwnLoad())
}

// While boxes were cut off from each other, each filled the servers as if the others sent
// nothing: of what servers told beyond what was claimed, four requests were put down to age.
func TestUnclaimedRequestsOfServerCount(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 16, 1))
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 5}}, true, b.clock.Now())
	for range 8 {
		b.UpdateServer("a", ServerState{Version: 1, Running: 8}, b.clock.Now())
	}
	require.Equal(t, 7, b.load(b.backends["a"], b.clock.Now()).Requests, "a part of a request is not one")
	b.UpdateServer("a", ServerState{Version: 1, Running: 4}, b.clock.Now())
	require.Equal(t, 5, b.load(b.backends["a"], b.clock.Now()).Requests, "what is claimed counts in any case")
	b.clock.Advance(serverStatusMaxAge)
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 5}}, true, b.clock.Now())
	require.Equal(t, 5, b.load(b.backends["a"], b.clock.Now()).Requests)
}

// After a box had stood still for two seconds it took servers for empty that others had filled: what these had told was forgotten as it
// woke, and the messages that lay there by then tell only what has changed.
func TestExpiredPeerLoadIsRestoredByNextReport(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := newPeerLoads()
	peers.merge("b", Load{"a": {Requests: 3}, "b": {Requests: 2}}, true, now)
	now = now.Add(peerLoadMaxAge)
	peers.expire(now)
	require.Empty(t, peers.sums)
	peers.merge("b", Load{"b": {Requests: 1}}, false, now)
	require.Equal(t, Load{"a": {Requests: 3}, "b": {Requests: 1}}, peers.sums)
}

// Boxes that did not know what others had in flight went by the agents' reports for hours, and nothing showed it.
func TestUnclaimedIsSumOverServers(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 16, 1), modelServer("b", 16, 1))
	report := func(running int) {
		for range 8 {
			b.UpdateServer("a", ServerState{Version: 1, Running: running}, b.clock.Now())
		}
	}
	report(7)
	require.Equal(t, 6, b.Unclaimed(b.clock.Now()), "seven, but for what is smoothed")
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 7}}, true, b.clock.Now())
	report(7)
	require.Zero(t, b.Unclaimed(b.clock.Now()))
	report(5)
	require.Zero(t, b.Unclaimed(b.clock.Now()), "what has just ended there is no one else's")
	report(9)
	require.Equal(t, 1, b.Unclaimed(b.clock.Now()))
	b.clock.Advance(serverStatusMaxAge)
	require.Zero(t, b.Unclaimed(b.clock.Now()), "its agent is not heard")
}

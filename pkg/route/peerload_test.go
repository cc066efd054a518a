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

// drawLoad draws the load of a box, which has no requests at some servers.
func drawLoad(t *rapid.T) Load {
	load := make(Load)
	for _, id := range []fleet.ServerID{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "has requests") {
			load[id] = ServerLoad{
				Requests: rapid.IntRange(0, 5).Draw(t, "requests"), Prefill: time.Duration(rapid.IntRange(0, 99).Draw(t, "prefill")) * time.Millisecond,
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
			report, full := drawLoad(t), rapid.Bool().Draw(t, "full")
			peers.expire(now)
			peers.merge(box, report, full, now)
			if full {
				want[box] = &peerLoad{load: maps.Clone(report), at: now}
			} else if known := want[box]; known != nil {
				maps.Copy(known.load, report)
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

// Without the reported prefill, a server busy with the long prompts of another box seemed free.
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
	req := b.request()
	req.Prefill = 30 * time.Millisecond
	reservation, err := b.Acquire(t.Context(), req, b.clock)
	require.NoError(t, err)
	require.Equal(t, Load{"a": {Requests: 1, Prefill: 30 * time.Millisecond}}, b.OwnLoad())
	reservation.Started(b.clock.Now())
	reservation.Started(b.clock.Now())
	require.Equal(t, Load{"a": {Requests: 1}}, b.OwnLoad())
	reservation.Release(ResultDone, b.clock.Now())
	require.Empty(t, b.OwnLoad())
}

// Guards against boxes that cannot reach each other and each fill the servers as if the others sent nothing:
// up to four requests that a server reports beyond those claimed are attributed to old reports.
func TestUnclaimedRequestsOfServerCount(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 16, 1))
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 5}}, true, b.clock.Now())
	for range 8 {
		b.UpdateServer("a", ServerState{Version: 1, Running: 8}, b.clock.Now())
	}
	require.Equal(t, 7, b.load(b.backends["a"], b.clock.Now()).Requests, "a fraction of a request does not count")
	b.UpdateServer("a", ServerState{Version: 1, Running: 4}, b.clock.Now())
	require.Equal(t, 5, b.load(b.backends["a"], b.clock.Now()).Requests, "claimed requests always count")
	b.clock.Advance(serverStatusMaxAge)
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 5}}, true, b.clock.Now())
	require.Equal(t, 5, b.load(b.backends["a"], b.clock.Now()).Requests)
}

// Guards against a box that considers servers empty after a stall of two seconds although other boxes have
// filled them. If it discards the expired reports of these boxes when it resumes, the load is lost, because the
// messages queued by then contain only changes.
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

// Boxes that lacked the load reports of others relied on the agents' reports for hours, and no
// metric showed it.
func TestUnclaimedIsSumOverServers(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 16, 1), modelServer("b", 16, 1))
	report := func(running int) {
		for range 8 {
			b.UpdateServer("a", ServerState{Version: 1, Running: running}, b.clock.Now())
		}
	}
	report(7)
	require.Equal(t, 6, b.Unclaimed(b.clock.Now()), "the moving average is just below seven")
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 7}}, true, b.clock.Now())
	report(7)
	require.Zero(t, b.Unclaimed(b.clock.Now()))
	report(5)
	require.Zero(t, b.Unclaimed(b.clock.Now()), "requests that have just ended are not counted as negative")
	report(9)
	require.Equal(t, 1, b.Unclaimed(b.clock.Now()))
	b.clock.Advance(serverStatusMaxAge)
	require.Zero(t, b.Unclaimed(b.clock.Now()), "the agent's report has expired")
}

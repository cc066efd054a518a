package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
)

func TestNewerRecordReplacesSilentMark(t *testing.T) {
	store := state.NewStore(1)
	put := func(record Record) bool {
		item, err := record.Item()
		require.NoError(t, err)
		return len(store.Apply([]state.Item{item}, state.OriginLocal)) == 1
	}
	own := Record{Box: "b", Incarnation: 5, Sequence: 3, Status: StatusUp}
	require.True(t, put(own))
	silent := own
	silent.Status = StatusSilent
	require.True(t, put(silent), "a silent mark is newer than the record that it marks")
	require.False(t, put(own), "the old record does not replace the mark")
	own.Sequence++
	require.True(t, put(own), "the next record of the box replaces the mark")
	restarted := Record{Box: "b", Incarnation: 6, Sequence: 1, Status: StatusUp}
	require.True(t, put(restarted))
	require.False(t, put(own), "a record of an earlier incarnation is rejected")
}

func TestMonitorReportsSilentBoxOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMonitor(3 * time.Second)
	m.RecordHeartbeat("a", now)
	m.RecordHeartbeat("b", now.Add(2*time.Second))
	require.Empty(t, m.RemoveSilent(now.Add(3*time.Second)))
	require.Equal(t, []BoxID{"a"}, m.RemoveSilent(now.Add(4*time.Second)))
	require.Empty(t, m.RemoveSilent(now.Add(4*time.Second)))
	require.True(t, m.HasRecentHeartbeat("b", now.Add(4*time.Second)))
	m.ResetAll(now.Add(time.Hour))
	require.Empty(t, m.RemoveSilent(now.Add(time.Hour)), "no box is silent directly after ResetAll")
}

// Removing a candidate must move only the keys that were assigned to it: the others keep their order.
func TestRankKeepsOrderWhenCandidateIsRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []string
		for i := range rapid.IntRange(2, 20).Draw(t, "candidates") {
			candidates = append(candidates, fmt.Sprint("entry-", i))
		}
		key := rapid.String().Draw(t, "key")
		before := Rank(key, candidates, len(candidates))
		removed := rapid.IntRange(0, len(candidates)-1).Draw(t, "gone")
		var remaining []string
		for i, candidate := range candidates {
			if i != removed {
				remaining = append(remaining, candidate)
			}
		}
		var want []string
		for _, candidate := range before {
			if candidate != candidates[removed] {
				want = append(want, candidate)
			}
		}
		require.Equal(t, want, Rank(key, remaining, len(remaining)))
	})
}

// Every member is at most five levels below the roots, no member has many children,
// and removing a member moves few others.
func TestTreeReachesEveryMemberWithBoundedFanout(t *testing.T) {
	for _, count := range []int{1, 2, 3, 7, 50, 366, 2200} {
		var boxes []BoxID
		for i := range count {
			boxes = append(boxes, BoxID(fmt.Sprint("entry-", i)))
		}
		tree := NewTree("kita", boxes)
		smaller := NewTree("kita", boxes[1:])
		children := make(map[BoxID]int)
		moved, deepest := 0, 0
		for _, box := range boxes {
			deepest = max(deepest, tree.Depth(box))
			parent, ok := tree.Parent(box)
			require.Equal(t, !ok, tree.IsRoot(box))
			if ok {
				children[parent]++
			}
			if after, _ := smaller.Parent(box); box != boxes[0] && after != parent {
				moved++
			}
		}
		require.Len(t, tree.Roots(), min(MaxRoots, count))
		require.LessOrEqual(t, deepest, 5, "%d members", count)
		for box, fan := range children {
			require.LessOrEqual(t, fan, 5*Fanout, "%s of %d", box, count)
		}
		require.LessOrEqual(t, moved, 3*Fanout+count/20, "%d members", count)
	}
}

func TestRankSpreadsKeysEvenly(t *testing.T) {
	candidates := []string{"a", "b", "c", "d", "e"}
	count := make(map[string]int)
	for i := range 5000 {
		count[Rank(fmt.Sprint("box-", i), candidates, 1)[0]]++
	}
	for candidate, keys := range count {
		require.InDelta(t, 1000, keys, 150, candidate)
	}
}

func TestIsLiveRequiresLiveCopyOnBoxThatIsUp(t *testing.T) {
	record := Record{Status: StatusUp, Copies: []Copy{
		{Model: "m", Version: "v1", Phase: PhaseLive}, {Model: "m", Version: "v2", Phase: PhaseLoading},
	}}
	require.True(t, record.IsLive("m", "v1"))
	require.False(t, record.IsLive("m", "v2"))
	record.Status = StatusLeaving
	require.False(t, record.IsLive("m", "v1"))
}

func BenchmarkRankMonitors(b *testing.B) {
	for _, entries := range []int{7, 366} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var candidates []Address
			for i := range entries {
				candidates = append(candidates, Address(fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256)))
			}
			b.ReportAllocs()
			for b.Loop() {
				Rank("box-7", candidates, 2)
			}
		})
	}
}

func BenchmarkRecordRoundTrip(b *testing.B) {
	record := Record{
		Box: "kita-a-agent-0001", Role: RoleAgent, Region: "kita", FailureDomain: "kita-a", Peers: "10.0.0.1:7000",
		Incarnation: 1, Sequence: 1, Status: StatusUp, Models: []table.Model{"kakiwake"}, Slots: 2,
		Copies: []Copy{{Model: "kakiwake", Version: "2026.12", Phase: PhaseLive, TotalChunks: 3500}},
	}
	item, err := record.Item()
	require.NoError(b, err)
	b.ReportAllocs()
	defer func() { b.ReportMetric(float64(len(item.Value)), "bytes/record") }()
	for b.Loop() {
		item, err := record.Item()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ParseRecord(item.Value); err != nil {
			b.Fatal(err)
		}
	}
}

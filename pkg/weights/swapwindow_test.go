package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSwapsAreSpreadOverTheTimeBeforeTheCutoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		named := time.Unix(1000, 0)
		bound := time.Duration(rapid.IntRange(100, 60_000).Draw(t, "bound")) * time.Millisecond
		servers := rapid.IntRange(1, 50).Draw(t, "servers")
		turn := SwapWindow{Published: named, Cutoff: named.Add(bound), Position: rapid.IntRange(0, servers-1).Draw(t, "place"), Servers: servers}
		whole := named.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "whole")) * time.Millisecond)
		at := turn.Start(whole)
		if at.Before(whole) {
			t.Fatalf("swapped at %v, before its copy was whole at %v", at, whole)
		}
		if last := turn.Cutoff.Add(-cutoffMargin - swapDuration); at.After(last) && at.After(whole) {
			t.Fatalf("swapped at %v, later than %v and than its copy", at, last)
		}
		if turn.Position > 0 {
			before := turn
			before.Position--
			if before.Start(whole).After(at) {
				t.Fatal("a later place goes before an earlier one")
			}
		}
	})
}

// Nine copies that came whole at the same late moment were all swapped at once.
func TestServersWithLateDownloadsAreNotSwappedTogether(t *testing.T) {
	named := time.Unix(1000, 0)
	whole := named.Add(4500 * time.Millisecond)
	turns := make(map[time.Time]bool)
	for place := range 9 {
		turns[SwapWindow{Published: named, Cutoff: named.Add(8 * time.Second), Position: place, Servers: 20}.Start(whole)] = true
	}
	require.Len(t, turns, 9)
}

package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestTurnsAreSpreadOverTheTimeBeforeTheBar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		named := time.Unix(1000, 0)
		bound := time.Duration(rapid.IntRange(100, 60_000).Draw(t, "bound")) * time.Millisecond
		servers := rapid.IntRange(1, 50).Draw(t, "servers")
		turn := Turn{Named: named, Barred: named.Add(bound), Place: rapid.IntRange(0, servers-1).Draw(t, "place"), Servers: servers}
		whole := named.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "whole")) * time.Millisecond)
		at := turn.At(whole)
		if at.Before(whole) {
			t.Fatalf("swapped at %v, before its copy was whole at %v", at, whole)
		}
		if last := turn.Barred.Add(-turnsReserve - turnTime); at.After(last) && at.After(whole) {
			t.Fatalf("swapped at %v, later than %v and than its copy", at, last)
		}
		if turn.Place > 0 {
			before := turn
			before.Place--
			if before.At(whole).After(at) {
				t.Fatal("a later place goes before an earlier one")
			}
		}
	})
}

// Nine copies that came whole at the same late moment were all swapped at once.
func TestServersWhoseCopiesComeLateAreNotSwappedTogether(t *testing.T) {
	named := time.Unix(1000, 0)
	whole := named.Add(4500 * time.Millisecond)
	turns := make(map[time.Time]bool)
	for place := range 9 {
		turns[Turn{Named: named, Barred: named.Add(8 * time.Second), Place: place, Servers: 20}.At(whole)] = true
	}
	require.Len(t, turns, 9)
}

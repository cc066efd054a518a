package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSwapsAreSpreadOverTheTimeBeforeTheCutoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		publishedAt := time.Unix(1000, 0)
		bound := time.Duration(rapid.IntRange(100, 60_000).Draw(t, "bound")) * time.Millisecond
		servers := rapid.IntRange(1, 50).Draw(t, "servers")
		window := SwapWindow{Published: publishedAt, Cutoff: publishedAt.Add(bound), Position: rapid.IntRange(0, servers-1).Draw(t, "position"), Servers: servers}
		downloaded := publishedAt.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "downloaded")) * time.Millisecond)
		at := window.Start(downloaded)
		if at.Before(downloaded) {
			t.Fatalf("swap at %v, before the download completes at %v", at, downloaded)
		}
		if last := window.Cutoff.Add(-cutoffMargin - swapDuration); at.After(last) && at.After(downloaded) {
			t.Fatalf("swap at %v, after the last start %v and after the download", at, last)
		}
		if window.Position > 0 {
			before := window
			before.Position--
			if before.Start(downloaded).After(at) {
				t.Fatal("a later position swaps before an earlier one")
			}
		}
	})
}

// Nine servers whose downloads completed at the same late time all swapped at once.
func TestServersWithLateDownloadsAreNotSwappedTogether(t *testing.T) {
	publishedAt := time.Unix(1000, 0)
	downloaded := publishedAt.Add(4500 * time.Millisecond)
	starts := make(map[time.Time]bool)
	for position := range 9 {
		starts[SwapWindow{Published: publishedAt, Cutoff: publishedAt.Add(8 * time.Second), Position: position, Servers: 20}.Start(downloaded)] = true
	}
	require.Len(t, starts, 9)
}

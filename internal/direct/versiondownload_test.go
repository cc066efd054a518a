package direct

import (
	"context"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// After a loss of power each piece was read twice before the server was ordered to take
// them.
func TestRecentlyVerifiedChunksAreNotReadAgain(t *testing.T) {
	content := make([]byte, 10<<10)
	for i := range content {
		content[i] = byte(i >> 10)
	}
	staged := func(index int) []byte { return content[index<<10 : (index+1)<<10] }
	digests := make([]weights.Digest, 0, 10)
	for index := range 10 {
		digests = append(digests, weights.HashSHA256.Sum(staged(index)))
	}
	manifest, err := weights.FromDigests("m", "1", weights.HashSHA256, 1<<10, digests)
	require.NoError(t, err)
	reads := 0
	clock := clockwork.NewFakeClock()
	l := &Loader{
		options: LoaderOptions{Clock: clock, Log: zerolog.Nop(), Server: provider.ModelServer{
			ReadStaged: func(_ context.Context, _ fleet.ModelName, index int) ([]byte, error) {
				reads++
				return staged(index), nil
			},
		}},
		store: weights.NewMemoryStore(1 << 20),
	}
	want := &target{model: "m"}
	l.importStaged(t.Context(), want, 1, manifest)
	require.Equal(t, 10, reads)
	require.NoError(t, l.stage(t.Context(), want, manifest))
	require.Equal(t, 10, reads)
	clock.Advance(stagedValidity)
	require.NoError(t, l.stage(t.Context(), want, manifest))
	require.Equal(t, 20, reads, "what was read a while ago may have turned bad")
}

// Pieces crossed to a region 1.6 times where links were narrower than the patience was
// made for.
func TestRemoteTimeoutCoversLinkTime(t *testing.T) {
	l := &Loader{options: LoaderOptions{LinkMbps: 8}}
	want := &target{engine: &fleet.Engine{Chunks: 64, ChunkSize: 1 << 15}}
	require.Equal(t, defaultMaxRemoteWait, l.maxRemoteWait(want), "the origin's link is not known")
	want.origin.OriginMbps = 16
	require.InDelta(t, 1.05+2.1, l.maxRemoteWait(want).Seconds(), 0.01)
}

// Two agents read the manifest and all others asked them, so that hundreds held each other up
// for seconds before the first piece.
func TestManifestRequestsAreSpreadOverTree(t *testing.T) {
	const perRegion = 41
	agents := make([]member.Record, 0, perRegion)
	for i := range perRegion {
		agents = append(agents, member.Record{Box: member.BoxID(fmt.Sprintf("agent-%d", i)), Region: regionLocal})
	}
	agents = append(agents, member.Record{Box: "far", Region: regionRemote})
	below, readers := make(map[member.BoxID]int), 0
	for i := range perRegion {
		self, steps := agents[i].Box, 0
		parent, ok := manifestParent(agents, self, "m", 2)
		if !ok {
			readers++
			continue
		}
		below[parent]++
		for ; ok; steps++ {
			self = parent
			parent, ok = manifestParent(agents, self, "m", 2)
		}
		require.LessOrEqual(t, steps, 3)
	}
	require.Equal(t, member.MaxRoots, readers, "the origin sends a manifest to two of each region")
	require.NotContains(t, below, member.BoxID("far"))
	for agent, asking := range below {
		require.LessOrEqual(t, asking, 3*member.Fanout, "%s", agent)
	}
}

func TestAgentsOfUnknownRegionUseManifestTree(t *testing.T) {
	agents := []member.Record{{Box: "a", Region: regionRemote}, {Box: "b", Region: regionRemote}, {Box: "c", Region: regionRemote}}
	readers := 0
	for i := range agents {
		if _, ok := manifestParent(agents, agents[i].Box, "m", 2); !ok {
			readers++
		}
	}
	require.Equal(t, member.MaxRoots, readers)
}

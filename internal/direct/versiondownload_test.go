package direct

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// Guards against staged chunks being read twice before the load order after a loss of power: once to import them
// and once more to stage them.
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
			ReadStaged: func(_ context.Context, _ fleet.ModelName, index int, _ int64) ([]byte, error) {
				reads++
				return staged(index), nil
			},
		}},
		store: weights.NewMemoryStore(1 << 20),
	}
	desired := &target{model: "m"}
	l.importStaged(t.Context(), desired, 1, manifest)
	require.Equal(t, 10, reads)
	require.NoError(t, l.stage(t.Context(), desired, manifest))
	require.Equal(t, 10, reads)
	clock.Advance(stagedValidity)
	require.NoError(t, l.stage(t.Context(), desired, manifest))
	require.Equal(t, 20, reads, "chunks verified a while ago may be corrupted since")
}

// Guards against a fixed timeout for chunks that another box of the region fetches: on links slower than the
// timeout assumed, each chunk crossed to a region 1.6 times on average.
func TestRemoteTimeoutCoversLinkTime(t *testing.T) {
	l := &Loader{options: LoaderOptions{LinkMbps: 8}}
	desired := &target{engine: &fleet.Engine{Chunks: 64, ChunkSize: 1 << 15}}
	require.Equal(t, defaultMaxRemoteWait, l.maxRemoteWait(desired), "rate of the origin's link is not known")
	desired.origin.OriginMbps = 16
	require.InDelta(t, 1.05+2.1, l.maxRemoteWait(desired).Seconds(), 0.01)
}

// Guards against a delay of seconds before the first chunk: when two agents read the manifest from the origin and
// served all others, hundreds of requests queued at these two.
func TestManifestRequestsAreSpreadOverTree(t *testing.T) {
	const perRegion = 41
	agents := make([]member.Record, 0, perRegion)
	for i := range perRegion {
		agents = append(agents, member.Record{Box: member.BoxID(fmt.Sprintf("agent-%d", i)), Region: regionLocal})
	}
	agents = append(agents, member.Record{Box: "far", Region: regionRemote})
	children, readers := make(map[member.BoxID]int), 0
	for i := range perRegion {
		self, steps := agents[i].Box, 0
		parent, ok := manifestParent(agents, self, "m", 2)
		if !ok {
			readers++
			continue
		}
		children[parent]++
		for ; ok; steps++ {
			self = parent
			parent, ok = manifestParent(agents, self, "m", 2)
		}
		require.LessOrEqual(t, steps, 3)
	}
	require.Equal(t, member.MaxRoots, readers, "two agents of a region read the manifest from the origin")
	require.NotContains(t, children, member.BoxID("far"))
	for agent, count := range children {
		require.LessOrEqual(t, count, 3*member.Fanout, "%s", agent)
	}
}

// Guards against every agent reading the manifest from the origin if the settings do not contain its region.
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

// Guards against servers that stay out of service for a notice although entry boxes send them nothing any more.
func TestSwapAfterCutoffNeedsNoNotice(t *testing.T) {
	clock := clockwork.NewFakeClock()
	const bound = 10 * time.Second
	l := &Loader{options: LoaderOptions{Clock: clock, VersionBound: bound}}
	desired := &target{published: fleet.PublishedVersions{{Version: 1}, {Version: 2, PublishedAt: clock.Now()}}}
	require.Equal(t, maxSwapNotice, l.swapNotice(desired, 1))
	clock.Advance(bound - cutoffMargin + time.Millisecond)
	require.Zero(t, l.swapNotice(desired, 1))
	require.Equal(t, maxSwapNotice, l.swapNotice(desired, 2), "the newest version has no cutoff")
}

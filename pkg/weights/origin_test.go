package weights

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// originSimulation is a set of boxes that download a newly published version from an origin. The origin's link
// sends one chunk after another. Every box holds a chunk propagationTime after the origin has sent it.
type originSimulation struct {
	manifest *Manifest
	pickers  []*Picker
	byName   map[string]int
	starts   []time.Duration
	dead     []bool
	// sent is the time at which each chunk first arrived at a box; originFetches counts the chunks sent.
	sent          []time.Duration
	originFetches int
	// killed lists the boxes that stop at killAt.
	killed []int
	killAt time.Duration
}

const (
	simulationStep = 10 * time.Millisecond
	chunkCount     = 48
	// chunkTransferTime is the time that a chunk takes over the origin's link.
	chunkTransferTime = 44 * time.Millisecond
	pollInterval      = 80 * time.Millisecond
	// propagationTime is the time from a chunk's arrival at the first box until all boxes hold it.
	propagationTime = time.Second
)

// run simulates the download until the origin becomes unavailable, at the given time after the publication.
func (s *originSimulation) run(publishedAt time.Time, until time.Duration) {
	type transfer struct {
		box  int
		task FetchTask
	}
	var queue []transfer
	linkFree, polled := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < until; at += simulationStep {
		now := publishedAt.Add(at)
		if at >= s.killAt {
			for _, box := range s.killed {
				s.dead[box] = true
			}
		}
		for len(queue) > 0 && linkFree <= at {
			completed := queue[0]
			queue = queue[1:]
			s.originFetches++
			if s.dead[completed.box] {
				linkFree += chunkTransferTime
				continue
			}
			s.pickers[completed.box].Done(completed.task, now)
			if s.sent[completed.task.Chunk] == 0 {
				s.sent[completed.task.Chunk] = at
			}
			linkFree += chunkTransferTime
		}
		if at-polled >= pollInterval {
			polled = at
			s.poll(now, at)
		}
		for i, p := range s.pickers {
			if s.dead[i] || at < s.starts[i] {
				continue
			}
			for task, ok := p.Next(now); ok; task, ok = p.Next(now) {
				if len(queue) == 0 {
					linkFree = at + chunkTransferTime
				}
				queue = append(queue, transfer{i, task})
			}
		}
	}
}

// poll updates the holdings of the boxes that each box polls, and marks the chunks that have propagated as
// held. Neighbour windows are full, so that boxes fetch from the origin only.
func (s *originSimulation) poll(now time.Time, at time.Duration) {
	for _, p := range s.pickers {
		p.lastProgress = now
		for chunk, sent := range s.sent {
			if sent > 0 && at-sent >= propagationTime && !p.held.Has(chunk) {
				p.held.Set(chunk)
				p.missing--
			}
		}
		for _, box := range p.BoxesToPoll() {
			switch j := s.byName[box]; {
			case s.dead[j]:
				p.SetHoldings(box, nil)
			case at >= s.starts[j]:
				p.SetHoldings(box, s.pickers[j].held)
				p.RecordResponse(box, now)
				p.neighbours[box].running = p.options.NeighbourWindow
			}
		}
	}
}

func newOriginSimulation(t require.TestingT, boxes int, starts func(box int) time.Duration, publishedAt time.Time) *originSimulation {
	data := make([]byte, chunkCount)
	for i := range data {
		data[i] = byte(i)
	}
	m := buildManifest(t, 1, data)
	s := &originSimulation{manifest: m, byName: make(map[string]int), dead: make([]bool, boxes), sent: make([]time.Duration, chunkCount)}
	options := DefaultPickerOptions()
	options.OriginWindow, options.OriginInterval, options.OriginBurst, options.OriginHedgeDelay = 4, chunkTransferTime, 2, 4*chunkTransferTime
	options.SilenceTimeout = 400 * time.Millisecond
	options.RankDelay, options.MaxOriginWait = 500*time.Millisecond, 1200*time.Millisecond
	var all []Peer
	for i := range boxes {
		all = append(all, Peer{Box: boxName(i)})
	}
	for i := range boxes {
		s.byName[boxName(i)] = i
		s.starts = append(s.starts, starts(i))
		p := NewPicker(m, boxName(i), nil, options, publishedAt.Add(s.starts[i]))
		p.SetSchedule(VersionSchedule{Start: publishedAt}, publishedAt)
		p.SetOriginFetchers(all)
		s.pickers = append(s.pickers, p)
	}
	return s
}

// Guards against second fetchers that count their wait from the start of the download instead of the chunk's
// scheduled time. One chunk in five is then fetched twice, and the last chunks have not left an origin that becomes
// unavailable 2.5 s after the publication, although one download takes 2.1 s over its link.
func TestOriginAvailableForOneDownloadSendsEveryChunk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		publishedAt := time.Unix(1000, 0)
		boxes := rapid.IntRange(20, 80).Draw(t, "boxes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s := newOriginSimulation(t, boxes, func(int) time.Duration {
			return 100*time.Millisecond + time.Duration(random.Int64N(int64(200*time.Millisecond)))
		}, publishedAt)
		s.run(publishedAt, 400*time.Millisecond+chunkCount*chunkTransferTime)
		for chunk, at := range s.sent {
			if at == 0 {
				t.Fatalf("origin has not sent chunk %d", chunk)
			}
		}
		if s.originFetches > chunkCount*110/100 {
			t.Fatalf("%d origin fetches for %d chunks", s.originFetches, chunkCount)
		}
	})
}

// The chunks of first fetchers that are unreachable from the start come last, without displacing other chunks.
func TestSecondFetcherReplacesUnreachableFirst(t *testing.T) {
	publishedAt := time.Unix(1000, 0)
	s := newOriginSimulation(t, 20, func(int) time.Duration { return 200 * time.Millisecond }, publishedAt)
	s.dead[3], s.dead[11] = true, true
	s.run(publishedAt, 3*time.Second)
	for chunk, at := range s.sent {
		require.NotZero(t, at, "origin has not sent chunk %d", chunk)
		require.Less(t, at, 600*time.Millisecond+chunkCount*chunkTransferTime, "chunk %d", chunk)
	}
	require.LessOrEqual(t, s.originFetches, chunkCount*110/100)
}

// Guards against second fetchers that take over too late when boxes are killed during a download. If they fetch the
// remaining chunks 1.7 s after the scheduled time, the origin is already unavailable, and the fleet waits eight seconds
// for two chunks.
func TestChunksOfKilledFetchersAreFetchedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		publishedAt := time.Unix(1000, 0)
		boxes := rapid.IntRange(20, 80).Draw(t, "boxes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s := newOriginSimulation(t, boxes, func(int) time.Duration {
			return 50*time.Millisecond + time.Duration(random.Int64N(int64(150*time.Millisecond)))
		}, publishedAt)
		s.killed = rapid.SliceOfNDistinct(rapid.IntRange(0, boxes-1), boxes/15, boxes/15, rapid.ID).Draw(t, "killed")
		s.killAt = time.Duration(rapid.IntRange(300, 1700).Draw(t, "kill_ms")) * time.Millisecond
		s.run(publishedAt, 500*time.Millisecond+chunkCount*chunkTransferTime)
		for chunk, at := range s.sent {
			if at == 0 && s.hasLiveFetcher(chunk) {
				t.Fatalf("origin has not sent chunk %d", chunk)
			}
		}
	})
}

// hasLiveFetcher reports whether the first or the second fetcher of a chunk is still running.
func (s *originSimulation) hasLiveFetcher(chunk int) bool {
	for i, p := range s.pickers {
		if p.ranks[chunk] < 2 && !s.dead[i] {
			return true
		}
	}
	return false
}

// Origin fetches that start before the manifest is received have to be the ones for which the picker ranks
// the box first.
func TestFirstRankChunksMatchPickerRanks(t *testing.T) {
	publishedAt := time.Unix(1000, 0)
	const boxes = 20
	s := newOriginSimulation(t, boxes, func(int) time.Duration { return 0 }, publishedAt)
	var all []Peer
	for i := range boxes {
		all = append(all, Peer{Box: boxName(i)})
	}
	total := 0
	for i, p := range s.pickers {
		var first []int
		for chunk, rank := range p.ranks {
			if rank == 0 {
				first = append(first, chunk)
			}
		}
		require.Equal(t, first, FirstRankChunks(s.manifest.Model, s.manifest.Version, boxName(i), all, chunkCount))
		total += len(first)
	}
	require.Equal(t, chunkCount, total)
}

func BenchmarkFirstRankChunks(b *testing.B) {
	var all []Peer
	for i := range 1400 {
		all = append(all, Peer{Box: boxName(i)})
	}
	for b.Loop() {
		FirstRankChunks("m", "2", boxName(7), all, 3500)
	}
}

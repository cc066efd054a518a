package weights

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// originSimulation is boxes that draw the chunks of a version which has just been named from an origin
// whose link sends one after the other. All hold a chunk some time after it was drawn.
type originSimulation struct {
	manifest *Manifest
	pickers  []*Picker
	byName   map[string]int
	starts   []time.Duration
	dead     []bool
	// sent is when each chunk was first whole at a box, draws how many were sent.
	sent          []time.Duration
	originFetches int
	// killed are the boxes that are killed at a moment.
	killed []int
	killAt time.Duration
}

const (
	simulationStep = 10 * time.Millisecond
	chunkCount     = 48
	// chunkTransferTime is how long a chunk takes over the origin's link.
	chunkTransferTime = 44 * time.Millisecond
	pollInterval      = 80 * time.Millisecond
	// propagationTime is how long a chunk takes to come to all boxes.
	propagationTime = time.Second
)

// run runs the draws until the origin goes away.
func (d *originSimulation) run(named time.Time, until time.Duration) {
	type transfer struct {
		box  int
		task FetchTask
	}
	var link []transfer
	free, polled := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < until; at += simulationStep {
		now := named.Add(at)
		if at >= d.killAt {
			for _, box := range d.killed {
				d.dead[box] = true
			}
		}
		for len(link) > 0 && free <= at {
			done := link[0]
			link = link[1:]
			d.originFetches++
			if d.dead[done.box] {
				free += chunkTransferTime
				continue
			}
			d.pickers[done.box].Done(done.task, now)
			if d.sent[done.task.Chunk] == 0 {
				d.sent[done.task.Chunk] = at
			}
			free += chunkTransferTime
		}
		if at-polled >= pollInterval {
			polled = at
			d.poll(now, at)
		}
		for i, p := range d.pickers {
			if d.dead[i] || at < d.starts[i] {
				continue
			}
			for task, ok := p.Next(now); ok; task, ok = p.Next(now) {
				if len(link) == 0 {
					free = at + chunkTransferTime
				}
				link = append(link, transfer{i, task})
			}
		}
	}
}

// poll tells each box what those hold that it asks, and gives it the chunks that have come
// round.
func (d *originSimulation) poll(now time.Time, at time.Duration) {
	for _, p := range d.pickers {
		p.lastProgress = now
		for chunk, sent := range d.sent {
			if sent > 0 && at-sent >= propagationTime && !p.held.Has(chunk) {
				p.held.Set(chunk)
				p.missing--
			}
		}
		for _, box := range p.BoxesToPoll() {
			switch j := d.byName[box]; {
			case d.dead[j]:
				p.SetHoldings(box, nil)
			case at >= d.starts[j]:
				p.SetHoldings(box, d.pickers[j].held)
				p.RecordResponse(box, now)
				p.neighbours[box].running = p.options.NeighbourWindow
			}
		}
	}
}

func newOriginSimulation(t require.TestingT, boxes int, starts func(box int) time.Duration, named time.Time) *originSimulation {
	data := make([]byte, chunkCount)
	for i := range data {
		data[i] = byte(i)
	}
	m := buildManifest(t, 1, data)
	d := &originSimulation{manifest: m, byName: make(map[string]int), dead: make([]bool, boxes), sent: make([]time.Duration, chunkCount)}
	options := DefaultPickerOptions()
	options.OriginWindow, options.OriginInterval, options.OriginBurst, options.OriginHedgeDelay = 4, chunkTransferTime, 2, 4*chunkTransferTime
	options.SilenceTimeout = 400 * time.Millisecond
	options.RankDelay, options.MaxOriginWait = 500*time.Millisecond, 1200*time.Millisecond
	var all []Peer
	for i := range boxes {
		all = append(all, Peer{Box: boxName(i)})
	}
	for i := range boxes {
		d.byName[boxName(i)] = i
		d.starts = append(d.starts, starts(i))
		p := NewPicker(m, boxName(i), nil, options, named.Add(d.starts[i]))
		p.SetScheduleStart(named)
		p.SetOriginFetchers(all)
		d.pickers = append(d.pickers, p)
	}
	return d
}

// A second drawer counted its wait from the start of the copy and not from a chunk's turn: one
// chunk in five was drawn twice, and the last ones had not left an origin that went away 2.5 s
// after the version was named, though a copy takes 2.1 s over its link.
func TestOriginAvailableForOneDownloadSendsEveryChunk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		named := time.Unix(1000, 0)
		boxes := rapid.IntRange(20, 80).Draw(t, "boxes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		d := newOriginSimulation(t, boxes, func(int) time.Duration {
			return 100*time.Millisecond + time.Duration(random.Int64N(int64(200*time.Millisecond)))
		}, named)
		d.run(named, 400*time.Millisecond+chunkCount*chunkTransferTime)
		for chunk, at := range d.sent {
			if at == 0 {
				t.Fatalf("chunk %d has not left the origin", chunk)
			}
		}
		if d.originFetches > chunkCount*110/100 {
			t.Fatalf("%d draws for %d chunks", d.originFetches, chunkCount)
		}
	})
}

// Those chunks whose first drawer was cut off all along come last, and take no chunk's place.
func TestSecondFetcherReplacesUnreachableFirst(t *testing.T) {
	named := time.Unix(1000, 0)
	d := newOriginSimulation(t, 20, func(int) time.Duration { return 200 * time.Millisecond }, named)
	d.dead[3], d.dead[11] = true, true
	d.run(named, 3*time.Second)
	for chunk, at := range d.sent {
		require.NotZero(t, at, "chunk %d has not left the origin", chunk)
		require.Less(t, at, 600*time.Millisecond+chunkCount*chunkTransferTime, "chunk %d", chunk)
	}
	require.LessOrEqual(t, d.originFetches, chunkCount*110/100)
}

// What agents had still to draw that were killed while the version came was drawn by others
// 1.7 s after its turn, when the origin had gone away, and their own fleet waited eight
// seconds for two chunks.
func TestChunksOfKilledFetchersAreFetchedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		named := time.Unix(1000, 0)
		boxes := rapid.IntRange(20, 80).Draw(t, "boxes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		d := newOriginSimulation(t, boxes, func(int) time.Duration {
			return 50*time.Millisecond + time.Duration(random.Int64N(int64(150*time.Millisecond)))
		}, named)
		d.killed = rapid.SliceOfNDistinct(rapid.IntRange(0, boxes-1), boxes/15, boxes/15, rapid.ID).Draw(t, "killed")
		d.killAt = time.Duration(rapid.IntRange(300, 1700).Draw(t, "kill_ms")) * time.Millisecond
		d.run(named, 500*time.Millisecond+chunkCount*chunkTransferTime)
		for chunk, at := range d.sent {
			if at == 0 && d.hasLiveFetcher(chunk) {
				t.Fatalf("chunk %d has not left the origin", chunk)
			}
		}
	})
}

// hasLiveFetcher reports whether the first or the second drawer of a chunk was not killed.
func (d *originSimulation) hasLiveFetcher(chunk int) bool {
	for i, p := range d.pickers {
		if p.ranks[chunk] < 2 && !d.dead[i] {
			return true
		}
	}
	return false
}

// Draws that begin before the manifest has come are those that the picker gives this box.
func TestFirstRankChunksMatchPickerRanks(t *testing.T) {
	named := time.Unix(1000, 0)
	const boxes = 20
	d := newOriginSimulation(t, boxes, func(int) time.Duration { return 0 }, named)
	var all []Peer
	for i := range boxes {
		all = append(all, Peer{Box: boxName(i)})
	}
	drawn := 0
	for i, p := range d.pickers {
		var first []int
		for chunk, rank := range p.ranks {
			if rank == 0 {
				first = append(first, chunk)
			}
		}
		require.Equal(t, first, FirstRankChunks(d.manifest.Model, d.manifest.Version, boxName(i), all, chunkCount))
		drawn += len(first)
	}
	require.Equal(t, chunkCount, drawn)
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

package weights

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func randomBytes(seed byte, size int) []byte {
	data := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(data)
	return data
}

func newSource(name string, data []byte) Source {
	return Source{Path: name, Blob: "sha256:" + name, Open: func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(data)), nil
	}}
}

func buildManifest(t require.TestingT, chunkSize int64, contents ...[]byte) *Manifest {
	var sources []Source
	for i, data := range contents {
		sources = append(sources, newSource(fmt.Sprint("f", i), data))
	}
	manifest, _, err := Build("m", "v", sources, chunkSize)
	require.NoError(t, err)
	return manifest
}

func chunkData(m *Manifest, index int, contents ...[]byte) []byte {
	chunk := m.Chunks[index]
	return contents[chunk.File][chunk.Offset : chunk.Offset+chunk.Size]
}

func TestManifestCoversFilesOfAnySizeInOrder(t *testing.T) {
	contents := [][]byte{randomBytes(1, 1000), {}, randomBytes(2, 512), randomBytes(3, 1)}
	m := buildManifest(t, 512, contents...)
	require.Equal(t, int64(1513), m.Size())
	require.Len(t, m.Chunks, 4)
	again, err := Parse(m.Raw(), m.Digest())
	require.NoError(t, err)
	require.Equal(t, m, again)
}

func TestParseRejectsInconsistentManifest(t *testing.T) {
	good := buildManifest(t, 512, randomBytes(1, 1000))
	cases := map[string]func(*Manifest){
		"gap":            func(m *Manifest) { m.Chunks[1].Offset++ },
		"overlap":        func(m *Manifest) { m.Chunks[1].Offset-- },
		"missing end":    func(m *Manifest) { m.Chunks = m.Chunks[:1] },
		"beyond the end": func(m *Manifest) { m.Chunks[1].Size++ },
		"empty chunk":    func(m *Manifest) { m.Chunks[0].Size = 0 },
		"unknown file":   func(m *Manifest) { m.Chunks[1].File = 7 },
		"no files":       func(m *Manifest) { m.Files = nil },
		"no chunks":      func(m *Manifest) { m.Files, m.Chunks = nil, nil },
		"empty file":     func(m *Manifest) { m.Files, m.Chunks = []File{{Path: "f"}}, nil },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			manifest, err := Parse(good.Raw(), Digest{})
			require.NoError(t, err)
			corrupt(manifest)
			content, err := json.Marshal(manifest)
			require.NoError(t, err)
			_, err = Parse(content, Digest{})
			require.ErrorIs(t, err, ErrInvalidManifest)
		})
	}
	_, err := Parse(good.Raw(), Sum([]byte("another")))
	require.ErrorIs(t, err, ErrDigestMismatch)
	_, err = Parse([]byte("{"), Digest{})
	require.ErrorIs(t, err, ErrInvalidManifest)
}

func TestStoreKeepsOnlyVerifiedChunksUnderItsLimit(t *testing.T) {
	data := randomBytes(1, 1024)
	m := buildManifest(t, 512, data)
	s := NewMemoryStore(512)
	s.Add(m)
	wrong := bytes.Clone(data[:512])
	wrong[3] ^= 1
	require.ErrorIs(t, s.Put(m, 0, wrong), ErrDigestMismatch)
	require.ErrorIs(t, s.Put(m, 0, data[:511]), ErrDigestMismatch)
	require.ErrorIs(t, s.Verify(m), ErrChunkNotFound)
	require.NoError(t, s.Put(m, 0, data[:512]))
	require.NoError(t, s.Put(m, 0, data[:512]), "storing a held chunk again needs no memory")
	require.ErrorIs(t, s.Put(m, 1, data[512:]), ErrStoreFull)
	require.Equal(t, int64(512), s.Used())
	_, err := s.Get(m.Digest(), 9)
	require.ErrorIs(t, err, ErrChunkNotFound)
}

func TestVersionsShareChunksUntilTheLastIsDropped(t *testing.T) {
	common, first, second := randomBytes(1, 1024), randomBytes(2, 512), randomBytes(3, 512)
	one, two := buildManifest(t, 512, common, first), buildManifest(t, 512, common, second)
	s := NewMemoryStore(1 << 20)
	s.Add(one)
	for i := range one.Chunks {
		require.NoError(t, s.Put(one, i, chunkData(one, i, common, first)))
	}
	require.NoError(t, s.Verify(one))
	s.Add(two)
	require.Equal(t, 2, s.Held(two.Digest()).Count(len(two.Chunks)), "common chunks are available at once")
	s.Drop(one.Digest())
	require.Equal(t, int64(1024), s.Used())
	require.Nil(t, s.Held(one.Digest()))
	s.Drop(two.Digest())
	require.Zero(t, s.Used())
}

// swarm is a set of boxes whose pickers exchange chunks without transfer times. In each round, every box starts and
// completes one fetch.
type swarm struct {
	manifest      *Manifest
	pickers       []*Picker
	down          []bool
	originFetches int
	now           time.Time
}

func boxName(i int) string { return fmt.Sprintf("box-%04d", i) }

func newSwarm(m *Manifest, boxes, neighbours int, options PickerOptions) *swarm {
	s := &swarm{manifest: m, now: time.Unix(1_000_000, 0), down: make([]bool, boxes)}
	var all []Peer
	for i := range boxes {
		all = append(all, Peer{Box: boxName(i)})
	}
	for i := range boxes {
		p := NewPicker(m, boxName(i), nil, options, s.now)
		p.SetOriginFetchers(all)
		var neighbourPeers []Peer
		for n := range neighbours {
			neighbourPeers = append(neighbourPeers, Peer{Box: boxName((i + 1 + n*n) % boxes)})
		}
		p.SetNeighbours(neighbourPeers)
		s.pickers = append(s.pickers, p)
	}
	return s
}

// round runs one fetch on every box that is up; fault decides whether it fails. It returns the number of missing
// chunks of all these boxes.
func (s *swarm) round(fault func(box int, task FetchTask) bool) (missing int) {
	for i, p := range s.pickers {
		if s.down[i] {
			continue
		}
		for j := range s.pickers {
			if s.down[j] {
				p.SetHoldings(boxName(j), nil)
			} else {
				p.SetHoldings(boxName(j), s.pickers[j].held)
			}
		}
		task, ok := p.Next(s.now)
		switch {
		case !ok:
		case fault(i, task):
			p.Failed(task, s.now.Add(time.Second))
		default:
			if task.FromOrigin() {
				s.originFetches++
			}
			p.Done(task, s.now)
		}
		missing += p.Missing()
	}
	s.now = s.now.Add(100 * time.Millisecond)
	return missing
}

func noFault(int, FetchTask) bool { return false }

func TestOriginSendsEachChunkOnce(t *testing.T) {
	m := buildManifest(t, 64, randomBytes(1, 64*100))
	s := newSwarm(m, 40, 6, DefaultPickerOptions())
	for s.round(noFault) > 0 {
		require.Less(t, s.now.Unix(), int64(1_000_600), "the download does not complete")
	}
	require.Equal(t, len(m.Chunks), s.originFetches)
}

func TestDeadFetchersAreReplaced(t *testing.T) {
	m := buildManifest(t, 64, randomBytes(1, 64*50))
	s := newSwarm(m, 10, 4, DefaultPickerOptions())
	for i := range 5 {
		s.down[2*i] = true
	}
	for s.round(noFault) > 0 {
		require.Less(t, s.now.Unix(), int64(1_000_600), "the download does not complete")
	}
	require.LessOrEqual(t, s.originFetches, 2*len(m.Chunks))
}

func TestFailingNeighbourIsExcluded(t *testing.T) {
	m := buildManifest(t, 64, randomBytes(1, 64*50))
	s := newSwarm(m, 6, 4, DefaultPickerOptions())
	fetches := 0
	fromFaultyBox := func(_ int, task FetchTask) bool {
		if task.From == boxName(1) {
			fetches++
		}
		return task.From == boxName(1)
	}
	for s.round(fromFaultyBox) > 0 {
		require.Less(t, s.now.Unix(), int64(1_000_600), "the download does not complete")
	}
	require.LessOrEqual(t, fetches, 5*DefaultPickerOptions().MaxFailures)
}

// After any sequence of failed fetches and stopped boxes, a download has to complete once the origin and all
// fetches work again.
func TestDownloadCompletesOnceOriginResponds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := buildManifest(t, 64, randomBytes(1, 64*rapid.IntRange(1, 12).Draw(t, "chunks")))
		s := newSwarm(m, rapid.IntRange(1, 6).Draw(t, "boxes"), 3, DefaultPickerOptions())
		faulty := rapid.SliceOfN(rapid.Bool(), 16, 16).Draw(t, "faults")
		count := 0
		fault := func(_ int, task FetchTask) bool {
			count++
			return faulty[(count+task.Chunk)%len(faulty)]
		}
		for range rapid.IntRange(0, 40).Draw(t, "turns") {
			at := rapid.IntRange(0, len(s.down)-1).Draw(t, "box")
			s.down[at] = rapid.Bool().Draw(t, "down") && at != 0
			s.round(fault)
		}
		for rounds := 0; s.round(noFault) > 0; rounds++ {
			if rounds > 5000 {
				t.Fatalf("the download does not complete")
			}
		}
	})
}

func BenchmarkPickerNext(b *testing.B) {
	for _, chunks := range []int{100, 1_000, 3_500} {
		b.Run(fmt.Sprintf("chunks=%d", chunks), func(b *testing.B) {
			m := buildManifest(b, 16, randomBytes(1, 16*chunks))
			p := NewPicker(m, "box-0000", nil, DefaultPickerOptions(), time.Unix(0, 0))
			p.SetNeighbours([]Peer{{Box: "a"}, {Box: "b"}, {Box: "c"}, {Box: "d"}, {Box: "e"}, {Box: "f"}, {Box: "g"}, {Box: "h"}})
			all := NewBits(chunks)
			for i := range chunks {
				all.Set(i)
			}
			for _, n := range p.sortedNeighbours {
				p.SetHoldings(n.box, all)
			}
			b.ReportAllocs()
			for b.Loop() {
				task, ok := p.Next(time.Unix(1, 0))
				if !ok {
					b.Fatal("nothing to fetch")
				}
				p.finish(task)
			}
		})
	}
}

func BenchmarkSetOriginFetchers(b *testing.B) {
	for _, boxes := range []int{100, 1_400} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			m := buildManifest(b, 16, randomBytes(1, 16*3_500))
			p := NewPicker(m, "box-0000", nil, DefaultPickerOptions(), time.Unix(0, 0))
			var fetchers []Peer
			for i := range boxes {
				fetchers = append(fetchers, Peer{Box: boxName(i), Remote: i%6 != 0})
			}
			for b.Loop() {
				p.SetOriginFetchers(fetchers)
			}
		})
	}
}

func BenchmarkVerifyChunk(b *testing.B) {
	data := randomBytes(1, 4<<20)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		Sum(data)
	}
}

// Guards against fetching all chunks at once: they share the origin's link, and the first chunk arrives as late as
// the last.
func TestOriginFetchesArePaced(t *testing.T) {
	m := buildManifest(t, 64, randomBytes(1, 512))
	options := DefaultPickerOptions()
	options.OriginWindow, options.OriginInterval = 8, 100*time.Millisecond
	now := time.Unix(0, 0)
	p := NewPicker(m, "box-0000", nil, options, now)
	for chunk := range m.Chunks {
		task, ok := p.Next(now)
		require.True(t, ok)
		require.Equal(t, FetchTask{Chunk: chunk}, task)
		_, ok = p.Next(now)
		require.False(t, ok, "chunk %d is due one interval later", chunk+1)
		now = now.Add(options.OriginInterval)
	}
}

// A connection reset by the origin costs one chunk a retry. When the schedule restarted, the chunk also waited for
// the time that all chunks before it take over the origin's link.
func TestFailedOriginFetchIsRetriedWithoutRescheduling(t *testing.T) {
	m := buildManifest(t, 64, randomBytes(1, 4096))
	options := DefaultPickerOptions()
	options.OriginWindow, options.OriginInterval = 1, 100*time.Millisecond
	const retry = 300 * time.Millisecond
	now := time.Unix(0, 0)
	p := NewPicker(m, "box-0000", nil, options, now)
	last := len(m.Chunks) - 1
	for chunk := range last {
		p.Done(FetchTask{Chunk: chunk}, now)
	}
	now = now.Add(time.Duration(last) * options.OriginInterval)
	task, ok := p.Next(now)
	require.True(t, ok)
	p.Failed(task, now.Add(retry))
	_, ok = p.Next(now.Add(retry))
	require.True(t, ok)
}

// Guards against every box trying every chunk while the origin is unavailable. After the origin recovers, all boxes
// then fetch all chunks at once: it sends three copies, and the first complete one takes 3.4 s.
func TestRecoveredOriginSendsEachChunkToItsFirstFetcher(t *testing.T) {
	m := buildManifest(t, 64, randomBytes(1, 4096))
	options := DefaultPickerOptions()
	options.RankDelay, options.MaxOriginWait, options.OriginWindow = 500*time.Millisecond, 1200*time.Millisecond, 2
	const boxes, retry, step = 20, 300 * time.Millisecond, 50 * time.Millisecond
	var all []Peer
	for i := range boxes {
		all = append(all, Peer{Box: boxName(i)})
	}
	now := time.Unix(0, 0)
	var pickers []*Picker
	for i := range boxes {
		p := NewPicker(m, boxName(i), nil, options, now)
		p.SetOriginFetchers(all)
		pickers = append(pickers, p)
	}
	tried := 0
	for range int(6 * time.Second / step) {
		for _, p := range pickers {
			for task, ok := p.Next(now); ok; task, ok = p.Next(now) {
				p.Failed(task, now.Add(retry))
				tried++
			}
		}
		now = now.Add(step)
	}
	require.Less(t, tried, 2*len(m.Chunks)*int(6*time.Second/retry), "origin fetches tried while the origin is unavailable")
	fetches := 0
	for range int(800 * time.Millisecond / step) {
		for _, p := range pickers {
			for task, ok := p.Next(now); ok; task, ok = p.Next(now) {
				p.Done(task, now)
				fetches++
			}
		}
		now = now.Add(step)
	}
	require.GreaterOrEqual(t, fetches, len(m.Chunks))
	require.LessOrEqual(t, fetches, len(m.Chunks)*11/10, "the second fetcher seldom fetches a chunk too")
}

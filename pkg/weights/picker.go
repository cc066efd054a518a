package weights

import (
	"math"
	"slices"
	"strings"
	"time"
)

// PickerOptions sets how a copy is fetched.
type PickerOptions struct {
	// NeighbourWindow is how many fetches run at once from one neighbour.
	NeighbourWindow int
	// OriginWindow is how many run at once from the origin.
	OriginWindow int
	// OriginInterval is how long after the one before it each chunk is drawn by its first
	// drawer. If all are drawn at once, they share the origin's link and all come at
	// the same late moment. 0 draws at once.
	OriginInterval time.Duration
	// OriginBurst is how many chunks are drawn before their pace, so that the origin's link is
	// not idle while the boxes hear of a version, and begin, one after the other.
	OriginBurst int
	// OriginHedgeDelay is after how long from the last chunk's turn chunks are drawn by their second
	// drawers too, if the first, whom these ask, do not show them. Before, each would take the
	// place of a chunk that has not left the origin yet. 0 leaves it at the waits below.
	OriginHedgeDelay time.Duration
	// SilenceTimeout is after how long a first drawer that was heard counts as killed or cut off: its
	// chunks are drawn by the second in its place.
	SilenceTimeout time.Duration
	// TotalWindow is how many run at once in all; 0 for no such bound. A small one
	// keeps the box's link free for requests.
	TotalWindow int
	// RankDelay is how long each place in the order of drawers waits for the
	// one before it, counted from the last chunk that this box got.
	RankDelay time.Duration
	// MaxOriginWait is after how long the waits of RankDelay are counted from the start of
	// the copy or the last draw that failed, even while other chunks come: a first drawer may be on a link
	// that has become slow. 0 leaves it at RankDelay.
	MaxOriginWait time.Duration
	// MaxRemoteWait is the same for chunks that another box of the region is to bring
	// over a long link.
	MaxRemoteWait time.Duration
	// MaxFailures is after how many faults a neighbour is no longer asked.
	MaxFailures int
}

// DefaultPickerOptions suits links of about two copies in the time allowed.
func DefaultPickerOptions() PickerOptions {
	return PickerOptions{NeighbourWindow: 2, OriginWindow: 4, RankDelay: 2 * time.Second, MaxFailures: 3}
}

// FetchTask is one fetch. From is empty for the origin.
type FetchTask struct {
	Chunk int
	From  string
}

// FromOrigin reports whether the task fetches from the origin.
func (t FetchTask) FromOrigin() bool { return t.From == "" }

type neighbour struct {
	box      string
	remote   bool
	held     Bits
	running  int
	failures int
	// lastResponse is when it last answered; zero if it never has.
	lastResponse time.Time
	// meanFetchTime is how long a chunk from there took, in the mean.
	meanFetchTime time.Duration
}

// anyRank is after the last place in any order of drawers.
const anyRank = math.MaxInt

// fetchTimeSmoothing is the weight of the newest chunk in a neighbour's pace.
const fetchTimeSmoothing = 0.3

// Picker decides which chunk to fetch next. It is not safe for concurrent use.
type Picker struct {
	manifest *Manifest
	self     string
	options  PickerOptions
	// lastProgress is when the last chunk was got. While chunks keep coming, one
	// that is not shown yet is most likely on its way through other boxes.
	lastProgress time.Time
	// waitStart is from when the waits for other drawers count: the start of the copy,
	// or the last draw of this box that failed. If the origin is away it is so for all,
	// and when it returns each chunk is again for its first drawer.
	waitStart time.Time
	// scheduleStart is from when the pace of the draws counts. It stays when a draw fails: counted
	// anew, a late chunk waited for its whole place again, and 204 boxes for that one chunk.
	scheduleStart time.Time

	held          Bits
	missing       int
	running       map[int]time.Time
	originFetches int
	neighbours    map[string]*neighbour
	// sortedNeighbours holds the neighbours by name, so that decisions are repeatable.
	sortedNeighbours []*neighbour
	configuredPeers  []Peer
	originFetchers   []Peer
	ranks            []int
	// regionRanks orders the boxes of the own region; remoteChunks holds the chunks
	// to be asked of a box of another region.
	regionRanks  []int
	remoteChunks map[string][]int
	// hedgedChunks holds the chunks of which this box is the second drawer, by the first.
	hedgedChunks map[string][]int
	// firstFetchers is the first drawer of each of these chunks.
	firstFetchers map[int]string
	// scores are this box's own for each chunk.
	scores    []uint64
	lastRetry map[int]time.Time
	// restrictedUntil is until when only chunks are fetched that others wait for.
	restrictedUntil time.Time
}

// NewPicker returns a picker for a copy that starts now. Held chunks are not
// fetched.
func NewPicker(manifest *Manifest, self string, held Bits, options PickerOptions, now time.Time) *Picker {
	p := &Picker{
		manifest: manifest, self: self, options: options, lastProgress: now, waitStart: now, scheduleStart: now,
		held:       NewBits(len(manifest.Chunks)),
		missing:    len(manifest.Chunks),
		running:    make(map[int]time.Time),
		neighbours: make(map[string]*neighbour),
		lastRetry:  make(map[int]time.Time),
	}
	seed := rankSeed(manifest.Model, manifest.Version, self)
	p.scores = make([]uint64, len(manifest.Chunks))
	for i := range manifest.Chunks {
		p.scores[i] = rankScore(seed, i)
		if held.Has(i) {
			p.held.Set(i)
			p.missing--
		}
	}
	p.SetOriginFetchers([]Peer{{Box: self}})
	return p
}

// RestrictUntil lets the box fetch only those chunks until a time that it draws from
// the origin or is the first of its region to bring, so that other boxes have
// theirs whole earlier.
func (p *Picker) RestrictUntil(until time.Time) { p.restrictedUntil = until }

// SetTotalWindow changes how many fetches run at once in all.
func (p *Picker) SetTotalWindow(window int) { p.options.TotalWindow = window }

// Peer is another box of the rollout.
type Peer struct {
	Box string
	// Remote is set for a box of another region.
	Remote bool
}

// SetNeighbours replaces the boxes that may be asked. What is known of those
// that stay is kept.
func (p *Picker) SetNeighbours(peers []Peer) {
	p.configuredPeers = slices.Clone(peers)
	p.rebuildNeighbours(p.originFetchers)
}

// rebuildNeighbours makes the neighbours those that were set, the far drawers, and the first drawers
// of chunks that this box is the second to draw.
func (p *Picker) rebuildNeighbours(drawers []Peer) {
	p.originFetchers = drawers
	before := p.neighbours
	p.neighbours = make(map[string]*neighbour, len(p.configuredPeers)+len(p.remoteChunks))
	p.sortedNeighbours = p.sortedNeighbours[:0]
	add := func(peer Peer) {
		if peer.Box == p.self || p.neighbours[peer.Box] != nil {
			return
		}
		n := before[peer.Box]
		if n == nil {
			n = &neighbour{box: peer.Box}
		}
		n.remote = peer.Remote
		p.neighbours[peer.Box] = n
		p.sortedNeighbours = append(p.sortedNeighbours, n)
	}
	for _, peer := range p.configuredPeers {
		add(peer)
	}
	for box := range p.remoteChunks {
		add(Peer{Box: box, Remote: true})
	}
	for _, drawer := range drawers {
		if p.hedgedChunks[drawer.Box] != nil {
			add(drawer)
		}
	}
	slices.SortFunc(p.sortedNeighbours, func(a, b *neighbour) int { return strings.Compare(a.box, b.box) })
}

// BoxesToPoll returns the boxes whose holdings matter now: the neighbours that were set,
// and the far drawers of chunks that are still missing.
func (p *Picker) BoxesToPoll() []string {
	var boxes []string
	for _, peer := range p.configuredPeers {
		if peer.Box != p.self {
			boxes = append(boxes, peer.Box)
		}
	}
	for _, drawers := range []map[string][]int{p.remoteChunks, p.hedgedChunks} {
		for box, chunks := range drawers {
			missing := slices.ContainsFunc(chunks, func(chunk int) bool { return !p.held.Has(chunk) })
			if missing && !slices.Contains(boxes, box) {
				boxes = append(boxes, box)
			}
		}
	}
	slices.Sort(boxes)
	return boxes
}

// SetHoldings notes what a neighbour holds.
func (p *Picker) SetHoldings(box string, held Bits) {
	if n, ok := p.neighbours[box]; ok {
		n.held = held
	}
}

// Missing returns how many chunks are not yet held.
func (p *Picker) Missing() int { return p.missing }

// Next returns the next fetch; ok is false if nothing can be started now. The
// task counts as running until Done or Failed.
func (p *Picker) Next(now time.Time) (task FetchTask, ok bool) {
	if p.options.TotalWindow > 0 && len(p.running) >= p.options.TotalWindow {
		return FetchTask{}, false
	}
	// What this box is the first to draw goes before all else: others wait for it.
	if task, ok = p.fromOrigin(now, 0); !ok {
		if task, ok = p.fromNeighbour(now); !ok {
			task, ok = p.fromOrigin(now, anyRank)
		}
	}
	if !ok {
		return FetchTask{}, false
	}
	p.running[task.Chunk] = now
	if task.FromOrigin() {
		p.originFetches++
	} else {
		p.neighbours[task.From].running++
	}
	return task, true
}

// fromNeighbour takes the chunk that the fewest neighbours hold, from the
// least busy of them. Ties go by a hash of box and chunk, so that boxes that
// start together do not all fetch the same chunk.
func (p *Picker) fromNeighbour(now time.Time) (FetchTask, bool) {
	best, bestCount, bestTie := FetchTask{Chunk: -1}, 0, uint64(0)
	for chunk := range p.manifest.Chunks {
		if p.held.Has(chunk) || p.isRunning(chunk) || p.regionRanks[chunk] > 0 && now.Before(p.restrictedUntil) {
			continue
		}
		from, count := p.holder(chunk, now)
		if from == "" {
			continue
		}
		tie := p.scores[chunk]
		if best.Chunk < 0 || count < bestCount || count == bestCount && tie > bestTie {
			best, bestCount, bestTie = FetchTask{Chunk: chunk, From: from}, count, tie
		}
	}
	return best, best.Chunk >= 0
}

// holder returns the least busy usable neighbour with the chunk, and how many
// neighbours hold it. A far one is asked only in this box's turn, so that about
// one copy crosses to each region.
func (p *Picker) holder(chunk int, now time.Time) (string, int) {
	from, least, count := "", time.Duration(0), 0
	mayCross := !now.Before(p.due(p.regionRanks[chunk], p.options.MaxRemoteWait))
	for _, n := range p.sortedNeighbours {
		if !n.held.Has(chunk) {
			continue
		}
		count++
		usable := n.running < p.options.NeighbourWindow && n.failures < p.options.MaxFailures && (mayCross || !n.remote)
		// What runs there already counts by how long chunks from there take.
		if load := time.Duration(n.running+1) * (n.meanFetchTime + 1); usable && (from == "" || load < least) {
			from, least = n.box, load
		}
	}
	return from, count
}

func (p *Picker) isRunning(chunk int) bool {
	_, running := p.running[chunk]
	return running
}

// isAvailable reports whether a usable neighbour holds the chunk, busy or not.
func (p *Picker) isAvailable(chunk int) bool {
	for _, n := range p.sortedNeighbours {
		if n.failures < p.options.MaxFailures && n.held.Has(chunk) {
			return true
		}
	}
	return false
}

// Done notes that the chunk was fetched, verified and kept.
func (p *Picker) Done(task FetchTask, now time.Time) {
	taken := now.Sub(p.running[task.Chunk])
	p.finish(task)
	p.lastProgress = now
	if n, ok := p.neighbours[task.From]; ok {
		n.failures = 0
		if n.meanFetchTime == 0 {
			n.meanFetchTime = taken
		}
		n.meanFetchTime += time.Duration(fetchTimeSmoothing * float64(taken-n.meanFetchTime))
	}
	if !p.held.Has(task.Chunk) {
		p.held.Set(task.Chunk)
		p.missing--
	}
}

// Failed notes that the fetch gave nothing. A neighbour gets a strike; a draw is
// not tried again before retry.
func (p *Picker) Failed(task FetchTask, retry time.Time) {
	p.finish(task)
	if task.FromOrigin() {
		p.lastRetry[task.Chunk], p.waitStart = retry, retry
		return
	}
	if n, ok := p.neighbours[task.From]; ok {
		n.failures++
	}
}

func (p *Picker) finish(task FetchTask) {
	delete(p.running, task.Chunk)
	if task.FromOrigin() {
		p.originFetches--
	} else if n, ok := p.neighbours[task.From]; ok {
		n.running--
	}
}

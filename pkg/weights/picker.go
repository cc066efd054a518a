package weights

import (
	"math"
	"slices"
	"strings"
	"time"
)

// PickerOptions configures the download of one version. Windows are numbers of concurrent fetches.
type PickerOptions struct {
	// NeighbourWindow limits the concurrent fetches from one neighbour.
	NeighbourWindow int
	// OriginWindow limits the concurrent fetches from the origin.
	OriginWindow int
	// OriginInterval is the time between the scheduled origin fetches of consecutive chunks. 0 schedules all
	// chunks at once; they then share the origin's link, and all of them complete late.
	OriginInterval time.Duration
	// OriginBurst is the number of chunks by which the schedule runs ahead of OriginInterval. It keeps the
	// origin's link busy while boxes discover a new version and start downloading at different times.
	OriginBurst int
	// OriginHedgeDelay is the time after the end of the schedule at which a second fetcher also fetches a
	// chunk from the origin, unless the first fetcher, which it polls, holds the chunk by then. An earlier
	// hedge would displace a chunk that has not left the origin yet. 0 disables hedging; RankDelay and
	// MaxOriginWait still apply.
	OriginHedgeDelay time.Duration
	// SilenceTimeout is the time after its last response at which a first fetcher counts as stopped or
	// disconnected. The second fetcher then fetches its chunks instead.
	SilenceTimeout time.Duration
	// TotalWindow limits all concurrent fetches; 0 for no limit. A small window leaves room for requests on
	// the box's link.
	TotalWindow int
	// RankDelay is how long each rank waits for the rank before it, counted from the last chunk that this
	// box received.
	RankDelay time.Duration
	// MaxOriginWait bounds the wait for earlier ranks while other chunks keep arriving, because a first
	// fetcher can be on a link that has become slow. It counts from the start of the download, the last
	// failed origin fetch or the chunk's scheduled time, whichever is latest; each rank adds one RankDelay.
	// 0 sets no bound.
	MaxOriginWait time.Duration
	// ProbeInterval is the shortest time between two fetches that try whether the origin is available again.
	ProbeInterval time.Duration
	// MaxRemoteWait is the same bound for chunks that another box of the region fetches from another region.
	MaxRemoteWait time.Duration
	// MaxFailures is the number of consecutive failures after which a neighbour is no longer used.
	MaxFailures int
}

// DefaultPickerOptions returns options for links that can transfer about two copies of the weights in the
// available time.
func DefaultPickerOptions() PickerOptions {
	return PickerOptions{NeighbourWindow: 2, OriginWindow: 4, RankDelay: 2 * time.Second, MaxFailures: 3}
}

// FetchTask is the fetch of one chunk. From is the box to fetch from, or empty for the origin.
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
	// lastResponse is when the box last responded; zero if it never has.
	lastResponse time.Time
	// meanFetchTime is the moving average of the time to fetch a chunk from the box.
	meanFetchTime time.Duration
}

// anyRank is a rank limit that admits every rank.
const anyRank = math.MaxInt

// fetchTimeSmoothing is the weight of the newest fetch in a neighbour's mean fetch time.
const fetchTimeSmoothing = 0.3

// Picker decides which chunk to fetch next and from where. It is not safe for concurrent use.
type Picker struct {
	manifest *Manifest
	self     string
	options  PickerOptions
	// lastProgress is when the last chunk was received. While chunks keep arriving, a chunk that no neighbour
	// holds yet is most likely in transit through other boxes.
	lastProgress time.Time
	// waitStart is the time from which waits for earlier ranks count: the start of the download, or the retry
	// time after the last failed origin fetch. An outage of the origin affects all boxes, so after it the first
	// fetcher of each chunk is again the first to fetch it.
	waitStart time.Time
	// scheduleStart is when the schedule of origin fetches starts. A failed fetch does not reset it: after a
	// reset, a late chunk waited for its full offset again, and 204 boxes waited for that one chunk.
	scheduleStart time.Time
	// positions holds the position of each chunk in the schedule, or is nil if it is the chunk's index. scheduled
	// is the number of positions.
	positions []int
	scheduled int
	// timeAhead is how long the chunks of versions that come first occupy the origin's link.
	timeAhead time.Duration
	// deferred is set while the links are left to another version.
	deferred bool
	// unavailableSince is when the origin was found unavailable; zero while it is available. nextProbe is when it is
	// tried again.
	unavailableSince time.Time
	nextProbe        time.Time

	held          Bits
	missing       int
	running       map[int]time.Time
	originFetches int
	neighbours    map[string]*neighbour
	// sortedNeighbours holds the neighbours sorted by box name, which makes decisions deterministic.
	sortedNeighbours []*neighbour
	configuredPeers  []Peer
	originFetchers   []Peer
	// ranks holds the rank of this box for each chunk among all boxes.
	ranks []int
	// regionRanks holds the rank of this box for each chunk among the boxes of its region.
	regionRanks []int
	// remoteChunks maps each box in another region to the chunks to fetch from it.
	remoteChunks map[string][]int
	// hedgedChunks maps each first fetcher to those of its chunks for which this box is the second fetcher.
	hedgedChunks map[string][]int
	// firstFetchers holds the first fetcher of each chunk in hedgedChunks.
	firstFetchers map[int]string
	// scores holds the rendezvous score of this box for each chunk.
	scores []uint64
	// lastShortage is the number of missing chunks at the last call of UpdateShortage, appearedAt when it last fell.
	lastShortage int
	appearedAt   time.Time
	// nextRetry holds, for a chunk whose origin fetch failed, the earliest time of the next attempt.
	nextRetry map[int]time.Time
	// restrictedUntil is the time until which the box fetches from neighbours only the chunks for which its
	// region rank is 0, because other boxes wait for these.
	restrictedUntil time.Time
}

// NewPicker returns a picker for a download that starts now. Chunks in held are not fetched. Until
// SetOriginFetchers is called, the picker fetches every chunk from the origin.
func NewPicker(manifest *Manifest, self string, held Bits, options PickerOptions, now time.Time) *Picker {
	p := &Picker{
		manifest: manifest, self: self, options: options, lastProgress: now, waitStart: now, scheduleStart: now,
		scheduled:  len(manifest.Chunks),
		held:       NewBits(len(manifest.Chunks)),
		missing:    len(manifest.Chunks),
		running:    make(map[int]time.Time),
		neighbours: make(map[string]*neighbour),
		nextRetry:  make(map[int]time.Time),
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

// RestrictUntil limits fetches from neighbours, until the given time, to the chunks for which this box is the
// first in its region, so other boxes complete their downloads earlier.
func (p *Picker) RestrictUntil(until time.Time) { p.restrictedUntil = until }

// SetTotalWindow changes the limit of all concurrent fetches.
func (p *Picker) SetTotalWindow(window int) { p.options.TotalWindow = window }

// Peer is a box that downloads the version.
type Peer struct {
	Box string
	// Remote is set for a box of another region.
	Remote bool
}

// SetNeighbours replaces the boxes to fetch chunks from. State of neighbours that remain is kept.
func (p *Picker) SetNeighbours(peers []Peer) {
	p.configuredPeers = slices.Clone(peers)
	p.rebuildNeighbours(p.originFetchers)
}

// rebuildNeighbours sets the neighbours to the configured peers, the first fetchers in other regions, and the
// first fetchers of chunks for which this box is the second.
func (p *Picker) rebuildNeighbours(fetchers []Peer) {
	p.originFetchers = fetchers
	previous := p.neighbours
	p.neighbours = make(map[string]*neighbour, len(p.configuredPeers)+len(p.remoteChunks))
	p.sortedNeighbours = p.sortedNeighbours[:0]
	add := func(peer Peer) {
		if peer.Box == p.self || p.neighbours[peer.Box] != nil {
			return
		}
		n := previous[peer.Box]
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
	for _, fetcher := range fetchers {
		if p.hedgedChunks[fetcher.Box] != nil {
			add(fetcher)
		}
	}
	slices.SortFunc(p.sortedNeighbours, func(a, b *neighbour) int { return strings.Compare(a.box, b.box) })
}

// BoxesToPoll returns the boxes whose holdings are needed now, sorted: the configured peers, and the first
// fetchers in remoteChunks and hedgedChunks with chunks that are still missing here.
func (p *Picker) BoxesToPoll() []string {
	var boxes []string
	for _, peer := range p.configuredPeers {
		if peer.Box != p.self {
			boxes = append(boxes, peer.Box)
		}
	}
	for _, chunksByBox := range []map[string][]int{p.remoteChunks, p.hedgedChunks} {
		for box, chunks := range chunksByBox {
			missing := slices.ContainsFunc(chunks, func(chunk int) bool { return !p.held.Has(chunk) })
			if missing && !slices.Contains(boxes, box) {
				boxes = append(boxes, box)
			}
		}
	}
	slices.Sort(boxes)
	return boxes
}

// SetHoldings records which chunks a neighbour holds.
func (p *Picker) SetHoldings(box string, held Bits) {
	if n, ok := p.neighbours[box]; ok {
		n.held = held
	}
}

// Missing returns the number of chunks that are not held yet.
func (p *Picker) Missing() int { return p.missing }

// Next returns the next fetch; ok is false if none can start now. The task counts as running until Done or
// Failed is called.
func (p *Picker) Next(now time.Time) (task FetchTask, ok bool) {
	if p.options.TotalWindow > 0 && len(p.running) >= p.options.TotalWindow || p.deferred && len(p.running) > 0 {
		return FetchTask{}, false
	}
	// Chunks for which this box is the first fetcher come before all others, because other boxes wait for them.
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

// fromNeighbour returns a fetch of the chunk that the fewest neighbours hold, from the least loaded of them.
// A hash of box and chunk breaks ties, so boxes that start together do not all fetch the same chunk.
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

// holder returns the least loaded usable neighbour that holds the chunk, and the number of neighbours that
// hold it. A neighbour in another region is used only when this box's rank in its region is due, so about one
// copy of the weights crosses to each region.
func (p *Picker) holder(chunk int, now time.Time) (string, int) {
	from, minLoad, count := "", time.Duration(0), 0
	remoteAllowed := !now.Before(p.due(p.regionRanks[chunk], p.options.MaxRemoteWait))
	for _, n := range p.sortedNeighbours {
		if !n.held.Has(chunk) {
			continue
		}
		count++
		usable := n.running < p.options.NeighbourWindow && n.failures < p.options.MaxFailures && (remoteAllowed || !n.remote)
		// Load is the expected time until the neighbour has finished its running fetches and this one.
		if load := time.Duration(n.running+1) * (n.meanFetchTime + 1); usable && (from == "" || load < minLoad) {
			from, minLoad = n.box, load
		}
	}
	return from, count
}

func (p *Picker) isRunning(chunk int) bool {
	_, running := p.running[chunk]
	return running
}

// isAvailable reports whether a usable neighbour holds the chunk, even if its window is full.
func (p *Picker) isAvailable(chunk int) bool {
	for _, n := range p.sortedNeighbours {
		if n.failures < p.options.MaxFailures && n.held.Has(chunk) {
			return true
		}
	}
	return false
}

// Done records that the chunk was fetched, verified and stored.
func (p *Picker) Done(task FetchTask, now time.Time) {
	elapsed := now.Sub(p.running[task.Chunk])
	p.finish(task)
	p.lastProgress = now
	if n, ok := p.neighbours[task.From]; ok {
		n.failures = 0
		if n.meanFetchTime == 0 {
			n.meanFetchTime = elapsed
		}
		n.meanFetchTime += time.Duration(fetchTimeSmoothing * float64(elapsed-n.meanFetchTime))
	}
	if !p.held.Has(task.Chunk) {
		p.held.Set(task.Chunk)
		p.missing--
	}
}

// Failed records a failed fetch. It counts against a neighbour; an origin fetch of the chunk is not retried
// before retryAt.
func (p *Picker) Failed(task FetchTask, retryAt time.Time) {
	p.finish(task)
	if task.FromOrigin() {
		p.nextRetry[task.Chunk], p.waitStart = retryAt, retryAt
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

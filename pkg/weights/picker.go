package weights

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PickerOptions sets how a copy is fetched.
type PickerOptions struct {
	// Window is how many fetches run at once from one neighbour.
	Window int
	// DrawWindow is how many run at once from the origin.
	DrawWindow int
	// DrawPace is how long after the one before it each chunk is drawn by its first
	// drawer. If all are drawn at once, they share the origin's link and all come at
	// the same late moment. 0 draws at once.
	DrawPace time.Duration
	// DrawAhead is how many chunks are drawn before their pace, so that the origin's link is
	// not idle while the boxes hear of a version, and begin, one after the other.
	DrawAhead int
	// DrawHedge is after how long from the last chunk's turn chunks are drawn by their second
	// drawers too, if the first, whom these ask, do not show them. Before, each would take the
	// place of a chunk that has not left the origin yet. 0 leaves it at the waits below.
	DrawHedge time.Duration
	// Silence is after how long a first drawer that was heard counts as killed or cut off: its
	// chunks are drawn by the second in its place.
	Silence time.Duration
	// TotalWindow is how many run at once in all; 0 for no such bound. A small one
	// keeps the box's link free for requests.
	TotalWindow int
	// DrawWait is how long each place in the order of drawers waits for the
	// one before it, counted from the last chunk that this box got.
	DrawWait time.Duration
	// Patience is after how long the waits of DrawWait are counted from the start of
	// the copy or the last draw that failed, even while other chunks come: a first drawer may be on a link
	// that has become slow. 0 leaves it at DrawWait.
	Patience time.Duration
	// FarPatience is the same for chunks that another box of the region is to bring
	// over a long link.
	FarPatience time.Duration
	// Strikes is after how many faults a neighbour is no longer asked.
	Strikes int
}

// PacedAfter is after how long from its beginning the turn of a chunk comes at the pace of
// the origin's link.
func (o *PickerOptions) PacedAfter(chunk int) time.Duration {
	return time.Duration(max(0, chunk-o.DrawAhead)) * o.DrawPace
}

// DefaultPickerOptions suits links of about two copies in the time allowed.
func DefaultPickerOptions() PickerOptions {
	return PickerOptions{Window: 2, DrawWindow: 4, DrawWait: 2 * time.Second, Strikes: 3}
}

// Task is one fetch. From is empty for the origin.
type Task struct {
	Chunk int
	From  string
}

// IsDraw reports whether the task fetches from the origin.
func (t Task) IsDraw() bool { return t.From == "" }

type neighbour struct {
	box     string
	far     bool
	held    Bits
	running int
	strikes int
	// heard is when it last answered; zero if it never has.
	heard time.Time
	// pace is how long a chunk from there took, in the mean.
	pace time.Duration
}

// anyRank is after the last place in any order of drawers.
const anyRank = math.MaxInt

// paceSmoothing is the weight of the newest chunk in a neighbour's pace.
const paceSmoothing = 0.3

// Picker decides which chunk to fetch next. It is not safe for concurrent use.
type Picker struct {
	manifest *Manifest
	self     string
	options  PickerOptions
	// progress is when the last chunk was got. While chunks keep coming, one
	// that is not shown yet is most likely on its way through other boxes.
	progress time.Time
	// drawsFrom is from when the waits for other drawers count: the start of the copy,
	// or the last draw of this box that failed. If the origin is away it is so for all,
	// and when it returns each chunk is again for its first drawer.
	drawsFrom time.Time
	// pacedFrom is from when the pace of the draws counts. It stays when a draw fails: counted
	// anew, a late chunk waited for its whole place again, and 204 boxes for that one chunk.
	pacedFrom time.Time

	held       Bits
	missing    int
	running    map[int]time.Time
	draws      int
	neighbours map[string]*neighbour
	// order holds the neighbours by name, so that decisions are repeatable.
	order    []*neighbour
	declared []Peer
	drawers  []Peer
	ranks    []int
	// nearRanks orders the boxes of the own region; farDrawers holds the chunks
	// to be asked of a box of another region.
	nearRanks  []int
	farDrawers map[string][]int
	// firstDrawers holds the chunks of which this box is the second drawer, by the first.
	firstDrawers map[string][]int
	// firstOf is the first drawer of each of these chunks.
	firstOf map[int]string
	// scores are this box's own for each chunk.
	scores    []uint64
	lastRetry map[int]time.Time
	// heldBack is until when only chunks are fetched that others wait for.
	heldBack time.Time
}

// NewPicker returns a picker for a copy that starts now. Held chunks are not
// fetched.
func NewPicker(manifest *Manifest, self string, held Bits, options PickerOptions, now time.Time) *Picker {
	p := &Picker{
		manifest: manifest, self: self, options: options, progress: now, drawsFrom: now, pacedFrom: now,
		held:       NewBits(len(manifest.Chunks)),
		missing:    len(manifest.Chunks),
		running:    make(map[int]time.Time),
		neighbours: make(map[string]*neighbour),
		lastRetry:  make(map[int]time.Time),
	}
	seed := drawSeed(manifest.Model, manifest.Version, self)
	p.scores = make([]uint64, len(manifest.Chunks))
	for i := range manifest.Chunks {
		p.scores[i] = drawScore(seed, i)
		if held.Has(i) {
			p.held.Set(i)
			p.missing--
		}
	}
	p.SetDrawers([]Peer{{Box: self}})
	return p
}

// HoldBack lets the box fetch only those chunks until a time that it draws from
// the origin or is the first of its region to bring, so that other boxes have
// theirs whole earlier.
func (p *Picker) HoldBack(until time.Time) { p.heldBack = until }

// PaceFrom lets the pace of the draws count from a moment that is the same for all boxes,
// and not from when this one began.
func (p *Picker) PaceFrom(at time.Time) { p.pacedFrom = at }

// paced is when the turn of a chunk comes at the pace of the origin's link.
func (p *Picker) paced(chunk int) time.Time { return p.pacedFrom.Add(p.options.PacedAfter(chunk)) }

// SetTotalWindow changes how many fetches run at once in all.
func (p *Picker) SetTotalWindow(window int) { p.options.TotalWindow = window }

// Peer is another box of the rollout.
type Peer struct {
	Box string
	// Far is set for a box of another region.
	Far bool
}

// SetDrawers names all boxes that want the version. For each chunk rendezvous
// hashing puts them in an order; the first draws it from the origin, and each
// later one only if it got no chunk at all for its part of the wait. The boxes of
// a region have such an order of their own, by which they bring a chunk over long
// links: the first of them asks the first drawer for it.
func (p *Picker) SetDrawers(drawers []Peer) {
	p.ranks = make([]int, len(p.manifest.Chunks))
	p.nearRanks = make([]int, len(p.manifest.Chunks))
	first := make([]int, len(p.manifest.Chunks))
	best := slices.Clone(p.scores)
	for i, drawer := range drawers {
		if drawer.Box == p.self {
			continue
		}
		seed := drawSeed(p.manifest.Model, p.manifest.Version, drawer.Box)
		for chunk, own := range p.scores {
			score := drawScore(seed, chunk)
			if score <= own {
				continue
			}
			p.ranks[chunk]++
			if !drawer.Far {
				p.nearRanks[chunk]++
			}
			if score > best[chunk] {
				best[chunk], first[chunk] = score, i
			}
		}
	}
	p.setFarDrawers(drawers, first)
}

// setFarDrawers notes whom this box asks for the chunks that it is first of its
// region to bring.
func (p *Picker) setFarDrawers(drawers []Peer, first []int) {
	p.farDrawers, p.firstDrawers, p.firstOf = make(map[string][]int), make(map[string][]int), make(map[int]string)
	for chunk, rank := range p.ranks {
		if rank == 0 || p.held.Has(chunk) {
			continue
		}
		drawer := drawers[first[chunk]]
		if p.nearRanks[chunk] == 0 {
			p.farDrawers[drawer.Box] = append(p.farDrawers[drawer.Box], chunk)
		}
		if rank == 1 && p.options.DrawHedge > 0 {
			p.firstDrawers[drawer.Box] = append(p.firstDrawers[drawer.Box], chunk)
			p.firstOf[chunk] = drawer.Box
		}
	}
	p.arrange(drawers)
}

// drawSeed stands for a box in the order of drawers of one version. It does not depend on the
// manifest, so that what a box is the first to draw is known before that has come.
func drawSeed(model, version, box string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{model, version, box} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// FirstDrawn returns the chunks of a version that a box is the first to draw, as SetDrawers
// has it, for those that begin before the manifest has come.
func FirstDrawn(model, version, self string, drawers []Peer, chunks int) []int {
	own := drawSeed(model, version, self)
	seeds := make([]uint64, 0, len(drawers))
	for _, drawer := range drawers {
		if drawer.Box != self {
			seeds = append(seeds, drawSeed(model, version, drawer.Box))
		}
	}
	var first []int
	for chunk := range chunks {
		score := drawScore(own, chunk)
		if !slices.ContainsFunc(seeds, func(seed uint64) bool { return drawScore(seed, chunk) > score }) {
			first = append(first, chunk)
		}
	}
	return first
}

// drawScore is a box's weight for one chunk. It is the finishing step of
// SplitMix64 (Steele, Lea and Flood, 2014), because hashing anew for each of
// thousands of chunks and boxes took a fifth of a second.
func drawScore(seed uint64, chunk int) uint64 {
	z := seed + uint64(chunk+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// SetNeighbours replaces the boxes that may be asked. What is known of those
// that stay is kept.
func (p *Picker) SetNeighbours(peers []Peer) {
	p.declared = slices.Clone(peers)
	p.arrange(p.drawers)
}

// arrange makes the neighbours those that were set, the far drawers, and the first drawers
// of chunks that this box is the second to draw.
func (p *Picker) arrange(drawers []Peer) {
	p.drawers = drawers
	before := p.neighbours
	p.neighbours = make(map[string]*neighbour, len(p.declared)+len(p.farDrawers))
	p.order = p.order[:0]
	add := func(peer Peer) {
		if peer.Box == p.self || p.neighbours[peer.Box] != nil {
			return
		}
		n := before[peer.Box]
		if n == nil {
			n = &neighbour{box: peer.Box}
		}
		n.far = peer.Far
		p.neighbours[peer.Box] = n
		p.order = append(p.order, n)
	}
	for _, peer := range p.declared {
		add(peer)
	}
	for box := range p.farDrawers {
		add(Peer{Box: box, Far: true})
	}
	for _, drawer := range drawers {
		if p.firstDrawers[drawer.Box] != nil {
			add(drawer)
		}
	}
	slices.SortFunc(p.order, func(a, b *neighbour) int { return strings.Compare(a.box, b.box) })
}

// Ask returns the boxes whose holdings matter now: the neighbours that were set,
// and the far drawers of chunks that are still missing.
func (p *Picker) Ask() []string {
	var boxes []string
	for _, peer := range p.declared {
		if peer.Box != p.self {
			boxes = append(boxes, peer.Box)
		}
	}
	for _, drawers := range []map[string][]int{p.farDrawers, p.firstDrawers} {
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

// Heard notes that a neighbour has answered.
func (p *Picker) Heard(box string, now time.Time) {
	if n, ok := p.neighbours[box]; ok {
		n.heard = now
	}
}

// Missing returns how many chunks are not yet held.
func (p *Picker) Missing() int { return p.missing }

// Next returns the next fetch; ok is false if nothing can be started now. The
// task counts as running until Done or Failed.
func (p *Picker) Next(now time.Time) (task Task, ok bool) {
	if p.options.TotalWindow > 0 && len(p.running) >= p.options.TotalWindow {
		return Task{}, false
	}
	// What this box is the first to draw goes before all else: others wait for it.
	if task, ok = p.fromOrigin(now, 0); !ok {
		if task, ok = p.fromNeighbour(now); !ok {
			task, ok = p.fromOrigin(now, anyRank)
		}
	}
	if !ok {
		return Task{}, false
	}
	p.running[task.Chunk] = now
	if task.IsDraw() {
		p.draws++
	} else {
		p.neighbours[task.From].running++
	}
	return task, true
}

// Begin notes a draw that was begun before the manifest had come.
func (p *Picker) Begin(chunk int, at time.Time) {
	p.running[chunk] = at
	p.draws++
}

// fromNeighbour takes the chunk that the fewest neighbours hold, from the
// least busy of them. Ties go by a hash of box and chunk, so that boxes that
// start together do not all fetch the same chunk.
func (p *Picker) fromNeighbour(now time.Time) (Task, bool) {
	best, bestCount, bestTie := Task{Chunk: -1}, 0, uint64(0)
	for chunk := range p.manifest.Chunks {
		if p.held.Has(chunk) || p.isRunning(chunk) || p.nearRanks[chunk] > 0 && now.Before(p.heldBack) {
			continue
		}
		from, count := p.holder(chunk, now)
		if from == "" {
			continue
		}
		tie := p.scores[chunk]
		if best.Chunk < 0 || count < bestCount || count == bestCount && tie > bestTie {
			best, bestCount, bestTie = Task{Chunk: chunk, From: from}, count, tie
		}
	}
	return best, best.Chunk >= 0
}

// holder returns the least busy usable neighbour with the chunk, and how many
// neighbours hold it. A far one is asked only in this box's turn, so that about
// one copy crosses to each region.
func (p *Picker) holder(chunk int, now time.Time) (string, int) {
	from, least, count := "", time.Duration(0), 0
	mayCross := !now.Before(p.due(p.nearRanks[chunk], p.options.FarPatience))
	for _, n := range p.order {
		if !n.held.Has(chunk) {
			continue
		}
		count++
		usable := n.running < p.options.Window && n.strikes < p.options.Strikes && (mayCross || !n.far)
		// What runs there already counts by how long chunks from there take.
		if load := time.Duration(n.running+1) * (n.pace + 1); usable && (from == "" || load < least) {
			from, least = n.box, load
		}
	}
	return from, count
}

// fromOrigin takes a chunk of a place in the order of drawers up to lastRank that
// no neighbour shows and for which the boxes that come first have had their time.
func (p *Picker) fromOrigin(now time.Time, lastRank int) (Task, bool) {
	if p.draws >= p.options.DrawWindow {
		return Task{}, false
	}
	best, bestRank := -1, 0
	for chunk := range p.manifest.Chunks {
		if p.held.Has(chunk) || p.isRunning(chunk) || p.isShown(chunk) && !p.isStuck(chunk, now) {
			continue
		}
		if p.ranks[chunk] > lastRank || now.Before(p.lastRetry[chunk]) || now.Before(p.drawDue(chunk, now)) {
			continue
		}
		if best < 0 || p.ranks[chunk] < bestRank {
			best, bestRank = chunk, p.ranks[chunk]
		}
	}
	return Task{Chunk: best}, best >= 0
}

// drawDue is when this box draws a chunk from the origin. The waits for those who come first
// count from the chunk's turn at the pace of the origin's link: counted from the start of the
// copy, one chunk in five was drawn twice, and the others came later by as much.
func (p *Picker) drawDue(chunk int, now time.Time) time.Time {
	paced, rank := p.paced(chunk), p.ranks[chunk]
	if rank == 0 {
		return later(paced, p.due(rank, 0))
	}
	due := p.dueFrom(rank, p.options.Patience, later(p.drawsFrom, paced))
	if rank == 1 && p.options.DrawHedge > 0 {
		if hedge := p.hedgeDue(chunk, now); hedge.Before(due) {
			due = hedge
		}
	}
	return later(paced, due)
}

// hedgeDue is when this box draws a chunk of which it is the second drawer.
func (p *Picker) hedgeDue(chunk int, now time.Time) time.Time {
	first := p.neighbours[p.firstOf[chunk]]
	if first != nil && !first.heard.IsZero() && now.Sub(first.heard) > p.options.Silence {
		return later(p.drawsFrom, p.paced(chunk))
	}
	return later(p.drawsFrom, p.paced(len(p.manifest.Chunks))).Add(p.options.DrawHedge)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// due is when a box of a rank takes its turn. The first does at once; the second
// waits twice, because a copy that has just begun needs about one wait until its
// first chunks have come round.
func (p *Picker) due(rank int, patience time.Duration) time.Time {
	if rank == 0 {
		return p.progress
	}
	return p.dueFrom(rank, patience, p.drawsFrom)
}

// dueFrom is due for a rank after the first, with the patience counted from a moment.
func (p *Picker) dueFrom(rank int, patience time.Duration, from time.Time) time.Time {
	due := later(p.progress, p.drawsFrom).Add(time.Duration(rank+1) * p.options.DrawWait)
	if patience > 0 {
		if latest := from.Add(patience + time.Duration(rank)*p.options.DrawWait); latest.Before(due) {
			return latest
		}
	}
	return due
}

// isStuck reports whether a chunk that is shown has been waited for so long that
// the box draws it itself.
func (p *Picker) isStuck(chunk int, now time.Time) bool {
	if p.options.Patience == 0 {
		return false
	}
	wait := 2*p.options.Patience + time.Duration(p.ranks[chunk])*p.options.DrawWait
	return now.Sub(later(p.drawsFrom, p.paced(chunk))) >= wait
}

func (p *Picker) isRunning(chunk int) bool {
	_, running := p.running[chunk]
	return running
}

// isShown reports whether a usable neighbour holds the chunk, busy or not.
func (p *Picker) isShown(chunk int) bool {
	for _, n := range p.order {
		if n.strikes < p.options.Strikes && n.held.Has(chunk) {
			return true
		}
	}
	return false
}

// Done notes that the chunk was fetched, verified and kept.
func (p *Picker) Done(task Task, now time.Time) {
	taken := now.Sub(p.running[task.Chunk])
	p.finish(task)
	p.progress = now
	if n, ok := p.neighbours[task.From]; ok {
		n.strikes = 0
		if n.pace == 0 {
			n.pace = taken
		}
		n.pace += time.Duration(paceSmoothing * float64(taken-n.pace))
	}
	if !p.held.Has(task.Chunk) {
		p.held.Set(task.Chunk)
		p.missing--
	}
}

// Failed notes that the fetch gave nothing. A neighbour gets a strike; a draw is
// not tried again before retry.
func (p *Picker) Failed(task Task, retry time.Time) {
	p.finish(task)
	if task.IsDraw() {
		p.lastRetry[task.Chunk], p.drawsFrom = retry, retry
		return
	}
	if n, ok := p.neighbours[task.From]; ok {
		n.strikes++
	}
}

func (p *Picker) finish(task Task) {
	delete(p.running, task.Chunk)
	if task.IsDraw() {
		p.draws--
	} else if n, ok := p.neighbours[task.From]; ok {
		n.running--
	}
}

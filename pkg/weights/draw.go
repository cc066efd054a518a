package weights

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PacedAfter is after how long from its beginning the turn of a chunk comes at the pace of
// the origin's link.
func (o *PickerOptions) PacedAfter(chunk int) time.Duration {
	return time.Duration(max(0, chunk-o.DrawAhead)) * o.DrawPace
}

// PaceFrom lets the pace of the draws count from a moment that is the same for all boxes,
// and not from when this one began.
func (p *Picker) PaceFrom(at time.Time) { p.pacedFrom = at }

// paced is when the turn of a chunk comes at the pace of the origin's link.
func (p *Picker) paced(chunk int) time.Time { return p.pacedFrom.Add(p.options.PacedAfter(chunk)) }

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

// Heard notes that a neighbour has answered.
func (p *Picker) Heard(box string, now time.Time) {
	if n, ok := p.neighbours[box]; ok {
		n.heard = now
	}
}

// Begin notes a draw that was begun before the manifest had come.
func (p *Picker) Begin(chunk int, at time.Time) {
	p.running[chunk] = at
	p.draws++
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

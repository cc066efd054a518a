package weights

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ScheduledOffset is after how long from its beginning the turn of a chunk comes at the pace of
// the origin's link.
func (o *PickerOptions) ScheduledOffset(chunk int) time.Duration {
	return time.Duration(max(0, chunk-o.OriginBurst)) * o.OriginInterval
}

// SetScheduleStart lets the pace of the draws count from a moment that is the same for all boxes,
// and not from when this one began.
func (p *Picker) SetScheduleStart(at time.Time) { p.scheduleStart = at }

// scheduledAt is when the turn of a chunk comes at the pace of the origin's link.
func (p *Picker) scheduledAt(chunk int) time.Time {
	return p.scheduleStart.Add(p.options.ScheduledOffset(chunk))
}

// SetOriginFetchers names all boxes that want the version. For each chunk rendezvous
// hashing puts them in an order; the first draws it from the origin, and each
// later one only if it got no chunk at all for its part of the wait. The boxes of
// a region have such an order of their own, by which they bring a chunk over long
// links: the first of them asks the first drawer for it.
func (p *Picker) SetOriginFetchers(drawers []Peer) {
	p.ranks = make([]int, len(p.manifest.Chunks))
	p.regionRanks = make([]int, len(p.manifest.Chunks))
	first := make([]int, len(p.manifest.Chunks))
	best := slices.Clone(p.scores)
	for i, drawer := range drawers {
		if drawer.Box == p.self {
			continue
		}
		seed := rankSeed(p.manifest.Model, p.manifest.Version, drawer.Box)
		for chunk, own := range p.scores {
			score := rankScore(seed, chunk)
			if score <= own {
				continue
			}
			p.ranks[chunk]++
			if !drawer.Remote {
				p.regionRanks[chunk]++
			}
			if score > best[chunk] {
				best[chunk], first[chunk] = score, i
			}
		}
	}
	p.setRemoteFetchers(drawers, first)
}

// setRemoteFetchers notes whom this box asks for the chunks that it is first of its
// region to bring.
func (p *Picker) setRemoteFetchers(drawers []Peer, first []int) {
	p.remoteChunks, p.hedgedChunks, p.firstFetchers = make(map[string][]int), make(map[string][]int), make(map[int]string)
	for chunk, rank := range p.ranks {
		if rank == 0 || p.held.Has(chunk) {
			continue
		}
		drawer := drawers[first[chunk]]
		if p.regionRanks[chunk] == 0 {
			p.remoteChunks[drawer.Box] = append(p.remoteChunks[drawer.Box], chunk)
		}
		if rank == 1 && p.options.OriginHedgeDelay > 0 {
			p.hedgedChunks[drawer.Box] = append(p.hedgedChunks[drawer.Box], chunk)
			p.firstFetchers[chunk] = drawer.Box
		}
	}
	p.rebuildNeighbours(drawers)
}

// rankSeed stands for a box in the order of drawers of one version. It does not depend on the
// manifest, so that what a box is the first to draw is known before that has come.
func rankSeed(model, version, box string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{model, version, box} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// FirstRankChunks returns the chunks of a version that a box is the first to draw, as SetOriginFetchers
// has it, for those that begin before the manifest has come.
func FirstRankChunks(model, version, self string, drawers []Peer, chunks int) []int {
	own := rankSeed(model, version, self)
	seeds := make([]uint64, 0, len(drawers))
	for _, drawer := range drawers {
		if drawer.Box != self {
			seeds = append(seeds, rankSeed(model, version, drawer.Box))
		}
	}
	var first []int
	for chunk := range chunks {
		score := rankScore(own, chunk)
		if !slices.ContainsFunc(seeds, func(seed uint64) bool { return rankScore(seed, chunk) > score }) {
			first = append(first, chunk)
		}
	}
	return first
}

// rankScore is a box's weight for one chunk. It is the finishing step of
// SplitMix64 (Steele, Lea and Flood, 2014), because hashing anew for each of
// thousands of chunks and boxes took a fifth of a second.
func rankScore(seed uint64, chunk int) uint64 {
	z := seed + uint64(chunk+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// RecordResponse notes that a neighbour has answered.
func (p *Picker) RecordResponse(box string, now time.Time) {
	if n, ok := p.neighbours[box]; ok {
		n.lastResponse = now
	}
}

// AddEarlyFetch notes a draw that was begun before the manifest had come.
func (p *Picker) AddEarlyFetch(chunk int, at time.Time) {
	p.running[chunk] = at
	p.originFetches++
}

// fromOrigin takes a chunk of a place in the order of drawers up to lastRank that
// no neighbour shows and for which the boxes that come first have had their time.
func (p *Picker) fromOrigin(now time.Time, lastRank int) (FetchTask, bool) {
	if p.originFetches >= p.options.OriginWindow {
		return FetchTask{}, false
	}
	best, bestRank := -1, 0
	for chunk := range p.manifest.Chunks {
		if p.held.Has(chunk) || p.isRunning(chunk) || p.isAvailable(chunk) && !p.isStuck(chunk, now) {
			continue
		}
		if p.ranks[chunk] > lastRank || now.Before(p.lastRetry[chunk]) || now.Before(p.originDue(chunk, now)) {
			continue
		}
		if best < 0 || p.ranks[chunk] < bestRank {
			best, bestRank = chunk, p.ranks[chunk]
		}
	}
	return FetchTask{Chunk: best}, best >= 0
}

// originDue is when this box draws a chunk from the origin. The waits for those who come first
// count from the chunk's turn at the pace of the origin's link: counted from the start of the
// copy, one chunk in five was drawn twice, and the others came later by as much.
func (p *Picker) originDue(chunk int, now time.Time) time.Time {
	paced, rank := p.scheduledAt(chunk), p.ranks[chunk]
	if rank == 0 {
		return later(paced, p.due(rank, 0))
	}
	due := p.dueFrom(rank, p.options.MaxOriginWait, later(p.waitStart, paced))
	if rank == 1 && p.options.OriginHedgeDelay > 0 {
		if hedge := p.hedgeDue(chunk, now); hedge.Before(due) {
			due = hedge
		}
	}
	return later(paced, due)
}

// hedgeDue is when this box draws a chunk of which it is the second drawer.
func (p *Picker) hedgeDue(chunk int, now time.Time) time.Time {
	first := p.neighbours[p.firstFetchers[chunk]]
	if first != nil && !first.lastResponse.IsZero() && now.Sub(first.lastResponse) > p.options.SilenceTimeout {
		return later(p.waitStart, p.scheduledAt(chunk))
	}
	return later(p.waitStart, p.scheduledAt(len(p.manifest.Chunks))).Add(p.options.OriginHedgeDelay)
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
		return p.lastProgress
	}
	return p.dueFrom(rank, patience, p.waitStart)
}

// dueFrom is due for a rank after the first, with the patience counted from a moment.
func (p *Picker) dueFrom(rank int, patience time.Duration, from time.Time) time.Time {
	due := later(p.lastProgress, p.waitStart).Add(time.Duration(rank+1) * p.options.RankDelay)
	if patience > 0 {
		if latest := from.Add(patience + time.Duration(rank)*p.options.RankDelay); latest.Before(due) {
			return latest
		}
	}
	return due
}

// isStuck reports whether a chunk that is shown has been waited for so long that
// the box draws it itself.
func (p *Picker) isStuck(chunk int, now time.Time) bool {
	if p.options.MaxOriginWait == 0 {
		return false
	}
	wait := 2*p.options.MaxOriginWait + time.Duration(p.ranks[chunk])*p.options.RankDelay
	return now.Sub(later(p.waitStart, p.scheduledAt(chunk))) >= wait
}

package weights

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ScheduledOffset returns the time from the start of the schedule to the origin fetch of a chunk. The
// schedule spaces the chunks by OriginInterval to match the rate of the origin's link.
func (o *PickerOptions) ScheduledOffset(chunk int) time.Duration {
	return time.Duration(max(0, chunk-o.OriginBurst)) * o.OriginInterval
}

// SetScheduleStart sets the time at which the schedule of origin fetches starts. All boxes use the same
// time. The default is the creation of the picker.
func (p *Picker) SetScheduleStart(at time.Time) { p.scheduleStart = at }

// scheduledAt returns the scheduled time of a chunk's fetch from the origin.
func (p *Picker) scheduledAt(chunk int) time.Time {
	return p.scheduleStart.Add(p.options.ScheduledOffset(chunk))
}

// SetOriginFetchers sets the boxes that download the version. For each chunk, rendezvous hashing ranks
// them: the first fetches the chunk from the origin, and each later one does so only if it received no
// chunk at all while it waited for the boxes ranked before it, or if MaxOriginWait or OriginHedgeDelay
// ends the wait. The boxes of one region also have a ranking among themselves, which limits transfers
// between regions: the first of them fetches a chunk from the chunk's first fetcher in another region.
func (p *Picker) SetOriginFetchers(fetchers []Peer) {
	p.ranks = make([]int, len(p.manifest.Chunks))
	p.regionRanks = make([]int, len(p.manifest.Chunks))
	first := make([]int, len(p.manifest.Chunks))
	topScores := slices.Clone(p.scores)
	for i, fetcher := range fetchers {
		if fetcher.Box == p.self {
			continue
		}
		seed := rankSeed(p.manifest.Model, p.manifest.Version, fetcher.Box)
		for chunk, own := range p.scores {
			score := rankScore(seed, chunk)
			if score <= own {
				continue
			}
			p.ranks[chunk]++
			if !fetcher.Remote {
				p.regionRanks[chunk]++
			}
			if score > topScores[chunk] {
				topScores[chunk], first[chunk] = score, i
			}
		}
	}
	p.setRemoteFetchers(fetchers, first)
}

// setRemoteFetchers records the first fetchers of the chunks that this box has to fetch from another
// region, and of the chunks for which this box is the second fetcher.
func (p *Picker) setRemoteFetchers(fetchers []Peer, first []int) {
	p.remoteChunks, p.hedgedChunks, p.firstFetchers = make(map[string][]int), make(map[string][]int), make(map[int]string)
	for chunk, rank := range p.ranks {
		if rank == 0 || p.held.Has(chunk) {
			continue
		}
		fetcher := fetchers[first[chunk]]
		if p.regionRanks[chunk] == 0 {
			p.remoteChunks[fetcher.Box] = append(p.remoteChunks[fetcher.Box], chunk)
		}
		if rank == 1 && p.options.OriginHedgeDelay > 0 {
			p.hedgedChunks[fetcher.Box] = append(p.hedgedChunks[fetcher.Box], chunk)
			p.firstFetchers[chunk] = fetcher.Box
		}
	}
	p.rebuildNeighbours(fetchers)
}

// rankSeed returns the hash of a box from which its scores for the chunks of a version derive. It does
// not depend on the manifest, so a box can start its own origin fetches before it has the manifest.
func rankSeed(model, version, box string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{model, version, box} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// FirstRankChunks returns the chunks of a version for which box self is the first fetcher, with the same
// ranking as SetOriginFetchers. It lets a box start origin fetches before it has the manifest.
func FirstRankChunks(model, version, self string, fetchers []Peer, chunks int) []int {
	own := rankSeed(model, version, self)
	seeds := make([]uint64, 0, len(fetchers))
	for _, fetcher := range fetchers {
		if fetcher.Box != self {
			seeds = append(seeds, rankSeed(model, version, fetcher.Box))
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

// rankScore returns the score of a box for one chunk; the box with the highest score is the chunk's first
// fetcher. It is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014): a full hash for each pair of
// thousands of chunks and boxes took 0.2 s.
func rankScore(seed uint64, chunk int) uint64 {
	z := seed + uint64(chunk+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// RecordResponse records the time of a neighbour's latest response.
func (p *Picker) RecordResponse(box string, now time.Time) {
	if n, ok := p.neighbours[box]; ok {
		n.lastResponse = now
	}
}

// AddEarlyFetch records an origin fetch that started before the manifest was received.
func (p *Picker) AddEarlyFetch(chunk int, at time.Time) {
	p.running[chunk] = at
	p.originFetches++
}

// fromOrigin returns the chunk with the lowest rank up to lastRank that is due for a fetch from the origin.
// It skips chunks that a usable neighbour holds, unless they are stuck.
func (p *Picker) fromOrigin(now time.Time, lastRank int) (FetchTask, bool) {
	if p.originFetches >= p.options.OriginWindow {
		return FetchTask{}, false
	}
	best, bestRank := -1, 0
	for chunk := range p.manifest.Chunks {
		if p.held.Has(chunk) || p.isRunning(chunk) || p.isAvailable(chunk) && !p.isStuck(chunk, now) {
			continue
		}
		if p.ranks[chunk] > lastRank || now.Before(p.nextRetry[chunk]) || now.Before(p.originDue(chunk, now)) {
			continue
		}
		if best < 0 || p.ranks[chunk] < bestRank {
			best, bestRank = chunk, p.ranks[chunk]
		}
	}
	return FetchTask{Chunk: best}, best >= 0
}

// originDue returns when this box may fetch a chunk from the origin. Waits for earlier ranks count from the
// chunk's scheduled time. When they counted from the start of the download, one chunk in five was fetched
// twice, and the other chunks arrived correspondingly later.
func (p *Picker) originDue(chunk int, now time.Time) time.Time {
	scheduled, rank := p.scheduledAt(chunk), p.ranks[chunk]
	if rank == 0 {
		return later(scheduled, p.due(rank, 0))
	}
	due := p.dueFrom(rank, p.options.MaxOriginWait, later(p.waitStart, scheduled))
	if rank == 1 && p.options.OriginHedgeDelay > 0 {
		if hedge := p.hedgeDue(chunk, now); hedge.Before(due) {
			due = hedge
		}
	}
	return later(scheduled, due)
}

// hedgeDue returns when this box fetches a chunk as its second fetcher: at the chunk's scheduled time if the
// first fetcher has stopped responding, otherwise OriginHedgeDelay after the end of the schedule. Neither is
// before waitStart.
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

// due returns when a box of the given rank may fetch a chunk. Rank 0 may fetch at once. Rank 1 waits two
// RankDelays, because the first chunks of a new download need about one RankDelay to reach other boxes.
func (p *Picker) due(rank int, maxWait time.Duration) time.Time {
	if rank == 0 {
		return p.lastProgress
	}
	return p.dueFrom(rank, maxWait, p.waitStart)
}

// dueFrom returns when a box of a rank above 0 may fetch a chunk: rank+1 RankDelays after the last progress.
// If maxWait is above 0, it is at the latest maxWait plus rank RankDelays after from.
func (p *Picker) dueFrom(rank int, maxWait time.Duration, from time.Time) time.Time {
	due := later(p.lastProgress, p.waitStart).Add(time.Duration(rank+1) * p.options.RankDelay)
	if maxWait > 0 {
		if latest := from.Add(maxWait + time.Duration(rank)*p.options.RankDelay); latest.Before(due) {
			return latest
		}
	}
	return due
}

// isStuck reports whether a chunk that a neighbour holds has been missing here for so long that this box
// fetches it from the origin itself.
func (p *Picker) isStuck(chunk int, now time.Time) bool {
	if p.options.MaxOriginWait == 0 {
		return false
	}
	wait := 2*p.options.MaxOriginWait + time.Duration(p.ranks[chunk])*p.options.RankDelay
	return now.Sub(later(p.waitStart, p.scheduledAt(chunk))) >= wait
}

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

// SetSchedule sets the schedule of origin fetches. All boxes use the same one. By default it starts with the creation
// of the picker and has all chunks in the order of their indexes.
func (p *Picker) SetSchedule(schedule VersionSchedule, now time.Time) {
	p.scheduleStart, p.timeAhead, p.deferred = schedule.Start, schedule.TimeAhead, schedule.IsDeferred
	p.positions, p.scheduled = nil, len(p.manifest.Chunks)
	if schedule.Positions != nil {
		p.positions, p.scheduled = make([]int, len(p.manifest.Chunks)), len(schedule.Positions)
		for chunk := range p.positions {
			p.positions[chunk] = p.scheduled
		}
		for position, chunk := range schedule.Positions {
			p.positions[chunk] = position
		}
	}
	switch {
	case !schedule.OriginUnavailable:
		p.unavailableSince = time.Time{}
		// Until the origin's link is available to the version, no rank can have fetched a chunk.
		p.waitStart = later(p.waitStart, schedule.Start)
	case p.unavailableSince.IsZero():
		p.unavailableSince, p.nextProbe = now, now.Add(p.options.ProbeInterval)
	}
}

// scheduledAt returns the scheduled time of a chunk's fetch from the origin.
func (p *Picker) scheduledAt(chunk int) time.Time {
	return p.scheduleStart.Add(p.options.ScheduledOffset(p.position(chunk)))
}

// scheduleEnd returns the time after the scheduled time of the last chunk.
func (p *Picker) scheduleEnd() time.Time {
	return p.scheduleStart.Add(p.options.ScheduledOffset(p.scheduled))
}

// position returns the position of a chunk in the schedule.
func (p *Picker) position(chunk int) int {
	if p.positions == nil {
		return chunk
	}
	return p.positions[chunk]
}

// UnheldChunks returns the chunks that neither this box nor a usable neighbour holds.
func (p *Picker) UnheldChunks() []int {
	var chunks []int
	for chunk := range p.manifest.Chunks {
		if !p.held.Has(chunk) && !p.isAvailable(chunk) {
			chunks = append(chunks, chunk)
		}
	}
	return chunks
}

// Shortage describes the chunks that no known box holds.
type Shortage struct {
	// Unheld are the chunks that neither this box nor a usable neighbour holds.
	Unheld []int
	// Appeared is set if fewer chunks are missing than at the last call.
	Appeared bool
	// Stalled is set if chunks are overdue and none has appeared for stallTime, so the origin is probably unavailable.
	Stalled bool
}

const (
	// stallTime is the time without a new chunk after which the origin counts as unavailable. A chunk passes from the
	// origin to all boxes in less.
	stallTime = time.Second
	// minStalled is the number of missing chunks from which a stall counts. Fewer may be chunks of fetchers that are
	// gone, which the next ranks fetch.
	minStalled = 4
)

// UpdateShortage returns the chunks that no known box holds now, compared with the last call. It is called once in each
// interval in which the holdings of neighbours are requested.
func (p *Picker) UpdateShortage(now time.Time) Shortage {
	s := Shortage{Unheld: p.UnheldChunks()}
	var overdueSince time.Time
	for _, chunk := range s.Unheld {
		if at := p.scheduledAt(chunk); overdueSince.IsZero() || at.Before(overdueSince) {
			overdueSince = at
		}
	}
	s.Appeared = len(s.Unheld) < p.lastShortage
	if s.Appeared || p.appearedAt.IsZero() {
		p.appearedAt = now
	}
	p.lastShortage = len(s.Unheld)
	s.Stalled = len(s.Unheld) >= minStalled && now.Sub(overdueSince) >= stallTime && now.Sub(p.appearedAt) >= stallTime
	return s
}

// outageRankWait is how long each rank waits for the rank before it while the origin is unavailable. Chunks cannot
// arrive then, so the wait only covers fetchers that are listed but do not run.
const outageRankWait = 8 * time.Second

// probe returns a fetch that tries whether the origin is available again. The time between two probes grows with the
// position of their chunk in the schedule: after the return, the boxes then request little more than the link can
// send, in the order of the schedule, without any exchange of messages.
func (p *Picker) probe(now time.Time) (FetchTask, bool) {
	if p.originFetches > 0 || now.Before(p.nextProbe) {
		return FetchTask{}, false
	}
	for position, chunk := range p.UnheldChunks() {
		if p.isRunning(chunk) || !p.mayProbe(chunk, now) {
			continue
		}
		p.nextProbe = now.Add(p.probePeriod(position))
		return FetchTask{Chunk: chunk}, true
	}
	return FetchTask{}, false
}

const (
	// probeSpread is the time between two probes for a chunk, relative to its offset in the schedule. With 2, half of
	// the chunks up to any offset are requested within that time after the return of the origin, besides those of later
	// chunks.
	probeSpread = 2
	// probeBurst is the offset up to which the chunks of the first version are all requested as soon as the origin
	// returns. They share its link for that long, well below the time-out of a fetch.
	probeBurst = 300 * time.Millisecond
)

// probePeriod returns the time between two probes for a chunk.
func (p *Picker) probePeriod(position int) time.Duration {
	offset := p.timeAhead + time.Duration(position)*p.options.OriginInterval
	if p.timeAhead == 0 {
		offset = max(0, offset-probeBurst)
	}
	return max(p.options.ProbeInterval, probeSpread*offset)
}

// mayProbe reports whether this box tries to fetch a chunk while the origin is unavailable.
func (p *Picker) mayProbe(chunk int, now time.Time) bool {
	rank := p.ranks[chunk]
	return rank == 0 || rank == 1 && p.isFirstSilent(chunk, now) || now.Sub(p.unavailableSince) >= time.Duration(rank)*outageRankWait
}

// isFirstSilent reports whether the first fetcher of a chunk has stopped responding to this box, which is the second.
func (p *Picker) isFirstSilent(chunk int, now time.Time) bool {
	first := p.neighbours[p.firstFetchers[chunk]]
	return first != nil && !first.lastResponse.IsZero() && now.Sub(first.lastResponse) > p.options.SilenceTimeout
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
	if !p.unavailableSince.IsZero() {
		return p.probe(now)
	}
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
		if best < 0 || p.ranks[chunk] < bestRank || p.ranks[chunk] == bestRank && p.position(chunk) < p.position(best) {
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
	if p.isFirstSilent(chunk, now) {
		return later(p.waitStart, p.scheduledAt(chunk))
	}
	return later(p.waitStart, p.scheduleEnd()).Add(p.options.OriginHedgeDelay)
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

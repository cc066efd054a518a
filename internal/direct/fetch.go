package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// originRankDelay is how long an origin fetcher of a chunk waits for the fetcher of the rank before its
	// own. It covers the transfer of a few chunks over the origin's link while all agents use it.
	originRankDelay = 500 * time.Millisecond
	// maxOriginWait is the time after which agents no longer wait for the fetchers of the ranks before theirs.
	// By then the origin has sent one copy of the version if all first fetchers use the full rate of their
	// links.
	maxOriginWait = 1200 * time.Millisecond
	// defaultMaxRemoteWait is the time after which a box no longer waits for another box of its region to
	// fetch a chunk over a priced link. It applies if the rates of the links are not known.
	defaultMaxRemoteWait = 2 * time.Second
	// holdingsInterval is the interval at which neighbours are polled for the chunks that they hold.
	holdingsInterval = 80 * time.Millisecond
	// maxFetchWindow limits the number of concurrent chunk fetches. With more, chunks would queue on the
	// box's link ahead of the traffic that callers wait for.
	maxFetchWindow = 4
	// slowChunk is the duration of a chunk transfer above which the link counts as too slow for the current
	// window. It is several times the duration of a full window on a typical link.
	slowChunk = 600 * time.Millisecond
	// windowGrowth is the increase of the window after each chunk.
	windowGrowth = 0.25
	// initialFetchWindow is the number of concurrent fetches before any transfer has been timed.
	initialFetchWindow = 3
	// chunkTimeout is the timeout of one chunk fetch. It is many times the transfer time over a box's link
	// and a small part of the time in which weights must be live.
	chunkTimeout = 2500 * time.Millisecond
	// holdingsTimeout is the timeout of a holdings request. Several chunks may be queued on the neighbour's
	// link ahead of the response. A neighbour that exceeds the timeout counts as holding nothing.
	holdingsTimeout = 500 * time.Millisecond
	// originProbeInterval is the shortest interval at which an agent tries whether the origin is available again. All
	// servers may be waiting for it.
	originProbeInterval = 150 * time.Millisecond
	// fetchRetryDelay is the delay before a failed fetch is retried.
	fetchRetryDelay = 300 * time.Millisecond
)

// chunkFetcher fetches the missing chunks of one version. One goroutine, in run, schedules the transfers and
// receives their results over channels.
type chunkFetcher struct {
	loader          *Loader
	desired         *target
	version         fleet.WeightsVersion
	manifest        *weights.Manifest
	picker          *weights.Picker
	addresses       map[string]member.Address
	results         chan fetchResult
	earlyResults    <-chan fetchResult
	holdings        chan holdingsResult
	holdingsPending map[string]bool
	// window is the maximum number of concurrent fetches. It is reduced while chunks are slow, because the
	// link is then slower than configured.
	window float64
	// mismatches counts for each chunk how often the origin has sent each content that does not match its digest.
	mismatches map[int]map[weights.Digest]int
}

type fetchResult struct {
	task     weights.FetchTask
	data     []byte
	err      error
	duration time.Duration
}

type holdingsResult struct {
	box       string
	held      weights.Bits
	responded bool
	// doubted is set if the agent has dropped the manifest.
	doubted bool
}

// pickerOptions returns the options of the picker that schedules the chunk fetches of a version.
func (l *Loader) pickerOptions(desired *target) weights.PickerOptions {
	options := weights.DefaultPickerOptions()
	options.OriginWindow, options.OriginInterval = originWindow(desired), originInterval(desired)
	options.OriginBurst, options.OriginHedgeDelay, options.SilenceTimeout = originBurst, originHedgeDelay(desired), originSilenceTimeout
	options.MaxRemoteWait = l.maxRemoteWait(desired)
	options.ProbeInterval = originProbeInterval
	options.RankDelay, options.MaxOriginWait, options.NeighbourWindow, options.TotalWindow = originRankDelay, maxOriginWait, 1, initialFetchWindow
	return options
}

// fetchChunks fetches the missing chunks of a version. It returns when the store holds every chunk, or an
// error when the context ends or, wrapping errDoubted, when the chunks do not match the manifest. early holds the
// fetches that were started before the manifest was received.
func (l *Loader) fetchChunks(ctx context.Context, desired *target, version fleet.WeightsVersion, manifest *weights.Manifest, early *earlyFetches) error {
	options := l.pickerOptions(desired)
	f := &chunkFetcher{
		loader: l, desired: desired, version: version, manifest: manifest, addresses: make(map[string]member.Address),
		picker:  weights.NewPicker(manifest, string(l.options.Agent), l.store.Held(manifest.Digest()), options, l.options.Clock.Now()),
		results: make(chan fetchResult), holdings: make(chan holdingsResult), holdingsPending: make(map[string]bool),
		window: initialFetchWindow, earlyResults: early.results, mismatches: make(map[int]map[weights.Digest]int),
	}
	for chunk, at := range early.stopNew() {
		f.picker.AddEarlyFetch(chunk, at)
	}
	f.picker.RestrictUntil(l.restrictedUntil(desired, version))
	now := l.options.Clock.Now()
	f.picker.SetSchedule(weights.VersionSchedule{Start: scheduleStart(desired.published.PublishedAt(version), now)}, now)
	f.updatePeers()
	f.updateSchedule()
	return f.run(ctx)
}

const (
	// maxOriginFetches limits the number of concurrent fetches of one box from the origin.
	maxOriginFetches = 4
	// originConnectionShare is the share of the origin's connection limit that all boxes together use. The
	// origin drops connections above its limit.
	originConnectionShare = 0.8
)

// originWindow returns how many chunks this box may fetch from the origin at once. If the rate of the origin's
// link is known, fetches are paced by it: few run at once in all, so a box need not be limited further.
func originWindow(desired *target) int {
	if desired.origin.OriginMbps > 0 {
		return maxOriginFetches
	}
	if desired.origin.MaxConnections == 0 || len(desired.servers) == 0 {
		return maxOriginFetches
	}
	return max(1, min(maxOriginFetches, int(originConnectionShare*float64(desired.origin.MaxConnections))/len(desired.servers)))
}

// maxRemoteWait returns how long one copy of the weights takes over the origin's link and then over the link of
// a box. A chunk that no box of the region holds after this time counts as delayed, and other boxes fetch it.
func (l *Loader) maxRemoteWait(desired *target) time.Duration {
	if desired.origin.OriginMbps <= 0 || l.options.LinkMbps <= 0 {
		return defaultMaxRemoteWait
	}
	size := float64(desired.engine.ChunkSize) * float64(desired.engine.Chunks)
	seconds := size/(desired.origin.OriginMbps*bytesPerMbit) + size/(l.options.LinkMbps*bytesPerMbit)
	return time.Duration(seconds * float64(time.Second))
}

const (
	// originBurst is how many chunks are requested from the origin ahead of the rate of its link. Two keep
	// the link busy between a response and the next request.
	originBurst = 2
	// minHedgeChunks is how long the second origin fetchers wait at least after the scheduled time of the last
	// chunk, in transfer times of one chunk over the origin's link. The last chunks are still in transfer
	// for that time. hedgeShare is the same relative to the number of chunks, because the link may be slower
	// than the schedule by that much.
	minHedgeChunks = 4
	hedgeShare     = 0.125
	// originSilenceTimeout is the time without a response from the first origin fetcher of a chunk after which
	// the second one fetches the chunk. It covers several holdings requests. The remaining chunks of killed
	// agents must be fetched before the origin becomes unavailable, or all agents wait for its return.
	originSilenceTimeout = 400 * time.Millisecond
	// maxScheduleLag is the age of a version up to which an agent schedules its origin fetches from the time
	// of publication. Agents are notified and receive the manifest within half of this time. An agent that
	// is later, for example because its box has just started, finds most chunks at other agents.
	maxScheduleLag = 500 * time.Millisecond
)

// scheduleStart returns the start of the schedule of origin fetches. For all agents it is the time of publication,
// so that the origin's link is busy from the first to the last chunk. An agent that is later than
// maxScheduleLag, or does not know the time of publication, starts now.
func scheduleStart(publishedAt, now time.Time) time.Time {
	if age := now.Sub(publishedAt); publishedAt.IsZero() || age < 0 || age > maxScheduleLag {
		return now
	}
	return publishedAt
}

// linkOverhead is the ratio of the bytes on the link to the bytes of a chunk. TCP and IP headers take 40 of the
// 1,500 bytes of each packet, and HTTP headers add to them.
const linkOverhead = 1.04

// originInterval returns the interval between the scheduled fetches of two chunks from the origin, which is the
// transfer time of one chunk over the origin's link. It is 0 if the rate of the link is not known.
func originInterval(desired *target) time.Duration {
	if desired.origin.OriginMbps <= 0 {
		return 0
	}
	seconds := linkOverhead * float64(desired.engine.ChunkSize) / (desired.origin.OriginMbps * bytesPerMbit)
	return time.Duration(seconds * float64(time.Second))
}

// originHedgeDelay returns how long the second origin fetchers wait after the scheduled time of the last chunk.
func originHedgeDelay(desired *target) time.Duration {
	return time.Duration(max(minHedgeChunks, hedgeShare*float64(desired.engine.Chunks)) * float64(originInterval(desired)))
}

// updatePeers passes the current origin fetchers and neighbours to the picker. It does nothing if the servers
// have not changed since the last call.
func (f *chunkFetcher) updatePeers() {
	if now, known := f.loader.target(); known {
		if sameServers(f.desired.servers, now.servers) && len(f.addresses) > 0 {
			return
		}
		f.desired = &now
	}
	records := f.loader.agentRecords(f.desired)
	fetchers := make([]weights.Peer, 0, len(records))
	for _, record := range records {
		fetchers = append(fetchers, weights.Peer{Box: string(record.Box), Remote: record.Region == regionRemote})
		f.addresses[string(record.Box)] = record.Peers
	}
	f.picker.SetOriginFetchers(fetchers)
	neighbours := f.loader.neighbours(f.desired)
	peers := make([]weights.Peer, 0, len(neighbours))
	for _, record := range neighbours {
		peers = append(peers, weights.Peer{Box: string(record.Box), Remote: record.Region == regionRemote})
	}
	f.picker.SetNeighbours(peers)
}

// updateSchedule passes the current schedule of origin fetches to the picker.
func (f *chunkFetcher) updateSchedule() {
	if schedule, ok := f.loader.originSchedule.version(f.version); ok {
		f.picker.SetSchedule(schedule, f.loader.options.Clock.Now())
	}
}

// recordShortage passes the chunks that no known agent holds to the schedule of origin fetches.
func (f *chunkFetcher) recordShortage() {
	shortage := f.picker.UpdateShortage(f.loader.options.Clock.Now())
	f.loader.originSchedule.recordShortage(f.version, &shortage)
}

// sameServers reports whether two lists contain the same servers in the same order.
func sameServers(a, b []fleet.Server) bool {
	return slices.EqualFunc(a, b, func(a, b fleet.Server) bool { return a.ID == b.ID })
}

// Regions relative to a box: its own region, and all others as one.
const (
	regionLocal  member.Region = "near"
	regionRemote member.Region = "far"
)

// agentRecords returns the agents of the service as swarm members. The box ID of each record is the address of
// the agent.
func (l *Loader) agentRecords(desired *target) []member.Record {
	records := make([]member.Record, 0, len(desired.servers))
	for _, server := range desired.servers {
		address, ok := agentAddress(server.Address, l.options.AgentPort)
		if !ok {
			continue
		}
		region := regionRemote
		if l.options.IsLocal(server.Domain) {
			region = regionLocal
		}
		records = append(records, member.Record{
			Box: member.BoxID(address), Peers: address, Region: region, FailureDomain: server.Domain,
		})
	}
	return records
}

// neighbours returns the agents with which this agent exchanges chunks.
func (l *Loader) neighbours(desired *target) []member.Record {
	self := member.Record{Box: member.BoxID(l.options.Agent), Region: regionLocal}
	return member.Neighbours(self, l.agentRecords(desired))
}

// run fetches chunks until none is missing, the context ends or the manifest is doubted.
func (f *chunkFetcher) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clock := f.loader.options.Clock
	ticker := clock.NewTicker(holdingsInterval)
	defer ticker.Stop()
	f.requestHoldings(ctx)
	for f.picker.Missing() > 0 {
		f.updateSchedule()
		f.startTasks(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-f.results:
			if err := f.handleResult(result); err != nil {
				return err
			}
		case result := <-f.earlyResults:
			if err := f.handleResult(result); err != nil {
				return err
			}
		case result := <-f.holdings:
			if result.doubted && f.loader.mayDoubt(f.key()) {
				return fmt.Errorf("%w: dropped by %s", errDoubted, result.box)
			}
			f.holdingsPending[result.box] = false
			f.picker.SetHoldings(result.box, result.held)
			if result.responded {
				f.picker.RecordResponse(result.box, f.loader.options.Clock.Now())
			}
		case <-ticker.Chan():
			f.updatePeers()
			f.recordShortage()
			f.requestHoldings(ctx)
		}
	}
	return nil
}

// startTasks starts all fetches that the picker allows now.
func (f *chunkFetcher) startTasks(ctx context.Context) {
	for {
		task, ok := f.picker.Next(f.loader.options.Clock.Now())
		if !ok {
			return
		}
		started := f.loader.options.Clock.Now()
		go func() {
			data, err := f.fetchChunk(ctx, task)
			select {
			case f.results <- fetchResult{task, data, err, f.loader.options.Clock.Since(started)}:
			case <-ctx.Done():
			}
		}()
	}
}

// key returns the version that is fetched.
func (f *chunkFetcher) key() publishedVersion { return publishedVersion{f.desired.model, f.version} }

// handleResult stores a chunk that matches its digest. It reports any other result to the picker as a failure,
// which delays the next attempt by fetchRetryDelay. The error wraps errDoubted if the manifest is wrong rather than the chunk.
func (f *chunkFetcher) handleResult(result fetchResult) error {
	from := "peer"
	if result.task.FromOrigin() {
		from = "origin"
	}
	err := result.err
	if err == nil {
		err = f.loader.store.Put(f.manifest, result.task.Chunk, result.data)
	}
	f.loader.options.Metrics.chunks.WithLabelValues(from, resultLabel(err)).Inc()
	if result.task.FromOrigin() {
		f.loader.originSchedule.recordResult(err)
	}
	now := f.loader.options.Clock.Now()
	f.adjustWindow(result)
	if err == nil {
		f.picker.Done(result.task, now)
		f.loader.options.Log.Debug().Int("piece", result.task.Chunk).Str("from", result.task.From).Uint64("version", uint64(f.version)).
			Int("missing", f.picker.Missing()).Dur("taken_ms", result.duration).Msg("piece taken")
		return nil
	}
	f.loader.options.Log.Info().Int("piece", result.task.Chunk).Str("from", result.task.From).
		Uint64("version", uint64(f.version)).Err(err).Msg("piece not taken")
	f.picker.Failed(result.task, now.Add(fetchRetryDelay))
	return f.noteMismatch(result)
}

// noteMismatch counts a chunk of the right size that does not match its digest. Different errors of the origin give different
// contents, so the same one again means that the digest is wrong.
func (f *chunkFetcher) noteMismatch(result fetchResult) error {
	chunk := result.task.Chunk
	isComparable := result.err == nil && result.task.FromOrigin() && int64(len(result.data)) == f.manifest.Chunks[chunk].Size
	if !isComparable {
		return nil
	}
	content := f.manifest.Hash.Sum(result.data)
	if content == f.manifest.Chunks[chunk].Digest {
		return nil
	}
	if f.mismatches[chunk] == nil {
		f.mismatches[chunk] = make(map[weights.Digest]int)
	}
	f.mismatches[chunk][content]++
	if count := f.mismatches[chunk][content]; count >= f.loader.mismatchLimit(f.key()) {
		return fmt.Errorf("%w: chunk %d had the content %s %d times", errDoubted, chunk, content.Short(), count)
	}
	return nil
}

// adjustWindow halves the window after a slow chunk and increases it by windowGrowth after any other. Chunks from
// the origin are ignored, because several of them share the origin's link and their duration says nothing about
// the box's own link. If they counted, each box that fetches from the origin would use half of its window for a
// while.
func (f *chunkFetcher) adjustWindow(result fetchResult) {
	if result.task.FromOrigin() {
		return
	}
	if result.duration > slowChunk {
		f.window = max(1, f.window/2)
	} else {
		f.window = min(maxFetchWindow, f.window+windowGrowth)
	}
	f.picker.SetTotalWindow(int(f.window))
}

// fetchFromOrigin fetches a chunk from the origin. The bytes are not verified.
func (l *Loader) fetchFromOrigin(ctx context.Context, desired *target, version fleet.WeightsVersion, chunk int) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	return l.options.Origin.Chunk(callCtx, desired.origin.Origin, desired.chunked(version), chunk)
}

// fetchChunk fetches a chunk from the source in the task: the origin or another agent. The bytes
// are not verified, but a chunk from an agent that exceeds its size in the manifest is an error.
func (f *chunkFetcher) fetchChunk(ctx context.Context, task weights.FetchTask) ([]byte, error) {
	if task.FromOrigin() {
		return f.loader.fetchFromOrigin(ctx, f.desired, f.version, task.Chunk)
	}
	callCtx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	digest := f.manifest.Digest()
	stream, err := wire.NewDRPCChunksClient(f.loader.options.Peers.Conn(f.addresses[task.From])).
		Fetch(callCtx, &wire.FetchRequest{Manifest: digest[:], Chunk: uint32(task.Chunk)})
	if err != nil {
		return nil, err
	}
	size := f.manifest.Chunks[task.Chunk].Size
	data := make([]byte, 0, size)
	for {
		frame, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		case int64(len(data)+len(frame.Data)) > size:
			return nil, fmt.Errorf("chunk is longer than %d bytes: %w", size, weights.ErrDigestMismatch)
		}
		data = append(data, frame.Data...)
	}
}

// requestHoldings requests the holdings of each agent that the picker lists, unless a request to it is pending.
func (f *chunkFetcher) requestHoldings(ctx context.Context) {
	digest := f.manifest.Digest()
	for _, box := range f.picker.BoxesToPoll() {
		if f.holdingsPending[box] {
			continue
		}
		f.holdingsPending[box] = true
		address := f.addresses[box]
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, holdingsTimeout)
			defer cancel()
			result := holdingsResult{box: box}
			response, err := wire.NewDRPCChunksClient(f.loader.options.Peers.Conn(address)).
				Holdings(callCtx, &wire.HoldingsRequest{Manifest: digest[:]})
			if err == nil && len(response.Held) <= len(weights.NewBits(len(f.manifest.Chunks))) {
				result.held, result.responded, result.doubted = response.Held, true, response.Doubted
			}
			select {
			case f.holdings <- result:
			case <-ctx.Done():
			}
		}()
	}
}

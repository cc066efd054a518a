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
	// originRankDelay is how long each place in the order of drawers waits for the one
	// before it: a few pieces over the origin's link, which all draw at once.
	originRankDelay = 500 * time.Millisecond
	// maxOriginWait is after how long that order is kept to no more: the origin has
	// given one copy by then if all who are first draw at the rate of their links.
	maxOriginWait = 1200 * time.Millisecond
	// defaultMaxRemoteWait is the same for pieces that another box of the region is to bring over
	// a priced link, where the rates of the links are not known.
	defaultMaxRemoteWait = 2 * time.Second
	// holdingsInterval is how often neighbours are asked what they hold.
	holdingsInterval = 80 * time.Millisecond
	// maxFetchWindow is how many pieces are fetched at once. More would queue on the
	// box's link before what callers wait for.
	maxFetchWindow = 4
	// slowChunk is how long a piece takes on a link that is too narrow for the
	// window: several times what a full window takes on the links of today.
	slowChunk = 600 * time.Millisecond
	// windowGrowth is by how much the window opens with each piece.
	windowGrowth = 0.25
	// initialFetchWindow is how many are at first, until the link is known to bear more.
	initialFetchWindow = 3
	// chunkTimeout bounds fetching a piece: many times what one takes over a box's
	// link, and a small part of the time in which weights must be live.
	chunkTimeout = 2500 * time.Millisecond
	// holdingsTimeout bounds asking a neighbour what it holds: several pieces may be on its link
	// before the answer. One that is silent for longer counts as holding nothing.
	holdingsTimeout = 500 * time.Millisecond
	// fetchRetryDelay is the wait before a draw that failed is tried again.
	fetchRetryDelay = 300 * time.Millisecond
)

// chunkFetcher gets the missing pieces of one version. One goroutine decides; the
// transfers tell it their results.
type chunkFetcher struct {
	loader          *Loader
	want            *target
	version         fleet.WeightsVersion
	manifest        *weights.Manifest
	picker          *weights.Picker
	addresses       map[string]member.Address
	results         chan fetchResult
	earlyResults    <-chan fetchResult
	holdings        chan holdingsResult
	holdingsPending map[string]bool
	// window is how many pieces are fetched at once; it shrinks while they take
	// long, because then the link is narrower than the settings say.
	window float64
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
}

// pickerOptions are how a copy is fetched.
func (l *Loader) pickerOptions(want *target) weights.PickerOptions {
	options := weights.DefaultPickerOptions()
	options.OriginWindow, options.OriginInterval = originWindow(want), originInterval(want)
	options.OriginBurst, options.OriginHedgeDelay, options.SilenceTimeout = originBurst, originHedgeChunks*options.OriginInterval, originSilenceTimeout
	options.MaxRemoteWait = l.maxRemoteWait(want)
	options.RankDelay, options.MaxOriginWait, options.NeighbourWindow, options.TotalWindow = originRankDelay, maxOriginWait, 1, initialFetchWindow
	return options
}

// fetchChunks returns when every piece is held or the context ends. Early are the draws that were
// begun while the manifest was on its way.
func (l *Loader) fetchChunks(ctx context.Context, want *target, version fleet.WeightsVersion, manifest *weights.Manifest, early *earlyFetches) error {
	options := l.pickerOptions(want)
	f := &chunkFetcher{
		loader: l, want: want, version: version, manifest: manifest, addresses: make(map[string]member.Address),
		picker:  weights.NewPicker(manifest, string(l.options.Agent), l.store.Held(manifest.Digest()), options, l.options.Clock.Now()),
		results: make(chan fetchResult), holdings: make(chan holdingsResult), holdingsPending: make(map[string]bool),
		window: initialFetchWindow, earlyResults: early.results,
	}
	for chunk, at := range early.stopNew() {
		f.picker.AddEarlyFetch(chunk, at)
	}
	f.picker.RestrictUntil(l.restrictedUntil(want, version))
	f.picker.SetScheduleStart(scheduleStart(want.published.PublishedAt(version), l.options.Clock.Now()))
	f.updatePeers()
	return f.run(ctx)
}

const (
	// maxOriginFetches is how many pieces one box draws at once.
	maxOriginFetches = 4
	// originConnectionShare is the part of the origin's connections that all boxes together
	// use: it drops those that are too many.
	originConnectionShare = 0.8
)

// originWindow is how many pieces this box may draw at once. At the pace of the origin's link
// few are drawn at once in all, and a second one of this box need not wait for the first.
func originWindow(want *target) int {
	if want.origin.OriginMbps > 0 {
		return maxOriginFetches
	}
	if want.origin.MaxConnections == 0 || len(want.servers) == 0 {
		return maxOriginFetches
	}
	return max(1, min(maxOriginFetches, int(originConnectionShare*float64(want.origin.MaxConnections))/len(want.servers)))
}

// maxRemoteWait is how long a copy takes to pass the origin's link and then a box's: one
// that has not come round in the region by then is held up.
func (l *Loader) maxRemoteWait(want *target) time.Duration {
	if want.origin.OriginMbps <= 0 || l.options.LinkMbps <= 0 {
		return defaultMaxRemoteWait
	}
	size := float64(want.engine.ChunkSize) * float64(want.engine.Chunks)
	seconds := size/(want.origin.OriginMbps*bytesPerMbit) + size/(l.options.LinkMbps*bytesPerMbit)
	return time.Duration(seconds * float64(time.Second))
}

const (
	// originBurst is how many pieces are on their way from the origin before its link has had
	// the time for them: two keep it busy from one answer to the next request.
	originBurst = 2
	// originHedgeChunks is how many times the time of a piece over the origin's link the second
	// drawers wait after the last piece's turn: those that are drawn last are on their way.
	originHedgeChunks = 4
	// originSilenceTimeout is after how long without an answer the second drawer of a piece takes the
	// place of the first: several of the intervals at which it is asked. What killed agents
	// had still to draw must come before the origin may go away, or all wait for it until it is back.
	originSilenceTimeout = 400 * time.Millisecond
	// maxScheduleLag is how long after a version was named an agent still keeps to the pace that
	// counts from its name. It hears of it and has the manifest within half of that; one that
	// comes later, as its box has just started, finds most pieces at others.
	maxScheduleLag = 500 * time.Millisecond
)

// scheduleStart is from when the pace of the draws counts: for all agents alike from the name of
// the version, so that the origin's link is busy from the first to the last piece.
func scheduleStart(named, now time.Time) time.Time {
	if age := now.Sub(named); named.IsZero() || age < 0 || age > maxScheduleLag {
		return now
	}
	return named
}

// linkOverhead is by how much more than its bytes a piece takes of a link: 40 of 1,500 bytes
// of each packet are heads of TCP and IP, and there are those of HTTP.
const linkOverhead = 1.04

// originInterval is how long after each other the pieces are drawn from the origin; 0 if
// the rate of its link is not known.
func originInterval(want *target) time.Duration {
	if want.origin.OriginMbps <= 0 {
		return 0
	}
	seconds := linkOverhead * float64(want.engine.ChunkSize) / (want.origin.OriginMbps * bytesPerMbit)
	return time.Duration(seconds * float64(time.Second))
}

// updatePeers names the agents that take part.
func (f *chunkFetcher) updatePeers() {
	if now, known := f.loader.target(); known {
		if sameServers(f.want.servers, now.servers) && len(f.addresses) > 0 {
			return
		}
		f.want = &now
	}
	records := f.loader.agentRecords(f.want)
	drawers := make([]weights.Peer, 0, len(records))
	for _, record := range records {
		drawers = append(drawers, weights.Peer{Box: string(record.Box), Remote: record.Region == regionRemote})
		f.addresses[string(record.Box)] = record.Peers
	}
	f.picker.SetOriginFetchers(drawers)
	neighbours := f.loader.neighbours(f.want)
	peers := make([]weights.Peer, 0, len(neighbours))
	for _, record := range neighbours {
		peers = append(peers, weights.Peer{Box: string(record.Box), Remote: record.Region == regionRemote})
	}
	f.picker.SetNeighbours(peers)
}

// sameServers reports whether two lists name the same servers.
func sameServers(a, b []fleet.Server) bool {
	return slices.EqualFunc(a, b, func(a, b fleet.Server) bool { return a.ID == b.ID })
}

// Regions as one box sees them: its own, and all others.
const (
	regionLocal  member.Region = "near"
	regionRemote member.Region = "far"
)

// agentRecords are the agents of the service as the members of a swarm. An agent is
// named by its address.
func (l *Loader) agentRecords(want *target) []member.Record {
	records := make([]member.Record, 0, len(want.servers))
	for _, server := range want.servers {
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

// neighbours are the agents that pieces are exchanged with.
func (l *Loader) neighbours(want *target) []member.Record {
	self := member.Record{Box: member.BoxID(l.options.Agent), Region: regionLocal}
	return member.Neighbours(self, l.agentRecords(want))
}

func (f *chunkFetcher) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clock := f.loader.options.Clock
	ticker := clock.NewTicker(holdingsInterval)
	defer ticker.Stop()
	f.requestHoldings(ctx)
	for f.picker.Missing() > 0 {
		f.startTasks(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-f.results:
			f.handleResult(result)
		case result := <-f.earlyResults:
			f.handleResult(result)
		case result := <-f.holdings:
			f.holdingsPending[result.box] = false
			f.picker.SetHoldings(result.box, result.held)
			if result.responded {
				f.picker.RecordResponse(result.box, f.loader.options.Clock.Now())
			}
		case <-ticker.Chan():
			f.updatePeers()
			f.requestHoldings(ctx)
		}
	}
	return nil
}

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

// handleResult keeps a piece that verifies and notes everything else as a fault.
func (f *chunkFetcher) handleResult(result fetchResult) {
	from := "peer"
	if result.task.FromOrigin() {
		from = "origin"
	}
	err := result.err
	if err == nil {
		err = f.loader.store.Put(f.manifest, result.task.Chunk, result.data)
	}
	f.loader.options.Metrics.chunks.WithLabelValues(from, resultLabel(err)).Inc()
	now := f.loader.options.Clock.Now()
	f.adjustWindow(result)
	if err == nil {
		f.picker.Done(result.task, now)
		f.loader.options.Log.Debug().Int("piece", result.task.Chunk).Str("from", result.task.From).Uint64("version", uint64(f.version)).
			Int("missing", f.picker.Missing()).Dur("taken_ms", result.duration).Msg("piece taken")
		return
	}
	f.loader.options.Log.Info().Int("piece", result.task.Chunk).Str("from", result.task.From).
		Uint64("version", uint64(f.version)).Err(err).Msg("piece not taken")
	f.picker.Failed(result.task, now.Add(fetchRetryDelay))
}

// adjustWindow halves the window when a piece took long and opens it slowly. Pieces of the
// origin tell nothing of the box's own link: several are on that of the origin together, and
// each box that had drawn one fetched two pieces at once in place of four for a while.
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

// fetchFromOrigin reads a piece from the origin.
func (l *Loader) fetchFromOrigin(ctx context.Context, want *target, version fleet.WeightsVersion, piece int) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	return l.options.Origin.Chunk(callCtx, want.origin.Origin, want.model, version, piece)
}

func (f *chunkFetcher) fetchChunk(ctx context.Context, task weights.FetchTask) ([]byte, error) {
	if task.FromOrigin() {
		return f.loader.fetchFromOrigin(ctx, f.want, f.version, task.Chunk)
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
			return nil, fmt.Errorf("piece is longer than %d bytes: %w", size, weights.ErrDigestMismatch)
		}
		data = append(data, frame.Data...)
	}
}

// requestHoldings asks each neighbour that has answered the last time.
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
			answer, err := wire.NewDRPCChunksClient(f.loader.options.Peers.Conn(address)).
				Holdings(callCtx, &wire.HoldingsRequest{Manifest: digest[:]})
			if err == nil {
				result.held, result.responded = answer.Held, true
			}
			select {
			case f.holdings <- result:
			case <-ctx.Done():
			}
		}()
	}
}

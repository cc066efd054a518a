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
	// drawWait is how long each place in the order of drawers waits for the one
	// before it: a few pieces over the origin's link, which all draw at once.
	drawWait = 500 * time.Millisecond
	// drawPatience is after how long that order is kept to no more: the origin has
	// given one copy by then if all who are first draw at the rate of their links.
	drawPatience = 1200 * time.Millisecond
	// farPatience is the same for pieces that another box of the region is to bring over
	// a priced link, where the rates of the links are not known.
	farPatience = 2 * time.Second
	// fetchInterval is how often neighbours are asked what they hold.
	fetchInterval = 80 * time.Millisecond
	// fetchWindow is how many pieces are fetched at once. More would queue on the
	// box's link before what callers wait for.
	fetchWindow = 4
	// pieceSlow is how long a piece takes on a link that is too narrow for the
	// window: several times what a full window takes on the links of today.
	pieceSlow = 600 * time.Millisecond
	// windowGrowth is by how much the window opens with each piece.
	windowGrowth = 0.25
	// firstWindow is how many are at first, until the link is known to bear more.
	firstWindow = 3
	// pieceTimeout bounds fetching a piece: many times what one takes over a box's
	// link, and a small part of the time in which weights must be live.
	pieceTimeout = 2500 * time.Millisecond
	// holdingsTimeout bounds asking a neighbour what it holds: several pieces may be on its link
	// before the answer. One that is silent for longer counts as holding nothing.
	holdingsTimeout = 500 * time.Millisecond
	// drawRetry is the wait before a draw that failed is tried again.
	drawRetry = 300 * time.Millisecond
)

// fetch gets the missing pieces of one version. One goroutine decides; the
// transfers tell it their results.
type fetch struct {
	loader    *Loader
	want      *target
	version   fleet.WeightsVersion
	manifest  *weights.Manifest
	picker    *weights.Picker
	addresses map[string]member.Address
	results   chan fetchResult
	early     <-chan fetchResult
	holdings  chan holdingsResult
	asked     map[string]bool
	// window is how many pieces are fetched at once; it shrinks while they take
	// long, because then the link is narrower than the settings say.
	window float64
}

type fetchResult struct {
	task  weights.FetchTask
	data  []byte
	err   error
	taken time.Duration
}

type holdingsResult struct {
	box      string
	held     weights.Bits
	answered bool
}

// pickerOptions are how a copy is fetched.
func (l *Loader) pickerOptions(want *target) weights.PickerOptions {
	options := weights.DefaultPickerOptions()
	options.OriginWindow, options.OriginInterval = drawWindow(want), drawPace(want)
	options.OriginBurst, options.OriginHedgeDelay, options.SilenceTimeout = drawAhead, drawHedgePieces*options.OriginInterval, drawerSilence
	options.MaxRemoteWait = l.farPatience(want)
	options.RankDelay, options.MaxOriginWait, options.NeighbourWindow, options.TotalWindow = drawWait, drawPatience, 1, firstWindow
	return options
}

// fetch returns when every piece is held or the context ends. Early are the draws that were
// begun while the manifest was on its way.
func (l *Loader) fetch(ctx context.Context, want *target, version fleet.WeightsVersion, manifest *weights.Manifest, early *earlyDraws) error {
	options := l.pickerOptions(want)
	f := &fetch{
		loader: l, want: want, version: version, manifest: manifest, addresses: make(map[string]member.Address),
		picker:  weights.NewPicker(manifest, string(l.options.Agent), l.store.Held(manifest.Digest()), options, l.options.Clock.Now()),
		results: make(chan fetchResult), holdings: make(chan holdingsResult), asked: make(map[string]bool),
		window: firstWindow, early: early.results,
	}
	for chunk, at := range early.begun() {
		f.picker.AddEarlyFetch(chunk, at)
	}
	f.picker.RestrictUntil(l.holdBack(want, version))
	f.picker.SetScheduleStart(paceFrom(want.named.PublishedAt(version), l.options.Clock.Now()))
	f.adoptPeers()
	return f.run(ctx)
}

const (
	// mostDraws is how many pieces one box draws at once.
	mostDraws = 4
	// originPart is the part of the origin's connections that all boxes together
	// use: it drops those that are too many.
	originPart = 0.8
)

// drawWindow is how many pieces this box may draw at once. At the pace of the origin's link
// few are drawn at once in all, and a second one of this box need not wait for the first.
func drawWindow(want *target) int {
	if want.origin.OriginMbps > 0 {
		return mostDraws
	}
	if want.origin.MaxConnections == 0 || len(want.servers) == 0 {
		return mostDraws
	}
	return max(1, min(mostDraws, int(originPart*float64(want.origin.MaxConnections))/len(want.servers)))
}

// farPatience is how long a copy takes to pass the origin's link and then a box's: one
// that has not come round in the region by then is held up.
func (l *Loader) farPatience(want *target) time.Duration {
	if want.origin.OriginMbps <= 0 || l.options.LinkMbps <= 0 {
		return farPatience
	}
	size := float64(want.engine.ChunkSize) * float64(want.engine.Chunks)
	seconds := size/(want.origin.OriginMbps*bytesPerMbit) + size/(l.options.LinkMbps*bytesPerMbit)
	return time.Duration(seconds * float64(time.Second))
}

const (
	// drawAhead is how many pieces are on their way from the origin before its link has had
	// the time for them: two keep it busy from one answer to the next request.
	drawAhead = 2
	// drawHedgePieces is how many times the time of a piece over the origin's link the second
	// drawers wait after the last piece's turn: those that are drawn last are on their way.
	drawHedgePieces = 4
	// drawerSilence is after how long without an answer the second drawer of a piece takes the
	// place of the first: several of the intervals at which it is asked. What killed agents
	// had still to draw must come before the origin may go away, or all wait for it until it is back.
	drawerSilence = 400 * time.Millisecond
	// paceLate is how long after a version was named an agent still keeps to the pace that
	// counts from its name. It hears of it and has the manifest within half of that; one that
	// comes later, as its box has just started, finds most pieces at others.
	paceLate = 500 * time.Millisecond
)

// paceFrom is from when the pace of the draws counts: for all agents alike from the name of
// the version, so that the origin's link is busy from the first to the last piece.
func paceFrom(named, now time.Time) time.Time {
	if age := now.Sub(named); named.IsZero() || age < 0 || age > paceLate {
		return now
	}
	return named
}

// linkOverhead is by how much more than its bytes a piece takes of a link: 40 of 1,500 bytes
// of each packet are heads of TCP and IP, and there are those of HTTP.
const linkOverhead = 1.04

// drawPace is how long after each other the pieces are drawn from the origin; 0 if
// the rate of its link is not known.
func drawPace(want *target) time.Duration {
	if want.origin.OriginMbps <= 0 {
		return 0
	}
	seconds := linkOverhead * float64(want.engine.ChunkSize) / (want.origin.OriginMbps * bytesPerMbit)
	return time.Duration(seconds * float64(time.Second))
}

// adoptPeers names the agents that take part.
func (f *fetch) adoptPeers() {
	if now, known := f.loader.target(); known {
		if sameServers(f.want.servers, now.servers) && len(f.addresses) > 0 {
			return
		}
		f.want = &now
	}
	records := f.loader.records(f.want)
	drawers := make([]weights.Peer, 0, len(records))
	for _, record := range records {
		drawers = append(drawers, weights.Peer{Box: string(record.Box), Remote: record.Region == regionFar})
		f.addresses[string(record.Box)] = record.Peers
	}
	f.picker.SetOriginFetchers(drawers)
	neighbours := f.loader.neighbours(f.want)
	peers := make([]weights.Peer, 0, len(neighbours))
	for _, record := range neighbours {
		peers = append(peers, weights.Peer{Box: string(record.Box), Remote: record.Region == regionFar})
	}
	f.picker.SetNeighbours(peers)
}

// sameServers reports whether two lists name the same servers.
func sameServers(a, b []fleet.Server) bool {
	return slices.EqualFunc(a, b, func(a, b fleet.Server) bool { return a.ID == b.ID })
}

// Regions as one box sees them: its own, and all others.
const (
	regionNear member.Region = "near"
	regionFar  member.Region = "far"
)

// records are the agents of the service as the members of a swarm. An agent is
// named by its address.
func (l *Loader) records(want *target) []member.Record {
	records := make([]member.Record, 0, len(want.servers))
	for _, server := range want.servers {
		address, ok := agentAddress(server.Address, l.options.AgentPort)
		if !ok {
			continue
		}
		region := regionFar
		if l.options.IsNear(server.Domain) {
			region = regionNear
		}
		records = append(records, member.Record{
			Box: member.BoxID(address), Peers: address, Region: region, FailureDomain: server.Domain,
		})
	}
	return records
}

// neighbours are the agents that pieces are exchanged with.
func (l *Loader) neighbours(want *target) []member.Record {
	self := member.Record{Box: member.BoxID(l.options.Agent), Region: regionNear}
	return member.Neighbours(self, l.records(want))
}

func (f *fetch) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clock := f.loader.options.Clock
	ticker := clock.NewTicker(fetchInterval)
	defer ticker.Stop()
	f.askHoldings(ctx)
	for f.picker.Missing() > 0 {
		f.startTasks(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-f.results:
			f.take(result)
		case result := <-f.early:
			f.take(result)
		case result := <-f.holdings:
			f.asked[result.box] = false
			f.picker.SetHoldings(result.box, result.held)
			if result.answered {
				f.picker.RecordResponse(result.box, f.loader.options.Clock.Now())
			}
		case <-ticker.Chan():
			f.adoptPeers()
			f.askHoldings(ctx)
		}
	}
	return nil
}

func (f *fetch) startTasks(ctx context.Context) {
	for {
		task, ok := f.picker.Next(f.loader.options.Clock.Now())
		if !ok {
			return
		}
		started := f.loader.options.Clock.Now()
		go func() {
			data, err := f.transfer(ctx, task)
			select {
			case f.results <- fetchResult{task, data, err, f.loader.options.Clock.Since(started)}:
			case <-ctx.Done():
			}
		}()
	}
}

// take keeps a piece that verifies and notes everything else as a fault.
func (f *fetch) take(result fetchResult) {
	from := "peer"
	if result.task.FromOrigin() {
		from = "origin"
	}
	err := result.err
	if err == nil {
		err = f.loader.store.Put(f.manifest, result.task.Chunk, result.data)
	}
	f.loader.options.Metrics.pieces.WithLabelValues(from, resultLabel(err)).Inc()
	now := f.loader.options.Clock.Now()
	f.adjustWindow(result)
	if err == nil {
		f.picker.Done(result.task, now)
		f.loader.options.Log.Debug().Int("piece", result.task.Chunk).Str("from", result.task.From).Uint64("version", uint64(f.version)).
			Int("missing", f.picker.Missing()).Dur("taken_ms", result.taken).Msg("piece taken")
		return
	}
	f.loader.options.Log.Info().Int("piece", result.task.Chunk).Str("from", result.task.From).
		Uint64("version", uint64(f.version)).Err(err).Msg("piece not taken")
	f.picker.Failed(result.task, now.Add(drawRetry))
}

// adjustWindow halves the window when a piece took long and opens it slowly. Pieces of the
// origin tell nothing of the box's own link: several are on that of the origin together, and
// each box that had drawn one fetched two pieces at once in place of four for a while.
func (f *fetch) adjustWindow(result fetchResult) {
	if result.task.FromOrigin() {
		return
	}
	if result.taken > pieceSlow {
		f.window = max(1, f.window/2)
	} else {
		f.window = min(fetchWindow, f.window+windowGrowth)
	}
	f.picker.SetTotalWindow(int(f.window))
}

// draw reads a piece from the origin.
func (l *Loader) draw(ctx context.Context, want *target, version fleet.WeightsVersion, piece int) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	return l.options.Origin.Chunk(callCtx, want.origin.Origin, want.model, version, piece)
}

func (f *fetch) transfer(ctx context.Context, task weights.FetchTask) ([]byte, error) {
	if task.FromOrigin() {
		return f.loader.draw(ctx, f.want, f.version, task.Chunk)
	}
	callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
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

// askHoldings asks each neighbour that has answered the last time.
func (f *fetch) askHoldings(ctx context.Context) {
	digest := f.manifest.Digest()
	for _, box := range f.picker.BoxesToPoll() {
		if f.asked[box] {
			continue
		}
		f.asked[box] = true
		address := f.addresses[box]
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, holdingsTimeout)
			defer cancel()
			result := holdingsResult{box: box}
			answer, err := wire.NewDRPCChunksClient(f.loader.options.Peers.Conn(address)).
				Holdings(callCtx, &wire.HoldingsRequest{Manifest: digest[:]})
			if err == nil {
				result.held, result.answered = answer.Held, true
			}
			select {
			case f.holdings <- result:
			case <-ctx.Done():
			}
		}()
	}
}

package direct

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// earlyFetches are the pieces that an agent draws from the origin while the manifest of a version
// that has just been named is on its way. What comes is checked against the manifest like any
// other piece.
//
// They guard against an origin that goes away when it has had the time for little more than
// one copy: its link would stand idle until manifests have come, and a single piece that is
// missing then keeps all servers from the version.
type earlyFetches struct {
	results chan fetchResult
	stop    context.CancelFunc

	mu      sync.Mutex
	stopped bool
	started map[int]time.Time
}

// startEarlyFetches begins to draw the pieces that this agent is the first to draw, each in its turn,
// until begun is called. A version that was named some time ago is not drawn early: others have
// its pieces.
func (l *Loader) startEarlyFetches(ctx context.Context, want *target, version fleet.WeightsVersion) *earlyFetches {
	e := &earlyFetches{started: make(map[int]time.Time), stop: func() {}}
	named, options := want.published.PublishedAt(version), l.pickerOptions(want)
	if scheduleStart(named, l.options.Clock.Now()) != named || options.OriginInterval == 0 || want.origin.Origin == "" {
		return e
	}
	var drawers []weights.Peer
	for _, record := range l.agentRecords(want) {
		drawers = append(drawers, weights.Peer{Box: string(record.Box)})
	}
	pieces := weights.FirstRankChunks(string(want.model), strconv.FormatUint(uint64(version), 10), string(l.options.Agent), drawers, want.engine.Chunks)
	e.results = make(chan fetchResult, len(pieces))
	waitCtx, stop := context.WithCancel(ctx)
	e.stop = stop
	l.tasks.Go(func(context.Context) {
		for _, piece := range pieces {
			sleep(waitCtx, l.options.Clock, named.Add(options.ScheduledOffset(piece)).Sub(l.options.Clock.Now()))
			if waitCtx.Err() != nil || !e.begin(piece, l.options.Clock.Now()) {
				return
			}
			l.tasks.Go(func(context.Context) { e.fetch(ctx, l, want, version, piece) })
		}
	})
	return e
}

// begin notes a draw that begins; false if no more are to begin.
func (e *earlyFetches) begin(piece int, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopped {
		e.started[piece] = now
	}
	return !e.stopped
}

func (e *earlyFetches) fetch(ctx context.Context, l *Loader, want *target, version fleet.WeightsVersion, piece int) {
	started := l.options.Clock.Now()
	data, err := l.fetchFromOrigin(ctx, want, version, piece)
	e.results <- fetchResult{weights.FetchTask{Chunk: piece}, data, err, l.options.Clock.Since(started)}
}

// stopNew ends beginning draws, and returns when each began that has.
func (e *earlyFetches) stopNew() map[int]time.Time {
	e.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	return maps.Clone(e.started)
}

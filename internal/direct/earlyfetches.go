package direct

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// earlyFetches fetches chunks of a newly published version from the origin before its manifest has been
// received. Each chunk is verified against the manifest later, like any other chunk.
//
// The origin may become unavailable after it has sent little more than one copy of the version. Without
// early fetches its link would be idle until the agents have the manifest, and a single missing chunk
// prevents all servers from loading the version.
type earlyFetches struct {
	results chan fetchResult
	stop    context.CancelFunc

	mu      sync.Mutex
	stopped bool
	started map[int]time.Time
}

// startEarlyFetches starts to fetch the chunks for which this agent is the first origin fetcher, each at its
// scheduled time, until stopNew is called. There are no early fetches if the
// version was published more than maxScheduleLag ago, because other agents already hold its chunks, or if the
// origin or the rate of its link is not known.
func (l *Loader) startEarlyFetches(ctx context.Context, desired *target, version fleet.WeightsVersion) *earlyFetches {
	e := &earlyFetches{started: make(map[int]time.Time), stop: func() {}}
	publishedAt, options := desired.published.PublishedAt(version), l.pickerOptions(desired)
	if scheduleStart(publishedAt, l.options.Clock.Now()) != publishedAt || options.OriginInterval == 0 || desired.origin.Origin == "" {
		return e
	}
	var fetchers []weights.Peer
	for _, record := range l.agentRecords(desired) {
		fetchers = append(fetchers, weights.Peer{Box: string(record.Box)})
	}
	chunks := weights.FirstRankChunks(string(desired.model), versionName(version), string(l.options.Agent), fetchers, desired.engine.Chunks)
	start := publishedAt
	if schedule, ok := l.originSchedule.version(version); ok {
		start = schedule.Start
	}
	e.results = make(chan fetchResult, len(chunks))
	waitCtx, stop := context.WithCancel(ctx)
	e.stop = stop
	l.tasks.Go(func(context.Context) {
		for _, chunk := range chunks {
			sleep(waitCtx, l.options.Clock, start.Add(options.ScheduledOffset(chunk)).Sub(l.options.Clock.Now()))
			if waitCtx.Err() != nil || !e.begin(chunk, l.options.Clock.Now()) {
				return
			}
			l.tasks.Go(func(context.Context) { e.fetch(ctx, l, desired, version, chunk) })
		}
	})
	return e
}

// begin records the start of a fetch and reports whether the fetch may start. It returns false after stopNew.
func (e *earlyFetches) begin(chunk int, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopped {
		e.started[chunk] = now
	}
	return !e.stopped
}

// fetch fetches one chunk from the origin and sends the result to results.
func (e *earlyFetches) fetch(ctx context.Context, l *Loader, desired *target, version fleet.WeightsVersion, chunk int) {
	started := l.options.Clock.Now()
	data, err := l.fetchFromOrigin(ctx, desired, version, chunk)
	e.results <- fetchResult{weights.FetchTask{Chunk: chunk}, data, err, l.options.Clock.Since(started)}
}

// stopNew prevents further fetches from starting and returns the start time of each fetch that has started,
// by chunk. Fetches in progress continue.
func (e *earlyFetches) stopNew() map[int]time.Time {
	e.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	return maps.Clone(e.started)
}

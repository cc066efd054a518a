package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// holdingsInterval is how often other boxes are polled for the chunks that they hold of a
	// manifest with up to holdingsBaseChunks chunks. The interval grows with the number of
	// chunks above that, so that the responses use the same bandwidth.
	holdingsInterval   = 200 * time.Millisecond
	holdingsBaseChunks = 500
	// stallTimeout cancels a fetch from a peer that sends no data for this long. It also
	// limits a Holdings call.
	stallTimeout = 2 * time.Second
	// sourceTimeout limits the fetch of one chunk from the weight sources.
	sourceTimeout = 30 * time.Second
	// fetchRetryDelay is the delay before a failed fetch is retried.
	fetchRetryDelay = time.Second
	// progressSteps is the number of steps in which download progress is reported.
	progressSteps = 4
)

// chunkFetcher fetches the missing chunks of one version from neighbours and weight sources. All
// of its state belongs to the goroutine of run; transfers send their results to it.
type chunkFetcher struct {
	loader          *Loader
	job             *versionJob
	manifest        *weights.Manifest
	picker          *weights.Picker
	results         chan fetchResult
	holdings        chan holdingsResult
	holdingsPending map[string]bool
	reportedStep    int
	// originFetchersHash is the hash of the origin fetchers that the picker uses.
	originFetchersHash uint64
}

type fetchResult struct {
	task weights.FetchTask
	data []byte
	err  error
}

type holdingsResult struct {
	box  string
	held weights.Bits
	err  error
}

func newChunkFetcher(l *Loader, job *versionJob, manifest *weights.Manifest) *chunkFetcher {
	return &chunkFetcher{
		loader: l, job: job, manifest: manifest,
		picker: weights.NewPicker(manifest, string(l.options.Self), l.options.Store.Held(manifest.Digest()),
			l.options.Picker, l.options.Clock.Now()),
		results:         make(chan fetchResult),
		holdings:        make(chan holdingsResult),
		holdingsPending: make(map[string]bool),
	}
}

// run fetches chunks until the box holds all of them, the store is full or the context ends.
func (f *chunkFetcher) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clock := f.loader.options.Clock
	ticker := clock.NewTicker(holdingsPollInterval(len(f.manifest.Chunks)))
	defer ticker.Stop()
	f.applySwarm()
	f.requestHoldings(ctx)
	for f.picker.Missing() > 0 {
		f.startTransfers(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-f.results:
			if err := f.handleResult(result); err != nil {
				return err
			}
		case result := <-f.holdings:
			f.handleHoldings(result)
		case <-f.job.swarmUpdated:
			f.applySwarm()
		case <-ticker.Chan():
			f.requestHoldings(ctx)
		}
	}
	return nil
}

func holdingsPollInterval(chunks int) time.Duration {
	return holdingsInterval * time.Duration(max(holdingsBaseChunks, chunks)) / holdingsBaseChunks
}

// applySwarm passes the neighbours and origin fetchers received from monitors to the picker. It
// sets the origin fetchers, whose order must be computed, only when they have changed, because
// every heartbeat response updates the swarm.
func (f *chunkFetcher) applySwarm() {
	f.job.mu.Lock()
	defer f.job.mu.Unlock()
	f.picker.SetNeighbours(f.job.neighbours)
	if len(f.job.originFetchers) > 0 && f.job.originFetchersHash != f.originFetchersHash {
		f.originFetchersHash = f.job.originFetchersHash
		f.picker.SetOriginFetchers(f.job.originFetchers)
	}
}

func (f *chunkFetcher) startTransfers(ctx context.Context) {
	for {
		task, ok := f.picker.Next(f.loader.options.Clock.Now())
		if !ok {
			return
		}
		go func() {
			data, err := f.fetchChunk(ctx, task)
			select {
			case f.results <- fetchResult{task, data, err}:
			case <-ctx.Done():
			}
		}()
	}
}

// handleResult stores a fetched chunk if its digest is correct. Otherwise it counts a fault and
// schedules a retry. It returns an error only if the store is full.
func (f *chunkFetcher) handleResult(result fetchResult) error {
	metrics := f.loader.options.Metrics
	from := "peer"
	if result.task.FromOrigin() {
		from = "source"
	}
	err := result.err
	if err == nil {
		err = f.loader.options.Store.Put(f.manifest, result.task.Chunk, result.data)
	}
	switch {
	case err == nil:
		metrics.chunkBytes.WithLabelValues(from).Add(float64(len(result.data)))
		f.picker.Done(result.task, f.loader.options.Clock.Now())
		f.reportProgress()
		return nil
	case errors.Is(err, weights.ErrStoreFull):
		return err
	}
	metrics.chunkFaults.WithLabelValues(from, faultLabel(err)).Inc()
	f.loader.options.Log.Debug().Int("chunk", result.task.Chunk).Str("from", result.task.From).Err(err).Msg("fetching a chunk failed; it will be retried")
	f.picker.Failed(result.task, f.loader.options.Clock.Now().Add(fetchRetryDelay))
	return nil
}

func faultLabel(err error) string {
	switch {
	case errors.Is(err, weights.ErrDigestMismatch):
		return "digest"
	case errors.Is(err, errStalled):
		return "stalled"
	case errors.Is(err, provider.ErrRateLimited):
		return "limited"
	case errors.Is(err, errDial):
		return "unreachable"
	}
	return "broken"
}

func (f *chunkFetcher) reportProgress() {
	total := len(f.manifest.Chunks)
	held := total - f.picker.Missing()
	if step := held * progressSteps / total; step != f.reportedStep {
		f.reportedStep = step
		f.loader.setCopy(f.job, member.PhaseFetching, held, "")
	}
}

func (f *chunkFetcher) fetchChunk(ctx context.Context, task weights.FetchTask) ([]byte, error) {
	if task.FromOrigin() {
		return f.fetchFromSource(ctx, task.Chunk)
	}
	address, ok := f.job.address(task.From)
	if !ok {
		return nil, fmt.Errorf("no address of %s: %w", task.From, errDial)
	}
	return f.fetchFromPeer(ctx, address, task.Chunk)
}

// fetchFromSource reads a chunk from the weight store, or from the origin if that fails.
func (f *chunkFetcher) fetchFromSource(ctx context.Context, index int) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	chunk := f.manifest.Chunks[index]
	file := f.manifest.Files[chunk.File]
	return trySources(f.loader.options.Sources, func(source provider.WeightSource) ([]byte, error) {
		return source.Range(callCtx, f.job.pinned.Model, file.Blob, chunk.Offset, chunk.Size)
	})
}

// errStalled means that a peer sent no data for stallTimeout.
var errStalled = errors.New("transfer stalled")

func (f *chunkFetcher) fetchFromPeer(ctx context.Context, address member.Address, index int) ([]byte, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := f.loader.options.Clock.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	digest := f.manifest.Digest()
	stream, err := wire.NewDRPCChunksClient(f.loader.options.Peers.Conn(address)).
		Fetch(callCtx, &wire.FetchRequest{Manifest: digest[:], Chunk: uint32(index)})
	if err != nil {
		return nil, err
	}
	size := f.manifest.Chunks[index].Size
	data := make([]byte, 0, size)
	for {
		frame, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case context.Cause(callCtx) != nil:
			return nil, context.Cause(callCtx)
		case err != nil:
			return nil, err
		case int64(len(data)+len(frame.Data)) > size:
			return nil, fmt.Errorf("chunk %d is longer than %d bytes: %w", index, size, weights.ErrDigestMismatch)
		}
		data = append(data, frame.Data...)
		stallTimer.Reset(stallTimeout)
	}
}

// requestHoldings polls the boxes chosen by the picker for the chunks that they hold. It skips a
// box whose previous poll is still pending.
func (f *chunkFetcher) requestHoldings(ctx context.Context) {
	digest := f.manifest.Digest()
	for _, box := range f.picker.BoxesToPoll() {
		address, ok := f.job.address(box)
		if f.holdingsPending[box] || !ok {
			continue
		}
		f.holdingsPending[box] = true
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, stallTimeout)
			defer cancel()
			response, err := wire.NewDRPCChunksClient(f.loader.options.Peers.Conn(address)).
				Holdings(callCtx, &wire.HoldingsRequest{Manifest: digest[:]})
			result := holdingsResult{box: box, err: err}
			if err == nil {
				result.held = response.Held
			}
			select {
			case f.holdings <- result:
			case <-ctx.Done():
			}
		}()
	}
}

func (f *chunkFetcher) handleHoldings(result holdingsResult) {
	f.holdingsPending[result.box] = false
	if result.err != nil {
		f.picker.SetHoldings(result.box, nil)
		return
	}
	f.picker.SetHoldings(result.box, result.held)
}

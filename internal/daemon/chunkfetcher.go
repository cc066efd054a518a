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
	// holdingsInterval is how often neighbours are asked what they hold, for a
	// manifest of up to holdingsBaseChunks chunks. Longer ones are asked less often,
	// so that the answers take the same bandwidth.
	holdingsInterval   = 200 * time.Millisecond
	holdingsBaseChunks = 500
	// stallTimeout ends a fetch from a peer that gives nothing for so long.
	stallTimeout = 2 * time.Second
	// sourceTimeout ends a draw from a source.
	sourceTimeout = 30 * time.Second
	// fetchRetryDelay is the wait before a draw that failed is tried again.
	fetchRetryDelay = time.Second
	// progressSteps is in how many steps progress is told.
	progressSteps = 4
)

// chunkFetcher gets the missing chunks of one version. One goroutine makes all
// decisions; the transfers tell it their results.
type chunkFetcher struct {
	loader          *Loader
	job             *versionJob
	manifest        *weights.Manifest
	picker          *weights.Picker
	results         chan fetchResult
	holdings        chan holdingsResult
	holdingsPending map[string]bool
	reportedStep    int
	// originFetchersHash names the drawers that the picker has.
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

func newChunkFetcher(c *Loader, job *versionJob, manifest *weights.Manifest) *chunkFetcher {
	return &chunkFetcher{
		loader: c, job: job, manifest: manifest,
		picker: weights.NewPicker(manifest, string(c.options.Self), c.options.Store.Held(manifest.Digest()),
			c.options.Picker, c.options.Clock.Now()),
		results:         make(chan fetchResult),
		holdings:        make(chan holdingsResult),
		holdingsPending: make(map[string]bool),
	}
}

// run returns when every chunk is held, the store is full or the context ends.
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

// applySwarm takes over what monitors have told. The order of drawers is worked
// out only when they have changed: every heartbeat names the neighbours anew.
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

// handleResult keeps a chunk that verifies and notes everything else as a fault.
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
	f.loader.options.Log.Debug().Int("chunk", result.task.Chunk).Str("from", result.task.From).Err(err).Msg("chunk not taken")
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
	if part := held * progressSteps / total; part != f.reportedStep {
		f.reportedStep = part
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

// fetchFromSource reads a chunk from the weight store, else from the origin.
func (f *chunkFetcher) fetchFromSource(ctx context.Context, index int) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	chunk := f.manifest.Chunks[index]
	file := f.manifest.Files[chunk.File]
	return trySources(f.loader.options.Sources, func(source provider.WeightSource) ([]byte, error) {
		return source.Range(callCtx, f.job.pinned.Model, file.Blob, chunk.Offset, chunk.Size)
	})
}

// errStalled reports a peer that gave nothing for stallTimeout.
var errStalled = errors.New("transfer stalled")

func (f *chunkFetcher) fetchFromPeer(ctx context.Context, address member.Address, index int) ([]byte, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := f.loader.options.Clock.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
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
		stall.Reset(stallTimeout)
	}
}

// requestHoldings asks each neighbour that has answered the last time.
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
			answer, err := wire.NewDRPCChunksClient(f.loader.options.Peers.Conn(address)).
				Holdings(callCtx, &wire.HoldingsRequest{Manifest: digest[:]})
			result := holdingsResult{box: box, err: err}
			if err == nil {
				result.held = answer.Held
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

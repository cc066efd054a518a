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
	// manifest of up to holdingsChunks chunks. Longer ones are asked less often,
	// so that the answers take the same bandwidth.
	holdingsInterval = 200 * time.Millisecond
	holdingsChunks   = 500
	// stallTimeout ends a fetch from a peer that gives nothing for so long.
	stallTimeout = 2 * time.Second
	// drawTimeout ends a draw from a source.
	drawTimeout = 30 * time.Second
	// drawRetry is the wait before a draw that failed is tried again.
	drawRetry = time.Second
	// progressParts is in how many steps progress is told.
	progressParts = 4
)

// fetch gets the missing chunks of one version. One goroutine makes all
// decisions; the transfers tell it their results.
type fetch struct {
	copier   *Copier
	job      *copyJob
	manifest *weights.Manifest
	picker   *weights.Picker
	results  chan fetchResult
	holdings chan holdingsResult
	asked    map[string]bool
	told     int
	// drawerHash names the drawers that the picker has.
	drawerHash uint64
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

func newFetch(c *Copier, job *copyJob, manifest *weights.Manifest) *fetch {
	return &fetch{
		copier: c, job: job, manifest: manifest,
		picker: weights.NewPicker(manifest, string(c.options.Self), c.options.Store.Held(manifest.Digest()),
			c.options.Picker, c.options.Clock.Now()),
		results:  make(chan fetchResult),
		holdings: make(chan holdingsResult),
		asked:    make(map[string]bool),
	}
}

// run returns when every chunk is held, the store is full or the context ends.
func (f *fetch) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clock := f.copier.options.Clock
	ticker := clock.NewTicker(askInterval(len(f.manifest.Chunks)))
	defer ticker.Stop()
	f.adoptSwarm()
	f.askHoldings(ctx)
	for f.picker.Missing() > 0 {
		f.startTasks(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-f.results:
			if err := f.take(result); err != nil {
				return err
			}
		case result := <-f.holdings:
			f.takeHoldings(result)
		case <-f.job.updated:
			f.adoptSwarm()
		case <-ticker.Chan():
			f.askHoldings(ctx)
		}
	}
	return nil
}

func askInterval(chunks int) time.Duration {
	return holdingsInterval * time.Duration(max(holdingsChunks, chunks)) / holdingsChunks
}

// adoptSwarm takes over what monitors have told. The order of drawers is worked
// out only when they have changed: every heartbeat names the neighbours anew.
func (f *fetch) adoptSwarm() {
	f.job.mu.Lock()
	defer f.job.mu.Unlock()
	f.picker.SetNeighbours(f.job.neighbours)
	if len(f.job.drawers) > 0 && f.job.drawerHash != f.drawerHash {
		f.drawerHash = f.job.drawerHash
		f.picker.SetOriginFetchers(f.job.drawers)
	}
}

func (f *fetch) startTasks(ctx context.Context) {
	for {
		task, ok := f.picker.Next(f.copier.options.Clock.Now())
		if !ok {
			return
		}
		go func() {
			data, err := f.transfer(ctx, task)
			select {
			case f.results <- fetchResult{task, data, err}:
			case <-ctx.Done():
			}
		}()
	}
}

// take keeps a chunk that verifies and notes everything else as a fault.
func (f *fetch) take(result fetchResult) error {
	metrics := f.copier.options.Metrics
	from := "peer"
	if result.task.FromOrigin() {
		from = "source"
	}
	err := result.err
	if err == nil {
		err = f.copier.options.Store.Put(f.manifest, result.task.Chunk, result.data)
	}
	switch {
	case err == nil:
		metrics.chunkBytes.WithLabelValues(from).Add(float64(len(result.data)))
		f.picker.Done(result.task, f.copier.options.Clock.Now())
		f.tellProgress()
		return nil
	case errors.Is(err, weights.ErrStoreFull):
		return err
	}
	metrics.chunkFaults.WithLabelValues(from, faultLabel(err)).Inc()
	f.copier.options.Log.Debug().Int("chunk", result.task.Chunk).Str("from", result.task.From).Err(err).Msg("chunk not taken")
	f.picker.Failed(result.task, f.copier.options.Clock.Now().Add(drawRetry))
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

func (f *fetch) tellProgress() {
	total := len(f.manifest.Chunks)
	held := total - f.picker.Missing()
	if part := held * progressParts / total; part != f.told {
		f.told = part
		f.copier.setCopy(f.job, member.PhaseFetching, held, "")
	}
}

func (f *fetch) transfer(ctx context.Context, task weights.FetchTask) ([]byte, error) {
	if task.FromOrigin() {
		return f.draw(ctx, task.Chunk)
	}
	address, ok := f.job.address(task.From)
	if !ok {
		return nil, fmt.Errorf("no address of %s: %w", task.From, errDial)
	}
	return f.fromPeer(ctx, address, task.Chunk)
}

// draw reads a chunk from the weight store, else from the origin.
func (f *fetch) draw(ctx context.Context, index int) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	chunk := f.manifest.Chunks[index]
	file := f.manifest.Files[chunk.File]
	return fromSources(f.copier.options.Sources, func(source provider.WeightSource) ([]byte, error) {
		return source.Range(callCtx, f.job.weights.Model, file.Blob, chunk.Offset, chunk.Size)
	})
}

// errStalled reports a peer that gave nothing for stallTimeout.
var errStalled = errors.New("transfer stalled")

func (f *fetch) fromPeer(ctx context.Context, address member.Address, index int) ([]byte, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := f.copier.options.Clock.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	digest := f.manifest.Digest()
	stream, err := wire.NewDRPCChunksClient(f.copier.options.Peers.Conn(address)).
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

// askHoldings asks each neighbour that has answered the last time.
func (f *fetch) askHoldings(ctx context.Context) {
	digest := f.manifest.Digest()
	for _, box := range f.picker.BoxesToPoll() {
		address, ok := f.job.address(box)
		if f.asked[box] || !ok {
			continue
		}
		f.asked[box] = true
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, stallTimeout)
			defer cancel()
			answer, err := wire.NewDRPCChunksClient(f.copier.options.Peers.Conn(address)).
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

func (f *fetch) takeHoldings(result holdingsResult) {
	f.asked[result.box] = false
	if result.err != nil {
		f.picker.SetHoldings(result.box, nil)
		return
	}
	f.picker.SetHoldings(result.box, result.held)
}

package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	// pullDelay is how long another box must be ahead before its facts are pulled, if this box reads the store
	// itself or if the other box is in another region. Most facts arrive from the store at the same moment, and
	// then from a box of the own region. Without the delay, two fifths of the facts crossed priced links.
	pullDelay = 300 * time.Millisecond
	// pullTimeout limits one pull of facts. A configuration with thousands of routes takes some hundred
	// milliseconds on the narrowest links.
	pullTimeout = 2500 * time.Millisecond
	// pullHedgeDelay is the time without a response after which facts are also pulled from a second box, and after
	// twice that from a third. A change must be in force within two seconds.
	pullHedgeDelay = 300 * time.Millisecond
	// maxConcurrentPulls bounds the concurrent pulls, as a large configuration may be slow because the link is
	// narrow.
	maxConcurrentPulls = 3
)

// repairer pulls facts that this box lacks from other entry boxes.
type repairer struct {
	boxes *EntryBoxes
	// behindSince is the time since which another box has been ahead, or zero if none is.
	behindSince time.Time
	// pending are the boxes that have not responded yet, and lastPull is when the last pull started.
	pending  map[member.Address]bool
	lastPull time.Time
	results  chan pullResult
}

// pullResult is the result of one pull.
type pullResult struct {
	from member.Address
	err  error
}

// repair pulls facts from another box when that box has been ahead for a while.
func (e *EntryBoxes) repair(ctx context.Context) {
	r := &repairer{boxes: e, pending: make(map[member.Address]bool), results: make(chan pullResult)}
	ticker := e.clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-r.results:
			delete(r.pending, result.from)
			if result.err != nil {
				e.log.Warn().Str("address", string(result.from)).Err(result.err).Msg("failed to read facts from another entry box")
			}
		case <-ticker.Chan():
			if from, ok := r.nextSource(e.clock.Now()); ok {
				r.pull(from)
			}
		}
	}
}

// nextSource returns the box from which to pull now. ok is false if there is none.
func (r *repairer) nextSource(now time.Time) (from member.Address, ok bool) {
	source, ok := r.boxes.pickNewer(r.pending)
	if !ok {
		r.behindSince = time.Time{}
		return "", false
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	switch pending := len(r.pending); {
	case pending >= maxConcurrentPulls:
		return "", false
	case pending > 0:
		return source.Peers, now.Sub(r.lastPull) >= time.Duration(pending)*pullHedgeDelay
	case source.Region != r.boxes.self.Region || r.boxes.isReader():
		return source.Peers, now.Sub(r.behindSince) >= pullDelay
	default:
		return source.Peers, true
	}
}

// pull starts to pull facts from a box.
func (r *repairer) pull(from member.Address) {
	r.pending[from], r.lastPull, r.behindSince = true, r.boxes.clock.Now(), time.Time{}
	r.boxes.tasks.Go(func(ctx context.Context) {
		err := r.boxes.pull(ctx, from)
		select {
		case r.results <- pullResult{from: from, err: err}:
		case <-ctx.Done():
		}
	})
}

// pickNewer returns a random box that is ahead of this one and is not excluded, and prefers boxes of the own
// region. ok is false if there is none. The choice is random so that boxes that are behind do not all pull a large
// configuration from the same box.
func (e *EntryBoxes) pickNewer(exclude map[member.Address]bool) (source EntryBox, ok bool) {
	own := e.fleetState.position()
	var local, remote []EntryBox
	for _, box := range e.Boxes() {
		switch {
		case !own.isBehind(box.Watermarks) || exclude[box.Peers]:
		case box.Region == e.self.Region:
			local = append(local, box)
		default:
			remote = append(remote, box)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return EntryBox{}, false
	}
	return local[rand.IntN(len(local))], true
}

// pullFacts pulls all new facts from another entry box, batch by batch.
func (e *EntryBoxes) pullFacts(ctx context.Context, from member.Address) error {
	callCtx, cancel := clockwork.WithTimeout(ctx, e.clock, pullTimeout)
	defer cancel()
	conn, err := e.peers.Dial(callCtx, from)
	if err != nil {
		return err
	}
	for {
		startedAt, cursor, receiver := e.clock.Now(), e.cursor(from), e.fleetState.mirror.Receiver()
		stream, err := wire.NewDRPCFleetClient(conn).Facts(callCtx, &wire.FactsRequest{
			Box: string(e.self.Box), Region: string(e.self.Region), Instance: cursor.Instance, Cursor: cursor.Sequence, Once: true,
			Complete: receiver.Complete, Orders: receiver.Orders, Values: valuesToWire(receiver.Values),
		})
		if err != nil {
			return err
		}
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		own := e.fleetState.Watermarks()
		e.log.Info().Str("address", string(from)).Dur("taken_ms", e.clock.Since(startedAt)).Int("items", len(batch.Items)).Int("bytes", proto.Size(batch)).
			Int("deltas", countDeltas(batch)).
			Stringer("newest", own.Newest).Stringer("complete", own.Complete).Msg("facts read from another entry box")
		if err := e.applyBatch(from, batch); err != nil {
			return err
		}
		if len(batch.Items) < maxBatchItems {
			return nil
		}
	}
}

// cursor returns the position up to which the facts of another entry box were read.
func (e *EntryBoxes) cursor(from member.Address) state.Cursor {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cursors[from]
}

// applyBatch merges a batch of facts of another entry box. If it returns an error, some facts have not been merged, and the
// next pull from the same box reads the batch again.
func (e *EntryBoxes) applyBatch(from member.Address, batch *wire.FactsBatch) error {
	// Ages are merged before facts, because a version without an age gets the assumed age.
	e.fleetState.MergeVersionAges(agesFromWire(batch.Ages), string(from))
	if err := e.fleetState.ApplyTransfer(transferFromWire(batch), string(from)); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cursors[from] = state.Cursor{Instance: batch.Instance, Sequence: batch.Cursor}
	return nil
}

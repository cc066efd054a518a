package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	// pullDelay is for how long another box must know more before its facts are asked for by a
	// box that reads the store itself, or that would have to ask one of another region: most come
	// from the store at the same moment, and then from a box of the own region. Two fifths of
	// the facts crossed priced links when all were asked at once.
	pullDelay = 300 * time.Millisecond
	// pullTimeout bounds asking for facts: a configuration of thousands of routes
	// takes some hundred milliseconds on the narrowest links.
	pullTimeout = 2500 * time.Millisecond
	// pullHedgeDelay is after how long without an answer another box is asked too, and twice that
	// for a third one: a change has to be in force in two seconds.
	pullHedgeDelay = 300 * time.Millisecond
	// maxConcurrentPulls bounds how many are asked at once, as a large configuration may be slow to
	// come because the link is narrow.
	maxConcurrentPulls = 3
)

// repairer is whom this box asks for facts that it does not know.
type repairer struct {
	boxes *EntryBoxes
	// behindSince is since when another box has known more; zero if none does.
	behindSince time.Time
	// pending are the boxes that have not answered yet, lastPull when the last one was asked.
	pending  map[member.Address]bool
	lastPull time.Time
	results  chan pullResult
}

// pullResult is what became of asking another box.
type pullResult struct {
	from member.Address
	err  error
}

// repair asks another box for its facts when it has known more for a while.
func (e *EntryBoxes) repair(ctx context.Context) {
	r := &repairer{boxes: e, pending: make(map[member.Address]bool), results: make(chan pullResult)}
	ticker := e.clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case answer := <-r.results:
			delete(r.pending, answer.from)
			if answer.err != nil {
				e.log.Warn().Str("address", string(answer.from)).Err(answer.err).Msg("facts not read from another entry box")
			}
		case <-ticker.Chan():
			if from, ok := r.nextSource(e.clock.Now()); ok {
				r.pull(from)
			}
		}
	}
}

// nextSource returns whom to ask now; ok is false if nobody.
func (r *repairer) nextSource(now time.Time) (from member.Address, ok bool) {
	newest, ok := r.boxes.pickNewer(r.pending)
	if !ok {
		r.behindSince = time.Time{}
		return "", false
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	switch waiting := len(r.pending); {
	case waiting >= maxConcurrentPulls:
		return "", false
	case waiting > 0:
		return newest.Peers, now.Sub(r.lastPull) >= time.Duration(waiting)*pullHedgeDelay
	case newest.Region != r.boxes.self.Region || r.boxes.isReader():
		return newest.Peers, now.Sub(r.behindSince) >= pullDelay
	default:
		return newest.Peers, true
	}
}

// pull asks a box.
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

// pickNewer returns a box that knows more than this one and is not asked yet, one of the own
// region if there is one; ok is false if none does. It is drawn, so that all that are behind
// do not ask the same box for a large configuration.
func (e *EntryBoxes) pickNewer(asked map[member.Address]bool) (newest EntryBox, ok bool) {
	own := e.fleetState.Watermarks()
	var near, far []EntryBox
	for _, box := range e.Boxes() {
		switch {
		case !own.isBehind(box.Watermarks) || asked[box.Peers]:
		case box.Region == e.self.Region:
			near = append(near, box)
		default:
			far = append(far, box)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return EntryBox{}, false
	}
	return near[rand.IntN(len(near))], true
}

// pullFacts is the pull of a running process.
func (e *EntryBoxes) pullFacts(ctx context.Context, from member.Address) error {
	callCtx, cancel := clockwork.WithTimeout(ctx, e.clock, pullTimeout)
	defer cancel()
	conn, err := e.peers.Dial(callCtx, from)
	if err != nil {
		return err
	}
	for {
		began, cursor := e.clock.Now(), e.cursor(from)
		stream, err := wire.NewDRPCFleetClient(conn).Facts(callCtx, &wire.FactsRequest{
			Box: string(e.self.Box), Instance: cursor.Instance, Cursor: cursor.Sequence, Once: true,
		})
		if err != nil {
			return err
		}
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		own := e.fleetState.Watermarks()
		e.log.Info().Str("address", string(from)).Dur("taken_ms", e.clock.Since(began)).Int("items", len(batch.Items)).
			Uint64("newest", uint64(own.Newest)).Uint64("complete", uint64(own.Complete)).Msg("facts read from another entry box")
		e.applyBatch(from, batch)
		if len(batch.Items) < maxBatchItems {
			return nil
		}
	}
}

// cursor returns how far the facts of another entry box were read.
func (e *EntryBoxes) cursor(from member.Address) state.Cursor {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cursors[from]
}

// applyBatch takes facts of another entry box.
func (e *EntryBoxes) applyBatch(from member.Address, batch *wire.FactsBatch) {
	e.mu.Lock()
	e.cursors[from] = state.Cursor{Instance: batch.Instance, Sequence: batch.Cursor}
	e.mu.Unlock()
	// The ages first: a name without one counts as an old one.
	e.fleetState.MergeVersionAges(agesFromWire(batch.Ages), string(from))
	e.fleetState.ApplyItems(itemsFromWire(batch.Items), string(from))
	e.fleetState.MarkComplete(fleet.Revision(batch.Complete))
}

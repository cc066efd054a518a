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
	// factsGap is for how long another box must know more before its facts are asked for by a
	// box that reads the store itself, or that would have to ask one of another region: most come
	// from the store at the same moment, and then from a box of the own region. Two fifths of
	// the facts crossed priced links when all were asked at once.
	factsGap = 300 * time.Millisecond
	// pullTimeout bounds asking for facts: a configuration of thousands of routes
	// takes some hundred milliseconds on the narrowest links.
	pullTimeout = 2500 * time.Millisecond
	// pullOverdue is after how long without an answer another box is asked too, and twice that
	// for a third one: a change has to be in force in two seconds.
	pullOverdue = 300 * time.Millisecond
	// pullsAtOnce bounds how many are asked at once, as a large configuration may be slow to
	// come because the link is narrow.
	pullsAtOnce = 3
)

// repairer is whom this box asks for facts that it does not know.
type repairer struct {
	boxes *EntryBoxes
	// behindSince is since when another box has known more; zero if none does.
	behindSince time.Time
	// asked are the boxes that have not answered yet, askedAt when the last one was asked.
	asked    map[member.Address]bool
	askedAt  time.Time
	answered chan pullAnswer
}

// pullAnswer is what became of asking another box.
type pullAnswer struct {
	from member.Address
	err  error
}

// repair asks another box for its facts when it has known more for a while.
func (e *EntryBoxes) repair(ctx context.Context) {
	r := &repairer{boxes: e, asked: make(map[member.Address]bool), answered: make(chan pullAnswer)}
	ticker := e.clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case answer := <-r.answered:
			delete(r.asked, answer.from)
			if answer.err != nil {
				e.log.Warn().Str("address", string(answer.from)).Err(answer.err).Msg("facts not read from another entry box")
			}
		case <-ticker.Chan():
			if from, ok := r.next(e.clock.Now()); ok {
				r.ask(from)
			}
		}
	}
}

// next returns whom to ask now; ok is false if nobody.
func (r *repairer) next(now time.Time) (from member.Address, ok bool) {
	newest, ok := r.boxes.newest(r.asked)
	if !ok {
		r.behindSince = time.Time{}
		return "", false
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	switch waiting := len(r.asked); {
	case waiting >= pullsAtOnce:
		return "", false
	case waiting > 0:
		return newest.Peers, now.Sub(r.askedAt) >= time.Duration(waiting)*pullOverdue
	case newest.Region != r.boxes.self.Region || r.boxes.isReader():
		return newest.Peers, now.Sub(r.behindSince) >= factsGap
	default:
		return newest.Peers, true
	}
}

// ask asks a box.
func (r *repairer) ask(from member.Address) {
	r.asked[from], r.askedAt, r.behindSince = true, r.boxes.clock.Now(), time.Time{}
	r.boxes.duties.Go(func(ctx context.Context) {
		err := r.boxes.pull(ctx, from)
		select {
		case r.answered <- pullAnswer{from: from, err: err}:
		case <-ctx.Done():
		}
	})
}

// newest returns a box that knows more than this one and is not asked yet, one of the own
// region if there is one; ok is false if none does. It is drawn, so that all that are behind
// do not ask the same box for a large configuration.
func (e *EntryBoxes) newest(asked map[member.Address]bool) (newest EntryBox, ok bool) {
	own := e.facts.Extent()
	var near, far []EntryBox
	for _, box := range e.Boxes() {
		switch {
		case !own.isBehind(box.Extent) || asked[box.Peers]:
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

// readFacts is the pull of a running process.
func (e *EntryBoxes) readFacts(ctx context.Context, from member.Address) error {
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
		own := e.facts.Extent()
		e.log.Info().Str("address", string(from)).Dur("taken_ms", e.clock.Since(began)).Int("items", len(batch.Items)).
			Uint64("newest", uint64(own.Newest)).Uint64("complete", uint64(own.Complete)).Msg("facts read from another entry box")
		e.takeBatch(from, batch)
		if len(batch.Items) < factsLimit {
			return nil
		}
	}
}

// cursor returns how far the facts of another entry box were read.
func (e *EntryBoxes) cursor(from member.Address) state.Cursor {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pulled[from]
}

// takeBatch takes facts of another entry box.
func (e *EntryBoxes) takeBatch(from member.Address, batch *wire.FactsBatch) {
	e.mu.Lock()
	e.pulled[from] = state.Cursor{Instance: batch.Instance, Sequence: batch.Cursor}
	e.mu.Unlock()
	// The ages first: a name without one counts as an old one.
	e.facts.LearnVersions(agesFromWire(batch.Ages), string(from))
	e.facts.ApplyItems(itemsFromWire(batch.Items), string(from))
	e.facts.CompleteUpTo(fleet.Revision(batch.Complete))
}

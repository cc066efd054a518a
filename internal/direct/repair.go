package direct

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

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
	// Boxes of one region pull from other regions one after the other, so that a change crosses the links between two
	// regions once or twice, and then goes from box to box within the region. The first maxRemotePullers by rank wait
	// for remotePullStep longer each. All others follow, up to maxRemotePullDelay: half of the time within which a change
	// must be in force is for the report to other boxes.
	remotePullStep     = 100 * time.Millisecond
	maxRemotePullers   = 4
	maxRemotePullDelay = time.Second
	// pullTimeout is the time after which a pull of which nothing more arrives is given up.
	pullTimeout = 2500 * time.Millisecond
	// pullHedgeDelay is the time without any progress after which facts are also pulled from a second box, and after
	// twice that from a third. A change must be in force within two seconds.
	pullHedgeDelay = 300 * time.Millisecond
	// slowPullDelay is the time after which facts are also pulled from a second box although the first one makes
	// progress: either that box is slow, or the link of this one is.
	slowPullDelay = 500 * time.Millisecond
	// hedgeTrial is the time after which the slower of two pulls is cancelled, and hedgeAdvantage how many times as fast
	// as the first one the second must be to replace it: two pulls share the link of this box.
	hedgeTrial     = 300 * time.Millisecond
	hedgeAdvantage = 2
	// maxConcurrentPulls bounds the concurrent pulls.
	maxConcurrentPulls = 3
	// minRefusalDelay is the mean time after which a box that has refused a pull is used again. It doubles with each
	// further refusal, up to maxRefusalDelay.
	minRefusalDelay = 60 * time.Millisecond
	maxRefusalDelay = 120 * time.Millisecond
)

// The reasons for which pulls are cancelled.
var (
	errStalled    = errors.New("nothing has arrived for too long")
	errSlowerPull = errors.New("another box sends the facts")
	// errBusy is the result of a pull that the other box refused.
	errBusy = errors.New("the box sends facts to many others")
)

// repairer pulls facts that this box lacks from other entry boxes.
type repairer struct {
	boxes *EntryBoxes
	// behindSince is the time since which another box has been ahead and no pull was completed, or zero if none is ahead.
	behindSince time.Time
	// pending are the pulls in progress.
	pending map[member.Address]*activePull
	// refused are the boxes that have refused the last pull from them.
	refused map[member.Address]refusal
	results chan pullResult
	// wake signals that a box that has refused a pull may be used again.
	wake chan struct{}
}

// refusal is the last refusal of a box: when it is used again, and the mean delay until then.
type refusal struct {
	until time.Time
	delay time.Duration
}

// activePull is a pull in progress.
type activePull struct {
	from      member.Address
	startedAt time.Time
	cancel    context.CancelCauseFunc
	// isCancelled is set once the pull is cancelled, isKept once it was faster than another one.
	isCancelled, isKept bool
	// firstBytes is what the oldest other pull had received when this one started.
	firstBytes int
}

// pullResult is the result of one pull.
type pullResult struct {
	from member.Address
	err  error
}

// pullProgress holds what has arrived in each pull in progress. Its zero value is ready for use.
type pullProgress struct {
	mu    sync.Mutex
	pulls map[member.Address]receivedPart
}

// receivedPart is the number of bytes that have arrived in a pull, and when the last ones did.
type receivedPart struct {
	bytes int
	at    time.Time
}

// add adds bytes that have arrived.
func (p *pullProgress) add(from member.Address, bytes int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulls == nil {
		p.pulls = make(map[member.Address]receivedPart)
	}
	p.pulls[from] = receivedPart{p.pulls[from].bytes + bytes, now}
}

// of returns what has arrived in a pull.
func (p *pullProgress) of(from member.Address) receivedPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pulls[from]
}

// end removes a pull that has ended.
func (p *pullProgress) end(from member.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pulls, from)
}

// repair pulls facts from another box when that box has been ahead for a while.
func (e *EntryBoxes) repair(ctx context.Context) {
	r := &repairer{boxes: e, pending: make(map[member.Address]*activePull), refused: make(map[member.Address]refusal), results: make(chan pullResult), wake: make(chan struct{}, 1)}
	ticker := e.clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-r.results:
			r.finish(result)
		case <-r.wake:
			r.pullNext(ctx)
		case <-ticker.Chan():
			r.pullNext(ctx)
		}
	}
}

// pullNext cancels the slower one of two pulls, and starts another pull if one is due.
func (r *repairer) pullNext(ctx context.Context) {
	now := r.boxes.clock.Now()
	r.cancelSlower(now)
	if from, ok := r.nextSource(now); ok {
		r.pull(ctx, from)
	}
}

// finish records the result of a pull. If it leaves nothing to pull from the boxes of the other pulls, these are cancelled.
func (r *repairer) finish(result pullResult) {
	delete(r.pending, result.from)
	r.boxes.progress.end(result.from)
	pulls := r.boxes.fleetState.metrics.pulls
	switch {
	case result.err == nil:
		pulls.WithLabelValues("done").Inc()
		r.behindSince = time.Time{}
		clear(r.refused)
		for _, pull := range r.pending {
			if !r.boxes.isAhead(pull.from) {
				pull.supersede()
			}
		}
	case errors.Is(result.err, errBusy):
		pulls.WithLabelValues("refused").Inc()
		r.refuse(result.from)
	case errors.Is(result.err, errSlowerPull):
		pulls.WithLabelValues("superseded").Inc()
	default:
		pulls.WithLabelValues("failed").Inc()
		r.boxes.log.Warn().Str("address", string(result.from)).Err(result.err).Msg("failed to read facts from another entry box")
	}
}

// refuse excludes a box that has refused a pull for a random time.
func (r *repairer) refuse(from member.Address) {
	if len(r.refused) == 0 {
		r.boxes.log.Info().Str("address", string(from)).Msg("entry box refuses a pull of facts, as it sends to many others")
	}
	delay := min(max(minRefusalDelay, 2*r.refused[from].delay), maxRefusalDelay)
	wait := delay/2 + rand.N(delay)
	r.refused[from] = refusal{r.boxes.clock.Now().Add(wait), delay}
	r.boxes.clock.AfterFunc(wait, func() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
}

// supersede cancels the pull because another one is faster.
func (p *activePull) supersede() {
	if !p.isCancelled {
		p.isCancelled = true
		p.cancel(errSlowerPull)
	}
}

// oldest and newest return the pulls that were started first and last; nil if there is none.
func (r *repairer) oldest() (oldest *activePull) {
	for _, pull := range r.pending {
		if oldest == nil || pull.startedAt.Before(oldest.startedAt) {
			oldest = pull
		}
	}
	return oldest
}

func (r *repairer) newest() (newest *activePull) {
	for _, pull := range r.pending {
		if newest == nil || pull.startedAt.After(newest.startedAt) {
			newest = pull
		}
	}
	return newest
}

// cancelSlower cancels the slower of the oldest and the newest pull once both have had some time.
func (r *repairer) cancelSlower(now time.Time) {
	first, second := r.oldest(), r.newest()
	if first == second || first.isCancelled || second.isCancelled || now.Sub(second.startedAt) < hedgeTrial {
		return
	}
	firstBytes, secondBytes := r.boxes.progress.of(first.from).bytes-second.firstBytes, r.boxes.progress.of(second.from).bytes
	switch {
	case firstBytes == 0 && secondBytes == 0:
	case secondBytes >= hedgeAdvantage*firstBytes:
		second.isKept = true
		first.supersede()
	default:
		first.isKept = true
		second.supersede()
	}
}

// isHedgeDue reports whether another pull is due although some are in progress: none has made progress for a while, or
// the only one is slow.
func (r *repairer) isHedgeDue(now time.Time) bool {
	var progressAt time.Time
	for _, pull := range r.pending {
		for _, at := range []time.Time{pull.startedAt, r.boxes.progress.of(pull.from).at} {
			if at.After(progressAt) {
				progressAt = at
			}
		}
	}
	if now.Sub(progressAt) >= time.Duration(len(r.pending))*pullHedgeDelay {
		return true
	}
	first := r.oldest()
	return len(r.pending) == 1 && !first.isKept && now.Sub(first.startedAt) >= slowPullDelay
}

// nextSource returns the box from which to pull now. ok is false if there is none.
func (r *repairer) nextSource(now time.Time) (from member.Address, ok bool) {
	exclude := make(map[member.Address]bool)
	for address := range r.pending {
		exclude[address] = true
	}
	for address, refusal := range r.refused {
		if now.Before(refusal.until) {
			exclude[address] = true
		}
	}
	source, ok := r.boxes.pickNewer(exclude)
	if !ok {
		if len(exclude) == 0 {
			r.behindSince = time.Time{}
			clear(r.refused)
		}
		return "", false
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	switch {
	case len(r.pending) >= maxConcurrentPulls:
		return "", false
	case len(r.pending) > 0 && !r.isHedgeDue(now):
		return "", false
	case source.Region != r.boxes.self.Region:
		return source.Peers, now.Sub(r.behindSince) >= r.remotePullDelay()
	case len(r.pending) == 0 && r.boxes.isReader():
		return source.Peers, now.Sub(r.behindSince) >= pullDelay
	default:
		return source.Peers, true
	}
}

// remotePullDelay returns how long this box waits before it pulls from another region. While a box of the own region has
// the facts and is busy, it waits for the longest time.
func (r *repairer) remotePullDelay() time.Duration {
	for address := range r.refused {
		if r.boxes.isLocal(address) && r.boxes.isAhead(address) {
			return maxRemotePullDelay
		}
	}
	if r.boxes.isReader() {
		return pullDelay
	}
	rank, boxes := r.boxes.remotePullRank()
	if rank < maxRemotePullers {
		return pullDelay + time.Duration(rank)*remotePullStep
	}
	const first = pullDelay + maxRemotePullers*remotePullStep
	return first + (maxRemotePullDelay-first)*time.Duration(rank-maxRemotePullers)/time.Duration(boxes-maxRemotePullers)
}

// pull starts to pull facts from a box.
func (r *repairer) pull(ctx context.Context, from member.Address) {
	pullCtx, cancel := context.WithCancelCause(ctx)
	pull := &activePull{from: from, startedAt: r.boxes.clock.Now(), cancel: cancel}
	if first := r.oldest(); first != nil {
		pull.firstBytes = r.boxes.progress.of(first.from).bytes
	}
	// What arrived after the end of an earlier pull does not count.
	r.boxes.progress.end(from)
	r.pending[from] = pull
	r.boxes.tasks.Go(func(ctx context.Context) {
		defer cancel(nil)
		err := r.boxes.pull(pullCtx, from)
		if cause := context.Cause(pullCtx); err != nil && cause != nil {
			err = cause
		}
		select {
		case r.results <- pullResult{from: from, err: err}:
		case <-ctx.Done():
		}
	})
}

// remotePullRank returns the rank of this box among those of its region that pull from other regions, from 0, and their
// number. Boxes that read the store have a rank too, but need not pull.
func (e *EntryBoxes) remotePullRank() (rank, boxes int) {
	key := "pull/" + string(e.self.Region)
	own := member.Score(key, string(e.self.Box))
	boxes = 1
	for _, record := range e.membership.All() {
		if record.Region != e.self.Region || record.Box == e.self.Box || record.Status == member.StatusSilent {
			continue
		}
		boxes++
		if member.Score(key, string(record.Box)) > own {
			rank++
		}
	}
	return rank, boxes
}

// isLocal reports whether a followed box is in the region of this one.
func (e *EntryBoxes) isLocal(address member.Address) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boxes[string(address)].Region == e.self.Region
}

// isAhead reports whether a box is ahead of this one.
func (e *EntryBoxes) isAhead(address member.Address) bool {
	own := e.fleetState.position()
	e.mu.Lock()
	defer e.mu.Unlock()
	return own.isBehind(e.boxes[string(address)].Watermarks)
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

// pullFacts pulls all new facts from another entry box, batch by batch. It fails if nothing arrives for pullTimeout.
func (e *EntryBoxes) pullFacts(ctx context.Context, from member.Address) (err error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stalled := e.clock.AfterFunc(pullTimeout, func() { cancel(errStalled) })
	defer stalled.Stop()
	defer func() {
		if cause := context.Cause(callCtx); err != nil && !errors.Is(err, errBusy) && cause != nil {
			err = cause
		}
	}()
	conn, err := e.peers.DialObserved(callCtx, from, func(bytes int) {
		stalled.Reset(pullTimeout)
		e.progress.add(from, bytes, e.clock.Now())
	})
	if err != nil {
		return err
	}
	for isLast := false; !isLast; {
		cursor, receiver := e.cursor(from), e.fleetState.mirror.Receiver()
		stream, err := wire.NewDRPCFleetClient(conn).Facts(callCtx, &wire.FactsRequest{
			Box: string(e.self.Box), Region: string(e.self.Region), Instance: cursor.Instance, Cursor: cursor.Sequence, Once: true, All: true,
			Complete: receiver.Complete, Orders: receiver.Orders, Held: receiver.Held, Values: valuesToWire(receiver.Values),
		})
		if err != nil {
			return err
		}
		if isLast, err = e.receiveBatches(from, stream, func() { cancel(nil) }); err != nil {
			return err
		}
	}
	return nil
}

// receiveBatches applies the batches of one request. end is called once the last one has arrived; isLast is not set if the
// sender, which is of an earlier version, has more and ends the stream after one.
func (e *EntryBoxes) receiveBatches(from member.Address, stream wire.DRPCFleet_FactsClient, end func()) (isLast bool, err error) {
	for first := true; ; first = false {
		startedAt := e.clock.Now()
		batch, err := stream.Recv()
		switch {
		case !first && errors.Is(err, io.EOF):
			return false, nil
		case err != nil:
			return false, err
		case batch.Busy:
			return true, errBusy
		}
		own := e.fleetState.Watermarks()
		e.log.Info().Str("address", string(from)).Dur("taken_ms", e.clock.Since(startedAt)).Int("items", len(batch.Items)).Int("bytes", proto.Size(batch)).
			Int("deltas", countDeltas(batch)).
			Stringer("newest", own.Newest).Stringer("complete", own.Complete).Msg("facts read from another entry box")
		if isLast = !batch.More && len(batch.Items) < maxBatchItems; isLast {
			// The sender may begin the next transfer before this one is applied.
			end()
		}
		if err := e.applyBatch(from, batch); err != nil {
			return false, err
		}
		if isLast {
			return true, nil
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

package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	// pullLimit bounds the items of one answer.
	pullLimit = 4096
	// pullWait is how long a pull may wait for something new.
	pullWait = 20 * time.Second
	// pullGap gathers changes that come close together into one answer.
	pullGap = 20 * time.Millisecond
	// pullRetry is the wait after a failed pull.
	pullRetry = 200 * time.Millisecond
	// pushTimeout bounds one push.
	pushTimeout = 2 * time.Second
)

// Replica keeps this entry box's copy of the replicated items in step with the
// relays: entry boxes, two of each region, that every other entry box pulls from
// and pushes its own changes to. Relays pull from all other relays.
type Replica struct {
	store  *state.Store
	peers  *Peers
	clock  clockwork.Clock
	log    zerolog.Logger
	relays func() []member.Address
	duties *kernel.Duties

	mu      sync.Mutex
	pending map[string]bool
	kick    chan struct{}
	pulling map[member.Address]context.CancelFunc
}

// NewReplica starts to pull and push. The function relays names the peers to
// pull from and push to; it may change its answer at any time.
func NewReplica(store *state.Store, peers *Peers, clock clockwork.Clock, log zerolog.Logger, relays func() []member.Address) *Replica {
	r := &Replica{
		store: store, peers: peers, clock: clock, log: log, relays: relays,
		duties:  kernel.NewDuties(),
		pending: make(map[string]bool),
		kick:    make(chan struct{}, 1),
		pulling: make(map[member.Address]context.CancelFunc),
	}
	r.duties.Go(r.followRelays)
	r.duties.Go(r.pushPending)
	return r
}

// String returns the service's name.
func (r *Replica) String() string { return "replica" }

// Stop ends pulling and pushing.
func (r *Replica) Stop(ctx context.Context) error { return r.duties.Stop(ctx) }

// Publish merges items that this process wrote or was told first, and hands them
// to the relays.
func (r *Replica) Publish(items ...state.Item) {
	fresh := r.store.Apply(items)
	if len(fresh) == 0 {
		return
	}
	r.mu.Lock()
	for _, item := range fresh {
		r.pending[item.Key] = true
	}
	r.mu.Unlock()
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// followRelays keeps one puller for each relay.
func (r *Replica) followRelays(ctx context.Context) {
	for ctx.Err() == nil {
		r.adjustPullers()
		select {
		case <-ctx.Done():
		case <-r.clock.After(pullRetry):
		}
	}
}

func (r *Replica) adjustPullers() {
	wanted := make(map[member.Address]bool)
	for _, relay := range r.relays() {
		wanted[relay] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for relay, cancel := range r.pulling {
		if !wanted[relay] {
			cancel()
			delete(r.pulling, relay)
		}
	}
	for relay := range wanted {
		if _, running := r.pulling[relay]; running {
			continue
		}
		pullCtx, cancel := context.WithCancel(r.duties.Context())
		r.pulling[relay] = cancel
		r.duties.Go(func(context.Context) { r.pullFrom(pullCtx, relay) })
	}
}

// pullFrom follows one relay until it is no longer wanted.
func (r *Replica) pullFrom(ctx context.Context, relay member.Address) {
	var cursor state.Cursor
	for ctx.Err() == nil {
		next, err := r.pullOnce(ctx, relay, cursor)
		if err != nil {
			r.log.Debug().Str("relay", string(relay)).Err(err).Msg("pull failed")
			select {
			case <-ctx.Done():
			case <-r.clock.After(pullRetry):
			}
			continue
		}
		cursor = next
	}
}

func (r *Replica) pullOnce(ctx context.Context, relay member.Address, cursor state.Cursor) (state.Cursor, error) {
	callCtx, cancel := context.WithTimeout(ctx, pullWait+pushTimeout)
	defer cancel()
	client := wire.NewDRPCReplicaClient(r.peers.Conn(relay))
	answer, err := client.Pull(callCtx, &wire.PullRequest{
		Instance: cursor.Instance, Cursor: cursor.Sequence, WaitMilliseconds: pullWait.Milliseconds(),
	})
	if err != nil {
		return cursor, err
	}
	r.store.Apply(fromWire(answer.Items))
	return state.Cursor{Instance: answer.Instance, Sequence: answer.Cursor}, nil
}

// pushPending hands on what this process published until some relay has it.
func (r *Replica) pushPending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
		}
		for ctx.Err() == nil && !r.pushAll(ctx) {
			select {
			case <-ctx.Done():
			case <-r.clock.After(pullRetry):
			}
		}
	}
}

// pushAll reports whether everything that was pending has reached a relay. A
// process that knows no relay is one itself and has nothing to push.
func (r *Replica) pushAll(ctx context.Context) bool {
	r.mu.Lock()
	keys := r.pending
	r.pending = make(map[string]bool)
	r.mu.Unlock()
	relays := r.relays()
	if len(keys) == 0 || len(relays) == 0 {
		return true
	}
	items := make([]state.Item, 0, len(keys))
	for key := range keys {
		if item, ok := r.store.Lookup(key); ok {
			items = append(items, item)
		}
	}
	reached := false
	for _, relay := range relays {
		callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		_, err := wire.NewDRPCReplicaClient(r.peers.Conn(relay)).Push(callCtx, &wire.PushRequest{Items: toWire(items)})
		cancel()
		reached = reached || err == nil
	}
	if !reached {
		r.mu.Lock()
		for key := range keys {
			r.pending[key] = true
		}
		r.mu.Unlock()
	}
	return reached
}

// Pull answers another entry box.
func (r *Replica) Pull(ctx context.Context, request *wire.PullRequest) (*wire.PullResponse, error) {
	cursor := state.Cursor{Instance: request.Instance, Sequence: request.Cursor}
	wait := min(time.Duration(request.WaitMilliseconds)*time.Millisecond, pullWait)
	deadline := r.clock.After(wait)
	for {
		changed := r.store.Changed()
		batch := r.store.Since(cursor, pullLimit)
		if len(batch.Items) > 0 {
			return &wire.PullResponse{Instance: batch.Next.Instance, Cursor: batch.Next.Sequence, Items: toWire(batch.Items)}, nil
		}
		select {
		case <-changed:
			r.clock.Sleep(pullGap)
		case <-deadline:
			return &wire.PullResponse{Instance: batch.Next.Instance, Cursor: batch.Next.Sequence}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-r.duties.Context().Done():
			return nil, context.Canceled
		}
	}
}

// Push takes another entry box's changes.
func (r *Replica) Push(_ context.Context, request *wire.PushRequest) (*wire.PushResponse, error) {
	r.store.Apply(fromWire(request.Items))
	return &wire.PushResponse{}, nil
}

func toWire(items []state.Item) []*wire.Item {
	out := make([]*wire.Item, len(items))
	for i, item := range items {
		out[i] = &wire.Item{
			Key: item.Key, Major: item.Version.Major, Minor: item.Version.Minor,
			Deleted: item.Deleted, Value: item.Value,
		}
	}
	return out
}

func fromWire(items []*wire.Item) []state.Item {
	out := make([]state.Item, len(items))
	for i, item := range items {
		out[i] = state.Item{
			Key: item.Key, Version: state.Version{Major: item.Major, Minor: item.Minor},
			Deleted: item.Deleted, Value: item.Value,
		}
	}
	return out
}

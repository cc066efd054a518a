package daemon

import (
	"context"
	"encoding/binary"
	"errors"
	"strings"
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
	// maxPullItems is the maximum number of items in one response.
	maxPullItems = 4096
	// maxPullWait is the maximum time that a pull waits for a change.
	maxPullWait = 10 * time.Second
	// pullBatchDelay is the delay after a change, to batch it with further changes in one response.
	pullBatchDelay = 20 * time.Millisecond
	// pullRetryDelay is the delay after a failed pull or push.
	pullRetryDelay = 200 * time.Millisecond
	// pushTimeout bounds one push.
	pushTimeout = 2 * time.Second
	// repairInterval is the minimum time between two digest comparisons with a source.
	repairInterval = 10 * time.Second
)

// Replica synchronizes this entry box's copy of the replicated items with other entry boxes over
// the links of the overlay. It pulls from its sources by long polling and pushes its own
// changes to a relay. Periodically it compares digests with a source and
// reads the items that differ, to repair lost updates.
type Replica struct {
	store *state.Store
	peers *PeerPool
	clock clockwork.Clock
	log   zerolog.Logger
	links func() Links
	tasks *kernel.TaskGroup

	mu         sync.Mutex
	pending    map[string]bool
	wake       chan struct{}
	pullers    map[string]context.CancelFunc
	lastRepair time.Time
}

// NewReplica starts pulling and pushing. The result of links may change at any time.
func NewReplica(store *state.Store, peers *PeerPool, clock clockwork.Clock, log zerolog.Logger, links func() Links) *Replica {
	r := &Replica{
		store: store, peers: peers, clock: clock, log: log, links: links,
		tasks:   kernel.NewTaskGroup(),
		pending: make(map[string]bool),
		wake:    make(chan struct{}, 1),
		pullers: make(map[string]context.CancelFunc),
	}
	r.tasks.Go(r.followSources)
	r.tasks.Go(r.pushPending)
	return r
}

// String returns the service's name.
func (r *Replica) String() string { return "replica" }

// Stop ends pulling and pushing.
func (r *Replica) Stop(ctx context.Context) error { return r.tasks.Stop(ctx) }

// Publish merges items that this process wrote or received directly from another box,
// and schedules a push of those that are new.
func (r *Replica) Publish(items ...state.Item) {
	fresh := r.store.Apply(items, state.OriginLocal)
	if len(fresh) == 0 {
		return
	}
	r.mu.Lock()
	for _, item := range fresh {
		r.pending[item.Key] = true
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// followSources runs one puller for each source of the overlay.
func (r *Replica) followSources(ctx context.Context) {
	for ctx.Err() == nil {
		r.adjustPullers()
		select {
		case <-ctx.Done():
		case <-r.clock.After(pullRetryDelay):
		}
	}
}

func (r *Replica) adjustPullers() {
	links := r.links()
	sources := make(map[string][]member.Address, len(links.PullSources))
	for _, source := range links.PullSources {
		sources[sourceKey(source, links.LocalOnly)] = source
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, cancel := range r.pullers {
		if sources[key] == nil {
			cancel()
			delete(r.pullers, key)
		}
	}
	for key, source := range sources {
		if _, running := r.pullers[key]; running {
			continue
		}
		pullCtx, cancel := context.WithCancel(r.tasks.Context())
		r.pullers[key] = cancel
		r.tasks.Go(func(context.Context) { r.pullSource(pullCtx, source, links.LocalOnly) })
	}
}

func sourceKey(source []member.Address, localOnly bool) string {
	var key strings.Builder
	if localOnly {
		key.WriteString("local ")
	}
	for _, address := range source {
		key.WriteString(string(address) + " ")
	}
	return key.String()
}

// pullSource pulls from one address of a source and switches to the next address on failure.
func (r *Replica) pullSource(ctx context.Context, source []member.Address, localOnly bool) {
	for i := 0; ctx.Err() == nil; i = (i + 1) % len(source) {
		err := r.pullAddress(ctx, source[i], localOnly)
		r.log.Debug().Str("source", string(source[i])).Err(err).Msg("pull failed; trying the next address of the source")
		select {
		case <-ctx.Done():
		case <-r.clock.After(pullRetryDelay):
		}
	}
}

// pullAddress pulls from an address until a call fails. It pulls only changes from now on and
// repairs earlier differences by digests, so a change of source transfers only the items that differ.
func (r *Replica) pullAddress(ctx context.Context, address member.Address, localOnly bool) error {
	request := &wire.PullRequest{WaitMilliseconds: maxPullWait.Milliseconds(), LocalOnly: localOnly, FromTail: true}
	r.mu.Lock()
	r.lastRepair = time.Time{}
	r.mu.Unlock()
	for {
		response, err := r.pull(ctx, address, request)
		if err != nil {
			return err
		}
		request.Instance, request.Cursor, request.FromTail = response.Instance, response.Cursor, false
		if err := r.repairIfDue(ctx, address); err != nil {
			return err
		}
	}
}

func (r *Replica) pull(ctx context.Context, address member.Address, request *wire.PullRequest) (*wire.PullResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, maxPullWait+pushTimeout)
	defer cancel()
	response, err := wire.NewDRPCReplicaClient(r.peers.Conn(address)).Pull(callCtx, request)
	if err != nil {
		return nil, err
	}
	r.store.Apply(itemsFromWire(response.Items), state.OriginRemote)
	return response, nil
}

// repairIfDue compares digests with a source and reads the items that differ, unless
// the last comparison is more recent than repairInterval.
func (r *Replica) repairIfDue(ctx context.Context, address member.Address) error {
	now := r.clock.Now()
	r.mu.Lock()
	due := now.Sub(r.lastRepair) >= repairInterval
	if due {
		r.lastRepair = now
	}
	r.mu.Unlock()
	if !due {
		return nil
	}
	for more := true; more; {
		fresh, err := r.repair(ctx, address, &more)
		if err != nil {
			return err
		}
		if fresh == 0 {
			return nil
		}
		r.log.Debug().Str("source", string(address)).Int("items", fresh).Msg("repaired")
	}
	return nil
}

// repair reads one batch of differing items and returns the number of new ones.
// It sets more to whether further items differ.
func (r *Replica) repair(ctx context.Context, address member.Address, more *bool) (int, error) {
	callCtx, cancel := context.WithTimeout(ctx, maxPullWait)
	defer cancel()
	request := &wire.RepairRequest{Digests: packDigests(r.store.Digests())}
	response, err := wire.NewDRPCReplicaClient(r.peers.Conn(address)).Repair(callCtx, request)
	if err != nil {
		return 0, err
	}
	*more = response.More
	return len(r.store.Apply(itemsFromWire(response.Items), state.OriginRemote)), nil
}

// pushPending pushes published items and retries until a relay has received them.
func (r *Replica) pushPending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for ctx.Err() == nil && !r.pushAll(ctx) {
			select {
			case <-ctx.Done():
			case <-r.clock.After(pullRetryDelay):
			}
		}
	}
}

// pushAll pushes the pending items and reports whether a relay received them. A process without
// push targets is a relay itself and has nothing to push: other boxes pull from it.
func (r *Replica) pushAll(ctx context.Context) bool {
	r.mu.Lock()
	keys := r.pending
	r.pending = make(map[string]bool)
	r.mu.Unlock()
	relays := r.links().PushTargets
	if len(keys) == 0 || len(relays) == 0 {
		return true
	}
	items := make([]state.Item, 0, len(keys))
	for key := range keys {
		if item, ok := r.store.Lookup(key); ok {
			items = append(items, item)
		}
	}
	for _, relay := range relays {
		callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		_, err := wire.NewDRPCReplicaClient(r.peers.Conn(relay)).Push(callCtx, &wire.PushRequest{Items: itemsToWire(items)})
		cancel()
		if err == nil {
			return true
		}
	}
	r.mu.Lock()
	for key := range keys {
		r.pending[key] = true
	}
	r.mu.Unlock()
	return false
}

// Pull handles a pull of another entry box. It waits until an item changes or the wait time of the request ends.
func (r *Replica) Pull(ctx context.Context, request *wire.PullRequest) (*wire.PullResponse, error) {
	cursor := state.Cursor{Instance: request.Instance, Sequence: request.Cursor}
	if request.FromTail {
		cursor = r.store.Tail()
		return &wire.PullResponse{Instance: cursor.Instance, Cursor: cursor.Sequence}, nil
	}
	read := r.store.Since
	if request.LocalOnly {
		read = r.store.SinceLocal
	}
	wait := min(time.Duration(request.WaitMilliseconds)*time.Millisecond, maxPullWait)
	deadline := r.clock.After(wait)
	for {
		changed := r.store.Changed()
		batch := read(cursor, maxPullItems)
		cursor = batch.Next
		response := &wire.PullResponse{Instance: cursor.Instance, Cursor: cursor.Sequence, Items: itemsToWire(batch.Items)}
		if len(batch.Items) > 0 {
			return response, nil
		}
		select {
		case <-changed:
			r.clock.Sleep(pullBatchDelay)
		case <-deadline:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-r.tasks.Context().Done():
			return nil, context.Canceled
		}
	}
}

// Push handles a push of another entry box. If this box is not a relay, because the
// sender's overlay is outdated, it pushes the changes to a relay.
func (r *Replica) Push(_ context.Context, request *wire.PushRequest) (*wire.PushResponse, error) {
	r.Publish(itemsFromWire(request.Items)...)
	return &wire.PushResponse{}, nil
}

// Repair handles a digest comparison of another entry box. It returns the items of the buckets with
// different digests.
func (r *Replica) Repair(_ context.Context, request *wire.RepairRequest) (*wire.RepairResponse, error) {
	digests, err := unpackDigests(request.Digests)
	if err != nil {
		return nil, err
	}
	items, more := r.store.Differing(digests, maxPullItems)
	return &wire.RepairResponse{Items: itemsToWire(items), More: more}, nil
}

const digestSize = 8

func packDigests(digests state.Digests) []byte {
	packed := make([]byte, 0, digestSize*state.Buckets)
	for _, digest := range digests {
		packed = binary.LittleEndian.AppendUint64(packed, digest)
	}
	return packed
}

var errDigestLength = errors.New("digests have the wrong length")

func unpackDigests(packed []byte) (state.Digests, error) {
	var digests state.Digests
	if len(packed) != digestSize*state.Buckets {
		return digests, errDigestLength
	}
	for i := range digests {
		digests[i] = binary.LittleEndian.Uint64(packed[i*digestSize:])
	}
	return digests, nil
}

func itemsToWire(items []state.Item) []*wire.Item {
	out := make([]*wire.Item, len(items))
	for i, item := range items {
		out[i] = &wire.Item{
			Key: item.Key, Major: item.Version.Major, Minor: item.Version.Minor,
			Deleted: item.Deleted, Value: item.Value,
		}
	}
	return out
}

func itemsFromWire(items []*wire.Item) []state.Item {
	out := make([]state.Item, len(items))
	for i, item := range items {
		out[i] = state.Item{
			Key: item.Key, Version: state.Version{Major: item.Major, Minor: item.Minor},
			Deleted: item.Deleted, Value: item.Value,
		}
	}
	return out
}

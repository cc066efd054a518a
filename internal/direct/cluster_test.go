package direct

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// A testCluster runs entry boxes with their production code in one process, over connections in memory, and must run in
// a synctest bubble. The boxes read a store, or each other, and no callers are served.

const (
	// clusterLatency is the time of a message on a connection, storeLatency that of a call of the store.
	clusterLatency = 2 * time.Millisecond
	storeLatency   = 4 * time.Millisecond
	// clusterDialTimeout is the time after which a connection that is not accepted fails.
	clusterDialTimeout = 300 * time.Millisecond
)

// gate blocks while it is closed.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if isClosed(g.opened) {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isClosed(g.opened) {
		close(g.opened)
	}
}

// wait blocks until the gate is open or done is closed.
func (g *gate) wait(done <-chan struct{}) {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if isClosed(opened) {
			return
		}
		select {
		case <-opened:
		case <-done:
			return
		}
	}
}

// gatedConn is one end of a connection of a box. It carries nothing while the box is frozen or cut off from its peer.
type gatedConn struct {
	net.Conn
	box    *clusterBox
	peer   *clusterBox
	closed chan struct{}
	once   sync.Once
	// isDialer is set at the end that opened the connection. use is what both ends use it for.
	isDialer bool
	use      *connUse
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.box.processing.wait(c.closed)
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.box.delay(clusterLatency)
	if c.isDialer {
		c.use.observe(p)
	}
	return c.writeParts(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// clusterStore is the store of a cluster.
type clusterStore struct {
	mu        sync.Mutex
	history   []fleet.Fact
	compacted int
	// earlier holds the histories of the eras before, as they were at their ends.
	earlier [][]fleet.Fact
	// configuration is the version of the configuration that was written last.
	configuration uint64
	changed       chan struct{}
	// deletedAt is when each server that is not listed was deleted.
	deletedAt map[fleet.ServerID]time.Time
	// calls counts the calls by box.
	calls map[member.BoxID]int
	// lost is closed to lose the calls that wait for changes: their boxes get no answer.
	lost chan struct{}
	// reachable is closed while the store does not answer.
	reachable *gate
}

func newClusterStore() *clusterStore {
	s := &clusterStore{
		changed: make(chan struct{}), deletedAt: make(map[fleet.ServerID]time.Time), calls: make(map[member.BoxID]int), reachable: newGate(),
		lost: make(chan struct{}),
	}
	s.configure()
	return s
}

// configure writes another version of the configuration.
func (s *clusterStore) configure() {
	s.mu.Lock()
	s.configuration++
	version := s.configuration
	s.mu.Unlock()
	s.write(fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: &fleet.Configuration{Version: version}})
}

// era returns the current era. The lock must be held.
func (s *clusterStore) era() uint64 { return uint64(len(s.earlier)) + 1 }

// restore starts another era with the first entries of the history, and cuts the calls that wait for changes.
func (s *clusterStore) restore(entries int, dropHistory bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlier = append(s.earlier, s.history)
	s.history = slices.Clone(s.history[:entries])
	for i := range s.history {
		s.history[i].Revision = fleet.NewRevision(s.era(), uint64(i+1))
	}
	if s.compacted = 0; dropHistory {
		s.compacted = entries
	}
	close(s.lost)
	s.lost = make(chan struct{})
}

func (s *clusterStore) write(fact fleet.Fact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fact.Revision = fleet.NewRevision(s.era(), uint64(len(s.history)+1))
	s.history = append(s.history, fact)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *clusterStore) put(id fleet.ServerID) {
	s.mu.Lock()
	delete(s.deletedAt, id)
	s.mu.Unlock()
	s.write(listed(id, 0))
}

func (s *clusterStore) remove(id fleet.ServerID) {
	s.write(fleet.Fact{Key: fleet.ServerKey(id), Deleted: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deletedAt[id] = time.Now()
}

func (s *clusterStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = len(s.history)
}

// at returns the facts at a revision.
func (s *clusterStore) at(revision fleet.Revision) map[string]fleet.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	facts, history := make(map[string]fleet.Fact), s.history
	if revision.Era() < s.era() {
		history = s.earlier[revision.Era()-1]
	}
	for _, fact := range history[:min(int(revision.Number()), len(history))] {
		if fact.Deleted {
			delete(facts, fact.Key)
		} else {
			facts[fact.Key] = fact
		}
	}
	return facts
}

func (s *clusterStore) revision() fleet.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fleet.NewRevision(s.era(), uint64(len(s.history)))
}

// loseCalls loses the calls that wait for changes.
func (s *clusterStore) loseCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.lost)
	s.lost = make(chan struct{})
}

// readers returns the boxes that have called the store since the last call of readers.
func (s *clusterStore) readers() (boxes []member.BoxID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for box := range s.calls {
		boxes = append(boxes, box)
	}
	s.calls = make(map[member.BoxID]int)
	slices.Sort(boxes)
	return boxes
}

// source returns the store as a box reads it. A call that is made while the box is frozen or the store is unreachable
// hangs until its context ends; an answer reaches a frozen box when it continues.
func (s *clusterStore) source(box *clusterBox) provider.FactSource {
	call := func(ctx context.Context) error {
		s.mu.Lock()
		s.calls[box.id]++
		s.mu.Unlock()
		box.delay(storeLatency)
		box.processing.wait(ctx.Done())
		s.reachable.wait(ctx.Done())
		box.storeLink.wait(ctx.Done())
		return ctx.Err()
	}
	unavailable := func(err error) (provider.FactBatch, error) {
		return provider.FactBatch{}, errors.Join(provider.ErrUnavailable, err)
	}
	return provider.FactSource{
		Snapshot: func(ctx context.Context) (provider.FactBatch, error) {
			if err := call(ctx); err != nil {
				return unavailable(err)
			}
			batch := provider.FactBatch{Revision: s.revision()}
			for _, fact := range s.at(batch.Revision) {
				batch.Facts = append(batch.Facts, fact)
			}
			if err := box.receiveFromStore(ctx, batch.Facts); err != nil {
				return unavailable(err)
			}
			box.processing.wait(nil)
			return batch, nil
		},
		Changes: func(ctx context.Context, after fleet.Revision, wait time.Duration) (provider.FactBatch, error) {
			if err := call(ctx); err != nil {
				return unavailable(err)
			}
			batch, err := s.changes(ctx, after, wait)
			s.reachable.wait(ctx.Done())
			if err := box.receiveFromStore(ctx, batch.Facts); err != nil {
				return unavailable(err)
			}
			box.storeLink.wait(ctx.Done())
			box.processing.wait(ctx.Done())
			if ctx.Err() != nil {
				return unavailable(ctx.Err())
			}
			return batch, err
		},
		Reconnect: func() {},
	}
}

func (s *clusterStore) changes(ctx context.Context, after fleet.Revision, wait time.Duration) (provider.FactBatch, error) {
	end := time.After(wait)
	s.mu.Lock()
	lost := s.lost
	s.mu.Unlock()
	for {
		if isClosed(lost) {
			<-ctx.Done()
			return provider.FactBatch{}, ctx.Err()
		}
		s.mu.Lock()
		changed, era, entries, compacted := s.changed, s.era(), len(s.history), s.compacted
		facts := slices.Clone(s.history[min(int(after.Number()), entries):])
		s.mu.Unlock()
		revision := fleet.NewRevision(era, uint64(entries))
		if number := int(after.Number()); number < compacted || number > entries {
			return provider.FactBatch{Revision: fleet.NewRevision(era, 0)}, provider.ErrCompacted
		}
		if len(facts) > 0 {
			return provider.FactBatch{Facts: facts, Revision: revision}, nil
		}
		select {
		case <-changed:
		case <-lost:
		case <-end:
			return provider.FactBatch{Revision: revision}, nil
		case <-ctx.Done():
			return provider.FactBatch{}, ctx.Err()
		}
	}
}

// schedule holds calls that are made at a time.
type schedule []scheduledCall

type scheduledCall struct {
	at  time.Time
	run func()
}

// after schedules a call.
func (s *schedule) after(wait time.Duration, run func()) {
	*s = append(*s, scheduledCall{time.Now().Add(wait), run})
}

// runDue makes the calls that are due. They may schedule others.
func (s *schedule) runDue() {
	calls := *s
	*s = nil
	for _, call := range calls {
		if call.at.After(time.Now()) {
			*s = append(*s, call)
		} else {
			call.run()
		}
	}
}

// testCluster is a number of entry boxes and their store.
type testCluster struct {
	t     *testing.T
	bound time.Duration
	// retries limits the retries of all boxes together.
	retries route.RetryLimits
	store   *clusterStore
	boxes   []*clusterBox

	// linkRate is the bandwidth between two regions in each direction, in bytes per second; 0 for no limit.
	linkRate float64

	mu        sync.Mutex
	listeners map[member.Address]*pipeListener
	// links are the links between two regions, one for each direction.
	links map[[2]member.Region]*networkLink
	// parts maps the boxes to the parts of the network; boxes of different parts can't reach each other.
	parts map[member.BoxID]int
}

// clusterBox is an entry box of a cluster.
type clusterBox struct {
	cluster *testCluster
	id      member.BoxID
	region  member.Region
	// machine is the capacity of the box and what it has transferred.
	machine *boxMachine
	// processing is closed while the box is frozen. lag is how long each of its messages is late.
	processing *gate
	lag        atomic.Int64
	// acceptsAfter is the time before which connections to the box are not accepted in time, in Unix nanoseconds.
	acceptsAfter atomic.Int64
	// storeLink is closed while the box can't reach the store, factTransfers while it receives no facts from other boxes.
	storeLink, factTransfers *gate
	// loaded is set while the load of the box changes.
	loaded atomic.Bool
	// withoutDeltas is set if the box runs a version that neither sends nor takes deltas.
	withoutDeltas atomic.Bool
	// disturbedUntil is when the last fault of the box ended; in the future while there is one.
	disturbedUntil time.Time
	// hasFault is set while a fault of the box has not been ended.
	hasFault bool

	fleetState *FleetState
	status     *StatusServer
	entries    *EntryBoxes
	peers      *daemon.PeerPool
	server     *daemon.PeerServer
	// callers accounts for the retries of the box. It serves no callers.
	callers *CallerServer
}

// newTestCluster starts entry boxes in some regions. bound is the time within which a change must be in force.
func newTestCluster(t *testing.T, boxes, regions int, bound time.Duration) *testCluster {
	c := &testCluster{
		t: t, bound: bound, retries: route.RetryLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second},
		store: newClusterStore(), listeners: make(map[member.Address]*pipeListener), links: make(map[[2]member.Region]*networkLink),
	}
	for i := range boxes {
		box := &clusterBox{
			cluster: c, id: member.BoxID(fmt.Sprintf("entry-%d", i)), region: member.Region(fmt.Sprintf("region-%d", i%regions)), processing: newGate(),
			storeLink: newGate(), factTransfers: newGate(), machine: &boxMachine{},
		}
		c.boxes = append(c.boxes, box)
	}
	for _, box := range c.boxes {
		box.start()
	}
	return c
}

// stop stops all boxes.
func (c *testCluster) stop() {
	c.store.reachable.open()
	for _, box := range c.boxes {
		box.processing.open()
	}
	c.killAll()
}

// killAll ends all boxes at once.
func (c *testCluster) killAll() {
	var killing sync.WaitGroup
	for _, box := range c.boxes {
		killing.Go(box.kill)
	}
	killing.Wait()
}

func (c *testCluster) box(id member.BoxID) *clusterBox {
	return c.boxes[slices.IndexFunc(c.boxes, func(b *clusterBox) bool { return b.id == id })]
}

// delay waits for a time, and longer on a box that is slow.
func (b *clusterBox) delay(wait time.Duration) { time.Sleep(wait + time.Duration(b.lag.Load())) }

// setLag sets how long each message of the box is late.
func (b *clusterBox) setLag(lag time.Duration) { b.lag.Store(int64(lag)) }

func (b *clusterBox) address() member.Address { return member.Address(b.id) + ":1" }

// dial opens a connection to another box.
func (b *clusterBox) dial(ctx context.Context, address member.Address) (net.Conn, error) {
	b.delay(clusterLatency)
	b.cluster.mu.Lock()
	listener := b.cluster.listeners[address]
	b.cluster.mu.Unlock()
	if listener == nil {
		return nil, errors.New("connection refused")
	}
	i := slices.IndexFunc(b.cluster.boxes, func(other *clusterBox) bool { return other.address() == address })
	peer := b.cluster.boxes[i]
	if b.awaitLink(peer, ctx.Done()); ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if time.Now().UnixNano() < peer.acceptsAfter.Load() {
		time.Sleep(clusterDialTimeout)
		return nil, errors.New("dial timeout")
	}
	near, far := net.Pipe()
	use := &connUse{}
	accepted := &gatedConn{Conn: far, box: peer, peer: b, closed: make(chan struct{}), use: use}
	select {
	case listener.conns <- accepted:
		return &gatedConn{Conn: near, box: b, peer: peer, closed: make(chan struct{}), isDialer: true, use: use}, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// linkCheckInterval is how often a message checks whether the link that it waits for is up again.
const linkCheckInterval = 20 * time.Millisecond

// awaitLink blocks while the box can't reach a peer, until done is closed.
func (b *clusterBox) awaitLink(peer *clusterBox, done <-chan struct{}) {
	for !isClosed(done) {
		b.cluster.mu.Lock()
		reachable := b.cluster.parts[b.id] == b.cluster.parts[peer.id]
		b.cluster.mu.Unlock()
		if reachable {
			return
		}
		time.Sleep(linkCheckInterval)
	}
}

// domains returns the failure domains of all boxes.
func (c *testCluster) domains() (domains []member.FailureDomain) {
	for _, box := range c.boxes {
		if domain := member.FailureDomain(box.region); !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// split divides the network. partOf returns the part of each box by its position; nil joins all parts.
func (c *testCluster) split(partOf func(i int) int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts = make(map[member.BoxID]int)
	for i, box := range c.boxes {
		if partOf != nil {
			c.parts[box.id] = partOf(i)
		}
	}
}

// start starts the box. Its state of before is lost.
func (b *clusterBox) start() {
	c, clock, log, metrics := b.cluster, clockwork.NewRealClock(), zerolog.Nop(), NewMetrics()
	times := readIntervalsFor(c.bound)
	own := member.Record{
		Box: b.id, Role: member.RoleEntry, Region: b.region, FailureDomain: member.FailureDomain(b.region), Peers: b.address(), Callers: b.address(),
		Incarnation: member.Incarnation(clock.Now().UnixMilli()), Status: member.StatusStarting,
	}
	membership, suspects := NewMembership(own, clock, log), newSuspectRequests(clock, log, metrics)
	b.fleetState, b.peers = NewFleetState(clock, log, metrics), daemon.NewPeerPoolWithDial(b.dial)
	b.fleetState.confirmations.bound = c.bound
	b.status = &StatusServer{
		clock: clock, fleetState: b.fleetState, membership: membership, tasks: kernel.NewTaskGroup(), suspects: suspects,
		load: b.load, demands: func() route.Demands { return nil },
		rejectedCallers: func(uint64, route.RelayDimension) ([]route.RejectedCaller, uint64) { return nil, 0 },
		done:            make(chan struct{}), limitedSendSignal: make(chan struct{}, 1),
	}
	var seeds []string
	for _, other := range c.boxes[:min(3, len(c.boxes))] {
		seeds = append(seeds, string(other.address()))
	}
	b.entries = &EntryBoxes{
		self: own, regionOf: func(domain member.FailureDomain) member.Region { return member.Region(domain) }, domains: c.domains(),
		membership: membership, fleetState: b.fleetState, suspects: suspects, peers: b.peers, clock: clock, log: log,
		tasks: kernel.NewTaskGroup(), seeds: seeds, boxes: make(map[string]EntryBox),
		following: make(map[string]followed), cursors: make(map[member.Address]state.Cursor),
		readers: newReaderSet(b.id, b.region, times.readerTimeout()), replanned: make(chan struct{}),
		onReport:   func(member.BoxID, route.Load, route.Demands, bool, time.Time) {},
		onRejected: func([]route.RejectedCaller, route.RelayDimension, time.Time) {},
	}
	b.entries.startFollow = b.entries.startFollowing
	b.entries.pull = b.countPulls(func(ctx context.Context, from member.Address) error {
		b.factTransfers.wait(ctx.Done())
		return b.entries.pullFacts(ctx, from)
	})
	b.status.readers = b.entries.reportedReaders
	b.callers = newTestCallerServer(b.fleetState)
	b.callers.started = clock.Now()
	b.callers.retries = c.retries
	b.callers.retryShares = route.NewRetryShares(c.retries.Window)
	b.callers.entries.Store(b.entries)
	mux, listener := drpcmux.New(), &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	require.NoError(c.t, wire.DRPCRegisterFleet(mux, &clusterServer{b.status, b}))
	b.server = daemon.NewPeerServer(listener, mux, log)
	c.mu.Lock()
	c.listeners[b.address()] = listener
	c.mu.Unlock()
	b.entries.tasks.Go(b.entries.followAll)
	b.entries.tasks.Go(b.entries.repair)
	b.fleetState.ReadStore(c.store.source(b), times, b.entries.isReader, b.entries.probeInterval)
	b.status.SetReady(true)
	b.status.refresh()
	b.status.tasks.Go(b.status.refreshLoop)
}

// clusterServer is the status server of a box, which may be of a version without deltas, as may be those that call it.
type clusterServer struct {
	*StatusServer
	box *clusterBox
}

// Facts streams facts as StatusServer does.
func (s *clusterServer) Facts(request *wire.FactsRequest, stream wire.DRPCFleet_FactsStream) error {
	isEarlier := func(box *clusterBox) bool {
		return box.withoutDeltas.Load() && (box == s.box || string(box.id) == request.Box)
	}
	if slices.ContainsFunc(s.box.cluster.boxes, isEarlier) {
		request.Values = nil
	}
	return s.StatusServer.Facts(request, stream)
}

// kill ends the box at once.
func (b *clusterBox) kill() {
	b.cluster.mu.Lock()
	delete(b.cluster.listeners, b.address())
	b.cluster.mu.Unlock()
	b.processing.open()
	ctx := context.Background()
	var stopping sync.WaitGroup
	for _, stop := range []func(context.Context) error{b.server.Stop, b.entries.Stop, b.fleetState.Stop, b.status.Stop, b.peers.Stop} {
		stopping.Go(func() { _ = stop(ctx) })
	}
	stopping.Wait()
}

// outdatedServers returns the servers that the box uses although the store has deleted them, with the time since then.
func (b *clusterBox) outdatedServers() map[fleet.ServerID]time.Duration {
	outdated := make(map[fleet.ServerID]time.Duration)
	b.cluster.store.mu.Lock()
	defer b.cluster.store.mu.Unlock()
	for _, id := range serverIDs(b.fleetState) {
		if at, deleted := b.cluster.store.deletedAt[id]; deleted {
			outdated[id] = time.Since(at)
		}
	}
	return outdated
}

// requireConsistent checks that the box lists nothing that was deleted at a revision up to which it has every change,
// and lacks nothing that was present then.
func (b *clusterBox) requireConsistent() {
	list := b.fleetState.serverList(b.id)
	complete := list.Complete
	present := b.cluster.store.at(complete)
	known := make(map[string]bool)
	for _, server := range list.Servers {
		key := fleet.ServerKey(fleet.ServerID(server.Server))
		known[key] = true
		if _, ok := present[key]; !ok && server.Revision <= complete {
			b.cluster.t.Errorf("%s has every change up to %v and lists %s of revision %v, which was deleted by then",
				b.id, complete, server.Server, server.Revision)
		}
	}
	newest := b.cluster.store.at(list.Newest)
	for key, fact := range present {
		// The copy of a later era may list what was deleted in an era between, before the box has it from that era.
		held, _ := b.fleetState.mirror.Lookup(key)
		heldAt := fleet.Revision(held.Version.Major)
		isReturned := held.Deleted && heldAt > complete && heldAt.Era() < list.Newest.Era()
		if _, still := newest[key]; still && fact.Server != nil && !known[key] && !isReturned {
			b.cluster.t.Errorf("%s has every change up to %v of %v and lacks %s of revision %v", b.id, complete, list.Newest, key, fact.Revision)
		}
	}
}

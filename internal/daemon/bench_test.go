package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// The benchmarks in this file measure the costs per unit that docs/CAPACITY.md uses.

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newCountingPeerPool returns a pool that counts the bytes sent and received on its connections.
func newCountingPeerPool(counter *atomic.Int64) *PeerPool {
	p := NewPeerPool()
	open := p.dial
	p.dial = func(ctx context.Context, address member.Address) (net.Conn, error) {
		conn, err := open(ctx, address)
		return &countingConn{conn, counter}, err
	}
	return p
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// benchRecord returns a record of typical length.
func benchRecord(i int, role member.Role) member.Record {
	record := member.Record{
		Box: member.BoxID(fmt.Sprintf("kita-a-%s-%05d", role, i)), Role: role, Region: "kita", FailureDomain: "kita-a",
		Peers: member.Address(fmt.Sprintf("10.%d.%d.1:7000", i/256, i%256)), Incarnation: 1_760_000_000_000_000_000, Sequence: 1, Status: member.StatusUp,
	}
	if role == member.RoleAgent {
		record.Models, record.Slots = []table.Model{"kakiwake"}, 2
		record.Copies = []member.Copy{{Model: "kakiwake", Version: "2026.12", Manifest: weights.Sum([]byte("m")), Phase: member.PhaseLive, TotalChunks: 3500}}
	}
	return record
}

func benchItems(b *testing.B, agents, rows int) []state.Item {
	b.Helper()
	version := state.Version{Major: 9, Minor: 9}
	items := make([]state.Item, 0, 2*agents+2*rows)
	add := func(key string, value any) {
		raw, err := state.Encode(value)
		require.NoError(b, err)
		items = append(items, state.Item{Key: key, Version: version, Value: raw})
	}
	for i := range agents {
		record := benchRecord(i, member.RoleAgent)
		item, err := record.Item()
		require.NoError(b, err)
		items = append(items, item)
		add(plan.BoxPrefix+string(record.Box), plan.Assignment{Versions: []plan.PinnedVersion{
			{Model: "kakiwake", Version: "2026.12", Manifest: weights.Sum([]byte("m"))},
		}})
	}
	for i := range rows {
		row := table.Row{Group: table.Group(fmt.Sprintf("group-%04d", i)), Model: "kakiwake", Weight: 1, Ceiling: 1, Version: "2026.12"}
		add(tableRowPrefix+row.Key().String(), row)
		add(plan.RowPrefix+row.Key().String(), plan.RowPlan{Share: 0.01, Serving: "2026.12", Target: "2026.12", Replicas: 100, Live: 100})
	}
	return items
}

// BenchmarkEntryMemory measures the memory of an entry box for its records of the whole fleet.
func BenchmarkEntryMemory(b *testing.B) {
	for _, agents := range []int{1_000, 12_000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			items := benchItems(b, agents, agents/6)
			for b.Loop() {
				before := heapInUse()
				store := state.NewStore(1)
				view := NewView(store, "kita", nopLogger())
				store.Apply(items, state.OriginRemote)
				for len(view.Members()) < agents {
					time.Sleep(time.Millisecond)
				}
				b.ReportMetric(float64(heapInUse()-before)/float64(agents), "heap-bytes/agent")
				_ = view.Stop(context.Background())
				runtime.KeepAlive(store)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkViewApply measures the cost for an entry box of applying one changed record.
func BenchmarkViewApply(b *testing.B) {
	items := benchItems(b, 12_000, 2_000)
	view := NewView(state.NewStore(1), "kita", nopLogger())
	defer func() { _ = view.Stop(context.Background()) }()
	view.apply(items)
	record := benchRecord(7, member.RoleAgent)
	b.ReportAllocs()
	for b.Loop() {
		record.Sequence++
		item, err := record.Item()
		if err != nil {
			b.Fatal(err)
		}
		view.apply([]state.Item{item})
	}
}

// BenchmarkHeartbeat measures one heartbeat. Sender and monitor are both in this process.
func BenchmarkHeartbeat(b *testing.B) {
	store := state.NewStore(1)
	view := NewView(store, "kita", nopLogger())
	peers := NewPeerPool()
	replica := NewReplica(store, peers, clockwork.NewRealClock(), nopLogger(), noLinks)
	monitor := NewMonitor("", view, replica, peers, clockwork.NewRealClock(), nopLogger(), NewMetrics(), time.Hour)
	items := benchItems(b, 2_000, 100)
	for i := range 366 {
		item, err := benchRecord(i, member.RoleEntry).Item()
		require.NoError(b, err)
		items = append(items, item)
	}
	store.Apply(items, state.OriginRemote)
	mux := drpcmux.New()
	require.NoError(b, wire.DRPCRegisterMonitor(mux, monitor))
	address, stop := listenBenchPeers(b, mux)
	var bytes atomic.Int64
	counted := newCountingPeerPool(&bytes)
	client := wire.NewDRPCMonitorClient(counted.Conn(address))
	record := benchRecord(7, member.RoleAgent)
	request := &wire.HeartbeatRequest{
		Box: string(record.Box), Incarnation: uint64(record.Incarnation), Sequence: 1, AssignmentMajor: 9, AssignmentMinor: 9, Load: &wire.Load{Running: 3},
	}
	for len(view.Members()) < 2_366 {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	started, used := cpuTime(), bytes.Load()
	for b.Loop() {
		if _, err := client.Heartbeat(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime()-started)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytes.Load()-used)/float64(b.N), "wire-bytes/op")
	stop()
	for _, service := range []stopper{counted, monitor, replica, view, peers} {
		_ = service.Stop(context.Background())
	}
}

func listenBenchPeers(b *testing.B, mux *drpcmux.Mux) (member.Address, func()) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := NewPeerServer(listener, mux, nopLogger())
	return member.Address(listener.Addr().String()), func() { _ = server.Stop(context.Background()) }
}

// benchEntry is an entry box of BenchmarkDissemination.
type benchEntry struct {
	store   *state.Store
	view    *View
	replica *Replica
	peers   *PeerPool
	bytes   atomic.Int64
	stop    func()
}

// BenchmarkDissemination measures the time for a change at one entry box of a region to reach
// every other one over real connections, and the bytes per change at the busiest box.
func BenchmarkDissemination(b *testing.B) {
	for _, count := range []int{7, 50, 200, 366} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) { benchDissemination(b, count) })
	}
}

func benchDissemination(b *testing.B, count int) {
	entries := startBenchEntries(b, count)
	defer func() {
		for _, e := range entries {
			e.stop()
		}
	}()
	waitForAll(b, entries, func(e *benchEntry) bool { return len(e.view.Members()) == count })
	time.Sleep(2 * pullRetryDelay)
	key := plan.BoxPrefix + "box"
	value, err := state.Encode(plan.Assignment{Versions: []plan.PinnedVersion{{Model: "kakiwake", Version: "2026.12", Manifest: weights.Sum([]byte("m"))}}})
	require.NoError(b, err)
	for _, e := range entries {
		e.bytes.Store(0)
	}
	var times []time.Duration
	started := cpuTime()
	change := uint64(0)
	for b.Loop() {
		change++
		version := state.Version{Major: change}
		published := time.Now()
		entries[int(change)%count].replica.Publish(state.Item{Key: key, Version: version, Value: value})
		waitForAll(b, entries, func(e *benchEntry) bool { item, _ := e.store.Get(key); return item.Version == version })
		times = append(times, time.Since(published))
	}
	usedCPU := cpuTime() - started
	busiest := int64(0)
	for _, e := range entries {
		busiest = max(busiest, e.bytes.Load())
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100])/1e6, "p99-ms")
	b.ReportMetric(float64(busiest)/float64(len(times)), "busiest-bytes/change")
	b.ReportMetric(float64(usedCPU)/float64(len(times)*count), "cpu-ns/change/entry")
}

func waitForAll(b *testing.B, entries []*benchEntry, check func(*benchEntry) bool) {
	b.Helper()
	deadline := time.Now().Add(time.Minute)
	for _, e := range entries {
		for !check(e) {
			if time.Now().After(deadline) {
				b.Fatal("timed out waiting for the change to arrive")
			}
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// startBenchEntries starts entry boxes that hold the records of each other. Each counts the
// bytes on the connections that it opens and accepts.
func startBenchEntries(b *testing.B, count int) []*benchEntry {
	b.Helper()
	entries := make([]*benchEntry, count)
	records := make([]state.Item, count)
	listeners := make([]net.Listener, count)
	for i := range entries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners[i] = listener
		record := benchRecord(i, member.RoleEntry)
		record.Peers = member.Address(listener.Addr().String())
		records[i], err = record.Item()
		require.NoError(b, err)
	}
	for i := range entries {
		e := &benchEntry{store: state.NewStore(uint64(i) + 1)}
		e.store.Apply(records, state.OriginRemote)
		e.view = NewView(e.store, "kita", nopLogger())
		e.peers = newCountingPeerPool(&e.bytes)
		overlay := NewOverlay(e.view, benchRecord(i, member.RoleEntry), func() []member.Address { return nil })
		e.replica = NewReplica(e.store, e.peers, clockwork.NewRealClock(), nopLogger(), overlay.Links)
		mux := drpcmux.New()
		require.NoError(b, wire.DRPCRegisterReplica(mux, e.replica))
		server := NewPeerServer(&countingListener{listeners[i], &e.bytes}, mux, nopLogger())
		e.stop = func() {
			for _, service := range []stopper{e.replica, e.view, server, e.peers} {
				_ = service.Stop(context.Background())
			}
		}
		entries[i] = e
	}
	return entries
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l.bytes}, err
}

// BenchmarkRequest compares a small request through an entry box and an agent with the
// same request sent directly to the backend server.
func BenchmarkRequest(b *testing.B) {
	base, stop := startBenchBackend(b, echoRequest)
	defer stop()
	direct := &benchCaller{client: newBackendClient(false), url: base + "/path"}
	defer direct.client.CloseIdleConnections()
	proxied := startBenchCaller(b, base)
	defer proxied.stop()
	for name, caller := range map[string]*benchCaller{"direct": direct, "through": proxied} {
		b.Run(name, func(b *testing.B) {
			require.Equal(b, http.StatusAccepted, caller.send(b))
			started := cpuTime()
			b.ReportAllocs()
			for b.Loop() {
				caller.send(b)
			}
			b.ReportMetric(float64(cpuTime()-started)/float64(b.N), "cpu-ns/op")
		})
	}
}

// streamFrames is the number of frames in each response of BenchmarkStream.
const streamFrames = 500

// BenchmarkStream measures one frame of a streamed response from backend server to caller. All
// parts run in this process, so the figure is an upper bound for each of them.
func BenchmarkStream(b *testing.B) {
	base, stop := startBenchBackend(b, func(w http.ResponseWriter, _ *http.Request) {
		controller := http.NewResponseController(w)
		for range streamFrames {
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n")
			_ = controller.Flush()
		}
	})
	defer stop()
	entry := startBenchCaller(b, base)
	defer entry.stop()
	b.ReportAllocs()
	started := cpuTime()
	for b.Loop() {
		entry.send(b)
	}
	b.ReportMetric(float64(cpuTime()-started)/float64(b.N*streamFrames), "cpu-ns/frame")
}

// BenchmarkActiveStreams measures the memory of responses in progress. All parts run in this process.
func BenchmarkActiveStreams(b *testing.B) {
	const streams = 400
	base, stop := startBenchBackend(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: first\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	defer stop()
	entry := startBenchCaller(b, base)
	defer entry.stop()
	for b.Loop() {
		before := heapInUse()
		ctx, cancel := context.WithCancel(context.Background())
		for range streams {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry.url, http.NoBody)
			require.NoError(b, err)
			response, err := entry.client.Do(request)
			require.NoError(b, err)
			defer func() { _ = response.Body.Close() }()
		}
		b.ReportMetric(float64(heapInUse()-before)/streams, "heap-bytes/stream")
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		b.ReportMetric(float64(stats.StackInuse)/streams, "stack-bytes/stream")
		cancel()
	}
}

func startBenchBackend(b *testing.B, handler http.HandlerFunc) (base string, stop func()) {
	b.Helper()
	backend := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = backend.Serve(listener) }()
	return "http://" + listener.Addr().String(), func() { _ = backend.Close() }
}

// benchCaller sends requests to a URL of a backend server or an entry box.
type benchCaller struct {
	client *http.Client
	url    string
	stop   func()
}

func (c *benchCaller) send(b *testing.B) int {
	response, err := c.client.Post(c.url, "text/plain", strings.NewReader("hello"))
	if err != nil {
		b.Fatal(err)
	}
	_, _ = copyBody(io.Discard, response)
	_ = response.Body.Close()
	return response.StatusCode
}

func startBenchCaller(b *testing.B, backend string) *benchCaller {
	b.Helper()
	record := benchRecord(1, member.RoleAgent)
	record.Services = []member.Service{"chizu"}
	proxy := NewBackendProxy("", map[member.Service]string{"chizu": backend}, nil, func() member.Record { return record }, clockwork.NewRealClock(), nopLogger(), NewMetrics())
	mux := drpcmux.New()
	require.NoError(b, wire.DRPCRegisterBackend(mux, proxy))
	address, stop := listenBenchPeers(b, mux)
	record.Peers = address
	store := state.NewStore(1)
	view := NewView(store, "kita", nopLogger())
	peers := NewPeerPool()
	item, err := record.Item()
	require.NoError(b, err)
	store.Apply([]state.Item{item}, state.OriginRemote)
	for len(view.Members()) == 0 {
		time.Sleep(time.Millisecond)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	options := CallerServerOptions{Listen: fixedListener(listener), Ready: always, OnListening: func() {}, View: view, Peers: peers, Clock: clockwork.NewRealClock(), Log: nopLogger(), Metrics: NewMetrics(), Region: "kita"}
	options.Settings.SlotsPerReplica, options.Settings.QueuePerGroup, options.Settings.RetryBodyLimit = 1000, 64, 1<<20
	options.Settings.Deadline = 60_000_000_000
	callers := NewCallerServer(options)
	caller := &benchCaller{
		client: newBackendClient(false), url: "http://" + listener.Addr().String() + "/v1/services/chizu/path",
	}
	caller.stop = func() {
		caller.client.CloseIdleConnections()
		for _, service := range []stopper{callers, view, peers} {
			_ = service.Stop(context.Background())
		}
		stop()
	}
	return caller
}

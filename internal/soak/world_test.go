package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

const (
	pieces      = 6
	pieceSize   = 20_000
	events      = 12
	eventTime   = 30 * time.Millisecond
	originConns = 40
)

// The ports, alike on all boxes.
const (
	portPeers = 17000 + iota
	portCallers
	portReadiness
	portDirectory
	portAgents
	portServers
)

// world is one deployment: stand-ins of the platform in this process, entry boxes and
// agents as processes of their own, and proxies before the store and every server.
type world struct {
	t      *testing.T
	random *rand.Rand
	// starts draws which servers start again, apart from random, so that seeds that are kept
	// draw all else as they did when they failed.
	starts *rand.Rand
	// words draws what servers say of themselves, apart from random for the same reason.
	words *rand.Rand
	// limits draws the rate limits of servers, apart from random for the same reason.
	limits *rand.Rand
	number int

	store     *standin.Store
	origin    *standin.Origin
	servers   []*server
	entries   []*process
	agents    []*process
	callers   []string
	listeners []net.Listener
	proxies   []*proxy
	storeLink *proxy
	originAt  string
	// crashes are the servers that have crashed and will start again.
	crashes sync.WaitGroup

	// mu orders what the operator writes.
	mu      sync.Mutex
	version int
	config  int
}

// server is a stand-in of a backend server behind its proxy.
type server struct {
	*standin.Server
	id      string
	service string
	link    *proxy
}

func newWorld(t *testing.T, seed uint64, number int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), number: number, //nolint:gosec // repeatable on purpose
		starts: rand.New(rand.NewPCG(seed, seed+1)), //nolint:gosec // repeatable on purpose
		words:  rand.New(rand.NewPCG(seed, seed+2)), //nolint:gosec // repeatable on purpose
		limits: rand.New(rand.NewPCG(seed, seed+3)), //nolint:gosec // repeatable on purpose
		store:  standin.NewStore(), origin: standin.NewOrigin(pieces, pieceSize), version: 1, config: 1,
	}
	t.Cleanup(w.close)
	w.storeLink = w.link("127.0.0.1:0", w.serve(w.store))
	for i := range *modelServers {
		w.addServer(fmt.Sprintf("i-model-%d", i), "llm", "daka", w.ip(50+i))
	}
	for i := range *plainServers {
		w.addServer(fmt.Sprintf("i-plain-%d", i), "maps", "", w.ip(150+i))
	}
	w.putConfig()
	dir := t.TempDir()
	seeds := fmt.Sprintf("entries = [%q]", fmt.Sprintf("%s:%d", w.ip(1), portPeers))
	for i := range *entryBoxes {
		w.addEntry(dir, fmt.Sprintf("entry-%d", i), w.ip(1+i), seeds)
	}
	for i := range *modelServers {
		w.addAgent(dir, fmt.Sprintf("agent-%d", i), w.ip(50+i), seeds, w.servers[i])
	}
	return w
}

// ip returns an address that no other world of this process uses, nor one of a soak that runs
// beside it.
func (w *world) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+(os.Getpid()+w.number/200)%200, 1+w.number%200, n)
}

func (w *world) serve(handler http.Handler) string {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.listeners = append(w.listeners, listener)
	go func() { _ = http.Serve(listener, handler) }() //nolint:gosec // a stand-in on loopback
	return listener.Addr().String()
}

func (w *world) link(address, target string) *proxy {
	p, err := newProxy(address, target)
	if err != nil {
		w.t.Fatal(err)
	}
	w.proxies = append(w.proxies, p)
	return p
}

func (w *world) addServer(id, service, model, ip string) {
	version := uint64(0)
	if model != "" {
		version = 1
	}
	s := &server{id: id, service: service, Server: standin.NewServer(standin.ServerOptions{
		ID: id, Model: model, Version: version, Chunks: pieces, Digest: w.origin.Digest,
		Events: events, EventInterval: eventTime, LoadTime: 50 * time.Millisecond,
	})}
	s.link = w.link(fmt.Sprintf("%s:%d", ip, portServers), w.serve(s))
	w.servers = append(w.servers, s)
	w.store.Put("servers/"+id, s.Entry(service, s.link.address(), "hall-a", false))
}

func (w *world) addEntry(dir, name, ip, seeds string) {
	callers := fmt.Sprintf("%s:%d", ip, portCallers)
	listen := []string{
		fmt.Sprintf("callers = %q", callers), fmt.Sprintf("readiness = \"%s:%d\"", ip, portReadiness),
		fmt.Sprintf("directory = \"%s:%d\"", ip, portDirectory), fmt.Sprintf("peers = \"%s:%d\"", ip, portPeers),
	}
	w.entries = append(w.entries, newProcess(w.t, dir, name, settingsOf("entry", name, ip, listen, w.rest(seeds))))
	w.callers = append(w.callers, callers)
}

func (w *world) addAgent(dir, name, ip, seeds string, s *server) {
	listen := []string{fmt.Sprintf("peers = \"%s:%d\"", ip, portAgents)}
	rest := append(w.rest(seeds), fmt.Sprintf("server = %q", s.link.address()), fmt.Sprintf("service = %q", s.service))
	w.agents = append(w.agents, newProcess(w.t, dir, name, settingsOf("agent", name, ip, listen, rest)))
}

func (w *world) rest(seeds string) []string {
	return []string{
		"[peers]", seeds, "[direct]", fmt.Sprintf("store = %q", w.storeLink.address()), fmt.Sprintf("agent_port = %d", portAgents),
		"memory_limit_megabytes = 150", "link_mbps = 100.0", `version_bound = "8s"`, "retry_ratio = 0.2", "retry_extra = 1000", `retry_window = "10s"`,
	}
}

func (w *world) processes() []*process {
	return append(append([]*process(nil), w.entries...), w.agents...)
}

func (w *world) close() {
	for _, p := range w.processes() {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL)
	}
	w.crashes.Wait()
	for _, p := range w.proxies {
		p.end()
	}
	for _, listener := range w.listeners {
		_ = listener.Close()
	}
}

// putConfig writes the next configuration; each adds a route, which is returned.
func (w *world) putConfig() (added string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": "a.example", "PathPrefix": "/" + name + "/", "Type": kind, "TimeoutMs": 3000, "TargetLatencyMs": 400,
			"Service": service, "MaxAttempts": 2, "Resumable": resumable, "gap_aim_ms": 300, "Public": true,
		}
	}
	routes := []any{
		route("talk", "streaming", "llm", true), route("once", "streaming", "llm", false),
		route("look", "safe", "maps", false), route("book", "unsafe", "maps", false),
	}
	for i := range w.config {
		added = fmt.Sprintf("extra-%d", i)
		routes = append(routes, route(added, "safe", "maps", false))
	}
	engine := map[string]any{
		"Slots": 4, "Models": []map[string]any{{"Name": "daka", "WarmupS": 0.05}}, "layers": standin.LayerCount,
		"chunks": pieces, "chunk_bytes": pieceSize, "step_ms": 7.0, "read_per_s": 30000.0, "stride": 6, "chunk": 2048,
	}
	w.put("op/config", map[string]any{
		"Version": w.config, "Routes": routes, "Limits": map[string]any{"MaxBodyBytes": 1000},
		"Services": []any{
			map[string]any{"Name": "llm", "MaxConnections": 50, "Engine": engine},
			map[string]any{"Name": "maps", "MaxConnections": 50},
			map[string]any{"Name": "weights", "origin": w.originAddress(), "MaxConnections": originConns},
		},
	})
	w.config++
	return added
}

// originAddress serves the origin at the first call.
func (w *world) originAddress() string {
	if w.originAt == "" {
		w.originAt = w.serve(w.origin)
	}
	return w.originAt
}

// nameVersion names the next version of the weights.
func (w *world) nameVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.put("op/version/daka", map[string]any{"Model": "daka", "Version": w.version})
}

func (w *world) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put(key, raw)
}

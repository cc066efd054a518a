package direct_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/direct"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/platform"
	"github.com/cinderslip/cinderslip/platform/standin"
)

const (
	chunkCount    = 6
	chunkSize     = 2000
	events        = 10
	eventInterval = 20 * time.Millisecond
	// retryExtra is the additional retry budget of each box. It allows a box that has just started all the
	// retries that a script needs.
	retryExtra = 1000.0
)

// testDeployment is a deployment of a few entry boxes, agents and backend servers in this process.
type testDeployment struct {
	t             *testing.T
	store         *standin.Store
	origin        *standin.Origin
	listeners     []net.Listener
	storeAddress  string
	originAddress string
	number        int
	version       uint64
	// configuration is the version of the configuration that was written last, residency the allowed regions of its
	// routes, by path prefix.
	configuration int
	residency     map[string][]string
	// idleTimeout is IdleTimeoutMs of the configuration; 0 for the default of the boxes.
	idleTimeout time.Duration

	servers        map[string]*testServer
	processes      map[string]*direct.Process
	clocks         map[string]*machineClock
	settingsByName map[string]*settings.Settings
	entries        []string

	// backup is the backup of the store, lost what the last restore of it has lost.
	backup *standin.Backup
	lost   []standin.Entry
	// loadResults holds the results of cmdLoad.
	loadResults loadResults
	// requestCount numbers the requests of commands that make several.
	requestCount atomic.Int64
	// restarts counts the crashed servers that have yet to restart.
	restarts sync.WaitGroup

	// partExits are the exits of servers under parts of prompts.
	partExits *partExits

	mu      sync.Mutex
	streams map[string]chan error
	// soundResults are the results of requests without a part that crashes servers.
	soundResults []soundResult
}

// testServer is the stand-in of a backend server and its entry in the store.
type testServer struct {
	*standin.Server
	host    *standin.Host
	id      string
	service string
	address string
	domain  string
}

// domainRegions are the failure domains of a deployment and their regions.
var domainRegions = map[string]string{"hall-a": "riga", "hall-b": "kurzeme"}

func newTestDeployment(t *testing.T) *testDeployment {
	w := &testDeployment{
		t: t, store: standin.NewStore(), origin: standin.NewOrigin(chunkCount, chunkSize),
		servers: make(map[string]*testServer), processes: make(map[string]*direct.Process),
		clocks:         make(map[string]*machineClock),
		settingsByName: make(map[string]*settings.Settings), streams: make(map[string]chan error), version: 1,
		residency: make(map[string][]string), number: int(deploymentCount.Add(1)),
	}
	w.storeAddress = w.serve("127.0.0.1:0", w.store)
	w.originAddress = w.serve("127.0.0.1:0", w.origin)
	return w
}

// deploymentCount counts the deployments of this process, so that each has its own addresses.
var deploymentCount atomic.Int32

// ip returns an address that no other deployment uses, in this test process or another one.
func (w *testDeployment) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, w.number, 50*group+n)
}

// Groups of addresses within a deployment.
const (
	groupModel = iota
	groupEntry
	groupPlain
)

// Ports of the processes, the same on all boxes.
const (
	portPeers = 18000 + iota
	portCallers
	portReadiness
	portDirectory
	portAgents
	portMetrics
)

// serve starts an HTTP server that runs until close, and returns its address.
func (w *testDeployment) serve(address string, handler http.Handler) string {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.listeners = append(w.listeners, listener)
	go func() { _ = http.Serve(listener, handler) }() //nolint:gosec // a stand-in on loopback
	return listener.Addr().String()
}

// close stops all processes and servers.
func (w *testDeployment) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, process := range w.processes {
		_ = process.Stop(ctx)
	}
	for _, listener := range w.listeners {
		_ = listener.Close()
	}
	w.restarts.Wait()
	for _, s := range w.servers {
		_ = s.host.Kill()
	}
}

// cmdPlatform starts model servers and plain servers and writes the first configuration: platform models=2 plain=1.
// The servers of each kind are in the given failure domains in turn: platform plain=2 domains=hall-a,hall-b.
func (w *testDeployment) cmdPlatform(args []string) error {
	options := parseOptions(args)
	domains := strings.Split(cmp.Or(options["domains"], "hall-a"), ",")
	for i := range parseInt(options["models"], 0) {
		w.addServer(fmt.Sprintf("model-%d", i+1), "llm", w.ip(groupModel, i+1)+":0", "daka", domains[i%len(domains)])
	}
	for i := range parseInt(options["plain"], 0) {
		w.addServer(fmt.Sprintf("plain-%d", i+1), "maps", w.ip(groupPlain, i+1)+":0", "", domains[i%len(domains)])
	}
	w.putConfig(1, []string{"key-1", "key-2"})
	return nil
}

// addServer starts a backend server and writes its entry to the store. The model is empty for a plain server.
func (w *testDeployment) addServer(name, service, address, model, domain string) {
	s := &testServer{id: "i-" + name, service: service, domain: domain}
	version := uint64(0)
	if model != "" {
		version = 1
	}
	s.Server = standin.NewServer(standin.ServerOptions{
		ID: s.id, Model: model, Version: version, Chunks: chunkCount, Digest: w.origin.Digest,
		Events: events, EventInterval: eventInterval, LoadTime: 50 * time.Millisecond,
	})
	var err error
	if s.host, err = standin.NewHost(address, s); err != nil {
		w.t.Fatal(err)
	}
	s.address = s.host.Address()
	w.servers[name] = s
	w.putEntry(s, false)
}

// putEntry writes the entry of a server to the store.
func (w *testDeployment) putEntry(s *testServer, draining bool) {
	w.store.Put("servers/"+s.id, s.Entry(s.service, s.address, s.domain, draining))
}

// putConfig writes a configuration with five routes, three services and one organisation.
func (w *testDeployment) putConfig(version int, keys []string) {
	w.configuration = version
	route := func(name, path, kind, service string, timeout, attempts int, resumable bool) map[string]any {
		entry := map[string]any{
			"Name": name, "Host": "a.example", "PathPrefix": path, "Type": kind, "TimeoutMs": timeout, "TargetLatencyMs": 400,
			"Service": service, "MaxAttempts": attempts, "Resumable": resumable, "gap_aim_ms": 300,
		}
		if regions, ok := w.residency[path]; ok {
			entry["AllowedRegions"] = regions
		}
		return entry
	}
	engine := map[string]any{
		"Slots": 4, "Models": []map[string]any{{"Name": "daka", "WarmupS": 0.05}}, "layers": standin.LayerCount,
		"chunks": chunkCount, "chunk_bytes": chunkSize, "step_ms": 7.0, "read_per_s": 30000.0, "stride": 6,
	}
	document := map[string]any{
		"Version": version,
		"Routes": []any{
			route("talk", "/talk/", "streaming", "llm", 4000, 2, true),
			route("look", "/look/", "safe", "maps", 2000, 2, false),
			route("haul", "/haul/", "safe", "maps", 4000, 2, false),
			route("book", "/book/", "unsafe", "maps", 600, 2, false),
			route("once", "/once/", "unsafe", "maps", 2000, 1, false),
		},
		"Services": []any{
			map[string]any{"Name": "llm", "MaxConnections": 50, "Engine": engine},
			map[string]any{"Name": "maps", "MaxConnections": 50},
			map[string]any{"Name": "weights", "origin": w.originAddress, "MaxConnections": 40},
		},
		"Limits":  map[string]any{"MaxBodyBytes": 1000, "IdleTimeoutMs": w.idleTimeout.Milliseconds()},
		"Tenants": []any{map[string]any{"Name": "kumiai", "ApiKeys": keys, "Priority": 1}},
	}
	raw, err := json.Marshal(document)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op/config", raw)
}

// putIdleTimeout writes a configuration with another idle timeout of callers.
func (w *testDeployment) putIdleTimeout(version int, timeout time.Duration) {
	w.idleTimeout = timeout
	w.putConfig(version, []string{"key-1"})
}

// cmdConfig writes another configuration: config 2 key-1.
func (w *testDeployment) cmdConfig(args []string) error {
	w.putConfig(parseInt(args[0], 1), args[1:])
	return nil
}

// cmdResidency sets the allowed regions of the route with a path prefix, none for all regions, and writes another
// configuration: residency /look/ riga.
func (w *testDeployment) cmdResidency(args []string) error {
	if w.residency[args[0]] = args[1:]; len(args) == 1 {
		delete(w.residency, args[0])
	}
	w.putConfig(w.configuration+1, []string{"key-1", "key-2"})
	return nil
}

// cmdPublish publishes a version of the weights: publish 2.
func (w *testDeployment) cmdPublish(args []string) error {
	w.version = uint64(parseInt(args[0], 1))
	raw, err := json.Marshal(map[string]any{"Model": "daka", "Version": w.version})
	w.store.Put("op/version/daka", raw)
	return err
}

// settings returns the settings of a process.
func (w *testDeployment) settings(role settings.Role, box, ip string, peersPort int) *settings.Settings {
	loaded := &settings.Settings{
		Role: role, Mode: settings.ModeDirect, Box: box, Region: "riga", FailureDomain: "hall-a",
		Listen: settings.Listen{Peers: fmt.Sprintf("%s:%d", ip, peersPort), Metrics: fmt.Sprintf("%s:%d", ip, portMetrics)},
		Peers:  settings.Peers{Entries: w.entries},
		Direct: settings.Direct{
			Store: w.storeAddress, AgentPort: portAgents, MemoryLimitMegabytes: 64, LinkMbps: 100, RetryExtra: new(retryExtra),
			Domains: domainRegions,
		},
		Stop: settings.Stop{Grace: settings.Duration(6 * time.Second)},
	}
	loaded.Default()
	return loaded
}

// cmdEntry starts entry boxes, or restarts stopped ones with their old settings: entry entry-1 entry-2. The settings
// of a new box list itself and all boxes that were started before it.
func (w *testDeployment) cmdEntry(args []string) error {
	for _, name := range args {
		if old := w.settingsByName[name]; old != nil {
			if err := w.start(name, old); err != nil {
				return err
			}
			continue
		}
		ip := w.ip(groupEntry, len(w.settingsByName)+1)
		loaded := w.settings(settings.RoleEntry, name, ip, portPeers)
		loaded.Listen.Callers = fmt.Sprintf("%s:%d", ip, portCallers)
		loaded.Listen.Readiness = fmt.Sprintf("%s:%d", ip, portReadiness)
		loaded.Listen.Directory = fmt.Sprintf("%s:%d", ip, portDirectory)
		w.entries = append(w.entries, loaded.Listen.Peers)
		if err := w.start(name, loaded); err != nil {
			return err
		}
	}
	return nil
}

// cmdAgent starts the agents of model servers: agent model-1.
func (w *testDeployment) cmdAgent(args []string) error {
	for _, name := range args {
		server := w.servers[name]
		ip, _, err := net.SplitHostPort(server.address)
		if err != nil {
			return err
		}
		loaded := w.settings(settings.RoleAgent, "agent-"+name, ip, portAgents)
		loaded.Direct.Server, loaded.Direct.Service = server.address, server.service
		if err := w.start("agent-"+name, loaded); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process.
func (w *testDeployment) start(name string, loaded *settings.Settings) error {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	adapter := platform.New(platform.Addresses{Store: member.Address(w.storeAddress), Server: member.Address(loaded.Direct.Server)}, client)
	log := zerolog.New(zerolog.NewTestWriter(w.t)).With().Str("process", name).Logger()
	clock := &machineClock{Clock: clockwork.NewRealClock()}
	process, err := direct.Start(loaded, direct.Options{Clock: clock, Log: log, Platform: adapter})
	if err != nil {
		return err
	}
	w.processes[name], w.settingsByName[name], w.clocks[name] = process, loaded, clock
	return nil
}

// cmdStop stops a process in a planned stop: stop-process entry-1.
func (w *testDeployment) cmdStop(args []string) error {
	process := w.processes[args[0]]
	delete(w.processes, args[0])
	return process.Stop(context.Background())
}

// cmdStore controls the store: it sets a fault (store refuse, store deaf), clears it (store healthy), compacts the
// history (store compact), removes the entry of a server (store remove SERVER) or writes it with a state
// (store draining SERVER, store ready SERVER). It writes the evacuation of a failure domain (store evacuate DOMAIN) or
// deletes it (store readmit DOMAIN). It takes a backup (store backup), restores it (store restore, with drop-history or
// keep-watches) and writes what was lost again (store rewrite).
func (w *testDeployment) cmdStore(args []string) error {
	switch args[0] {
	case "healthy":
		w.store.SetFault(standin.FaultNone)
	case "compact":
		w.store.Compact()
	case "remove":
		w.store.Remove("servers/" + w.servers[args[1]].id)
	case "draining", "ready":
		w.putEntry(w.servers[args[1]], args[0] == "draining")
	case "evacuate":
		w.store.Put("op/evacuate/"+args[1], []byte("{}"))
	case "readmit":
		w.store.Remove("op/evacuate/" + args[1])
	case "backup":
		w.backup = w.store.Backup()
	case "restore":
		w.lost = w.store.Restore(w.backup, standin.RestoreOptions{
			DropHistory: slices.Contains(args, "drop-history"), KeepWatches: slices.Contains(args, "keep-watches"),
		})
	case "rewrite":
		for _, entry := range w.lost {
			w.store.Write(entry)
		}
	default:
		w.store.SetFault(standin.Fault(args[0]))
	}
	return nil
}

// cmdServer sets the faults and signals of a server. It clears those that are not given, except leaving and dead:
//
//	server model-1 truncate-at=4     breaks streams off at event 4
//	server plain-1 status=500        responds with this status
//	server plain-1 unresponsive      runs requests without responding
//	server model-1 silent=events for=1.1s   falls silent once in each request, at a standin.SilencePoint; without a time forever
//	server plain-1 body=200000 within=2s    responds with a long body, sent evenly
//	server plain-1 limit=1.9         advertises this rate limit, per second
//	server plain-1 retry-after=5     rejects requests with this Retry-After value
//	server model-1 leaving           announces its end in its responses
//	server plain-1 dead              stops listening
//	server model-1 restart=i-new     restarts under a new id
//	server model-1 restart=same      restarts under its old id without weights
//	server model-1 restart=same version=1   restarts under its old id with version 1
func (w *testDeployment) cmdServer(args []string) error {
	s, options := w.servers[args[0]], parseOptions(args[1:])
	s.TruncateStreamAt(parseInt(options["truncate-at"], 0))
	s.SetErrorStatus(parseInt(options["status"], 0))
	_, unresponsive := options["unresponsive"]
	s.SetUnresponsive(unresponsive)
	silentFor, _ := time.ParseDuration(options["for"])
	s.SetSilence(standin.Silence{Point: standin.SilencePoint(options["silent"]), Duration: silentFor, Forever: silentFor == 0})
	bodyTime, _ := time.ParseDuration(options["within"])
	s.SetLongBody(parseInt(options["body"], 0), bodyTime)
	if _, leaving := options["leaving"]; leaving {
		s.SetLeaving(true)
	}
	s.SetRetryAfter(options["retry-after"])
	s.SetRateLimit(options["limit"])
	if _, dead := options["dead"]; dead {
		return s.host.StopListening()
	}
	switch id := options["restart"]; id {
	case "":
	case "same":
		// The entry in the store is not updated: it describes the incarnation before until the server
		// writes again, which may take a while.
		s.Restart(s.id)
		s.SetVersion(uint64(parseInt(options["version"], 0)))
	default:
		w.store.Remove("servers/" + s.id)
		s.id = id
		s.Restart(id)
		w.putEntry(s, false)
	}
	return nil
}

// cmdForeignEntries writes entries as other writers of the store may: incomplete or invalid ones, and one of an
// unknown service with the address of a model server.
func (w *testDeployment) cmdForeignEntries([]string) error {
	for i, entry := range []string{
		`{"Service":"llm","Zone":"hall-a","Slots":4,"State":"ready"}`,
		`{"Service":"llm","Address":"127.0.0.1:1","Zone":"hall-a","Slots":4,"State":"parked"}`,
		`{"Service":"llm","Address":7}`,
		`parked`,
		fmt.Sprintf(`{"Service":"nobody","Address":%q,"Zone":"hall-a","Slots":4,"State":"ready"}`, w.servers["model-1"].address),
	} {
		w.store.Put(fmt.Sprintf("servers/foreign-%d", i), []byte(entry))
	}
	return nil
}

// cmdOrigin corrupts the next chunks that the origin sends (origin corrupt=3), spoils the next manifests (origin spoil=digit
// manifests=2), or checks that it has sent at most a number of chunks (origin max=9).
func (w *testDeployment) cmdOrigin(args []string) error {
	options := parseOptions(args)
	if limit := parseInt(options["max"], 0); limit > 0 && w.origin.Sent() > limit {
		return fmt.Errorf("origin sent %d chunks, want at most %d", w.origin.Sent(), limit)
	}
	w.origin.CorruptNext(parseInt(options["corrupt"], 0))
	w.origin.SpoilNextManifests(parseInt(options["manifests"], 0), standin.ManifestSpoil(options["spoil"]))
	return nil
}

// request sends a request to an entry box as a caller does.
func (w *testDeployment) request(entry, id, path, key string) (*http.Response, error) {
	return w.requestBody(entry, id, path, key, "draft")
}

// requestBody sends a request with the given body to an entry box.
func (w *testDeployment) requestBody(entry, id, path, key, body string) (*http.Response, error) {
	return w.send(context.Background(), entry, id, path, key, body)
}

// send sends a request with the given body to an entry box. The caller disconnects when the context ends.
func (w *testDeployment) send(ctx context.Context, entry, id, path, key, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.settingsByName[entry].Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("X-Token-Usage", "100,60")
	request.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	return client.Do(request)
}

// checkStream requests a stream and checks that each event is received once, in order.
func (w *testDeployment) checkStream(entry, id string) error {
	return w.checkStreamWithin(entry, id, waitTimeout)
}

// checkStreamWithin is checkStream for a caller that gives the stream up after a time without an event.
func (w *testDeployment) checkStreamWithin(entry, id string, patience time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := time.AfterFunc(patience, cancel)
	defer timer.Stop()
	response, err := w.send(ctx, entry, id, "/talk/1", "key-1", "draft")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(readerFunc(func(buffer []byte) (int, error) {
		n, err := response.Body.Read(buffer)
		timer.Reset(patience)
		return n, err
	}))
	if err != nil {
		return fmt.Errorf("reading stream %s after %q: %w", id, body, err)
	}
	var want strings.Builder
	for event := range events {
		fmt.Fprintf(&want, "id: %d\ndata: token %d\n\n", event+1, event+1)
	}
	if response.StatusCode != http.StatusOK || string(body) != want.String() {
		return fmt.Errorf("stream %s: status %d, body %q", id, response.StatusCode, body)
	}
	if response.Header.Get("X-Request-Id") != id || response.Header.Get("X-Response-Seal") == "" {
		return fmt.Errorf("stream %s: headers %v", id, response.Header)
	}
	return nil
}

// readerFunc is a function that reads as an io.Reader does.
type readerFunc func(buffer []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }

// cmdStream requests a stream and checks that it is complete: stream entry-1 s-1.
func (w *testDeployment) cmdStream(args []string) error { return w.checkStream(args[0], args[1]) }

// cmdStartStream starts a stream in the background and waits until a server runs it: start-stream entry-1 s-1. The
// caller may give the stream up after a time without an event: start-stream entry-1 s-1 patience=2s.
func (w *testDeployment) cmdStartStream(args []string) error {
	patience := waitTimeout
	if given, err := time.ParseDuration(parseOptions(args)["patience"]); err == nil {
		patience = given
	}
	return w.startInBackground(args[1], func() error { return w.checkStreamWithin(args[0], args[1], patience) })
}

// startInBackground calls check, which sends a request with an ID, in the background and waits until a server runs the
// request.
func (w *testDeployment) startInBackground(id string, check func() error) error {
	done := make(chan error, 1)
	w.mu.Lock()
	w.streams[id] = done
	w.mu.Unlock()
	go func() { done <- check() }()
	return w.await(func() error {
		for _, s := range w.servers {
			if s.Runs()[id] > 0 {
				return nil
			}
		}
		return errors.New("request has not started")
	})
}

// cmdAwaitStream waits for the end of a stream or body in the background and checks that it is complete:
// await-stream s-1.
func (w *testDeployment) cmdAwaitStream(args []string) error {
	select {
	case err := <-w.streams[args[0]]:
		return err
	case <-time.After(waitTimeout):
		return errors.New("response has not ended")
	}
}

// checkBody requests a response of a plain server and checks that it is complete. A size of 0 stands for the short body.
func (w *testDeployment) checkBody(entry, id, path string, size int) error {
	response, err := w.request(entry, id, path, "key-1")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("reading body %s after %d bytes: %w", id, len(body), err)
	}
	want := strings.Repeat("x", size)
	if size == 0 {
		want = "answer to " + id
	}
	if response.StatusCode != http.StatusOK || string(body) != want || response.Header.Get("X-Response-Seal") == "" {
		return fmt.Errorf("body %s: status %d, %d bytes, headers %v", id, response.StatusCode, len(body), response.Header)
	}
	return nil
}

// cmdStartBody requests a response of a plain server in the background and waits until a server runs it:
// start-body entry-1 b-1 /haul/1 [size]. await-stream checks that it is complete.
func (w *testDeployment) cmdStartBody(args []string) error {
	size := 0
	if len(args) > 3 {
		size = parseInt(args[3], 0)
	}
	return w.startInBackground(args[1], func() error { return w.checkBody(args[0], args[1], args[2], size) })
}

// cmdCheckReceived checks how often a server received a request, also if it refused it: check-received model-2 s-1 1.
func (w *testDeployment) cmdCheckReceived(args []string) error {
	received := 0
	for _, request := range w.servers[args[0]].ReceivedRequests() {
		if request.RequestID == args[1] {
			received++
		}
	}
	if received != parseInt(args[2], 0) {
		return fmt.Errorf("%s received request %s %d times, want %s", args[0], args[1], received, args[2])
	}
	return nil
}

// cmdRequest sends a request and checks the status of the response, and that a 503 response has a Retry-After
// header: request entry-1 r-1 /look/1 key-1 200.
func (w *testDeployment) cmdRequest(args []string) error {
	response, err := w.request(args[0], args[1], args[2], args[3])
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if want := parseInt(args[4], 0); response.StatusCode != want {
		return fmt.Errorf("request %s: status %d, want %d", args[1], response.StatusCode, want)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		return fmt.Errorf("request %s was refused without a Retry-After header", args[1])
	}
	return nil
}

// cmdCheckRuns checks how often a request ran on all servers, and its organisation if one is given:
// check-runs s-1 1 [organisation].
func (w *testDeployment) cmdCheckRuns(args []string) error {
	runs := 0
	for _, s := range w.servers {
		runs += s.Runs()[args[0]]
		if tenant := s.Tenant(args[0]); len(args) > 2 && s.Runs()[args[0]] > 0 && tenant != args[2] {
			return fmt.Errorf("request %s has organisation %q, want %q", args[0], tenant, args[2])
		}
	}
	if runs != parseInt(args[1], 0) {
		return fmt.Errorf("request %s ran %d times, want %s", args[0], runs, args[1])
	}
	return nil
}

// cmdAwait waits for a condition:
//
//	await ready entry-1                      the box is ready
//	await version 2                          all model servers have the version
//	await status entry-1 /look/1 key-2 401   a request gets the status
//	await stream entry-1                     a stream is complete
//	await directory entry-1 3                the directory returns this number of boxes
//	await used entry-1 plain-1 /look/1       a request is sent to this server and succeeds
//	await avoided entry-1 plain-1 /look/1 40 200   no request reaches this server, see cmdCheckAvoided
func (w *testDeployment) cmdAwait(args []string) error {
	switch args[0] {
	case "ready":
		return w.await(func() error { return w.checkReady(args[1]) })
	case "directory":
		return w.await(func() error { return w.checkDirectory(args[1], parseInt(args[2], 0)) })
	case "version":
		return w.await(func() error {
			for name, s := range w.servers {
				if s.service == "llm" && s.Version() != uint64(parseInt(args[1], 0)) {
					return fmt.Errorf("%s has version %d", name, s.Version())
				}
			}
			return nil
		})
	case "status":
		tries := 0
		return w.await(func() error {
			tries++
			return w.cmdRequest([]string{args[1], fmt.Sprintf("await-%s-%d", args[4], tries), args[2], args[3], args[4]})
		})
	case "avoided":
		return w.await(func() error { return w.cmdCheckAvoided(args[1:]) })
	case "used":
		return w.await(func() error { return w.checkUsed(args[1], args[2], args[3]) })
	case "stream":
		tries := 0
		return w.await(func() error {
			tries++
			return w.checkStream(args[1], fmt.Sprintf("await-%s-%d", args[1], tries))
		})
	}
	return fmt.Errorf("unknown condition: await %s", args[0])
}

// checkReady returns an error unless an entry box is ready.
func (w *testDeployment) checkReady(entry string) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+w.settingsByName[entry].Listen.Readiness+"/cinderslip/ready", http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is not ready: status %d", entry, response.StatusCode)
	}
	return nil
}

// checkDirectory returns an error unless the directory of an entry box returns the wanted number of addresses.
func (w *testDeployment) checkDirectory(entry string, want int) error {
	address := "http://" + w.settingsByName[entry].Listen.Directory + "/cinderslip/resolve?Name=maps.example&Region=riga&Zone=hall-a"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, address, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct{ Addresses []string }
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("directory of %s: status %d", entry, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return err
	}
	if len(body.Addresses) != want {
		return fmt.Errorf("directory of %s returned %v, want %d addresses", entry, body.Addresses, want)
	}
	return nil
}

// await polls a condition until it returns no error, and returns its last error after waitTimeout.
func (w *testDeployment) await(condition func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := condition()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// cmdCheckHealthy checks that no server has recorded a violation, which is a request that must never be sent to it:
// check-healthy.
func (w *testDeployment) cmdCheckHealthy([]string) error {
	for name, s := range w.servers {
		if violations := s.Violations(); len(violations) > 0 {
			return fmt.Errorf("%s: %v", name, violations)
		}
	}
	return nil
}

package scenario

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/standin"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// world is the platform and the processes of one scenario.
type world struct {
	env *testscript.Env
	dir string
	// listenAt is where processes listen, at any port. A process that was killed starts again at
	// its port, which must not become that of a connection meanwhile: those begin at 127.0.0.1.
	listenAt string
	clock    clockwork.Clock
	kv       *standin.KeyValue
	origin   *standin.Registry
	store    *standin.Registry
	list     *standin.BoxList
	urls     map[string]string
	servers  []*http.Server

	processes map[string]*process
	order     []string
	engines   map[string]*standin.Engine
	plains    map[string]*standin.PlainService
	// plainServices holds the names of the plain services.
	plainServices map[string]bool

	loops   map[string]*loop
	singles map[string]*single
}

// originRate is the stand-ins' rate in bytes per second until a scenario
// changes it.
const originRate = 8 << 20

// worlds counts the worlds of this process, so that each has an address of its own.
var worlds atomic.Int32

func newWorld(env *testscript.Env) (*world, error) {
	clock := clockwork.NewRealClock()
	w := &world{
		env: env, dir: env.WorkDir, clock: clock,
		listenAt: fmt.Sprintf("127.%d.%d.9:0", 20+os.Getpid()%200, 200+worlds.Add(1)%50),
		kv:       standin.NewKeyValue(clock), origin: standin.NewRegistry(clock, originRate),
		store: standin.NewRegistry(clock, originRate), list: standin.NewBoxList(clock, time.Second),
		urls: make(map[string]string), processes: make(map[string]*process),
		engines: make(map[string]*standin.Engine), plains: make(map[string]*standin.PlainService),
		plainServices: make(map[string]bool),
		loops:         make(map[string]*loop), singles: make(map[string]*single),
	}
	for name, handler := range map[string]http.Handler{
		"key_value": w.kv, "origin": w.origin, "weight_store": w.store, "box_list": w.list,
	} {
		url, err := w.serve(handler)
		if err != nil {
			return nil, err
		}
		w.urls[name] = url
	}
	return w, nil
}

func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (w *world) close() {
	for _, l := range w.loops {
		l.cancel()
	}
	for _, p := range w.processes {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	for _, server := range w.servers {
		_ = server.Close()
	}
}

// process is a cinderslipd of its own.
type process struct {
	name   string
	config string
	cmd    *exec.Cmd
	ended  chan struct{}
	code   int

	mu        sync.Mutex
	log       []string
	callers   string
	operators string
	peers     string
	started   chan struct{}
}

func (p *process) signal(signal syscall.Signal) {
	if p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// start runs the program and waits until it tells its addresses.
func (w *world) start(ts *testscript.TestScript, name, config string) {
	p := &process{name: name, config: config, ended: make(chan struct{}), started: make(chan struct{})}
	p.cmd = exec.Command("cinderslipd", "--config", config)
	stderr, err := p.cmd.StderrPipe()
	ts.Check(err)
	ts.Check(p.cmd.Start())
	go p.follow(bufio.NewScanner(stderr))
	w.processes[name] = p
	select {
	case <-p.started:
	case <-p.ended:
		w.dumpLogs(ts)
		ts.Fatalf("%s ended at its start", name)
	}
}

func (p *process) follow(lines *bufio.Scanner) {
	for lines.Scan() {
		line := lines.Text()
		p.mu.Lock()
		p.log = append(p.log, line)
		if strings.Contains(line, "event=started") {
			p.callers, p.operators, p.peers = field(line, "callers"), field(line, "operators"), field(line, "peers")
			close(p.started)
		}
		p.mu.Unlock()
	}
	_ = p.cmd.Wait()
	p.code = p.cmd.ProcessState.ExitCode()
	close(p.ended)
}

// field reads a value of a log line.
func field(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

func (w *world) dumpLogs(ts *testscript.TestScript) {
	for _, name := range w.order {
		p := w.processes[name]
		p.mu.Lock()
		ts.Logf("--- log of %s\n%s", name, strings.Join(p.log, "\n"))
		p.mu.Unlock()
	}
}

func (w *world) process(ts *testscript.TestScript, args []string) *process {
	if len(args) != 1 || w.processes[args[0]] == nil {
		ts.Fatalf("want the name of a process, got %v", args)
	}
	return w.processes[args[0]]
}

// entries are the entry boxes' processes that run, in the order of their start.
func (w *world) entries() []*process {
	var out []*process
	for _, name := range w.order {
		p := w.processes[name]
		select {
		case <-p.ended:
		default:
			if p.callers != "" {
				out = append(out, p)
			}
		}
	}
	return out
}

// publish MODEL VERSION BYTES [chunk=BYTES] publishes weights at the origin, and
// at the weight store too unless the scenario has taken it down.
func publish(w *world, ts *testscript.TestScript, args []string) {
	given := options(ts, args, 3, "chunk")
	size, err := strconv.Atoi(args[2])
	ts.Check(err)
	chunk := int64(64 << 10)
	if given["chunk"] != "" {
		chunk, err = strconv.ParseInt(given["chunk"], 10, 64)
		ts.Check(err)
	}
	var seed [32]byte
	copy(seed[:], args[0]+args[1])
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(data)
	for _, registry := range []*standin.Registry{w.origin, w.store} {
		_, err := registry.Publish(args[0], args[1], []standin.NamedFile{{Name: "weights", Content: data}}, chunk)
		ts.Check(err)
	}
}

// origin slow BYTES-PER-SECOND | down | up changes the weight store and the
// origin together; origin sent-at-most BYTES checks what both have sent.
func origin(w *world, ts *testscript.TestScript, args []string) {
	registries := []*standin.Registry{w.origin, w.store}
	switch {
	case len(args) == 2 && args[0] == "slow":
		rate, err := strconv.Atoi(args[1])
		ts.Check(err)
		for _, registry := range registries {
			registry.SetRate(rate)
		}
	case len(args) == 1 && args[0] == "down":
		for _, registry := range registries {
			registry.SetFault(func(string) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
		}
	case len(args) == 1 && args[0] == "up":
		for _, registry := range registries {
			registry.SetFault(nil)
		}
	case len(args) == 2 && args[0] == "sent-at-most":
		limit, err := strconv.ParseInt(args[1], 10, 64)
		ts.Check(err)
		if sent := w.origin.BytesSent() + w.store.BytesSent(); sent > limit {
			ts.Fatalf("origin and weight store sent %d bytes, want at most %d", sent, limit)
		}
	default:
		ts.Fatalf("origin: unexpected %v", args)
	}
}

// kv down | up | slow TIME | lose-answers N loses the answers of the next N
// writes, after they took effect.
func keyValue(w *world, ts *testscript.TestScript, args []string) {
	switch {
	case len(args) == 1 && args[0] == "down":
		w.kv.SetFault(func(string) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	case len(args) == 1 && args[0] == "up":
		w.kv.SetFault(nil)
	case len(args) == 2 && args[0] == "slow":
		delay, err := time.ParseDuration(args[1])
		ts.Check(err)
		w.kv.SetFault(func(string) standin.Fault { return standin.Fault{Delay: delay} })
	case len(args) == 2 && args[0] == "lose-answers":
		left, err := strconv.Atoi(args[1])
		ts.Check(err)
		var mu sync.Mutex
		w.kv.SetFault(func(path string) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			if path != "/v3/kv/txn" || left == 0 {
				return standin.Fault{}
			}
			left--
			return standin.Fault{DropResponse: true}
		})
	default:
		ts.Fatalf("kv: unexpected %v", args)
	}
}

// list leaving BOX | gone BOX changes what the platform's box list says.
func list(w *world, ts *testscript.TestScript, args []string) {
	if len(args) != 2 {
		ts.Fatalf("list: want leaving BOX or gone BOX")
	}
	switch args[0] {
	case "leaving":
		w.listBox(args[1], provider.ListedLeaving)
	case "gone":
		w.list.Remove(args[1])
	default:
		ts.Fatalf("list: unexpected %v", args)
	}
}

func (w *world) listBox(name string, state provider.ListedState) {
	p := w.processes[name]
	role := member.RoleAgent
	if p.callers != "" {
		role = member.RoleEntry
	}
	w.list.Set(provider.ListedBox{
		Box: member.BoxID(name), Role: role, Region: "kita", FailureDomain: "kita-a",
		PeerAddress: member.Address(p.peers), State: state,
	})
}

func (w *world) common(role, name, domain, region string) string {
	if region == "" {
		region = "kita"
	}
	var entries []string
	for _, p := range w.entries() {
		entries = append(entries, strconv.Quote(p.peers))
	}
	return fmt.Sprintf(`role = %q
box = %q
region = %q
failure_domain = %q

[platform]
key_value = %q
box_list = %q
weight_store = %q
origin = %q

[peers]
entries = [%s]
heartbeat = "200ms"
silence = "1200ms"

[weights]
draw_wait = "400ms"

[stop]
grace = "30s"

[log]
level = "debug"

[listen]
operators = %[10]q
peers = %[10]q
`, role, name, region, domain, w.urls["key_value"], w.urls["box_list"], w.urls["weight_store"], w.urls["origin"],
		strings.Join(entries, ", "), w.listenAt)
}

func (w *world) launch(ts *testscript.TestScript, name, config string) {
	file := filepath.Join(w.dir, name+".toml")
	ts.Check(os.WriteFile(file, []byte(config), 0o600))
	w.start(ts, name, file)
	w.order = append(w.order, name)
	w.listBox(name, provider.ListedLive)
	if running := w.entries(); len(running) > 0 {
		ts.Setenv("CINDERSLIP_SERVER", running[0].operators)
	}
}

// entry NAME DOMAIN [region=R] [places=N] [queue=N] starts an entry box.
func entry(w *world, ts *testscript.TestScript, args []string) {
	given := options(ts, args, 2, "region", "places", "queue")
	config := w.common("entry", args[0], args[1], given["region"]) + fmt.Sprintf("callers = %q\n", w.listenAt) + "\n[requests]\nentries_ttl = \"1s\"\n"
	if given["places"] != "" {
		config += "places_per_replica = " + given["places"] + "\n"
	}
	if given["queue"] != "" {
		config += "queue_per_group = " + given["queue"] + "\n"
	}
	w.launch(ts, args[0], config)
}

// agent NAME DOMAIN [models=A,B] [slots=N] [plain=S] [token-time=T] [region=R]
// starts an agent with an engine, a plain service, or both. They outlive it.
func agent(w *world, ts *testscript.TestScript, args []string) {
	given := options(ts, args, 2, "models", "slots", "plain", "token-time", "region")
	config := w.common("agent", args[0], args[1], given["region"])
	if given["models"] != "" {
		engine := standin.EngineOptions{Slots: 2, LoadTime: 20 * time.Millisecond, TokenInterval: 2 * time.Millisecond, Tokens: 10}
		if given["slots"] != "" {
			slots, err := strconv.Atoi(given["slots"])
			ts.Check(err)
			engine.Slots = slots
		}
		if given["token-time"] != "" {
			duration, err := time.ParseDuration(given["token-time"])
			ts.Check(err)
			engine.TokenInterval = duration
		}
		w.engines[args[0]] = standin.NewEngine(w.clock, engine)
		url, err := w.serve(w.engines[args[0]])
		ts.Check(err)
		config += fmt.Sprintf("\n[agent.engine]\nurl = %q\nslots = %d\nmodels = [\"%s\"]\n", url, engine.Slots,
			strings.ReplaceAll(given["models"], ",", `", "`))
	}
	if given["plain"] != "" {
		w.plainServices[given["plain"]] = true
		w.plains[args[0]] = standin.NewPlainService(w.clock)
		url, err := w.serve(w.plains[args[0]])
		ts.Check(err)
		config += fmt.Sprintf("\n[[agent.services]]\nname = %q\nurl = %q\n", given["plain"], url)
	}
	w.launch(ts, args[0], config)
}

// kill9 NAME ends a process at once.
func kill(w *world, ts *testscript.TestScript, args []string) {
	p := w.process(ts, args)
	p.signal(syscall.SIGKILL)
	<-p.ended
	w.aim(ts)
}

// aim points the command line at an entry box that runs.
func (w *world) aim(ts *testscript.TestScript) {
	if running := w.entries(); len(running) > 0 {
		ts.Setenv("CINDERSLIP_SERVER", running[0].operators)
	}
}

// freeze NAME stops a process from running, thaw NAME lets it go on.
func freeze(w *world, ts *testscript.TestScript, args []string) {
	w.process(ts, args).signal(syscall.SIGSTOP)
}

func thaw(w *world, ts *testscript.TestScript, args []string) {
	w.process(ts, args).signal(syscall.SIGCONT)
}

// terminate NAME is a planned stop, which must end with exit code 0.
func terminate(w *world, ts *testscript.TestScript, args []string) {
	p := w.process(ts, args)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(waitLimit):
		w.dumpLogs(ts)
		ts.Fatalf("%s does not end", p.name)
	}
	if p.code != 0 {
		w.dumpLogs(ts)
		ts.Fatalf("%s ended with exit code %d", p.name, p.code)
	}
	w.aim(ts)
}

// restart NAME starts a process that has ended with the same settings, at the
// addresses that it had.
func restart(w *world, ts *testscript.TestScript, args []string) {
	p := w.process(ts, args)
	<-p.ended
	content, err := os.ReadFile(p.config)
	ts.Check(err)
	text := string(content)
	for key, address := range map[string]string{"callers": p.callers, "operators": p.operators, "peers": p.peers} {
		text = strings.Replace(text, fmt.Sprintf("%s = %q", key, w.listenAt), fmt.Sprintf("%s = %q", key, address), 1)
	}
	ts.Check(os.WriteFile(p.config, []byte(text), 0o600))
	w.start(ts, p.name, p.config)
	w.aim(ts)
}

func (w *world) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitLimit)
}

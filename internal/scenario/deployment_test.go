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

// testDeployment holds the platform stand-ins and the processes of one scenario.
type testDeployment struct {
	env *testscript.Env
	dir string
	// listenAddress is the listen address of all processes, with port 0. A killed process restarts on its previous
	// port. The address differs from 127.0.0.1 so that no outgoing connection can take that port in the meantime.
	listenAddress string
	clock         clockwork.Clock
	kv            *standin.KeyValue
	origin        *standin.Registry
	weightStore   *standin.Registry
	boxList       *standin.BoxList
	urls          map[string]string
	servers       []*http.Server

	processes     map[string]*process
	startOrder    []string
	engines       map[string]*standin.Engine
	plainBackends map[string]*standin.PlainService
	// plainServiceNames holds the names of the services without a model.
	plainServiceNames map[string]bool

	loops    map[string]*callerLoop
	requests map[string]*backgroundRequest
}

// originRate is the initial rate of the origin and the weight store in bytes per second.
const originRate = 8 << 20

// deploymentCount counts the deployments of this process, so that each gets its own listen address.
var deploymentCount atomic.Int32

func newTestDeployment(env *testscript.Env) (*testDeployment, error) {
	clock := clockwork.NewRealClock()
	w := &testDeployment{
		env: env, dir: env.WorkDir, clock: clock,
		listenAddress: fmt.Sprintf("127.%d.%d.9:0", 20+os.Getpid()%200, 200+deploymentCount.Add(1)%50),
		kv:            standin.NewKeyValue(clock), origin: standin.NewRegistry(clock, originRate),
		weightStore: standin.NewRegistry(clock, originRate), boxList: standin.NewBoxList(clock, time.Second),
		urls: make(map[string]string), processes: make(map[string]*process),
		engines: make(map[string]*standin.Engine), plainBackends: make(map[string]*standin.PlainService),
		plainServiceNames: make(map[string]bool),
		loops:             make(map[string]*callerLoop), requests: make(map[string]*backgroundRequest),
	}
	for name, handler := range map[string]http.Handler{
		"key_value": w.kv, "origin": w.origin, "weight_store": w.weightStore, "box_list": w.boxList,
	} {
		url, err := w.serve(handler)
		if err != nil {
			return nil, err
		}
		w.urls[name] = url
	}
	return w, nil
}

func (d *testDeployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (d *testDeployment) close() {
	for _, l := range d.loops {
		l.cancel()
	}
	for _, p := range d.processes {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
}

// process is a running cinderslipd.
type process struct {
	name     string
	config   string
	cmd      *exec.Cmd
	exited   chan struct{}
	exitCode int

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

// start runs cinderslipd and waits until it has logged its addresses.
func (d *testDeployment) start(ts *testscript.TestScript, name, config string) {
	p := &process{name: name, config: config, exited: make(chan struct{}), started: make(chan struct{})}
	p.cmd = exec.Command("cinderslipd", "--config", config)
	stderr, err := p.cmd.StderrPipe()
	ts.Check(err)
	ts.Check(p.cmd.Start())
	go p.follow(bufio.NewScanner(stderr))
	d.processes[name] = p
	select {
	case <-p.started:
	case <-p.exited:
		d.dumpLogs(ts)
		ts.Fatalf("%s exited during startup", name)
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
	p.exitCode = p.cmd.ProcessState.ExitCode()
	close(p.exited)
}

// field returns the value of a key in a log line.
func field(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

func (d *testDeployment) dumpLogs(ts *testscript.TestScript) {
	for _, name := range d.startOrder {
		p := d.processes[name]
		p.mu.Lock()
		ts.Logf("--- log of %s\n%s", name, strings.Join(p.log, "\n"))
		p.mu.Unlock()
	}
}

func (d *testDeployment) process(ts *testscript.TestScript, args []string) *process {
	if len(args) != 1 || d.processes[args[0]] == nil {
		ts.Fatalf("want the name of a process, got %v", args)
	}
	return d.processes[args[0]]
}

// entries returns the running entry box processes in the order of their first start.
func (d *testDeployment) entries() []*process {
	var out []*process
	for _, name := range d.startOrder {
		p := d.processes[name]
		select {
		case <-p.exited:
		default:
			if p.callers != "" {
				out = append(out, p)
			}
		}
	}
	return out
}

// publish MODEL VERSION BYTES [chunk=BYTES] publishes weights at the origin and at the weight store.
func publish(d *testDeployment, ts *testscript.TestScript, args []string) {
	opts := options(ts, args, 3, "chunk")
	size, err := strconv.Atoi(args[2])
	ts.Check(err)
	chunk := int64(64 << 10)
	if opts["chunk"] != "" {
		chunk, err = strconv.ParseInt(opts["chunk"], 10, 64)
		ts.Check(err)
	}
	var seed [32]byte
	copy(seed[:], args[0]+args[1])
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(data)
	for _, registry := range []*standin.Registry{d.origin, d.weightStore} {
		_, err := registry.Publish(args[0], args[1], []standin.NamedFile{{Name: "weights", Content: data}}, chunk)
		ts.Check(err)
	}
}

// origin slow BYTES-PER-SECOND | down | up limits the rate of origin and weight store, or takes both down or up.
// origin sent-at-most BYTES requires that both together have sent at most BYTES.
func origin(d *testDeployment, ts *testscript.TestScript, args []string) {
	registries := []*standin.Registry{d.origin, d.weightStore}
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
		if sent := d.origin.BytesSent() + d.weightStore.BytesSent(); sent > limit {
			ts.Fatalf("origin and weight store sent %d bytes, want at most %d", sent, limit)
		}
	default:
		ts.Fatalf("origin: unexpected arguments %v", args)
	}
}

// kv down | up | slow TIME makes the key-value service fail, work normally or delay each response by TIME.
// kv lose-answers N drops the responses to the next N writes after the writes took effect.
func keyValue(d *testDeployment, ts *testscript.TestScript, args []string) {
	switch {
	case len(args) == 1 && args[0] == "down":
		d.kv.SetFault(func(string) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	case len(args) == 1 && args[0] == "up":
		d.kv.SetFault(nil)
	case len(args) == 2 && args[0] == "slow":
		delay, err := time.ParseDuration(args[1])
		ts.Check(err)
		d.kv.SetFault(func(string) standin.Fault { return standin.Fault{Delay: delay} })
	case len(args) == 2 && args[0] == "lose-answers":
		remaining, err := strconv.Atoi(args[1])
		ts.Check(err)
		var mu sync.Mutex
		d.kv.SetFault(func(path string) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			if path != "/v3/kv/txn" || remaining == 0 {
				return standin.Fault{}
			}
			remaining--
			return standin.Fault{DropResponse: true}
		})
	default:
		ts.Fatalf("kv: unexpected arguments %v", args)
	}
}

// list leaving BOX | gone BOX marks a box as leaving in the platform's box list, or removes it from the list.
func list(d *testDeployment, ts *testscript.TestScript, args []string) {
	if len(args) != 2 {
		ts.Fatalf("list: want leaving BOX or gone BOX")
	}
	switch args[0] {
	case "leaving":
		d.listBox(args[1], provider.ListedLeaving)
	case "gone":
		d.boxList.Remove(args[1])
	default:
		ts.Fatalf("list: unexpected arguments %v", args)
	}
}

func (d *testDeployment) listBox(name string, state provider.ListedState) {
	p := d.processes[name]
	role := member.RoleAgent
	if p.callers != "" {
		role = member.RoleEntry
	}
	d.boxList.Set(provider.ListedBox{
		Box: member.BoxID(name), Role: role, Region: "kita", FailureDomain: "kita-a",
		PeerAddress: member.Address(p.peers), State: state,
	})
}

func (d *testDeployment) commonSettings(role, name, domain, region string) string {
	if region == "" {
		region = "kita"
	}
	var entries []string
	for _, p := range d.entries() {
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
`, role, name, region, domain, d.urls["key_value"], d.urls["box_list"], d.urls["weight_store"], d.urls["origin"],
		strings.Join(entries, ", "), d.listenAddress)
}

func (d *testDeployment) launch(ts *testscript.TestScript, name, config string) {
	file := filepath.Join(d.dir, name+".toml")
	ts.Check(os.WriteFile(file, []byte(config), 0o600))
	d.start(ts, name, file)
	d.startOrder = append(d.startOrder, name)
	d.listBox(name, provider.ListedLive)
	if running := d.entries(); len(running) > 0 {
		ts.Setenv("CINDERSLIP_SERVER", running[0].operators)
	}
}

// entry NAME DOMAIN [region=R] [places=N] [queue=N] starts an entry box.
func entry(d *testDeployment, ts *testscript.TestScript, args []string) {
	opts := options(ts, args, 2, "region", "places", "queue")
	config := d.commonSettings("entry", args[0], args[1], opts["region"]) + fmt.Sprintf("callers = %q\n", d.listenAddress) + "\n[requests]\nentries_ttl = \"1s\"\n"
	if opts["places"] != "" {
		config += "places_per_replica = " + opts["places"] + "\n"
	}
	if opts["queue"] != "" {
		config += "queue_per_group = " + opts["queue"] + "\n"
	}
	d.launch(ts, args[0], config)
}

// agent NAME DOMAIN [models=A,B] [slots=N] [plain=S] [token-time=T] [region=R] starts an agent with an engine, a plain
// service, or both. These keep running when the agent exits.
func agent(d *testDeployment, ts *testscript.TestScript, args []string) {
	opts := options(ts, args, 2, "models", "slots", "plain", "token-time", "region")
	config := d.commonSettings("agent", args[0], args[1], opts["region"])
	if opts["models"] != "" {
		engine := standin.EngineOptions{Slots: 2, LoadTime: 20 * time.Millisecond, TokenInterval: 2 * time.Millisecond, Tokens: 10}
		if opts["slots"] != "" {
			slots, err := strconv.Atoi(opts["slots"])
			ts.Check(err)
			engine.Slots = slots
		}
		if opts["token-time"] != "" {
			duration, err := time.ParseDuration(opts["token-time"])
			ts.Check(err)
			engine.TokenInterval = duration
		}
		d.engines[args[0]] = standin.NewEngine(d.clock, engine)
		url, err := d.serve(d.engines[args[0]])
		ts.Check(err)
		config += fmt.Sprintf("\n[agent.engine]\nurl = %q\nslots = %d\nmodels = [\"%s\"]\n", url, engine.Slots,
			strings.ReplaceAll(opts["models"], ",", `", "`))
	}
	if opts["plain"] != "" {
		d.plainServiceNames[opts["plain"]] = true
		d.plainBackends[args[0]] = standin.NewPlainService(d.clock)
		url, err := d.serve(d.plainBackends[args[0]])
		ts.Check(err)
		config += fmt.Sprintf("\n[[agent.services]]\nname = %q\nurl = %q\n", opts["plain"], url)
	}
	d.launch(ts, args[0], config)
}

// kill9 NAME kills a process.
func kill(d *testDeployment, ts *testscript.TestScript, args []string) {
	p := d.process(ts, args)
	p.signal(syscall.SIGKILL)
	<-p.exited
	d.useRunningEntry(ts)
}

// useRunningEntry sets CINDERSLIP_SERVER to a running entry box.
func (d *testDeployment) useRunningEntry(ts *testscript.TestScript) {
	if running := d.entries(); len(running) > 0 {
		ts.Setenv("CINDERSLIP_SERVER", running[0].operators)
	}
}

// freeze NAME pauses a process with SIGSTOP, and thaw NAME resumes it.
func freeze(d *testDeployment, ts *testscript.TestScript, args []string) {
	d.process(ts, args).signal(syscall.SIGSTOP)
}

func thaw(d *testDeployment, ts *testscript.TestScript, args []string) {
	d.process(ts, args).signal(syscall.SIGCONT)
}

// terminate NAME stops a process with SIGTERM and requires exit code 0.
func terminate(d *testDeployment, ts *testscript.TestScript, args []string) {
	p := d.process(ts, args)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		d.dumpLogs(ts)
		ts.Fatalf("timed out waiting for %s to exit", p.name)
	}
	if p.exitCode != 0 {
		d.dumpLogs(ts)
		ts.Fatalf("%s exited with code %d, want 0", p.name, p.exitCode)
	}
	d.useRunningEntry(ts)
}

// restart NAME waits for a process to exit and starts it again with the same settings and addresses.
func restart(d *testDeployment, ts *testscript.TestScript, args []string) {
	p := d.process(ts, args)
	<-p.exited
	content, err := os.ReadFile(p.config)
	ts.Check(err)
	text := string(content)
	for key, address := range map[string]string{"callers": p.callers, "operators": p.operators, "peers": p.peers} {
		text = strings.Replace(text, fmt.Sprintf("%s = %q", key, d.listenAddress), fmt.Sprintf("%s = %q", key, address), 1)
	}
	ts.Check(os.WriteFile(p.config, []byte(text), 0o600))
	d.start(ts, p.name, p.config)
	d.useRunningEntry(ts)
}

func (d *testDeployment) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitLimit)
}

//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// The figures of the deployment, those of the sheet of the site hatakei-kyushu.
const (
	host         = "jepu9.example"
	streamPrefix = "/lepu270/"
	plainPrefix  = "/boye614/"
	apiKey       = "jnbanfqasnmgkcuyj8pj"
	tenant       = "bozi300"
	modelService = "huvo11a"
	plainService = "wuno96b"
	originName   = "kafi81c"
	modelName    = "daka510000"
	chunkCount   = 48
	chunkSize    = 49152
	layerCount   = 16
	entryMemory  = 284 // MB
	heartbeat    = 1200 * time.Millisecond
)

// The ports are alike on all machines of a run.
type ports struct{ front, readiness, control, directory, agent, server, metrics int }

// deployment is a small deployment: entry boxes and agents as processes, and stand-ins of the platform in this process.
type deployment struct {
	record  *record
	daemon  string
	dir     string
	network string
	ports   ports
	store   *standin.Store
	origin  *origin
	entries []*process
	agents  []*process

	storeAddress string
	models       []*modelServer
	plain        []plainServer
	crashes      atomic.Int32

	mu        sync.Mutex
	closed    bool
	processes []*process
	listeners []net.Listener
	done      chan struct{}
}

func newDeployment(r *record, daemon string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	base := 20000 + rand.IntN(9000)
	d := &deployment{
		record: r, daemon: daemon, dir: dir, store: standin.NewStore(), done: make(chan struct{}),
		network: fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), 1+rand.IntN(250)),
		ports:   ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6},
	}
	if d.storeAddress, err = d.serve("127.0.0.1:0", d.store); err != nil {
		return nil, err
	}
	d.origin = &origin{Origin: standin.NewOrigin(chunkCount, chunkSize), record: r, spoil: spoilFieldName}
	if d.origin.address, err = d.serve("127.0.0.1:0", d.origin); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *deployment) ip(n int) string { return fmt.Sprintf("%s%d", d.network, n) }

// serve starts an HTTP server in this process.
func (d *deployment) serve(address string, handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	d.listeners = append(d.listeners, listener)
	d.mu.Unlock()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// close ends all processes and listeners of the run.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	close(d.done)
	for _, p := range d.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	for _, l := range d.listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// process is a process that this run has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// start starts a process and logs its output in the temporary folder.
func (d *deployment) start(name, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := &process{name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, os.ErrClosed
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	d.processes = append(d.processes, p)
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// log returns the lines of a process's log that contain a text.
func (d *deployment) log(name, text string) []string {
	content, _ := os.ReadFile(filepath.Join(d.dir, name+".log"))
	var lines []string
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// settings fills deploy/settings.toml.tmpl as the platform does.
func (d *deployment) settings(role, name, ip string, memory int, link float64, extra string) string {
	var listen string
	if role == "entry" {
		listen = fmt.Sprintf("callers = \"%s:%d\"\nreadiness = \"%s:%d\"\ndirectory = \"%s:%d\"\npeers = \"%s:%d\"\n",
			ip, d.ports.front, ip, d.ports.readiness, ip, d.ports.directory, ip, d.ports.control)
	} else {
		listen = fmt.Sprintf("peers = \"%s:%d\"\n", ip, d.ports.agent)
	}
	return fmt.Sprintf(`mode = "direct"
role = %q
box = %q
region = "kita"
failure_domain = "kita-a"

[listen]
%smetrics = "%s:%d"

[peers]
entries = ["%s:%d"]

[direct]
store = %q
agent_port = %d
memory_limit_megabytes = %d
link_mbps = %.1f
version_bound = "8000ms"
settle_time = "3000ms"
change_bound = "2000ms"
retry_ratio = 0.2
retry_extra = 100
retry_window = "10s"
%s
[direct.domains]
"kita-a" = "kita"

[stop]
grace = "8s"
`, role, name, listen, ip, d.ports.metrics, d.ip(1), d.ports.control, d.storeAddress, d.ports.agent, memory, link, extra)
}

func (d *deployment) startDaemon(role, name, ip string, memory int, link float64, extra string) (*process, error) {
	path := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(path, []byte(d.settings(role, name, ip, memory, link, extra)), 0o600); err != nil {
		return nil, err
	}
	return d.start(name, d.daemon, "--config", path)
}

// startEntries starts entry boxes and waits until they are ready.
func (d *deployment) startEntries(n int) error {
	for i := range n {
		p, err := d.startDaemon("entry", fmt.Sprintf("edge-%d", i+1), d.ip(1+i), entryMemory, 1000, "")
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range n {
			if d.isReady(d.ip(1 + i)) {
				ready++
			}
		}
		if ready == n {
			d.record.printf("%d entry boxes are ready", n)
			return nil
		}
	}
	return errNotReady
}

// isReady asks an entry box whether it is ready, as the platform does.
func (d *deployment) isReady(ip string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/cinderslip/ready", ip, d.ports.readiness))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startModels starts model servers in this process, each with its agent.
func (d *deployment) startModels(n int) error {
	for i := range n {
		ip := d.ip(50 + i)
		m := newModelServer(d, fmt.Sprintf("i-model-%d", i+1))
		address, err := m.listen(fmt.Sprintf("%s:%d", ip, d.ports.server))
		if err != nil {
			return err
		}
		m.address = address
		d.models = append(d.models, m)
		go m.writeEntries()
		p, err := d.startDaemon("agent", fmt.Sprintf("side-%d", i+1), ip, 152, 9.4, fmt.Sprintf("server = %q\nservice = %q\n", address, modelService))
		if err != nil {
			return err
		}
		d.agents = append(d.agents, p)
	}
	return nil
}

func (d *deployment) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	d.store.Put(key, raw)
}

// putConfiguration writes the operator's configuration, in the form of the pages' example.
func (d *deployment) putConfiguration() {
	d.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []any{
			map[string]any{
				"Name": "r-stream", "Host": host, "PathPrefix": streamPrefix, "Type": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 400, "Priority": 1,
				"Service": modelService, "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "gap_aim_ms": 300,
			},
			map[string]any{
				"Name": "r-plain", "Host": host, "PathPrefix": plainPrefix, "Type": "safe", "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2,
				"Service": plainService, "MaxAttempts": 2, "Public": false,
			},
			map[string]any{
				"Name": "r-unsafe", "Host": host, "PathPrefix": "/filo73/", "Type": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2,
				"Service": plainService, "MaxAttempts": 2, "Public": false,
			},
		},
		"Services": []any{
			map[string]any{"Name": modelService, "HealthPath": "/healthz", "MaxConnections": 424, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 16, "KvCapacity": 685000, "KvTokenBytes": 327680, "stride": 6, "Models": []any{map[string]any{"Name": modelName, "pace": 1.0, "load_s": 4.0, "WarmupS": 0.3}},
				"mb": 297000.0, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203, "read_per_s": 31900.0, "pairs_per_m": 0.733, "chunk": 2048,
				"usual": map[string]any{"prompt": 973, "answer": 106}, "layers": layerCount, "layer_mb": 4540.0, "chunks": chunkCount, "chunk_bytes": chunkSize,
			}},
			map[string]any{"Name": originName, "origin": d.origin.address, "Zone": "kita-a", "LinkMbps": 15.0, "MaxConnections": 48},
			map[string]any{"Name": plainService, "HealthPath": "/healthz", "MaxConnections": 96, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
}

// nameVersion names a version of the weights, as the operator does.
func (d *deployment) nameVersion(version uint64) {
	d.put("op/version/"+modelName, map[string]any{"Model": modelName, "Version": version})
	d.record.printf("the operator names version %d", version)
}

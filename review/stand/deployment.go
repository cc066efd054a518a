//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// daemonPath is the program of the deploy file, relative to the root of the repository.
const daemonPath = "target/cinderslipd"

// recorder writes the record of a case.
type recorder struct {
	mu     sync.Mutex
	out    *bufio.Writer
	file   *os.File
	start  time.Time
	broken []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

// note writes one line with the time since the start of the case.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes a break of the rule.
func (r *recorder) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// deployment is a small deployment on loopback addresses: a store and servers in this process, and entry boxes as
// separate processes.
type deployment struct {
	rec       *recorder
	dir       string
	store     *standin.Store
	storeAddr string
	bounds    bounds
	entries   []*process
	seeds     []string
	reserved  []net.Listener
	closers   []func()
}

func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "cinderslip-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, bounds: hatakeiBounds, store: standin.NewStore()}
	d.storeAddr, err = d.serve("127.0.0.1", d.store)
	return d, err
}

// serve serves HTTP on a free port of a loopback address.
func (d *deployment) serve(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// put writes a value to the store as the operator or a server does.
func (d *deployment) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	d.rec.note("store: %s = %.1500s", key, raw)
	d.store.Put(key, raw)
}

// process is an entry box that runs as a separate process.
type process struct {
	d                            *deployment
	name, ip, config, log        string
	callers, readiness, resolver string
	peers, metrics               string
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

// agentPort is the first of the InternalPorts. No agent runs here.
const agentPort = 7700

// entrySettings are the settings of an entry box in the form that deploy/settings.toml.tmpl gives them.
const entrySettings = `mode = "direct"
role = "entry"
box = %q
region = "kita"
failure_domain = "kita-a"

[listen]
callers = %q
readiness = %q
directory = %q
peers = %q
metrics = %q

[peers]
entries = %s

[direct]
store = %q
store_value_bytes = 1048576
agent_port = %d
memory_limit_megabytes = 284
link_mbps = 1000.0
version_bound = "%dms"
settle_time = "%dms"
change_bound = "%dms"
retry_ratio = 0.2
retry_extra = %d
retry_window = "10s"

[direct.domains]
"kita-a" = "kita"
"minami-a" = "minami"
"higashi-a" = "higashi"

[stop]
grace = "8s"
`

// listenCount is the number of addresses at which an entry box listens.
const listenCount = 5

// addEntry prepares an entry box. Its process is started by start.
func (d *deployment) addEntry() (*process, error) {
	n := len(d.entries) + 1
	p := &process{d: d, name: fmt.Sprintf("edge-kita-a-%d", n), ip: fmt.Sprintf("127.0.1.%d", n)}
	addresses := make([]string, 0, listenCount)
	for range listenCount {
		// The listener keeps the port from being chosen twice. It is closed before the process starts.
		listener, err := net.Listen("tcp", p.ip+":0")
		if err != nil {
			return nil, err
		}
		d.reserved = append(d.reserved, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	p.callers, p.readiness, p.resolver, p.peers, p.metrics = addresses[0], addresses[1], addresses[2], addresses[3], addresses[4]
	d.seeds = append(d.seeds, p.peers)
	d.entries = append(d.entries, p)
	return p, nil
}

// writeSettings writes the settings of all entry boxes, which name each other.
func (d *deployment) writeSettings() error {
	seeds, err := json.Marshal(d.seeds[:min(3, len(d.seeds))])
	if err != nil {
		return err
	}
	for _, p := range d.entries {
		p.config, p.log = filepath.Join(d.dir, p.name+".toml"), filepath.Join(d.dir, p.name+".log")
		text := fmt.Sprintf(entrySettings, p.name, p.callers, p.readiness, p.resolver, p.peers, p.metrics, seeds, d.storeAddr, agentPort,
			d.bounds.versionMs, d.bounds.contactMs, d.bounds.configApplyMs, d.bounds.retryBudgetExtra)
		if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(daemonPath, "--config", p.config)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.d.rec.note("%s started, process %d", p.name, p.cmd.Process.Pid)
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.d.rec.note("%s ended: %v", p.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.d.rec.note("%s gets %s", p.name, signal)
	_ = p.cmd.Process.Signal(signal)
}

// awaitExit waits until the process has ended.
func (p *process) awaitExit(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// awaitReady waits until the readiness address answers 200.
func (p *process) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if p.isReady() {
			p.d.rec.note("%s is ready", p.name)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %s", p.name, limit)
}

// isReady asks once as the platform does.
func (p *process) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.readiness+"/cinderslip/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that the case started and removes its files. KEEP in the environment keeps them.
func (d *deployment) close() {
	for _, p := range d.entries {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		p.awaitExit(5 * time.Second)
	}
	for _, closeOne := range d.closers {
		closeOne()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// startAll starts all entry boxes and waits until they are ready.
func (d *deployment) startAll() error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	for _, listener := range d.reserved {
		_ = listener.Close()
	}
	for _, p := range d.entries {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range d.entries {
		if err := p.awaitReady(15 * time.Second); err != nil {
			log, _ := os.ReadFile(p.log)
			d.rec.note("log of %s ends: %s", p.name, log[max(0, len(log)-2000):])
			return err
		}
	}
	return nil
}

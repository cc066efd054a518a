package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a daemon that can be stopped and restarted with the same settings.
type process struct {
	name string
	// metrics is the address at which the process lists the servers that it knows.
	metrics string
	config  string
	log     string

	// lifecycle is held by a fault while it stops, freezes or restarts the process.
	lifecycle sync.Mutex

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	stopRequested bool // whether the test sent SIGTERM or SIGKILL
	problems      []string
	// startedAt holds the time of each start.
	startedAt []time.Time
	// resumedAt holds the times at which the process continued after a freeze.
	resumedAt []time.Time
	// signals are the signals that were sent.
	signals []sentSignal
	// kills are the times from each SIGKILL to the exit of the process.
	kills []timeSpan
}

// renderSettings returns the settings file of a process with the given role, as the platform writes it.
func renderSettings(role, name, ip string, listen, extra []string) string {
	lines := []string{
		`mode = "direct"`, fmt.Sprintf("role = %q", role), fmt.Sprintf("box = %q", name), `region = "r"`, `failure_domain = "hall-a"`,
		"[listen]", fmt.Sprintf("metrics = \"%s:%d\"", ip, portMetrics),
	}
	lines = append(lines, listen...)
	lines = append(lines, extra...)
	lines = append(lines, "[direct.domains]", fmt.Sprintf("%s = %q", nearDomain, nearRegion), fmt.Sprintf("%s = %q", farDomain, farRegion), "[stop]", `grace = "5s"`)
	return strings.Join(lines, "\n") + "\n"
}

func newProcess(t *testing.T, dir, name, ip, settings string) *process {
	t.Helper()
	p := &process{
		name: name, metrics: fmt.Sprintf("%s:%d", ip, portMetrics),
		config: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
	}
	if err := os.WriteFile(p.config, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// start runs the daemon and appends its output to the log of earlier runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemonPath, "--config", p.config) //nolint:gosec // the program that TestMain built
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopRequested = cmd, exited, false
	p.startedAt = append(p.startedAt, time.Now())
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.noteExit()
		if !p.stopRequested {
			p.problems = append(p.problems, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// noteExit records the exit of the process if it was killed. The lock must be held.
func (p *process) noteExit() {
	started := p.startedAt[len(p.startedAt)-1]
	isKill := func(s sentSignal) bool { return s.signal == syscall.SIGKILL && s.at.After(started) }
	if first := slices.IndexFunc(p.signals, isKill); first >= 0 {
		p.kills = append(p.kills, timeSpan{p.signals[first].at, time.Now()})
	}
}

// killedBetween reports whether the process was being killed at a moment between two times.
func (p *process) killedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.kills, func(span timeSpan) bool { return span.overlaps(from, to) })
}

// signal sends a signal to the process of the latest start, if any.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.stopRequested = p.stopRequested || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	p.signals = append(p.signals, sentSignal{signal, time.Now()})
	_ = p.cmd.Process.Signal(signal)
}

// stop sends a signal and waits for the process to exit. It kills the process after stopTimeout.
func (p *process) stop(signal syscall.Signal) {
	p.signal(signal)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// stopTimeout is longer than the 5 s grace period in the settings, as a planned stop takes longer on a busy machine.
const stopTimeout = 8 * time.Second

// addFinding records a problem of the process.
func (p *process) addFinding(finding string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problems = append(p.problems, p.name+": "+finding)
}

// findings returns the unexpected exits and other problems of the process.
func (p *process) findings() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.problems...)
}

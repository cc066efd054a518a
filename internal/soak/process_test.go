package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is one run of the program after another, with the same settings.
type process struct {
	name   string
	config string
	log    string

	// lifecycle is held by the fault that ends, freezes or starts the process.
	lifecycle sync.Mutex

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	stopRequested bool // whether the soak ended the run itself
	problems      []string
	// startedAt are when the runs began.
	startedAt []time.Time
	// resumedAt are when it went on after it had stood still.
	resumedAt []time.Time
}

// renderSettings fills the settings of one role, as the platform does.
func renderSettings(role, name, ip string, listen, rest []string) string {
	lines := []string{
		`mode = "direct"`, fmt.Sprintf("role = %q", role), fmt.Sprintf("box = %q", name), `region = "r"`, `failure_domain = "hall-a"`,
		"[listen]", fmt.Sprintf("metrics = %q", ip+":0"),
	}
	lines = append(lines, listen...)
	lines = append(lines, rest...)
	lines = append(lines, "[direct.domains]", `hall-a = "r"`, "[stop]", `grace = "5s"`)
	return strings.Join(lines, "\n") + "\n"
}

func newProcess(t *testing.T, dir, name, settings string) *process {
	t.Helper()
	p := &process{name: name, config: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	if err := os.WriteFile(p.config, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// start runs the program. Its log goes on where that of the run before ended.
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
	ended := make(chan struct{})
	p.cmd, p.exited, p.stopRequested = cmd, ended, false
	p.startedAt = append(p.startedAt, time.Now())
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.stopRequested {
			p.problems = append(p.problems, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the run that there is.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.stopRequested = p.stopRequested || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	_ = p.cmd.Process.Signal(signal)
}

// stop ends the run by a signal, and kills it if it outlasts its grace.
func (p *process) stop(signal syscall.Signal) {
	p.signal(signal)
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// stopTimeout is the grace of a planned stop, with room for a busy machine.
const stopTimeout = 8 * time.Second

// addFinding notes a finding.
func (p *process) addFinding(finding string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problems = append(p.problems, p.name+": "+finding)
}

// findings are the runs that ended by themselves.
func (p *process) findings() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.problems...)
}

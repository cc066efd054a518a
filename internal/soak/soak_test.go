// Package soak runs entry boxes and agents as processes of their own and injects faults
// from outside: connections that are delayed, reset, cut one way or silenced, processes
// that are stopped, killed, frozen and restarted, a store and servers that misbehave,
// versions and configurations named meanwhile. While it runs it checks what callers and
// backend servers see.
//
// # Usage
//
//	go test ./internal/soak                                  # the seeds of CI and those that ever failed
//	go test ./internal/soak -soak.seeds 50 -soak.from 1000   # fifty others
//	go test ./internal/soak -soak.change 2s                  # judge also how late a change comes
//	go test ./internal/soak -soak.entries 40 -soak.models 80 # two cells, 120 processes
package soak

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	seeds = flag.Int("soak.seeds", 2, "how many seeds are run")
	from  = flag.Uint64("soak.from", 1, "the first seed")
	long  = flag.Duration("soak.for", 4*time.Second, "for how long each seed injects faults")
	// Larger worlds than CI's are for runs by hand: each entry box and each model server is a process, at most 49
	// and 99 of them.
	entryBoxes   = flag.Int("soak.entries", 3, "how many entry boxes there are")
	modelServers = flag.Int("soak.models", 3, "how many model servers there are, each with an agent")
	plainServers = flag.Int("soak.plains", 2, "how many servers there are without a model")
	atOnce       = flag.Int("soak.callers", 6, "how many callers send one request after the other")
	// change is not judged by default, as a busy machine must not decide a verdict.
	change = flag.Duration("soak.change", 0, "in which time a change must be in force on every entry box; 0: any")
)

// program is the daemon that TestMain built.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "cinderslipd")
	build := exec.Command("go", "build", "-o", program, "../../cmd/cinderslipd") //nolint:gosec // fixed words
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// settleLimit bounds the wait until everything works again after the faults; it never
// judges speed.
const settleLimit = 40 * time.Second

func TestPromisesHoldUnderFaults(t *testing.T) {
	all := regressions(t)
	for i := range *seeds {
		all = append(all, *from+uint64(i))
	}
	for number, seed := range all {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, number)
		})
	}
}

// regressions are the seeds that ever failed, each with a line on the cause.
func regressions(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open("testdata/regressions.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var found []uint64
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		word, _, _ := strings.Cut(scanner.Text(), " ")
		if seed, err := strconv.ParseUint(word, 10, 64); err == nil {
			found = append(found, seed)
		}
	}
	return found
}

func runSeed(t *testing.T, seed uint64, number int) {
	w := newWorld(t, seed, number)
	for _, p := range w.processes() {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	load := newLoad(w)
	load.awaitServed(t)
	load.run(*atOnce)
	load.runDeadly()
	w.injectFaults(*long)
	w.endFaults()
	w.limitWithoutFaults()
	load.stop()
	load.awaitBarred(t)
	load.awaitServed(t)
	w.awaitVersion()
	load.awaitChange(t)
	findings := load.findings()
	findings = append(findings, load.wordFindings()...)
	findings = append(findings, load.limitFindings()...)
	findings = append(findings, load.deadlyFindings()...)
	for _, p := range w.processes() {
		findings = append(findings, p.findings()...)
	}
	for _, s := range w.servers {
		findings = append(findings, s.Violations()...)
	}
	for _, finding := range findings {
		t.Error(finding)
	}
	t.Logf("%s", load.summary())
	if t.Failed() {
		w.keepLogs(seed)
	}
}

// keepLogs copies the logs of a failed seed out of the test's own folder.
func (w *world) keepLogs(seed uint64) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("soak-seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		w.t.Log(err)
		return
	}
	for _, p := range w.processes() {
		content, err := os.ReadFile(p.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, p.name+".log"), content, 0o600)
		}
		if err != nil {
			w.t.Log(err)
		}
	}
	w.t.Logf("logs are in %s", dir)
}

// awaitVersion waits until every model server holds the newest weights.
func (w *world) awaitVersion() {
	deadline := time.Now().Add(settleLimit)
	for _, s := range w.servers {
		for s.service == "llm" && s.Version() != uint64(w.version) {
			if time.Now().After(deadline) {
				w.t.Errorf("%s holds version %d after the faults have ended, want %d", s.link.address(), s.Version(), w.version)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// endFaults heals all links and starts what is not running.
func (w *world) endFaults() {
	w.store.SetFault("")
	for _, p := range w.proxies {
		p.heal()
	}
	for _, s := range w.servers {
		s.SetUnresponsive(false)
		s.SetErrorStatus(0)
		s.TruncateStreamAt(0)
		s.SetRateLimit("")
	}
	for _, p := range w.processes() {
		p.signal(syscall.SIGCONT)
	}
	w.endWords()
}

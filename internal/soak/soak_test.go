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
	seedCount = flag.Int("soak.seeds", 2, "how many seeds are run")
	firstSeed = flag.Uint64("soak.from", 1, "the first seed")
	faultTime = flag.Duration("soak.for", 4*time.Second, "for how long each seed injects faults")
	// Larger worlds than CI's are for runs by hand: each entry box and each model server is a process, at most 49
	// and 99 of them.
	entryBoxCount    = flag.Int("soak.entries", 3, "how many entry boxes there are")
	modelServerCount = flag.Int("soak.models", 3, "how many model servers there are, each with an agent")
	plainServerCount = flag.Int("soak.plains", 2, "how many servers there are without a model")
	callerCount      = flag.Int("soak.callers", 6, "how many callers send one request after the other")
	// maxChangeTime is not judged by default, as a busy machine must not decide a verdict.
	maxChangeTime = flag.Duration("soak.change", 0, "in which time a change must be in force on every entry box; 0: any")
)

// daemonPath is the daemon that TestMain built.
var daemonPath string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "cinderslipd")
	build := exec.Command("go", "build", "-o", daemonPath, "../../cmd/cinderslipd") //nolint:gosec // fixed words
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// recoveryTimeout bounds the wait until everything works again after the faults; it never
// judges speed.
const recoveryTimeout = 40 * time.Second

func TestPromisesHoldUnderFaults(t *testing.T) {
	all := regressionSeeds(t)
	for i := range *seedCount {
		all = append(all, *firstSeed+uint64(i))
	}
	for number, seed := range all {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, number)
		})
	}
}

// regressionSeeds are the seeds that ever failed, each with a line on the cause.
func regressionSeeds(t *testing.T) []uint64 {
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
	d := newTestDeployment(t, seed, number)
	for _, p := range d.processes() {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	load := newLoad(d)
	load.awaitServing(t)
	load.run(*callerCount)
	load.runCrashRequests()
	d.injectFaults(*faultTime)
	d.clearFaults()
	d.limitWithoutFaults()
	load.stop()
	load.awaitBlocked(t)
	load.awaitServing(t)
	d.awaitNewestVersion()
	load.awaitChange(t)
	findings := load.findings()
	findings = append(findings, load.signalFindings()...)
	findings = append(findings, load.limitFindings()...)
	findings = append(findings, load.crashFindings()...)
	for _, p := range d.processes() {
		findings = append(findings, p.findings()...)
	}
	for _, s := range d.servers {
		findings = append(findings, s.Violations()...)
	}
	for _, finding := range findings {
		t.Error(finding)
	}
	t.Logf("%s", load.summary())
	if t.Failed() {
		d.saveLogs(seed)
	}
}

// saveLogs copies the logs of a failed seed out of the test's own folder.
func (d *testDeployment) saveLogs(seed uint64) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("soak-seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		d.t.Log(err)
		return
	}
	for _, p := range d.processes() {
		content, err := os.ReadFile(p.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, p.name+".log"), content, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
	d.t.Logf("logs are in %s", dir)
}

// awaitNewestVersion waits until every model server holds the newest weights.
func (d *testDeployment) awaitNewestVersion() {
	deadline := time.Now().Add(recoveryTimeout)
	for _, s := range d.servers {
		for s.service == "llm" && s.Version() != uint64(d.newestVersion) {
			if time.Now().After(deadline) {
				d.t.Errorf("%s holds version %d after the faults have ended, want %d", s.proxy.address(), s.Version(), d.newestVersion)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// clearFaults heals all links and starts what is not running.
func (d *testDeployment) clearFaults() {
	d.store.SetFault("")
	for _, p := range d.proxies {
		p.clearFaults()
	}
	for _, s := range d.servers {
		s.SetUnresponsive(false)
		s.SetErrorStatus(0)
		s.TruncateStreamAt(0)
		s.SetRateLimit("")
	}
	for _, p := range d.processes() {
		p.signal(syscall.SIGCONT)
	}
	d.clearSignals()
}

// Package soak runs entry boxes and agents as separate processes and injects faults from outside. It delays, resets
// and blackholes connections in one or both directions. It stops, kills, freezes and restarts processes, makes the
// store, the origin and the backend servers fail, and publishes weights and configurations at the same time. It checks
// what callers and backend servers observe.
//
// # Usage
//
//	go test ./internal/soak                                  # the CI seeds and all seeds that failed before
//	go test ./internal/soak -soak.seeds 50 -soak.from 1000   # fifty other seeds
//	go test ./internal/soak -soak.change 2s                  # also limit how long a change takes
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
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

var (
	seedCount = flag.Int("soak.seeds", 2, "number of seeds to run")
	firstSeed = flag.Uint64("soak.from", 1, "the first seed")
	faultTime = flag.Duration("soak.for", 4*time.Second, "duration of fault injection for each seed")
	// Larger deployments than those of CI are for manual runs. Each entry box and each agent of a model server is a
	// process. The address scheme allows at most 49 entry boxes and 99 model servers.
	entryBoxCount    = flag.Int("soak.entries", 3, "number of entry boxes")
	modelServerCount = flag.Int("soak.models", 3, "number of model servers, each with an agent")
	plainServerCount = flag.Int("soak.plains", 2, "number of servers without a model")
	callerCount      = flag.Int("soak.callers", 6, "number of callers that send requests sequentially")
	// maxChangeTime is not checked by default, because the result would depend on the load of the machine.
	maxChangeTime = flag.Duration("soak.change", 0, "time limit for a change to take effect on every entry box; 0 means no limit")
)

// daemonPath is the path of the daemon binary that TestMain builds.
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

// recoveryTimeout limits the wait for recovery after faults. It only ends the test and is no performance requirement.
const recoveryTimeout = 40 * time.Second

func TestPromisesHoldUnderFaults(t *testing.T) {
	seeds := regressionSeeds(t)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for index, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, index)
		})
	}
}

// regressionSeeds reads the seeds that failed before from testdata/regressions.txt. Each line holds a seed and the
// cause of its failure.
func regressionSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open("testdata/regressions.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var found []uint64
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		field, _, _ := strings.Cut(scanner.Text(), " ")
		if seed, err := strconv.ParseUint(field, 10, 64); err == nil {
			found = append(found, seed)
		}
	}
	return found
}

func runSeed(t *testing.T, seed uint64, index int) {
	d := newTestDeployment(t, seed, index)
	for _, p := range d.processes() {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	load := newLoad(d)
	lists := watchServerLists(d)
	keys := watchKeys(load)
	memory := watchMemory(d)
	load.awaitServing(t)
	load.run(*callerCount)
	load.runBulk()
	load.runUploads()
	load.runSlowReaders()
	load.runFailing()
	load.runCrashRequests()
	d.injectFaults(*faultTime)
	d.clearFaults()
	var withoutFaults sync.WaitGroup
	withoutFaults.Go(d.limitWithoutFaults)
	withoutFaults.Go(d.placeWithoutFaults)
	withoutFaults.Wait()
	load.stop()
	load.awaitBlocked(t)
	load.awaitServing(t)
	d.awaitNewestVersion()
	load.awaitChange(t)
	backup := d.backUpAndLeave()
	load.awaitRemoval(t)
	load.awaitRestored(t, backup)
	keys.stop()
	lists.stop()
	memory.stop()
	findings := load.findings()
	findings = append(findings, load.cutFindings()...)
	findings = append(findings, load.budgetFindings()...)
	findings = append(findings, load.retryFindings()...)
	findings = append(findings, lists.findings...)
	findings = append(findings, keys.findings...)
	findings = append(findings, memory.findings...)
	findings = append(findings, load.departureFindings(lists.departures)...)
	findings = append(findings, load.signalFindings()...)
	findings = append(findings, load.limitFindings()...)
	findings = append(findings, load.crashFindings()...)
	findings = append(findings, load.placementFindings()...)
	findings = append(findings, d.heldFindings()...)
	for _, p := range d.processes() {
		findings = append(findings, p.findings()...)
	}
	for _, s := range d.servers {
		findings = append(findings, s.Violations()...)
	}
	for _, finding := range findings {
		t.Error(finding)
	}
	t.Logf("%s; at most %.0f MB of memory", load.summary(), memory.most)
	if t.Failed() {
		d.saveLogs(seed)
	}
}

// saveLogs copies the logs of a failed seed to a directory that remains after the test.
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

// awaitNewestVersion waits until every model server has loaded the newest weights.
func (d *testDeployment) awaitNewestVersion() {
	deadline := time.Now().Add(recoveryTimeout)
	for _, s := range d.servers {
		for s.service == "llm" && s.Version() != uint64(d.newestVersion) {
			if time.Now().After(deadline) {
				d.t.Errorf("%s has version %d loaded after all faults ended, want %d", s.proxy.address(), s.Version(), d.newestVersion)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// clearFaults ends the faults of the store, proxies and servers, resumes frozen processes and ends leaving and backoff
// signals.
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
	for _, s := range d.allServers() {
		s.SetSilence(standin.Silence{})
		s.SetEndless("")
		s.SetSpoilt("")
		s.SetEndlessCalls("")
	}
	d.origin.EndlessNext(0)
	d.origin.SetUnavailable(false)
	for _, p := range d.processes() {
		p.signal(syscall.SIGCONT)
	}
	d.clearSignals()
}

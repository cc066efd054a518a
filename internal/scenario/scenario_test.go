// Package scenario runs scripted scenarios against real processes. Entry boxes and agents run as separate processes on
// loopback addresses. Stand-ins for the platform's services run in the test process.
//
// A scenario is a script in testdata. It uses the commands of package testscript and those in the map commands, each of
// which is documented at its function. Timeouts only ensure that a scenario ends; they are not performance
// requirements.
package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitLimit is the timeout of each wait in a scenario.
const waitLimit = 40 * time.Second

func TestMain(m *testing.M) {
	os.Exit(runWithPrograms(m))
}

// runWithPrograms builds cinderslip and cinderslipd, adds them to PATH and runs the tests.
func runWithPrograms(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cinderslip-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/cinderslip", "../../cmd/cinderslipd")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, output)
		return 1
	}
	if err := os.Setenv("PATH", dir+string(filepath.ListSeparator)+os.Getenv("PATH")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Testscript never runs a custom command that has the name of a built-in command. A custom "stop" command would
// end a script early as passed, so that the rest of the scenario is not checked.
func TestCommandsDoNotShadowBuiltins(t *testing.T) {
	builtIn := strings.Fields("cat cd chmod cmp cmpenv cp env exec exists grep kill mkdir mv rm skip " +
		"stderr stdin stdout stop symlink ttyin ttyout unix2dos unquote wait")
	for name := range commands {
		if slices.Contains(builtIn, name) {
			t.Errorf("command %s has the name of a built-in testscript command", name)
		}
	}
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		Setup:         setUp,
		Cmds:          commands,
		UpdateScripts: false,
	})
}

type deploymentKey struct{}

func setUp(env *testscript.Env) error {
	d, err := newTestDeployment(env)
	if err != nil {
		return err
	}
	env.Values[deploymentKey{}] = d
	env.Defer(d.close)
	return nil
}

func deploymentOf(ts *testscript.TestScript) *testDeployment {
	return ts.Value(deploymentKey{}).(*testDeployment)
}

// command implements a scenario command that cannot be negated.
type command func(d *testDeployment, ts *testscript.TestScript, args []string)

func withoutNegation(name string, run command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("%s cannot be negated", name)
		}
		run(deploymentOf(ts), ts, args)
	}
}

var commands = map[string]func(*testscript.TestScript, bool, []string){
	"publish":        withoutNegation("publish", publish),
	"origin":         withoutNegation("origin", origin),
	"kv":             withoutNegation("kv", keyValue),
	"list":           withoutNegation("list", list),
	"entry":          withoutNegation("entry", entry),
	"agent":          withoutNegation("agent", agent),
	"kill9-runner":   withoutNegation("kill9-runner", killRunner),
	"kill9-entry-of": withoutNegation("kill9-entry-of", killEntryOf),
	"kill9":          withoutNegation("kill9", kill),
	"freeze":         withoutNegation("freeze", freeze),
	"thaw":           withoutNegation("thaw", thaw),
	"terminate":      withoutNegation("terminate", terminate),
	"restart":        withoutNegation("restart", restart),
	"await-live":     withoutNegation("await-live", awaitLive),
	"await-serving":  withoutNegation("await-serving", awaitServing),
	"await-status":   withoutNegation("await-status", awaitStatus),
	"await-fetch":    withoutNegation("await-fetch", awaitFetch),
	"await-table":    withoutNegation("await-table", awaitTable),
	"await-plan":     withoutNegation("await-plan", awaitPlan),
	"freeze-planner": withoutNegation("freeze-planner", freezePlanner),
	"callers":        withoutNegation("callers", callers),
	"request":        withoutNegation("request", request),
	"await-first":    withoutNegation("await-first", awaitResponseStart),
	"outcome":        withoutNegation("outcome", outcome),
	"ran":            withoutNegation("ran", ran),
	"usage":          withoutNegation("usage", usage),
	"refused-path":   withoutNegation("refused-path", refusedPath),
}

// options parses the key=value arguments that follow the fixed ones. It fails the script if fixed arguments are
// missing or a key is not allowed.
func options(ts *testscript.TestScript, args []string, fixed int, allowed ...string) map[string]string {
	if len(args) < fixed {
		ts.Fatalf("want at least %d arguments, got %v", fixed, args)
	}
	out := make(map[string]string)
	for _, arg := range args[fixed:] {
		key, value, ok := strings.Cut(arg, "=")
		known := false
		for _, name := range allowed {
			known = known || name == key
		}
		if !ok || !known {
			ts.Fatalf("unexpected argument %q, want key=value with one of the keys %v", arg, allowed)
		}
		out[key] = value
	}
	return out
}

// await polls check until it returns no reason to wait. It fails the script with the last reason after waitLimit.
func await(ts *testscript.TestScript, what string, check func() (reason string)) {
	deadline := time.Now().Add(waitLimit)
	for {
		reason := check()
		if reason == "" {
			return
		}
		if time.Now().After(deadline) {
			deploymentOf(ts).dumpLogs(ts)
			ts.Fatalf("timed out waiting for %s: %s", what, reason)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Package scenario runs scripted scenarios against real processes: entry boxes
// and agents as separate processes on 127.0.0.1, the platform as stand-ins in
// the test.
//
// A scenario is a file in testdata. Its commands are those of the package
// testscript and the ones in the map commands, each described at its function.
// Waits are bounded so that a scenario ends, never to judge speed.
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

// waitLimit bounds each wait of a scenario.
const waitLimit = 40 * time.Second

func TestMain(m *testing.M) {
	os.Exit(runWithPrograms(m))
}

// runWithPrograms builds the two programs and puts them on the path.
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

// A command with the name of one of testscript's own is never run: "stop" ends a
// script as passed, so that one scenario checked nothing behind it.
func TestCommandsDoNotShadowBuiltins(t *testing.T) {
	builtIn := strings.Fields("cat cd chmod cmp cmpenv cp env exec exists grep kill mkdir mv rm skip " +
		"stderr stdin stdout stop symlink ttyin ttyout unix2dos unquote wait")
	for name := range commands {
		if slices.Contains(builtIn, name) {
			t.Errorf("%s is a command of testscript", name)
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

// command is a scenario's command without a negated form.
type command func(d *testDeployment, ts *testscript.TestScript, args []string)

func withoutNegation(name string, run command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("%s has no negated form", name)
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

// options reads the words key=value after the fixed ones.
func options(ts *testscript.TestScript, args []string, fixed int, allowed ...string) map[string]string {
	if len(args) < fixed {
		ts.Fatalf("want at least %d words, got %v", fixed, args)
	}
	out := make(map[string]string)
	for _, word := range args[fixed:] {
		key, value, ok := strings.Cut(word, "=")
		known := false
		for _, name := range allowed {
			known = known || name == key
		}
		if !ok || !known {
			ts.Fatalf("unexpected word %q, want one of %v with a value", word, allowed)
		}
		out[key] = value
	}
	return out
}

// await polls until the check gives no reason to wait any more.
func await(ts *testscript.TestScript, what string, check func() (reason string)) {
	deadline := time.Now().Add(waitLimit)
	for {
		reason := check()
		if reason == "" {
			return
		}
		if time.Now().After(deadline) {
			deploymentOf(ts).dumpLogs(ts)
			ts.Fatalf("%s did not come true: %s", what, reason)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

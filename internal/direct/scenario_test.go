package direct_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitTimeout is the timeout of each wait of a scenario. It only bounds failing runs and is no check of speed.
const waitTimeout = 30 * time.Second

// deploymentKey is the key of the testDeployment in the values of a script's environment.
type deploymentKey struct{}

// TestScenarios runs the scripts in testdata against entry boxes and agents in this process, with stand-ins for
// the platform's services on 127.0.0.0/8.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			w := newTestDeployment(t)
			env.Values[deploymentKey{}] = w
			env.Defer(w.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"platform": command((*testDeployment).cmdPlatform),
			"entry":    command((*testDeployment).cmdEntry),
			"agent":    command((*testDeployment).cmdAgent),
			"end":      command((*testDeployment).cmdStop),
			"config":   command((*testDeployment).cmdConfig),
			"name":     command((*testDeployment).cmdPublish),
			"store":    command((*testDeployment).cmdStore),
			"server":   command((*testDeployment).cmdServer),
			"foreign":  command((*testDeployment).cmdForeignEntries),
			"origin":   command((*testDeployment).cmdOrigin),
			"stream":   command((*testDeployment).cmdStream),
			"begin":    command((*testDeployment).cmdStartStream),
			"whole":    command((*testDeployment).cmdAwaitStream),
			"ask":      command((*testDeployment).cmdRequest),
			"ran":      command((*testDeployment).cmdCheckRuns),
			"told":     command((*testDeployment).cmdAwaitSignal),
			"avoids":   command((*testDeployment).cmdCheckAvoided),
			"later":    command((*testDeployment).cmdCheckRetryAfter),
			"load":     command((*testDeployment).cmdLoad),
			"limited":  command((*testDeployment).cmdCheckRateLimit),
			"refused":  command((*testDeployment).cmdCheckRefused),
			"limits":   command((*testDeployment).cmdCheckListedLimit),
			"await":    command((*testDeployment).cmdAwait),
			"crashes":  command((*testDeployment).cmdCrashOnRequest),
			"harm":     command((*testDeployment).cmdCauseFaults),
			"barred":   command((*testDeployment).cmdCheckBlocked),
			"answered": command((*testDeployment).cmdAwaitStatus),
			"running":  command((*testDeployment).cmdCrashMidStream),
			"suspend":  command((*testDeployment).cmdSuspend),
			"stays":    command((*testDeployment).cmdStopAfter),
			"sound":    command((*testDeployment).cmdCheckHealthy),
		},
	})
}

// command adapts a method of testDeployment to a script command. The command fails if the method returns an error.
func command(run func(w *testDeployment, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w := ts.Value(deploymentKey{}).(*testDeployment)
		err := run(w, args)
		if neg && err == nil {
			ts.Fatalf("%v: want an error", args)
		}
		if !neg {
			ts.Check(err)
		}
	}
}

// parseOptions parses arguments of the form name=value.
func parseOptions(args []string) map[string]string {
	options := make(map[string]string)
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		options[name] = value
	}
	return options
}

// parseInt returns the integer in a text, or a default if the text is not an integer.
func parseInt(text string, fallback int) int {
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return fallback
}

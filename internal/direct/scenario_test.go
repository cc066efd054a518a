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
			"platform":           command((*testDeployment).cmdPlatform),
			"entry":              command((*testDeployment).cmdEntry),
			"agent":              command((*testDeployment).cmdAgent),
			"stop-process":       command((*testDeployment).cmdStop),
			"config":             command((*testDeployment).cmdConfig),
			"residency":          command((*testDeployment).cmdResidency),
			"publish":            command((*testDeployment).cmdPublish),
			"store":              command((*testDeployment).cmdStore),
			"server":             command((*testDeployment).cmdServer),
			"foreign-entries":    command((*testDeployment).cmdForeignEntries),
			"origin":             command((*testDeployment).cmdOrigin),
			"stream":             command((*testDeployment).cmdStream),
			"start-stream":       command((*testDeployment).cmdStartStream),
			"await-stream":       command((*testDeployment).cmdAwaitStream),
			"start-body":         command((*testDeployment).cmdStartBody),
			"check-received":     command((*testDeployment).cmdCheckReceived),
			"request":            command((*testDeployment).cmdRequest),
			"check-runs":         command((*testDeployment).cmdCheckRuns),
			"await-signal":       command((*testDeployment).cmdAwaitSignal),
			"check-avoided":      command((*testDeployment).cmdCheckAvoided),
			"check-retry-after":  command((*testDeployment).cmdCheckRetryAfter),
			"load":               command((*testDeployment).cmdLoad),
			"check-limit":        command((*testDeployment).cmdCheckRateLimit),
			"check-refused":      command((*testDeployment).cmdCheckRefused),
			"check-listed-limit": command((*testDeployment).cmdCheckListedLimit),
			"await":              command((*testDeployment).cmdAwait),
			"crash-on-request":   command((*testDeployment).cmdCrashOnRequest),
			"cause-exits":        command((*testDeployment).cmdCauseExits),
			"check-blocked":      command((*testDeployment).cmdCheckBlocked),
			"await-status":       command((*testDeployment).cmdAwaitStatus),
			"crash-on-parts":     command((*testDeployment).cmdCrashOnParts),
			"listen-after-crash": command((*testDeployment).cmdListenAfterCrash),
			"send-with-parts":    command((*testDeployment).cmdSendWithParts),
			"crash-servers":      command((*testDeployment).cmdCrashServers),
			"check-part-exits":   command((*testDeployment).cmdCheckPartExits),
			"check-sound":        command((*testDeployment).cmdCheckSound),
			"crash-mid-stream":   command((*testDeployment).cmdCrashMidStream),
			"suspend":            command((*testDeployment).cmdSuspend),
			"stop-after":         command((*testDeployment).cmdStopAfter),
			"check-healthy":      command((*testDeployment).cmdCheckHealthy),
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

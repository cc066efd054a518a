package direct_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitLimit bounds each wait of a scenario, never to judge speed.
const waitLimit = 30 * time.Second

type worldKey struct{}

// TestScenarios runs the scripts of testdata against entry boxes and agents in
// this process, with stand-ins of the platform on 127.0.0.0/8.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			w := newWorld(t)
			env.Values[worldKey{}] = w
			env.Defer(w.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"platform": command((*world).cmdPlatform),
			"entry":    command((*world).cmdEntry),
			"agent":    command((*world).cmdAgent),
			"end":      command((*world).cmdEnd),
			"config":   command((*world).cmdConfig),
			"name":     command((*world).cmdName),
			"store":    command((*world).cmdStore),
			"server":   command((*world).cmdServer),
			"foreign":  command((*world).cmdForeign),
			"origin":   command((*world).cmdOrigin),
			"stream":   command((*world).cmdStream),
			"begin":    command((*world).cmdBegin),
			"whole":    command((*world).cmdWhole),
			"ask":      command((*world).cmdAsk),
			"ran":      command((*world).cmdRan),
			"told":     command((*world).cmdTold),
			"avoids":   command((*world).cmdAvoids),
			"later":    command((*world).cmdLater),
			"load":     command((*world).cmdLoad),
			"limited":  command((*world).cmdLimited),
			"refused":  command((*world).cmdRefused),
			"limits":   command((*world).cmdLimits),
			"await":    command((*world).cmdAwait),
			"crashes":  command((*world).cmdCrashes),
			"harm":     command((*world).cmdHarm),
			"barred":   command((*world).cmdBarred),
			"answered": command((*world).cmdAnswered),
			"running":  command((*world).cmdRunning),
			"suspend":  command((*world).cmdSuspend),
			"stays":    command((*world).cmdStays),
			"sound":    command((*world).cmdSound),
		},
	})
}

// command adapts a method of the world, which returns an error to fail.
func command(run func(w *world, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w := ts.Value(worldKey{}).(*world)
		err := run(w, args)
		if neg && err == nil {
			ts.Fatalf("%v: want an error", args)
		}
		if !neg {
			ts.Check(err)
		}
	}
}

// options reads arguments of the form name=value.
func options(args []string) map[string]string {
	read := make(map[string]string)
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		read[name] = value
	}
	return read
}

func number(text string, otherwise int) int {
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return otherwise
}

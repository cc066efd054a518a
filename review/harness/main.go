//go:build review

// Command harness runs one case of the review: the project's own programs as separate processes, against stand-ins of
// the platform on loopback addresses. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime ends a run that hangs.
const maxRunTime = 110 * time.Second

// record is the log of a run: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// printf writes one line with the time since the start of the run.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the cases by name. Each one returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"manifest": runManifest,
	"freeze":   runFreeze,
	"crash":    runCrash,
	"drain":    runDrain,
	"head":     runHead,
}

func main() {
	name := flag.String("case", "", "the case to run")
	plain := flag.String("plain-server", "", "run a plain server on this address instead of a case")
	id := flag.String("id", "", "the ID of the plain server")
	flag.Parse()
	if *plain != "" {
		os.Exit(runPlainServer(*plain, *id))
	}
	os.Exit(runCase(*name))
}

func runCase(name string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	file, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(&record{file: file, started: time.Now()}, daemonPath())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	time.AfterFunc(maxRunTime, func() {
		d.record.printf("the run takes too long")
		d.close()
		os.Exit(exitFailed)
	})
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		d.close()
		os.Exit(exitFailed)
	}()
	broken, err := run(d, trouble)
	d.close()
	switch {
	case err != nil:
		d.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		d.record.printf("RESULT: the rule was broken")
		return exitBroken
	}
	d.record.printf("RESULT: the rule held")
	return exitHeld
}

// daemonPath returns the path of the daemon that the build of the deploy file has made.
func daemonPath() string {
	self, err := os.Executable()
	if err != nil {
		return "cinderslipd"
	}
	return filepath.Join(filepath.Dir(filepath.Dir(self)), "cinderslipd")
}

// Errors of runs.
var (
	errNotReady  = errors.New("the entry boxes did not become ready")
	errNoTrouble = errors.New("the disruption did not come about")
)

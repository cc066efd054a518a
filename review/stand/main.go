//go:build review

// Command stand runs the scripted cases of the second review: it is the store, the servers and the clients of a small
// deployment, and starts the project's own programs beside itself.
//
// # Usage
//
//	stand CASE RECORD
//
// TROUBLE=0 in the environment leaves out the disruption. The exit code is 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxCaseTime is how long a case may run.
const maxCaseTime = 115 * time.Second

var cases = map[string]func(d *deployment, trouble bool) error{
	"slow-reader": slowReader, "last-tenant": lastTenant, "clock-back": clockBack, "stop-slow": stopSlow, "idle-change": idleChange,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return 2
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxCaseTime):
		}
		fmt.Fprintln(os.Stderr, "stopped before its end")
		d.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", os.Args[1], trouble)
	if err := cases[os.Args[1]](d, trouble); err != nil {
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if n := rec.count(); n > 0 {
		rec.note("the rule was broken %d times", n)
		fmt.Printf("broken %d times, first: %s\n", n, rec.broken[0])
		return 1
	}
	rec.note("the rule held")
	fmt.Println("held")
	return 0
}

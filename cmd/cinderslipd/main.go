// Command cinderslipd is the daemon: an entry box, an agent, or with --dev an
// example of the whole on one machine.
//
// # Usage
//
//	cinderslipd --config entry.toml
//	cinderslipd --check --config entry.toml
//	cinderslipd --dev
//
// It exits with 0 after a planned stop, 1 after a failure, 2 for wrong usage and
// 3 if --check has findings.
package main

import (
	"os"
	"os/signal"
	"syscall"
)

func main() {
	// Before anything else, as a hangup that comes before it is asked for ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, reload))
}

// Command cinderslipd is the daemon: an entry box or an agent, or with --dev a
// complete example system on one machine.
//
// # Usage
//
//	cinderslipd --config entry.toml
//	cinderslipd --check --config entry.toml
//	cinderslipd --dev
//
// The exit code is 0 after a planned stop, 1 after a failure, 2 for wrong usage and
// 3 if the settings have findings, with or without --check.
package main

import (
	"os"
	"os/signal"
	"syscall"
)

func main() {
	// First, because a hangup signal that arrives before Notify ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, reload))
}

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
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

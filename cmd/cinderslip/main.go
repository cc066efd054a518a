// Command cinderslip is the command line for operators of a cinderslip system.
//
// # Usage
//
//	cinderslip --server 127.0.0.1:9001 table show
//	cinderslip table set kumiai kakiwake version=2026.12
//	cinderslip table apply table.csv
//	cinderslip status
//	cinderslip rollout --watch
//
// The server is the operator address of any entry box, from --server or from
// CINDERSLIP_SERVER. The exit codes are listed in run.go and in
// docs/operators/command-line.md.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

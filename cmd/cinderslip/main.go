// Command cinderslip is the operators' command line.
//
// # Usage
//
//	cinderslip --server 127.0.0.1:9001 table show
//	cinderslip table set kumiai kakiwake version=2026.12
//	cinderslip table apply table.csv
//	cinderslip status
//	cinderslip rollout --watch
//
// The server is an operators' address of any entry box, from --server or from
// CINDERSLIP_SERVER. The exit codes are listed at exitCode and in
// docs/operators/command-line.md.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// clockTicks is the number of clock ticks per second in /proc/PID/stat on Linux.
const clockTicks = 100

// usage TIME logs the CPU usage of each process during TIME, in percent of a core, and its resident memory at the end.
// It checks nothing. The figures are for docs/CAPACITY.md.
func usage(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	before := make(map[string]float64)
	for _, name := range d.startOrder {
		before[name] = cpuSeconds(ts, d.processes[name].cmd.Process.Pid)
	}
	time.Sleep(span)
	for _, name := range d.startOrder {
		pid := d.processes[name].cmd.Process.Pid
		used := cpuSeconds(ts, pid) - before[name]
		ts.Logf("usage %s: %.2f%% of a core, %.1f MB resident", name, 100*used/span.Seconds(), residentMegabytes(ts, pid))
	}
}

func cpuSeconds(ts *testscript.TestScript, pid int) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	ts.Check(err)
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseFloat(fields[11], 64)
	ts.Check(err)
	system, err := strconv.ParseFloat(fields[12], 64)
	ts.Check(err)
	return (user + system) / clockTicks
}

func residentMegabytes(ts *testscript.TestScript, pid int) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	ts.Check(err)
	for line := range strings.SplitSeq(string(content), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.Fields(text)[0], 64)
			ts.Check(err)
			return kilobytes / 1000
		}
	}
	return 0
}

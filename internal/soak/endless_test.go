package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// Servers in trouble, and the origin, send bytes that form no response and have no end, to callers and to agents, until the
// connection is closed. The origin also sends manifests that were spoilt on their way. No process may go over its memory.

const (
	// endlessInterval is the mean delay before each fault, and maxEndlessWindow the longest time in which the requests that
	// arrive at a server meet one.
	endlessInterval  = 250 * time.Millisecond
	maxEndlessWindow = 600 * time.Millisecond
	// maxEndlessResponses is the largest number of responses of the origin without an end, or of spoilt manifests, in a row.
	maxEndlessResponses = 4
	// memoryLimit is the memory limit in the settings of all processes, in millions of bytes.
	memoryLimit = 150
	// memoryInterval is the time between two checks of the memory of a process.
	memoryInterval = 20 * time.Millisecond
)

// sendWithoutEnd lets randomly chosen servers and the origin send responses without an end, and the origin spoilt manifests, for
// a time. Faults of several servers overlap.
func (d *testDeployment) sendWithoutEnd(duration time.Duration) {
	var running sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(d.endlessRand.Int64N(int64(2 * endlessInterval))))
		kind := standin.EndlessKinds[d.endlessRand.IntN(len(standin.EndlessKinds))]
		s := d.servers[d.endlessRand.IntN(len(d.servers))]
		window := time.Duration(d.endlessRand.Int64N(int64(maxEndlessWindow)))
		count := 1 + d.endlessRand.IntN(maxEndlessResponses)
		spoil := standin.ManifestSpoils[d.endlessRand.IntN(len(standin.ManifestSpoils))]
		switch d.endlessRand.IntN(5) {
		case 0:
			d.origin.EndlessNext(count)
		case 1:
			d.origin.SpoilNextManifests(count, spoil)
			d.publishVersion()
		case 2:
			running.Go(func() { s.during(window, func(on bool) { s.SetEndlessCalls(kindIf(kind, on)) }) })
		default:
			if kind == standin.EndlessAfterAnswer && s.service != "maps" {
				kind = standin.EndlessStatusLine
			}
			running.Go(func() { s.during(window, func(on bool) { s.SetEndless(kindIf(kind, on)) }) })
		}
	}
	running.Wait()
}

// kindIf returns a kind while a fault is on, and none otherwise.
func kindIf(kind standin.Endless, on bool) standin.Endless {
	if on {
		return kind
	}
	return ""
}

// during sets a fault of a server for a time.
func (s *server) during(window time.Duration, set func(on bool)) {
	defer s.disturbSince(time.Now())
	set(true)
	time.Sleep(window)
	set(false)
}

// memoryWatch checks the resident memory of all processes.
type memoryWatch struct {
	done     chan struct{}
	watching sync.WaitGroup
	findings []string
	most     float64
}

// watchMemory checks the memory of all processes until stop is called.
func watchMemory(d *testDeployment) *memoryWatch {
	w := &memoryWatch{done: make(chan struct{})}
	w.watching.Go(func() {
		over := make(map[string]bool)
		for {
			for _, p := range d.processes() {
				used := p.residentMegabytes()
				w.most = max(w.most, used)
				if used > memoryLimit && !over[p.name] {
					over[p.name] = true
					w.findings = append(w.findings, fmt.Sprintf("%s has %.0f MB of memory, its limit is %d", p.name, used, memoryLimit))
				}
			}
			select {
			case <-w.done:
				return
			case <-time.After(memoryInterval):
			}
		}
	})
	return w
}

func (w *memoryWatch) stop() {
	close(w.done)
	w.watching.Wait()
}

// residentMegabytes returns the resident memory of a process in millions of bytes, 0 while it does not run.
func (p *process) residentMegabytes() float64 {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / 1e6
}

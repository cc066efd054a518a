package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// A sound server may fall silent for a second or two and go on, and so may a link. These faults make servers silent at
// each point of a request, one or all of them or several in turn, beside series of configurations and of signals. No
// silence excuses a response that is cut; see cuts_test.go.

const (
	// silenceInterval is the mean delay before each silence, and maxSilenceWindow the longest time in which the requests
	// that arrive at a server meet one.
	silenceInterval  = 300 * time.Millisecond
	maxSilenceWindow = 800 * time.Millisecond
	// minSilence and maxSilence limit the duration of a silence. linkHold is how long a link forwards nothing.
	minSilence = time.Second
	maxSilence = 2 * time.Second
	linkHold   = time.Second
	// seriesCount is the number of configurations or signals in a series, and seriesInterval the time between two.
	seriesCount    = 3
	seriesInterval = 100 * time.Millisecond
)

// silencePoints are the points of a request at which servers fall silent.
var silencePoints = []standin.SilencePoint{
	standin.SilenceInRequest, standin.SilenceBeforeHead, standin.SilenceBetweenEvents, standin.SilenceBetweenEvents, standin.SilenceInBody,
}

// silenceServers makes randomly chosen servers and links silent for a time.
func (d *testDeployment) silenceServers(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(d.silenceRand.Int64N(int64(2 * silenceInterval))))
		targets := append(append([]*server(nil), d.servers...), d.bulk...)
		first, window := d.silenceRand.IntN(len(targets)), time.Duration(d.silenceRand.Int64N(int64(maxSilenceWindow)))
		d.startSeries(d.silenceRand.IntN(6))
		switch d.silenceRand.IntN(4) {
		case 0:
			d.silence(targets[first:first+1], window)
		case 1:
			d.silence(targets, window)
		case 2:
			for i := range 3 {
				d.silence([]*server{targets[(first+i)%len(targets)]}, window/3)
			}
		default:
			for i := range 1 + d.silenceRand.IntN(len(targets)) {
				targets[(first+i)%len(targets)].proxy.hold(linkHold)
			}
		}
	}
}

// silence makes the requests that arrive at servers within a time meet a silence.
func (d *testDeployment) silence(servers []*server, window time.Duration) {
	silence := standin.Silence{
		Point:    silencePoints[d.silenceRand.IntN(len(silencePoints))],
		Duration: minSilence + time.Duration(d.silenceRand.Int64N(int64(maxSilence-minSilence))),
	}
	for _, s := range servers {
		if s.service == bulkService && silence.Point == standin.SilenceBetweenEvents {
			s.SetSilence(standin.Silence{Point: standin.SilenceInBody, Duration: silence.Duration})
			continue
		}
		s.SetSilence(silence)
	}
	time.Sleep(window)
	for _, s := range servers {
		s.SetSilence(standin.Silence{})
	}
}

// startSeries starts a series of configurations for kind 0 and 1, and of SIGHUP to an entry box for kind 2. It does
// nothing for other kinds.
func (d *testDeployment) startSeries(kind int) {
	box := d.entries[d.silenceRand.IntN(len(d.entries))]
	if kind > 2 {
		return
	}
	d.pendingRestarts.Go(func() {
		for range seriesCount {
			if kind == 2 {
				box.signal(syscall.SIGHUP)
			} else {
				d.putConfig()
			}
			time.Sleep(seriesInterval)
		}
	})
}

const (
	// bulkService has servers with long bodies, which are sent evenly within bulkTime. bulkTimeout is the timeout of its
	// route and the deadline of its callers. bulkCallers is the number of callers.
	bulkService = "bulk"
	bulkSize    = 200_000
	bulkTime    = 2500 * time.Millisecond
	bulkTimeout = 5 * time.Second
	bulkCallers = 2
	bulkServers = 2
)

// addBulkServers adds the servers with long bodies.
func (d *testDeployment) addBulkServers() {
	for i := range bulkServers {
		s := d.newServer(fmt.Sprintf("i-bulk-%d", i), bulkService, "", d.ip(210+i))
		s.SetLongBody(bulkSize, bulkTime)
		d.bulk = append(d.bulk, s)
		d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), "hall-a", false))
	}
}

// runBulk starts the callers of long bodies, which use all entry boxes in turn.
func (l *load) runBulk() {
	for caller := range bulkCallers {
		l.wg.Go(func() {
			for i := caller; !l.stopped.Load(); i++ {
				if !l.send(bulkService, l.deployment.callerAddresses[i%len(l.deployment.callerAddresses)]) {
					time.Sleep(failureBackoff)
				}
			}
		})
	}
}

// hold makes the links of the proxy forward nothing for a time. They go on afterwards without a loss.
func (p *proxy) hold(duration time.Duration) {
	p.set(func(p *proxy) { p.heldUntil = time.Now().Add(duration) })
}

// bulkBody is the complete long body.
var bulkBody = strings.Repeat("x", bulkSize)

// readResponse reads the body of a response and reports a cut.
func (l *load) readResponse(route, id, entry string, response *http.Response) (string, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		l.noteCut(route, id, entry, err)
	}
	return string(body), err
}

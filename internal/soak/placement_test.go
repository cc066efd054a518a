package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/platform/standin"
)

// The service "places" has one server in the region of the boxes and one in another region. Its routes allow one of the
// regions each. These checks look at every request that reached these servers, and for bytes that a box still holds when
// no request is in progress.

const (
	nearDomain, farDomain = "hall-a", "hall-b"
	nearRegion, farRegion = "r", "far"
	// evacuationBound is how long after an evacuation requests may still arrive, evacuationTime how long it lasts beyond.
	evacuationBound = 5 * time.Second
	evacuationTime  = 2 * time.Second
	// coldRate is the cold rate of the service, coldTime how long its server is cold. Its requests count from coldNotice
	// after its entry says so.
	coldRate   = 10
	coldTime   = 6 * time.Second
	coldNotice = time.Second
)

// coldAllowance is the allowance in the settings of all processes.
var coldAllowance = route.ColdAllowance{Factor: 1.5, Extra: 5}

// placement holds the servers of the service and the times of the phase without faults.
type placement struct {
	near, far               *server
	evacuatedAt, readmitted time.Time
	coldStart, coldEnd      time.Time
}

// putPlaced writes the entry of a server of the service.
func (d *testDeployment) putPlaced(s *server, domain string) {
	d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), domain, false))
}

// placeWithoutFaults evacuates the failure domain of one server and makes the other one cold while no faults are injected.
func (d *testDeployment) placeWithoutFaults() {
	p := &d.placement
	p.near.SetCold(coldTime)
	d.putPlaced(p.near, nearDomain)
	p.coldStart = time.Now().Add(coldNotice)
	p.coldEnd = time.Now().Add(coldTime)
	d.store.Put("op/evacuate/"+farDomain, []byte("{}"))
	p.evacuatedAt = time.Now()
	time.Sleep(evacuationBound + evacuationTime)
	p.readmitted = time.Now()
	d.store.Remove("op/evacuate/" + farDomain)
	d.putPlaced(p.near, nearDomain)
}

// placementFindings reports requests that reached a server that they must not reach.
func (l *load) placementFindings() (findings []string) {
	p := &l.deployment.placement
	for _, attempt := range p.near.ReceivedRequests() {
		if strings.HasPrefix(attempt.Path, "/far/") {
			findings = append(findings, fmt.Sprintf("request %s to %s reached a server in region %s", attempt.RequestID, attempt.Path, nearRegion))
		}
	}
	for _, attempt := range p.far.ReceivedRequests() {
		if strings.HasPrefix(attempt.Path, "/near/") {
			findings = append(findings, fmt.Sprintf("request %s to %s reached a server in region %s", attempt.RequestID, attempt.Path, farRegion))
		}
		if attempt.At.After(p.evacuatedAt.Add(evacuationBound)) && attempt.At.Before(p.readmitted) {
			findings = append(findings, fmt.Sprintf("request %s reached a server %s after its failure domain was evacuated",
				attempt.RequestID, attempt.At.Sub(p.evacuatedAt).Round(time.Millisecond)))
		}
	}
	return append(findings, l.coldFindings(p.near.ReceivedRequests())...)
}

// coldFindings reports the first second in which the cold server received too many requests.
func (l *load) coldFindings(received []standin.ReceivedRequest) (findings []string) {
	p := &l.deployment.placement
	var counted []time.Time
	for _, attempt := range received {
		if attempt.At.After(p.coldStart) && attempt.At.Before(p.coldEnd) {
			counted = append(counted, attempt.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	allowed := coldAllowance.PerSecond(coldRate)
	ratewindow.Each(counted, time.Second, func(_ time.Time, count int) {
		if len(findings) == 0 && float64(count) > allowed {
			findings = append(findings, fmt.Sprintf("a cold server received %d requests in one second, want at most %v", count, allowed))
		}
	})
	return findings
}

// heldFindings reports the entry boxes that hold bytes although no request is in progress.
func (d *testDeployment) heldFindings() (findings []string) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, entry := range d.entries {
		held, err := entry.heldBytes()
		for (err != nil || held != 0) && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			held, err = entry.heldBytes()
		}
		if err != nil || held != 0 {
			findings = append(findings, fmt.Sprintf("%s holds %v bytes without any request: %v", entry.name, held, err))
		}
	}
	return findings
}

// heldBytes reads the metric of the bytes that an entry box holds.
func (p *process) heldBytes() (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := p.get(ctx, http.DefaultClient, "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if name, value, _ := strings.Cut(lines.Text(), " "); strings.HasSuffix(name, "direct_held_bytes") {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("%s: metric is missing", p.name)
}

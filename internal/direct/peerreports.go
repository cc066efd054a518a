package direct

import (
	"maps"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// peerReports holds the last load and demand of the other entry boxes of the cell. Its zero value is empty.
type peerReports map[member.BoxID]peerReport

// peerReport is the load of one box at the servers of all services, and its demand for each service.
type peerReport struct {
	load    route.Load
	demands route.Demands
}

// merge applies a report of a box and returns the box's resulting load and demand. A full report replaces the
// previous one; a partial report changes only the servers and services that it contains. A full report with nil
// load and demands removes the box, because it is unreachable.
func (p *peerReports) merge(box member.BoxID, load route.Load, demands route.Demands, full bool) peerReport {
	if *p == nil {
		*p = make(peerReports)
	}
	report, exists := (*p)[box]
	switch {
	case full && load == nil && demands == nil:
		delete(*p, box)
		return peerReport{}
	case full:
		report = peerReport{load: make(route.Load, len(load)), demands: make(route.Demands, len(demands))}
	case !exists:
		// A partial report without a preceding full one is useless.
		return peerReport{}
	}
	maps.Copy(report.load, load)
	maps.DeleteFunc(report.load, func(_ fleet.ServerID, load route.ServerLoad) bool { return load == (route.ServerLoad{}) })
	maps.Copy(report.demands, demands)
	(*p)[box] = report
	return report
}

// replayTo applies all reports to a new dispatcher of a service.
func (p peerReports) replayTo(service member.Service, d *route.Dispatcher, now time.Time) {
	for box, report := range p {
		d.UpdatePeerDemand(box, report.demands[service], now)
		d.UpdatePeerLoad(box, report.load, true, now)
	}
}

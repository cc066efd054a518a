package direct

import (
	"maps"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// peerReports is what the other entry boxes of the cell told last. Its zero value is empty.
type peerReports map[member.BoxID]peerReport

// peerReport is what one box has in flight, at the servers of all services, and is asked for.
type peerReport struct {
	load    route.Load
	demands route.Demands
}

// merge takes a message: of the servers and services that are named or, if whole is set, of these and no others. Nothing whole
// in a message says that the box is no longer heard. It returns all that is known of the box now.
func (p *peerReports) merge(box member.BoxID, load route.Load, demands route.Demands, whole bool) peerReport {
	if *p == nil {
		*p = make(peerReports)
	}
	known, heard := (*p)[box]
	switch {
	case whole && load == nil && demands == nil:
		delete(*p, box)
		return peerReport{}
	case whole:
		known = peerReport{load: make(route.Load, len(load)), demands: make(route.Demands, len(demands))}
	case !heard:
		// The first word of a box is whole; what comes before it is of no use.
		return peerReport{}
	}
	maps.Copy(known.load, load)
	maps.DeleteFunc(known.load, func(_ fleet.ServerID, load route.ServerLoad) bool { return load == (route.ServerLoad{}) })
	maps.Copy(known.demands, demands)
	(*p)[box] = known
	return known
}

// replayTo tells a new dispatcher of a service.
func (p peerReports) replayTo(service member.Service, d *route.Dispatcher, now time.Time) {
	for box, known := range p {
		d.UpdatePeerDemand(box, known.demands[service], now)
		d.UpdatePeerLoad(box, known.load, true, now)
	}
}

package direct

import (
	"maps"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// peersTold is what the other entry boxes of the cell told last. Its zero value is empty.
type peersTold map[member.BoxID]peerTold

// peerTold is what one box has in flight, at the servers of all services, and is asked for.
type peerTold struct {
	load    route.Load
	demands route.Demands
}

// take takes a message: of the servers and services that are named or, if whole is set, of these and no others. Nothing whole
// in a message says that the box is no longer heard. It returns all that is known of the box now.
func (p *peersTold) take(box member.BoxID, load route.Load, demands route.Demands, whole bool) peerTold {
	if *p == nil {
		*p = make(peersTold)
	}
	known, heard := (*p)[box]
	switch {
	case whole && load == nil && demands == nil:
		delete(*p, box)
		return peerTold{}
	case whole:
		known = peerTold{load: make(route.Load, len(load)), demands: make(route.Demands, len(demands))}
	case !heard:
		// The first word of a box is whole; what comes before it is of no use.
		return peerTold{}
	}
	maps.Copy(known.load, load)
	maps.DeleteFunc(known.load, func(_ fleet.ServerID, load route.ServerLoad) bool { return load == (route.ServerLoad{}) })
	maps.Copy(known.demands, demands)
	(*p)[box] = known
	return known
}

// tell tells a new dispatcher of a service.
func (p peersTold) tell(service member.Service, d *route.Dispatcher, now time.Time) {
	for box, known := range p {
		d.UpdatePeerDemand(box, known.demands[service], now)
		d.UpdatePeerLoad(box, known.load, true, now)
	}
}

package direct

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// dispatcherInput is what all dispatchers depend on at one point in time.
type dispatcherInput struct {
	view *fleet.View
	now  time.Time
	// plan is nil before the first one. hasBoxes is set if the box follows others; liveBoxes and allBoxes are then the size
	// of its cell.
	plan                *cellPlan
	hasBoxes            bool
	liveBoxes, allBoxes int
}

// dispatcherInput returns the current input of all dispatchers. The lock must be held until they have it; otherwise an
// older view could overwrite a newer one.
func (s *CallerServer) dispatcherInput() *dispatcherInput {
	input := &dispatcherInput{view: s.fleetState.View(), now: s.clock.Now()}
	if entries := s.entries.Load(); entries != nil {
		input.plan, input.hasBoxes = entries.currentPlan(), true
		input.liveBoxes, input.allBoxes = entries.CellSize()
	}
	return input
}

// dispatcherServers are the servers that a dispatcher was given last, and what they were chosen from.
type dispatcherServers struct {
	plan   *cellPlan
	listed []fleet.Server
	layers int
}

// setServers gives a dispatcher the servers that the own cell uses. If they are the same as before, only what depends on
// the time and on other boxes is brought up to date. The lock must be held.
func (s *CallerServer) setServers(name member.Service, d *route.Dispatcher, input *dispatcherInput, layers int) {
	next := dispatcherServers{plan: input.plan, listed: input.view.Servers(name), layers: layers}
	if before, ok := s.dispatcherServers[name]; ok && before.plan == next.plan && before.layers == layers && isSameSlice(before.listed, next.listed) {
		d.RefreshServers(input.now)
		return
	}
	if s.dispatcherServers == nil {
		s.dispatcherServers = make(map[member.Service]dispatcherServers)
	}
	s.dispatcherServers[name] = next
	d.SetServers(input.plan.ownServers(next.listed), layers, s.isLocal, input.now)
}

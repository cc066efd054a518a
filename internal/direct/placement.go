package direct

import (
	"errors"
	"fmt"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// errResidency reports that the request may not be served in the region of the server.
var errResidency = errors.New("request may not be served in the region of the server")

// residency returns where a request may be served, according to the current configuration. If that lacks the
// route or the organisation, the residency at the time of admission applies.
func (s *CallerServer) residency(x *exchange) fleet.Residency {
	view := s.fleetState.View()
	if view.Configuration == nil || view.Configuration.Version == x.configuration {
		return fleet.RequestResidency(x.route, x.organisation)
	}
	current, ok := view.Route(hostOf(x.request), x.request.URL.EscapedPath())
	if !ok {
		current = x.route
	}
	organisation := x.organisation
	if organisation != nil {
		if known, ok := view.Organisation(x.Key); ok {
			organisation = known
		}
	}
	return fleet.RequestResidency(current, organisation)
}

// checkResidency returns an error if a request may not be served in the region of a server. It is called immediately
// before a request is sent, because the configuration may have changed since the slot was reserved.
func (s *CallerServer) checkResidency(x *exchange, server *fleet.Server) error {
	residency := s.residency(x)
	if !residency.Restricted {
		return nil
	}
	region := s.regionOf(server.Domain)
	if residency.Allows(region) {
		return nil
	}
	return fmt.Errorf("%w: %s", errResidency, region)
}

// noServerReason returns why no server can run a request: none is in an allowed region ("residency"), all of those are in
// evacuated failure domains ("evacuated"), or another reason ("no-server").
func (s *CallerServer) noServerReason(x *exchange, residency *fleet.Residency) string {
	servers := s.fleetState.View().Servers(x.service)
	allowed, evacuated := 0, 0
	for i := range servers {
		if residency.Allows(s.regionOf(servers[i].Domain)) {
			allowed++
			if servers[i].Evacuated {
				evacuated++
			}
		}
	}
	switch {
	case residency.Restricted && allowed == 0:
		return "residency"
	case allowed > 0 && evacuated == allowed:
		return "evacuated"
	}
	return "no-server"
}

// directoryRegions returns a function that reports whether a caller may be directed to the entry boxes of a region: its own
// region, or one in which all requests to the host may be served. Without a configuration no other region is known to be allowed.
func directoryRegions(view *fleet.View, host string, callerRegion member.Region) func(member.Region) bool {
	residency := fleet.ResidencyIn()
	if view.Configuration != nil {
		residency = view.HostResidency(host)
	}
	return func(region member.Region) bool { return region == callerRegion || residency.Allows(region) }
}

package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// serverEntry is a server's entry and when it was written.
type serverEntry struct {
	fleet.Server
	revision fleet.Revision
}

func (f *FleetState) applyServer(fact *fleet.Fact, from string, log *zerolog.Logger) {
	id := fleet.ServerID(strings.TrimPrefix(fact.Key, fleet.ServerKey("")))
	if !fact.Deleted {
		known, isKnown := f.servers[id]
		if problem := f.incarnationProblem(fact.Server.Incarnation, known.Incarnation); problem != "" {
			log.Warn().Str("server", string(id)).Uint64("incarnation", uint64(fact.Server.Incarnation)).Uint64("known", uint64(known.Incarnation)).
				Uint64("revision", uint64(fact.Revision)).Str("from", from).Str("problem", problem).Msg("server's entry not taken")
			return
		}
		if !isKnown || fact.Server.Leaving || fact.Server.Incarnation > known.Incarnation {
			log.Info().Str("server", string(id)).Str("service", string(fact.Server.Service)).Str("address", string(fact.Server.Address)).
				Bool("leaving", fact.Server.Leaving).Uint64("incarnation", uint64(fact.Server.Incarnation)).
				Uint64("revision", uint64(fact.Revision)).Str("from", from).Msg("server listed")
		}
		f.servers[id] = serverEntry{*fact.Server, fact.Revision}
		if fact.Server.Incarnation >= f.departures.incarnations[id] {
			delete(f.departures.incarnations, id)
		}
		return
	}
	server, known := f.servers[id]
	delete(f.servers, id)
	delete(f.departures.incarnations, id)
	if !known {
		return
	}
	log.Info().Str("server", string(id)).Str("address", string(server.Address)).Bool("was_leaving", server.Leaving).
		Uint64("revision", uint64(fact.Revision)).Str("from", from).Msg("server gone from the list")
}

// maxIncarnationSkew is by how much a server's start may lie ahead of this box's time of day: that may
// jump by seconds. One that lies further ahead would keep the true one out until then.
const maxIncarnationSkew = time.Minute

// incarnationProblem says what is wrong with the start that an entry tells, given the one that is
// known under its id, 0 if none is; empty if nothing is. An entry of an earlier start may be
// written, or come, after one of a later start.
func (f *FleetState) incarnationProblem(told, known member.Incarnation) string {
	switch {
	case told < known:
		return "earlier start"
	case told > member.Incarnation(f.clock.Now().Add(maxIncarnationSkew).UnixMilli()):
		return "start in the future"
	}
	return ""
}

// currentServers returns one server for each address, of the services that the
// configuration names. One that was started anew may have another id, and the entry of the
// start before stays for seconds: of several entries with one address that of the latest
// start is right, and of these, or where the platform does not tell, the newest.
func (f *FleetState) currentServers(configuration *fleet.Configuration) []fleet.Server {
	newest := make(map[member.Address]serverEntry, len(f.servers))
	for id, server := range f.servers {
		if !f.isConfigured(configuration, id, server.Service) {
			continue
		}
		if known, ok := newest[server.Address]; !ok || server.supersedes(&known) {
			newest[server.Address] = server
		}
	}
	servers := make([]fleet.Server, 0, len(newest))
	for _, server := range newest {
		server.Leaving = server.Leaving || f.departures.isLeaving(&server.Server)
		server.Limit = f.rateLimits.limitOf(&server.Server, f.departures.incarnations[server.ID])
		servers = append(servers, server.Server)
	}
	return servers
}

// supersedes reports whether an entry tells of a later start than another one.
func (l *serverEntry) supersedes(other *serverEntry) bool {
	if l.Incarnation != other.Incarnation {
		return l.Incarnation > other.Incarnation
	}
	return l.revision > other.revision
}

// isConfigured reports whether the configuration names the service of an entry. Without a check
// an entry of another writer with the address of a server would hide that one.
func (f *FleetState) isConfigured(configuration *fleet.Configuration, id fleet.ServerID, service member.Service) bool {
	if configuration == nil || len(configuration.Services) == 0 {
		return true
	}
	named := slices.ContainsFunc(configuration.Services, func(s fleet.Service) bool { return s.Name == service })
	if named {
		delete(f.unconfigured, service)
	} else if !f.unconfigured[service] {
		f.unconfigured[service] = true
		f.log.Warn().Str("server", string(id)).Str("service", string(service)).Uint64("configuration", configuration.Version).
			Msg("servers of a service that is not configured are passed over")
	}
	return named
}

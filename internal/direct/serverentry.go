package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// serverEntry is a server's entry and the revision at which it was written.
type serverEntry struct {
	fleet.Server
	revision fleet.Revision
	// from is the store or the process from which this revision was received, listedAt when the server was added
	// to the list.
	from     string
	listedAt time.Time
}

func (f *FleetState) applyServer(fact *fleet.Fact, from string, log *zerolog.Logger) {
	id := fleet.ServerID(strings.TrimPrefix(fact.Key, fleet.ServerKey("")))
	if !fact.Deleted {
		known, isKnown := f.servers[id]
		if problem := f.incarnationProblem(fact.Server.Incarnation, known.Incarnation); problem != "" {
			if isKnown {
				f.applyLateDeparture(id, fact, known, from, log)
			}
			log.Warn().Str("server", string(id)).Uint64("incarnation", uint64(fact.Server.Incarnation)).Uint64("known", uint64(known.Incarnation)).
				Stringer("revision", fact.Revision).Str("from", from).Str("problem", problem).Msg("server's entry not taken")
			return
		}
		if !isKnown || fact.Server.Leaving || fact.Server.Incarnation > known.Incarnation {
			log.Info().Str("server", string(id)).Str("service", string(fact.Server.Service)).Str("address", string(fact.Server.Address)).
				Bool("leaving", fact.Server.Leaving).Uint64("incarnation", uint64(fact.Server.Incarnation)).
				Stringer("revision", fact.Revision).Str("from", from).Msg("server listed")
		}
		listedAt := known.listedAt
		if !isKnown {
			listedAt = f.clock.Now()
		}
		f.noteEntry(id, fact, &known, isKnown, log)
		f.putServer(id, &serverEntry{*fact.Server, fact.Revision, from, listedAt})
		f.noteCold(id, fact.Server.Incarnation, fact.Server.ColdFor, from)
		if fact.Server.Incarnation >= f.departures.incarnations[id] {
			delete(f.departures.incarnations, id)
		}
		return
	}
	server, known := f.servers[id]
	f.deleteServer(id)
	delete(f.cold, id)
	delete(f.departures.incarnations, id)
	f.returned.noteDeleted(id, deletedServer{fact.Revision, server.Incarnation, server.Leaving})
	if !known {
		return
	}
	log.Info().Str("server", string(id)).Str("address", string(server.Address)).Bool("was_leaving", server.Leaving).
		Stringer("revision", fact.Revision).Str("from", from).Msg("server gone from the list")
}

// applyLateDeparture records that a server leaves by an entry of an earlier incarnation that the store has taken after the known one.
// The clock of the server's box may have been ahead at the start before; and if it was not, the next entry of the later
// incarnation makes the server one that is ready again. The lock must be held.
func (f *FleetState) applyLateDeparture(id fleet.ServerID, fact *fleet.Fact, known serverEntry, from string, log *zerolog.Logger) {
	isLater := fact.Revision > known.revision && fact.Revision.Era() == known.revision.Era()
	if !fact.Server.Leaving || known.Leaving || !isLater {
		return
	}
	known.Leaving, known.revision, known.from = true, fact.Revision, from
	f.putServer(id, &known)
	log.Info().Str("server", string(id)).Str("address", string(known.Address)).Uint64("incarnation", uint64(fact.Server.Incarnation)).
		Uint64("known", uint64(known.Incarnation)).Stringer("revision", fact.Revision).Str("from", from).Msg("server leaves by an entry of an earlier start")
}

// maxIncarnationSkew is how far a server's incarnation may be ahead of this box's clock, which may jump by
// seconds. An incarnation further ahead would block the true one until its time is reached.
const maxIncarnationSkew = time.Minute

// incarnationProblem describes what is wrong with the incarnation in an entry, given the known one of the same
// server (0 if none). It returns an empty string if nothing is. An entry of an earlier incarnation may be written,
// or arrive, after one of a later incarnation.
func (f *FleetState) incarnationProblem(reported, known member.Incarnation) string {
	switch {
	case reported < known:
		return "earlier start"
	case reported > member.Incarnation(f.clock.Now().Add(maxIncarnationSkew).UnixMilli()):
		return "start in the future"
	}
	return ""
}

// supersedes reports whether an entry belongs to a later incarnation than another one, or is newer within the same
// incarnation.
func (e *serverEntry) supersedes(other *serverEntry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.revision > other.revision
}

// isConfigured reports whether the service of an entry is in the configuration. Without this check, an entry that
// another writer creates with the address of a server would hide that server.
func (f *FleetState) isConfigured(configuration *fleet.Configuration, id fleet.ServerID, service member.Service) bool {
	if configuration == nil || len(configuration.Services) == 0 {
		return true
	}
	configured := slices.ContainsFunc(configuration.Services, func(s fleet.Service) bool { return s.Name == service })
	if configured {
		delete(f.unconfigured, service)
	} else if !f.unconfigured[service] {
		f.unconfigured[service] = true
		f.log.Warn().Str("server", string(id)).Str("service", string(service)).Uint64("configuration", configuration.Version).
			Msg("servers of a service that is not configured are passed over")
	}
	return configured
}

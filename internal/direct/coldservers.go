package direct

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// A server is cold for some time after a start, and may become cold again at any moment. It then accepts only
// the cold rate of its service, from all entry boxes together, and exits if it receives much more. The token buckets that
// enforce the advertised rate limits also enforce those of cold servers.

const (
	// maxColdTime is the maximum time for which one statement of a server applies.
	maxColdTime = time.Minute
	// coldTolerance is the maximum difference between two statements of the same end of the cold time, which arrive
	// with different delays.
	coldTolerance = 500 * time.Millisecond
)

// coldState is the cold time of a server, according to its entry and its responses.
type coldState struct {
	// incarnation is the incarnation of the server that the state describes.
	incarnation member.Incarnation
	// until is the end of the cold time.
	until time.Time
}

// noteCold records that an incarnation of a server stays cold for a time. What an incarnation states later does not
// shorten the time, because its entry and its responses arrive in any order. The lock must be held.
func (f *FleetState) noteCold(id fleet.ServerID, incarnation member.Incarnation, coldFor time.Duration, from string) (changed bool) {
	f.noteServerChanged(id)
	known, ok := f.cold[id]
	until := f.clock.Now().Add(min(coldFor, maxColdTime))
	switch {
	case ok && incarnation < known.incarnation:
		return false
	case ok && incarnation > known.incarnation && coldFor <= 0:
		delete(f.cold, id)
		return true
	case coldFor <= 0, ok && incarnation == known.incarnation && !until.After(known.until.Add(coldTolerance)):
		return false
	}
	f.cold[id] = coldState{incarnation, until}
	f.log.Info().Str("server", string(id)).Uint64("incarnation", uint64(incarnation)).Dur("cold_ms", coldFor).Str("from", from).Msg("server is cold")
	f.clock.AfterFunc(f.clock.Until(until), f.expireCold)
	return true
}

// assumedColdTime returns the remaining cold time of an incarnation that is known only from an agent's report: that of
// its service, from the start of the incarnation.
func (f *FleetState) assumedColdTime(server *fleet.Server, incarnation member.Incarnation) time.Duration {
	service := f.View().Service(server.Service)
	if service == nil {
		return 0
	}
	return service.ColdTime - f.clock.Since(time.UnixMilli(int64(incarnation)))
}

// ObserveCold records the remaining cold time that a server stated in a response.
func (f *FleetState) ObserveCold(server fleet.ServerID, incarnation member.Incarnation, coldFor time.Duration, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incarnation >= f.latestIncarnation(server) && f.noteCold(server, incarnation, coldFor, from) {
		f.refreshServers()
	}
}

// expireCold removes the servers whose cold time has ended.
func (f *FleetState) expireCold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, expired := f.clock.Now(), false
	for id, state := range f.cold {
		if !now.Before(state.until) {
			delete(f.cold, id)
			f.noteServerChanged(id)
			expired = true
		}
	}
	if expired {
		f.refreshServers()
	}
}

// isCold reports whether the latest incarnation of a server is cold. The lock must be held.
func (f *FleetState) isCold(server *fleet.Server) bool {
	state, ok := f.cold[server.ID]
	return ok && state.incarnation >= max(server.Incarnation, f.departures.incarnations[server.ID]) && f.clock.Now().Before(state.until)
}

// applyCold sets the state and the limit of a server that is cold. The lock must be held.
func (f *FleetState) applyCold(server *fleet.Server, configuration *fleet.Configuration) {
	if server.Cold = f.isCold(server); !server.Cold || configuration == nil {
		return
	}
	for i := range configuration.Services {
		if service := &configuration.Services[i]; service.Name == server.Service && service.ColdRate > 0 {
			if limit := f.coldAllowance.Limit(service.ColdRate); limit.IsBelow(server.Limit) {
				server.Limit = limit
			}
		}
	}
}

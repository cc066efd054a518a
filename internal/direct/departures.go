package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// A backend server announces its departure in its entry in the platform's store and in all its responses. The
// entry may be late or never arrive: while the store is down, the server could receive requests for seconds after
// its first announcement. Departures are therefore kept beside the entries, for the incarnation of the server that
// announced them, and are reported to all processes that may use the server. No entry revokes a departure, as an
// entry of a ready server may be outdated, or be written again when the store recovers. Only a later incarnation
// of the server ends it.

// maxDepartures bounds the number of departures. Departures of unlisted servers are kept too, as an old entry may
// reappear for some seconds after an outage of the store. A fleet replaces fewer servers in that time.
const maxDepartures = 1024

// departure is a server's announcement that it will leave.
type departure struct {
	// incarnation is the incarnation that announced it, or 0 if the platform does not report incarnations.
	incarnation member.Incarnation
	// received is when a response last announced it to this process, or zero if it was only reported by others.
	received time.Time
	// seq numbers the departures in the order in which they were received.
	seq uint64
}

// appliesTo reports whether the departure was announced by the given incarnation of the server or by a later one.
func (d *departure) appliesTo(incarnation member.Incarnation) bool {
	return incarnation <= d.incarnation || fleet.WasRunning(incarnation, d.received)
}

// departures are the departures that servers have announced.
type departures struct {
	byServer map[fleet.ServerID]departure
	// seq is the number of the newest departure.
	seq uint64
	// incarnations are the incarnations that agents have reported for servers whose entries contain an earlier
	// one.
	incarnations map[fleet.ServerID]member.Incarnation
}

func newDepartures() departures {
	return departures{byServer: make(map[fleet.ServerID]departure), incarnations: make(map[fleet.ServerID]member.Incarnation)}
}

// isLeaving reports whether a listed server has announced its departure.
func (d *departures) isLeaving(server *fleet.Server) bool {
	known, ok := d.byServer[server.ID]
	return ok && known.appliesTo(max(server.Incarnation, d.incarnations[server.ID]))
}

// record adds a departure and reports whether it is new. receivedAt is the time of the response that announced it,
// or zero if another process reported it.
func (d *departures) record(reported fleet.Departure, receivedAt time.Time, isListed func(id fleet.ServerID) bool) bool {
	known, ok := d.byServer[reported.Server]
	if ok && receivedAt.After(known.received) {
		known.received = receivedAt
		d.byServer[reported.Server] = known
	}
	if ok && reported.Incarnation <= known.incarnation || reported.Incarnation < d.incarnations[reported.Server] {
		return false
	}
	d.seq++
	d.byServer[reported.Server] = departure{reported.Incarnation, receivedAt, d.seq}
	if len(d.byServer) > maxDepartures {
		d.evict(isListed)
	}
	return true
}

// evict deletes the older half of the departures of unlisted servers.
func (d *departures) evict(isListed func(id fleet.ServerID) bool) {
	var unlisted []fleet.ServerID
	for id := range d.byServer {
		if !isListed(id) {
			unlisted = append(unlisted, id)
		}
	}
	slices.SortFunc(unlisted, d.compareSeq)
	for _, id := range unlisted[:len(unlisted)/2] {
		delete(d.byServer, id)
	}
}

// since returns the departures after a cursor, oldest first, and the cursor for the next call.
func (d *departures) since(cursor uint64) (recent []fleet.Departure, next uint64) {
	if cursor == d.seq {
		return nil, cursor
	}
	for id, known := range d.byServer {
		if known.seq > cursor {
			recent = append(recent, fleet.Departure{Server: id, Incarnation: known.incarnation})
		}
	}
	slices.SortFunc(recent, func(a, b fleet.Departure) int { return d.compareSeq(a.Server, b.Server) })
	return recent, d.seq
}

// compareSeq compares two servers by the order in which their departures were received.
func (d *departures) compareSeq(a, b fleet.ServerID) int {
	return cmp.Compare(d.byServer[a].seq, d.byServer[b].seq)
}

// MergeDepartures merges departures that another process reports, each for one incarnation of a server.
func (f *FleetState) MergeDepartures(reported []fleet.Departure, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordDepartures(reported, time.Time{}, from)
}

// ObserveDeparture records a departure that a server has just announced in a response. The incarnation is the
// latest one known when the request was sent.
func (f *FleetState) ObserveDeparture(server fleet.ServerID, incarnation member.Incarnation, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordDepartures([]fleet.Departure{{Server: server, Incarnation: incarnation}}, f.clock.Now(), from)
}

// recordDepartures records departures. receivedAt is the time of the response that announced them, or zero if
// another process reported them. The lock must be held.
func (f *FleetState) recordDepartures(reported []fleet.Departure, receivedAt time.Time, from string) {
	changed := false
	for _, d := range reported {
		f.noteServerChanged(d.Server)
		if !f.departures.record(d, receivedAt, f.isListed) {
			continue
		}
		changed = true
		f.log.Info().Str("server", string(d.Server)).Uint64("incarnation", uint64(d.Incarnation)).Bool("listed", f.isListed(d.Server)).
			Str("from", from).Msg("server has said that it leaves")
	}
	if changed {
		f.refreshServers()
	}
}

// isListed reports whether a server has an entry. The lock must be held.
func (f *FleetState) isListed(id fleet.ServerID) bool {
	_, listed := f.servers[id]
	return listed
}

// refreshServers updates the servers in the view. The lock must be held.
func (f *FleetState) refreshServers() {
	f.setView(f.withCurrentServers(f.View()))
}

// MergeAgentReport merges the report of an agent on the server at its address: the incarnation of the server and
// whether that incarnation is leaving. If the reported incarnation is later than the entry's, the departure of the
// earlier one ends at once, because the entry is not updated while the store is down. Reports without an incarnation
// are ignored: the departure could belong to the server that had the address before, and the next server would stay
// leaving forever.
func (f *FleetState) MergeAgentReport(address member.Address, incarnation member.Incarnation, leaving bool, from string) {
	if incarnation == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var reported []fleet.Departure
	restarted := false
	for id, server := range f.servers {
		if server.Address != address || incarnation < server.Incarnation {
			continue
		}
		if leaving {
			reported = append(reported, fleet.Departure{Server: id, Incarnation: incarnation})
		}
		if incarnation > max(server.Incarnation, f.departures.incarnations[id]) && server.Incarnation != 0 {
			f.departures.incarnations[id] = incarnation
			f.noteServerChanged(id)
			f.noteCold(id, incarnation, f.assumedColdTime(&server.Server, incarnation), from)
			restarted = true
			f.log.Info().Str("server", string(id)).Uint64("incarnation", uint64(incarnation)).Uint64("listed", uint64(server.Incarnation)).
				Str("from", from).Msg("server has started again, its entry tells of before")
		}
	}
	if restarted {
		f.refreshServers()
	}
	f.recordDepartures(reported, time.Time{}, from)
}

// DeparturesSince returns the departures after a cursor, oldest first, and the cursor for the next call.
func (f *FleetState) DeparturesSince(cursor uint64) (recent []fleet.Departure, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.departures.since(cursor)
}

// departureSeq returns the number of the newest departure.
func (f *FleetState) departureSeq() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.departures.seq
}

func departuresToWire(reported []fleet.Departure) []*wire.Departure {
	messages := make([]*wire.Departure, 0, len(reported))
	for _, d := range reported {
		messages = append(messages, &wire.Departure{Server: string(d.Server), Incarnation: uint64(d.Incarnation)})
	}
	return messages
}

func departuresFromWire(messages []*wire.Departure) []fleet.Departure {
	reported := make([]fleet.Departure, 0, len(messages))
	for _, d := range messages {
		reported = append(reported, fleet.Departure{Server: fleet.ServerID(d.Server), Incarnation: member.Incarnation(d.Incarnation)})
	}
	return reported
}

package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// A backend server that will end says so in its entry in the platform's store, and in all its answers.
// The entry may tell it late or never: while the store is silent it may go on to get requests for
// seconds after its first word. So the word is kept here, beside the entries, for the start of the
// server that gave it, and told to all processes that may use the server. No entry takes it back: one that
// says ready may be of before, or written again as the store returns. A later start of the server ends it.

// maxDepartures bounds the departures that are kept of servers that are not listed: an entry of before may
// come back for some seconds after the store has been away, and a fleet replaces fewer meanwhile.
const maxDepartures = 1024

// departure is a server's word that it will end.
type departure struct {
	// incarnation is the start of the server that gave it; 0 where the platform does not tell starts.
	incarnation member.Incarnation
	// received is when a request's answer last gave it here; zero if it was only told by others.
	received time.Time
	// seq orders the departures as they were heard of here.
	seq uint64
}

// appliesTo reports whether the word was given by a start of the server, or by a later one.
func (d *departure) appliesTo(start member.Incarnation) bool {
	return start <= d.incarnation || fleet.WasRunning(start, d.received)
}

// departures are the servers that have said in their answers that they will end.
type departures struct {
	byServer map[fleet.ServerID]departure
	// seq is that of the newest.
	seq uint64
	// incarnations are the starts that agents have told of servers whose entries tell of an earlier one.
	incarnations map[fleet.ServerID]member.Incarnation
}

func newDepartures() departures {
	return departures{byServer: make(map[fleet.ServerID]departure), incarnations: make(map[fleet.ServerID]member.Incarnation)}
}

// isLeaving reports whether a server, as it is listed, has said that it will end.
func (d *departures) isLeaving(server *fleet.Server) bool {
	left, ok := d.byServer[server.ID]
	return ok && left.appliesTo(max(server.Incarnation, d.incarnations[server.ID]))
}

// record notes the word of one start of a server, heard in an answer at a time or, if that is zero, from others, and
// reports whether it is news.
func (d *departures) record(told fleet.Departure, heard time.Time, isListed func(id fleet.ServerID) bool) bool {
	known, ok := d.byServer[told.Server]
	if ok && heard.After(known.received) {
		known.received = heard
		d.byServer[told.Server] = known
	}
	if ok && told.Incarnation <= known.incarnation || told.Incarnation < d.incarnations[told.Server] {
		return false
	}
	d.seq++
	d.byServer[told.Server] = departure{told.Incarnation, heard, d.seq}
	if len(d.byServer) > maxDepartures {
		d.evict(isListed)
	}
	return true
}

// evict drops the older half of the departures of servers that are not listed.
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

// since returns the departures that were heard of after a number of them, the oldest first.
func (d *departures) since(told uint64) (left []fleet.Departure, now uint64) {
	if told == d.seq {
		return nil, told
	}
	for id, known := range d.byServer {
		if known.seq > told {
			left = append(left, fleet.Departure{Server: id, Incarnation: known.incarnation})
		}
	}
	slices.SortFunc(left, func(a, b fleet.Departure) int { return d.compareSeq(a.Server, b.Server) })
	return left, d.seq
}

// compareSeq orders servers as their departures were heard of.
func (d *departures) compareSeq(a, b fleet.ServerID) int {
	return cmp.Compare(d.byServer[a].seq, d.byServer[b].seq)
}

// MergeDepartures takes which servers have said that they will end, each for one of its starts, as another process
// tells.
func (f *FleetState) MergeDepartures(told []fleet.Departure, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordDepartures(told, time.Time{}, from)
}

// ObserveDeparture takes a server's word that it will end from an answer that has just come. The start is the latest
// that was known when the request was sent.
func (f *FleetState) ObserveDeparture(server fleet.ServerID, start member.Incarnation, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordDepartures([]fleet.Departure{{Server: server, Incarnation: start}}, f.clock.Now(), from)
}

// recordDepartures takes departures, heard in an answer at a time or, if that is zero, from others. The lock must be held.
func (f *FleetState) recordDepartures(told []fleet.Departure, heard time.Time, from string) {
	learned := false
	for _, left := range told {
		if !f.departures.record(left, heard, f.isListed) {
			continue
		}
		learned = true
		f.log.Info().Str("server", string(left.Server)).Uint64("incarnation", uint64(left.Incarnation)).Bool("listed", f.isListed(left.Server)).
			Str("from", from).Msg("server has said that it leaves")
	}
	if learned {
		f.refreshServers()
	}
}

// isListed reports whether a server has an entry. The lock must be held.
func (f *FleetState) isListed(id fleet.ServerID) bool {
	_, listed := f.servers[id]
	return listed
}

// refreshServers publishes the servers as they are believed now. The lock must be held.
func (f *FleetState) refreshServers() {
	view := f.View()
	f.setView(view.WithServers(f.currentServers(view.Configuration)))
}

// MergeAgentReport takes what the agent beside the server at an address tells of it: which start of the server
// it hears, and whether that leaves. A start that is later than the entry's ends what was said by the one
// before at once; the entry may not follow for as long as the store is away. Where the platform does not
// tell starts nothing is taken: the word could be of the server that had the address before, and the next
// one would be lost for good.
func (f *FleetState) MergeAgentReport(address member.Address, started member.Incarnation, leaving bool, from string) {
	if started == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var left []fleet.Departure
	began := false
	for id, server := range f.servers {
		if server.Address != address || started < server.Incarnation {
			continue
		}
		if leaving {
			left = append(left, fleet.Departure{Server: id, Incarnation: started})
		}
		if started > max(server.Incarnation, f.departures.incarnations[id]) && server.Incarnation != 0 {
			f.departures.incarnations[id] = started
			began = true
			f.log.Info().Str("server", string(id)).Uint64("incarnation", uint64(started)).Uint64("listed", uint64(server.Incarnation)).
				Str("from", from).Msg("server has started again, its entry tells of before")
		}
	}
	if began {
		f.refreshServers()
	}
	f.recordDepartures(left, time.Time{}, from)
}

// DeparturesSince returns the departures that were heard of after a number of them, and how many there are
// now.
func (f *FleetState) DeparturesSince(told uint64) (left []fleet.Departure, now uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.departures.since(told)
}

// departureSeq goes up with each departure that is heard of.
func (f *FleetState) departureSeq() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.departures.seq
}

func departuresToWire(left []fleet.Departure) []*wire.Departure {
	told := make([]*wire.Departure, 0, len(left))
	for _, d := range left {
		told = append(told, &wire.Departure{Server: string(d.Server), Incarnation: uint64(d.Incarnation)})
	}
	return told
}

func departuresFromWire(told []*wire.Departure) []fleet.Departure {
	left := make([]fleet.Departure, 0, len(told))
	for _, d := range told {
		left = append(left, fleet.Departure{Server: fleet.ServerID(d.Server), Incarnation: member.Incarnation(d.Incarnation)})
	}
	return left
}

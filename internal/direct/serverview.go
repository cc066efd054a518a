package direct

import (
	"slices"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// maxChangedAddresses is the number of changed addresses up to which only their servers are updated in the view. The
// update of each moves the servers of its service, so many at once cost more than to list all anew.
const maxChangedAddresses = 64

// serverChanges are the addresses whose server in the view may differ from what is known by now.
type serverChanges struct {
	// all is set if the servers at all addresses may differ.
	all       bool
	addresses map[member.Address]bool
	// entries are the servers with an entry at each address, shown are the servers in the view by address.
	entries map[member.Address][]fleet.ServerID
	shown   map[member.Address]fleet.ServerRef
}

func newServerChanges() serverChanges {
	return serverChanges{
		all: true, addresses: make(map[member.Address]bool), entries: make(map[member.Address][]fleet.ServerID),
		shown: make(map[member.Address]fleet.ServerRef),
	}
}

// putServer sets the entry of a server. The lock must be held.
func (f *FleetState) putServer(id fleet.ServerID, entry *serverEntry) {
	f.deleteServer(id)
	f.servers[id] = *entry
	f.changes.entries[entry.Address] = append(f.changes.entries[entry.Address], id)
	f.changes.addresses[entry.Address] = true
}

// deleteServer removes the entry of a server, if there is one. The lock must be held.
func (f *FleetState) deleteServer(id fleet.ServerID) {
	entry, known := f.servers[id]
	if !known {
		return
	}
	delete(f.servers, id)
	rest := slices.DeleteFunc(f.changes.entries[entry.Address], func(other fleet.ServerID) bool { return other == id })
	if f.changes.entries[entry.Address] = rest; len(rest) == 0 {
		delete(f.changes.entries, entry.Address)
	}
	f.changes.addresses[entry.Address] = true
}

// noteServerChanged records that what is known of a server beside its entry has changed. The lock must be held.
func (f *FleetState) noteServerChanged(id fleet.ServerID) {
	if entry, known := f.servers[id]; known {
		f.changes.addresses[entry.Address] = true
	}
}

// noteAllServersChanged records that the servers at all addresses may differ from those in the view. The lock must be
// held.
func (f *FleetState) noteAllServersChanged() { f.changes.all = true }

// withCurrentServers returns a view with the current servers. Only the lists of services with a server that has changed
// are replaced. The lock must be held.
func (f *FleetState) withCurrentServers(view *fleet.View) *fleet.View {
	c := &f.changes
	defer func() {
		c.all = false
		clear(c.addresses)
	}()
	if c.all || len(c.addresses) > maxChangedAddresses {
		servers := f.currentServers(view.Configuration)
		clear(c.shown)
		for i := range servers {
			c.shown[servers[i].Address] = servers[i].Ref()
		}
		return view.WithServers(servers)
	}
	var removed []fleet.ServerRef
	var added []fleet.Server
	for address := range c.addresses {
		if shown, ok := c.shown[address]; ok {
			removed = append(removed, shown)
			delete(c.shown, address)
		}
		if server, ok := f.serverAt(address, view.Configuration); ok {
			added = append(added, server)
			c.shown[address] = server.Ref()
		}
	}
	return view.WithServerUpdates(removed, added)
}

// currentServers returns one server for each address, of the services in the configuration.
func (f *FleetState) currentServers(configuration *fleet.Configuration) []fleet.Server {
	servers := make([]fleet.Server, 0, len(f.changes.entries))
	for address := range f.changes.entries {
		if server, ok := f.serverAt(address, configuration); ok {
			servers = append(servers, server)
		}
	}
	return servers
}

// serverAt returns the server at an address; ok is false if there is none of a service in the configuration. A restarted
// server may have another id, and the entry of its previous incarnation stays for seconds. Of several entries with one
// address, the one with the latest incarnation is valid. If incarnations are equal or not reported, the newest entry is
// valid.
func (f *FleetState) serverAt(address member.Address, configuration *fleet.Configuration) (server fleet.Server, ok bool) {
	var newest serverEntry
	for _, id := range f.changes.entries[address] {
		entry := f.servers[id]
		if f.returned.isWithheld(id) || !f.isConfigured(configuration, id, entry.Service) {
			continue
		}
		if !ok || entry.supersedes(&newest) {
			newest, ok = entry, true
		}
	}
	if !ok {
		return fleet.Server{}, false
	}
	server = newest.Server
	server.Leaving = server.Leaving || f.departures.isLeaving(&server)
	server.Limit = f.rateLimits.limitOf(&server, f.departures.incarnations[server.ID])
	server.Evacuated = f.evacuated[server.Domain]
	f.applyCold(&server, configuration)
	return server, true
}

// serverShownAt returns the server at an address in the current view, and the view; ok is false if there is none.
func (f *FleetState) serverShownAt(address member.Address) (view *fleet.View, server *fleet.Server, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view = f.View()
	ref, ok := f.changes.shown[address]
	if !ok {
		return view, nil, false
	}
	server, ok = view.Server(ref)
	return view, server, ok
}

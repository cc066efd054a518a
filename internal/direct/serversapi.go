package direct

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// ServerList is the list of backend servers of one box in responses to operators.
type ServerList struct {
	Box string `json:"box"`
	// Newest and Complete are the watermarks of the box: the newest revision of the platform's store of which it
	// has any entry, and the revision up to which it has every change.
	Newest   fleet.Revision `json:"newest"`
	Complete fleet.Revision `json:"complete"`
	// Evacuated are the evacuated failure domains.
	Evacuated []member.FailureDomain `json:"evacuated"`
	Servers   []ListedServer         `json:"servers"`
}

// ListedServer is one backend server in a ServerList.
type ListedServer struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Address string `json:"address"`
	// FailureDomain is the failure domain of the server, Evacuated is set while it is evacuated.
	FailureDomain string `json:"failure_domain"`
	Evacuated     bool   `json:"evacuated"`
	// Leaving is set if the entry or a later announcement of the server says that it leaves.
	Leaving bool `json:"leaving"`
	// Withheld is set while the server is not used because the store lists it only since it came back from a copy.
	Withheld bool `json:"withheld,omitempty"`
	// Cold is set while the server is cold: it accepts only the cold rate of its service.
	Cold bool `json:"cold"`
	// Revision is the revision of the entry, and Incarnation the incarnation in it, 0 if the platform reports none.
	Revision    fleet.Revision     `json:"revision"`
	Incarnation member.Incarnation `json:"incarnation"`
	// From is the store or the process from which the box received the revision. Since is when the server was added
	// to the list.
	From  string    `json:"from"`
	Since time.Time `json:"since"`
}

// ServersPath is the path on the metrics address of a box at which it lists the backend servers that it knows.
const ServersPath = "/servers"

// serveServers registers the handler for ServersPath.
func (f *FleetState) serveServers(router *echo.Echo, box member.BoxID) {
	router.GET(ServersPath, func(c echo.Context) error { return c.JSON(http.StatusOK, f.serverList(box)) })
}

// serverList returns the servers that this box knows, in order of their ids.
func (f *FleetState) serverList(box member.BoxID) ServerList {
	f.mu.Lock()
	defer f.mu.Unlock()
	watermarks := f.watermarks()
	list := ServerList{
		Box: string(box), Newest: watermarks.Newest, Complete: watermarks.Complete, Evacuated: f.evacuatedDomains(),
		Servers: make([]ListedServer, 0, len(f.servers)),
	}
	for id := range f.servers {
		entry := f.servers[id]
		list.Servers = append(list.Servers, ListedServer{
			Server: string(id), Service: string(entry.Service), Address: string(entry.Address),
			FailureDomain: string(entry.Domain), Evacuated: f.evacuated[entry.Domain], Cold: f.isCold(&entry.Server),
			Withheld: f.returned.isWithheld(id),
			Leaving:  entry.Leaving || f.departures.isLeaving(&entry.Server),
			Revision: entry.revision, Incarnation: entry.Incarnation, From: entry.from, Since: entry.listedAt.UTC(),
		})
	}
	slices.SortFunc(list.Servers, func(a, b ListedServer) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// Outdated is a backend server in the list of one box that is missing from the list of another box, although that box
// has every change up to the revision of the entry.
type Outdated struct {
	Box    string       `json:"box"`
	Server ListedServer `json:"listed"`
	// Missing is the other box, and Complete the revision up to which it has every change.
	Missing  string         `json:"missing_at"`
	Complete fleet.Revision `json:"complete"`
}

// OutdatedServers compares the lists of several boxes. It returns each server that some box lists and a box with a
// later list does not, once for each box that lists it.
func OutdatedServers(lists []ServerList) []Outdated {
	outdated := []Outdated{}
	for i := range lists {
		for _, server := range lists[i].Servers {
			for j := range lists {
				other := &lists[j]
				listed := slices.ContainsFunc(other.Servers, func(s ListedServer) bool { return s.Server == server.Server })
				if !listed && other.Complete >= server.Revision && other.Complete >= lists[i].Complete {
					outdated = append(outdated, Outdated{Box: lists[i].Box, Server: server, Missing: other.Box, Complete: other.Complete})
					break
				}
			}
		}
	}
	return outdated
}

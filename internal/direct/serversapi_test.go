package direct

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

func TestServerListNamesRevisionAndOrigin(t *testing.T) {
	fleetState := newDeparturesState()
	applySnapshot(fleetState, 6, listed("a", 3), listed("b", 5))
	fleetState.Apply([]fleet.Fact{listed("b", 7)}, "entry-2")
	fleetState.MergeDepartures([]fleet.Departure{{Server: "a"}}, "request 1")
	router, response := newRouter(), httptest.NewRecorder()
	fleetState.serveServers(router, "self")
	router.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, ServersPath, http.NoBody))
	var list ServerList
	require.NoError(t, json.Unmarshal(response.Body.Bytes(), &list))
	require.Len(t, list.Servers, 2)
	since := list.Servers[0].Since
	require.Equal(t, ServerList{Box: "self", Newest: 7, Complete: 6, Servers: []ListedServer{
		{Server: "a", Service: "llm", Address: "a", Leaving: true, Revision: 3, From: "store", Since: since},
		{Server: "b", Service: "llm", Address: "b", Revision: 7, From: "entry-2", Since: since},
	}}, list)
}

func TestOutdatedServersAreFoundByComparison(t *testing.T) {
	list := func(box string, complete fleet.Revision, servers ...ListedServer) ServerList {
		return ServerList{Box: box, Newest: complete, Complete: complete, Servers: servers}
	}
	a, b := ListedServer{Server: "a", Revision: 3}, ListedServer{Server: "b", Revision: 8}
	for name, test := range map[string]struct {
		lists []ServerList
		want  []Outdated
	}{
		"equal lists":                        {[]ServerList{list("1", 9, a, b), list("2", 9, a, b)}, []Outdated{}},
		"the other box does not know it yet": {[]ServerList{list("1", 9, a, b), list("2", 7, a)}, []Outdated{}},
		"this box does not know its end yet": {[]ServerList{list("1", 7, a), list("2", 9, b)}, []Outdated{{"1", a, "2", 9}}},
		"both know everything, and differ":   {[]ServerList{list("1", 9, a, b), list("2", 9, b), list("3", 9, b)}, []Outdated{{"1", a, "2", 9}}},
		"two boxes list it": {
			[]ServerList{list("1", 9, a), list("2", 9, a), list("3", 9)}, []Outdated{{"1", a, "3", 9}, {"2", a, "3", 9}},
		},
		"a single box has nothing to compare": {[]ServerList{list("1", 9, a, b)}, []Outdated{}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.want, OutdatedServers(test.lists)) })
	}
}

package direct

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// validConfiguration routes /look/ to maps, for callers with the key k.
const validConfiguration = `{"Version":4,"Routes":` + lookRoute + `,"Services":[{"Name":"maps","MaxConnections":9}],
	"Limits":{"MaxBodyBytes":70},"Tenants":[{"Name":"kumiai","ApiKeys":["k"]}]}`

// newStateWithConfigurations returns the state of a box that has read the given configurations in order.
func newStateWithConfigurations(t *testing.T, configurations ...string) *FleetState {
	t.Helper()
	fleetState, _ := newTestFleetState()
	for i, configuration := range configurations {
		applyFromStore(fleetState, factsFromStore(t, configuration, fleet.Revision(3+i)).Facts)
	}
	return fleetState
}

// Guards against keeping the whole previous configuration, with routes that were removed, when the organisations
// are not a list. Only the known organisations are kept, and all other parts are updated.
func TestInvalidOrganisationsKeepPrevious(t *testing.T) {
	fleetState := newStateWithConfigurations(t, validConfiguration, `{"Version":5,"Tenants":{"Name":"kumiai","ApiKeys":["new"]},
		"Routes":[{"Name":"find","Host":"a.example","PathPrefix":"/find/","Type":"safe","Service":"maps"}]}`)
	require.EqualValues(t, 5, fleetState.View().Configuration.Version)
	require.Equal(t, admitted, admitStatus(t, fleetState, "/find/1", "Bearer k"))
	require.Equal(t, http.StatusNotFound, admitStatus(t, fleetState, "/look/1", "Bearer k"))
	require.Equal(t, http.StatusUnauthorized, admitStatus(t, fleetState, "/find/1", ""), "a key is required")
	require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/find/1", "Bearer new"), "the key may be valid")

	applyFromStore(fleetState, factsFromStore(t, `{"Version":6,"Routes":`+lookRoute+`,"Tenants":[{"Name":"kumiai","ApiKeys":["new"]}]}`, 9).Facts)
	require.Equal(t, admitted, admitStatus(t, fleetState, "/look/1", "Bearer new"))
	require.Equal(t, http.StatusUnauthorized, admitStatus(t, fleetState, "/look/1", "Bearer k"), "readable organisations replace the kept ones")
}

// Organisations that cannot be read must not count as an empty list, which requires no key.
func TestInvalidOrganisationsAdmitNobody(t *testing.T) {
	unreadable := `{"Version":5,"Tenants":{"Name":"kumiai"},"Routes":[
		{"Name":"look","Host":"a.example","PathPrefix":"/look/","Type":"safe","Service":"maps"},
		{"Name":"open","Host":"a.example","PathPrefix":"/open/","Type":"safe","Service":"maps","Public":true}]}`
	for name, fleetState := range map[string]*FleetState{
		"no previous configuration":                    newStateWithConfigurations(t, unreadable),
		"previous configuration without organisations": newStateWithConfigurations(t, `{"Version":4,"Routes":`+lookRoute+`}`, unreadable),
	} {
		require.Equal(t, http.StatusUnauthorized, admitStatus(t, fleetState, "/look/1", ""), name)
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/look/1", "Bearer k"), name)
		require.Equal(t, admitted, admitStatus(t, fleetState, "/open/1", ""), name)
	}
}

// Guards against keeping removed keys valid when the routes are not a list.
func TestInvalidRoutesKeepPrevious(t *testing.T) {
	unreadable := `{"Version":5,"Routes":"none","Tenants":[{"Name":"kumiai","ApiKeys":["new"]}]}`
	fleetState := newStateWithConfigurations(t, validConfiguration, unreadable)
	require.Equal(t, admitted, admitStatus(t, fleetState, "/look/1", "Bearer new"))
	require.Equal(t, http.StatusUnauthorized, admitStatus(t, fleetState, "/look/1", "Bearer k"))
	require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, newStateWithConfigurations(t, unreadable), "/look/1", "Bearer new"),
		"a box without known routes responds as unavailable")
}

// Services and limits that cannot be read keep their previous values, and limits may be read in part.
func TestInvalidServicesAndLimitsKeepPrevious(t *testing.T) {
	view := newStateWithConfigurations(t, validConfiguration, `{"Version":5,"Services":{},"Limits":{"MaxBodyBytes":"much","MaxHeaderBytes":8}}`).View()
	require.EqualValues(t, 5, view.Configuration.Version)
	require.Equal(t, 9, view.Service("maps").MaxConnections)
	require.Equal(t, fleet.Limits{BodyBytes: 70, HeaderBytes: 8}, view.Configuration.Limits)
}

// Guards against a route with an invalid host or path prefix that matches every path of its host.
func TestRouteWithInvalidMatchIsDropped(t *testing.T) {
	for _, match := range []string{
		`"Host":"a.example","PathPrefix":7`, `"Host":["a.example"],"PathPrefix":"/"`, `"Host":"a.example"`, `"Host":"a.example","PathPrefix":""`,
		`"Host":"a.example","PathPrefix":null`, `"PathPrefix":"/"`, `"Host":"","PathPrefix":"/"`, `"Host":null,"PathPrefix":"/"`,
	} {
		fleetState := newStateWithConfigurations(t, `{"Version":4,"Routes":[{"Name":"open",`+match+`,"Type":"safe","Service":"maps","Public":true},
			{"Name":"look","Host":"a.example","PathPrefix":"/look/","Type":"safe","Service":"maps","Public":true}]}`)
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/find/1", ""), match)
		require.Equal(t, admitted, admitStatus(t, fleetState, "/look/1", ""), "other routes still apply")
		require.Len(t, fleetState.View().Configuration.Routes, 1, match)
	}
}

// Guards against serving a path without a key because the route that requires one is invalid and a shorter prefix
// of the same host is public.
func TestInvalidRouteIsNotServedByShorterPrefix(t *testing.T) {
	routes := func(version int, admin string) string {
		return fmt.Sprintf(`{"Version":%d,"Tenants":[{"Name":"kumiai","ApiKeys":["k"]}],"Routes":[
			{"Name":"admin","Host":"a.example","PathPrefix":%s,"Type":"unsafe","Service":"maps"},
			{"Name":"open","Host":"a.example","PathPrefix":"/","Type":"safe","Service":"maps","Public":true}]}`, version, admin)
	}
	fleetState := newStateWithConfigurations(t, routes(4, `"/admin/"`), routes(5, "7"))
	require.Equal(t, http.StatusUnauthorized, admitStatus(t, fleetState, "/admin/1", ""))
	require.Equal(t, admitted, admitStatus(t, fleetState, "/admin/1", "Bearer k"))
	require.Equal(t, admitted, admitStatus(t, fleetState, "/find/1", ""))
}

// A configuration without a version, or a truncated one, does not show how old it is or how much is missing. The
// previous one is kept, and the error is logged.
func TestConfigurationWithoutValidVersionIsIgnored(t *testing.T) {
	for _, configuration := range []string{
		`{"Version":"5","Routes":[]}`, `{"Version":5.5}`, `{"Version":-5}`, `{"Version":{}}`, `{"Routes":[]}`,
		validConfiguration[:60], `{"Version":5,"Tenants":[`, `{"Version":5}}`, `[]`, `5`, ``,
	} {
		valid, invalid := factsFromStore(t, validConfiguration, 3), factsFromStore(t, configuration, 4)
		synctest.Test(t, func(t *testing.T) {
			var log bytes.Buffer
			clock := clockwork.NewFakeClock()
			fleetState := NewFleetState(clock, zerolog.New(&log).Level(zerolog.ErrorLevel), NewMetrics())
			replayStore(t, clock, fleetState, returnsFacts(3, valid.Facts...), func() (provider.FactBatch, error) { return invalid, nil })
			require.EqualValues(t, 4, fleetState.View().Configuration.Version, configuration)
			require.Equal(t, admitted, admitStatus(t, fleetState, "/look/1", "Bearer k"), configuration)
			require.Equal(t, 1, bytes.Count(log.Bytes(), []byte(`entry of the store not taken whole`)), "%q: %s", configuration, log.String())
		})
	}
}

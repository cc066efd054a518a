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

// validConfiguration leads /look/ to maps, for who has the key k.
const validConfiguration = `{"Version":4,"Routes":` + lookRoute + `,"Services":[{"Name":"maps","MaxConnections":9}],
	"Limits":{"MaxBodyBytes":70},"Tenants":[{"Name":"kumiai","ApiKeys":["k"]}]}`

// newStateWithConfigurations returns what a box believes that has read configurations one after the other.
func newStateWithConfigurations(t *testing.T, configurations ...string) *FleetState {
	t.Helper()
	facts, _ := newTestFleetState()
	for i, configuration := range configurations {
		facts.Apply(factsFromStore(t, configuration, fleet.Revision(3+i)).Facts, "store")
	}
	return facts
}

// Organisations that were not a list kept the whole older configuration in force, with the routes
// that were gone. What is known of organisations stays, and all else is as it was written.
func TestInvalidOrganisationsKeepPrevious(t *testing.T) {
	facts := newStateWithConfigurations(t, validConfiguration, `{"Version":5,"Tenants":{"Name":"kumiai","ApiKeys":["new"]},
		"Routes":[{"Name":"find","Host":"a.example","PathPrefix":"/find/","Type":"safe","Service":"maps"}]}`)
	require.EqualValues(t, 5, facts.View().Configuration.Version)
	require.Equal(t, admitted, admitStatus(t, facts, "/find/1", "Bearer k"))
	require.Equal(t, http.StatusNotFound, admitStatus(t, facts, "/look/1", "Bearer k"))
	require.Equal(t, http.StatusUnauthorized, admitStatus(t, facts, "/find/1", ""), "keys are asked for")
	require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, facts, "/find/1", "Bearer new"), "it may be a good key")

	facts.Apply(factsFromStore(t, `{"Version":6,"Routes":`+lookRoute+`,"Tenants":[{"Name":"kumiai","ApiKeys":["new"]}]}`, 9).Facts, "store")
	require.Equal(t, admitted, admitStatus(t, facts, "/look/1", "Bearer new"))
	require.Equal(t, http.StatusUnauthorized, admitStatus(t, facts, "/look/1", "Bearer k"), "once they can be read they count alone")
}

// Organisations that nobody could read must not look like none, with which no key is asked for.
func TestInvalidOrganisationsAdmitNobody(t *testing.T) {
	unread := `{"Version":5,"Tenants":{"Name":"kumiai"},"Routes":[
		{"Name":"look","Host":"a.example","PathPrefix":"/look/","Type":"safe","Service":"maps"},
		{"Name":"open","Host":"a.example","PathPrefix":"/open/","Type":"safe","Service":"maps","Public":true}]}`
	for name, facts := range map[string]*FleetState{
		"a box that has just started":                 newStateWithConfigurations(t, unread),
		"after a configuration without organisations": newStateWithConfigurations(t, `{"Version":4,"Routes":`+lookRoute+`}`, unread),
	} {
		require.Equal(t, http.StatusUnauthorized, admitStatus(t, facts, "/look/1", ""), name)
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, facts, "/look/1", "Bearer k"), name)
		require.Equal(t, admitted, admitStatus(t, facts, "/open/1", ""), name)
	}
}

// Routes that were not a list kept keys in force that had been taken away.
func TestInvalidRoutesKeepPrevious(t *testing.T) {
	unread := `{"Version":5,"Routes":"none","Tenants":[{"Name":"kumiai","ApiKeys":["new"]}]}`
	facts := newStateWithConfigurations(t, validConfiguration, unread)
	require.Equal(t, admitted, admitStatus(t, facts, "/look/1", "Bearer new"))
	require.Equal(t, http.StatusUnauthorized, admitStatus(t, facts, "/look/1", "Bearer k"))
	require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, newStateWithConfigurations(t, unread), "/look/1", "Bearer new"),
		"a box that knows no routes does not deny them")
}

// The same of services and limits, of which a part may be read.
func TestInvalidServicesAndLimitsKeepPrevious(t *testing.T) {
	view := newStateWithConfigurations(t, validConfiguration, `{"Version":5,"Services":{},"Limits":{"MaxBodyBytes":"much","MaxHeaderBytes":8}}`).View()
	require.EqualValues(t, 5, view.Configuration.Version)
	require.Equal(t, 9, view.Service("maps").MaxConnections)
	require.Equal(t, fleet.Limits{BodyBytes: 70, HeaderBytes: 8}, view.Configuration.Limits)
}

// A route whose place could not be read began every path of its host.
func TestRouteWithInvalidMatchIsDropped(t *testing.T) {
	for _, place := range []string{`"Host":"a.example","PathPrefix":7`, `"Host":["a.example"],"PathPrefix":"/"`} {
		facts := newStateWithConfigurations(t, `{"Version":4,"Routes":[{"Name":"open",`+place+`,"Type":"safe","Service":"maps","Public":true},
			{"Name":"look","Host":"a.example","PathPrefix":"/look/","Type":"safe","Service":"maps","Public":true}]}`)
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, facts, "/find/1", ""), place)
		require.Equal(t, admitted, admitStatus(t, facts, "/look/1", ""), "the others hold")
		require.Len(t, facts.View().Configuration.Routes, 1, place)
	}
}

// Where such a route asked for a key, a shorter prefix of its host answered that asks for none.
func TestInvalidRouteIsNotServedByShorterPrefix(t *testing.T) {
	routes := func(version int, admin string) string {
		return fmt.Sprintf(`{"Version":%d,"Tenants":[{"Name":"kumiai","ApiKeys":["k"]}],"Routes":[
			{"Name":"admin","Host":"a.example","PathPrefix":%s,"Type":"unsafe","Service":"maps"},
			{"Name":"open","Host":"a.example","PathPrefix":"/","Type":"safe","Service":"maps","Public":true}]}`, version, admin)
	}
	facts := newStateWithConfigurations(t, routes(4, `"/admin/"`), routes(5, "7"))
	require.Equal(t, http.StatusUnauthorized, admitStatus(t, facts, "/admin/1", ""))
	require.Equal(t, admitted, admitStatus(t, facts, "/admin/1", "Bearer k"))
	require.Equal(t, admitted, admitStatus(t, facts, "/find/1", ""))
}

// Without a version, or cut short, nothing says how old a configuration is or how much is missing:
// the one before stays, and a line says so.
func TestConfigurationWithoutValidVersionIsIgnored(t *testing.T) {
	for _, configuration := range []string{
		`{"Version":"5","Routes":[]}`, `{"Version":5.5}`, `{"Version":-5}`, `{"Version":{}}`, `{"Routes":[]}`,
		validConfiguration[:60], `{"Version":5,"Tenants":[`, `{"Version":5}}`, `[]`, `5`, ``,
	} {
		before, told := factsFromStore(t, validConfiguration, 3), factsFromStore(t, configuration, 4)
		synctest.Test(t, func(t *testing.T) {
			var log bytes.Buffer
			clock := clockwork.NewFakeClock()
			facts := NewFleetState(clock, zerolog.New(&log).Level(zerolog.ErrorLevel), NewMetrics())
			replayStore(t, clock, facts, returnsFacts(3, before.Facts...), func() (provider.FactBatch, error) { return told, nil })
			require.EqualValues(t, 4, facts.View().Configuration.Version, configuration)
			require.Equal(t, admitted, admitStatus(t, facts, "/look/1", "Bearer k"), configuration)
			require.Equal(t, 1, bytes.Count(log.Bytes(), []byte(`entry of the store not taken whole`)), "%q: %s", configuration, log.String())
		})
	}
}

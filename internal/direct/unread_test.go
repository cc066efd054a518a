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

// soundConfiguration leads /look/ to maps, for who has the key k.
const soundConfiguration = `{"Version":4,"Routes":` + lookRoute + `,"Services":[{"Name":"maps","MaxConnections":9}],
	"Limits":{"MaxBodyBytes":70},"Tenants":[{"Name":"kumiai","ApiKeys":["k"]}]}`

// believing returns what a box believes that has read configurations one after the other.
func believing(t *testing.T, configurations ...string) *Facts {
	t.Helper()
	facts, _ := newTestFacts()
	for i, configuration := range configurations {
		facts.Apply(readFrom(t, configuration, fleet.Revision(3+i)).Facts, "store")
	}
	return facts
}

// Organisations that were not a list kept the whole older configuration in force, with the routes
// that were gone. What is known of organisations stays, and all else is as it was written.
func TestOrganisationsThatCannotBeReadStayAsTheyWere(t *testing.T) {
	facts := believing(t, soundConfiguration, `{"Version":5,"Tenants":{"Name":"kumiai","ApiKeys":["new"]},
		"Routes":[{"Name":"find","Host":"a.example","PathPrefix":"/find/","Type":"safe","Service":"maps"}]}`)
	require.EqualValues(t, 5, facts.View().Configuration.Version)
	require.Equal(t, admitted, statusOf(t, facts, "/find/1", "Bearer k"))
	require.Equal(t, http.StatusNotFound, statusOf(t, facts, "/look/1", "Bearer k"))
	require.Equal(t, http.StatusUnauthorized, statusOf(t, facts, "/find/1", ""), "keys are asked for")
	require.Equal(t, http.StatusServiceUnavailable, statusOf(t, facts, "/find/1", "Bearer new"), "it may be a good key")

	facts.Apply(readFrom(t, `{"Version":6,"Routes":`+lookRoute+`,"Tenants":[{"Name":"kumiai","ApiKeys":["new"]}]}`, 9).Facts, "store")
	require.Equal(t, admitted, statusOf(t, facts, "/look/1", "Bearer new"))
	require.Equal(t, http.StatusUnauthorized, statusOf(t, facts, "/look/1", "Bearer k"), "once they can be read they count alone")
}

// Organisations that nobody could read must not look like none, with which no key is asked for.
func TestOrganisationsThatCannotBeReadLetNobodyIn(t *testing.T) {
	unread := `{"Version":5,"Tenants":{"Name":"kumiai"},"Routes":[
		{"Name":"look","Host":"a.example","PathPrefix":"/look/","Type":"safe","Service":"maps"},
		{"Name":"open","Host":"a.example","PathPrefix":"/open/","Type":"safe","Service":"maps","Public":true}]}`
	for name, facts := range map[string]*Facts{
		"a box that has just started":                 believing(t, unread),
		"after a configuration without organisations": believing(t, `{"Version":4,"Routes":`+lookRoute+`}`, unread),
	} {
		require.Equal(t, http.StatusUnauthorized, statusOf(t, facts, "/look/1", ""), name)
		require.Equal(t, http.StatusServiceUnavailable, statusOf(t, facts, "/look/1", "Bearer k"), name)
		require.Equal(t, admitted, statusOf(t, facts, "/open/1", ""), name)
	}
}

// Routes that were not a list kept keys in force that had been taken away.
func TestRoutesThatCannotBeReadStayAsTheyWere(t *testing.T) {
	unread := `{"Version":5,"Routes":"none","Tenants":[{"Name":"kumiai","ApiKeys":["new"]}]}`
	facts := believing(t, soundConfiguration, unread)
	require.Equal(t, admitted, statusOf(t, facts, "/look/1", "Bearer new"))
	require.Equal(t, http.StatusUnauthorized, statusOf(t, facts, "/look/1", "Bearer k"))
	require.Equal(t, http.StatusServiceUnavailable, statusOf(t, believing(t, unread), "/look/1", "Bearer new"),
		"a box that knows no routes does not deny them")
}

// The same of services and limits, of which a part may be read.
func TestServicesAndLimitsThatCannotBeReadStayAsTheyWere(t *testing.T) {
	view := believing(t, soundConfiguration, `{"Version":5,"Services":{},"Limits":{"MaxBodyBytes":"much","MaxHeaderBytes":8}}`).View()
	require.EqualValues(t, 5, view.Configuration.Version)
	require.Equal(t, 9, view.Service("maps").MaxConnections)
	require.Equal(t, fleet.Limits{BodyBytes: 70, HeaderBytes: 8}, view.Configuration.Limits)
}

// A route whose place could not be read began every path of its host.
func TestARouteWhosePlaceCannotBeReadLeadsNowhere(t *testing.T) {
	for _, place := range []string{`"Host":"a.example","PathPrefix":7`, `"Host":["a.example"],"PathPrefix":"/"`} {
		facts := believing(t, `{"Version":4,"Routes":[{"Name":"open",`+place+`,"Type":"safe","Service":"maps","Public":true},
			{"Name":"look","Host":"a.example","PathPrefix":"/look/","Type":"safe","Service":"maps","Public":true}]}`)
		require.Equal(t, http.StatusServiceUnavailable, statusOf(t, facts, "/find/1", ""), place)
		require.Equal(t, admitted, statusOf(t, facts, "/look/1", ""), "the others hold")
		require.Len(t, facts.View().Configuration.Routes, 1, place)
	}
}

// Where such a route asked for a key, a shorter prefix of its host answered that asks for none.
func TestARouteThatCannotBeReadIsNotAnsweredByAShorterOne(t *testing.T) {
	routes := func(version int, admin string) string {
		return fmt.Sprintf(`{"Version":%d,"Tenants":[{"Name":"kumiai","ApiKeys":["k"]}],"Routes":[
			{"Name":"admin","Host":"a.example","PathPrefix":%s,"Type":"unsafe","Service":"maps"},
			{"Name":"open","Host":"a.example","PathPrefix":"/","Type":"safe","Service":"maps","Public":true}]}`, version, admin)
	}
	facts := believing(t, routes(4, `"/admin/"`), routes(5, "7"))
	require.Equal(t, http.StatusUnauthorized, statusOf(t, facts, "/admin/1", ""))
	require.Equal(t, admitted, statusOf(t, facts, "/admin/1", "Bearer k"))
	require.Equal(t, admitted, statusOf(t, facts, "/find/1", ""))
}

// Without a version, or cut short, nothing says how old a configuration is or how much is missing:
// the one before stays, and a line says so.
func TestAConfigurationOfWhichTheVersionIsNotKnownIsNotTaken(t *testing.T) {
	for _, configuration := range []string{
		`{"Version":"5","Routes":[]}`, `{"Version":5.5}`, `{"Version":-5}`, `{"Version":{}}`, `{"Routes":[]}`,
		soundConfiguration[:60], `{"Version":5,"Tenants":[`, `{"Version":5}}`, `[]`, `5`, ``,
	} {
		before, told := readFrom(t, soundConfiguration, 3), readFrom(t, configuration, 4)
		synctest.Test(t, func(t *testing.T) {
			var log bytes.Buffer
			clock := clockwork.NewFakeClock()
			facts := NewFacts(clock, zerolog.New(&log).Level(zerolog.ErrorLevel), NewMetrics())
			play(t, clock, facts, gives(3, before.Facts...), func() (provider.FactBatch, error) { return told, nil })
			require.EqualValues(t, 4, facts.View().Configuration.Version, configuration)
			require.Equal(t, admitted, statusOf(t, facts, "/look/1", "Bearer k"), configuration)
			require.Equal(t, 1, bytes.Count(log.Bytes(), []byte(`entry of the store not taken whole`)), "%q: %s", configuration, log.String())
		})
	}
}

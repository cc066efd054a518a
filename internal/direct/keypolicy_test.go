package direct

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// tenantsCase is a value of Tenants and which requests without a known key it admits.
type tenantsCase struct {
	name string
	// field is the field with its value, empty if it is absent.
	field string
	// opens is set if requests without a known key are admitted.
	opens bool
}

// tenantsCases are absent, null, empty and unreadable lists of organisations and keys.
var tenantsCases = []tenantsCase{
	{name: "absent", opens: true},
	{name: "null", field: `"Tenants":null`},
	{name: "empty", field: `"Tenants":[]`},
	{name: "object", field: `"Tenants":{}`},
	{name: "text", field: `"Tenants":"none"`},
	{name: "list of null", field: `"Tenants":[null]`},
	{name: "organisation without fields", field: `"Tenants":[{}]`},
	{name: "without keys", field: `"Tenants":[{"Name":"kumiai"}]`},
	{name: "keys null", field: `"Tenants":[{"Name":"kumiai","ApiKeys":null}]`},
	{name: "keys empty", field: `"Tenants":[{"Name":"kumiai","ApiKeys":[]}]`},
	{name: "empty key", field: `"Tenants":[{"Name":"kumiai","ApiKeys":[""]}]`},
	{name: "keys unreadable", field: `"Tenants":[{"Name":"kumiai","ApiKeys":"k"}]`},
	{name: "in other letters", field: `"tenants":[]`},
}

func (c *tenantsCase) configuration(version string) string {
	document := `{"Version":` + version + `,"Routes":` + strings.ReplaceAll(lookRoute, "]", `,{"Name":"open","Host":"a.example","PathPrefix":"/open/","Type":"safe","Service":"maps","Public":true}]`)
	if c.field != "" {
		document += "," + c.field
	}
	return document + "}"
}

// handOver returns facts as another process receives them.
func handOver(t *testing.T, facts []fleet.Fact) []fleet.Fact {
	t.Helper()
	received := make([]fleet.Fact, len(facts))
	var parser fleet.Parser
	for i := range facts {
		item, err := facts[i].Item()
		require.NoError(t, err)
		received[i], err = parser.Parse(item)
		require.NoError(t, err)
		whole, err := fleet.ParseFact(item)
		require.NoError(t, err)
		require.Equal(t, whole.Configuration, received[i].Configuration, "a parser with earlier elements decodes the same")
	}
	return received
}

// Guards against a configuration whose list of organisations has become empty opening every route to every key.
func TestRoutesOpenOnlyWithoutAListOfOrganisations(t *testing.T) {
	before := map[string]string{
		"a box that starts":                       "",
		"after a configuration with keys":         validConfiguration,
		"after a configuration without the list":  (&tenantsCase{}).configuration("4"),
		"after a configuration with an empty one": (&tenantsCase{field: `"Tenants":[]`}).configuration("4"),
	}
	for _, test := range tenantsCases {
		for state, earlier := range before {
			for _, from := range []string{"store", "peer"} {
				t.Run(test.name+"/"+state+"/"+from, func(t *testing.T) {
					fleetState, _ := newTestFleetState()
					apply := func(document string, revision fleet.Revision) {
						facts := factsFromStore(t, document, revision).Facts
						if from == "peer" {
							facts = handOver(t, facts)
						}
						fleetState.Apply(facts, from)
						fleetState.confirmConfiguration(fleetState.clock.Now())
					}
					if earlier != "" {
						apply(earlier, 3)
					}
					apply(test.configuration("5"), 4)
					require.Equal(t, admitted, admitStatus(t, fleetState, "/open/1", ""))
					require.Equal(t, test.opens, fleetState.View().KeyCount() < 0, "operators see whether keys are needed")
					for _, authorization := range []string{"", "Bearer", "Bearer never", "never"} {
						status := admitStatus(t, fleetState, "/look/1", authorization)
						require.Equal(t, test.opens, status == admitted, "%q: %d", authorization, status)
					}
				})
			}
		}
	}
}

// Guards against denying proper requests, or admitting others, by a configuration of a process that states no policy.
func TestConfigurationWithoutKeyPolicyDecidesNothing(t *testing.T) {
	for name, organisations := range map[string][]fleet.Organisation{"without organisations": nil, "with one": {{Name: "kumiai", Keys: []fleet.APIKey{"k"}}}} {
		fleetState, _ := newTestFleetState()
		applyFromStore(fleetState, handOver(t, []fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 3, Configuration: &fleet.Configuration{
			Version: 4, Organisations: organisations, Routes: []fleet.Route{{Name: "look", Host: "a.example", PathPrefix: "/look/", Backends: []fleet.Backend{{Service: "maps", Weight: 1}}}},
		}}}))
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/look/1", "Bearer never"), name)
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/look/1", ""), name)
		want := http.StatusServiceUnavailable
		if organisations != nil {
			want = admitted
		}
		require.Equal(t, want, admitStatus(t, fleetState, "/look/1", "Bearer k"), name)
	}
}

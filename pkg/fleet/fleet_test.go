package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Guards against sending a complete configuration, with 1,400 routes in this test, to every agent on each change.
// ServicesOnly must reduce it to a size that does not depend on the number of routes.
func TestServicesOnlySizeIsIndependentOfRouteCount(t *testing.T) {
	configuration := &Configuration{Version: 9, Services: []Service{{Name: "llm", Engine: &Engine{Layers: 4}}, {Name: "maps"}}}
	route := func(service member.Service, kind RouteKind, resumable bool) {
		configuration.Routes = append(configuration.Routes, Route{
			Name: fmt.Sprint(len(configuration.Routes)), Kind: kind, Resumable: resumable, Backends: []Backend{{Service: service, Weight: 1}},
		})
	}
	for range 700 {
		route("llm", KindStream, true)
		route("maps", KindOnce, false)
	}
	full, err := (&Fact{Key: ConfigurationKey(), Revision: 7, Configuration: configuration}).Item()
	require.NoError(t, err)
	reduced, err := ServicesOnly(full)
	require.NoError(t, err)
	require.Equal(t, full.Version, reduced.Version)
	require.Less(t, len(reduced.Value), len(full.Value)/100)
	fact, err := ParseFact(reduced)
	require.NoError(t, err)
	view := EmptyView().WithConfiguration(fact.Configuration, fact.Revision)
	require.True(t, view.Resumable("llm"))
	require.False(t, view.Resumable("maps"))
	require.NotNil(t, view.Service("llm").Engine)

	route("llm", KindOnce, false)
	require.False(t, EmptyView().WithConfiguration(configuration.ServicesOnly(), 8).Resumable("llm"), "a service with one route that is not resumable is not resumable")
}

// Guards against callers without an API key, who present the empty key, being identified as an organisation whose list
// of keys contains an empty one.
func TestEmptyKeyMatchesNoOrganisation(t *testing.T) {
	view := EmptyView().WithConfiguration(&Configuration{Organisations: []Organisation{{Name: "kumiai", Keys: []APIKey{"", "k"}}}}, 3)
	_, known := view.Organisation("")
	require.False(t, known)
	organisation, known := view.Organisation("k")
	require.True(t, known)
	require.EqualValues(t, "kumiai", organisation.Name)
}

// An agent that receives a configuration with unreadable services must keep the services that it knows.
func TestServicesOnlyKeepsUnreadableParts(t *testing.T) {
	before := &Configuration{Version: 4, Services: []Service{{Name: "llm", MaxConnections: 9}}}
	unreadable := &Configuration{Version: 5, Unreadable: UnreadableParts{Services: true}}
	full, err := (&Fact{Key: ConfigurationKey(), Revision: 7, Configuration: unreadable}).Item()
	require.NoError(t, err)
	reduced, err := ServicesOnly(full)
	require.NoError(t, err)
	received, err := ParseFact(reduced)
	require.NoError(t, err)
	filled := received.Configuration.WithFallback(before)
	require.EqualValues(t, 5, filled.Version)
	require.Equal(t, before.Services, filled.Services)
	require.Empty(t, received.Configuration.Services, "WithFallback must not modify the received configuration")
}

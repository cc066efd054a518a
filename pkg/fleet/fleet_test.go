package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// A configuration of 1,400 routes went whole to every agent at every change.
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
	whole, err := (&Fact{Key: ConfigurationKey(), Revision: 7, Configuration: configuration}).Item()
	require.NoError(t, err)
	reduced, err := ServicesOnly(whole)
	require.NoError(t, err)
	require.Equal(t, whole.Version, reduced.Version)
	require.Less(t, len(reduced.Value), len(whole.Value)/100)
	fact, err := ParseFact(reduced)
	require.NoError(t, err)
	view := EmptyView().WithConfiguration(fact.Configuration, fact.Revision)
	require.True(t, view.Resumable("llm"))
	require.False(t, view.Resumable("maps"))
	require.NotNil(t, view.Service("llm").Engine)

	route("llm", KindOnce, false)
	require.False(t, EmptyView().WithConfiguration(configuration.ServicesOnly(), 8).Resumable("llm"), "one route that can't go on counts")
}

// A caller without a key has the empty one, and passed as the organisation that held it.
func TestEmptyKeyMatchesNoOrganisation(t *testing.T) {
	view := EmptyView().WithConfiguration(&Configuration{Organisations: []Organisation{{Name: "kumiai", Keys: []APIKey{"", "k"}}}}, 3)
	_, known := view.Organisation("")
	require.False(t, known)
	organisation, known := view.Organisation("k")
	require.True(t, known)
	require.EqualValues(t, "kumiai", organisation.Name)
}

// An agent that is told services which could not be read keeps those that it knows.
func TestServicesOnlyKeepsUnreadableParts(t *testing.T) {
	before := &Configuration{Version: 4, Services: []Service{{Name: "llm", MaxConnections: 9}}}
	unread := &Configuration{Version: 5, Unreadable: UnreadableParts{Services: true}}
	whole, err := (&Fact{Key: ConfigurationKey(), Revision: 7, Configuration: unread}).Item()
	require.NoError(t, err)
	reduced, err := ServicesOnly(whole)
	require.NoError(t, err)
	told, err := ParseFact(reduced)
	require.NoError(t, err)
	filled := told.Configuration.WithFallback(before)
	require.EqualValues(t, 5, filled.Version)
	require.Equal(t, before.Services, filled.Services)
	require.Empty(t, told.Configuration.Services, "what was told is left as it is")
}

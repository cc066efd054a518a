package direct

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// Guards against more control traffic in deployments with one priority, and against a priority that a newer box sends and
// that this one does not know.
func TestDemandClassesAreSentOnlyForSeveralPriorities(t *testing.T) {
	plain := route.Demands{"maps": {Arrivals: 3, InTime: 2, Late: 1, AwaitingFirstByte: 4}}
	encoded := demandsToWire(plain)
	require.Empty(t, encoded[0].Classes)
	require.Equal(t, plain, demandsFromWire(encoded))

	demand := plain["maps"]
	demand.Classes[0], demand.Classes[route.DemandClass(9, true)] = route.ClassDemand{Arrivals: 1, InTime: 2}, route.ClassDemand{Arrivals: 2, Late: 1}
	encoded = demandsToWire(route.Demands{"maps": demand})
	encoded[0].Classes = append(encoded[0].Classes, &wire.ClassDemand{Priority: 10, InTime: 1})
	message, err := proto.Marshal(encoded[0])
	require.NoError(t, err)
	received := &wire.ServiceDemand{}
	require.NoError(t, proto.Unmarshal(message, received))
	require.Equal(t, route.Demands{"maps": demand}, demandsFromWire([]*wire.ServiceDemand{received}))
}

func TestServiceHasSeveralPrioritiesIfRoutesOrOrganisationsDiffer(t *testing.T) {
	urgent, other := 0, 2
	routes := func(priorities ...int) (all []fleet.Route) {
		for _, priority := range priorities {
			all = append(all, fleet.Route{Priority: priority, Backends: []fleet.Backend{{Service: "maps", Weight: 1}}})
		}
		return all
	}
	elsewhere := fleet.Route{Priority: 5, Backends: []fleet.Backend{{Service: "other", Weight: 1}}}
	for _, c := range []struct {
		configuration fleet.Configuration
		want          bool
	}{
		{fleet.Configuration{Routes: append(routes(2, 2), elsewhere)}, false},
		{fleet.Configuration{Routes: routes(2, 1)}, true},
		{fleet.Configuration{Routes: routes(2), Organisations: []fleet.Organisation{{Priority: &other}, {}}}, false},
		{fleet.Configuration{Routes: routes(2), Organisations: []fleet.Organisation{{Priority: &urgent}}}, true},
		{fleet.Configuration{Routes: []fleet.Route{elsewhere}, Organisations: []fleet.Organisation{{Priority: &urgent}}}, false},
	} {
		require.Equal(t, c.want, hasSeveralPriorities(fleet.EmptyView().WithConfiguration(&c.configuration, 1), "maps"))
	}
}

package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/member"
)

func TestResidencyIsUnrestrictedByDefault(t *testing.T) {
	require.True(t, Residency{}.Allows("riga"))
	require.False(t, ResidencyIn().Allows("riga"), "no region is allowed")
	require.True(t, ResidencyIn("riga").Allows("riga"))
	require.False(t, ResidencyIn("riga").Allows("kurzeme"))
}

// A request of an organisation is bound by both its residency and that of the route.
func TestCombinedResidencyAllowsWhatBothAllow(t *testing.T) {
	regions := []member.Region{"a", "b", "c"}
	residency := rapid.Custom(func(t *rapid.T) Residency {
		if rapid.Bool().Draw(t, "restricted") {
			return ResidencyIn(rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID[member.Region]).Draw(t, "regions")...)
		}
		return Residency{}
	})
	rapid.Check(t, func(t *rapid.T) {
		first, second := residency.Draw(t, "first"), residency.Draw(t, "second")
		for _, region := range regions {
			require.Equal(t, first.Allows(region) && second.Allows(region), first.And(second).Allows(region))
		}
	})
}

// A route with a shorter prefix must not decide where the requests of another one may be served.
func TestResidencyIsThatOfRouteAndOrganisation(t *testing.T) {
	view := EmptyView().WithConfiguration(&Configuration{
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/"},
			{Name: "local", Host: "a.example", PathPrefix: "/local/", Residency: ResidencyIn("riga", "kurzeme")},
		},
		Organisations: []Organisation{{Name: "kumiai", Keys: []APIKey{"k"}, Residency: ResidencyIn("kurzeme", "latgale")}},
	}, 1)
	organisation, _ := view.Organisation("k")
	local, _ := view.Route("a.example", "/local/1")
	require.Equal(t, ResidencyIn("kurzeme"), RequestResidency(local, organisation))
	require.Equal(t, ResidencyIn("riga", "kurzeme"), RequestResidency(local, nil))
	all, _ := view.Route("a.example", "/1")
	require.Equal(t, ResidencyIn("kurzeme", "latgale"), RequestResidency(all, organisation))
	require.Equal(t, Residency{}, RequestResidency(all, nil))
	require.Equal(t, ResidencyIn("riga", "kurzeme"), view.HostResidency("A.example"), "callers find their box by host only")
	require.Equal(t, Residency{}, view.HostResidency("b.example"))
}

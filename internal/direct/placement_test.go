package direct

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Guards against a box that has no configuration yet directing callers to regions in which their requests may not be served.
func TestCallersAreDirectedToOtherRegionsOnlyByAConfiguration(t *testing.T) {
	configured := func(residency fleet.Residency) *fleet.View {
		return fleet.EmptyView().WithConfiguration(&fleet.Configuration{Version: 1, Routes: []fleet.Route{{Host: "a.example", PathPrefix: "/", Residency: residency}}}, 1)
	}
	for name, test := range map[string]struct {
		view  *fleet.View
		wants map[member.Region]bool
	}{
		"no configuration":  {fleet.EmptyView(), map[member.Region]bool{"kita": true, "minami": false, "higashi": false}},
		"no restriction":    {configured(fleet.Residency{}), map[member.Region]bool{"kita": true, "minami": true, "higashi": true}},
		"one region":        {configured(fleet.ResidencyIn("minami")), map[member.Region]bool{"kita": true, "minami": true, "higashi": false}},
		"no region allowed": {configured(fleet.ResidencyIn()), map[member.Region]bool{"kita": true, "minami": false, "higashi": false}},
	} {
		isAllowed := directoryRegions(test.view, "a.example", "kita")
		for region, want := range test.wants {
			require.Equal(t, want, isAllowed(region), "%s: %s", name, region)
		}
	}
}

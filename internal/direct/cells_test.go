package direct

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Guards against a cell that rejects all requests for a service because the operators have evacuated the servers that the
// plan gives it, while servers of other cells are free.
func TestCellWhoseServersAreEvacuatedUsesThoseOfOtherCells(t *testing.T) {
	plan := &cellPlan{cellCount: 2, cellByServer: map[member.Address]int{
		"own-1": 0, "own-2": 0, "other-1": 1, "other-2": 1, "other-3": 1, "other-4": 1,
	}}
	servers := func(ownEvacuated, secondLeaving bool) []fleet.Server {
		return []fleet.Server{
			{ID: "own-1", Address: "own-1", Evacuated: ownEvacuated},
			{ID: "own-2", Address: "own-2", Evacuated: ownEvacuated && !secondLeaving, Leaving: secondLeaving},
			{ID: "other-1", Address: "other-1"},
			{ID: "other-2", Address: "other-2", Evacuated: true},
			{ID: "other-3", Address: "other-3", Cold: true},
			{ID: "other-4", Address: "other-4", Limit: fleet.RateLimit{Set: true, PerSecond: 5}},
		}
	}
	cases := []struct {
		name                        string
		ownEvacuated, secondLeaving bool
		want                        []fleet.ServerID
	}{
		{"in service", false, false, []fleet.ServerID{"own-1", "own-2"}},
		{"one leaving", false, true, []fleet.ServerID{"own-1", "own-2"}},
		{"evacuated", true, false, []fleet.ServerID{"own-1", "own-2", "other-1"}},
		{"evacuated and leaving", true, true, []fleet.ServerID{"own-1", "own-2", "other-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ids []fleet.ServerID
			for _, server := range plan.ownServers(servers(c.ownEvacuated, c.secondLeaving)) {
				ids = append(ids, server.ID)
			}
			require.Equal(t, c.want, ids)
		})
	}
}

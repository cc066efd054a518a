package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// The planner compares a new decision with one that was read back; a value that
// changed on the way would be published anew for ever.
func TestDecodedPlanEqualsOriginal(t *testing.T) {
	row := RowPlan{Share: 1.0 / 3, Serving: "v2", Target: "v2", Previous: "v1", RetainUntil: time.Unix(1, 5).UTC(), Replicas: 2, Live: 1}
	raw, err := state.Encode(row)
	require.NoError(t, err)
	var back RowPlan
	require.NoError(t, state.Decode(raw, &back))
	require.True(t, row == back, "%+v", back)

	box := Assignment{Versions: []PinnedVersion{{Model: "m", Version: "v1", Manifest: weights.Sum([]byte("x"))}}}
	raw, err = state.Encode(box)
	require.NoError(t, err)
	var boxBack Assignment
	require.NoError(t, state.Decode(raw, &boxBack))
	require.Equal(t, box, boxBack)
}

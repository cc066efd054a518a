package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// The planner compares a new plan with the one that it decoded from the store. A value that changes when it is encoded
// and decoded would be written again on every run.
func TestDecodedPlanEqualsOriginal(t *testing.T) {
	row := RowPlan{Share: 1.0 / 3, Serving: "v2", Target: "v2", Previous: "v1", RetainUntil: time.Unix(1, 5).UTC(), Replicas: 2, Live: 1}
	raw, err := state.Encode(row)
	require.NoError(t, err)
	var decoded RowPlan
	require.NoError(t, state.Decode(raw, &decoded))
	require.True(t, row == decoded, "%+v", decoded)

	box := Assignment{Versions: []PinnedVersion{{Model: "m", Version: "v1", Manifest: weights.Sum([]byte("x"))}}}
	raw, err = state.Encode(box)
	require.NoError(t, err)
	var decodedBox Assignment
	require.NoError(t, state.Decode(raw, &decodedBox))
	require.Equal(t, box, decodedBox)
}

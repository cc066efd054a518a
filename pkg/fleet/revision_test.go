package fleet_test

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

func TestRevisionsAreOrderedByEraAndNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (era, number uint64) {
			return rapid.Uint64Range(1, 1<<16).Draw(t, name+" era"), rapid.Uint64Range(0, 1<<48-1).Draw(t, name+" number")
		}
		era, number := draw("first")
		otherEra, otherNumber := draw("second")
		first, second := fleet.NewRevision(era, number), fleet.NewRevision(otherEra, otherNumber)
		require.Equal(t, []uint64{era, number}, []uint64{first.Era(), first.Number()})
		require.Equal(t, era < otherEra || era == otherEra && number < otherNumber, first < second)
		raw, err := json.Marshal(first)
		require.NoError(t, err)
		var decoded fleet.Revision
		require.NoError(t, json.Unmarshal(raw, &decoded))
		require.Equal(t, first, decoded)
	})
}

func TestRevisionOfTheFirstEraIsItsNumber(t *testing.T) {
	require.Equal(t, fleet.Revision(31), fleet.NewRevision(0, 31))
	require.Equal(t, fleet.Revision(31), fleet.NewRevision(1, 31))
	require.Equal(t, "31", fleet.Revision(31).String())
	require.Equal(t, "2:31", fleet.NewRevision(2, 31).String())
	require.Equal(t, fleet.Revision(math.MaxUint64), fleet.NewRevision(math.MaxUint64, math.MaxUint64))
	var decoded fleet.Revision
	require.NoError(t, json.Unmarshal([]byte("31"), &decoded))
	require.Equal(t, fleet.Revision(31), decoded)
	require.Error(t, json.Unmarshal([]byte(`"2:x"`), &decoded))
	require.Error(t, json.Unmarshal([]byte(`"x:2"`), &decoded))
}

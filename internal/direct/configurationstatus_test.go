package direct

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against denying a proper request, which its caller does not repeat, by a configuration that nothing has
// confirmed for longer than a change may take.
func TestUnconfirmedConfigurationDeniesNothing(t *testing.T) {
	valid := factsFromStore(t, validConfiguration, 3)
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		replayStore(t, clock, fleetState, returnsFacts(3, valid.Facts...))
		require.Equal(t, http.StatusNotFound, admitStatus(t, fleetState, "/find/1", "Bearer k"), "just confirmed")
		require.Equal(t, http.StatusUnauthorized, admitStatus(t, fleetState, "/look/1", "Bearer wrong"), "just confirmed")
		clock.Advance(5 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/find/1", "Bearer k"), "the route may exist by now")
		require.Equal(t, http.StatusServiceUnavailable, admitStatus(t, fleetState, "/look/1", "Bearer wrong"), "the key may exist by now")
		require.Equal(t, admitted, admitStatus(t, fleetState, "/look/1", "Bearer k"), "the held configuration allows it")
	})
}

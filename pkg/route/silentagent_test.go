package route

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against withholding requests from a sound server for as long as only the agent beside it is paused.
func TestServerThatRespondsAfterItsAgentFellSilentGetsRequests(t *testing.T) {
	for name, respond := range map[string]func(r *Reservation, now time.Time){
		"first byte":        (*Reservation).Started,
		"complete response": func(r *Reservation, now time.Time) { r.Release(ResultDone, now) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestDispatcher(true, modelServer("a", 4, 1))
			b.UpdateServer("a", ServerState{Version: 1}, b.clock.Now())
			inFlight := b.acquire(t)
			b.UpdateServer("a", ServerState{Silent: true}, b.clock.Now())
			_, err := b.Acquire(context.Background(), b.request(), b.clock)
			require.ErrorIs(t, err, ErrNoServer)
			b.clock.Advance(100 * time.Millisecond)
			respond(inFlight, b.clock.Now())
			b.acquire(t)
		})
	}
}

// Guards against sending requests to a silent server for another reason than a response, and to one with older weights,
// which only a recent report of its agent allows.
func TestSilentServerWithoutResponseOrWithOlderWeightsGetsNoRequests(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultRefused, ResultUnreachable, ResultReplaced, ResultAbandoned, ResultServerExited, ResultDone} {
		b := newTestDispatcher(true, modelServer("a", 4, 1))
		b.UpdateServer("a", ServerState{Version: 1}, b.clock.Now())
		inFlight := b.acquire(t)
		b.UpdateServer("a", ServerState{Silent: true}, b.clock.Now())
		if result == ResultDone {
			b.RequireVersions(VersionRequirements{Required: 1, Preferred: 1, Newest: 2}, b.clock.Now())
		}
		inFlight.Release(result, b.clock.Now())
		b.clock.Advance(time.Minute)
		_, err := b.Acquire(context.Background(), b.request(), b.clock)
		require.ErrorIs(t, err, ErrNoServer, result)
	}
}

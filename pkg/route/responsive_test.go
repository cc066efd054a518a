package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a fleet that rejects requests although its servers start them promptly: near the cutoff of a version a box
// used only servers that had responded to itself within the last second, which in a large fleet are few.
func TestServerThatItsAgentReportsAsPromptStartsRequestsUntilCutoff(t *testing.T) {
	cases := []struct {
		name  string
		state ServerState
		age   time.Duration
		want  bool
	}{
		{"prompt", ServerState{Version: 1, Running: 3, Slowdown: 1}, 0, true},
		{"pace not reported", ServerState{Version: 1}, 0, true},
		{"queue", ServerState{Version: 1, Waiting: 1}, 0, false},
		{"slow", ServerState{Version: 1, Slowdown: 2.5}, 0, false},
		{"old report", ServerState{Version: 1}, time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestDispatcher(true, modelServer("a", 4, 1))
			b.UpdateServer("a", c.state, b.clock.Now())
			b.clock.Advance(c.age)
			b.RequireVersions(VersionRequirements{Preferred: 2, Newest: 2}, b.clock.Now())
			reservation, _, err := b.Submit(b.request(), nil, b.clock.Now())
			if !c.want {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.NotNil(t, reservation)
			b.clock.Advance(responsiveTTFB)
			_, _, err = b.Submit(b.request(), nil, b.clock.Now())
			require.Error(t, err, "a server that does not respond in time is not prompt, whatever its agent reports")
		})
	}
}

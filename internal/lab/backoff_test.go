package lab

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Three of ten servers reject all requests for three times the backoff that they request.
const (
	rejectingShare   = 0.3
	requestedBackoff = 3 * time.Second
	backoffPeriods   = 3
)

func rejectingFault(retryAfter time.Duration) []Fault {
	return []Fault{{Kind: FaultServersRejecting, At: 5 * time.Second, Share: rejectingShare, Duration: backoffPeriods * requestedBackoff, RetryAfter: retryAfter}}
}

// Guards against requests being sent to servers that reject them and have requested a backoff of three seconds. Such
// servers received most requests during the fault: they had nothing in flight, so every box considered them the least
// loaded. With 41 boxes and 76 servers, 0.68 of the responses were in time during the fault without a requested backoff
// and 0.96 with it; with 9 boxes and 13 servers, 0.73 and 0.98.
func TestEveryBoxObservesRequestedBackoff(t *testing.T) {
	for name, deployment := range map[string]*Deployment{"9 boxes, 13 servers": smallDeployment(0.4), "41 boxes, 76 servers": mediumDeployment(0.4)} {
		t.Run(name, func(t *testing.T) {
			deployment.Duration = 20 * time.Second
			without, with := Run(deployment, rejectingFault(0), 1), Run(deployment, rejectingFault(requestedBackoff), 1)
			during := func(r *Result) float64 {
				count := r.Between(5*time.Second, 14*time.Second)
				return count.Share(OutcomeInTime)
			}
			t.Logf("without and with requested backoff: %d and %d rejected attempts, share in time during the fault %.3f and %.3f, score %.3f and %.3f",
				without.RejectedAttempts, with.RejectedAttempts, during(without), during(with), without.Score(), with.Score())
			require.Zero(t, with.DuringBackoff, "each box receives the requested backoff within a few milliseconds")
			boxes, servers := 0, 0
			for _, region := range deployment.Regions {
				boxes, servers = boxes+region.Boxes, servers+region.Servers
			}
			affected := int(math.Ceil(rejectingShare * float64(servers)))
			require.LessOrEqual(t, with.RejectedAttempts, affected*boxes*backoffPeriods, "each box sends each rejecting server at most one request per backoff")
			require.Greater(t, during(with), during(without))
			after := with.Between(16*time.Second, 20*time.Second)
			require.Greater(t, after.Share(OutcomeInTime), 0.95, "the servers receive requests again after the fault")
		})
	}
}

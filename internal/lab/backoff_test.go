package lab

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Three of ten servers turn all requests away for three times the rest that they ask for.
const (
	rejectingShare   = 0.3
	requestedBackoff = 3 * time.Second
	backoffPeriods   = 3
)

func rejectingFault(rest time.Duration) []Fault {
	return []Fault{{Kind: FaultServersRejecting, At: 5 * time.Second, Share: rejectingShare, Duration: backoffPeriods * requestedBackoff, RetryAfter: rest}}
}

// Servers that turned requests away and asked for three seconds of rest got most of what was asked meanwhile: with
// nothing in flight they looked the emptiest to every box. In the model of 41 boxes and 76 servers 0.68 of the requests
// were in time meanwhile where the servers gave no time, and 0.96 where they did; of nine and 13, 0.73 and 0.98.
func TestEveryBoxObservesRequestedBackoff(t *testing.T) {
	for name, deployment := range map[string]*Deployment{"9 boxes, 13 servers": smallDeployment(0.4), "41 boxes, 76 servers": mediumDeployment(0.4)} {
		t.Run(name, func(t *testing.T) {
			deployment.Duration = 20 * time.Second
			silent, told := Run(deployment, rejectingFault(0), 1), Run(deployment, rejectingFault(requestedBackoff), 1)
			during := func(r *Result) float64 {
				count := r.Between(5*time.Second, 14*time.Second)
				return count.Share(OutcomeInTime)
			}
			t.Logf("turned away %d without a time and %d with it, in time meanwhile %.3f and %.3f, worth %.3f and %.3f",
				silent.RejectedAttempts, told.RejectedAttempts, during(silent), during(told), silent.Score(), told.Score())
			require.Zero(t, told.DuringBackoff, "each box heard it within a few milliseconds")
			boxes, servers := 0, 0
			for _, region := range deployment.Regions {
				boxes, servers = boxes+region.Boxes, servers+region.Servers
			}
			struck := int(math.Ceil(rejectingShare * float64(servers)))
			require.LessOrEqual(t, told.RejectedAttempts, struck*boxes*backoffPeriods, "each box asks each of them once for each rest")
			require.Greater(t, during(told), during(silent))
			after := told.Between(16*time.Second, 20*time.Second)
			require.Greater(t, after.Share(OutcomeInTime), 0.95, "they are used again")
		})
	}
}

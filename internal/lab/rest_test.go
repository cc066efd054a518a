package lab

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Three of ten servers turn all requests away for three times the rest that they ask for.
const (
	restShare = 0.3
	restTime  = 3 * time.Second
	rests     = 3
)

func restFault(rest time.Duration) []Fault {
	return []Fault{{Kind: FaultServersRest, At: 5 * time.Second, Share: restShare, Down: rests * restTime, Rest: rest}}
}

// Servers that turned requests away and asked for three seconds of rest got most of what was asked meanwhile: with
// nothing in flight they looked the emptiest to every box. In the model of 41 boxes and 76 servers 0.68 of the requests
// were in time meanwhile where the servers gave no time, and 0.96 where they did; of nine and 13, 0.73 and 0.98.
func TestServersThatAskForRestGetItFromEveryBox(t *testing.T) {
	for name, deployment := range map[string]*Deployment{"9 boxes, 13 servers": drafting(0.4), "41 boxes, 76 servers": fields(0.4)} {
		t.Run(name, func(t *testing.T) {
			deployment.Length = 20 * time.Second
			silent, told := Run(deployment, restFault(0), 1), Run(deployment, restFault(restTime), 1)
			during := func(r *Result) float64 {
				count := r.Between(5*time.Second, 14*time.Second)
				return count.Part(OutcomeInTime)
			}
			t.Logf("turned away %d without a time and %d with it, in time meanwhile %.3f and %.3f, worth %.3f and %.3f",
				silent.TurnedAway, told.TurnedAway, during(silent), during(told), silent.Worth(), told.Worth())
			require.Zero(t, told.WithinRest, "each box heard it within a few milliseconds")
			boxes, servers := 0, 0
			for _, region := range deployment.Regions {
				boxes, servers = boxes+region.Boxes, servers+region.Servers
			}
			struck := int(math.Ceil(restShare * float64(servers)))
			require.LessOrEqual(t, told.TurnedAway, struck*boxes*rests, "each box asks each of them once for each rest")
			require.Greater(t, during(told), during(silent))
			after := told.Between(16*time.Second, 20*time.Second)
			require.Greater(t, after.Part(OutcomeInTime), 0.95, "they are used again")
		})
	}
}

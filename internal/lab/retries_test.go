package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// withRetryLimits returns the deployment with a limit on the retries.
func withRetryLimits(deployment *Deployment, extra float64) *Deployment {
	deployment.Retries = route.RetryLimits{Ratio: 0.2, Extra: extra, Window: 10 * time.Second}
	return deployment
}

// Guards against unused retries while servers fail for long, and against more of them than allowed.
func TestLastingFailuresUseRetriesOfAllBoxes(t *testing.T) {
	for _, test := range []struct {
		name       string
		deployment *Deployment
	}{
		{"9 boxes", withRetryLimits(smallDeployment(0.5), 106)},
		{"41 boxes", withRetryLimits(mediumDeployment(0.5), 228)},
		{"149 boxes", withRetryLimits(largeDeployment(0.5), 654)},
		{"149 boxes, little traffic", withRetryLimits(largeDeployment(0.3), 654)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			test.deployment.Duration = 36 * time.Second
			faults := []Fault{{Kind: FaultServersFailing, At: 14 * time.Second, Share: 1, Factor: 0.8, Duration: 30 * time.Second}}
			worst, mean := Run(test.deployment, faults, 1).RetryUse(15*time.Second, 25*time.Second)
			t.Logf("worst %.2f, mean %.2f", worst, mean)
			require.LessOrEqual(t, worst, 1.0)
			require.GreaterOrEqual(t, mean, 0.8)
		})
	}
}

// Guards against more retries than allowed when servers fail or crash, boxes are killed or partitioned, and the traffic bursts.
func TestRetryBoundHoldsDuringFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := withRetryLimits(drawDeployment(t, 0.1, 0.4), rapid.Float64Range(20, 150).Draw(t, "extra"))
		deployment.Duration = 36 * time.Second
		drawFault := func(kinds ...FaultKind) Fault {
			return Fault{
				Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), At: time.Duration(rapid.IntRange(11, 30).Draw(t, "at")) * time.Second,
				Share: rapid.Float64Range(0.2, 1).Draw(t, "share"), Factor: rapid.Float64Range(0.3, 1).Draw(t, "factor"),
				Duration: time.Duration(rapid.IntRange(300, 12000).Draw(t, "ms")) * time.Millisecond,
			}
		}
		faults := []Fault{
			drawFault(FaultServersFailing), drawFault(FaultServersFailing), drawFault(FaultServersDown, FaultServersRejecting, FaultSwap),
			drawFault(FaultBoxesDown, FaultBoxesPartitioned), drawFault(FaultBoxesDown, FaultBoxesPartitioned),
		}
		result := Run(deployment, faults, rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		if worst, _ := result.RetryUse(0, 0); worst > 1 {
			t.Fatalf("%.2f of the allowed retries in a window", worst)
		}
	})
}

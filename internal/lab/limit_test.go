package lab

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// limitFault returns a fault that makes a share of the servers advertise a rate limit.
func limitFault(share, perSecond float64) Fault {
	return Fault{Kind: FaultServersLimited, At: 3 * time.Second, Share: share, Duration: 11 * time.Second, Limit: perSecond}
}

// Guards against each entry box using a server's full rate limit on its own, and against unused rate limits under load.
func TestBoxesShareAndUseRateLimits(t *testing.T) {
	for _, test := range []struct {
		name       string
		deployment *Deployment
		limits     []float64
	}{
		{"9 boxes, 13 servers, 7 requests a second each", smallDeployment(0.5), []float64{1, 1.9, 5}},
		{"41 boxes, 76 servers, 6 requests a second each", mediumDeployment(0.9), []float64{1, 1.9, 3}},
		{"149 boxes, 204 servers, 4 requests a second each", largeDeployment(0.9), []float64{1, 1.9}},
	} {
		for _, perSecond := range test.limits {
			t.Run(fmt.Sprintf("%s, limit %v", test.name, perSecond), func(t *testing.T) {
				t.Parallel()
				deployment := *test.deployment
				deployment.Duration = 15 * time.Second
				result := Run(&deployment, []Fault{limitFault(0.15, perSecond)}, 1)
				all := result.Between(3*time.Second, 14*time.Second)
				t.Logf("excess %v, lowest utilization %.2f, share in time %.3f", result.LimitExcess, result.minLimitUtilization(), all.Share(OutcomeInTime))
				require.Zero(t, result.LimitExcess)
				require.Greater(t, result.minLimitUtilization(), 0.8)
			})
		}
	}
}

// drawDeployment returns a deployment with a random number of boxes and a random load level in a range.
func drawDeployment(t *rapid.T, minLevel, maxLevel float64) *Deployment {
	deployment := smallDeployment(rapid.Float64Range(minLevel, maxLevel).Draw(t, "level"))
	boxes := rapid.IntRange(1, 8).Draw(t, "boxes")
	for i := range deployment.Regions {
		deployment.Regions[i].Boxes = boxes
	}
	return deployment
}

// Guards against exceeding rate limits when boxes fail, or when reports between them are delayed or lost.
func TestRateLimitsHoldDuringFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := drawDeployment(t, 0.2, 1)
		deployment.ReportInterval = time.Duration(rapid.IntRange(20, 100).Draw(t, "report_ms")) * time.Millisecond
		deployment.Duration = 15 * time.Second
		faults := []Fault{
			limitFault(rapid.Float64Range(0.1, 1).Draw(t, "share"), rapid.SampledFrom([]float64{0.05, 0.4, 1, 1.9, 5, 20}).Draw(t, "limit")),
			{
				Kind: rapid.SampledFrom([]FaultKind{FaultBoxesDown, FaultBoxesPartitioned, FaultServersDown, FaultSwap, FaultBurst}).Draw(t, "kind"),
				At:   6 * time.Second, Share: rapid.Float64Range(0.1, 0.9).Draw(t, "fault_share"), Factor: 2,
				Duration: time.Duration(rapid.IntRange(300, 4000).Draw(t, "down_ms")) * time.Millisecond,
			},
		}
		result := Run(deployment, faults, rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		if result.LimitExcess > 0 {
			t.Fatalf("rate limit exceeded by %v requests", result.LimitExcess)
		}
	})
}

package lab

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// coldFault returns a fault that makes a share of the servers cold.
func coldFault(share, rate float64) Fault {
	return Fault{Kind: FaultServersCold, At: 3 * time.Second, Share: share, Duration: 8 * time.Second, Limit: rate}
}

// Guards against each entry box using the rate of a cold server on its own, and against unused rates while all servers
// are cold and the load exceeds their rates.
func TestBoxesShareAndUseColdRates(t *testing.T) {
	for _, test := range []struct {
		name       string
		deployment *Deployment
		rate       float64
	}{
		{"9 boxes, 13 servers", smallDeployment(0.8), 4},
		{"41 boxes, 76 servers", mediumDeployment(0.9), 3},
		{"149 boxes, 204 servers", largeDeployment(0.9), 2},
	} {
		for _, share := range []float64{0.3, 1} {
			t.Run(fmt.Sprintf("%s, share %v", test.name, share), func(t *testing.T) {
				t.Parallel()
				deployment := *test.deployment
				deployment.Duration = 12 * time.Second
				result := Run(&deployment, []Fault{coldFault(share, test.rate)}, 1)
				slices.Sort(result.ColdUtilization)
				t.Logf("excess %v, lowest utilization %.2f, median %.2f", result.ColdExcess, result.ColdUtilization[0], result.ColdUtilization[len(result.ColdUtilization)/2])
				require.Zero(t, result.ColdExcess)
				if share == 1 {
					require.Greater(t, result.ColdUtilization[0], 0.8)
				}
			})
		}
	}
}

// Guards against exceeding the allowance of cold servers when boxes fail or start, when the traffic bursts, or when
// reports between boxes are delayed. Partitions have a test of their own.
func TestColdAllowanceHoldsDuringFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := drawDeployment(t, 0.2, 1.2)
		deployment.Duration = 12 * time.Second
		deployment.ReportInterval = time.Duration(rapid.IntRange(20, 100).Draw(t, "report_ms")) * time.Millisecond
		faults := []Fault{
			coldFault(rapid.Float64Range(0.1, 1).Draw(t, "share"), rapid.SampledFrom([]float64{0.5, 2, 5, 10, 23}).Draw(t, "rate")),
			{
				Kind: rapid.SampledFrom([]FaultKind{FaultBoxesDown, FaultServersDown, FaultSwap, FaultBurst}).Draw(t, "kind"),
				At:   6 * time.Second, Share: rapid.Float64Range(0.1, 0.9).Draw(t, "fault_share"), Factor: 2,
				Duration: time.Duration(rapid.IntRange(300, 4000).Draw(t, "down_ms")) * time.Millisecond,
			},
		}
		result := Run(deployment, faults, rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		if result.ColdExcess > 0 {
			t.Fatalf("allowance exceeded by %v requests", result.ColdExcess)
		}
	})
}

// Boxes that are partitioned from each other must not use the allowance once each.
func TestColdAllowanceHoldsDuringPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := drawDeployment(t, 0.5, 1.2)
		deployment.Duration = 12 * time.Second
		faults := []Fault{
			coldFault(rapid.Float64Range(0.1, 1).Draw(t, "share"), rapid.SampledFrom([]float64{5, 10, 23}).Draw(t, "rate")),
			{
				Kind: FaultBoxesPartitioned, At: time.Second, Share: rapid.Float64Range(0.1, 0.9).Draw(t, "fault_share"),
				Duration: time.Duration(rapid.IntRange(4000, 9000).Draw(t, "down_ms")) * time.Millisecond,
			},
		}
		result := Run(deployment, faults, rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		if result.ColdExcess > 0 {
			t.Fatalf("allowance exceeded by %v requests", result.ColdExcess)
		}
	})
}

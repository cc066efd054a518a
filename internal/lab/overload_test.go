package lab

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// faultAt is when the fault starts. Callers that arrive from calmFrom to calmTo are the baseline; without a fault
	// they are done by then.
	faultAt  = 8 * time.Second
	calmFrom = 2 * time.Second
	calmTo   = 5 * time.Second
	// recoveryTime is the time after the end of the fault within which the overload must end. It equals the callers'
	// deadline, so all callers that arrived during the fault are done by then.
	recoveryTime = 6 * time.Second
	// recoveredShare is the fraction of the baseline goodput that must be reached again.
	recoveredShare = 0.9
)

// drawOverload draws a deployment with sufficient capacity for its traffic, and a temporary fault that overloads it.
func drawOverload(t *rapid.T) (*Deployment, Fault) {
	deployment := smallDeployment(rapid.Float64Range(0.45, 0.62).Draw(t, "level"))
	boxes := rapid.IntRange(1, 8).Draw(t, "boxes")
	for i := range deployment.Regions {
		deployment.Regions[i].Boxes = boxes
	}
	deployment.ReportInterval = time.Duration(rapid.IntRange(20, 100).Draw(t, "report_ms")) * time.Millisecond
	fault := Fault{
		At: faultAt, Kind: rapid.SampledFrom([]FaultKind{FaultServersDown, FaultBurst, FaultBoxesDown, FaultSwap}).Draw(t, "kind"),
		Share: rapid.Float64Range(0.3, 1).Draw(t, "share"), Factor: rapid.Float64Range(1.5, 3).Draw(t, "factor"),
		Duration: time.Duration(rapid.IntRange(500, 3000).Draw(t, "down_ms")) * time.Millisecond,
	}
	deployment.Duration = fault.At + fault.Duration + recoveryTime + 6*time.Second
	return deployment, fault
}

// Guards against an overload that persists after its cause: for seconds after a short outage, the slots are used by
// requests that are already late, so new requests become late too.
func TestOverloadEndsWithItsCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment, fault := drawOverload(t)
		result := Run(deployment, []Fault{fault}, rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		before := result.Between(calmFrom, calmTo)
		after := result.Between(fault.At+fault.Duration+recoveryTime, deployment.Duration)
		if after.Share(OutcomeInTime) < recoveredShare*before.Share(OutcomeInTime) {
			t.Fatalf("share in time %.2f before the fault, %.2f after it\n%s", before.Share(OutcomeInTime), after.Share(OutcomeInTime), result)
		}
	})
}

package lab

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// faultAt is when the fault of an overload begins. What was asked from calmFrom to
	// calmTo had ended by then.
	faultAt  = 8 * time.Second
	calmFrom = 2 * time.Second
	calmTo   = 5 * time.Second
	// recoveryTime is within which time after its cause an overload must have ended: what
	// was asked meanwhile has left or been answered by then.
	recoveryTime = 6 * time.Second
	// recoveredShare is the part of the calm goodput that must be reached again.
	recoveredShare = 0.9
)

// drawOverload draws a deployment that can bear its traffic, and something that
// takes that from it for a while.
func drawOverload(t *rapid.T) (*Deployment, Fault) {
	deployment := smallDeployment(rapid.Float64Range(0.45, 0.62).Draw(t, "level"))
	boxes := rapid.IntRange(1, 8).Draw(t, "boxes")
	for i := range deployment.Regions {
		deployment.Regions[i].Boxes = boxes
	}
	deployment.ReportInterval = time.Duration(rapid.IntRange(20, 100).Draw(t, "tell_ms")) * time.Millisecond
	fault := Fault{
		At: faultAt, Kind: rapid.SampledFrom([]FaultKind{FaultServersDown, FaultBurst, FaultBoxesDown, FaultSwap}).Draw(t, "kind"),
		Share: rapid.Float64Range(0.3, 1).Draw(t, "share"), Factor: rapid.Float64Range(1.5, 3).Draw(t, "factor"),
		Duration: time.Duration(rapid.IntRange(500, 3000).Draw(t, "down_ms")) * time.Millisecond,
	}
	deployment.Duration = fault.At + fault.Duration + recoveryTime + 6*time.Second
	return deployment, fault
}

// For seconds after a short outage the places went to requests that were late already, so
// that those that came meanwhile were late in their turn.
func TestOverloadEndsWithItsCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment, fault := drawOverload(t)
		result := Run(deployment, []Fault{fault}, rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		before := result.Between(calmFrom, calmTo)
		after := result.Between(fault.At+fault.Duration+recoveryTime, deployment.Duration)
		if after.Share(OutcomeInTime) < recoveredShare*before.Share(OutcomeInTime) {
			t.Fatalf("%.2f in time before the fault, %.2f after it\n%s", before.Share(OutcomeInTime), after.Share(OutcomeInTime), result)
		}
	})
}

package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// freightDeployment returns deployment B of docs/contributors/hard-load.md at a level of its traffic: 16 entry boxes,
// 34 servers and widely varying response lengths.
func freightDeployment(level float64) *Deployment {
	deployment := smallDeployment(level)
	deployment.Regions = []Region{{Boxes: 6, Servers: 12, Share: 0.34}, {Boxes: 5, Servers: 11, Share: 0.38}, {Boxes: 5, Servers: 11, Share: 0.28}}
	e := &deployment.Engine
	e.Slots, e.EventTokens, e.StepsBetweenPrefills = 12, 7, 7
	for i, size := range []struct{ rate, prompt, events, spread, value float64 }{
		{193, 1290, 21, 1.2, 2.5},
		{134, 787, 21, 1.4, 2.2},
		{164, 607, 10, 1.6, 1.3},
	} {
		kind := &deployment.Kinds[i]
		kind.PerSecond, kind.Prompt, kind.PromptSpread, kind.Value = size.rate, size.prompt, 0.5, size.value
		kind.Response, kind.ResponseSpread = size.events*float64(e.EventTokens), size.spread
		kind.Objective = 400 * time.Millisecond
	}
	deployment.Duration = 20 * time.Second
	return deployment
}

const (
	slowPeriod = 600 * time.Millisecond
	slowFactor = 2.5
)

// slowServers returns faults that make a seventh of the servers slow at any time, other ones in each period.
func slowServers(duration time.Duration) []Fault {
	var faults []Fault
	for at := time.Duration(0); at < duration; at += slowPeriod {
		faults = append(faults, Fault{Kind: FaultServersSlow, At: at, Share: 1.0 / 7, Duration: slowPeriod, Spread: slowPeriod, Factor: slowFactor})
	}
	return faults
}

// paceResult sums the results of some seeds.
type paceResult struct{ inTime, longGaps, total int }

// runFreight simulates deployment B, with slow servers if slow is set. The boxes do not use the pace of servers if
// unknownDecode is set.
func runFreight(slow, unknownDecode bool) paceResult {
	var sum paceResult
	for seed := range uint64(2) {
		deployment := freightDeployment(freightLevel)
		deployment.Duration, deployment.UnknownDecode = 12*time.Second, unknownDecode
		var faults []Fault
		if slow {
			faults = slowServers(deployment.Duration)
		}
		result := Run(deployment, faults, seed+1)
		all := result.All()
		sum.inTime += all[OutcomeInTime]
		sum.longGaps += result.LongGaps
		sum.total += all.Total()
	}
	return sum
}

// freightLevel is a level at which the servers have enough slots for all requests, also while some are slow.
const freightLevel = 0.5

// Guards against servers that receive as many requests while they are slow as otherwise: events then come too late, as
// the server prefills several prompts between them.
func TestSlowServersDelayFewerResponses(t *testing.T) {
	without, with := runFreight(true, true), runFreight(true, false)
	require.Equal(t, without.total, with.total)
	require.Greater(t, with.inTime, without.inTime)
	require.Less(t, with.longGaps, without.longGaps)
}

// Guards against a pace that follows the prefills of other requests and so makes the load of equally fast servers uneven.
// The tolerance is the share of the requests that a kind may lose by docs/contributors/hard-load.md, 5 in 100, divided by
// ten: nothing else has changed.
func TestPaceCostsNothingWithoutSlowServers(t *testing.T) {
	without, with := runFreight(false, true), runFreight(false, false)
	require.Equal(t, without.total, with.total)
	require.Less(t, float64(without.inTime-with.inTime)/float64(with.total), 0.005)
}

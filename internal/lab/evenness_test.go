package lab

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// evenDeployment returns a deployment of three regions with one request kind, whose requests occupy the given fraction
// of the slots. The age of reports is the interval between two reports of a box.
func evenDeployment(boxes, servers int, load float64, reportAge time.Duration) *Deployment {
	engine := Engine{
		Slots: 12, Queue: 24, StepTime: 7400 * time.Microsecond, StepsBetweenPrefills: 7, PrefillTokensPerSecond: 31900,
		PrefillChunkTokens: 2048, EventTokens: 7, FirstTokenDelay: 4 * time.Millisecond,
	}
	kind := RequestKind{
		Name: "stream", Prompt: 900, PromptSpread: 0.7, Response: 112, ResponseSpread: 0.6, Objective: 400 * time.Millisecond,
		MaxEventGap: 400 * time.Millisecond, Deadline: 6 * time.Second, CallerTimeout: 3200 * time.Millisecond, Retries: 1, Value: 1, LateValue: 0.2,
	}
	// holdTime is the mean time that a request holds a slot in a batch that is three quarters full, by the runs of this test.
	const holdTime = 1.16
	kind.PerSecond = load * float64(servers*engine.Slots) / holdTime
	deployment := &Deployment{
		Engine: engine, Kinds: []RequestKind{kind}, RegionDelay: time.Millisecond, BoxDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		ReportInterval: reportAge, MaxAttempts: 2, Duration: 8 * time.Second,
	}
	for i := range 3 {
		share := func(n int) int { return n*(i+1)/3 - n*i/3 }
		deployment.Regions = append(deployment.Regions, Region{Boxes: share(boxes), Servers: share(servers), Share: float64(share(boxes)) / float64(boxes)})
	}
	return deployment
}

// evennessTable makes TestLoadIsEvenWithOutdatedReports run all fleets and log what it measures.
var evennessTable = flag.Bool("lab.evenness", false, "measure the evenness of the load in all fleets")

var fleetSizes = []struct{ boxes, servers int }{{7, 13}, {16, 34}, {44, 45}, {149, 204}}

// Guards against servers that are overloaded in turn while others are idle, as many boxes choose a server by the same
// outdated reports. At a load of six tenths no server needs a queue. At nine tenths a request can be at the wrong server by
// chance, so what is misplaced must remain below half a slot of each server, and below one slot of each if reports are half
// a second old: a single request cannot be divided.
func TestLoadIsEvenWithOutdatedReports(t *testing.T) {
	for _, size := range fleetSizes {
		if !*evennessTable && size.boxes != 16 && size.boxes != 44 {
			continue
		}
		for _, test := range []struct {
			name      string
			reportAge time.Duration
			faults    []Fault
			// maxMisplaced is the largest allowed number of misplaced slots of each server at a load of nine tenths.
			maxMisplaced float64
		}{
			{"50ms", 50 * time.Millisecond, nil, 0.5},
			{"200ms", 200 * time.Millisecond, nil, 0.5},
			{"500ms", 500 * time.Millisecond, nil, 1},
			{"partitioned", 50 * time.Millisecond, []Fault{{Kind: FaultBoxesPartitioned, Share: 0.2, Duration: time.Minute}}, 0.5},
		} {
			for _, load := range []float64{0.6, 0.9} {
				t.Run(fmt.Sprintf("%d/%s/%v", size.boxes, test.name, load), func(t *testing.T) {
					t.Parallel()
					result := Run(evenDeployment(size.boxes, size.servers, load, test.reportAge), test.faults, 1)
					even, all := result.Evenness, result.All()
					t.Logf("utilization %.3f, misplaced %.4f, idle while waiting %.4f, uneven windows %.2f, requests ratio %.2f, work ratio %.2f, in time %.3f, score %.3f, %d reports",
						even.Utilization, even.Misplaced, even.IdleWhileWaiting, even.WindowsUneven, even.RequestsRatio, even.WorkRatio,
						all.Share(OutcomeInTime), result.Score(), result.Reports)
					require.Greater(t, even.Windows, 50)
					slots := float64(result.deployment.Engine.Slots)
					if load == 0.6 {
						require.Less(t, even.RequestsRatio*even.Utilization, 1.0, "the fullest server has a queue on average")
						require.Less(t, even.Misplaced*slots*float64(size.servers), 1.0)
						return
					}
					require.Less(t, even.Misplaced*slots, test.maxMisplaced)
				})
			}
		}
	}
}

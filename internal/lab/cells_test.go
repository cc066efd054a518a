package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeDeployment returns a deployment of 149 entry boxes and 204 servers in five regions with different traffic. At
// level 1 the utilization of its servers is 0.8.
func largeDeployment(level float64) *Deployment {
	kind := RequestKind{
		PromptSpread: 0.8, Response: 88, ResponseSpread: 0.7, Objective: 500 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
		Deadline: 6 * time.Second, CallerTimeout: 3200 * time.Millisecond, Retries: 1,
	}
	draft, summary, check := kind, kind, kind
	draft.Name, draft.PerSecond, draft.Prompt, draft.Value, draft.LateValue = "draft", 418, 1330, 2.2, 0.56
	summary.Name, summary.PerSecond, summary.Prompt, summary.Value, summary.LateValue = "summary", 290, 827, 2, 0.5
	check.Name, check.PerSecond, check.Prompt, check.Value, check.LateValue = "check", 246, 647, 1.6, 0.4
	check.Response, check.Objective = 70, 400*time.Millisecond
	return &Deployment{
		Regions: []Region{
			{Boxes: 30, Servers: 41, Share: 0.20},
			{Boxes: 34, Servers: 41, Share: 0.22},
			{Boxes: 30, Servers: 41, Share: 0.16},
			{Boxes: 30, Servers: 41, Share: 0.23},
			{Boxes: 25, Servers: 40, Share: 0.19},
		},
		Engine: Engine{
			Slots: 8, Queue: 16, StepTime: 11100 * time.Microsecond, StepTimePerRequest: 58 * time.Microsecond, StepsBetweenPrefills: 6,
			PrefillTokensPerSecond: 21300, PrefillChunkTokens: 2048, EventTokens: 6, FirstTokenDelay: 12 * time.Millisecond,
		},
		Kinds:       []RequestKind{draft, summary, check},
		RegionDelay: 2 * time.Millisecond, BoxDelay: 900 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		ReportInterval: 50 * time.Millisecond, MaxAttempts: 2, Duration: 7 * time.Second,
		LoadSteps: []LoadStep{{Level: level}},
	}
}

// Cells reduce the number of messages between boxes, but each box then uses only the servers of its own cell. Guards
// against a large loss of score compared with a single cell: without faults, while a third of the servers swap their
// weights at a time, and under overload.
func TestCellsServeCallersAlmostAsWellAsOneCell(t *testing.T) {
	swaps := []Fault{{Kind: FaultSwap, At: 2 * time.Second, Share: 1, Duration: 700 * time.Millisecond, Spread: 2 * time.Second}}
	for _, test := range []struct {
		name   string
		level  float64
		faults []Fault
		// maxLoss is the largest allowed loss of score compared with one cell.
		maxLoss float64
	}{
		{"calm", 0.8, nil, 0.02},
		{"swaps", 0.9, swaps, 0.03},
		{"overload", 1.3, nil, 0.04},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			oneCell, manyCells := largeDeployment(test.level), largeDeployment(test.level)
			oneCell.Cells = 1
			single, divided := Run(oneCell, test.faults, 1), Run(manyCells, test.faults, 1)
			t.Logf("score with one cell %.3f, with several cells %.3f", single.Score(), divided.Score())
			require.Greater(t, divided.Score(), single.Score()-test.maxLoss)
		})
	}
}

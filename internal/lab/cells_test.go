package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drawing is a deployment of 149 entry boxes and 204 servers in five regions, which are not
// asked for alike. At level 1 its servers are busy for four fifths of their time.
func drawing(level float64) *Deployment {
	kind := Kind{
		PromptSpread: 0.8, Answer: 88, AnswerSpread: 0.7, Objective: 500 * time.Millisecond, Pause: 400 * time.Millisecond,
		Deadline: 6 * time.Second, Patience: 3200 * time.Millisecond, Retries: 1,
	}
	draft, summary, check := kind, kind, kind
	draft.Name, draft.PerSecond, draft.Prompt, draft.Worth, draft.LateWorth = "draft", 418, 1330, 2.2, 0.56
	summary.Name, summary.PerSecond, summary.Prompt, summary.Worth, summary.LateWorth = "summary", 290, 827, 2, 0.5
	check.Name, check.PerSecond, check.Prompt, check.Worth, check.LateWorth = "check", 246, 647, 1.6, 0.4
	check.Answer, check.Objective = 70, 400*time.Millisecond
	return &Deployment{
		Regions: []Region{
			{Boxes: 30, Servers: 41, Share: 0.20},
			{Boxes: 34, Servers: 41, Share: 0.22},
			{Boxes: 30, Servers: 41, Share: 0.16},
			{Boxes: 30, Servers: 41, Share: 0.23},
			{Boxes: 25, Servers: 40, Share: 0.19},
		},
		Engine: Engine{
			Slots: 8, Queue: 16, Step: 11100 * time.Microsecond, StepPerRequest: 58 * time.Microsecond, Stride: 6,
			ReadPerSecond: 21300, ReadAtOnce: 2048, EventTokens: 6, First: 12 * time.Millisecond,
		},
		Kinds:       []Kind{draft, summary, check},
		RegionDelay: 2 * time.Millisecond, BoxDelay: 900 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		TellInterval: 50 * time.Millisecond, MaxAttempts: 2, Length: 7 * time.Second,
		Steps: []Step{{Level: level}},
	}
}

// Cells are there to save messages, so they must not cost the callers much: neither on a calm
// day, nor while a third of the servers swaps their weights, nor under an overload.
func TestCellsServeCallersAsOneWouldThatKnewEverything(t *testing.T) {
	swaps := []Fault{{Kind: FaultSwap, At: 2 * time.Second, Share: 1, Down: 700 * time.Millisecond, Over: 2 * time.Second}}
	for _, day := range []struct {
		name   string
		level  float64
		faults []Fault
		// most is how much less of the worth there may be than with one cell.
		most float64
	}{
		{"calm", 0.8, nil, 0.02},
		{"swaps", 0.9, swaps, 0.03},
		{"overload", 1.3, nil, 0.04},
	} {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			whole, cells := drawing(day.level), drawing(day.level)
			whole.Cells = 1
			one, divided := Run(whole, day.faults, 1), Run(cells, day.faults, 1)
			t.Logf("one cell %.3f, divided %.3f", one.Worth(), divided.Worth())
			require.Greater(t, divided.Worth(), one.Worth()-day.most)
		})
	}
}

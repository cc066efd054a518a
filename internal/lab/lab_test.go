package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/virtual"
)

// smallDeployment returns a deployment of nine entry boxes and 13 servers. At level 1 the traffic exceeds the capacity
// of the servers by a third.
func smallDeployment(level float64) *Deployment {
	kind := RequestKind{
		PromptSpread: 0.7, Response: 144, ResponseSpread: 0.6, Objective: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond,
		Deadline: 6 * time.Second, CallerTimeout: 2400 * time.Millisecond, Retries: 1,
	}
	page, profile, caption := kind, kind, kind
	page.Name, page.PerSecond, page.Prompt, page.Value, page.LateValue = "page", 74, 1330, 2.5, 0.6
	profile.Name, profile.PerSecond, profile.Prompt, profile.Value, profile.LateValue = "profile", 53, 830, 2.1, 0.5
	caption.Name, caption.PerSecond, caption.Prompt, caption.Value, caption.LateValue = "caption", 62, 650, 1.3, 0.3
	caption.Response, caption.Objective = 70, 300*time.Millisecond
	return &Deployment{
		Regions: []Region{{Boxes: 4, Servers: 4, Share: 0.33}, {Boxes: 2, Servers: 4, Share: 0.38}, {Boxes: 3, Servers: 5, Share: 0.29}},
		Engine: Engine{
			Slots: 16, Queue: 32, StepTime: 6730 * time.Microsecond, StepTimePerRequest: 22 * time.Microsecond, StepsBetweenPrefills: 6,
			PrefillTokensPerSecond: 30600, PrefillChunkTokens: 2048, EventTokens: 6, FirstTokenDelay: 12 * time.Millisecond,
		},
		Kinds:       []RequestKind{page, profile, caption},
		RegionDelay: 3 * time.Millisecond, BoxDelay: 300 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		ReportInterval: 50 * time.Millisecond, MaxAttempts: 2, Duration: 30 * time.Second,
		LoadSteps: []LoadStep{{Level: level}},
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	faults := []Fault{
		{Kind: FaultServersDown, At: 2 * time.Second, Share: 0.5, Duration: time.Second},
		{Kind: FaultSwap, At: 4 * time.Second, Share: 1, Duration: time.Second, Spread: 2 * time.Second},
		{Kind: FaultBoxesDown, At: 8 * time.Second, Share: 0.5, Duration: time.Second},
		{Kind: FaultServersSlow, At: 10 * time.Second, Share: 0.2, Duration: time.Second, Factor: 4},
		{Kind: FaultBurst, At: 12 * time.Second, Duration: time.Second, Factor: 2},
	}
	deployment := smallDeployment(0.6)
	deployment.Duration = 15 * time.Second
	first, same, other := Run(deployment, faults, 1), Run(deployment, faults, 1), Run(deployment, faults, 2)
	require.Equal(t, first.Seconds, same.Seconds)
	require.Equal(t, first.Score(), same.Score())
	require.NotEqual(t, first.Seconds, other.Seconds)
}

func TestModerateLoadIsServedInTime(t *testing.T) {
	all := Run(smallDeployment(0.5), nil, 1).All()
	require.Greater(t, all.Total(), 2500)
	require.Greater(t, all.Share(OutcomeInTime), 0.95)
}

func TestEveryCallerHasOneOutcome(t *testing.T) {
	result := Run(smallDeployment(1.2), []Fault{{Kind: FaultBoxesDown, At: 5 * time.Second, Share: 1, Duration: time.Second}}, 1)
	byKind := 0
	for _, kind := range result.Kinds {
		byKind += kind.Total()
	}
	all := result.All()
	require.Equal(t, byKind, all.Total())
	require.InDelta(t, 1.2*189*30, all.Total(), 300)
}

// A batch of 16 requests takes 42.5 ms for a pass of 6 token steps, so one prefill pass and 20 decode passes end within
// 1.1 s.
func TestEngineTimingMatchesItsParameters(t *testing.T) {
	var line virtual.Timeline
	e := &engine{Engine: smallDeployment(1).Engine, timeline: &line, up: true, accepting: true, slowdown: 1}
	completedJobs, startedJobs := 0, 0
	for range e.Slots {
		started := false
		ok := e.submit(&job{promptTokens: 100, responseTokens: 121, onEvent: func() {
			if !started {
				started = true
				startedJobs++
			}
		}, onEnd: func(complete bool) {
			require.True(t, complete)
			completedJobs++
		}})
		require.True(t, ok)
	}
	line.Run(300 * time.Millisecond)
	require.Equal(t, e.Slots, startedJobs)
	require.Zero(t, completedJobs)
	line.Run(1100 * time.Millisecond)
	require.Equal(t, e.Slots, completedJobs, "one prefill pass, then 20 decode passes of 42.5 ms")
}

func TestCrashedEngineEndsItsRequests(t *testing.T) {
	var line virtual.Timeline
	e := &engine{Engine: smallDeployment(1).Engine, timeline: &line, up: true, accepting: true, slowdown: 1}
	var results []bool
	require.True(t, e.submit(&job{promptTokens: 100, responseTokens: 121, onEvent: func() {}, onEnd: func(complete bool) { results = append(results, complete) }}))
	line.Run(100 * time.Millisecond)
	e.up = false
	e.stop()
	line.Run(10 * time.Second)
	require.Equal(t, []bool{false}, results)
	require.False(t, e.submit(&job{}))
}

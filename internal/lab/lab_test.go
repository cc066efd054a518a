package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/virtual"
)

// drafting is a deployment of nine entry boxes and thirteen servers, which at level 1 is
// asked for a third more than its servers can do.
func drafting(level float64) *Deployment {
	kind := Kind{
		PromptSpread: 0.7, Answer: 144, AnswerSpread: 0.6, Objective: 400 * time.Millisecond, Pause: 300 * time.Millisecond,
		Deadline: 6 * time.Second, Patience: 2400 * time.Millisecond, Retries: 1,
	}
	page, profile, caption := kind, kind, kind
	page.Name, page.PerSecond, page.Prompt, page.Worth, page.LateWorth = "page", 74, 1330, 2.5, 0.6
	profile.Name, profile.PerSecond, profile.Prompt, profile.Worth, profile.LateWorth = "profile", 53, 830, 2.1, 0.5
	caption.Name, caption.PerSecond, caption.Prompt, caption.Worth, caption.LateWorth = "caption", 62, 650, 1.3, 0.3
	caption.Answer, caption.Objective = 70, 300*time.Millisecond
	return &Deployment{
		Regions: []Region{{Boxes: 4, Servers: 4, Share: 0.33}, {Boxes: 2, Servers: 4, Share: 0.38}, {Boxes: 3, Servers: 5, Share: 0.29}},
		Engine: Engine{
			Slots: 16, Queue: 32, Step: 6730 * time.Microsecond, StepPerRequest: 22 * time.Microsecond, Stride: 6,
			ReadPerSecond: 30600, ReadAtOnce: 2048, EventTokens: 6, First: 12 * time.Millisecond,
		},
		Kinds:       []Kind{page, profile, caption},
		RegionDelay: 3 * time.Millisecond, BoxDelay: 300 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		TellInterval: 50 * time.Millisecond, MaxAttempts: 2, Length: 30 * time.Second,
		Steps: []Step{{Level: level}},
	}
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	faults := []Fault{
		{Kind: FaultServersDown, At: 2 * time.Second, Share: 0.5, Down: time.Second},
		{Kind: FaultSwap, At: 4 * time.Second, Share: 1, Down: time.Second, Over: 2 * time.Second},
		{Kind: FaultBoxesDown, At: 8 * time.Second, Share: 0.5, Down: time.Second},
		{Kind: FaultServersSlow, At: 10 * time.Second, Share: 0.2, Down: time.Second, Factor: 4},
		{Kind: FaultBurst, At: 12 * time.Second, Down: time.Second, Factor: 2},
	}
	deployment := drafting(0.6)
	deployment.Length = 15 * time.Second
	one, same, other := Run(deployment, faults, 1), Run(deployment, faults, 1), Run(deployment, faults, 2)
	require.Equal(t, one.Seconds, same.Seconds)
	require.Equal(t, one.Worth(), same.Worth())
	require.NotEqual(t, one.Seconds, other.Seconds)
}

func TestACalmDayIsServedInTime(t *testing.T) {
	all := Run(drafting(0.5), nil, 1).All()
	require.Greater(t, all.All(), 2500)
	require.Greater(t, all.Part(OutcomeInTime), 0.95)
}

func TestEveryCallerHasOneOutcome(t *testing.T) {
	result := Run(drafting(1.2), []Fault{{Kind: FaultBoxesDown, At: 5 * time.Second, Share: 1, Down: time.Second}}, 1)
	byKind := 0
	for _, kind := range result.Kinds {
		byKind += kind.All()
	}
	all := result.All()
	require.Equal(t, byKind, all.All())
	require.InDelta(t, 1.2*189*30, all.All(), 300)
}

// A server alone makes what its figures say: a batch of 16 plays 6 steps in 42.5 ms.
func TestAServerMakesWhatItsFiguresSay(t *testing.T) {
	var line virtual.Timeline
	e := &engine{Engine: drafting(1).Engine, line: &line, up: true, open: true, slow: 1}
	done, begun := 0, 0
	for range e.Slots {
		started := false
		ok := e.submit(&job{prompt: 100, answer: 121, event: func() {
			if !started {
				started = true
				begun++
			}
		}, ended: func(whole bool) {
			require.True(t, whole)
			done++
		}})
		require.True(t, ok)
	}
	line.Run(300 * time.Millisecond)
	require.Equal(t, e.Slots, begun)
	require.Zero(t, done)
	line.Run(1100 * time.Millisecond)
	require.Equal(t, e.Slots, done, "a pass to read, 20 strides of 42.5 ms to write")
}

func TestACrashedServerEndsWhatItRan(t *testing.T) {
	var line virtual.Timeline
	e := &engine{Engine: drafting(1).Engine, line: &line, up: true, open: true, slow: 1}
	var ended []bool
	require.True(t, e.submit(&job{prompt: 100, answer: 121, event: func() {}, ended: func(whole bool) { ended = append(ended, whole) }}))
	line.Run(100 * time.Millisecond)
	e.up = false
	e.stop()
	line.Run(10 * time.Second)
	require.Equal(t, []bool{false}, ended)
	require.False(t, e.submit(&job{}))
}

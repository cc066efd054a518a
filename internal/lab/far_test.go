package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fields is a deployment of 41 entry boxes and 76 servers in three regions, whose boxes tell
// those of other regions what they have in flight as often as 27 of them are told. At level 1
// it is asked for 0.8 of what its servers can do.
func fields(level float64) *Deployment {
	kind := Kind{
		PromptSpread: 0.7, Answer: 105, AnswerSpread: 0.5, Objective: 400 * time.Millisecond, Pause: 400 * time.Millisecond,
		Deadline: 6 * time.Second, Patience: 3200 * time.Millisecond, Retries: 1,
	}
	draft, summary, check := kind, kind, kind
	draft.Name, draft.PerSecond, draft.Prompt, draft.Worth, draft.LateWorth = "draft", 164, 1330, 2.4, 0.59
	draft.Objective = 500 * time.Millisecond
	summary.Name, summary.PerSecond, summary.Prompt, summary.Worth, summary.LateWorth = "summary", 206, 830, 2, 0.5
	check.Name, check.PerSecond, check.Prompt, check.Worth, check.LateWorth, check.Answer = "check", 114, 650, 1.5, 0.37, 70
	return &Deployment{
		Regions: []Region{{Boxes: 15, Servers: 25, Share: 0.36}, {Boxes: 14, Servers: 26, Share: 0.30}, {Boxes: 12, Servers: 25, Share: 0.34}},
		Engine: Engine{
			Slots: 12, Queue: 24, Step: 9270 * time.Microsecond, StepPerRequest: 23 * time.Microsecond, Stride: 5,
			ReadPerSecond: 20700, ReadAtOnce: 2048, EventTokens: 5, First: 4 * time.Millisecond,
		},
		Kinds:       []Kind{draft, summary, check},
		RegionDelay: 1800 * time.Microsecond, BoxDelay: 300 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		TellInterval: 50 * time.Millisecond, FarTellInterval: 112 * time.Millisecond, MaxAttempts: 2, Length: 12 * time.Second,
		Steps: []Step{{Level: level}},
	}
}

// At the busiest hour two or three boxes sent to one server at the same moment, as those of other
// regions heard of each other late: one request in 25 was late though a fifth of the places was
// free.
func TestAtThePeakFewRequestsAreLateThoughFarBoxesAreHeardLate(t *testing.T) {
	deployment := fields(1)
	peak := Run(deployment, nil, 1).Between(4*time.Second, 11*time.Second)
	require.Greater(t, peak.Part(OutcomeInTime), 0.968, "%v", peak)
	require.Zero(t, peak[OutcomeRefused])
}

// With half as much again as its servers can do, a deployment answers in time most of what they
// can.
func TestUnderALastingOverloadMostPlacesGoToThoseInTime(t *testing.T) {
	over := Run(fields(1.9), nil, 1).Between(4*time.Second, 11*time.Second)
	late, inTime := over.Part(OutcomeLate), over.Part(OutcomeInTime)
	require.Greater(t, inTime, 4*late, "%v", over)
}

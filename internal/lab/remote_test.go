package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mediumDeployment returns a deployment of 41 entry boxes and 76 servers in three regions. Its boxes report to other
// regions at the interval that a box in production uses with 27 followers in other regions. At level 1 the utilization
// of its servers is 0.8.
func mediumDeployment(level float64) *Deployment {
	kind := RequestKind{
		PromptSpread: 0.7, Response: 105, ResponseSpread: 0.5, Objective: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
		Deadline: 6 * time.Second, CallerTimeout: 3200 * time.Millisecond, Retries: 1,
	}
	draft, summary, check := kind, kind, kind
	draft.Name, draft.PerSecond, draft.Prompt, draft.Value, draft.LateValue = "draft", 164, 1330, 2.4, 0.59
	draft.Objective = 500 * time.Millisecond
	summary.Name, summary.PerSecond, summary.Prompt, summary.Value, summary.LateValue = "summary", 206, 830, 2, 0.5
	check.Name, check.PerSecond, check.Prompt, check.Value, check.LateValue, check.Response = "check", 114, 650, 1.5, 0.37, 70
	return &Deployment{
		Regions: []Region{{Boxes: 15, Servers: 25, Share: 0.36}, {Boxes: 14, Servers: 26, Share: 0.30}, {Boxes: 12, Servers: 25, Share: 0.34}},
		Engine: Engine{
			Slots: 12, Queue: 24, StepTime: 9270 * time.Microsecond, StepTimePerRequest: 23 * time.Microsecond, StepsBetweenPrefills: 5,
			PrefillTokensPerSecond: 20700, PrefillChunkTokens: 2048, EventTokens: 5, FirstTokenDelay: 4 * time.Millisecond,
		},
		Kinds:       []RequestKind{draft, summary, check},
		RegionDelay: 1800 * time.Microsecond, BoxDelay: 300 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		ReportInterval: 50 * time.Millisecond, RemoteReportInterval: 112 * time.Millisecond, MaxAttempts: 2, Duration: 12 * time.Second,
		LoadSteps: []LoadStep{{Level: level}},
	}
}

// Guards against two or three boxes of different regions that send to the same server at the same time, because they
// receive each other's reports late. At the peak, one response in 25 was late although a fifth of the slots was free.
func TestFewRequestsAreLateAtPeakWithDelayedRemoteReports(t *testing.T) {
	deployment := mediumDeployment(1)
	peak := Run(deployment, nil, 1).Between(4*time.Second, 11*time.Second)
	require.Greater(t, peak.Share(OutcomeInTime), 0.968, "%v", peak)
	require.Zero(t, peak[OutcomeRejected])
}

// Guards against slots being used mostly by late requests during a sustained overload, here with traffic of one and a
// half times the capacity.
func TestMostResponsesAreInTimeUnderSustainedOverload(t *testing.T) {
	overload := Run(mediumDeployment(1.9), nil, 1).Between(4*time.Second, 11*time.Second)
	late, inTime := overload.Share(OutcomeLate), overload.Share(OutcomeInTime)
	require.Greater(t, inTime, 4*late, "%v", overload)
}

package report

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func rolloutEvents(t *testing.T) []Event {
	t.Helper()
	events, findings := readTestLog(t, "copies.log")
	require.NoError(t, findings)
	Sort(events)
	return events
}

func TestRolloutStepsAreTimedFromPublication(t *testing.T) {
	rollouts := MeasureRollouts(rolloutEvents(t))
	require.Len(t, rollouts, 1, "the time of publication of version 3 is unknown")
	rollout := rollouts[0]
	require.Equal(t, "daka", rollout.Model)
	require.Equal(t, 2, rollout.Version)
	require.Equal(t, time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC), rollout.PublishedAt.UTC(), "the earliest time that a process assumed")
	seconds := func(tenths int) time.Duration { return time.Duration(tenths) * 100 * time.Millisecond }
	require.Equal(t, []AgentProgress{
		{"agent-2", 1, map[Step]time.Duration{
			StepKnown: 250 * time.Millisecond, StepManifest: 350 * time.Millisecond, StepComplete: seconds(11), StepOrdered: seconds(12), StepLive: seconds(16),
		}},
		{"agent-3", 2, map[Step]time.Duration{StepKnown: seconds(21), StepComplete: seconds(22), StepOrdered: seconds(23), StepLive: seconds(29)}},
		{"agent-1", 1, map[Step]time.Duration{
			StepKnown: seconds(3), StepManifest: seconds(5), StepFirstChunk: seconds(7), StepLastChunk: seconds(9), StepComplete: seconds(10),
		}},
	}, rollout.Agents, "entry boxes and agents that only know the version are left out; an agent that is not live comes last")
	require.Equal(t, []time.Duration{seconds(10), seconds(11), seconds(22)}, rollout.Reached(StepComplete))
}

func TestPlotRolloutWritesSVG(t *testing.T) {
	rollouts := MeasureRollouts(rolloutEvents(t))
	var svg strings.Builder
	require.NoError(t, PlotRollout(&svg, &rollouts[0]))
	require.Contains(t, svg.String(), "<svg")
	require.Contains(t, svg.String(), "first piece")
}

func TestLogsWithoutWeightEventsYieldNoRollout(t *testing.T) {
	require.Empty(t, MeasureRollouts(lossEvents(t)))
}

package report

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func lossEvents(t *testing.T) []Event {
	t.Helper()
	events, findings := readTestLog(t, "losses.log")
	require.ErrorContains(t, findings, "losses.log:19", "the truncated line is reported and the other lines are read")
	return events
}

func TestMeasureLossesCountsEachCause(t *testing.T) {
	all := MeasureLosses(lossEvents(t), ByNothing)
	require.Len(t, all, 1)
	require.Equal(t, map[Cause]int{
		CauseInTime: 2, CauseEventGap: 1, CauseWaitedForSlot: 1, CauseSlowServer: 1, CauseSecondAttempt: 1, CauseRefusedAtOnce: 1,
		CauseNoServer: 1, CauseRefusedOther: 1, CauseTruncated: 1, CauseTruncatedTwice: 1, CauseFailed: 1, CauseCallerLeft: 1,
	}, all[0].New)
	require.Equal(t, map[Cause]int{CauseInTime: 1, CauseRetriedLate: 1, CauseRefusedAfterWait: 1}, all[0].Retries)
	require.Equal(t, 13, all[0].Callers())
	require.Equal(t, 3, all[0].InTime())
	require.Equal(t, 5, all[0].Late())
	require.Equal(t, 1, all[0].Lost())
}

func TestMeasureLossesGroupsByDimension(t *testing.T) {
	names := func(by Dimension) []string {
		var names []string
		for _, group := range MeasureLosses(lossEvents(t), by) {
			names = append(names, group.Group)
		}
		return names
	}
	require.Equal(t, []string{"book", "draft"}, names(ByRoute))
	require.Equal(t, []string{"", "kumiai", "nouka"}, names(ByOrganisation))
	require.Equal(t, []string{"losses.log"}, names(ByBox))
	require.Equal(t, []string{"    0", "    1", "    2", "    3"}, names(BySecond), "the second in which a request arrived, not in which it ended")
	require.Equal(t, []string{"book, no prompt", "draft, largest tenth", "draft, others"}, names(BySize))
}

func TestReadTakesProcessNameFromCollectorPrefix(t *testing.T) {
	events, err := Read("all.log", strings.NewReader("12.5 entry-7: time=2026-12-02T10:00:00Z event=started\n"))
	require.NoError(t, err)
	require.Equal(t, "entry-7", events[0].Process)
}

func TestPlotLossesWritesSVG(t *testing.T) {
	var svg strings.Builder
	require.NoError(t, PlotLosses(&svg, MeasureLosses(lossEvents(t), BySecond)))
	require.Contains(t, svg.String(), "<svg")
	require.Contains(t, svg.String(), "refused at once")
	require.ErrorIs(t, PlotLosses(&svg, nil), ErrNothingToPlot)
}

package ratewindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEachCountsEventsInWindow(t *testing.T) {
	var events []time.Time
	for _, ms := range []int{0, 800, 3200, 3999, 4000, 8000, 8000, 12001} {
		events = append(events, time.Unix(0, 0).Add(time.Duration(ms)*time.Millisecond))
	}
	var counts []int
	Each(events, Window, func(end time.Time, count int) {
		require.Equal(t, events[len(counts)], end)
		counts = append(counts, count)
	})
	require.Equal(t, []int{1, 2, 3, 4, 4, 1, 2, 1}, counts)
}

func TestAllowedIncludesBurstAndExtraRequests(t *testing.T) {
	for limit, want := range map[float64]float64{0: 5, 1: 11, 1.9: 16.4, 10: 65} {
		require.InDelta(t, want, Allowed(limit), 1e-9)
	}
}

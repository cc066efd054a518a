package ratewindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seconds returns the times that are the given numbers of seconds after the Unix epoch.
func seconds(at ...float64) (times []time.Time) {
	for _, s := range at {
		times = append(times, time.Unix(0, 0).Add(time.Duration(s*float64(time.Second))))
	}
	return times
}

func TestRetryWindowCountsRequestsOfThreeWindows(t *testing.T) {
	bound := &RetryBound{Ratio: 0.5, Extra: 1, Window: 10 * time.Second}
	for name, test := range map[string]struct {
		requests []time.Time
		allowed  float64
	}{
		"the window itself":    {seconds(21, 22, 23, 30), 3},
		"the window before":    {seconds(11, 12, 13, 14), 3},
		"half a window before": {seconds(16, 17, 23, 24), 3},
		"longer before":        {seconds(7, 8, 9, 10), 1},
		"later":                {seconds(30.001, 31), 1},
	} {
		log := RetryLog{test.requests, seconds(20, 20.001, 30, 30.001)}
		window := log.At(seconds(20)[0], bound)
		require.Equal(t, 2, window.Retries, name)
		require.InDelta(t, test.allowed, window.Allowed, 1e-9, name)
	}
}

func TestWorstRetryWindowHasLargestUse(t *testing.T) {
	bound := &RetryBound{Ratio: 0.5, Extra: 1, Window: 10 * time.Second}
	for name, test := range map[string]struct {
		log RetryLog
		use float64
	}{
		"no retries":                {RetryLog{seconds(20), nil}, 0},
		"retries a window apart":    {RetryLog{nil, seconds(20, 30)}, 1},
		"retries within the window": {RetryLog{nil, seconds(20, 29.999)}, 2},
		"a window before requests":  {RetryLog{seconds(29, 29), seconds(20, 20, 20, 29)}, 3},
	} {
		worst := test.log.Worst(bound)
		require.InDelta(t, test.use, worst.Use(), 1e-9, name)
	}
}

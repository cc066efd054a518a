package virtual

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventsRunInOrderOfTimeThenScheduling(t *testing.T) {
	var timeline Timeline
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	timeline.AfterFunc(2*time.Second, record("late"))
	timeline.AfterFunc(time.Second, func() {
		record("first")()
		timeline.AfterFunc(-time.Second, record("scheduled in the past"))
	})
	timeline.AfterFunc(time.Second, record("second"))
	timeline.Run(1500 * time.Millisecond)
	require.Equal(t, []string{"first", "second", "scheduled in the past"}, ran)
	require.Equal(t, Epoch.Add(1500*time.Millisecond), timeline.Now())
	require.False(t, timeline.Step(1900*time.Millisecond))
	require.True(t, timeline.Step(2*time.Second))
	require.Equal(t, 2*time.Second, timeline.Elapsed())
}

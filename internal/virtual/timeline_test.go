package virtual

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventsRunInOrderOfTimeThenScheduling(t *testing.T) {
	var line Timeline
	var ran []string
	note := func(name string) func() { return func() { ran = append(ran, name) } }
	line.AfterFunc(2*time.Second, note("late"))
	line.AfterFunc(time.Second, func() {
		note("first")()
		line.AfterFunc(-time.Second, note("planned in the past"))
	})
	line.AfterFunc(time.Second, note("second"))
	line.Run(1500 * time.Millisecond)
	require.Equal(t, []string{"first", "second", "planned in the past"}, ran)
	require.Equal(t, Epoch.Add(1500*time.Millisecond), line.Now())
	require.False(t, line.Step(1900*time.Millisecond))
	require.True(t, line.Step(2*time.Second))
	require.Equal(t, 2*time.Second, line.Elapsed())
}

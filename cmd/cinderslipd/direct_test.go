package main

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a process that is killed at the end of its grace period while it is still stopping, and so loses the
// log lines that show what delayed the stop.
func TestSlowStopExitsBeforeGracePeriodEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	exited := make(chan struct{})
	exitBefore(clock, 8*time.Second, zerolog.Nop(), func() { close(exited) })
	clock.Advance(8*time.Second - forcedExitMargin - time.Millisecond)
	select {
	case <-exited:
		require.Fail(t, "exited while the planned stop may still finish")
	default:
	}
	clock.Advance(time.Millisecond)
	<-exited
}

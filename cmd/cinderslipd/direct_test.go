package main

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A process that was still stopping at the end of its grace was killed, and its log did not say
// what had held it up.
func TestSlowStopExitsBeforeGracePeriodEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ended := make(chan struct{})
	exitBefore(clock, 8*time.Second, zerolog.Nop(), func() { close(ended) })
	clock.Advance(8*time.Second - forcedExitMargin - time.Millisecond)
	select {
	case <-ended:
		require.Fail(t, "ended while it may still stop by itself")
	default:
	}
	clock.Advance(time.Millisecond)
	<-ended
}

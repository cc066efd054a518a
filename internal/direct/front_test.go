package direct

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// After a loss of power all boxes start at once: none knows the others, and what they
// used before still counts.
func TestABoxThatHasJustStartedTakesNoneOfTheCommonRetries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := &Front{clock: clock, started: clock.Now(), retries: retryLimits{ratio: 0.2, extra: 100, window: 10 * time.Second}}
	require.Zero(t, f.retryExtra())
	clock.Advance(9 * time.Second)
	require.Zero(t, f.retryExtra())
	clock.Advance(time.Second)
	require.InDelta(t, 100*retrySafety, f.retryExtra(), 1e-9)
	f.entries = &EntryBoxes{clock: clock, boxes: map[string]EntryBox{"a": {Heard: clock.Now()}, "b": {Heard: clock.Now()}}}
	require.InDelta(t, 100*retrySafety/3, f.retryExtra(), 1e-9)
}

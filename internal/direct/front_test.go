package direct

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// After a loss of power all boxes start at once: none knows the others, and what they
// used before still counts.
func TestABoxThatHasJustStartedTakesFewOfTheCommonRetries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := &Front{clock: clock, started: clock.Now(), retries: retryLimits{ratio: 0.2, extra: 100, window: 10 * time.Second}}
	require.Less(t, f.retryExtra(), 2.0)
	clock.Advance(9 * time.Second)
	require.Less(t, f.retryExtra(), 2.0)
	clock.Advance(time.Second)
	require.InDelta(t, 100*retrySafety, f.retryExtra(), 1e-9)
	f.entries.Store(&EntryBoxes{clock: clock, boxes: map[string]EntryBox{"a": {Heard: clock.Now()}, "b": {Heard: clock.Now()}}})
	require.InDelta(t, 100*retrySafety/3, f.retryExtra(), 1e-9)
}

// When many boxes are behind, they do not all ask the same one.
func TestBoxesThatAreBehindAskDifferentOnes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	facts, _ := newTestFacts()
	e := &EntryBoxes{clock: clock, facts: facts, boxes: make(map[string]EntryBox)}
	e.self.Region = "riga"
	for _, name := range []string{"a", "b", "c"} {
		e.boxes[name] = EntryBox{Box: member.BoxID(name), Region: "riga", Revision: 7, Heard: clock.Now()}
	}
	e.boxes["far"] = EntryBox{Box: "far", Region: "kurzeme", Revision: 9, Heard: clock.Now()}
	asked := make(map[member.BoxID]bool)
	for range 200 {
		box, ok := e.newest()
		require.True(t, ok)
		asked[box.Box] = true
	}
	require.Equal(t, map[member.BoxID]bool{"a": true, "b": true, "c": true}, asked)
}

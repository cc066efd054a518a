package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func sentAway(fingerprint Fingerprint, now time.Time, ago, left time.Duration) SentAway {
	return SentAway{Fingerprint: fingerprint, First: now.Add(-ago), Ends: now.Add(left)}
}

func TestACallerIsKnownWhereverItComesBack(t *testing.T) {
	now := time.Unix(100, 0)
	var here, there Returns
	caller := sentAway(7, now, 200*time.Millisecond, 5*time.Second)
	here.Note(caller, now)
	told, cursor := here.Since(0, RelayCell)
	there.Learn(told, RelayCell, now)
	back := now.Add(time.Second)
	for _, box := range []*Returns{&here, &there} {
		first, ok := box.First(7, caller.Ends.Add(3*time.Millisecond), back)
		require.True(t, ok)
		require.Equal(t, caller.First, first)
		_, ok = box.First(7, caller.Ends.Add(time.Second), back)
		require.False(t, ok, "another one who asks for the same waits until another moment")
		_, ok = box.First(8, caller.Ends, back)
		require.False(t, ok)
	}
	there.Note(SentAway{Fingerprint: 7, First: back, Ends: caller.Ends}, back)
	first, _ := there.First(7, caller.Ends, back.Add(time.Second))
	require.Equal(t, caller.First, first, "who is sent away twice first asked before the first time")
	told, again := here.Since(cursor, RelayCell)
	require.Empty(t, told)
	require.Equal(t, cursor, again)
	told, _ = there.Since(0, RelayCell)
	require.Len(t, told, 1, "what another box told is not told on")
}

func TestCallersAreForgottenWhenTheyStopWaiting(t *testing.T) {
	now := time.Unix(100, 0)
	var r Returns
	for i := range 3 * returnsKept {
		r.Note(sentAway(Fingerprint(i), now, 0, time.Second), now)
	}
	require.LessOrEqual(t, r.count, returnsKept)
	told, _ := r.Since(0, RelayCell)
	require.Len(t, told, returnsTold, "a box that was away is told the newest")
	now = now.Add(2 * time.Second)
	r.Note(sentAway(1, now, 0, time.Second), now)
	require.Len(t, r.callers, 1)
	require.Equal(t, 1, r.count)
}

// On a day without any refusal nine of ten requests were taken for returned ones, as each
// caller waited for a time of its own.
func TestCallersOfUnequalPatienceComeForTheFirstTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(500, 20000).Draw(t, "timeout_ms")) * time.Millisecond
		spread := rapid.Float64Range(0, 0.4).Draw(t, "spread")
		hasty := rapid.Float64Range(0, 0.4).Draw(t, "hasty")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var patience Patience
		for range 400 {
			// Some callers wait for less than others; one in five has been here before.
			remaining := time.Duration(float64(timeout) * (1 - spread*random.Float64()))
			if random.Float64() < hasty {
				remaining = remaining * 85 / 100
			}
			if random.Float64() < 0.2 {
				patience.Note(time.Duration(0.4 * random.Float64() * float64(timeout)))
				continue
			}
			if waited := patience.Waited(remaining, timeout); waited > 0 {
				t.Fatalf("one who waits for %v is taken to have waited for %v", remaining, waited)
			}
			patience.Note(remaining)
		}
		if waited := patience.Waited(timeout/10, timeout); waited == 0 {
			t.Fatal("one who has used nine tenths of its time is taken for a new one")
		}
	})
}

func TestWhoseRemainingTimeNoFirstRequestHasWasHereBefore(t *testing.T) {
	var patience Patience
	require.Zero(t, patience.Waited(4*time.Second, 6*time.Second), "not known yet")
	require.Equal(t, 4*time.Second, patience.Waited(2*time.Second, 6*time.Second), "more than half of the route's time is over")
	for i := range 100 {
		patience.Note(time.Duration(5100+9*i) * time.Millisecond)
	}
	require.Zero(t, patience.Waited(5100*time.Millisecond, 6*time.Second))
	require.InDelta(t, 3.55, patience.Waited(2*time.Second, 6*time.Second).Seconds(), 0.05, "from the median")
	// Callers that wait for a third as long from now on are first ones before long.
	for range patienceSamples {
		patience.Note(2 * time.Second)
	}
	require.Zero(t, patience.Waited(2*time.Second, 6*time.Second))
}

func BenchmarkReturns(b *testing.B) {
	now := time.Unix(100, 0)
	var r Returns
	for i := range 2000 {
		r.Learn([]SentAway{sentAway(Fingerprint(i), now, 0, time.Minute)}, RelayCell, now)
	}
	b.ReportAllocs()
	for i := range b.N {
		r.First(Fingerprint(i%4000), now.Add(time.Minute), now)
	}
}

// A box that hears of many callers of other cells remembers them itself, and tells its cell of some.
func TestOfOthersCallersSoManyAreToldOnInASecond(t *testing.T) {
	now := time.Unix(100, 0)
	ends := now.Add(time.Minute)
	var r Returns
	learn := func(from int, relay Relay) {
		for i := range 2 * relaysPerSecond {
			r.Learn([]SentAway{{Fingerprint: Fingerprint(from + i), First: now, Ends: ends}}, relay, now)
		}
	}
	learn(0, 2)
	told, cursor := r.Since(0, RelayCell)
	require.Len(t, told, relaysPerSecond)
	r.Note(sentAway(9000, now, 0, time.Minute), now)
	told, cursor = r.Since(cursor, RelayCell)
	require.Len(t, told, 1, "its own are told all the same")
	_, known := r.First(Fingerprint(2*relaysPerSecond-1), ends, now.Add(time.Second))
	require.True(t, known)
	now = now.Add(time.Second)
	learn(0, 1)
	told, cursor = r.Since(cursor, RelayCell)
	require.Empty(t, told, "what comes again is not told on again")
	learn(1000, RelayCell)
	told, cursor = r.Since(cursor, RelayCell)
	require.Empty(t, told, "a box of the cell tells all others of it itself")
	learn(2000, 2)
	told, _ = r.Since(cursor, 2)
	require.Empty(t, told, "nothing goes back on the way on which it came")
	told, _ = r.Since(cursor, 1)
	require.Len(t, told, relaysPerSecond)
}

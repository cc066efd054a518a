package route

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Guards against excluding a server for seconds because several connections to it failed in one short silence.
func TestAttemptsThatFailTogetherEjectServerOnce(t *testing.T) {
	for _, attempts := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			b := newTestDispatcher(false, modelServer("a", 8, 0))
			var sent []*Reservation
			for range attempts {
				sent = append(sent, b.acquire(t))
				b.clock.Advance(10 * time.Millisecond)
			}
			b.clock.Advance(400 * time.Millisecond)
			firstFailure := b.clock.Now()
			for _, reservation := range sent {
				reservation.Release(ResultUnreachable, b.clock.Now())
				b.clock.Advance(10 * time.Millisecond)
			}
			_, err := b.Acquire(context.Background(), b.request(), b.clock)
			require.ErrorIs(t, err, ErrNoServer)
			b.clock.Advance(serverEjectInitial - b.clock.Since(firstFailure))
			b.acquire(t).Release(ResultDone, b.clock.Now())
		})
	}
}

// Guards against sending requests to a dead server as often as to one that was unreachable once.
func TestServerThatStaysUnreachableIsEjectedForLonger(t *testing.T) {
	b := newTestDispatcher(false, modelServer("a", 8, 0))
	for _, want := range []time.Duration{serverEjectInitial, 2 * serverEjectInitial, 4 * serverEjectInitial, serverEjectMax, serverEjectMax} {
		first, second := b.acquire(t), b.acquire(t)
		b.clock.Advance(400 * time.Millisecond)
		first.Release(ResultUnreachable, b.clock.Now())
		second.Release(ResultUnreachable, b.clock.Now())
		b.clock.Advance(want - time.Millisecond)
		_, err := b.Acquire(context.Background(), b.request(), b.clock)
		require.ErrorIs(t, err, ErrNoServer)
		b.clock.Advance(time.Millisecond)
	}
}

// Guards against avoiding a box for seconds because several attempts at it failed in one short silence.
func TestAttemptsThatFailTogetherEjectBoxOnce(t *testing.T) {
	r := NewRouter("kita")
	r.Set(record("a", "kita", "v1"))
	r.Set(record("b", "kita", "v1"))
	bad, _ := r.Pick(testServiceVersion, []member.BoxID{"b"}, testTime)
	isAvoided := func(now time.Time) bool {
		for range 100 {
			if target, _ := r.Pick(testServiceVersion, nil, now); target == bad {
				return false
			}
		}
		return true
	}
	now := testTime
	for _, want := range []time.Duration{boxEjectInitial, 2 * boxEjectInitial, 4 * boxEjectInitial} {
		for range 8 {
			bad.Failed(now)
		}
		require.True(t, isAvoided(now.Add(want-time.Millisecond)), "a box that stays unreachable is avoided for longer each time")
		require.False(t, isAvoided(now.Add(want)))
		now = now.Add(want)
	}
}

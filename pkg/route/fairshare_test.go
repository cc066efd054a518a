package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an organisation with ten times its share that displaces the others: most of its requests are served after
// theirs, and few of theirs are.
func TestOnlyLargeOrganisationExceedsItsFairShare(t *testing.T) {
	var f fairShares
	random, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	var over, all [24]float64
	for range 20000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(300*time.Millisecond)))
		organisation := max(0, random.IntN(33)-9)
		all[organisation]++
		if f.exceeds(fmt.Sprint(organisation), now) {
			over[organisation]++
		}
	}
	require.InDelta(t, 0.72, over[0]/all[0], 0.15, "33/24 is the mean, twice that the share, 10 the demand")
	others, othersOver := 0.0, 0.0
	for i := range 23 {
		others, othersOver = others+all[i+1], othersOver+over[i+1]
	}
	require.Less(t, othersOver/others, 0.25)
}

// Guards against a single organisation, or equal ones, whose requests count as beyond their share.
func TestOrganisationsWithEqualDemandAreWithinTheirShares(t *testing.T) {
	for _, organisations := range []int{1, 5} {
		var f fairShares
		now := time.Unix(1000, 0)
		for i := range 1000 {
			now = now.Add(50 * time.Millisecond)
			require.False(t, f.exceeds(fmt.Sprint(i%organisations), now))
		}
	}
}

// Guards against memory that grows with the number of organisations, and that is kept after their last request.
func TestFairSharesAreBounded(t *testing.T) {
	var f fairShares
	now := time.Unix(1000, 0)
	for i := range 10 * maxFairShares {
		f.exceeds(fmt.Sprint(i), now)
	}
	require.Len(t, f.organisations, maxFairShares)
	f.exceeds("last", now.Add(10*fairShareTime))
	require.Len(t, f.organisations, 1)
}

// Guards against a request beyond its organisation's share that is served before others of its priority, or after those of
// a less urgent one.
func TestRequestsBeyondTheShareFollowOthersOfTheirPriority(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 1, 1))
	b.SetPriorityClasses(true)
	held := b.acquire(t)
	var granted []string
	for _, c := range []struct {
		name      string
		priority  int
		overShare bool
	}{{"less urgent", 1, false}, {"beyond its share", 0, true}, {"within its share", 0, false}} {
		req := b.request()
		req.Priority, req.overShare, req.startBy = c.priority, c.overShare, req.Objective
		b.enqueue(&QueuedRequest{req: req, onGranted: func(reservation *Reservation) {
			granted = append(granted, c.name)
			held = reservation
		}})
	}
	for range 3 {
		held.Release(ResultDone, b.clock.Now())
	}
	require.Equal(t, []string{"within its share", "beyond its share", "less urgent"}, granted)
}

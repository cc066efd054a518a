package direct

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Guards against a response that arrives out of order clearing or raising the limit.
func TestOutOfOrderResponsesKeepLowerRateLimit(t *testing.T) {
	base := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	rate := func(perSecond float64) fleet.RateLimit { return fleet.RateLimit{Set: true, PerSecond: perSecond} }
	none := fleet.RateLimit{}
	for name, test := range map[string]struct {
		known, observed, want observedRateLimit
	}{
		"first limit":             {observedRateLimit{}, observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{5, rate(2), at(0), at(10)}},
		"never limited":           {observedRateLimit{}, observedRateLimit{5, none, at(0), at(10)}, observedRateLimit{}},
		"later and higher":        {observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{5, rate(3), at(10), at(20)}, observedRateLimit{5, rate(3), at(10), at(20)}},
		"later and unset":         {observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{5, none, at(10), at(20)}, observedRateLimit{5, none, at(10), at(20)}},
		"overlapping and higher":  {observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{5, rate(3), at(5), at(20)}, observedRateLimit{5, rate(2), at(0), at(10)}},
		"overlapping and unset":   {observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{5, none, at(5), at(20)}, observedRateLimit{5, rate(2), at(0), at(10)}},
		"overlapping and lower":   {observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{5, rate(1), at(5), at(20)}, observedRateLimit{5, rate(1), at(5), at(20)}},
		"overlapping after unset": {observedRateLimit{5, none, at(0), at(10)}, observedRateLimit{5, rate(1), at(5), at(20)}, observedRateLimit{5, rate(1), at(5), at(20)}},
		"earlier and lower":       {observedRateLimit{5, rate(2), at(20), at(30)}, observedRateLimit{5, rate(1), at(0), at(10)}, observedRateLimit{5, rate(2), at(20), at(30)}},
		"unknown send time":       {observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{5, none, time.Time{}, at(20)}, observedRateLimit{5, rate(2), at(0), at(10)}},
		"later incarnation":       {observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{6, none, at(5), at(20)}, observedRateLimit{6, none, at(5), at(20)}},
		"earlier incarnation":     {observedRateLimit{5, rate(2), at(0), at(10)}, observedRateLimit{4, rate(1), at(15), at(20)}, observedRateLimit{5, rate(2), at(0), at(10)}},
	} {
		t.Run(name, func(t *testing.T) {
			limits := newRateLimits()
			if test.known.received != (time.Time{}) {
				limits.byServer["a"] = &rateLimit{observedRateLimit: test.known, changed: at(-1000)}
			}
			changed := limits.record("a", test.observed, "request 1")
			var kept observedRateLimit
			if known := limits.byServer["a"]; known != nil {
				kept = known.observedRateLimit
			}
			require.Equal(t, test.want, kept)
			require.Equal(t, test.want.limit != test.known.limit, changed)
		})
	}
}

// Guards against a limit that is not stored, or that outlives a response without one from a later incarnation.
func TestRateLimitIsStoredAndCleared(t *testing.T) {
	state := newDeparturesState()
	state.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	state.ObserveRateLimit("a", 5, fleet.RateLimit{Set: true, PerSecond: 2}, state.clock.Now(), "request 1")
	require.Equal(t, 2.0, state.rateLimits.byServer["a"].limit.PerSecond)
	state.ObserveRateLimit("a", member.Incarnation(6), fleet.RateLimit{}, state.clock.Now(), "request 2")
	require.False(t, state.rateLimits.byServer["a"].limit.Set)
}

// rateLimitsByServer returns the rate limits in the view of the servers.
func rateLimitsByServer(state *FleetState) map[fleet.ServerID]fleet.RateLimit {
	limits := make(map[fleet.ServerID]fleet.RateLimit)
	for _, server := range state.View().Servers("llm") {
		limits[server.ID] = server.Limit
	}
	return limits
}

// Guards against a box ignoring a rate limit because it has received no response from the server itself.
func TestRateLimitsAreMergedFromOtherBoxes(t *testing.T) {
	one, other := newDeparturesState(), newDeparturesState()
	for _, state := range []*FleetState{one, other} {
		state.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	}
	limit := fleet.RateLimit{Set: true, PerSecond: 2}
	require.True(t, one.ObserveRateLimit("a", 5, limit, one.clock.Now(), "request 1"))
	changed, seq := one.RateLimitsSince(0)
	other.MergeRateLimits(changed, "entry-1")
	require.Equal(t, limit, rateLimitsByServer(other)["a"])
	changed, _ = one.RateLimitsSince(seq)
	require.Empty(t, changed)

	changed, _ = other.RateLimitsSince(0)
	require.Len(t, changed, 1, "limits merged from a box are reported to others")

	other.MergeRateLimits([]*wire.RateLimit{
		{Server: "a", Incarnation: 5, Limited: true, PerSecond: math.NaN()},
		{Server: "a", Incarnation: 5, Limited: true, PerSecond: -1},
		{Server: "a", Incarnation: 5, Limited: true, PerSecond: math.Inf(1)},
	}, "entry-1")
	require.Equal(t, limit, rateLimitsByServer(other)["a"])
}

// Guards against a limit that is cleared by an update of the server's entry or kept for an incarnation that
// started after it.
func TestRateLimitAppliesToOneIncarnation(t *testing.T) {
	state := newDeparturesState()
	limit := fleet.RateLimit{Set: true, PerSecond: 2}
	state.ObserveRateLimit("a", 5, limit, state.clock.Now(), "request 1")
	state.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	require.Equal(t, limit, rateLimitsByServer(state)["a"], "the limit arrived before the entry")
	state.Apply([]fleet.Fact{deletedAt(7), listedIncarnation(5, 8)}, "store")
	require.Equal(t, limit, rateLimitsByServer(state)["a"])
	state.MergeAgentReport("10.0.0.1:8000", member.Incarnation(state.clock.Now().UnixMilli()), false, "agent")
	require.False(t, rateLimitsByServer(state)["a"].Set)
}

// Guards against ignoring the limit of a restarted server that equals the one before its restart.
func TestEqualRateLimitAppliesAfterRestart(t *testing.T) {
	state := newDeparturesState()
	limit := fleet.RateLimit{Set: true, PerSecond: 2}
	state.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	require.True(t, state.ObserveRateLimit("a", 5, limit, state.clock.Now(), "request 1"))
	restarted := member.Incarnation(state.clock.Now().UnixMilli())
	state.Apply([]fleet.Fact{deletedAt(7), listedIncarnation(restarted, 8)}, "store")
	require.False(t, rateLimitsByServer(state)["a"].Set)
	_, before := state.RateLimitsSince(0)
	require.True(t, state.ObserveRateLimit("a", restarted, limit, state.clock.Now(), "request 2"))
	require.Equal(t, limit, rateLimitsByServer(state)["a"])
	reported, _ := state.RateLimitsSince(before)
	require.Len(t, reported, 1, "other boxes receive it, too")
	require.False(t, state.ObserveRateLimit("a", restarted, limit, state.clock.Now(), "request 3"))
}

// Guards against rebuilding the view of all servers for each response of a server whose limit changes
// constantly.
func TestRateLimitIsLoweredAtOnceAndRaisedAfterDelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := NewFleetState(clock, zerolog.Nop(), NewMetrics())
	state.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	observe := func(perSecond float64) bool {
		clock.Advance(10 * time.Millisecond)
		return state.ObserveRateLimit("a", 5, fleet.RateLimit{Set: true, PerSecond: perSecond}, clock.Now(), "request")
	}
	changes := 0
	for i := range 200 {
		if observe(10 + float64(i%2)*5) {
			changes++
		}
	}
	require.LessOrEqual(t, changes, 5, "in two seconds")
	clock.Advance(limitRaiseDelay)
	observe(10)
	require.True(t, observe(5))
	require.False(t, observe(5.05), "within limitTolerance")
	require.False(t, observe(10))
	clock.Advance(limitRaiseDelay)
	require.True(t, observe(10))
	clock.Advance(limitRaiseDelay)
	require.True(t, state.ObserveRateLimit("a", 5, fleet.RateLimit{}, clock.Now(), "request"))
	require.False(t, rateLimitsByServer(state)["a"].Set)
}

// Guards against unbounded growth through servers that are no longer listed.
func TestRateLimitsOfUnlistedServersAreBounded(t *testing.T) {
	state := newDeparturesState()
	state.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	limit := fleet.RateLimit{Set: true, PerSecond: 2}
	state.ObserveRateLimit("a", 5, limit, state.clock.Now(), "request 1")
	for i := range 5 * maxRateLimits {
		state.ObserveRateLimit(fleet.ServerID(fmt.Sprintf("gone-%d", i)), 1, limit, state.clock.Now(), "request 2")
	}
	require.LessOrEqual(t, len(state.rateLimits.byServer), maxRateLimits+1)
	require.Equal(t, limit, rateLimitsByServer(state)["a"])
}

// Guards against clearing the limit of a server whose current incarnation is listed only after the response
// with the limit.
func TestRateLimitAppliesToIncarnationRunningAtResponse(t *testing.T) {
	for name, test := range map[string]struct {
		startedBefore time.Duration
		limited       bool
	}{
		"started 2.1 s before the response": {2100 * time.Millisecond, true},
		"started 1.9 s before the response": {1900 * time.Millisecond, false},
		"started after the response":        {-100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			state := newDeparturesState()
			state.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
			state.ObserveRateLimit("a", 5, fleet.RateLimit{Set: true, PerSecond: 2}, state.clock.Now(), "request 1")
			state.Apply([]fleet.Fact{listedIncarnation(member.Incarnation(state.clock.Now().Add(-test.startedBefore).UnixMilli()), 7)}, "store")
			require.Equal(t, test.limited, rateLimitsByServer(state)["a"].Set)
			late := fleet.RateLimit{Set: true, PerSecond: 1}
			require.False(t, state.ObserveRateLimit("a", 5, late, state.clock.Now(), "request 2"), "late response of an earlier incarnation")
		})
	}
}

package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Guards against an answer that arrives out of order clearing or raising the limit.
func TestOutOfOrderAnswersKeepTheLowerRateLimit(t *testing.T) {
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
			limits := make(rateLimits)
			if test.known.heard != (time.Time{}) {
				limits["a"] = test.known
			}
			changed := limits.take("a", test.observed)
			require.Equal(t, test.want, limits["a"])
			require.Equal(t, test.want.limit != test.known.limit, changed)
		})
	}
}

// Guards against a limit that is not stored, or that outlives an answer without one from a later incarnation.
func TestARateLimitIsStoredAndCleared(t *testing.T) {
	facts := newDeparturesFacts()
	facts.Apply([]fleet.Fact{startListed(5, 6)}, "store")
	facts.HearRateLimit("a", 5, fleet.RateLimit{Set: true, PerSecond: 2}, facts.clock.Now(), "request 1")
	require.Equal(t, 2.0, facts.rateLimits["a"].limit.PerSecond)
	facts.HearRateLimit("a", member.Incarnation(6), fleet.RateLimit{}, facts.clock.Now(), "request 2")
	require.False(t, facts.rateLimits["a"].limit.Set)
}

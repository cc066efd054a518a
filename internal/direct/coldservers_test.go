package direct

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// coldFleet is the state of a fleet with one server of a service with a cold rate.
type coldFleet struct {
	*FleetState
	clock *clockwork.FakeClock
}

const coldRate = 20

func newColdFleet() *coldFleet {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	w := &coldFleet{NewFleetState(clock, zerolog.Nop(), NewMetrics()), clock}
	w.coldAllowance = route.ColdAllowance{Factor: 1.5, Extra: 5}
	w.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{
		Version: 1, Services: []fleet.Service{{Name: "llm", ColdRate: coldRate, ColdTime: 3 * time.Second}},
	}}}, "store")
	return w
}

// list applies an entry of the server.
func (w *coldFleet) list(revision fleet.Revision, incarnation member.Incarnation, coldFor time.Duration) {
	w.Apply([]fleet.Fact{{Key: fleet.ServerKey("a"), Revision: revision, Server: &fleet.Server{
		ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "hall-a", Slots: 4, Incarnation: incarnation, ColdFor: coldFor,
	}}}, "store")
}

func (w *coldFleet) server() fleet.Server { return w.View().Servers("llm")[0] }

func (w *coldFleet) started(ago time.Duration) member.Incarnation {
	return member.Incarnation(w.clock.Now().Add(-ago).UnixMilli())
}

func TestColdServerIsLimitedUntilItsTimeEnds(t *testing.T) {
	w := newColdFleet()
	w.list(2, w.started(0), 3*time.Second)
	require.True(t, w.server().Cold)
	require.Equal(t, fleet.RateLimit{Set: true, PerSecond: coldRate, Burst: 7.5}, w.server().Limit)
	w.clock.Advance(3 * time.Second)
	require.Eventually(t, func() bool { return !w.server().Cold }, time.Second, time.Millisecond)
	require.Equal(t, fleet.RateLimit{}, w.server().Limit)
}

// A server may become cold at any moment, and states it in responses before its entry changes.
func TestEarliestStatementOfColdServerApplies(t *testing.T) {
	w := newColdFleet()
	incarnation := w.started(time.Minute)
	w.list(2, incarnation, 0)
	require.False(t, w.server().Cold)
	w.ObserveCold("a", incarnation, 2*time.Second, "request r-1")
	require.True(t, w.server().Cold)
	w.list(3, incarnation, 0)
	require.True(t, w.server().Cold, "the entry was written before the response")
	w.list(4, incarnation, 4*time.Second)
	w.clock.Advance(3 * time.Second)
	require.True(t, w.server().Cold)
	w.clock.Advance(time.Second)
	require.Eventually(t, func() bool { return !w.server().Cold }, time.Second, time.Millisecond)
}

func TestColdTimeAppliesToOneIncarnation(t *testing.T) {
	w := newColdFleet()
	before := w.started(time.Minute)
	w.list(2, before, 30*time.Second)
	w.list(3, w.started(10*time.Second), 0)
	require.False(t, w.server().Cold)
	w.ObserveCold("a", before, 2*time.Second, "request r-1")
	require.False(t, w.server().Cold)
}

// Guards against sending as many requests as usual to a server that has restarted and whose entry is not yet updated.
func TestServerIsAssumedColdAfterUnlistedStart(t *testing.T) {
	w := newColdFleet()
	w.list(2, w.started(time.Minute), 0)
	w.MergeAgentReport("10.0.0.1:1", w.started(time.Second), false, "agent")
	require.True(t, w.server().Cold)
	w.clock.Advance(2 * time.Second)
	require.Eventually(t, func() bool { return !w.server().Cold }, time.Second, time.Millisecond)
	w.MergeAgentReport("10.0.0.1:1", w.started(2*time.Millisecond), false, "agent")
	require.True(t, w.server().Cold)
	w.list(3, w.started(2*time.Millisecond), 0)
	require.True(t, w.server().Cold, "an entry does not shorten the time")
}

// The limit that a server advertises applies as well, and the lower one counts.
func TestLowerOfColdAndAdvertisedLimitApplies(t *testing.T) {
	w := newColdFleet()
	incarnation := w.started(time.Minute)
	w.list(2, incarnation, 3*time.Second)
	w.ObserveRateLimit("a", incarnation, fleet.RateLimit{Set: true, PerSecond: 5}, time.Time{}, "request r-1")
	require.InDelta(t, 5, w.server().Limit.PerSecond, 0)
	w.clock.Advance(1100 * time.Millisecond)
	w.ObserveRateLimit("a", incarnation, fleet.RateLimit{Set: true, PerSecond: 50}, w.clock.Now(), "request r-2")
	require.InDelta(t, coldRate, w.server().Limit.PerSecond, 0)
}

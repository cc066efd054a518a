package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// newRetryServer returns the caller server of a box whose membership has two other boxes. It has just started.
func newRetryServer(t *testing.T, others ...member.Record) (s *CallerServer, advance func(time.Duration)) {
	state, clock := newTestFleetState()
	s = newTestCallerServer(state)
	s.started, s.retries = clock.Now(), route.RetryLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}
	s.retryShares = route.NewRetryShares(s.retries.Window)
	members := newTestMembership(clock, "self")
	members.Merge(recordItems(t, others...), "a")
	s.entries.Store(&EntryBoxes{membership: members, clock: clock, self: members.Own(), seeds: []string{"self", "a", "b"}})
	return s, func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			s.updateRetryAllowance(clock.Now())
			clock.Advance(100 * time.Millisecond)
		}
		s.updateRetryAllowance(clock.Now())
	}
}

// otherBox returns the record of another box.
func otherBox(name member.BoxID, claim uint32) member.Record {
	return member.Record{Box: name, Peers: member.Address(name), FailureDomain: "hall", Status: member.StatusUp, RetryClaim: claim}
}

// After a power failure all boxes start at once. None of them knows the others yet, and retries from before the
// start still count, so each box may use only a small share of the retries.
func TestNewBoxUsesSmallShareOfRetries(t *testing.T) {
	s, advance := newRetryServer(t)
	for range 9 {
		advance(time.Second)
		require.Less(t, s.allowance().Share, 2.0)
		require.Less(t, s.allowance().AtStart, 2.0)
	}
	s, advance = newRetryServer(t, otherBox("a", 0), otherBox("b", 0))
	advance(13 * time.Second)
	require.InDelta(t, 100*0.95/3*0.9, s.allowance().Share, 1e-3)
	require.Less(t, s.allowance().AtStart, 100*0.95/3*0.1+1e-3, "until it has run for a window")
	own := s.entries.Load().membership.Own()
	require.InDelta(t, float64(route.RetryShareUnit)*0.95/3, float64(own.RetryClaim), 1, "the others are told of the claim")
}

func TestBoxDoesNotTakeSharesThatOthersClaim(t *testing.T) {
	s, advance := newRetryServer(t, otherBox("a", uint32(route.RetryShareUnit)*45/100), otherBox("b", uint32(route.RetryShareUnit)*45/100))
	advance(30 * time.Second)
	require.Zero(t, s.entries.Load().membership.Own().RetryClaim)
	require.Less(t, s.allowance().Share, 1.0)
}

func TestBoxKnowsTheFleet(t *testing.T) {
	for name, test := range map[string]struct {
		others  []member.Record
		domains []member.FailureDomain
		after   time.Duration
		want    bool
	}{
		"alone":                       {nil, nil, 30 * time.Second, false},
		"alone for long":              {nil, nil, time.Minute, true},
		"a seed address is missing":   {[]member.Record{otherBox("a", 0)}, nil, 30 * time.Second, false},
		"all seed addresses":          {[]member.Record{otherBox("a", 0), otherBox("b", 0)}, []member.FailureDomain{"hall"}, 0, true},
		"a failure domain is missing": {[]member.Record{otherBox("a", 0), otherBox("b", 0)}, []member.FailureDomain{"yard"}, 0, false},
		"a failure domain without boxes": {
			[]member.Record{otherBox("a", 0), otherBox("b", 0)}, []member.FailureDomain{"yard"}, 13 * time.Second, true,
		},
		"a box that has been told of all that are": {[]member.Record{otherBox("c", 7)}, []member.FailureDomain{"yard"}, 0, true},
	} {
		s, advance := newRetryServer(t, test.others...)
		advance(test.after)
		e := s.entries.Load()
		e.domains = test.domains
		require.Equal(t, test.want, e.knowsFleet(s.started, s.retries.StartTime()), name)
	}
}

// A box that can't be reached keeps its share, and uses it.
func TestSilentBoxKeepsItsShareOfRetries(t *testing.T) {
	for status, expiry := range map[member.Status]time.Duration{member.StatusUp: 2 * time.Hour, member.StatusLeaving: time.Minute} {
		_, clock := newTestFleetState()
		m := newTestMembership(clock, "self")
		record := otherBox("a", 7)
		record.Status = status
		m.Merge(recordItems(t, record), "a")
		m.MarkSilent("a")
		expire := func(wait time.Duration) []route.RetryShare {
			clock.Advance(wait)
			m.Expire()
			return m.RetryClaims()
		}
		require.Equal(t, []route.RetryShare{7}, expire(silentExpiry))
		require.Len(t, m.All(), 1)
		require.Equal(t, []route.RetryShare{7}, expire(expiry-silentExpiry-time.Second), status)
		started := newTestMembership(clock, "b")
		started.MergeRetired(m.retiredToWire())
		require.Equal(t, []route.RetryShare{7}, started.RetryClaims(), "a box that starts later")
		require.Empty(t, expire(time.Second), status)
		clock.Advance(time.Second)
		started.Expire()
		require.Empty(t, started.RetryClaims())
	}
}

func TestRetiredBoxThatIsHeardAgainIsCountedOnce(t *testing.T) {
	_, clock := newTestFleetState()
	m, other := newTestMembership(clock, "self"), newTestMembership(clock, "b")
	m.Merge(recordItems(t, otherBox("a", 7)), "a")
	m.MarkSilent("a")
	clock.Advance(silentExpiry)
	m.Expire()
	other.Merge(recordItems(t, otherBox("a", 9)), "a")
	other.MergeRetired(m.retiredToWire())
	require.Equal(t, []route.RetryShare{9}, other.RetryClaims())
	heard := otherBox("a", 8)
	heard.Incarnation = 1
	m.Merge(recordItems(t, heard), "a")
	require.Equal(t, []route.RetryShare{8}, m.RetryClaims())
}

// Of a silent attempt and a hedge, either may be the first to arrive, so the retry counts until both have.
func TestRetryCountsUntilEveryAttemptHasArrivedOrEnded(t *testing.T) {
	const window = 10 * time.Second
	for name, finish := range map[string]func(g *attemptGroup, first *attempt, now time.Time){
		"arrived": func(g *attemptGroup, first *attempt, now time.Time) { g.noteArrived(first, now) },
		"ended":   func(g *attemptGroup, first *attempt, now time.Time) { g.end(first, outcomeUnknown, nil, now) },
	} {
		now := time.Unix(1000, 0)
		budget := route.NewWindowRetryBudget(route.RetryLimits{Window: window}, now.Add(-time.Minute))
		take := func() *route.Retry {
			retry, _ := budget.TakeRetry(route.RetryAllowance{Share: 1}, route.RetryStarted, now)
			return retry
		}
		x := &exchange{}
		first := x.begin(t.Context(), &route.Reservation{}, nil, now)
		hedge := x.begin(t.Context(), &route.Reservation{}, take(), now)
		x.group.noteArrived(hedge, now)
		now = now.Add(2 * window)
		require.Nil(t, take(), name)
		finish(&x.group, first, now)
		now = now.Add(window - time.Second)
		require.Nil(t, take(), name)
		now = now.Add(2 * time.Second)
		require.NotNil(t, take(), name)
	}
}

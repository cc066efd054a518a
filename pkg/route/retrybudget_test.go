package route

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// retryLog holds the requests for a service and the arrivals beyond the first of each request, by when they happened.
type retryLog struct {
	requests, retries []time.Duration
}

// excess returns the largest number of retries above those allowed in a window: the ratio of the requests in the window, in
// the window before it or half a window before it, whichever holds the most, and the extra ones.
func (l *retryLog) excess(limits RetryLimits) float64 {
	slices.Sort(l.requests)
	slices.Sort(l.retries)
	count := func(events []time.Duration, from time.Duration) int {
		first, _ := slices.BinarySearch(events, from+1)
		last, _ := slices.BinarySearch(events, from+limits.Window+1)
		return last - first
	}
	excess := 0.0
	for _, at := range l.retries {
		for _, from := range []time.Duration{at - 1, at - limits.Window} {
			requests := max(count(l.requests, from), count(l.requests, from-limits.Window/2), count(l.requests, from-limits.Window))
			excess = max(excess, float64(count(l.retries, from))-limits.Ratio*float64(requests)-limits.Extra)
		}
	}
	return excess
}

func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits, log := RetryLimits{0.2, 3, 10 * time.Second}, retryLog{}
		start := time.Unix(1000, 0)
		budget := NewWindowRetryBudget(limits, start)
		at := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "retry") {
				if retry, _ := budget.TakeRetry(RetryAllowance{Share: 3}, RetryStarted, start.Add(at)); retry != nil {
					retry.Settle(start.Add(at))
					log.retries = append(log.retries, at)
				}
			} else {
				budget.RecordRequest(start.Add(at))
				log.requests = append(log.requests, at)
			}
		}
		if excess := log.excess(limits); excess > 0 {
			t.Fatalf("%.1f retries too many in a window", excess)
		}
	})
}

// retryBudgetAt returns a budget that may use its whole share, and the time now.
func retryBudgetAt(ratio float64) (*WindowRetryBudget, time.Time) {
	start := time.Unix(1000, 0)
	limits := RetryLimits{Ratio: ratio, Window: 10 * time.Second}
	return NewWindowRetryBudget(limits, start), start.Add(limits.StartTime())
}

// takeRetries takes as many retries as there are and returns them.
func takeRetries(b *WindowRetryBudget, share float64, priority RetryPriority, now time.Time) (taken []*Retry) {
	for {
		retry, _ := b.TakeRetry(RetryAllowance{Share: share}, priority, now)
		if retry == nil {
			return taken
		}
		taken = append(taken, retry)
	}
}

func TestRetryCountsFromWhenItIsTakenUntilItHasArrived(t *testing.T) {
	budget, now := retryBudgetAt(0)
	taken := takeRetries(budget, 2, RetryStarted, now)
	require.Len(t, taken, 2)
	now = now.Add(15 * time.Second)
	require.Empty(t, takeRetries(budget, 2, RetryStarted, now), "neither has arrived")
	taken[0].Settle(now)
	taken[1].Cancel(now)
	require.Len(t, takeRetries(budget, 2, RetryStarted, now), 1, "one was not sent")
	now = now.Add(10*time.Second - 1)
	require.Empty(t, takeRetries(budget, 2, RetryStarted, now))
	now = now.Add(time.Second)
	require.Len(t, takeRetries(budget, 2, RetryStarted, now), 1, "the settled one was a window ago")
}

func TestEndedRetryIsNotCountedTwice(t *testing.T) {
	budget, now := retryBudgetAt(0)
	taken := takeRetries(budget, 2, RetryStarted, now)
	taken[0].Cancel(now)
	taken[0].Cancel(now)
	taken[0].Settle(now)
	require.Len(t, takeRetries(budget, 2, RetryStarted, now), 1)
	var none *Retry
	none.Settle(now)
	none.Cancel(now)
}

func TestProcessThatHasJustStartedUsesOnlyTheRatioOfItsRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	budget := NewWindowRetryBudget(RetryLimits{Ratio: 0.2, Window: 10 * time.Second}, start)
	take := func(now time.Time) bool {
		retry, _ := budget.TakeRetry(RetryAllowance{Share: 10, AtStart: 1}, RetryStarted, now)
		return retry != nil
	}
	require.True(t, take(start), "what it may use at its start")
	require.False(t, take(start))
	for range 20 {
		budget.RecordRequest(start.Add(time.Second))
	}
	require.True(t, take(start.Add(time.Second)))
	require.True(t, take(start.Add(time.Second)))
	require.True(t, take(start.Add(time.Second)))
	require.False(t, take(start.Add(time.Second)))
	require.True(t, take(start.Add(13*time.Second)), "the share, once the process before can have used none of it in a window")
}

func TestScarceRetriesGoToStartedResponsesFirst(t *testing.T) {
	for priority, want := range map[RetryPriority]int{RetryStarted: 20, RetryFailed: 18, RetrySilent: 14, RetrySuspect: 10} {
		budget, now := retryBudgetAt(0)
		require.Len(t, takeRetries(budget, 20, priority, now), want)
		require.Len(t, takeRetries(budget, 20, RetryStarted, now), 20-want)
	}
}

func TestWaitingRetryPrecedesLaterOnes(t *testing.T) {
	budget, now := retryBudgetAt(0.2)
	take := func(priority RetryPriority) bool {
		retry, _ := budget.TakeRetry(RetryAllowance{}, priority, now)
		return retry != nil
	}
	request := func(count int) {
		for range count {
			budget.RecordRequest(now)
		}
	}
	request(1)
	require.False(t, take(RetryFailed))
	first, second, third := budget.AddWaiting(), budget.AddWaiting(), budget.AddWaiting()
	takeWaiting := func(ticket RetryTicket) bool {
		retry, _ := budget.TakeWaiting(ticket, RetryAllowance{}, RetryFailed, now)
		return retry != nil
	}
	request(19)
	require.False(t, take(RetryFailed), "others wait")
	require.False(t, takeWaiting(second), "the first one waits")
	require.True(t, takeWaiting(first))
	budget.RemoveWaiting(second)
	request(20)
	require.True(t, takeWaiting(third), "the second one has left")
	request(20)
	require.True(t, take(RetryFailed), "none waits")
	budget.AddWaiting()
	request(20)
	require.True(t, take(RetryStarted), "a started response does not queue")
}

// Guards against retries that wait while most are denied, and against denying all for a moment because one was denied.
func TestRetriesWaitUnlessMoreAreDeniedThanTaken(t *testing.T) {
	budget, now := retryBudgetAt(0.2)
	require.True(t, budget.MayWait(now))
	for range 20 {
		budget.RecordRequest(now)
	}
	taken := takeRetries(budget, 0, RetryFailed, now)
	require.NotEmpty(t, taken)
	for range taken {
		budget.DenyRetry(now)
	}
	require.True(t, budget.MayWait(now))
	budget.DenyRetry(now)
	require.False(t, budget.MayWait(now))
	require.True(t, budget.MayWait(now.Add(scarcityBuckets*budget.bucketTime)))
}

func TestRetryDelayIsTimeOfMissingRequests(t *testing.T) {
	budget, now := retryBudgetAt(0.2)
	_, delay := budget.TakeRetry(RetryAllowance{}, RetryFailed, now)
	require.Equal(t, 10*time.Second, delay, "no requests")
	for i := range 2 {
		budget.RecordRequest(now.Add(time.Duration(i) * time.Second))
	}
	_, delay = budget.TakeRetry(RetryAllowance{}, RetryFailed, now.Add(time.Second))
	require.InDelta(t, 10*time.Second, delay, float64(time.Millisecond), "14 requests of two in a window")
	for range 98 {
		budget.RecordRequest(now.Add(time.Second))
	}
	for range len(takeRetries(budget, 0, RetryFailed, now.Add(time.Second))) {
		continue
	}
	_, delay = budget.TakeRetry(RetryAllowance{}, RetryFailed, now.Add(time.Second))
	require.Less(t, delay, 700*time.Millisecond)
}

func TestRequestsAllowRetriesInTheirWindowAndTheNextOne(t *testing.T) {
	takeAfter := func(wait time.Duration, share float64) int {
		budget, now := retryBudgetAt(0.2)
		for range 100 {
			budget.RecordRequest(now)
		}
		return len(takeRetries(budget, share, RetryStarted, now.Add(wait)))
	}
	require.Equal(t, 5, takeAfter(9*time.Second, 0), "a window that starts after the requests")
	require.Zero(t, takeAfter(11*time.Second, 0))
	budget, now := retryBudgetAt(0.2)
	taken := takeRetries(budget, 20, RetryStarted, now)
	require.Len(t, taken, 20)
	for _, retry := range taken {
		retry.Settle(now)
	}
	for range 100 {
		budget.RecordRequest(now.Add(time.Second))
	}
	require.Len(t, takeRetries(budget, 20, RetryStarted, now.Add(time.Second)), 15, "the window holds the requests and all others")
}

// shareBox is a box of a model in which boxes exchange their claims late, or not at all.
type shareBox struct {
	up, frozen  bool
	incarnation int
	part        int
	start       time.Time
	budget      *WindowRetryBudget
	shares      *RetryShares
	claim       RetryShare
	// known maps the other boxes to their claims.
	known map[int]RetryShare
	// cutUntil is when the retries arrive that the box sends now, if that is later. endedAt is when its last process ended;
	// what that one has sent arrives within lateArrivalTime.
	cutUntil, endedAt time.Duration
}

// shareModel is some boxes that repeat the requests of failing servers.
type shareModel struct {
	random  *rand.Rand
	limits  RetryLimits
	boxes   []*shareBox
	initial int
	log     retryLog
	events  map[time.Duration][]func()
	epoch   time.Time
}

const (
	shareStep = 100 * time.Millisecond
	// maxClaimDelay is how late a claim may reach another box.
	maxClaimDelay = time.Second
)

func newShareModel(seed uint64, initial, joining int, limits RetryLimits) *shareModel {
	m := &shareModel{
		random: rand.New(rand.NewPCG(seed, 3)), limits: limits, initial: initial, events: make(map[time.Duration][]func()), epoch: time.Unix(1000, 0), //nolint:gosec // repeatable on purpose
	}
	for range initial + joining {
		m.boxes = append(m.boxes, &shareBox{})
	}
	for i := range initial {
		m.startBox(i, 0)
	}
	return m
}

func (m *shareModel) startBox(i int, at time.Duration) {
	b := m.boxes[i]
	b.up, b.frozen, b.start, b.claim, b.known = true, false, m.epoch.Add(at), 0, make(map[int]RetryShare)
	b.budget, b.shares = NewWindowRetryBudget(m.limits, b.start), NewRetryShares(m.limits.Window)
}

// roundUp returns a time rounded up to a whole step.
func roundUp(at time.Duration) time.Duration { return (at + shareStep - 1) / shareStep * shareStep }

// at schedules a call at a time, rounded up to a whole step.
func (m *shareModel) at(when time.Duration, run func()) {
	when = roundUp(when)
	m.events[when] = append(m.events[when], run)
}

func (m *shareModel) randomTime(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// exchange sends the claim of a box, and those that it knows, to the boxes of its part of the network.
func (m *shareModel) exchange(i int, at time.Duration) {
	b := m.boxes[i]
	told := map[int]RetryShare{i: b.claim}
	for j, claim := range b.known {
		told[j] = claim
	}
	for j, other := range m.boxes {
		if j == i || other.part != b.part {
			continue
		}
		incarnation := other.incarnation
		m.at(at+shareStep+m.randomTime(maxClaimDelay), func() {
			if !other.up || other.frozen || other.incarnation != incarnation || other.part != b.part {
				return
			}
			for k, claim := range told {
				if _, known := other.known[k]; k != j && (k == i || !known) {
					other.known[k] = claim
				}
			}
		})
	}
}

// update applies what a box knows. It knows all others once another one claims a share, or once it knows all that started
// with it.
func (m *shareModel) update(i int, at time.Duration) {
	b := m.boxes[i]
	isComplete, claims := at-b.start.Sub(m.epoch) >= time.Minute || i < m.initial && len(b.known) >= m.initial-1, make([]RetryShare, 0, len(b.known))
	for _, claim := range b.known {
		claims = append(claims, claim)
		isComplete = isComplete || claim > 0
	}
	b.claim = b.shares.Update(claims, 0, isComplete, m.epoch.Add(at))
}

// serve lets a box receive requests, of which some fail and are repeated.
func (m *shareModel) serve(i, requests int, failing float64, at time.Duration) {
	b := m.boxes[i]
	for range requests {
		m.log.requests = append(m.log.requests, at)
		b.budget.RecordRequest(m.epoch.Add(at))
		if m.random.Float64() >= failing {
			continue
		}
		retry, _ := b.budget.TakeRetry(b.shares.Allowance(m.limits.Extra), RetryPriority(m.random.IntN(8)/5), m.epoch.Add(at))
		if retry == nil {
			continue
		}
		arrives, incarnation := max(at+m.randomTime(shareStep), b.cutUntil), b.incarnation
		m.at(arrives, func() {
			if b.incarnation == incarnation || arrives-b.endedAt < lateArrivalTime {
				m.log.retries = append(m.log.retries, arrives)
			}
		})
		settles := roundUp(arrives + m.randomTime(2*shareStep))
		m.at(settles, func() {
			if b.incarnation == incarnation {
				retry.Settle(m.epoch.Add(settles))
			}
		})
	}
}

// disturb injects a fault: a kill, a freeze, a cut between boxes or one between boxes and servers.
func (m *shareModel) disturb(at time.Duration) {
	span, share, fault := m.randomTime(25*time.Second), []float64{0.3, 0.7, 1}[m.random.IntN(3)], m.random.IntN(4)
	for i, b := range m.boxes {
		if !b.up || m.random.Float64() > share {
			continue
		}
		incarnation := b.incarnation
		switch fault {
		case 0:
			b.up, b.endedAt = false, at
			b.incarnation++
			restart := roundUp(at + shareStep + span/8)
			m.at(restart, func() { m.startBox(i, restart) })
		case 1:
			b.frozen = true
			m.at(at+span/4, func() {
				if b.incarnation == incarnation {
					b.frozen = false
				}
			})
		case 2:
			b.part = m.random.IntN(3)
			m.at(at+span, func() { b.part = 0 })
		case 3:
			b.cutUntil = at + span/4
		}
	}
}

func (m *shareModel) run(duration time.Duration, failing float64) {
	level := 0.0
	for at := time.Duration(0); at < duration; at += shareStep {
		for _, event := range m.events[at] {
			event()
		}
		delete(m.events, at)
		if at > 11*time.Second && m.random.Float64() < 0.04 {
			m.disturb(at)
		}
		if m.random.Float64() < 0.05 {
			level = failing * float64(m.random.IntN(2))
		}
		for i, b := range m.boxes {
			if !b.up || b.frozen {
				continue
			}
			m.update(i, at)
			m.exchange(i, at)
			m.serve(i, m.random.IntN(6), level, at)
		}
	}
}

// The retries of all boxes together hold in every window, however late boxes know of each other and whatever dies, stands
// still, joins or is cut off.
func TestRetriesOfSeveralBoxesHoldInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.IntRange(1, 8).Draw(t, "boxes")
		limits := RetryLimits{0.2, rapid.Float64Range(0, 120).Draw(t, "extra"), 10 * time.Second}
		m := newShareModel(rapid.Uint64().Draw(t, "seed"), boxes, rapid.IntRange(0, boxes).Draw(t, "joining"), limits)
		joining := 12*time.Second + roundUp(m.randomTime(30*time.Second))
		for i := boxes; i < len(m.boxes); i++ {
			at := joining + roundUp(m.randomTime(time.Second))
			m.at(at, func() { m.startBox(i, at) })
		}
		m.run(60*time.Second, rapid.Float64Range(0.3, 1).Draw(t, "failing"))
		if excess := m.log.excess(limits); excess > 0 {
			t.Fatalf("%.1f retries too many in a window, of %d retries", excess, len(m.log.retries))
		}
	})
}

func TestClaimsAddUpToAllRetries(t *testing.T) {
	now, shares := time.Unix(1000, 0), make([]*RetryShares, 5)
	claims := make([]RetryShare, len(shares))
	for i := range shares {
		shares[i] = NewRetryShares(10 * time.Second)
	}
	run := func(boxes int, duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for i := range boxes {
				claims[i] = shares[i].Update(slices.Concat(claims[:i], claims[i+1:boxes]), 0, true, now)
			}
			sum := RetryShare(0)
			for _, claim := range claims {
				sum += claim
			}
			require.LessOrEqual(t, sum, sharedRetries)
		}
	}
	run(4, 3*time.Second)
	require.Equal(t, sharedRetries/4, claims[0])
	require.InDelta(t, 100*0.95/4*0.9, shares[0].Allowance(100).Share, 1e-3)
	run(5, time.Second)
	require.Equal(t, sharedRetries/5, shares[0].usable, "lowered at once")
	require.Equal(t, sharedRetries/4, claims[0], "what was used counts for a window")
	require.Zero(t, claims[4])
	run(5, 13*time.Second)
	require.Equal(t, sharedRetries/5, claims[0])
	require.Equal(t, sharedRetries/5, claims[4])
}

func TestBoxThatDoesNotKnowTheFleetClaimsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewRetryShares(10 * time.Second)
	require.Zero(t, s.Update(nil, 0, false, now))
	require.Zero(t, s.Update(nil, 0, false, now.Add(time.Minute)))
	require.InDelta(t, 0.1*160/16, s.Allowance(160).Share, 1e-9)
	s.Update(nil, 0, true, now.Add(time.Minute))
	require.Equal(t, sharedRetries, s.Update(nil, 0, false, now.Add(63*time.Second)))
}

func TestSharesOfManyBoxesChangeInSteps(t *testing.T) {
	for boxes, want := range map[int]int{1: 1, 40: 40, 41: 42, 42: 42, 150: 152, 547: 560, 2200: 2240} {
		require.Equal(t, want, divisorFor(boxes), boxes)
	}
}

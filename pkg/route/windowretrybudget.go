package route

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// windowBuckets is the number of intervals into which a window is divided. The bound is kept for each window that starts
	// in any of them, so at most one interval more than is required.
	windowBuckets = 100
	// currentWeight and previousWeight are the parts of the ratio that requests in a window and requests in the window before
	// it allow. They add up to 1, so that the sum over all boxes is at most the ratio of the larger of the two windows.
	currentWeight  = 0.75
	previousWeight = 1 - currentWeight
)

const (
	// scarcityBuckets is the number of buckets in which retries are scarce if more of them were denied than taken.
	scarcityBuckets = 10
	// minRetryDelay is the shortest delay after which a retry may be tried again.
	minRetryDelay = 5 * time.Millisecond
)

// RetryLimits limits the retries for each service in every window, from all entry boxes together, to Ratio times the
// number of its requests plus Extra.
type RetryLimits struct {
	Ratio, Extra float64
	Window       time.Duration
}

// lateArrivalTime is how long after the end of a process the retries that it has sent may arrive. A link that was cut delivers
// what it held up; later the sender's kernel has given up.
const lateArrivalTime = 3 * time.Second

// StartTime returns how long after the start of a process the retries of the one before may still arrive in a window.
func (l *RetryLimits) StartTime() time.Duration { return l.Window + lateArrivalTime }

// RetryAllowance is what a box may use of the extra retries.
type RetryAllowance struct {
	// Share is the number in each window, AtStart the number that a process may use in addition to the ratio during its
	// RetryLimits.StartTime.
	Share, AtStart float64
}

// RetryPriority ranks retries; lower values come first.
type RetryPriority int

const (
	// RetryStarted continues a response that the caller has begun to receive.
	RetryStarted RetryPriority = iota
	// RetryFailed follows a failed attempt.
	RetryFailed
	// RetrySilent runs beside an attempt whose server is silent and may still respond.
	RetrySilent
	// RetrySuspect is a retry of a request that may have caused a server to exit.
	RetrySuspect
)

// reservedShare returns the part of the share that is reserved for retries of a higher priority.
func (p RetryPriority) reservedShare() float64 { return [...]float64{0, 0.1, 0.3, 0.5}[p] }

// WindowRetryBudget is one entry box's budget for the retries for one service. In every window, the retries of the box that
// arrive at servers are at most currentWeight of the ratio of its requests in the window, previousWeight of the ratio of
// its requests in the window before, and its share of the extra retries. The weights are the same at all boxes, so the sum
// over all boxes is bounded if the sum of the shares is. A retry counts at any time from when it is taken until it is settled,
// as it may arrive at any moment between. The budget is safe for concurrent use.
type WindowRetryBudget struct {
	limits     RetryLimits
	bucketTime time.Duration

	mu sync.Mutex
	// started is when the process started. The buckets are numbered from it, and at is the number of the latest bucket.
	started time.Time
	at      int64
	// buckets holds the totals before the start of each bucket of the last two windows.
	buckets [2*windowBuckets + 2]retryTotals
	// totals are the current ones.
	totals retryTotals
	// waiting are the retries that wait, in order. lastTicket is the latest of all.
	waiting    []RetryTicket
	lastTicket RetryTicket
}

// retryTotals are numbers since the start of the process. taken are the retries that were taken and not canceled.
type retryTotals struct {
	requests, taken, settled, denied int64
}

// NewWindowRetryBudget returns the budget of a process that started at a time. Earlier processes of the box may have used
// its share until then.
func NewWindowRetryBudget(limits RetryLimits, started time.Time) *WindowRetryBudget {
	return &WindowRetryBudget{limits: limits, bucketTime: limits.Window / windowBuckets, started: started}
}

// advance starts the buckets up to now. The lock must be held.
func (b *WindowRetryBudget) advance(now time.Time) {
	at := int64(now.Sub(b.started) / b.bucketTime)
	for steps := 0; b.at < at && steps < len(b.buckets); steps++ {
		b.at++
		b.buckets[b.at%int64(len(b.buckets))] = b.totals
	}
	// After a longer time all buckets hold the same totals.
	b.at = max(b.at, at)
}

// before returns the totals before the start of a bucket of the last two windows, or the current ones for a later bucket.
func (b *WindowRetryBudget) before(bucket int64) retryTotals {
	switch {
	case bucket <= 0:
		return retryTotals{}
	case bucket > b.at:
		return b.totals
	}
	return b.buckets[bucket%int64(len(b.buckets))]
}

// RecordRequest counts a request.
func (b *WindowRetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.totals.requests++
}

// TakeRetry takes a retry. If there is none, or only as many as wait already, it returns nil and the delay after which
// requests will have added one, as far as the last window shows.
func (b *WindowRetryBudget) TakeRetry(allowance RetryAllowance, priority RetryPriority, now time.Time) (retry *Retry, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ahead := 0
	if priority > RetryStarted {
		ahead = len(b.waiting)
	}
	return b.take(allowance, priority, ahead, now)
}

// DenyRetry records that a request that needs a retry ends without one.
func (b *WindowRetryBudget) DenyRetry(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.totals.denied++
}

// MayWait reports whether a retry may wait. It is pointless while more requests need a retry than can get one.
func (b *WindowRetryBudget) MayWait(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	earlier := b.before(b.at - scarcityBuckets + 1)
	return b.totals.denied-earlier.denied <= b.totals.taken-earlier.taken
}

// RetryTicket is the place of a retry in the queue of a budget. Lower ones come first.
type RetryTicket uint64

// AddWaiting adds a retry to the end of the queue. It waits until TakeWaiting succeeds or RemoveWaiting is called.
func (b *WindowRetryBudget) AddWaiting() RetryTicket {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastTicket++
	b.waiting = append(b.waiting, b.lastTicket)
	return b.lastTicket
}

// RemoveWaiting removes a retry from the queue, if it is there.
func (b *WindowRetryBudget) RemoveWaiting(ticket RetryTicket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeWaiting(ticket)
}

func (b *WindowRetryBudget) removeWaiting(ticket RetryTicket) {
	b.waiting = slices.DeleteFunc(b.waiting, func(t RetryTicket) bool { return t == ticket })
}

// TakeWaiting takes a retry for one that waits. If there is none, or only as many as those before it in the queue need, it
// returns nil and the delay as TakeRetry does.
func (b *WindowRetryBudget) TakeWaiting(
	ticket RetryTicket, allowance RetryAllowance, priority RetryPriority, now time.Time,
) (retry *Retry, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ahead := 0
	if priority > RetryStarted {
		ahead = max(0, slices.Index(b.waiting, ticket))
	}
	if retry, delay = b.take(allowance, priority, ahead, now); retry != nil {
		b.removeWaiting(ticket)
	}
	return retry, delay
}

// take takes a retry if there are more than a number of others need. The lock must be held.
func (b *WindowRetryBudget) take(allowance RetryAllowance, priority RetryPriority, others int, now time.Time) (retry *Retry, delay time.Duration) {
	b.advance(now)
	if missing := b.missing(allowance, priority, now) + float64(others); missing > 0 {
		return nil, b.delayUntil(missing, now)
	}
	b.totals.taken++
	return &Retry{budget: b}, 0
}

// retryTolerance absorbs rounding errors, in retries.
const retryTolerance = 1e-6

// missing returns how much is missing for a retry; it is not positive if there is one. The lock must be held.
func (b *WindowRetryBudget) missing(allowance RetryAllowance, priority RetryPriority, now time.Time) float64 {
	return 1 - retryTolerance + priority.reservedShare()*allowance.Share - b.available(allowance, now)
}

// available returns the number of retries that are allowed in each window in which they may arrive. The lock must be held.
func (b *WindowRetryBudget) available(allowance RetryAllowance, now time.Time) float64 {
	used := math.Inf(-1)
	for bucket := max(0, b.at-windowBuckets); bucket <= b.at; bucket++ {
		// A window that starts in the bucket holds at least the requests after the bucket, and the window before it at least
		// those between two buckets that are a window apart.
		after, previous := b.before(bucket+1).requests, b.before(bucket+1-windowBuckets).requests
		used = max(used, b.limits.Ratio*(currentWeight*float64(after)-previousWeight*float64(after-previous))-float64(b.before(bucket).settled))
	}
	earned := b.limits.Ratio*currentWeight*float64(b.totals.requests) - float64(b.totals.taken)
	available := earned - used + allowance.Share
	if now.Sub(b.started) < b.limits.StartTime() {
		// The share may have been used before the start.
		available = min(available, earned+allowance.AtStart)
	}
	return available
}

// delayUntil returns the time in which requests add a number of retries. The lock must be held.
func (b *WindowRetryBudget) delayUntil(retries float64, now time.Time) time.Duration {
	requests := float64(b.totals.requests - b.before(b.at-windowBuckets).requests)
	if requests == 0 || b.limits.Ratio == 0 {
		return b.limits.Window
	}
	perRequest := min(b.limits.Window, now.Sub(b.started)).Seconds() / requests
	delay := time.Duration(retries / (b.limits.Ratio * currentWeight) * perRequest * float64(time.Second))
	return min(max(delay, minRetryDelay), b.limits.Window)
}

// Retry is a retry that was taken from a budget. A nil retry has no effect.
type Retry struct {
	budget    *WindowRetryBudget
	isSettled bool
}

// Settle records that the retry has arrived at its server or never will.
func (r *Retry) Settle(now time.Time) {
	r.end(now, func(b *WindowRetryBudget) { b.totals.settled++ })
}

// Cancel returns a retry that was not sent.
func (r *Retry) Cancel(now time.Time) {
	r.end(now, func(b *WindowRetryBudget) { b.totals.taken-- })
}

// end ends a retry that has not ended.
func (r *Retry) end(now time.Time, apply func(b *WindowRetryBudget)) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.isSettled {
		r.isSettled = true
		r.budget.advance(now)
		apply(r.budget)
	}
}

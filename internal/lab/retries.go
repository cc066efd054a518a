package lab

import (
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
	"github.com/cinderslip/cinderslip/internal/virtual"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// boxRetries is a box's part of the retries of all boxes. Without a limit its budget is nil.
type boxRetries struct {
	budget *route.WindowRetryBudget
	shares *route.RetryShares
	// claim is the box's own claim, claims are those of the other boxes that it has received.
	claim  route.RetryShare
	claims map[*box]route.RetryShare
	extra  float64
}

// startRetries starts the box without knowledge of the others.
func (b *box) startRetries() {
	b.retries = boxRetries{claims: make(map[*box]route.RetryShare)}
	if limits := b.sim.deployment.Retries; limits.Window > 0 {
		b.retries.budget = route.NewWindowRetryBudget(limits, b.sim.Now())
		b.retries.shares = route.NewRetryShares(limits.Window)
		b.retries.extra = limits.Extra
	}
}

// exchangeRetryClaims updates the box's claim and sends it to all other boxes. A box knows the fleet once it has received the
// claims of all others.
func (b *box) exchangeRetryClaims() {
	if b.retries.budget == nil {
		return
	}
	claims := make([]route.RetryShare, 0, len(b.sim.boxes)-1)
	for _, other := range b.sim.boxes {
		if other != b {
			claims = append(claims, b.retries.claims[other])
		}
	}
	b.retries.claim = b.retries.shares.Update(claims, 0, len(b.retries.claims) == len(claims), b.sim.Now())
	for _, other := range b.sim.boxes {
		if other != b && other.up {
			b.sendRetryClaim(other)
		}
	}
}

// sendRetryClaim sends the box's claim to another one.
func (b *box) sendRetryClaim(other *box) {
	claim, incarnation := b.retries.claim, other.incarnation
	b.sim.AfterFunc(b.sim.delay(b.region, other.region), func() {
		if other.incarnation == incarnation && !b.partitioned && !other.partitioned {
			other.retries.claims[b] = claim
		}
	})
}

// recordRequest counts a request.
func (r *boxRetries) recordRequest(now time.Time) {
	if r.budget != nil {
		r.budget.RecordRequest(now)
	}
}

// takeRetry takes a retry for the next attempt of the request. It returns false if the budget is spent.
func (r *request) takeRetry() bool {
	own := &r.box.retries
	if own.budget == nil {
		return true
	}
	priority := route.RetryFailed
	if r.started {
		priority = route.RetryStarted
	}
	r.retry, _ = own.budget.TakeRetry(own.shares.Allowance(own.extra), priority, r.box.sim.Now())
	return r.retry != nil
}

// recordArrival records that an attempt beyond the first of the request has arrived at a server.
func (r *request) recordArrival() {
	if r.attempts > 1 {
		r.box.sim.result.retryLog.Retries = append(r.box.sim.result.retryLog.Retries, r.box.sim.Now())
	}
}

// RetryUse returns the retries in the worst window as a fraction of those allowed, and the mean of the windows that start
// in a time, one each second.
func (r *Result) RetryUse(from, to time.Duration) (worst, mean float64) {
	bound := ratewindow.RetryBound(r.deployment.Retries)
	worstWindow := r.retryLog.Worst(&bound)
	windows := 0
	for at := from; at <= to; at += time.Second {
		window := r.retryLog.At(virtual.Epoch.Add(at), &bound)
		mean, windows = mean+window.Use(), windows+1
	}
	return worstWindow.Use(), mean / float64(windows)
}

package route

import (
	"testing"
	"time"
)

func BenchmarkTakeRetry(b *testing.B) {
	now := time.Unix(1000, 0)
	budget := NewWindowRetryBudget(RetryLimits{Ratio: 0.2, Window: 10 * time.Second}, now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.RecordRequest(now)
		if retry, _ := budget.TakeRetry(RetryAllowance{Share: 10, AtStart: 1}, RetryFailed, now); retry != nil {
			retry.Settle(now)
		}
	}
}

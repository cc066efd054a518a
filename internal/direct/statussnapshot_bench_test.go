package direct

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// BenchmarkUnchangedStatus measures the processor time of one snapshot of an unchanged status, the work of all streams
// included.
func BenchmarkUnchangedStatus(b *testing.B) {
	for _, followers := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("%d followers", followers), func(b *testing.B) {
			f := newStatusFixture()
			f.waiting = make(route.Demands)
			for i := range 20 {
				f.waiting[member.Service(fmt.Sprintf("service-%d", i))] = route.Demand{}
			}
			f.inUse = route.Load{"i-1": {Requests: 1}}
			f.refresh()
			for i := range followers {
				f.follow(b, &wire.FollowRequest{Box: fmt.Sprintf("entry-%d", i), Region: "region-0", Load: true})
			}
			time.Sleep(50 * time.Millisecond)
			before := processorTime(b)
			for b.Loop() {
				f.refresh()
				time.Sleep(time.Millisecond)
			}
			b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

package direct

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// heldBytes bounds the bytes that a box holds for callers and servers that are slow to read: the bodies of requests in
// progress, and the parts of responses that have not been sent to their callers.
type heldBytes struct {
	limit int64
	used  atomic.Int64
	gauge prometheus.Gauge
}

const (
	// heldBytesShare is the share of the memory limit of the process that held bytes may take.
	heldBytesShare = 0.25
	// defaultHeldBytes is the limit of a process whose memory limit is not known.
	defaultHeldBytes = 64 << 20
)

// newHeldBytes returns a bound for a process with a memory limit, in millions of bytes; 0 if it is not known.
func newHeldBytes(memoryLimitMegabytes float64, gauge prometheus.Gauge) *heldBytes {
	h := &heldBytes{limit: int64(heldBytesShare * memoryLimitMegabytes * 1e6), gauge: gauge}
	if h.limit <= 0 {
		h.limit = defaultHeldBytes
	}
	return h
}

// reserve adds n bytes and reports whether they are within the limit. If not, it adds none.
func (h *heldBytes) reserve(n int) bool {
	if h.used.Add(int64(n)) > h.limit {
		h.used.Add(-int64(n))
		return false
	}
	h.gauge.Add(float64(n))
	return true
}

// force adds n bytes even if that exceeds the limit.
func (h *heldBytes) force(n int) {
	h.used.Add(int64(n))
	h.gauge.Add(float64(n))
}

// release removes n bytes.
func (h *heldBytes) release(n int) {
	h.used.Add(-int64(n))
	h.gauge.Sub(float64(n))
}

package direct

import (
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// heldBytes bounds the bytes that a box holds for callers and servers: the bodies of requests in progress, and the parts of
// responses that have not been sent to their callers, because a response is not complete or its caller is slow to read.
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

// minHeldBuffer is the size from which a heldBuffer is counted, in bytes. Most bodies and all usual events fit into it.
const minHeldBuffer = 4 << 10

// heldBuffer is a buffer that grows while the box may hold more bytes. Its bytes count as held until release is called.
type heldBuffer struct {
	held *heldBytes
	data []byte
	// reserved is the number of bytes that count as held.
	reserved int
}

// grow makes room for more data, at most for limit bytes in total, and reports whether there is room. The first minHeldBuffer
// bytes are not counted.
func (b *heldBuffer) grow(limit int) bool {
	if len(b.data) < cap(b.data) {
		return true
	}
	size := min(limit, max(minHeldBuffer, 2*cap(b.data)))
	if size <= len(b.data) {
		return false
	}
	if added := size - max(minHeldBuffer, cap(b.data)); added > 0 {
		if !b.held.reserve(added) {
			return false
		}
		b.reserved += added
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// read reads into the free room of the buffer.
func (b *heldBuffer) read(source io.Reader) (int, error) {
	n, err := source.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return n, err
}

// release removes the bytes of the buffer from those that are held. The buffer may still be used, but not grow.
func (b *heldBuffer) release() {
	b.held.release(b.reserved)
	b.reserved = 0
}

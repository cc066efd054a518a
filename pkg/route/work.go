package route

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxLengthRoutes bounds the routes whose response lengths are kept apart; further ones share one record. Deployments
	// have a few routes for each service.
	maxLengthRoutes = 64
	// hintClasses is the number of classes of hints: one without a hint, and one for each power of two up to 2^16. Larger
	// hints belong to the last class.
	hintClasses = 18
	// lengthBuckets is the number of buckets of a histogram of lengths, lengthBucketsPerOctave how many cover a factor of
	// 2. Longer responses than the last bucket's, about 8,000 events, count there.
	lengthBuckets          = 26
	lengthBucketsPerOctave = 2
	// minLengths is the number of responses from which their lengths replace the caller's hint. The mean of 16 log-normal
	// lengths with a spread of 1.4 has a standard error of some 60%, less than the factor by which hints are often off.
	minLengths = 16
	// maxLengths is the number of responses at which the counts are halved, so that the estimate follows a change.
	maxLengths = 1024
)

// lengthHistogram counts responses by their number of events.
type lengthHistogram struct {
	counts [lengthBuckets]float64
	total  float64
}

// lengthBucket returns the bucket of a number of events.
func lengthBucket(events int) int {
	return min(lengthBuckets-1, int(lengthBucketsPerOctave*math.Log2(float64(max(1, events)))))
}

// bucketLength returns the number of events in the middle of a bucket.
func bucketLength(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / lengthBucketsPerOctave)
}

// record counts a complete response.
func (h *lengthHistogram) record(events int) {
	if h.total >= maxLengths {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
	h.counts[lengthBucket(events)]++
	h.total++
}

// remaining returns the mean number of events that a response lacks of which some have been delivered. A response that
// is longer than all that were recorded is expected to lack one event.
func (h *lengthHistogram) remaining(delivered int) float64 {
	sum, count := 0.0, 0.0
	for i, n := range h.counts {
		if rest := bucketLength(i) - float64(delivered); rest > 0 {
			sum += n * rest
			count += n
		}
	}
	if count == 0 {
		return 1
	}
	return sum / count
}

// responseLengths are the lengths of the responses of a service by route and size of the hint.
type responseLengths struct {
	routes map[string]*[hintClasses]*lengthHistogram
	// others are the lengths of the routes beyond maxLengthRoutes.
	others [hintClasses]*lengthHistogram
}

// hintClass returns the class of a hint in tokens; hints that are not positive count as none.
func hintClass(hint int) int { return min(hintClasses-1, bits.Len(uint(max(0, hint)))) }

// record counts a complete response.
func (l *responseLengths) record(route string, hint, events int) {
	if l.routes == nil {
		l.routes = make(map[string]*[hintClasses]*lengthHistogram)
	}
	classes := l.routes[route]
	switch {
	case classes != nil:
	case len(l.routes) < maxLengthRoutes:
		classes = new([hintClasses]*lengthHistogram)
		l.routes[route] = classes
	default:
		classes = &l.others
	}
	class := hintClass(hint)
	if classes[class] == nil {
		classes[class] = &lengthHistogram{}
	}
	classes[class].record(events)
}

// remaining returns the expected number of events that a response lacks; ok is false if too few responses to such
// requests are known.
func (l *responseLengths) remaining(route string, hint, delivered int) (events float64, ok bool) {
	classes := l.routes[route]
	if classes == nil {
		classes = &l.others
	}
	h := classes[hintClass(hint)]
	if h == nil || h.total < minLengths {
		return 0, false
	}
	return h.remaining(delivered), true
}

// ResponseLength describes what is known of the length of a response.
type ResponseLength struct {
	Route string
	// Hint is the caller's estimate in tokens; 0 if there is none.
	Hint int
	// Delivered is the number of events that the caller has received.
	Delivered int
}

// ExpectedDecode returns how long a server is expected to need for the rest of a response, by the lengths of the
// responses to requests of the same route with a hint of about the same size. The hint itself is often far off. It returns
// estimate if too few of these are known.
func (d *Dispatcher) ExpectedDecode(length ResponseLength, estimate time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	events, ok := d.lengths.remaining(length.Route, length.Hint, length.Delivered)
	if !ok || estimate <= 0 || d.eventGap.median == 0 {
		return estimate
	}
	return time.Duration(events * float64(d.eventGap.median))
}

// recordLength records the length of a complete response.
func (r *Reservation) recordLength() {
	if r.events > 0 {
		r.dispatcher.lengths.record(r.length.Route, r.length.Hint, r.length.Delivered+r.events)
	}
}

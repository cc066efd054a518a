package route

import (
	"slices"
	"time"
)

const (
	// CallerTimeoutMinSamples is the number of samples that are required before the median is used.
	CallerTimeoutMinSamples = 20
	// callerTimeoutSamples is the number of latest requests in the median. With 100 requests per second, ten boxes and
	// three routes, they cover about half a minute.
	callerTimeoutSamples = 128
	// callerTimeoutUpdateInterval is the number of requests between two updates of the median.
	callerTimeoutUpdateInterval = 16
	// retryTimeoutRatio is the fraction of the typical timeout below which a request counts as a retry. Timeouts differ
	// among callers, so a higher ratio would count new requests of callers with short timeouts as retries. A request
	// with less than half of the time left cannot be answered in time, whether it is a retry or not.
	retryTimeoutRatio = 0.5
)

// CallerTimeoutEstimator estimates the typical timeout of the new requests on a route. It detects retries of callers
// that no box has recorded as rejected, as their box was killed or they canceled the request themselves. The median is
// valid as long as more than half of the requests are new. It is not safe for concurrent use.
type CallerTimeoutEstimator struct {
	samples []time.Duration
	next    int
	count   int
	median  time.Duration
}

// Observe adds the remaining time of a request that is not known to be a retry.
func (e *CallerTimeoutEstimator) Observe(remaining time.Duration) {
	if len(e.samples) < callerTimeoutSamples {
		e.samples = append(e.samples, remaining)
	} else {
		e.samples[e.next] = remaining
		e.next = (e.next + 1) % callerTimeoutSamples
	}
	if e.count++; e.count == CallerTimeoutMinSamples || e.count%callerTimeoutUpdateInterval == 0 {
		sorted := slices.Sorted(slices.Values(e.samples))
		e.median = sorted[len(sorted)/2]
	}
}

// Waited returns how long ago the caller of a request with a remaining time sent its first request; 0 if this may be
// the first one. It uses the timeout of the route until there are CallerTimeoutMinSamples.
func (e *CallerTimeoutEstimator) Waited(remaining, timeout time.Duration) time.Duration {
	typical := e.median
	if e.count < CallerTimeoutMinSamples {
		typical = timeout
	}
	if float64(remaining) >= retryTimeoutRatio*float64(typical) {
		return 0
	}
	return typical - remaining
}

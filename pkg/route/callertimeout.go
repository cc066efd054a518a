package route

import (
	"slices"
	"time"
)

const (
	// CallerTimeoutMinSamples is after how many requests it is known how long callers wait.
	CallerTimeoutMinSamples = 20
	// callerTimeoutSamples is over how many of the newest requests it is taken: at 100 requests a
	// second, ten boxes and three routes some half a minute.
	callerTimeoutSamples = 128
	// callerTimeoutUpdateInterval is after how many requests it is worked out anew.
	callerTimeoutUpdateInterval = 16
	// retryTimeoutRatio is the part of the usual time below which a caller has been here before.
	// Callers differ in how long they wait, so nothing nearer to the usual time tells: first
	// requests of the less patient would count as returned ones. Who has used half of its time can't be
	// answered in time any more, whoever it is.
	retryTimeoutRatio = 0.5
)

// CallerTimeoutEstimator is how long the callers of a route wait when they first ask, as far as their
// requests show. It tells those who came back though no box knows them, as their box was
// killed or they left it by themselves. The median holds as long as more than half of the
// requests are first ones.
type CallerTimeoutEstimator struct {
	samples []time.Duration
	next    int
	seen    int
	median  time.Duration
}

// Observe takes the remaining time of a request that is not known to have come back.
func (p *CallerTimeoutEstimator) Observe(remaining time.Duration) {
	if len(p.samples) < callerTimeoutSamples {
		p.samples = append(p.samples, remaining)
	} else {
		p.samples[p.next] = remaining
		p.next = (p.next + 1) % callerTimeoutSamples
	}
	if p.seen++; p.seen == CallerTimeoutMinSamples || p.seen%callerTimeoutUpdateInterval == 0 {
		sorted := slices.Sorted(slices.Values(p.samples))
		p.median = sorted[len(sorted)/2]
	}
}

// Waited returns how long ago a caller with a remaining time first asked, 0 if it may ask
// for the first time. The route's own time counts while nothing better is known.
func (p *CallerTimeoutEstimator) Waited(remaining, timeout time.Duration) time.Duration {
	usual := p.median
	if p.seen < CallerTimeoutMinSamples {
		usual = timeout
	}
	if float64(remaining) >= retryTimeoutRatio*float64(usual) {
		return 0
	}
	return usual - remaining
}

package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/internal/ratewindow"
	"github.com/cinderslip/cinderslip/internal/virtual"
)

// Outcome is the outcome of a caller.
type Outcome int

// Outcomes of a caller.
const (
	// OutcomeInTime is a complete response that met the objective and the maximum event gap.
	OutcomeInTime Outcome = iota
	// OutcomeLate is any other complete response.
	OutcomeLate
	// OutcomeRejected is a caller that was rejected and had no retry left.
	OutcomeRejected
	// OutcomeFailed is a caller that received no complete response for another reason.
	OutcomeFailed

	outcomeCount
)

// OutcomeCounts are the numbers of callers by outcome.
type OutcomeCounts [outcomeCount]int

// Total returns the number of callers.
func (c *OutcomeCounts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// Share returns the fraction of the callers that had an outcome, or 0 if there are no callers.
func (c *OutcomeCounts) Share(outcome Outcome) float64 {
	total := c.Total()
	if total == 0 {
		return 0
	}
	return float64(c[outcome]) / float64(total)
}

// sizedOutcome is the outcome of a caller with its prompt length in tokens, the second of its first attempt and its
// organisation.
type sizedOutcome struct {
	prompt               int
	outcome              Outcome
	second, organisation int
}

// Result is the result of a simulation.
type Result struct {
	deployment *Deployment
	// Seconds are the outcomes by the second in which the caller sent its first attempt.
	Seconds []OutcomeCounts
	// Kinds are the outcomes by the name of the request kind.
	Kinds         map[string]*OutcomeCounts
	sizedOutcomes map[string][]sizedOutcome
	// PossibleValue is the value of all requests if every response were in time, EarnedValue that of the actual
	// responses. Penalties are deducted for callers that waited in vain or were rejected repeatedly.
	PossibleValue, EarnedValue, Penalties float64
	// Truncated counts the responses that an entry box ended with an error, or before they were complete.
	Truncated int
	// Inversions counts the requests that were sent to a server while a more urgent one waited at a box of the same cell.
	Inversions int
	// PartCrashes counts the servers that crashed because of FaultPartCrashes, without those that a partitioned box caused,
	// which receives no evidence.
	PartCrashes int
	// RejectedAttempts counts the attempts that arrived at servers affected by FaultServersRejecting. DuringBackoff
	// counts all attempts that arrived at such a server during the backoff that it had requested from the box, except
	// those in the first backoffGrace (half a second).
	RejectedAttempts, DuringBackoff int
	// LimitExcess is the largest number of requests above ratewindow.Allowed that a server with a rate limit received in
	// a ratewindow.Window; 0 if none did. LimitUtilization is the utilization of each rate limit.
	LimitExcess      float64
	LimitUtilization []float64
	// ColdExcess is the largest number of requests above the allowance that a cold server received in one second, from
	// all entry boxes; 0 if none did. ColdUtilization is the utilization of each cold server's rate.
	ColdExcess      float64
	ColdUtilization []float64
	// Evenness is how evenly the requests were distributed among the servers.
	Evenness Evenness
	// Reports counts the load reports that entry boxes sent.
	Reports int
	// retryLog holds the requests, and the attempts beyond the first of each that arrived at servers.
	retryLog ratewindow.RetryLog
}

// A caller without a complete response is penalized by a fraction of its request's value. The fraction grows with the
// duration of the last attempt, less an eighth of the objective, up to 1 at fullPenaltyDeadlineShare of the deadline.
// repeatedRejectionPenalty is added if the caller had retried. Both values are those of the project's own quality
// measure.
const (
	repeatedRejectionPenalty = 0.3
	fullPenaltyDeadlineShare = 0.75
)

func newResult(deployment *Deployment) *Result {
	return &Result{
		deployment: deployment, Seconds: make([]OutcomeCounts, int(deployment.Duration/time.Second)+1),
		Kinds: make(map[string]*OutcomeCounts), sizedOutcomes: make(map[string][]sizedOutcome),
	}
}

// add records the outcome of a caller.
func (r *Result) add(c *caller, outcome Outcome) {
	if second := int(c.arrivedAt.Sub(virtual.Epoch) / time.Second); second < len(r.Seconds) {
		r.Seconds[second][outcome]++
	}
	kind := r.Kinds[c.kind.Name]
	if kind == nil {
		kind = &OutcomeCounts{}
		r.Kinds[c.kind.Name] = kind
	}
	kind[outcome]++
	r.sizedOutcomes[c.kind.Name] = append(r.sizedOutcomes[c.kind.Name], sizedOutcome{c.promptTokens, outcome, int(c.arrivedAt.Sub(virtual.Epoch) / time.Second), c.organisation})
	size := min(4, 0.3+0.7*float64(c.promptTokens)/c.kind.Prompt)
	r.PossibleValue += size * c.kind.Value
	switch outcome {
	case OutcomeInTime:
		r.EarnedValue += size * c.kind.Value
	case OutcomeLate:
		r.EarnedValue += size * c.kind.LateValue
	case OutcomeRejected, OutcomeFailed:
		waited := c.sim.Now().Sub(c.sentAt) - c.kind.Objective/8
		penalty := min(1, max(0, float64(waited)/(fullPenaltyDeadlineShare*float64(c.kind.Deadline))))
		if c.attempts > 1 {
			penalty += repeatedRejectionPenalty
		}
		r.Penalties += penalty * size * c.kind.Value
	}
}

// Served returns the fraction of the callers that received a complete response.
func (c *OutcomeCounts) Served() float64 { return c.Share(OutcomeInTime) + c.Share(OutcomeLate) }

// Between sums the outcomes of the callers whose first attempt was sent in [from, to), rounded down to whole
// seconds.
func (r *Result) Between(from, to time.Duration) OutcomeCounts {
	var sum OutcomeCounts
	for second := int(from / time.Second); second < min(int(to/time.Second), len(r.Seconds)); second++ {
		for outcome, n := range r.Seconds[second] {
			sum[outcome] += n
		}
	}
	return sum
}

// KindBetween returns the outcomes of the callers of a kind whose first attempt was sent in [from, to), rounded down to
// whole seconds.
func (r *Result) KindBetween(kind string, from, to time.Duration) (counts OutcomeCounts) {
	for _, o := range r.sizedOutcomes[kind] {
		if o.second >= int(from/time.Second) && o.second < int(to/time.Second) {
			counts[o.outcome]++
		}
	}
	return counts
}

// Organisation returns the outcomes of the callers of an organisation.
func (r *Result) Organisation(organisation int) (counts OutcomeCounts) {
	for _, outcomes := range r.sizedOutcomes {
		for _, o := range outcomes {
			if o.organisation == organisation {
				counts[o.outcome]++
			}
		}
	}
	return counts
}

// All returns the outcomes of all callers.
func (r *Result) All() OutcomeCounts { return r.Between(0, r.deployment.Duration+time.Second) }

// Score returns the earned value less the penalties, as a fraction of the possible value; 0 without callers.
func (r *Result) Score() float64 {
	if r.PossibleValue == 0 {
		return 0
	}
	return (r.EarnedValue - r.Penalties) / r.PossibleValue
}

// LargestInTime returns the fractions of a kind's requests with responses in time: among the tenth with the largest
// prompts, and among all.
func (r *Result) LargestInTime(kind string) (largest, all float64) {
	sorted := slices.SortedFunc(slices.Values(r.sizedOutcomes[kind]), func(a, b sizedOutcome) int { return b.prompt - a.prompt })
	var tenth, total OutcomeCounts
	for i, s := range sorted {
		total[s.outcome]++
		if i < len(sorted)/10 {
			tenth[s.outcome]++
		}
	}
	return tenth.Share(OutcomeInTime), total.Share(OutcomeInTime)
}

// String returns a human-readable table with one line per second.
func (r *Result) String() string {
	var text strings.Builder
	for second := range r.Seconds {
		c := &r.Seconds[second]
		_, _ = fmt.Fprintf(&text, "%3d  %4d callers, %.2f in time, %.2f late, %.2f rejected, %.2f failed\n", second, c.Total(),
			c.Share(OutcomeInTime), c.Share(OutcomeLate), c.Share(OutcomeRejected), c.Share(OutcomeFailed))
	}
	return text.String()
}

package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/internal/virtual"
)

// Outcome is what became of a caller.
type Outcome int

// The outcomes.
const (
	// OutcomeInTime is a whole answer that began in time and did not pause for long.
	OutcomeInTime Outcome = iota
	// OutcomeLate is any other whole answer.
	OutcomeLate
	// OutcomeRejected is a caller that was refused for good.
	OutcomeRejected
	// OutcomeFailed is a caller that got no whole answer for another reason.
	OutcomeFailed

	outcomeCount
)

// OutcomeCounts is how many callers had each outcome.
type OutcomeCounts [outcomeCount]int

// Total is how many callers there were.
func (c *OutcomeCounts) Total() int {
	all := 0
	for _, n := range c {
		all += n
	}
	return all
}

// Share is the part of the callers with an outcome; 0 if there were none.
func (c *OutcomeCounts) Share(outcome Outcome) float64 {
	all := c.Total()
	if all == 0 {
		return 0
	}
	return float64(c[outcome]) / float64(all)
}

// sizedOutcome is the outcome of a caller by the size of its prompt.
type sizedOutcome struct {
	prompt  int
	outcome Outcome
}

// Result is what a run has shown.
type Result struct {
	deployment *Deployment
	// Seconds are the outcomes of callers by the second in which they asked first.
	Seconds []OutcomeCounts
	// Kinds are the outcomes by kind of request.
	Kinds         map[string]*OutcomeCounts
	sizedOutcomes map[string][]sizedOutcome
	// PossibleValue and Earned are worth; Priced is what is taken off for callers that were
	// held in vain or refused again.
	PossibleValue, EarnedValue, Penalties float64
	// RejectedAttempts is how many attempts came to servers that took nothing, DuringBackoff how many of all attempts came
	// half a second or more after such a server had asked their box for rest, and before that was over.
	RejectedAttempts, DuringBackoff int
	// LimitExcess is the largest number of requests above the allowed number that a server with a rate limit received in a
	// ratewindow.Window; 0 if none did. LimitUtilization is the utilization of each rate limit.
	LimitExcess      float64
	LimitUtilization []float64
}

// The prices, as parts of a request's worth, are those of the project's own measure: a
// second refusal, and holding a caller for most of its time to no end.
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
	r.sizedOutcomes[c.kind.Name] = append(r.sizedOutcomes[c.kind.Name], sizedOutcome{c.promptTokens, outcome})
	size := min(4, 0.3+0.7*float64(c.promptTokens)/c.kind.Prompt)
	r.PossibleValue += size * c.kind.Value
	switch outcome {
	case OutcomeInTime:
		r.EarnedValue += size * c.kind.Value
	case OutcomeLate:
		r.EarnedValue += size * c.kind.LateValue
	case OutcomeRejected, OutcomeFailed:
		held := c.sim.Now().Sub(c.sentAt) - c.kind.Objective/8
		part := min(1, max(0, float64(held)/(fullPenaltyDeadlineShare*float64(c.kind.Deadline))))
		if c.attempts > 1 {
			part += repeatedRejectionPenalty
		}
		r.Penalties += part * size * c.kind.Value
	}
}

// Between sums the outcomes of the callers that asked first in some seconds.
func (r *Result) Between(from, to time.Duration) OutcomeCounts {
	var sum OutcomeCounts
	for second := int(from / time.Second); second < min(int(to/time.Second), len(r.Seconds)); second++ {
		for outcome, n := range r.Seconds[second] {
			sum[outcome] += n
		}
	}
	return sum
}

// All sums the outcomes of all callers.
func (r *Result) All() OutcomeCounts { return r.Between(0, r.deployment.Duration+time.Second) }

// Score is what was earned, less the prices, as a part of what was owed.
func (r *Result) Score() float64 {
	if r.PossibleValue == 0 {
		return 0
	}
	return (r.EarnedValue - r.Penalties) / r.PossibleValue
}

// LargestInTime returns the part of the largest tenth of a kind's requests that was answered
// in time, and of all of them.
func (r *Result) LargestInTime(kind string) (largest, all float64) {
	sized := slices.SortedFunc(slices.Values(r.sizedOutcomes[kind]), func(a, b sizedOutcome) int { return b.prompt - a.prompt })
	var tenth, whole OutcomeCounts
	for i, s := range sized {
		whole[s.outcome]++
		if i < len(sized)/10 {
			tenth[s.outcome]++
		}
	}
	return tenth.Share(OutcomeInTime), whole.Share(OutcomeInTime)
}

// String tells the seconds one line each, for reading by people.
func (r *Result) String() string {
	var text strings.Builder
	for second := range r.Seconds {
		c := &r.Seconds[second]
		_, _ = fmt.Fprintf(&text, "%3d  %4d asked, %.2f in time, %.2f late, %.2f refused, %.2f failed\n", second, c.Total(),
			c.Share(OutcomeInTime), c.Share(OutcomeLate), c.Share(OutcomeRejected), c.Share(OutcomeFailed))
	}
	return text.String()
}

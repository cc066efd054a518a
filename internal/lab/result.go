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
	// OutcomeRefused is a caller that was refused for good.
	OutcomeRefused
	// OutcomeFailed is a caller that got no whole answer for another reason.
	OutcomeFailed

	outcomes
)

// Count is how many callers had each outcome.
type Count [outcomes]int

// All is how many callers there were.
func (c *Count) All() int {
	all := 0
	for _, n := range c {
		all += n
	}
	return all
}

// Part is the part of the callers with an outcome; 0 if there were none.
func (c *Count) Part(outcome Outcome) float64 {
	all := c.All()
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
	Seconds []Count
	// Kinds are the outcomes by kind of request.
	Kinds map[string]*Count
	sized map[string][]sizedOutcome
	// Owed and Earned are worth; Priced is what is taken off for callers that were
	// held in vain or refused again.
	Owed, Earned, Priced float64
	// TurnedAway is how many attempts came to servers that took nothing, WithinRest how many of all attempts came
	// half a second or more after such a server had asked their box for rest, and before that was over.
	TurnedAway, WithinRest int
	// LimitExcess is the largest number of requests above the allowed number that a server with a rate limit received in a
	// ratewindow.Window; 0 if none did. LimitUsed is the utilization of each rate limit.
	LimitExcess float64
	LimitUsed   []float64
}

// The prices, as parts of a request's worth, are those of the project's own measure: a
// second refusal, and holding a caller for most of its time to no end.
const (
	priceRefusedAgain = 0.3
	priceHeldLongest  = 0.75
)

func newResult(deployment *Deployment) *Result {
	return &Result{
		deployment: deployment, Seconds: make([]Count, int(deployment.Length/time.Second)+1),
		Kinds: make(map[string]*Count), sized: make(map[string][]sizedOutcome),
	}
}

func (r *Result) add(c *caller, outcome Outcome) {
	if second := int(c.first.Sub(virtual.Epoch) / time.Second); second < len(r.Seconds) {
		r.Seconds[second][outcome]++
	}
	kind := r.Kinds[c.kind.Name]
	if kind == nil {
		kind = &Count{}
		r.Kinds[c.kind.Name] = kind
	}
	kind[outcome]++
	r.sized[c.kind.Name] = append(r.sized[c.kind.Name], sizedOutcome{c.prompt, outcome})
	size := min(4, 0.3+0.7*float64(c.prompt)/c.kind.Prompt)
	r.Owed += size * c.kind.Worth
	switch outcome {
	case OutcomeInTime:
		r.Earned += size * c.kind.Worth
	case OutcomeLate:
		r.Earned += size * c.kind.LateWorth
	case OutcomeRefused, OutcomeFailed:
		held := c.world.Now().Sub(c.sent) - c.kind.Objective/8
		part := min(1, max(0, float64(held)/(priceHeldLongest*float64(c.kind.Deadline))))
		if c.tries > 1 {
			part += priceRefusedAgain
		}
		r.Priced += part * size * c.kind.Worth
	}
}

// Between sums the outcomes of the callers that asked first in some seconds.
func (r *Result) Between(from, to time.Duration) Count {
	var sum Count
	for second := int(from / time.Second); second < min(int(to/time.Second), len(r.Seconds)); second++ {
		for outcome, n := range r.Seconds[second] {
			sum[outcome] += n
		}
	}
	return sum
}

// All sums the outcomes of all callers.
func (r *Result) All() Count { return r.Between(0, r.deployment.Length+time.Second) }

// Worth is what was earned, less the prices, as a part of what was owed.
func (r *Result) Worth() float64 {
	if r.Owed == 0 {
		return 0
	}
	return (r.Earned - r.Priced) / r.Owed
}

// Largest returns the part of the largest tenth of a kind's requests that was answered
// in time, and of all of them.
func (r *Result) Largest(kind string) (largest, all float64) {
	sized := slices.SortedFunc(slices.Values(r.sized[kind]), func(a, b sizedOutcome) int { return b.prompt - a.prompt })
	var tenth, whole Count
	for i, s := range sized {
		whole[s.outcome]++
		if i < len(sized)/10 {
			tenth[s.outcome]++
		}
	}
	return tenth.Part(OutcomeInTime), whole.Part(OutcomeInTime)
}

// String tells the seconds one line each, for reading by people.
func (r *Result) String() string {
	var text strings.Builder
	for second := range r.Seconds {
		c := &r.Seconds[second]
		_, _ = fmt.Fprintf(&text, "%3d  %4d asked, %.2f in time, %.2f late, %.2f refused, %.2f failed\n", second, c.All(),
			c.Part(OutcomeInTime), c.Part(OutcomeLate), c.Part(OutcomeRefused), c.Part(OutcomeFailed))
	}
	return text.String()
}

package report

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"time"
)

// Step is one step of an agent on the way to newer weights.
type Step string

// The steps, in the order in which an agent takes them.
const (
	// StepKnown is when the agent hears of the version.
	StepKnown Step = "known"
	// StepManifest is when it has the list of the version's pieces.
	StepManifest Step = "manifest"
	// StepFirstPiece and StepLastPiece are told by logs at the level debug alone.
	StepFirstPiece Step = "first piece"
	StepLastPiece  Step = "last piece"
	// StepWhole is when all pieces are staged.
	StepWhole Step = "whole"
	// StepOrdered is when its turn has come and the server is told to take them.
	StepOrdered Step = "ordered"
	// StepLive is when the server answers with them.
	StepLive Step = "live"
)

// Steps are all steps, in the order in which they are shown.
var Steps = []Step{StepKnown, StepManifest, StepFirstPiece, StepLastPiece, StepWhole, StepOrdered, StepLive}

// stepOf are the events that tell of a step.
var stepOf = map[string]Step{
	"weights wanted": StepKnown, "manifest taken": StepManifest, "piece taken": StepLastPiece, "weights fetched": StepWhole,
	"staged pieces taken over": StepWhole, "server ordered to take weights": StepOrdered, "weights live": StepLive,
}

// Copy is one agent's way to a version, in one run of the agent.
type Copy struct {
	Process string
	// Start counts the runs of the agent, from 1, as far as the logs tell.
	Start int
	// After is how long after the version was named each step was taken that was.
	After map[Step]time.Duration
}

// Rollout is the way of all agents to one version.
type Rollout struct {
	Model   string
	Version int
	// Named is when the version was named: the earliest moment that any process took it for.
	Named time.Time
	// Copies are in the order in which they were live, then whole, then known; those that never came so far come last.
	Copies []Copy
}

// rolloutKey names a version of a model.
type rolloutKey struct {
	model   string
	version int
}

// copyKey names one run of a process.
type copyKey struct {
	process string
	start   int
}

// MeasureRollouts returns the ways of agents to the versions that events tell of, in the order of models and versions. The events
// must be in the order of their times; those of entry boxes may be among them and tell when versions were named.
func MeasureRollouts(events []Event) []Rollout {
	starts := make(map[string]int)
	named := make(map[rolloutKey]time.Time)
	taken := make(map[rolloutKey]map[copyKey]map[Step]time.Time)
	for i := range events {
		event := &events[i]
		if event.Name == "started" {
			starts[event.Process]++
			continue
		}
		step, isStep := stepOf[event.Name]
		version, err := strconv.Atoi(event.Get("version"))
		if !isStep || err != nil {
			continue
		}
		key := rolloutKey{event.Get("model"), version}
		if step == StepKnown {
			if at := event.Time.Add(-event.Milliseconds("age_ms")); named[key].IsZero() || at.Before(named[key]) {
				named[key] = at
			}
		}
		if taken[key] == nil {
			taken[key] = make(map[copyKey]map[Step]time.Time)
		}
		copyOf := copyKey{event.Process, max(1, starts[event.Process])}
		if taken[key][copyOf] == nil {
			taken[key][copyOf] = make(map[Step]time.Time)
		}
		note(taken[key][copyOf], step, event.Time)
	}
	var all []Rollout
	for key, copies := range taken {
		if rollout, ok := rolloutOf(key, named[key], copies); ok {
			all = append(all, rollout)
		}
	}
	slices.SortFunc(all, func(a, b Rollout) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return all
}

// note notes when a step was taken: for the first time, but for the last piece.
func note(steps map[Step]time.Time, step Step, at time.Time) {
	if step == StepLastPiece {
		note(steps, StepFirstPiece, at)
		steps[step] = at
		return
	}
	if _, known := steps[step]; !known {
		steps[step] = at
	}
}

// rolloutOf returns one rollout; ok is false if no agent tells of it or nobody says when the version was named.
func rolloutOf(key rolloutKey, named time.Time, taken map[copyKey]map[Step]time.Time) (rollout Rollout, ok bool) {
	rollout = Rollout{Model: key.model, Version: key.version, Named: named}
	for copyOf, steps := range taken {
		if len(steps) == 1 && !steps[StepKnown].IsZero() {
			// An entry box, or an agent that ended before it did anything.
			continue
		}
		after := make(map[Step]time.Duration, len(steps))
		for step, at := range steps {
			after[step] = at.Sub(named)
		}
		rollout.Copies = append(rollout.Copies, Copy{Process: copyOf.process, Start: copyOf.start, After: after})
	}
	slices.SortFunc(rollout.Copies, compareCopies)
	return rollout, len(rollout.Copies) > 0 && !named.IsZero()
}

// compareCopies orders copies by how soon they came furthest.
func compareCopies(a, b Copy) int {
	for _, step := range []Step{StepLive, StepWhole, StepKnown} {
		of, isA := a.After[step]
		other, isB := b.After[step]
		switch {
		case isA && !isB:
			return -1
		case isB && !isA:
			return 1
		case of != other:
			return cmp.Compare(of, other)
		}
	}
	return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Start, b.Start))
}

// Reached returns after which times a step was taken, the soonest first.
func (r *Rollout) Reached(step Step) []time.Duration {
	var reached []time.Duration
	for i := range r.Copies {
		if after, ok := r.Copies[i].After[step]; ok {
			reached = append(reached, after)
		}
	}
	slices.Sort(reached)
	return reached
}

// plotStep is the time between two points of a plot of a rollout.
const plotStep = 100 * time.Millisecond

// PlotRollout writes how many agents had taken each step over time as SVG.
func PlotRollout(w io.Writer, r *Rollout) error {
	reached := make(map[Step][]time.Duration)
	var end time.Duration
	for _, step := range Steps {
		if reached[step] = r.Reached(step); len(reached[step]) > 0 {
			end = max(end, reached[step][len(reached[step])-1])
		}
	}
	var seconds []float64
	for at := time.Duration(0); at <= end+plotStep; at += plotStep {
		seconds = append(seconds, at.Seconds())
	}
	var lines []Series
	for _, step := range Steps {
		if len(reached[step]) == 0 {
			continue
		}
		line := Series{Name: string(step)}
		for i := range seconds {
			count, _ := slices.BinarySearch(reached[step], time.Duration(i)*plotStep+1)
			line.Values = append(line.Values, float64(count))
		}
		lines = append(lines, line)
	}
	return Plot(w, r.Model+" version "+strconv.Itoa(r.Version)+", from its name", "agents", seconds, lines)
}

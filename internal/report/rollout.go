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
	// StepFirstChunk and StepLastChunk are told by logs at the level debug alone.
	StepFirstChunk Step = "first piece"
	StepLastChunk  Step = "last piece"
	// StepComplete is when all pieces are staged.
	StepComplete Step = "whole"
	// StepOrdered is when its turn has come and the server is told to take them.
	StepOrdered Step = "ordered"
	// StepLive is when the server answers with them.
	StepLive Step = "live"
)

// Steps are all steps, in the order in which they are shown.
var Steps = []Step{StepKnown, StepManifest, StepFirstChunk, StepLastChunk, StepComplete, StepOrdered, StepLive}

// eventSteps are the events that tell of a step.
var eventSteps = map[string]Step{
	"weights wanted": StepKnown, "manifest taken": StepManifest, "piece taken": StepLastChunk, "weights fetched": StepComplete,
	"staged pieces taken over": StepComplete, "server ordered to take weights": StepOrdered, "weights live": StepLive,
}

// AgentProgress is one agent's way to a version, in one run of the agent.
type AgentProgress struct {
	Process string
	// Incarnation counts the runs of the agent, from 1, as far as the logs tell.
	Incarnation int `json:"Start"`
	// After is how long after the version was named each step was taken that was.
	After map[Step]time.Duration
}

// Rollout is the way of all agents to one version.
type Rollout struct {
	Model   string
	Version int
	// PublishedAt is when the version was named: the earliest moment that any process took it for.
	PublishedAt time.Time `json:"Named"`
	// Agents are in the order in which they were live, then whole, then known; those that never came so far come last.
	Agents []AgentProgress `json:"Copies"`
}

// rolloutKey names a version of a model.
type rolloutKey struct {
	model   string
	version int
}

// agentKey names one run of a process.
type agentKey struct {
	process     string
	incarnation int
}

// MeasureRollouts returns the ways of agents to the versions that events tell of, in the order of models and versions. The events
// must be in the order of their times; those of entry boxes may be among them and tell when versions were named.
func MeasureRollouts(events []Event) []Rollout {
	starts := make(map[string]int)
	named := make(map[rolloutKey]time.Time)
	taken := make(map[rolloutKey]map[agentKey]map[Step]time.Time)
	for i := range events {
		event := &events[i]
		if event.Name == "started" {
			starts[event.Process]++
			continue
		}
		step, isStep := eventSteps[event.Name]
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
			taken[key] = make(map[agentKey]map[Step]time.Time)
		}
		copyOf := agentKey{event.Process, max(1, starts[event.Process])}
		if taken[key][copyOf] == nil {
			taken[key][copyOf] = make(map[Step]time.Time)
		}
		recordStep(taken[key][copyOf], step, event.Time)
	}
	var all []Rollout
	for key, copies := range taken {
		if rollout, ok := newRollout(key, named[key], copies); ok {
			all = append(all, rollout)
		}
	}
	slices.SortFunc(all, func(a, b Rollout) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return all
}

// recordStep notes when a step was taken: for the first time, but for the last piece.
func recordStep(steps map[Step]time.Time, step Step, at time.Time) {
	if step == StepLastChunk {
		recordStep(steps, StepFirstChunk, at)
		steps[step] = at
		return
	}
	if _, known := steps[step]; !known {
		steps[step] = at
	}
}

// newRollout returns one rollout; ok is false if no agent tells of it or nobody says when the version was named.
func newRollout(key rolloutKey, named time.Time, taken map[agentKey]map[Step]time.Time) (rollout Rollout, ok bool) {
	rollout = Rollout{Model: key.model, Version: key.version, PublishedAt: named}
	for copyOf, steps := range taken {
		if len(steps) == 1 && !steps[StepKnown].IsZero() {
			// An entry box, or an agent that ended before it did anything.
			continue
		}
		after := make(map[Step]time.Duration, len(steps))
		for step, at := range steps {
			after[step] = at.Sub(named)
		}
		rollout.Agents = append(rollout.Agents, AgentProgress{Process: copyOf.process, Incarnation: copyOf.incarnation, After: after})
	}
	slices.SortFunc(rollout.Agents, compareProgress)
	return rollout, len(rollout.Agents) > 0 && !named.IsZero()
}

// compareProgress orders copies by how soon they came furthest.
func compareProgress(a, b AgentProgress) int {
	for _, step := range []Step{StepLive, StepComplete, StepKnown} {
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
	return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Reached returns after which times a step was taken, the soonest first.
func (r *Rollout) Reached(step Step) []time.Duration {
	var reached []time.Duration
	for i := range r.Agents {
		if after, ok := r.Agents[i].After[step]; ok {
			reached = append(reached, after)
		}
	}
	slices.Sort(reached)
	return reached
}

// plotInterval is the time between two points of a plot of a rollout.
const plotInterval = 100 * time.Millisecond

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
	for at := time.Duration(0); at <= end+plotInterval; at += plotInterval {
		seconds = append(seconds, at.Seconds())
	}
	var lines []Series
	for _, step := range Steps {
		if len(reached[step]) == 0 {
			continue
		}
		line := Series{Name: string(step)}
		for i := range seconds {
			count, _ := slices.BinarySearch(reached[step], time.Duration(i)*plotInterval+1)
			line.Values = append(line.Values, float64(count))
		}
		lines = append(lines, line)
	}
	return Plot(w, r.Model+" version "+strconv.Itoa(r.Version)+", from its name", "agents", seconds, lines)
}

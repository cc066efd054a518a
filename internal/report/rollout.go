package report

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"time"
)

// Step is one step of an agent in a rollout of weights.
type Step string

// The steps, in the order in which an agent reaches them.
const (
	// StepKnown is the agent's receipt of the published version.
	StepKnown Step = "known"
	// StepManifest is the receipt of the manifest, the list of the version's chunks.
	StepManifest Step = "manifest"
	// StepFirstChunk and StepLastChunk are the receipt of the first and of the last chunk. They are only in logs at
	// level debug.
	StepFirstChunk Step = "first piece"
	StepLastChunk  Step = "last piece"
	// StepComplete is the staging of the last missing chunk.
	StepComplete Step = "whole"
	// StepOrdered is the order to the server to load the weights, sent in the agent's swap window.
	StepOrdered Step = "ordered"
	// StepLive is the first moment at which the server serves the weights.
	StepLive Step = "live"
)

// Steps are all steps, in display order.
var Steps = []Step{StepKnown, StepManifest, StepFirstChunk, StepLastChunk, StepComplete, StepOrdered, StepLive}

// eventSteps maps the names of events to the steps that they show. StepFirstChunk has no event of its own: it is the
// first event of StepLastChunk.
var eventSteps = map[string]Step{
	"weights wanted": StepKnown, "manifest taken": StepManifest, "piece taken": StepLastChunk, "weights fetched": StepComplete,
	"staged pieces taken over": StepComplete, "server ordered to take weights": StepOrdered, "weights live": StepLive,
}

// AgentProgress holds when one incarnation of an agent reached each step of a rollout.
type AgentProgress struct {
	Process string
	// Incarnation is the number of starts of the agent in the logs so far, at least 1.
	Incarnation int `json:"Start"`
	// After is the time from publication to each step that was reached.
	After map[Step]time.Duration
}

// Rollout is the progress of all agents to one version of a model.
type Rollout struct {
	Model   string
	Version int
	// PublishedAt is when the version was published: the earliest time that any process assumed.
	PublishedAt time.Time `json:"Named"`
	// Agents is sorted by the time of StepLive, then of StepComplete, then of StepKnown. Agents that did not reach a
	// step come after those that did.
	Agents []AgentProgress `json:"Copies"`
}

// rolloutKey identifies a version of a model.
type rolloutKey struct {
	model   string
	version int
}

// agentKey identifies one incarnation of a process.
type agentKey struct {
	process     string
	incarnation int
}

// MeasureRollouts returns the rollouts in the events, sorted by model and version. The events must be sorted by time.
// Events of entry boxes are used only to find the time of publication.
func MeasureRollouts(events []Event) []Rollout {
	incarnations := make(map[string]int)
	published := make(map[rolloutKey]time.Time)
	reached := make(map[rolloutKey]map[agentKey]map[Step]time.Time)
	for i := range events {
		event := &events[i]
		if event.Name == "started" {
			incarnations[event.Process]++
			continue
		}
		step, isStep := eventSteps[event.Name]
		version, err := strconv.Atoi(event.Get("version"))
		if !isStep || err != nil {
			continue
		}
		key := rolloutKey{event.Get("model"), version}
		if step == StepKnown {
			if at := event.Time.Add(-event.Milliseconds("age_ms")); published[key].IsZero() || at.Before(published[key]) {
				published[key] = at
			}
		}
		if reached[key] == nil {
			reached[key] = make(map[agentKey]map[Step]time.Time)
		}
		agent := agentKey{event.Process, max(1, incarnations[event.Process])}
		if reached[key][agent] == nil {
			reached[key][agent] = make(map[Step]time.Time)
		}
		recordStep(reached[key][agent], step, event.Time)
	}
	var all []Rollout
	for key, agents := range reached {
		if rollout, ok := newRollout(key, published[key], agents); ok {
			all = append(all, rollout)
		}
	}
	slices.SortFunc(all, func(a, b Rollout) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return all
}

// recordStep records the time of a step. The first time counts, except for StepLastChunk, which also records
// StepFirstChunk.
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

// newRollout returns the rollout of one version; ok is false if no agent took part or the time of
// publication is unknown.
func newRollout(key rolloutKey, publishedAt time.Time, agents map[agentKey]map[Step]time.Time) (rollout Rollout, ok bool) {
	rollout = Rollout{Model: key.model, Version: key.version, PublishedAt: publishedAt}
	for agent, steps := range agents {
		if len(steps) == 1 && !steps[StepKnown].IsZero() {
			// An entry box, or an agent that stopped before its next step.
			continue
		}
		after := make(map[Step]time.Duration, len(steps))
		for step, at := range steps {
			after[step] = at.Sub(publishedAt)
		}
		rollout.Agents = append(rollout.Agents, AgentProgress{Process: agent.process, Incarnation: agent.incarnation, After: after})
	}
	slices.SortFunc(rollout.Agents, compareProgress)
	return rollout, len(rollout.Agents) > 0 && !publishedAt.IsZero()
}

// compareProgress compares agents in the order of Rollout.Agents, and by process and incarnation if they are equal.
func compareProgress(a, b AgentProgress) int {
	for _, step := range []Step{StepLive, StepComplete, StepKnown} {
		afterA, isA := a.After[step]
		afterB, isB := b.After[step]
		switch {
		case isA && !isB:
			return -1
		case isB && !isA:
			return 1
		case afterA != afterB:
			return cmp.Compare(afterA, afterB)
		}
	}
	return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Reached returns the times from publication at which agents reached a step, in ascending order.
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

// plotInterval is the time between two points of the plot of a rollout.
const plotInterval = 100 * time.Millisecond

// PlotRollout writes the number of agents that had reached each step over time as SVG.
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

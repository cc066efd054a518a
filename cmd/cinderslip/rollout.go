package main

import (
	"fmt"
	"sort"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
)

// rollout shows how far versions have come on the boxes that are to carry them.
type rollout struct {
	Watch    bool          `long:"watch" description:"show progress until every box has what it is to carry"`
	Interval time.Duration `long:"interval" value-name:"TIME" default:"500ms" description:"with --watch: time between two looks"`
}

func (r *rollout) Run(env *environment, _ []string) error {
	answer, err := env.client.status(env.ctx)
	if err != nil {
		return err
	}
	if r.Watch {
		return r.watch(env, answer)
	}
	writer := newTableWriter(env.stdout, "model", "version", "box", "phase", "chunks", "waits")
	for _, copied := range replicasOf(answer) {
		writer.AppendRow(table.Row{copied.Model, copied.Version, copied.box, copied.Phase, copied.chunks(), copied.WaitReason})
	}
	writer.Render()
	return nil
}

// replica is a version that a box is to carry, with how far it has come.
type replica struct {
	member.Copy
	box member.BoxID
}

// phaseNotStarted marks a copy of which the box has not said anything yet.
const phaseNotStarted member.Phase = "not started"

func (b replica) chunks() string {
	if b.TotalChunks == 0 {
		return ""
	}
	if b.Phase == member.PhaseLive {
		return fmt.Sprintf("%d/%d", b.TotalChunks, b.TotalChunks)
	}
	return fmt.Sprintf("%d/%d", b.HeldChunks, b.TotalChunks)
}

// replicasOf joins what the plan wants with what the boxes say.
func replicasOf(answer daemon.StatusResponse) []replica {
	records := make(map[member.BoxID]member.Record, len(answer.Boxes))
	for _, record := range answer.Boxes {
		records[record.Box] = record
	}
	var copies []replica
	for _, wanted := range answer.Desired {
		for _, w := range wanted.Versions {
			copies = append(copies, replica{box: wanted.Box, Copy: replicaState(records[wanted.Box], w)})
		}
	}
	sort.SliceStable(copies, func(i, j int) bool {
		if copies[i].Model != copies[j].Model {
			return copies[i].Model < copies[j].Model
		}
		return copies[i].Version < copies[j].Version
	})
	return copies
}

func replicaState(record member.Record, w plan.PinnedVersion) member.Copy {
	for _, held := range record.Copies {
		if held.Manifest == w.Manifest {
			return held
		}
	}
	out := member.Copy{Model: w.Model, Version: w.Version, Manifest: w.Manifest, Phase: phaseNotStarted}
	if record.Status != member.StatusUp {
		out.WaitReason = "box is " + string(record.Status)
	}
	return out
}

// quartersPerBox is how finely a box's progress moves the bar.
const quartersPerBox = 4

type progress struct {
	done, total int64
	live, boxes int
}

func progressOf(answer daemon.StatusResponse) map[string]progress {
	all := make(map[string]progress)
	for _, copied := range replicasOf(answer) {
		name := fmt.Sprintf("%s@%s", copied.Model, copied.Version)
		p := all[name]
		p.total += quartersPerBox
		p.boxes++
		switch {
		case copied.Phase == member.PhaseLive:
			p.done += quartersPerBox
			p.live++
		case copied.TotalChunks > 0:
			p.done += int64(copied.HeldChunks * (quartersPerBox - 1) / copied.TotalChunks)
		}
		all[name] = p
	}
	return all
}

// isPlanned reports whether the plan takes in the whole table in force, with
// every version that it names.
func isPlanned(answer daemon.StatusResponse) bool {
	for _, row := range answer.Rows {
		if row.Plan.Target != row.Version || row.Plan.WaitReason != "" {
			return false
		}
	}
	return answer.Plan.Table >= answer.Table
}

// watch draws a bar for each version until all are live.
func (r *rollout) watch(env *environment, answer daemon.StatusResponse) error {
	container := mpb.NewWithContext(env.ctx, mpb.WithOutput(env.stdout), mpb.WithAutoRefresh())
	bars := make(map[string]*mpb.Bar)
	var current map[string]progress
	for {
		current = progressOf(answer)
		complete := isPlanned(answer)
		for name, p := range current {
			if bars[name] == nil {
				bars[name] = container.AddBar(p.total, mpb.PrependDecorators(decor.Name(name)),
					mpb.AppendDecorators(decor.CountersNoUnit(" %d/%d quarters")))
			}
			bars[name].SetTotal(p.total, false)
			bars[name].SetCurrent(p.done)
			complete = complete && p.live == p.boxes
		}
		for name, bar := range bars {
			if _, wanted := current[name]; !wanted {
				bar.Abort(true)
				delete(bars, name)
			}
		}
		if complete {
			break
		}
		select {
		case <-env.ctx.Done():
			return env.ctx.Err()
		case <-time.After(r.Interval):
		}
		next, err := env.client.status(env.ctx)
		if err != nil {
			return err
		}
		answer = next
	}
	for _, bar := range bars {
		bar.SetTotal(-1, true)
	}
	container.Wait()
	for name, p := range current {
		if _, err := fmt.Fprintf(env.stdout, "%s live on %d of %d boxes\n", name, p.live, p.boxes); err != nil {
			return err
		}
	}
	return nil
}

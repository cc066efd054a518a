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

// rollout prints the progress of each version on the boxes that it is assigned to.
type rollout struct {
	Watch    bool          `long:"watch" description:"show progress until every box has its assigned versions"`
	Interval time.Duration `long:"interval" value-name:"TIME" default:"500ms" description:"with --watch: time between two status requests"`
}

func (r *rollout) Run(env *environment, _ []string) error {
	response, err := env.client.status(env.ctx)
	if err != nil {
		return err
	}
	if r.Watch {
		return r.watch(env, response)
	}
	writer := newTableWriter(env.stdout, "model", "version", "box", "phase", "chunks", "waits")
	for _, replica := range replicasOf(response) {
		writer.AppendRow(table.Row{replica.Model, replica.Version, replica.box, replica.Phase, replica.chunks(), replica.WaitReason})
	}
	writer.Render()
	return nil
}

// replica is a version that is assigned to a box, with its progress there.
type replica struct {
	member.Copy
	box member.BoxID
}

// phaseNotStarted is the phase of a version that the assigned box has not reported yet.
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

// replicasOf combines the versions that the plan assigns to boxes with the progress that the boxes report, sorted by
// model and version.
func replicasOf(response daemon.StatusResponse) []replica {
	records := make(map[member.BoxID]member.Record, len(response.Boxes))
	for _, record := range response.Boxes {
		records[record.Box] = record
	}
	var replicas []replica
	for _, desired := range response.Desired {
		for _, pinned := range desired.Versions {
			replicas = append(replicas, replica{box: desired.Box, Copy: replicaState(records[desired.Box], pinned)})
		}
	}
	sort.SliceStable(replicas, func(i, j int) bool {
		if replicas[i].Model != replicas[j].Model {
			return replicas[i].Model < replicas[j].Model
		}
		return replicas[i].Version < replicas[j].Version
	})
	return replicas
}

func replicaState(record member.Record, pinned plan.PinnedVersion) member.Copy {
	for _, loaded := range record.Copies {
		if loaded.Manifest == pinned.Manifest {
			return loaded
		}
	}
	absent := member.Copy{Model: pinned.Model, Version: pinned.Version, Manifest: pinned.Manifest, Phase: phaseNotStarted}
	if record.Status != member.StatusUp {
		absent.WaitReason = "box is " + string(record.Status)
	}
	return absent
}

// quartersPerBox is the number of steps of a progress bar for each box: up to three for downloaded chunks, and the
// fourth when the version is live.
const quartersPerBox = 4

// progress is the progress of one version: the state of its bar, and on how many of its assigned boxes it is live.
type progress struct {
	done, total int64
	live, boxes int
}

func progressOf(response daemon.StatusResponse) map[string]progress {
	all := make(map[string]progress)
	for _, replica := range replicasOf(response) {
		name := fmt.Sprintf("%s@%s", replica.Model, replica.Version)
		p := all[name]
		p.total += quartersPerBox
		p.boxes++
		switch {
		case replica.Phase == member.PhaseLive:
			p.done += quartersPerBox
			p.live++
		case replica.TotalChunks > 0:
			p.done += int64(replica.HeldChunks * (quartersPerBox - 1) / replica.TotalChunks)
		}
		all[name] = p
	}
	return all
}

// isPlanned reports whether the plan is based on the current table or a newer one and targets the version of every row.
func isPlanned(response daemon.StatusResponse) bool {
	for _, row := range response.Rows {
		if row.Plan.Target != row.Version || row.Plan.WaitReason != "" {
			return false
		}
	}
	return response.Plan.Table >= response.Table
}

// watch draws a progress bar for each version until all versions are planned and live.
func (r *rollout) watch(env *environment, response daemon.StatusResponse) error {
	container := mpb.NewWithContext(env.ctx, mpb.WithOutput(env.stdout), mpb.WithAutoRefresh())
	bars := make(map[string]*mpb.Bar)
	var current map[string]progress
	for {
		current = progressOf(response)
		complete := isPlanned(response)
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
			if _, found := current[name]; !found {
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
		response = next
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

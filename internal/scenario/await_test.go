package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
)

var statusClient = &http.Client{Timeout: 2 * time.Second}

func status(p *process) (daemon.StatusResponse, error) {
	var answer daemon.StatusResponse
	response, err := statusClient.Get("http://" + p.operators + "/v1/status")
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// awaitAllEntries waits until a check holds at every entry box that runs.
func (d *testDeployment) awaitAllEntries(ts *testscript.TestScript, what string, check func(daemon.StatusResponse) string) {
	await(ts, what, func() string {
		entries := d.entries()
		if len(entries) == 0 {
			return "no entry box runs"
		}
		for _, p := range entries {
			answer, err := status(p)
			if err != nil {
				return err.Error()
			}
			if reason := check(answer); reason != "" {
				return p.name + ": " + reason
			}
		}
		return ""
	})
}

// await-live MODEL VERSION N waits until every entry box knows N boxes that are
// up and have the version live.
func awaitLive(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 3)
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	d.awaitAllEntries(ts, fmt.Sprint("await-live ", args), func(answer daemon.StatusResponse) string {
		live := 0
		for _, record := range answer.Boxes {
			if record.IsLive(table.Model(args[0]), table.ModelVersion(args[1])) {
				live++
			}
		}
		if live != want {
			return fmt.Sprintf("live on %d", live)
		}
		return ""
	})
}

// await-serving GROUP MODEL VERSION waits until every entry box answers the
// group with the version.
func awaitServing(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 3)
	d.awaitAllEntries(ts, fmt.Sprint("await-serving ", args), func(answer daemon.StatusResponse) string {
		for _, row := range answer.Rows {
			if string(row.Group) == args[0] && string(row.Model) == args[1] {
				if string(row.Plan.Serving) == args[2] {
					return ""
				}
				return fmt.Sprintf("serving %q, %s", row.Plan.Serving, row.Plan.WaitReason)
			}
		}
		return "no such row"
	})
}

// await-status BOX STATUS waits until every entry box knows the status; the
// status none means that the box is forgotten.
func awaitStatus(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 2)
	d.awaitAllEntries(ts, fmt.Sprint("await-status ", args), func(answer daemon.StatusResponse) string {
		got := "none"
		for _, record := range answer.Boxes {
			if string(record.Box) == args[0] {
				got = string(record.Status)
			}
		}
		if got != args[1] {
			return got
		}
		return ""
	})
}

// await-fetch BOX waits until a box is in the middle of a fetch.
func awaitFetch(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	d.awaitAllEntries(ts, fmt.Sprint("await-fetch ", args), func(answer daemon.StatusResponse) string {
		for _, record := range answer.Boxes {
			for _, held := range record.Copies {
				if string(record.Box) == args[0] && held.Phase == member.PhaseFetching && held.HeldChunks > 0 {
					return ""
				}
			}
		}
		return "not fetching"
	})
}

// await-table REVISION waits until the revision is in force everywhere.
func awaitTable(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	d.awaitAllEntries(ts, fmt.Sprint("await-table ", args), func(answer daemon.StatusResponse) string {
		if answer.Table < table.Revision(want) || answer.Plan.Table < table.Revision(want) {
			return fmt.Sprintf("table %d, plan for table %d", answer.Table, answer.Plan.Table)
		}
		return ""
	})
}

// await-plan newer waits until a plan of a later epoch than that of the planner
// last frozen is in force.
func awaitPlan(d *testDeployment, ts *testscript.TestScript, args []string) {
	if len(args) != 1 || args[0] != "newer" {
		ts.Fatalf("want newer")
	}
	before, err := strconv.ParseUint(ts.Getenv("FROZEN_EPOCH"), 10, 64)
	ts.Check(err)
	frozen := ts.Getenv("FROZEN")
	await(ts, "await-plan newer", func() string {
		for _, p := range d.entries() {
			if p.name == frozen {
				continue
			}
			answer, err := status(p)
			if err != nil {
				return err.Error()
			}
			if answer.Plan.Epoch <= before {
				return fmt.Sprintf("%s: epoch %d", p.name, answer.Plan.Epoch)
			}
		}
		return ""
	})
}

// freeze-planner stops the entry box that holds the planner's lease from running
// and sets FROZEN to its name and FROZEN_EPOCH to its epoch.
func freezePlanner(d *testDeployment, ts *testscript.TestScript, args []string) {
	answer, err := status(d.entries()[0])
	ts.Check(err)
	name := string(answer.Plan.Planner)
	ts.Setenv("FROZEN", name)
	ts.Setenv("FROZEN_EPOCH", strconv.FormatUint(answer.Plan.Epoch, 10))
	freeze(d, ts, append(args, name))
	for _, p := range d.entries() {
		if p.name != name {
			ts.Setenv("CINDERSLIP_SERVER", p.operators)
		}
	}
}

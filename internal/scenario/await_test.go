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
	var st daemon.StatusResponse
	response, err := statusClient.Get("http://" + p.operators + "/v1/status")
	if err != nil {
		return st, err
	}
	defer func() { _ = response.Body.Close() }()
	return st, json.NewDecoder(response.Body).Decode(&st)
}

// awaitAllEntries waits until a check succeeds for the status of every running entry box.
func (d *testDeployment) awaitAllEntries(ts *testscript.TestScript, what string, check func(daemon.StatusResponse) string) {
	await(ts, what, func() string {
		entries := d.entries()
		if len(entries) == 0 {
			return "no entry box is running"
		}
		for _, p := range entries {
			st, err := status(p)
			if err != nil {
				return err.Error()
			}
			if reason := check(st); reason != "" {
				return p.name + ": " + reason
			}
		}
		return ""
	})
}

// await-live MODEL VERSION N waits until every entry box knows exactly N boxes that are up and have the version live.
func awaitLive(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 3)
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	d.awaitAllEntries(ts, fmt.Sprint("await-live ", args), func(st daemon.StatusResponse) string {
		live := 0
		for _, record := range st.Boxes {
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

// await-serving GROUP MODEL VERSION waits until every entry box serves the version to the group.
func awaitServing(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 3)
	d.awaitAllEntries(ts, fmt.Sprint("await-serving ", args), func(st daemon.StatusResponse) string {
		for _, row := range st.Rows {
			if string(row.Group) == args[0] && string(row.Model) == args[1] {
				if string(row.Plan.Serving) == args[2] {
					return ""
				}
				return fmt.Sprintf("serving %q, %s", row.Plan.Serving, row.Plan.WaitReason)
			}
		}
		return "no row for the group and model"
	})
}

// await-status BOX STATUS waits until every entry box reports the status of the box. The status none means that the
// box is no longer known.
func awaitStatus(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 2)
	d.awaitAllEntries(ts, fmt.Sprint("await-status ", args), func(st daemon.StatusResponse) string {
		got := "none"
		for _, record := range st.Boxes {
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

// await-fetch BOX waits until every entry box reports that the box is fetching weights and has at least one chunk.
func awaitFetch(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	d.awaitAllEntries(ts, fmt.Sprint("await-fetch ", args), func(st daemon.StatusResponse) string {
		for _, record := range st.Boxes {
			for _, replica := range record.Copies {
				if string(record.Box) == args[0] && replica.Phase == member.PhaseFetching && replica.HeldChunks > 0 {
					return ""
				}
			}
		}
		return "not fetching"
	})
}

// await-table REVISION waits until every entry box has the table and a plan of that revision or a later one.
func awaitTable(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	d.awaitAllEntries(ts, fmt.Sprint("await-table ", args), func(st daemon.StatusResponse) string {
		if st.Table < table.Revision(want) || st.Plan.Table < table.Revision(want) {
			return fmt.Sprintf("table %d, plan for table %d", st.Table, st.Plan.Table)
		}
		return ""
	})
}

// await-plan newer waits until every running entry box, except the last frozen planner, has a plan of a later epoch
// than that planner's.
func awaitPlan(d *testDeployment, ts *testscript.TestScript, args []string) {
	if len(args) != 1 || args[0] != "newer" {
		ts.Fatalf("await-plan: want the argument newer")
	}
	before, err := strconv.ParseUint(ts.Getenv("FROZEN_EPOCH"), 10, 64)
	ts.Check(err)
	frozen := ts.Getenv("FROZEN")
	await(ts, "await-plan newer", func() string {
		for _, p := range d.entries() {
			if p.name == frozen {
				continue
			}
			st, err := status(p)
			if err != nil {
				return err.Error()
			}
			if st.Plan.Epoch <= before {
				return fmt.Sprintf("%s: epoch %d", p.name, st.Plan.Epoch)
			}
		}
		return ""
	})
}

// freeze-planner freezes the entry box that made the current plan. It sets FROZEN to the name of the box, FROZEN_EPOCH
// to the epoch of the plan, and CINDERSLIP_SERVER to another entry box.
func freezePlanner(d *testDeployment, ts *testscript.TestScript, args []string) {
	st, err := status(d.entries()[0])
	ts.Check(err)
	name := string(st.Plan.Planner)
	ts.Setenv("FROZEN", name)
	ts.Setenv("FROZEN_EPOCH", strconv.FormatUint(st.Plan.Epoch, 10))
	freeze(d, ts, append(args, name))
	for _, p := range d.entries() {
		if p.name != name {
			ts.Setenv("CINDERSLIP_SERVER", p.operators)
		}
	}
}

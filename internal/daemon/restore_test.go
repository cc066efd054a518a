package daemon

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// restoredPlatform is a configured platform whose key-value service has been restored from a backup that is older than
// the term of a planner and a plan, which its node knows.
type restoredPlatform struct {
	*testPlatform
	node  *testNode
	table *TableStore
	old   *Planner
	term  *leaseTerm
}

func newRestoredPlatform(t *testing.T) *restoredPlatform {
	t.Helper()
	p, n, s := newConfiguredPlatform(t)
	eventually(t, func() bool { rows, _ := n.view.Rows(); return len(rows) == 1 }, "the row is in force")
	backup := p.kvServer.Backup()
	for i := range 10 {
		_, _, err := p.kvClient.CompareAndSwap(t.Context(), fmt.Sprint("other-", i), nil, 0, 0)
		require.NoError(t, err)
	}
	old := newTestPlanner(t, p, n, "old", never)
	term, err := old.acquire(t.Context())
	require.NoError(t, err)
	// The paused planner does not notice that its lease is gone.
	term.stopRenewal()
	require.NoError(t, old.planOnce(t.Context(), term))
	p.kvServer.Restore(backup)
	return &restoredPlatform{testPlatform: p, node: n, table: s, old: old, term: term}
}

// Guards against plans that are in force nowhere: the key-value service numbers the terms of planners anew, below those
// that the boxes know.
func TestPlanIsInForceAfterKeyValueServiceIsRestored(t *testing.T) {
	p := newRestoredPlatform(t)
	next := newTestPlanner(t, p.testPlatform, p.node, "next", never)
	term, err := next.acquire(t.Context())
	require.NoError(t, err)
	require.Greater(t, term.epoch, p.term.epoch)
	require.NoError(t, next.planOnce(t.Context(), term))
	require.Equal(t, plan.Head{Epoch: term.epoch, Sequence: 1, Planner: "next", Table: 1}, p.node.view.PlanHead())
	require.ErrorIs(t, p.old.planOnce(t.Context(), p.term), errSuperseded)
	require.Equal(t, term.epoch, p.node.view.PlanHead().Epoch)
	next.release(term)
	later, err := next.acquire(t.Context())
	require.NoError(t, err)
	require.Greater(t, later.epoch, term.epoch, "terms are ordered until the revisions have caught up, too")
}

// Guards against a planner without an earlier plan that takes its own for the one in force when it receives that of another box.
func TestPlannerEndsItsTermWhenBoxesKnowALaterOne(t *testing.T) {
	p := newRestoredPlatform(t)
	fresh := newTestNode(t, 2, noLinks)
	next := newTestPlanner(t, p.testPlatform, fresh, "next", never)
	term, err := next.acquire(t.Context())
	require.NoError(t, err)
	require.NoError(t, next.planOnce(t.Context(), term))
	fresh.store.Apply(p.node.store.Since(state.Cursor{}, 0).Items, state.OriginRemote)
	eventually(t, func() bool { return fresh.view.PlanHead().Epoch == p.term.epoch }, "the later plan is known")
	require.ErrorIs(t, next.planOnce(t.Context(), term), errSuperseded)
	next.release(term)
	term, err = next.acquire(t.Context())
	require.NoError(t, err)
	require.NoError(t, next.planOnce(t.Context(), term))
	require.Equal(t, term.epoch, fresh.view.PlanHead().Epoch)
}

// Guards against two planners whose plans are in force in turn: after a restore, revisions are assigned again, so the
// compare-and-swap of a planner that was paused through it may succeed.
func TestOnePlannerStaysAfterRevisionsAreAssignedAgain(t *testing.T) {
	for name, oldPlansFirst := range map[string]bool{"old plans first": true, "next plans first": false} {
		t.Run(name, func(t *testing.T) {
			p, n, _ := newConfiguredPlatform(t)
			eventually(t, func() bool { rows, _ := n.view.Rows(); return len(rows) == 1 }, "the row is in force")
			backup := p.kvServer.Backup()
			old, next := newTestPlanner(t, p, n, "old", never), newTestPlanner(t, p, n, "next", never)
			oldTerm, err := old.acquire(t.Context())
			require.NoError(t, err)
			oldTerm.stopRenewal()
			p.kvServer.Restore(backup)
			term, err := next.acquire(t.Context())
			require.NoError(t, err)
			require.Equal(t, oldTerm.headRevision, term.headRevision, "the revisions coincide")
			if oldPlansFirst {
				require.NoError(t, old.planOnce(t.Context(), oldTerm))
				require.ErrorIs(t, next.planOnce(t.Context(), term), errSuperseded)
				next.release(term)
				term, err = next.acquire(t.Context())
				require.NoError(t, err)
			}
			require.NoError(t, next.planOnce(t.Context(), term))
			require.ErrorIs(t, old.planOnce(t.Context(), oldTerm), errSuperseded)
			require.Equal(t, plan.Head{Epoch: term.epoch, Sequence: term.sequence, Planner: "next", Table: 1}, n.view.PlanHead())
		})
	}
}

// Guards against agents that take no assignment: after a start of all entry boxes only agents know the epoch in force.
func TestPlannerLearnsLaterEpochFromAgents(t *testing.T) {
	p := newRestoredPlatform(t)
	monitored, other := newMonitoredNode(t, 2, time.Hour), newTestNode(t, 3, noLinks)
	client := wire.NewDRPCMonitorClient(newTestPeerPool(t).Conn(monitored.address))
	_, err := client.Heartbeat(t.Context(), &wire.HeartbeatRequest{Box: "b", AssignmentMajor: p.term.epoch, AssignmentMinor: 1})
	require.NoError(t, err)
	next := newTestPlanner(t, p.testPlatform, other, "next", never)
	term, err := next.acquire(t.Context())
	require.NoError(t, err)
	other.store.Apply(monitored.store.Since(state.Cursor{}, 0).Items, state.OriginRemote)
	eventually(t, func() bool { return errors.Is(next.planOnce(t.Context(), term), errSuperseded) }, "the term ends once the epoch is known")
	next.release(term)
	term, err = next.acquire(t.Context())
	require.NoError(t, err)
	require.Greater(t, term.epoch, p.term.epoch)
	require.NoError(t, next.planOnce(t.Context(), term))
}

package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/standin"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
)

func newTestPlanner(t *testing.T, p *testPlatform, n *testNode, box member.BoxID, isRelay func() bool) *Planner {
	t.Helper()
	planner := NewPlanner(box, p.kvClient, []provider.WeightSource{p.source}, n.view, n.replica,
		clockwork.NewRealClock(), nopLogger(), NewMetrics(), isRelay, 10*time.Millisecond)
	t.Cleanup(func() { stopService(t, planner) })
	return planner
}

func never() bool { return false }

func TestPlannerPausedBeyondItsLeaseChangesNothing(t *testing.T) {
	p, n, _ := newConfiguredPlatform(t)
	paused := newTestPlanner(t, p, n, "paused", never)
	next := newTestPlanner(t, p, n, "next", never)
	old, err := paused.acquire(t.Context())
	require.NoError(t, err)
	// The paused planner does not notice that its lease expires, and another planner acquires it.
	old.stopRenewal()
	require.NoError(t, p.kvClient.Revoke(t.Context(), old.lease))
	current, err := next.acquire(t.Context())
	require.NoError(t, err)
	require.Greater(t, current.epoch, old.epoch)

	before := n.store.Since(state.Cursor{}, 0).Next
	require.ErrorIs(t, paused.planOnce(t.Context(), old), errSuperseded)
	for _, item := range n.store.Since(before, 0).Items {
		require.NotEqual(t, old.epoch, item.Version.Major, "%s was written by the superseded planner", item.Key)
	}
	require.NoError(t, next.planOnce(t.Context(), current))
	require.Equal(t, current.epoch, n.view.PlanHead().Epoch)
}

func TestTwoPlannersNeverHoldTheLeaseAtOnce(t *testing.T) {
	p, n, _ := newConfiguredPlatform(t)
	first := newTestPlanner(t, p, n, "first", never)
	second := newTestPlanner(t, p, n, "second", never)
	term, err := first.acquire(t.Context())
	require.NoError(t, err)
	_, err = second.acquire(t.Context())
	require.ErrorIs(t, err, errSuperseded)
	first.release(term)
	_, err = second.acquire(t.Context())
	require.NoError(t, err)
}

func TestPlanSwapWithLostResponsePublishesNothing(t *testing.T) {
	p, n, _ := newConfiguredPlatform(t)
	planner := newTestPlanner(t, p, n, "planner", never)
	term, err := planner.acquire(t.Context())
	require.NoError(t, err)
	p.kvServer.SetFault(func(string) standin.Fault { return standin.Fault{DropResponse: true} })
	require.Error(t, planner.planOnce(t.Context(), term))
	require.Zero(t, n.view.PlanHead().Epoch)
	p.kvServer.SetFault(nil)
	planner.release(term)
	next, err := planner.acquire(t.Context())
	require.NoError(t, err, "the next term continues from the stored head")
	require.NoError(t, planner.planOnce(t.Context(), next))
	require.Equal(t, next.epoch, n.view.PlanHead().Epoch)
}

func TestPlanStaysInForceWhileTheKeyValueServiceIsDown(t *testing.T) {
	p, n, _ := newConfiguredPlatform(t)
	newTestPlanner(t, p, n, "planner", always)
	row := table.Key{Group: "kumiai", Model: "kakiwake"}
	eventually(t, func() bool { rowPlan, ok := n.view.RowPlan(row); return ok && rowPlan.Target == "v1" }, "a plan is published")
	before := n.view.PlanHead()
	p.kvServer.SetFault(func(string) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	time.Sleep(2 * plannerRenewInterval)
	_, ok := n.view.RowPlan(row)
	require.True(t, ok)
	require.Equal(t, before, n.view.PlanHead())
}

func TestPlannerLosesLeaseWhenRenewalFails(t *testing.T) {
	clock := clockwork.NewFakeClock()
	planner := &Planner{clock: clock, metrics: NewMetrics(), kv: provider.KeyValue{
		KeepAlive: func(context.Context, provider.LeaseID) error { return provider.ErrUnavailable },
	}}
	done := make(chan error, 1)
	go func() { done <- planner.renew(t.Context(), 1, clock.Now()) }()
	for {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(plannerRenewInterval)
		select {
		case err := <-done:
			require.ErrorIs(t, err, provider.ErrLeaseLost)
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestPlanItemsContainOnlyChanges(t *testing.T) {
	box := plan.Assignment{Versions: []plan.PinnedVersion{{Model: "m", Version: "v1"}}}
	before := plan.Plan{
		Boxes: map[member.BoxID]plan.Assignment{"a": box, "b": box, "gone": box},
		Rows:  map[table.Key]plan.RowPlan{{Group: "g", Model: "m"}: {Serving: "v1"}},
	}
	after := plan.Plan{
		Boxes: map[member.BoxID]plan.Assignment{"a": box, "b": {}, "new": box},
		Rows:  before.Rows,
	}
	items, err := planItems(before, after, state.Version{Major: 3, Minor: 1})
	require.NoError(t, err)
	deletedByKey := make(map[string]bool)
	for _, item := range items {
		deletedByKey[item.Key] = item.Deleted
	}
	require.Equal(t, map[string]bool{"plan/box/b": false, "plan/box/new": false, "plan/box/gone": true}, deletedByKey)
}

package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// newHedgedExchange returns an exchange of a resumable stream that allows two attempts, at a box with the servers a and b.
func newHedgedExchange(t *testing.T) (*cutoffTest, *exchange) {
	t.Helper()
	c := newCutoffTest(t, "a:1")
	c.state.Apply([]fleet.Fact{{Key: fleet.ServerKey("b"), Revision: 3, Server: &fleet.Server{
		ID: "b", Service: "llm", Address: "b:1", Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: 1}},
	}}}, "store")
	x := c.newExchange()
	x.route.Resumable, x.route.MaxAttempts = true, 2
	return c, x
}

// beginOn adds an attempt at a server.
func (c *cutoffTest) beginOn(x *exchange, server fleet.ServerID) *attempt {
	c.t.Helper()
	var others []fleet.ServerID
	for _, id := range []fleet.ServerID{"a", "b"} {
		if id != server {
			others = append(others, id)
		}
	}
	reservation, err := c.server.acquireSlot(c.t.Context(), x, others)
	require.NoError(c.t, err)
	require.Equal(c.t, server, reservation.Server.ID)
	return x.begin(c.t.Context(), reservation, nil, c.clock.Now())
}

// Guards against a caller that disconnects within a long body counting as a failure of the server.
func TestServerOfCallerThatLeavesWithinLongBodyHasNotFailed(t *testing.T) {
	h := &hedgeTest{script: &hedgeScript{Servers: 1, IsLongBody: true, MaxAttempts: 1, Deadline: 5 * time.Second, CallerLeaves: ownTime / 4}}
	synctest.Test(t, func(t *testing.T) { h.run(t) })
	require.Empty(t, h.log.lines(`"result":"failed"`))
	require.Empty(t, h.log.lines("answer cut"))
	require.NotEmpty(t, h.log.lines("caller left"))
}

// Guards against hedges that are not allowed using up the rate limit of their server.
func TestHedgeWithoutRetryBudgetTakesNoToken(t *testing.T) {
	c, x := newHedgedExchange(t)
	c.server.allowRetries(0)
	c.beginOn(x, "a")
	c.state.ObserveRateLimit("b", 0, fleet.RateLimit{Set: true, PerSecond: 5}, c.clock.Now(), "request r")
	c.updateDispatcher()
	c.clock.Advance(time.Second)
	c.server.startWatchdog(t.Context(), x)
	defer x.group.stop()
	tokens := func() float64 { return c.server.dispatcher("llm").LimitedServers(c.clock.Now())[0].Tokens }
	before := tokens()
	require.Greater(t, before, 1.0)
	x.group.mu.Lock()
	x.group.hedgeAt = c.clock.Now()
	x.group.mu.Unlock()
	c.server.checkProgress(t.Context(), x)
	require.InDelta(t, before, tokens(), 0.001)
}

// Guards against log lines of superseded attempts without their cause.
func TestSupersededAttemptHasItsCauseWithoutAnotherError(t *testing.T) {
	c, x := newHedgedExchange(t)
	first, hedge := c.beginOn(x, "a"), c.beginOn(x, "b")
	require.True(t, x.group.claim(hedge))
	require.EqualError(t, first.withCause(nil), errNoProgress.Error())
	require.NoError(t, hedge.withCause(nil))
}

// Guards against counting a hedge that was superseded before it was sent as refused by its server.
func TestHedgeSupersededBeforeItIsSentIsNotRefused(t *testing.T) {
	c, x := newHedgedExchange(t)
	c.server.pool = upstream.NewPool(upstream.Options{
		Clock: c.clock, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) { return nil, ctx.Err() },
	})
	first, hedge := c.beginOn(x, "a"), c.beginOn(x, "b")
	require.True(t, x.group.claim(first))
	c.server.runAttempt(x, hedge)
	require.Contains(t, c.log.String(), `"result":"superseded"`)
	require.NotContains(t, c.log.String(), `"result":"refused"`)
}

// Guards against cutting a response that a hedge has completed as the other attempt ended at the deadline.
func TestCompleteResponseIsNotCutForAnotherAttempt(t *testing.T) {
	c, x := newHedgedExchange(t)
	first, hedge := c.beginOn(x, "a"), c.beginOn(x, "b")
	x.started = true
	require.NotPanics(t, func() {
		require.True(t, c.server.finishWith(x, []attemptResult{
			{first, outcomeTruncated, context.DeadlineExceeded}, {hedge, outcomeDone, nil},
		}))
	})
	require.Contains(t, c.log.String(), "request answered")
}

// Guards against a hedge of a request under which a server exited sharing its server with another such request.
func TestHedgeOfSuspectRequestSharesNoServerWithAnother(t *testing.T) {
	c, x := newHedgedExchange(t)
	c.server.suspects.Observe(route.Evidence{Attribute: x.contentID(), Exited: route.ServerIncarnation{Server: "c"}, At: c.clock.Now()}, "request r")
	c.clock.Advance(5 * time.Second)
	c.server.startWatchdog(t.Context(), x)
	defer x.group.stop()
	c.beginOn(x, "a")
	x.group.timer.Stop()
	c.clock.Advance(firstEventTimeout)
	require.True(t, c.server.quarantineDecision(x).Suspect)
	req, ok := c.server.hedgeRequest(t.Context(), x)
	require.True(t, ok)
	require.True(t, req.Suspect)
}

// requireNextSlotsOn checks that the next requests get slots on a server.
func (c *cutoffTest) requireNextSlotsOn(t *testing.T, want fleet.ServerID) {
	t.Helper()
	for range 20 {
		reservation, err := c.server.acquireSlot(t.Context(), c.newExchange(), nil)
		require.NoError(t, err)
		require.Equal(t, want, reservation.Server.ID)
		reservation.Release(route.ResultDone, c.clock.Now())
	}
}

// Guards against a server that is silent for good staying in use as if it were sound.
func TestServerThatOthersReplacedIsAvoided(t *testing.T) {
	c, x := newHedgedExchange(t)
	first, hedge := c.beginOn(x, "a"), c.beginOn(x, "b")
	require.True(t, x.group.claim(hedge))
	_, _ = c.server.streamFailed(x, first, first.withCause(io.ErrClosedPipe))
	c.server.finishAttempt(x, hedge, route.ResultDone, nil)
	c.requireNextSlotsOn(t, "b")
}

// Guards against avoiding the server of a hedge because the silent server went on first.
func TestServerOfSupersededHedgeIsNotAvoided(t *testing.T) {
	c, x := newHedgedExchange(t)
	first, hedge := c.beginOn(x, "a"), c.beginOn(x, "b")
	require.True(t, x.group.claim(first))
	_, _ = c.server.streamFailed(x, hedge, hedge.withCause(io.ErrClosedPipe))
	c.server.finishAttempt(x, first, route.ResultFailed, errServerFailed)
	c.requireNextSlotsOn(t, "b")
}

// Guards against another hedge beside a body that flows again, as the first hedge was refused.
func TestRefusedHedgeIsNotRepeatedAfterProgress(t *testing.T) {
	c, x := newHedgedExchange(t)
	x.route.Kind = fleet.KindRepeatable
	c.server.startWatchdog(t.Context(), x)
	defer x.group.stop()
	first := c.beginOn(x, "a")
	c.clock.Advance(x.group.hedgeDelay - time.Millisecond)
	hedge := c.beginOn(x, "b")
	c.clock.Advance(time.Millisecond)
	x.group.noteProgress(first, c.clock.Now())
	x.group.end(hedge, outcomeNotExecuted, errNotExecuted, c.clock.Now())
	require.Equal(t, c.clock.Now().Add(x.group.hedgeDelay), x.group.hedgeAt)
}

// Guards against waiting for a silent server because a hedge made progress before it failed.
func TestFailedHedgeIsRepeatedSoonWhileFirstServerIsSilent(t *testing.T) {
	c, x := newHedgedExchange(t)
	x.route.Kind = fleet.KindRepeatable
	c.server.startWatchdog(t.Context(), x)
	defer x.group.stop()
	c.beginOn(x, "a")
	c.clock.Advance(x.group.hedgeDelay - time.Millisecond)
	hedge := c.beginOn(x, "b")
	c.clock.Advance(time.Millisecond)
	x.group.noteProgress(hedge, c.clock.Now())
	x.group.end(hedge, outcomeUnknown, io.ErrUnexpectedEOF, c.clock.Now())
	require.Equal(t, c.clock.Now().Add(hedgeRetryDelay), x.group.hedgeAt)
}

// Guards against appending a response that is no event stream to a stream that has started.
func TestStreamIsNotContinuedWithAnotherKindOfResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	c := newCutoffTest(t, member.Address(server.Listener.Addr().String()))
	c.server.protocol.WriteRequest = func(http.Header, provider.OutboundMetadata) {}
	x := c.newExchange()
	recorder := httptest.NewRecorder()
	x.writer, x.started, x.lastEventID = recorder, true, "3"
	reservation, err := c.server.acquireSlot(t.Context(), x, nil)
	require.NoError(t, err)
	result, err := c.server.attempt(x, x.begin(t.Context(), reservation, nil, c.clock.Now()))
	require.Error(t, err)
	require.Equal(t, outcomeStreamBroken, result)
	require.Empty(t, recorder.Body.String())
	require.Empty(t, c.server.Load())
}

// Guards against hedging every request of a box that was paused, before it has read what arrived meanwhile.
func TestNoHedgeIsStartedRightAfterPauseOfBox(t *testing.T) {
	c, x := newHedgedExchange(t)
	c.server.startWatchdog(t.Context(), x)
	defer x.group.stop()
	c.beginOn(x, "a")
	x.group.timer.Stop()
	c.clock.Advance(firstEventTimeout + time.Second)
	_, ok := c.server.hedgeRequest(t.Context(), x)
	require.False(t, ok)
	x.group.timer.Stop()
	c.clock.Advance(hedgeRetryDelay)
	_, ok = c.server.hedgeRequest(t.Context(), x)
	require.True(t, ok, "the server is silent")
}

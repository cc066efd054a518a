package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// testVersionBound is how long after newer weights were named older ones may begin requests.
const testVersionBound = 8 * time.Second

// slowLink is the way from an entry box to one server, on which bytes stay for long, as on a full link.
type slowLink struct {
	address member.Address
	// requests gets what the link holds once a whole request is on it.
	requests chan []byte
	// closed gets how the sender ended the connection: io.EOF for a close in order, which promises that
	// all that was sent arrives, and any other error for a reset, which does not.
	closed chan error
}

// newSlowLink returns a link that takes connections, one after the other.
func newSlowLink(t *testing.T) *slowLink {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	link := &slowLink{address: member.Address(listener.Addr().String()), requests: make(chan []byte, 1), closed: make(chan error, 1)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			link.receive(conn)
		}
	}()
	return link
}

// receive takes what is sent on a connection until its end.
func (l *slowLink) receive(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	held, buffer := []byte(nil), make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		held = append(held, buffer[:n]...)
		if strings.Contains(string(held), "\r\n\r\n") && len(l.requests) == 0 {
			l.requests <- held
		}
		if err != nil {
			l.closed <- err
			return
		}
	}
}

// cutoffTest is an entry box before one server that has the first version of a model.
type cutoffTest struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	facts  *FleetState
	server *CallerServer
	log    *bytes.Buffer
}

func newCutoffTest(t *testing.T, server member.Address) *cutoffTest {
	t.Helper()
	clock := clockwork.NewFakeClock()
	facts := NewFleetState(clock, zerolog.Nop(), NewMetrics())
	w := &cutoffTest{t: t, clock: clock, facts: facts, log: new(bytes.Buffer)}
	w.server = &CallerServer{
		suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: facts, clock: clock, log: zerolog.New(w.log), metrics: NewMetrics(), tasks: kernel.NewTaskGroup(), versionBound: testVersionBound,
		protocol: testProtocol(), retries: retryLimits{1, 100, 10 * time.Second}, isLocal: func(member.FailureDomain) bool { return true },
		dispatchers: make(map[member.Service]*route.Dispatcher), budgets: make(map[member.Service]*route.WindowRetryBudget), models: make(map[member.Service]fleet.ModelName),
		callerTimeouts: make(map[string]*route.CallerTimeoutEstimator),
	}
	w.server.pool = upstream.NewPool(upstream.Options{Clock: clock, Matches: func(*http.Response, string) bool { return true }})
	engine := &fleet.Engine{Slots: 4, Models: []fleet.ModelName{"m"}, PrefillTokensPerSecond: 30000}
	facts.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{
		Version: 1, Services: []fleet.Service{{Name: "llm", Engine: engine}},
	}}}, "store")
	facts.Apply([]fleet.Fact{
		{Key: fleet.ServerKey("a"), Revision: 2, Server: &fleet.Server{
			ID: "a", Service: "llm", Address: server, Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: 1}},
		}},
	}, "store")
	return w
}

// publishSecond names the second version of the weights.
func (w *cutoffTest) publishSecond() { w.facts.Apply([]fleet.Fact{publishedFact(2, 3)}, "store") }

// updateDispatcher follows what is believed and the time, as the box does again and again.
func (w *cutoffTest) updateDispatcher() {
	d := w.server.dispatcher("llm")
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	w.server.updateDispatcher("llm", d)
}

// testProtocol writes nothing but the version that must answer, and takes every answer.
func testProtocol() provider.CallerProtocol {
	return provider.CallerProtocol{
		WriteRequest: func(header http.Header, out provider.OutboundMetadata) {
			header.Set("Expect", strconv.FormatUint(uint64(out.Version), 10))
		},
		ReadResponse: func(*http.Response) provider.ResponseMetadata { return provider.ResponseMetadata{Signed: true} },
	}
}

// awaitDone waits for an outcome, in real time and never to judge speed.
func awaitDone(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the request has no outcome")
	}
}

// acquireSlot is a place on the server whose answer has not begun, and how often it was given up.
func (w *cutoffTest) acquireSlot() (place *route.Reservation, givenUp *int) {
	w.t.Helper()
	place, err := w.server.acquireSlot(w.t.Context(), w.newExchange(), nil)
	require.NoError(w.t, err)
	givenUp = new(int)
	place.OnVersionCutoff(func() { *givenUp++ })
	return place, givenUp
}

// newExchange is one for a stream, of a caller who waits for a minute.
func (w *cutoffTest) newExchange() *exchange {
	request := httptest.NewRequestWithContext(w.t.Context(), http.MethodPost, "/draft/1", http.NoBody)
	x := &exchange{
		InboundMetadata: provider.InboundMetadata{ID: "r", Deadline: time.Minute}, writer: httptest.NewRecorder(), request: request, service: "llm", arrived: w.clock.Now(),
		route: &fleet.Route{Name: "draft", Kind: fleet.KindStream, MaxAttempts: 1, Objective: 400 * time.Millisecond, Timeout: time.Minute},
	}
	w.server.setDeadline(x)
	return x
}

// runRequest makes a request at the box; the channel is closed when it has its outcome.
func (w *cutoffTest) runRequest() <-chan struct{} {
	x, done := w.newExchange(), make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if problem := recover(); problem != nil && !errors.Is(problem.(error), http.ErrAbortHandler) {
				panic(problem)
			}
		}()
		w.server.run(x)
	}()
	return done
}

// Users saw a request begin on weights that a newer version had replaced for longer than the
// bound. In a play of a day with two versions a request had been sent to a server that was not
// swapped yet; half a second before the bound the box gave it up and closed the connection in
// order, but its bytes were still on the way. They came 0.5 s later, the close after them, and the
// server began the request 0.1 s after the bound. A close in order promises the receiver all that was
// written before; a reset does not.
func TestAbortedRequestResetsConnection(t *testing.T) {
	link := newSlowLink(t)
	w := newCutoffTest(t, link.address)
	w.publishSecond()
	w.clock.Advance(testVersionBound - slowCutoffMargin - 100*time.Millisecond)
	done := w.runRequest()
	<-link.requests
	w.clock.Advance(slowCutoffMargin + 100*time.Millisecond - responseStartMargin)
	w.updateDispatcher()
	awaitDone(t, done)
	require.ErrorIs(t, <-link.closed, syscall.ECONNRESET, "the server gets what a close in order follows")
	require.Contains(t, w.log.String(), errNotStarted.Error(), "the log tells why the attempt ended")
}

// The time by which an answer must have begun was worked out once, as the request was sent. A
// version that was named afterwards, or whose age was corrected, gave it up too late or never.
func TestRequestAbortUsesCurrentVersionAge(t *testing.T) {
	for name, learn := range map[string]func(w *cutoffTest){
		"named after the request was sent": func(w *cutoffTest) {
			w.clock.Advance(time.Second)
			w.publishSecond()
			w.clock.Advance(testVersionBound - responseStartMargin)
		},
		"named earlier than was thought": func(w *cutoffTest) {
			w.publishSecond()
			w.clock.Advance(time.Second)
			w.facts.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 2, Age: 4 * time.Second}}, "entry-2")
			w.clock.Advance(testVersionBound - responseStartMargin - 4*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			link := newSlowLink(t)
			w := newCutoffTest(t, link.address)
			done := w.runRequest()
			<-link.requests
			learn(w)
			w.updateDispatcher()
			awaitDone(t, done)
			require.ErrorIs(t, <-link.closed, syscall.ECONNRESET)
		})
	}
}

// A box that had stood still between choosing a server and sending the request sent it after the
// bound to a server that was not swapped.
func TestRequestIsNotSentPastCutoff(t *testing.T) {
	link := newSlowLink(t)
	w := newCutoffTest(t, link.address)
	w.publishSecond()
	x := w.newExchange()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	place, err := w.server.acquireSlot(ctx, x, nil)
	require.NoError(t, err)
	w.clock.Advance(testVersionBound - cutoffMargin)
	x.deadline = w.clock.Now().Add(time.Minute)
	done := make(chan error, 1)
	go func() {
		_, err := w.server.attempt(ctx, x, place, w.server.startWatchdog(ctx, x, nil))
		done <- err
	}()
	select {
	case err := <-done:
		require.ErrorIs(t, err, errPastCutoff)
	case <-link.requests:
		t.Fatal("the request was sent")
	}
	require.Empty(t, w.server.Load(), "the place is given back")
}

// The server was given a deadline that ended with its weights, so that every stream
// that ran then was cut.
func TestStartedResponseContinuesPastCutoff(t *testing.T) {
	w := newCutoffTest(t, "a")
	place, givenUp := w.acquireSlot()
	w.publishSecond()
	w.clock.Advance(testVersionBound - time.Second)
	place.Started(w.clock.Now())
	w.clock.Advance(time.Minute)
	w.updateDispatcher()
	require.Zero(t, *givenUp)
}

func TestUnstartedResponseIsAbortedAtCutoff(t *testing.T) {
	w := newCutoffTest(t, "a")
	_, givenUp := w.acquireSlot()
	w.publishSecond()
	w.clock.Advance(testVersionBound - responseStartMargin - time.Millisecond)
	w.updateDispatcher()
	require.Zero(t, *givenUp)
	w.clock.Advance(time.Millisecond)
	w.updateDispatcher()
	require.Equal(t, 1, *givenUp)
}

func TestFinishedAttemptIsNotAborted(t *testing.T) {
	w := newCutoffTest(t, "a")
	place, givenUp := w.acquireSlot()
	w.publishSecond()
	place.Release(route.ResultDone, w.clock.Now())
	w.clock.Advance(time.Minute)
	w.updateDispatcher()
	require.Zero(t, *givenUp)
}

// A request lay at a server that was then listed as leaving, or no longer at all. Its box looked only
// at the servers of the list, and gave it up no more; such servers serve on for seconds.
func TestRequestToUnlistedServerIsAbortedAtCutoff(t *testing.T) {
	leaving := func(id fleet.ServerID) fleet.Fact {
		return fleet.Fact{Key: fleet.ServerKey(id), Revision: 9, Server: &fleet.Server{
			ID: id, Service: "llm", Address: "a:1", Slots: 4, Leaving: true, Models: []fleet.LoadedModel{{Name: "m", Version: 1}},
		}}
	}
	back := leaving("a")
	back.Revision, back.Server.Leaving = 10, false
	for name, changes := range map[string][]fleet.Fact{
		"stays":         nil,
		"leaves":        {leaving("a")},
		"is gone":       {{Key: fleet.ServerKey("a"), Revision: 9, Deleted: true}},
		"is back":       {{Key: fleet.ServerKey("a"), Revision: 9, Deleted: true}, back},
		"has no engine": {{Key: fleet.ConfigurationKey(), Revision: 9, Configuration: &fleet.Configuration{Version: 2, Services: []fleet.Service{{Name: "llm"}}}}},
		"has no service": {
			{Key: fleet.ConfigurationKey(), Revision: 9, Configuration: &fleet.Configuration{Version: 2, Services: []fleet.Service{{Name: "maps"}}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCutoffTest(t, "a:1")
			w.publishSecond()
			w.updateDispatcher()
			_, givenUp := w.acquireSlot()
			for _, change := range changes {
				w.facts.Apply([]fleet.Fact{change}, "store")
				w.updateDispatcher()
			}
			w.clock.Advance(testVersionBound - responseStartMargin)
			w.updateDispatcher()
			require.NotZero(t, *givenUp)
		})
	}
}

// The bound passed while the connection was being opened.
func TestRequestIsNotSentIfCutoffPassesDuringDial(t *testing.T) {
	link := newSlowLink(t)
	w := newCutoffTest(t, link.address)
	w.server.pool = upstream.NewPool(upstream.Options{
		Clock: w.clock, Matches: func(*http.Response, string) bool { return true }, OnConnect: func() { w.clock.Advance(testVersionBound) },
	})
	w.publishSecond()
	w.clock.Advance(time.Second)
	w.updateDispatcher()
	done := w.runRequest()
	require.ErrorIs(t, <-link.closed, io.EOF)
	require.Empty(t, link.requests)
	w.clock.Advance(time.Minute)
	awaitDone(t, done)
}

// A server whose box has no power is found by connections that do not come about; the box left it in use
// when an attempt without progress, which was to be dialled still, had gone on elsewhere.
func TestUnreachableServerIsCountedAfterStalledAttempt(t *testing.T) {
	for reason, unreachable := range map[error]int{errNoProgress: 1, errNotStarted: 0, errPastCutoff: 0} {
		w := newCutoffTest(t, "a:1")
		x := w.newExchange()
		place, err := w.server.acquireSlot(t.Context(), x, nil)
		require.NoError(t, err)
		result, _ := w.server.sendFailed(x, place, fmt.Errorf("%w: %w", reason, upstream.ErrNotSent))
		require.Equal(t, outcomeNotExecuted, result)
		require.Equal(t, unreachable, x.unreachable, reason)
	}
}

// A service whose engine was configured later than its servers came was never asked for its weights.
func TestCutoffAppliesToServiceConfiguredAsEngineLater(t *testing.T) {
	w := newCutoffTest(t, "a:1")
	w.server.dispatchers["llm"] = w.server.newDispatcher("llm", &fleet.Service{Name: "llm"})
	w.updateDispatcher()
	w.publishSecond()
	_, givenUp := w.acquireSlot()
	w.clock.Advance(testVersionBound)
	w.updateDispatcher()
	require.Equal(t, 1, *givenUp)
}

// A request that was not sent, as the weights of its server were barred, never came to that server again,
// though it had newer ones a moment later.
func TestUnsentRequestMayRetryServerWithNewerWeights(t *testing.T) {
	link := newSlowLink(t)
	w := newCutoffTest(t, link.address)
	swapped := fleet.Fact{Key: fleet.ServerKey("a"), Revision: 9, Server: &fleet.Server{
		ID: "a", Service: "llm", Address: link.address, Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: 2}},
	}}
	opened := 0
	w.server.pool = upstream.NewPool(upstream.Options{Clock: w.clock, Matches: func(*http.Response, string) bool { return true }, OnConnect: func() {
		if opened++; opened == 1 {
			w.clock.Advance(testVersionBound)
		} else {
			return
		}
		go func() {
			if err := <-link.closed; err == nil {
				return
			}
			w.facts.Apply([]fleet.Fact{swapped}, "store")
			w.updateDispatcher()
		}()
	}})
	w.publishSecond()
	w.updateDispatcher()
	w.runRequest()
	select {
	case <-link.requests:
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not sent")
	}
}

// After all processes were killed nobody knows when a version was named that is there already. It was
// taken to have been named five seconds before the start, whatever the bound: with one of 30 s older weights began
// requests for 24 s on, and for all that time the version may have been named long ago.
func TestVersionsPresentAtStartAreCutOffBeforeBoxIsSettled(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loaded := &settings.Settings{Mode: settings.ModeDirect, Direct: settings.Direct{VersionBound: settings.Duration(30 * time.Second)}}
	loaded.Default()
	p := &Process{services: kernel.New(), settings: loaded, options: Options{Clock: clock, Log: zerolog.Nop()}, metrics: NewMetrics()}
	require.NoError(t, p.newFleetState())
	p.fleetState.Apply([]fleet.Fact{
		{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 1}}, publishedFact(2, 2),
	}, "store")
	f := &CallerServer{suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: p.fleetState, clock: clock, versionBound: 30 * time.Second}
	clock.Advance(3 * time.Second)
	require.EqualValues(t, 2, f.requiredVersion(p.fleetState.View().PublishedVersions("m"), clock.Now()))
}

// A server that has started again under its id may hold older weights than its entry, or the last word of its agent,
// tells. A request that was sent there before the older ones were barred was not to be run by the newest alone, so
// the server could begin it on older ones after the bound, and nothing gave it up.
func TestRequestRequiresNewestVersionOnceServerHasIt(t *testing.T) {
	for name, test := range map[string]struct {
		holds fleet.WeightsVersion
		want  string
	}{
		"the newest": {2, "2"},
		"older ones": {1, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			link := newSlowLink(t)
			w := newCutoffTest(t, link.address)
			w.publishSecond()
			w.facts.Apply([]fleet.Fact{{Key: fleet.ServerKey("a"), Revision: 4, Server: &fleet.Server{
				ID: "a", Service: "llm", Address: link.address, Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: test.holds}},
			}}}, "store")
			w.updateDispatcher()
			ctx, cancel := context.WithCancel(t.Context())
			x := w.newExchange()
			x.request = x.request.WithContext(ctx)
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.server.run(x)
			}()
			require.Contains(t, string(<-link.requests), "Expect: "+test.want+"\r\n")
			cancel()
			awaitDone(t, done)
		})
	}
}

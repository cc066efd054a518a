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

// testVersionBound is how long older versions may start requests after a newer version was published.
const testVersionBound = 8 * time.Second

// slowLink is a link from an entry box to one server that delays all bytes, like a congested link.
type slowLink struct {
	address member.Address
	// requests receives the bytes on the link once they contain a complete request.
	requests chan []byte
	// closed receives the error with which the sender closed the connection: io.EOF for an orderly close, which
	// guarantees the delivery of all bytes that were sent, and another error for a reset, which does not.
	closed chan error
}

// newSlowLink returns a link that accepts connections one after the other.
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

// receive reads from a connection until it is closed.
func (l *slowLink) receive(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	received, buffer := []byte(nil), make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		received = append(received, buffer[:n]...)
		if strings.Contains(string(received), "\r\n\r\n") && len(l.requests) == 0 {
			l.requests <- received
		}
		if err != nil {
			l.closed <- err
			return
		}
	}
}

// cutoffTest is an entry box with one server that has the first version of a model.
type cutoffTest struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	state  *FleetState
	server *CallerServer
	log    *bytes.Buffer
}

func newCutoffTest(t *testing.T, server member.Address) *cutoffTest {
	t.Helper()
	clock := clockwork.NewFakeClock()
	state := NewFleetState(clock, zerolog.Nop(), NewMetrics())
	c := &cutoffTest{t: t, clock: clock, state: state, log: new(bytes.Buffer)}
	c.server = newTestCallerServer(state)
	c.server.log, c.server.versionBound, c.server.protocol = zerolog.New(c.log), testVersionBound, testProtocol()
	c.server.allowRetries(100)
	c.server.pool = upstream.NewPool(upstream.Options{Clock: clock, Matches: func(*http.Response, string) bool { return true }})
	engine := &fleet.Engine{Slots: 4, Models: []fleet.ModelName{"m"}, PrefillTokensPerSecond: 30000}
	state.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{
		Version: 1, Services: []fleet.Service{{Name: "llm", Engine: engine}},
	}}}, "store")
	state.Apply([]fleet.Fact{
		{Key: fleet.ServerKey("a"), Revision: 2, Server: &fleet.Server{
			ID: "a", Service: "llm", Address: server, Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: 1}},
		}},
	}, "store")
	return c
}

// publishSecond publishes the second version of the weights.
func (c *cutoffTest) publishSecond() { c.state.Apply([]fleet.Fact{publishedFact(2, 3)}, "store") }

// updateDispatcher updates the dispatcher for the current state and time, as the box does periodically.
func (c *cutoffTest) updateDispatcher() {
	d := c.server.dispatcher("llm")
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.updateDispatcher("llm", d)
}

// testProtocol writes only the required version to requests and accepts every response.
func testProtocol() provider.CallerProtocol {
	return provider.CallerProtocol{
		WriteRequest: func(header http.Header, out provider.OutboundMetadata) {
			header.Set("Expect", strconv.FormatUint(uint64(out.Version), 10))
		},
		ReadResponse: func(*http.Response) provider.ResponseMetadata { return provider.ResponseMetadata{Signed: true} },
	}
}

// awaitDone waits until done is closed. The real-time limit only prevents a hanging test.
func awaitDone(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the request has no outcome")
	}
}

// advanceUntil lets the time pass until a request has ended. The request may begin to wait for its next attempt at any moment, so one
// step of the clock is not enough.
func (c *cutoffTest) advanceUntil(done <-chan struct{}) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
			c.clock.Advance(time.Minute)
		}
		require.True(c.t, time.Now().Before(end), "the request has no outcome")
	}
}

// acquireSlot returns a reservation whose response has not started, and the number of times that it was
// aborted.
func (c *cutoffTest) acquireSlot() (reservation *route.Reservation, aborted *int) {
	c.t.Helper()
	reservation, err := c.server.acquireSlot(c.t.Context(), c.newExchange(), nil)
	require.NoError(c.t, err)
	aborted = new(int)
	reservation.OnVersionCutoff(func() { *aborted++ })
	return reservation, aborted
}

// newExchange returns an exchange for a stream with a caller timeout of one minute.
func (c *cutoffTest) newExchange() *exchange {
	request := httptest.NewRequestWithContext(c.t.Context(), http.MethodPost, "/draft/1", http.NoBody)
	x := &exchange{
		InboundMetadata: provider.InboundMetadata{ID: "r", Deadline: time.Minute}, writer: httptest.NewRecorder(), request: request, service: "llm", arrived: c.clock.Now(),
		route: &fleet.Route{Name: "draft", Kind: fleet.KindStream, MaxAttempts: 1, Objective: 400 * time.Millisecond, Timeout: time.Minute},
	}
	c.server.setDeadline(x)
	return x
}

// runRequest runs a request at the box and returns a channel that is closed when the request has an outcome.
func (c *cutoffTest) runRequest() <-chan struct{} {
	x, done := c.newExchange(), make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if recovered := recover(); recovered != nil && !errors.Is(recovered.(error), http.ErrAbortHandler) {
				panic(recovered)
			}
		}()
		c.server.run(x)
	}()
	return done
}

// Guards against an aborted request that starts on outdated weights after the version bound. An orderly close
// delivers all bytes that were written before it; a reset does not. If a box aborts a request half a second before
// the bound with an orderly close while its bytes are in transit, they arrive 0.5 s later, and a server that has not
// swapped yet starts the request 0.1 s after the bound.
func TestAbortedRequestResetsConnection(t *testing.T) {
	link := newSlowLink(t)
	c := newCutoffTest(t, link.address)
	c.publishSecond()
	c.clock.Advance(testVersionBound - slowCutoffMargin - 100*time.Millisecond)
	done := c.runRequest()
	<-link.requests
	c.clock.Advance(slowCutoffMargin + 100*time.Millisecond - responseStartMargin)
	c.updateDispatcher()
	awaitDone(t, done)
	require.ErrorIs(t, <-link.closed, syscall.ECONNRESET, "an orderly close guarantees that the server receives the request")
	require.Contains(t, c.log.String(), errNotStarted.Error(), "the log contains the cause of the abort")
}

// The time by which a response must start depends on the current version ages. If it is computed only when the
// request is sent, a request is aborted too late or never after a version is published or its age is corrected.
func TestRequestAbortUsesCurrentVersionAge(t *testing.T) {
	for name, update := range map[string]func(c *cutoffTest){
		"published after the request was sent": func(c *cutoffTest) {
			c.clock.Advance(time.Second)
			c.publishSecond()
			c.clock.Advance(testVersionBound - responseStartMargin)
		},
		"published earlier than assumed": func(c *cutoffTest) {
			c.publishSecond()
			c.clock.Advance(time.Second)
			c.state.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 2, Age: 4 * time.Second}}, "entry-2")
			c.clock.Advance(testVersionBound - responseStartMargin - 4*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			link := newSlowLink(t)
			c := newCutoffTest(t, link.address)
			done := c.runRequest()
			<-link.requests
			update(c)
			c.updateDispatcher()
			awaitDone(t, done)
			require.ErrorIs(t, <-link.closed, syscall.ECONNRESET)
		})
	}
}

// A box that is suspended between reserving a slot and sending the request must not send it to a server with
// outdated weights after it resumes.
func TestRequestIsNotSentPastCutoff(t *testing.T) {
	link := newSlowLink(t)
	c := newCutoffTest(t, link.address)
	c.publishSecond()
	x := c.newExchange()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reservation, err := c.server.acquireSlot(ctx, x, nil)
	require.NoError(t, err)
	c.clock.Advance(testVersionBound - cutoffMargin)
	x.deadline = c.clock.Now().Add(time.Minute)
	done := make(chan error, 1)
	go func() {
		_, err := c.server.attempt(x, x.begin(ctx, reservation, nil, c.clock.Now()))
		done <- err
	}()
	select {
	case err := <-done:
		require.ErrorIs(t, err, errPastCutoff)
	case <-link.requests:
		t.Fatal("the request was sent")
	}
	require.Empty(t, c.server.Load(), "the slot is released")
}

// A response that has started may outlast the cutoff of its weights. A deadline for the server at the cutoff
// would truncate every running stream.
func TestStartedResponseContinuesPastCutoff(t *testing.T) {
	c := newCutoffTest(t, "a")
	reservation, aborted := c.acquireSlot()
	c.publishSecond()
	c.clock.Advance(testVersionBound - time.Second)
	reservation.Started(c.clock.Now())
	c.clock.Advance(time.Minute)
	c.updateDispatcher()
	require.Zero(t, *aborted)
}

func TestUnstartedResponseIsAbortedAtCutoff(t *testing.T) {
	c := newCutoffTest(t, "a")
	_, aborted := c.acquireSlot()
	c.publishSecond()
	c.clock.Advance(testVersionBound - responseStartMargin - time.Millisecond)
	c.updateDispatcher()
	require.Zero(t, *aborted)
	c.clock.Advance(time.Millisecond)
	c.updateDispatcher()
	require.Equal(t, 1, *aborted)
}

func TestFinishedAttemptIsNotAborted(t *testing.T) {
	c := newCutoffTest(t, "a")
	reservation, aborted := c.acquireSlot()
	c.publishSecond()
	reservation.Release(route.ResultDone, c.clock.Now())
	c.clock.Advance(time.Minute)
	c.updateDispatcher()
	require.Zero(t, *aborted)
}

// A server that is leaving or no longer listed continues to serve for seconds. Requests to it must be aborted
// at the cutoff like those to listed servers.
func TestRequestToUnlistedServerIsAbortedAtCutoff(t *testing.T) {
	leaving := func(id fleet.ServerID) fleet.Fact {
		return fleet.Fact{Key: fleet.ServerKey(id), Revision: 9, Server: &fleet.Server{
			ID: id, Service: "llm", Address: "a:1", Slots: 4, Leaving: true, Models: []fleet.LoadedModel{{Name: "m", Version: 1}},
		}}
	}
	back := leaving("a")
	back.Revision, back.Server.Leaving = 10, false
	for name, changes := range map[string][]fleet.Fact{
		"remains listed":         nil,
		"is leaving":             {leaving("a")},
		"is removed":             {{Key: fleet.ServerKey("a"), Revision: 9, Deleted: true}},
		"is listed again":        {{Key: fleet.ServerKey("a"), Revision: 9, Deleted: true}, back},
		"service without engine": {{Key: fleet.ConfigurationKey(), Revision: 9, Configuration: &fleet.Configuration{Version: 2, Services: []fleet.Service{{Name: "llm"}}}}},
		"service removed": {
			{Key: fleet.ConfigurationKey(), Revision: 9, Configuration: &fleet.Configuration{Version: 2, Services: []fleet.Service{{Name: "maps"}}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCutoffTest(t, "a:1")
			c.publishSecond()
			c.updateDispatcher()
			_, aborted := c.acquireSlot()
			for _, change := range changes {
				c.state.Apply([]fleet.Fact{change}, "store")
				c.updateDispatcher()
			}
			c.clock.Advance(testVersionBound - responseStartMargin)
			c.updateDispatcher()
			require.NotZero(t, *aborted)
		})
	}
}

// A request must not be sent if the cutoff passes while the connection is being opened.
func TestRequestIsNotSentIfCutoffPassesDuringDial(t *testing.T) {
	link := newSlowLink(t)
	c := newCutoffTest(t, link.address)
	c.server.pool = upstream.NewPool(upstream.Options{
		Clock: c.clock, Matches: func(*http.Response, string) bool { return true }, OnConnect: func() { c.clock.Advance(testVersionBound) },
	})
	c.publishSecond()
	c.clock.Advance(time.Second)
	c.updateDispatcher()
	done := c.runRequest()
	require.ErrorIs(t, <-link.closed, io.EOF)
	require.Empty(t, link.requests)
	c.advanceUntil(done)
}

// A server without power is detected by failed connections. A failure must also count if the attempt had
// stalled while connecting and was continued at another server; otherwise the unreachable server stays in use.
func TestUnreachableServerIsCountedAfterStalledAttempt(t *testing.T) {
	for reason, unreachable := range map[error]int{errNoProgress: 1, errSuperseded: 0, errNotStarted: 0, errPastCutoff: 0} {
		c := newCutoffTest(t, "a:1")
		x := c.newExchange()
		reservation, err := c.server.acquireSlot(t.Context(), x, nil)
		require.NoError(t, err)
		result, _ := c.server.sendFailed(x, x.begin(t.Context(), reservation, nil, c.clock.Now()), fmt.Errorf("%w: %w", reason, upstream.ErrNotSent))
		require.Equal(t, outcomeNotExecuted, result)
		require.Equal(t, unreachable, x.unreachable, reason)
		require.Zero(t, x.attempts, reason)
	}
}

// The version cutoff must also apply to a service whose engine is configured after its servers were listed.
func TestCutoffAppliesToServiceConfiguredAsEngineLater(t *testing.T) {
	c := newCutoffTest(t, "a:1")
	c.server.dispatchers["llm"] = c.server.newDispatcher("llm", &fleet.Service{Name: "llm"})
	c.updateDispatcher()
	c.publishSecond()
	_, aborted := c.acquireSlot()
	c.clock.Advance(testVersionBound)
	c.updateDispatcher()
	require.Equal(t, 1, *aborted)
}

// A request that was not sent because of the cutoff must be able to use the same server again, which may have
// newer weights a moment later.
func TestUnsentRequestMayRetryServerWithNewerWeights(t *testing.T) {
	link := newSlowLink(t)
	c := newCutoffTest(t, link.address)
	swapped := fleet.Fact{Key: fleet.ServerKey("a"), Revision: 9, Server: &fleet.Server{
		ID: "a", Service: "llm", Address: link.address, Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: 2}},
	}}
	connections := 0
	c.server.pool = upstream.NewPool(upstream.Options{Clock: c.clock, Matches: func(*http.Response, string) bool { return true }, OnConnect: func() {
		if connections++; connections == 1 {
			c.clock.Advance(testVersionBound)
		} else {
			return
		}
		go func() {
			if err := <-link.closed; err == nil {
				return
			}
			c.state.Apply([]fleet.Fact{swapped}, "store")
			c.updateDispatcher()
		}()
	}})
	c.publishSecond()
	c.updateDispatcher()
	c.runRequest()
	select {
	case <-link.requests:
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not sent")
	}
}

// After all processes were killed, no process knows when a present version was published; it may have been long
// ago. The assumed publication time must be old enough for every version bound. With a publication 5 s before
// the start and a bound of 30 s, older versions started requests for another 24 s.
func TestVersionsPresentAtStartAreCutOffBeforeBoxIsSettled(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loaded := &settings.Settings{Mode: settings.ModeDirect, Direct: settings.Direct{VersionBound: settings.Duration(30 * time.Second)}}
	loaded.Default()
	p := &Process{services: kernel.New(), settings: loaded, options: Options{Clock: clock, Log: zerolog.Nop()}, metrics: NewMetrics()}
	require.NoError(t, p.newFleetState())
	p.fleetState.Apply([]fleet.Fact{
		{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 1}}, publishedFact(2, 2),
	}, "store")
	s := newTestCallerServer(p.fleetState)
	s.versionBound = 30 * time.Second
	clock.Advance(3 * time.Second)
	require.EqualValues(t, 2, s.requiredVersion(p.fleetState.View().PublishedVersions("m"), clock.Now()))
}

// A server that has restarted under the same ID may hold older weights than its entry or its agent reports. A
// request that was sent before the cutoff without requiring the newest version could start on older weights
// after the version bound, without being aborted.
func TestRequestRequiresNewestVersionOnceServerHasIt(t *testing.T) {
	for name, test := range map[string]struct {
		holds fleet.WeightsVersion
		want  string
	}{
		"newest version": {2, "2"},
		"older version":  {1, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			link := newSlowLink(t)
			c := newCutoffTest(t, link.address)
			c.publishSecond()
			c.state.Apply([]fleet.Fact{{Key: fleet.ServerKey("a"), Revision: 4, Server: &fleet.Server{
				ID: "a", Service: "llm", Address: link.address, Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: test.holds}},
			}}}, "store")
			c.updateDispatcher()
			ctx, cancel := context.WithCancel(t.Context())
			x := c.newExchange()
			x.request = x.request.WithContext(ctx)
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.server.run(x)
			}()
			require.Contains(t, string(<-link.requests), "Expect: "+test.want+"\r\n")
			cancel()
			awaitDone(t, done)
		})
	}
}

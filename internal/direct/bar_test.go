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

// testBound is how long after newer weights were named older ones may begin requests.
const testBound = 8 * time.Second

// slowLink is the way from an entry box to one server, on which bytes stay for long, as on a full link.
type slowLink struct {
	address member.Address
	// taken gets what the link holds once a whole request is on it.
	taken chan []byte
	// ended gets how the sender ended the connection: io.EOF for a close in order, which promises that
	// all that was sent arrives, and any other error for a reset, which does not.
	ended chan error
}

// newSlowLink returns a link that takes connections, one after the other.
func newSlowLink(t *testing.T) *slowLink {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	link := &slowLink{address: member.Address(listener.Addr().String()), taken: make(chan []byte, 1), ended: make(chan error, 1)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			link.hold(conn)
		}
	}()
	return link
}

// hold takes what is sent on a connection until its end.
func (l *slowLink) hold(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	held, buffer := []byte(nil), make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		held = append(held, buffer[:n]...)
		if strings.Contains(string(held), "\r\n\r\n") && len(l.taken) == 0 {
			l.taken <- held
		}
		if err != nil {
			l.ended <- err
			return
		}
	}
}

// barWorld is an entry box before one server that has the first version of a model.
type barWorld struct {
	t     *testing.T
	clock *clockwork.FakeClock
	facts *Facts
	front *Front
	log   *bytes.Buffer
}

func newBarWorld(t *testing.T, server member.Address) *barWorld {
	t.Helper()
	clock := clockwork.NewFakeClock()
	facts := NewFacts(clock, zerolog.Nop(), NewMetrics())
	w := &barWorld{t: t, clock: clock, facts: facts, log: new(bytes.Buffer)}
	w.front = &Front{
		suspects: noSuspects(), answered: newAnsweredLately(), facts: facts, clock: clock, log: zerolog.New(w.log), metrics: NewMetrics(), duties: kernel.NewTaskGroup(), bound: testBound,
		protocol: testProtocol(), retries: retryLimits{1, 100, 10 * time.Second}, isNear: func(member.FailureDomain) bool { return true },
		dispatchers: make(map[member.Service]*route.Dispatcher), budgets: make(map[member.Service]*route.WindowRetryBudget), models: make(map[member.Service]fleet.ModelName),
		patience: make(map[string]*route.CallerTimeoutEstimator),
	}
	w.front.pool = upstream.NewPool(upstream.Options{Clock: clock, Matches: func(*http.Response, string) bool { return true }})
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

// nameSecond names the second version of the weights.
func (w *barWorld) nameSecond() { w.facts.Apply([]fleet.Fact{wantedVersion(2, 3)}, "store") }

// adjust follows what is believed and the time, as the box does again and again.
func (w *barWorld) adjust() {
	d := w.front.dispatcher("llm")
	w.front.mu.Lock()
	defer w.front.mu.Unlock()
	w.front.adjustOne("llm", d)
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

// await waits for an outcome, in real time and never to judge speed.
func await(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the request has no outcome")
	}
}

// place is a place on the server whose answer has not begun, and how often it was given up.
func (w *barWorld) place() (place *route.Reservation, givenUp *int) {
	w.t.Helper()
	place, err := w.front.acquire(w.t.Context(), w.request(), nil)
	require.NoError(w.t, err)
	givenUp = new(int)
	place.OnVersionCutoff(func() { *givenUp++ })
	return place, givenUp
}

// request is one for a stream, of a caller who waits for a minute.
func (w *barWorld) request() *exchange {
	request := httptest.NewRequestWithContext(w.t.Context(), http.MethodPost, "/draft/1", http.NoBody)
	x := &exchange{
		InboundMetadata: provider.InboundMetadata{ID: "r", Deadline: time.Minute}, writer: httptest.NewRecorder(), request: request, service: "llm", arrived: w.clock.Now(),
		route: &fleet.Route{Name: "draft", Kind: fleet.KindStream, MaxAttempts: 1, Objective: 400 * time.Millisecond, Timeout: time.Minute},
	}
	w.front.setTimes(x)
	return x
}

// ask makes a request at the box; the channel is closed when it has its outcome.
func (w *barWorld) ask() <-chan struct{} {
	x, done := w.request(), make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if problem := recover(); problem != nil && !errors.Is(problem.(error), http.ErrAbortHandler) {
				panic(problem)
			}
		}()
		w.front.run(x)
	}()
	return done
}

// Users saw a request begin on weights that a newer version had replaced for longer than the
// bound. In a play of a day with two versions a request had been sent to a server that was not
// swapped yet; half a second before the bound the box gave it up and closed the connection in
// order, but its bytes were still on the way. They came 0.5 s later, the close after them, and the
// server began the request 0.1 s after the bound. A close in order promises the receiver all that was
// written before; a reset does not.
func TestARequestThatIsGivenUpBeforeTheBoundIsTakenOffTheLink(t *testing.T) {
	link := newSlowLink(t)
	w := newBarWorld(t, link.address)
	w.nameSecond()
	w.clock.Advance(testBound - slowMargin - 100*time.Millisecond)
	done := w.ask()
	<-link.taken
	w.clock.Advance(slowMargin + 100*time.Millisecond - beginReserve)
	w.adjust()
	await(t, done)
	require.ErrorIs(t, <-link.ended, syscall.ECONNRESET, "the server gets what a close in order follows")
	require.Contains(t, w.log.String(), errNotBegun.Error(), "the log tells why the attempt ended")
}

// The time by which an answer must have begun was worked out once, as the request was sent. A
// version that was named afterwards, or whose age was corrected, gave it up too late or never.
func TestARequestIsGivenUpByWhatIsKnownNowOfItsWeights(t *testing.T) {
	for name, learn := range map[string]func(w *barWorld){
		"named after the request was sent": func(w *barWorld) {
			w.clock.Advance(time.Second)
			w.nameSecond()
			w.clock.Advance(testBound - beginReserve)
		},
		"named earlier than was thought": func(w *barWorld) {
			w.nameSecond()
			w.clock.Advance(time.Second)
			w.facts.LearnVersions([]fleet.VersionAge{{Model: "m", Version: 2, Age: 4 * time.Second}}, "entry-2")
			w.clock.Advance(testBound - beginReserve - 4*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			link := newSlowLink(t)
			w := newBarWorld(t, link.address)
			done := w.ask()
			<-link.taken
			learn(w)
			w.adjust()
			await(t, done)
			require.ErrorIs(t, <-link.ended, syscall.ECONNRESET)
		})
	}
}

// A box that had stood still between choosing a server and sending the request sent it after the
// bound to a server that was not swapped.
func TestARequestIsNotSentToWeightsThatWereBarredMeanwhile(t *testing.T) {
	link := newSlowLink(t)
	w := newBarWorld(t, link.address)
	w.nameSecond()
	x := w.request()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	place, err := w.front.acquire(ctx, x, nil)
	require.NoError(t, err)
	w.clock.Advance(testBound - versionMargin)
	x.deadline = w.clock.Now().Add(time.Minute)
	done := make(chan error, 1)
	go func() {
		_, err := w.front.attempt(ctx, x, place, w.front.watch(ctx, x, nil))
		done <- err
	}()
	select {
	case err := <-done:
		require.ErrorIs(t, err, errBarred)
	case <-link.taken:
		t.Fatal("the request was sent")
	}
	require.Empty(t, w.front.Load(), "the place is given back")
}

// The server was given a deadline that ended with its weights, so that every stream
// that ran then was cut.
func TestAnAnswerThatHasBegunGoesOnWhenItsWeightsAreBarred(t *testing.T) {
	w := newBarWorld(t, "a")
	place, givenUp := w.place()
	w.nameSecond()
	w.clock.Advance(testBound - time.Second)
	place.Started(w.clock.Now())
	w.clock.Advance(time.Minute)
	w.adjust()
	require.Zero(t, *givenUp)
}

func TestAnAnswerThatHasNotBegunWhenItsWeightsAreBarredIsGivenUp(t *testing.T) {
	w := newBarWorld(t, "a")
	_, givenUp := w.place()
	w.nameSecond()
	w.clock.Advance(testBound - beginReserve - time.Millisecond)
	w.adjust()
	require.Zero(t, *givenUp)
	w.clock.Advance(time.Millisecond)
	w.adjust()
	require.Equal(t, 1, *givenUp)
}

func TestAnAttemptThatEndedIsNotGivenUpLater(t *testing.T) {
	w := newBarWorld(t, "a")
	place, givenUp := w.place()
	w.nameSecond()
	place.Release(route.ResultDone, w.clock.Now())
	w.clock.Advance(time.Minute)
	w.adjust()
	require.Zero(t, *givenUp)
}

// A request lay at a server that was then listed as leaving, or no longer at all. Its box looked only
// at the servers of the list, and gave it up no more; such servers serve on for seconds.
func TestARequestIsGivenUpAlsoWhereItsServerIsListedNoMore(t *testing.T) {
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
			w := newBarWorld(t, "a:1")
			w.nameSecond()
			w.adjust()
			_, givenUp := w.place()
			for _, change := range changes {
				w.facts.Apply([]fleet.Fact{change}, "store")
				w.adjust()
			}
			w.clock.Advance(testBound - beginReserve)
			w.adjust()
			require.NotZero(t, *givenUp)
		})
	}
}

// The bound passed while the connection was being opened.
func TestARequestIsNotSentToWeightsThatWereBarredDuringTheDial(t *testing.T) {
	link := newSlowLink(t)
	w := newBarWorld(t, link.address)
	w.front.pool = upstream.NewPool(upstream.Options{
		Clock: w.clock, Matches: func(*http.Response, string) bool { return true }, OnConnect: func() { w.clock.Advance(testBound) },
	})
	w.nameSecond()
	w.clock.Advance(time.Second)
	w.adjust()
	done := w.ask()
	require.ErrorIs(t, <-link.ended, io.EOF)
	require.Empty(t, link.taken)
	w.clock.Advance(time.Minute)
	await(t, done)
}

// A server whose box has no power is found by connections that do not come about; the box left it in use
// when an attempt without progress, which was to be dialled still, had gone on elsewhere.
func TestAServerThatCannotBeConnectedToIsLeftAloneAlsoIfTheAttemptWentOnElsewhere(t *testing.T) {
	for reason, unreachable := range map[error]int{errNoProgress: 1, errNotBegun: 0, errBarred: 0} {
		w := newBarWorld(t, "a:1")
		x := w.request()
		place, err := w.front.acquire(t.Context(), x, nil)
		require.NoError(t, err)
		result, _ := w.front.sendFailed(x, place, fmt.Errorf("%w: %w", reason, upstream.ErrNotSent))
		require.Equal(t, outcomeNotRun, result)
		require.Equal(t, unreachable, x.unreachable, reason)
	}
}

// A service whose engine was configured later than its servers came was never asked for its weights.
func TestWeightsAreBarredOfAServiceThatIsAnEngineLater(t *testing.T) {
	w := newBarWorld(t, "a:1")
	w.front.dispatchers["llm"] = w.front.newDispatcher("llm", &fleet.Service{Name: "llm"})
	w.adjust()
	w.nameSecond()
	_, givenUp := w.place()
	w.clock.Advance(testBound)
	w.adjust()
	require.Equal(t, 1, *givenUp)
}

// A request that was not sent, as the weights of its server were barred, never came to that server again,
// though it had newer ones a moment later.
func TestARequestThatWasNotSentMayGoToTheSameServerWithNewerWeights(t *testing.T) {
	link := newSlowLink(t)
	w := newBarWorld(t, link.address)
	swapped := fleet.Fact{Key: fleet.ServerKey("a"), Revision: 9, Server: &fleet.Server{
		ID: "a", Service: "llm", Address: link.address, Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: 2}},
	}}
	opened := 0
	w.front.pool = upstream.NewPool(upstream.Options{Clock: w.clock, Matches: func(*http.Response, string) bool { return true }, OnConnect: func() {
		if opened++; opened == 1 {
			w.clock.Advance(testBound)
		} else {
			return
		}
		go func() {
			if err := <-link.ended; err == nil {
				return
			}
			w.facts.Apply([]fleet.Fact{swapped}, "store")
			w.adjust()
		}()
	}})
	w.nameSecond()
	w.adjust()
	w.ask()
	select {
	case <-link.taken:
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not sent")
	}
}

// After all processes were killed nobody knows when a version was named that is there already. It was
// taken to have been named five seconds before the start, whatever the bound: with one of 30 s older weights began
// requests for 24 s on, and for all that time the version may have been named long ago.
func TestWeightsThatWereThereAtTheStartAreBarredBeforeTheBoxIsSettled(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loaded := &settings.Settings{Mode: settings.ModeDirect, Direct: settings.Direct{VersionBound: settings.Duration(30 * time.Second)}}
	loaded.Default()
	p := &Process{kernel: kernel.New(), settings: loaded, options: Options{Clock: clock, Log: zerolog.Nop()}, metrics: NewMetrics()}
	require.NoError(t, p.newFacts())
	p.facts.Apply([]fleet.Fact{
		{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 1}}, wantedVersion(2, 2),
	}, "store")
	f := &Front{suspects: noSuspects(), answered: newAnsweredLately(), facts: p.facts, clock: clock, bound: 30 * time.Second}
	clock.Advance(3 * time.Second)
	require.EqualValues(t, 2, f.required(p.facts.View().PublishedVersions("m"), clock.Now()))
}

// A server that has started again under its id may hold older weights than its entry, or the last word of its agent,
// tells. A request that was sent there before the older ones were barred was not to be run by the newest alone, so
// the server could begin it on older ones after the bound, and nothing gave it up.
func TestARequestForTheNewestWeightsIsForThemAloneFromTheirName(t *testing.T) {
	for name, test := range map[string]struct {
		holds fleet.WeightsVersion
		want  string
	}{
		"the newest": {2, "2"},
		"older ones": {1, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			link := newSlowLink(t)
			w := newBarWorld(t, link.address)
			w.nameSecond()
			w.facts.Apply([]fleet.Fact{{Key: fleet.ServerKey("a"), Revision: 4, Server: &fleet.Server{
				ID: "a", Service: "llm", Address: link.address, Slots: 4, Models: []fleet.LoadedModel{{Name: "m", Version: test.holds}},
			}}}, "store")
			w.adjust()
			ctx, cancel := context.WithCancel(t.Context())
			x := w.request()
			x.request = x.request.WithContext(ctx)
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.front.run(x)
			}()
			require.Contains(t, string(<-link.taken), "Expect: "+test.want+"\r\n")
			cancel()
			await(t, done)
		})
	}
}

package direct

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// noSuspectRequests returns an empty set of suspect requests.
func noSuspectRequests() *SuspectRequests {
	return newSuspectRequests(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
}

// exchangeWithBody returns an exchange with a body.
func exchangeWithBody(body string) *exchange {
	return &exchange{request: httptest.NewRequest(http.MethodPost, "http://a.example/talk/1", http.NoBody), body: []byte(body)}
}

func TestRecentResponseIsRemovedOnce(t *testing.T) {
	responses, now := newRecentResponses(), time.Unix(1000, 0)
	often, never := exchangeWithBody("often"), exchangeWithBody("never")
	responses.add(often, now)
	require.False(t, responses.remove(never, now))
	require.True(t, responses.remove(often, now.Add(time.Second)))
	require.False(t, responses.remove(often, now.Add(time.Second)), "the response counts once")
	responses.add(often, now.Add(2*time.Second))
	require.False(t, responses.remove(often, now.Add(time.Hour)), "the response is too old")
}

func TestRecentResponsesAreBounded(t *testing.T) {
	responses, now := newRecentResponses(), time.Unix(1000, 0)
	for i := range 3 * maxRecentResponses {
		responses.add(exchangeWithBody(strconv.Itoa(i)), now)
	}
	require.LessOrEqual(t, len(responses.current)+len(responses.previous), 2*maxRecentResponses)
}

func TestContentIDCoversWhatServerReceives(t *testing.T) {
	same := exchangeWithBody("body").contentID()
	require.Equal(t, same, exchangeWithBody("body").contentID())
	other := map[string]*exchange{"body": exchangeWithBody("other"), "path": exchangeWithBody("body"), "host": exchangeWithBody("body"), "caller": exchangeWithBody("body")}
	other["path"].request.RequestURI = "/talk/2"
	other["host"].request.Host = "b.example"
	other["caller"].organisation = &fleet.Organisation{Name: "nouka"}
	for part, x := range other {
		require.NotEqual(t, same, x.contentID(), part)
	}
	headers := exchangeWithBody("body")
	headers.ID, headers.PromptTokens = "r-2", 7
	require.Equal(t, same, headers.contentID(), "values that differ on each retry are excluded")
}

// exitProbeScript answers the probes of one server. Each result holds until a time since the first probe.
type exitProbeScript []struct {
	until time.Duration
	err   error
}

var errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

// newScriptedExitProbes returns probes with scripted results and the number of probes so far.
func newScriptedExitProbes(script exitProbeScript) (probes *exitProbes, count *atomic.Int64) {
	started, count := time.Now(), &atomic.Int64{}
	return &exitProbes{
		clock: clockwork.NewRealClock(), tasks: kernel.NewTaskGroup(), byIncarnation: make(map[route.ServerIncarnation]*exitProbe),
		disconnects: make(map[member.Address]time.Time), hasLostIdle: func(member.Address) bool { return false },
		probe: func(context.Context, member.Address) error {
			count.Add(1)
			for _, result := range script {
				if time.Since(started) < result.until {
					return result.err
				}
			}
			return nil
		},
	}, count
}

func TestDisconnectFromRunningServerIsNoExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes, count := newScriptedExitProbes(exitProbeScript{
			{time.Second, nil}, {2 * time.Second, context.DeadlineExceeded}, {3 * time.Second, errRefused},
		})
		incarnation, sent := route.ServerIncarnation{Server: "i-1"}, time.Now()
		start := func() *exitProbe { return probes.start(incarnation, "10.0.0.1:80", sent) }
		require.False(t, start().hasExited())
		require.False(t, start().exitsLater())
		time.Sleep(time.Second)
		require.False(t, start().exitsLater(), "the box does not reply")
		time.Sleep(time.Second)
		before := count.Load()
		require.True(t, start().hasExited())
		time.Sleep(time.Second)
		require.True(t, start().hasExited(), "a later incarnation may be listening")
		require.Equal(t, before+1, count.Load())
		require.False(t, probes.start(incarnation, "10.0.0.1:80", time.Now()).exitsLater(), "a later request needs new probes")
	})
}

func TestServerThatListensForAMomentHasExited(t *testing.T) {
	for _, test := range []struct {
		listens         time.Duration
		isEarly, isExit bool
	}{
		{0, true, true},
		{5 * time.Millisecond, true, true},
		{30 * time.Millisecond, false, true},
		{100 * time.Millisecond, false, true},
		{200 * time.Millisecond, false, false},
	} {
		t.Run(test.listens.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				probes, _ := newScriptedExitProbes(exitProbeScript{{test.listens, nil}, {time.Second, errRefused}})
				incarnation, sent := route.ServerIncarnation{Server: "i-1"}, time.Now()
				probe := probes.start(incarnation, "10.0.0.1:80", sent)
				require.Equal(t, test.isEarly, probe.hasExited())
				require.Equal(t, test.isExit, probe.exitsLater())
				require.Equal(t, test.isExit, probes.start(incarnation, "10.0.0.1:80", sent).hasExited(), "attempts that fail later share the result")
				require.NoError(t, probes.tasks.Stop(t.Context()))
			})
		})
	}
}

func TestLaterIncarnationProvesExit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	suspects := newSuspectRequests(clock, zerolog.Nop(), NewMetrics())
	evidence := route.Evidence{Attribute: exchangeWithBody("body").contentID(), Exited: route.ServerIncarnation{Server: "i-1", Incarnation: 5}, At: clock.Now()}
	suspects.NoteDisconnect(evidence)
	suspects.NoteServerStart("i-1", 5, "entry")
	suspects.NoteServerStart("i-2", 9, "entry")
	require.True(t, suspects.Empty())
	suspects.NoteServerStart("i-1", 6, "entry")
	require.Equal(t, 1, suspects.Evaluate(evidence.Attribute, clock.Now()).Exits)

	late := newSuspectRequests(clock, zerolog.Nop(), NewMetrics())
	late.NoteDisconnect(evidence)
	clock.Advance(restartWindow + time.Second)
	late.NoteServerStart("i-1", 6, "entry")
	require.True(t, late.Empty(), "the exit may have another cause after restartWindow")
}

func TestEvidenceIsEncodedAsAges(t *testing.T) {
	here, there := time.Unix(1000, 0), time.Unix(9000, 0)
	evidence := []route.Evidence{
		{Attribute: exchangeWithBody("body").contentID(), Exited: route.ServerIncarnation{Server: "i-1", Incarnation: 5, UnreportedRestarts: 2}, At: here.Add(-3 * time.Second)},
		{Attribute: exchangeWithBody("other").contentID(), At: here.Add(-time.Second)},
	}
	decoded := evidenceFromWire(evidenceToWire(evidence, here), there)
	require.Equal(t, there.Add(-3*time.Second), decoded[0].At)
	evidence[0].At, evidence[1].At = decoded[0].At, decoded[1].At
	require.Equal(t, evidence, decoded)
	require.Empty(t, evidenceFromWire([]*wire.Evidence{{Content: []byte("short")}, {}}, there), "entries in the format of another version")
}

func TestOperatorListsAndLiftsQuarantine(t *testing.T) {
	suspects := newSuspectRequests(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
	router := newRouter()
	suspects.serveQuarantine(router)
	call := func(method, path string) (int, string) {
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, httptest.NewRequest(method, path, http.NoBody))
		return recorder.Code, recorder.Body.String()
	}
	content := exchangeWithBody("body").contentID()
	for _, server := range []fleet.ServerID{"i-1", "i-2", "i-3"} {
		suspects.Observe(route.Evidence{Attribute: content, Exited: route.ServerIncarnation{Server: server}, At: suspects.clock.Now()}, "request r-1")
	}
	code, listed := call(http.MethodGet, "/quarantine")
	require.Equal(t, http.StatusOK, code)
	require.Contains(t, listed, content.String())
	require.Contains(t, listed, `["i-1","i-2","i-3"]`)

	code, problem := call(http.MethodDelete, "/quarantine/0123")
	require.Equal(t, http.StatusNotFound, code)
	require.Contains(t, problem, "no request of this content is barred here: 0123")

	code, remaining := call(http.MethodDelete, "/quarantine/"+content.String())
	require.Equal(t, http.StatusOK, code)
	require.JSONEq(t, "[]", remaining)
	require.False(t, suspects.Evaluate(content, suspects.clock.Now()).Suspect)
	evidence, _ := suspects.Since(0)
	require.Len(t, evidence, 1, "the lift is reported to other boxes")
}

// BenchmarkContentID measures the content ID of a 2 KB request, which is computed for each request while any
// request is suspect, and recording its response, which is done for every request.
func BenchmarkContentID(b *testing.B) {
	x := exchangeWithBody(strings.Repeat("x", 2048))
	b.Run("content", func(b *testing.B) {
		for b.Loop() {
			contentOf(x)
		}
	})
	b.Run("parts", func(b *testing.B) {
		for b.Loop() {
			prompt := &exchange{InboundMetadata: provider.InboundMetadata{PromptParts: []provider.PromptPart{"5c1e07a2", "91bd3f06", "e4402b7d"}}, service: "llm"}
			prompt.organisation = &fleet.Organisation{Name: "kumiai"}
			prompt.partIDs()
		}
	})
	b.Run("answered", func(b *testing.B) {
		responses, now := newRecentResponses(), time.Now()
		for b.Loop() {
			responses.add(x, now)
		}
	})
}

// newSuspectExchange returns a caller server and a request under which one server has just exited.
func newSuspectExchange(body string) (*CallerServer, *exchange) {
	s, clock := newUnconfiguredCallerServer()
	s.suspects = newSuspectRequests(clock, zerolog.Nop(), NewMetrics())
	x := exchangeWithBody(body)
	s.suspects.Observe(route.Evidence{Attribute: x.contentID(), Exited: route.ServerIncarnation{Server: "i-1"}, At: clock.Now()}, "request r")
	return s, x
}

func TestSuspectRequestOfCallerThatLeftDoesNotWait(t *testing.T) {
	s, x := newSuspectExchange("body")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.checkQuarantine(ctx, x), context.Canceled)
}

func TestOneSuspectWithAnAttributeIsSentAtATime(t *testing.T) {
	s, first := newSuspectExchange("body")
	clock := s.clock.(*clockwork.FakeClock)
	clock.Advance(time.Second)
	require.NoError(t, s.checkQuarantine(t.Context(), first))
	second, result := exchangeWithBody("body"), make(chan error, 1)
	go func() { result <- s.checkQuarantine(t.Context(), second) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	select {
	case err := <-result:
		t.Fatalf("the second request was decided beside the first one: %v", err)
	default:
	}
	s.recordSuccess(first)
	clock.Advance(time.Second / 4)
	require.NoError(t, <-result)
}

func TestRequestWaitsForATrialForALimitedTime(t *testing.T) {
	s, first := newSuspectExchange("body")
	clock := s.clock.(*clockwork.FakeClock)
	for _, server := range []fleet.ServerID{"i-2", "i-3"} {
		s.suspects.Observe(route.Evidence{Attribute: first.contentID(), Exited: route.ServerIncarnation{Server: server}, At: clock.Now()}, "request r")
	}
	var quarantined *route.QuarantinedError
	require.ErrorAs(t, s.checkQuarantine(t.Context(), first), &quarantined)
	require.Equal(t, 3, quarantined.Exits)
	clock.Advance(11 * time.Minute)
	require.NoError(t, s.checkQuarantine(t.Context(), first), "the first request after a block is tried")
	require.ErrorAs(t, s.checkQuarantine(t.Context(), exchangeWithBody("body")), &quarantined)
	require.Equal(t, clock.Now().Add(time.Second), quarantined.Until)
	s.suspects.EndTurn(&first.turn)
	require.NoError(t, s.checkQuarantine(t.Context(), exchangeWithBody("body")))
}

func TestPartsOfOtherOrganisationsHaveOtherIDs(t *testing.T) {
	kumiai, nouka := exchangeWithBody("body"), exchangeWithBody("other")
	kumiai.organisation, nouka.organisation = &fleet.Organisation{Name: "kumiai"}, &fleet.Organisation{Name: "nouka"}
	kumiai.PromptParts, nouka.PromptParts = []provider.PromptPart{"5c1e"}, []provider.PromptPart{"5c1e"}
	require.Len(t, kumiai.partIDs(), 2)
	require.Equal(t, kumiai.partIDs()[0], nouka.partIDs()[0], "the part for all organisations")
	require.NotEqual(t, kumiai.partIDs()[1], nouka.partIDs()[1])
	elsewhere := exchangeWithBody("body")
	elsewhere.organisation, elsewhere.PromptParts, elsewhere.service = kumiai.organisation, kumiai.PromptParts, "maps"
	require.NotContains(t, kumiai.partIDs(), elsewhere.partIDs()[0], "another service")
}

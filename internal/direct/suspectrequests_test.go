package direct

import (
	"context"
	"fmt"
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

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// noSuspectRequests returns the suspects of a process that has not heard of any.
func noSuspectRequests() *SuspectRequests {
	return newSuspectRequests(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
}

// exchangeWithBody is a request with a body.
func exchangeWithBody(body string) *exchange {
	return &exchange{request: httptest.NewRequest(http.MethodPost, "http://a.example/talk/1", http.NoBody), body: []byte(body)}
}

func TestRecentResponseIsRemovedOnce(t *testing.T) {
	answered, now := newRecentResponses(), time.Unix(1000, 0)
	often, never := exchangeWithBody("often"), exchangeWithBody("never")
	answered.add(often, now)
	require.False(t, answered.remove(never, now))
	require.True(t, answered.remove(often, now.Add(time.Second)))
	require.False(t, answered.remove(often, now.Add(time.Second)), "it was not answered since")
	answered.add(often, now.Add(2*time.Second))
	require.False(t, answered.remove(often, now.Add(time.Hour)), "that is long ago")
}

func TestRecentResponsesAreBounded(t *testing.T) {
	answered, now := newRecentResponses(), time.Unix(1000, 0)
	for i := range 3 * maxRecentResponses {
		answered.add(exchangeWithBody(strconv.Itoa(i)), now)
	}
	require.LessOrEqual(t, len(answered.current)+len(answered.previous), 2*maxRecentResponses)
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
	require.Equal(t, same, headers.contentID(), "what differs each time is none of it")
}

func TestDisconnectFromRunningServerIsNoExit(t *testing.T) {
	asked := 0
	lives, refused := error(nil), fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	answer := lives
	probes := &exitProbes{clock: clockwork.NewRealClock(), byIncarnation: make(map[route.ServerIncarnation]*exitProbe), probe: func(context.Context, member.Address) error {
		asked++
		return answer
	}}
	start, sent := route.ServerIncarnation{Server: "i-1"}, time.Now()
	require.False(t, probes.hasExited(start, "10.0.0.1:80", sent))
	answer = context.DeadlineExceeded
	require.False(t, probes.hasExited(start, "10.0.0.1:80", sent), "a box that says nothing")
	answer = refused
	require.True(t, probes.hasExited(start, "10.0.0.1:80", sent))
	answer = lives
	require.True(t, probes.hasExited(start, "10.0.0.1:80", sent), "another start may listen there by now")
	require.Equal(t, 3, asked)
	require.False(t, probes.hasExited(start, "10.0.0.1:80", time.Now()), "what that start got is asked about anew")
}

func TestLaterIncarnationProvesExit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	suspects := newSuspectRequests(clock, zerolog.Nop(), NewMetrics())
	seen := route.Evidence{Content: exchangeWithBody("body").contentID(), Exited: route.ServerIncarnation{Server: "i-1", Incarnation: 5}, At: clock.Now()}
	suspects.NoteDisconnect(seen)
	suspects.NoteServerStart("i-1", 5, "entry")
	suspects.NoteServerStart("i-2", 9, "entry")
	require.True(t, suspects.Empty())
	suspects.NoteServerStart("i-1", 6, "entry")
	require.Equal(t, 1, suspects.Evaluate(seen.Content, clock.Now()).Exits)

	late := newSuspectRequests(clock, zerolog.Nop(), NewMetrics())
	late.NoteDisconnect(seen)
	clock.Advance(restartWindow + time.Second)
	late.NoteServerStart("i-1", 6, "entry")
	require.True(t, late.Empty(), "it may have ended for any reason since")
}

func TestEvidenceIsEncodedAsAges(t *testing.T) {
	here, there := time.Unix(1000, 0), time.Unix(9000, 0)
	evidence := []route.Evidence{
		{Content: exchangeWithBody("body").contentID(), Exited: route.ServerIncarnation{Server: "i-1", Incarnation: 5, UnreportedRestarts: 2}, At: here.Add(-3 * time.Second)},
		{Content: exchangeWithBody("other").contentID(), At: here.Add(-time.Second)},
	}
	told := evidenceFromWire(evidenceToWire(evidence, here), there)
	require.Equal(t, there.Add(-3*time.Second), told[0].At)
	evidence[0].At, evidence[1].At = told[0].At, told[1].At
	require.Equal(t, evidence, told)
	require.Empty(t, evidenceFromWire([]*wire.Evidence{{Content: []byte("short")}, {}}, there), "of another version")
}

func TestOperatorListsAndLiftsQuarantine(t *testing.T) {
	suspects := newSuspectRequests(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
	router := newRouter()
	suspects.serveQuarantine(router)
	call := func(method, path string) (int, string) {
		answer := httptest.NewRecorder()
		router.ServeHTTP(answer, httptest.NewRequest(method, path, http.NoBody))
		return answer.Code, answer.Body.String()
	}
	content := exchangeWithBody("body").contentID()
	for _, server := range []fleet.ServerID{"i-1", "i-2", "i-3"} {
		suspects.Observe(route.Evidence{Content: content, Exited: route.ServerIncarnation{Server: server}, At: suspects.clock.Now()}, "request r-1")
	}
	code, listed := call(http.MethodGet, "/quarantine")
	require.Equal(t, http.StatusOK, code)
	require.Contains(t, listed, content.String())
	require.Contains(t, listed, `["i-1","i-2","i-3"]`)

	code, problem := call(http.MethodDelete, "/quarantine/0123")
	require.Equal(t, http.StatusNotFound, code)
	require.Contains(t, problem, "no request of this content is barred here: 0123")

	code, left := call(http.MethodDelete, "/quarantine/"+content.String())
	require.Equal(t, http.StatusOK, code)
	require.JSONEq(t, "[]", left)
	require.False(t, suspects.Evaluate(content, suspects.clock.Now()).Suspect)
	evidence, _ := suspects.Since(0)
	require.Len(t, evidence, 1, "other boxes are told")
}

// BenchmarkContentID works out what a request of 2 KB asks for, as is done for each while any is suspect, and notes that it was
// answered, as is always done.
func BenchmarkContentID(b *testing.B) {
	x := exchangeWithBody(strings.Repeat("x", 2048))
	b.Run("content", func(b *testing.B) {
		for b.Loop() {
			contentOf(x)
		}
	})
	b.Run("answered", func(b *testing.B) {
		answered, now := newRecentResponses(), time.Now()
		for b.Loop() {
			answered.add(x, now)
		}
	})
}

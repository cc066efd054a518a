package direct

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// errReset is the error of a connection that a listener resets as it closes.
var errReset = fmt.Errorf("dial: %w", syscall.ECONNRESET)

// isComplete reports whether a response that ends now, with its connection, counts as complete.
func isComplete(t *testing.T, s *CallerServer) bool {
	t.Helper()
	reservation := &route.Reservation{Server: fleet.Server{ID: "i-1", Address: "10.0.0.1:80"}}
	err := s.checkEnd(reservation, &upstream.Response{Response: &http.Response{ContentLength: -1}}, io.EOF)
	if err != io.EOF { //nolint:errorlint // the error itself
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	return err == io.EOF //nolint:errorlint // the error itself
}

// newProbingCallerServer returns a caller server whose probes have scripted results.
func newProbingCallerServer(script exitProbeScript) *CallerServer {
	probes, _ := newScriptedExitProbes(script)
	return &CallerServer{clock: probes.clock, tasks: probes.tasks, exitProbes: probes}
}

// Guards against a part of a body appearing complete although no probe has shown that its server runs: each probe was reset by
// the closing listener, or the box did not reply.
func TestResponseIsCompleteOnlyIfServerIsShownToRun(t *testing.T) {
	const forever = time.Hour
	for name, test := range map[string]struct {
		script  exitProbeScript
		is      bool
		latency time.Duration
	}{
		"listens":              {exitProbeScript{{forever, nil}}, true, 10 * time.Millisecond},
		"refuses":              {exitProbeScript{{forever, errRefused}}, false, 0},
		"refuses soon":         {exitProbeScript{{5 * time.Millisecond, nil}, {forever, errRefused}}, false, 10 * time.Millisecond},
		"resets, then refuses": {exitProbeScript{{30 * time.Millisecond, errReset}, {forever, errRefused}}, false, 40 * time.Millisecond},
		"connects, resets, refuses": {exitProbeScript{
			{5 * time.Millisecond, nil}, {30 * time.Millisecond, errReset}, {forever, errRefused},
		}, false, 40 * time.Millisecond},
		"does not reply":               {exitProbeScript{{forever, context.DeadlineExceeded}}, false, 120 * time.Millisecond},
		"does not reply, then listens": {exitProbeScript{{30 * time.Millisecond, context.DeadlineExceeded}, {forever, nil}}, true, 40 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, ended := newProbingCallerServer(test.script), time.Now()
				defer func() { require.NoError(t, s.tasks.Stop(t.Context())) }()
				require.Equal(t, test.is, isComplete(t, s))
				require.Equal(t, test.latency, time.Since(ended))
			})
		})
	}
}

// Guards against a part of a body appearing complete because of probes of an earlier response: the server crashed after these
// had begun, and still listened at the last one that a response waits for.
func TestResponseIsNotCompleteByProbesOfAnEarlierEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const listens = 12 * time.Millisecond
		s := newProbingCallerServer(exitProbeScript{{listens, nil}, {time.Hour, errRefused}})
		defer func() { require.NoError(t, s.tasks.Stop(t.Context())) }()
		first := make(chan bool, 1)
		go func() { first <- isComplete(t, s) }()
		time.Sleep(8 * time.Millisecond)
		require.False(t, isComplete(t, s))
		require.True(t, <-first)
	})
}

// Guards against a part of a body appearing complete because a process that ends on a busy machine still listens when the first
// probes are made: it closes its connections one after the other, its listener among the last.
func TestResponseIsNotCompleteWhileOtherConnectionsOfItsServerEnd(t *testing.T) {
	for name, test := range map[string]struct {
		loseIdle, failAttempt bool
		listens               time.Duration
		is                    bool
		latency               time.Duration
	}{
		"an idle connection ends, the server exits":     {true, false, 50 * time.Millisecond, false, 120 * time.Millisecond},
		"another response breaks off, the server exits": {false, true, 50 * time.Millisecond, false, 120 * time.Millisecond},
		"an idle connection ends, the server runs":      {true, false, time.Hour, true, 120 * time.Millisecond},
		"another response breaks off, the server runs":  {false, true, time.Hour, true, 120 * time.Millisecond},
		"no other connection ends, the server runs":     {false, false, time.Hour, true, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, ended := newProbingCallerServer(exitProbeScript{{test.listens, nil}, {time.Hour, errRefused}}), time.Now()
				defer func() { require.NoError(t, s.tasks.Stop(t.Context())) }()
				s.exitProbes.hasLostIdle = func(member.Address) bool { return test.loseIdle && time.Since(ended) >= 5*time.Millisecond }
				if test.failAttempt {
					time.AfterFunc(5*time.Millisecond, func() { s.exitProbes.noteDisconnect("10.0.0.1:80") })
				}
				require.Equal(t, test.is, isComplete(t, s))
				require.Equal(t, test.latency, time.Since(ended))
			})
		})
	}
}

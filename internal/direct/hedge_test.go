package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/platform"
	"github.com/cinderslip/cinderslip/platform/standin"
)

const (
	hedgeTestEvents        = 10
	hedgeTestEventInterval = 20 * time.Millisecond
	hedgeTestBodySize      = 200_000
	// maxHedgeTestAttempts is the largest number of attempts of a route.
	maxHedgeTestAttempts = 3
	// callerPatience is how long callers wait for the next event of a stream.
	callerPatience = 2 * time.Second
	// ownTime is more than a server takes to respond, without its silence.
	ownTime = time.Second
)

// attemptScript is what the server of an attempt does.
type attemptScript struct {
	Silence standin.Silence
	// Refuses, Fails and TruncateAt make the server refuse the request, respond with status 500 or break the stream off at
	// an event.
	Refuses, Fails bool
	TruncateAt     int
}

// isFailing reports whether the server itself ends the request without a complete response.
func (s *attemptScript) isFailing() bool { return s.Refuses || s.Fails || s.TruncateAt > 0 }

// isSound reports whether the server responds completely and without a silence.
func (s *attemptScript) isSound() bool { return !s.isFailing() && s.Silence.Point == "" }

// hedgeScript is one request at a box with a few servers.
type hedgeScript struct {
	Servers int
	// Attempts are the attempts in the order in which they reach a server, whichever it is.
	Attempts    [maxHedgeTestAttempts]attemptScript
	IsStream    bool
	IsLongBody  bool
	MaxAttempts int
	Deadline    time.Duration
	// CallerLeaves is when the caller disconnects; 0 if it waits for the end of the response.
	CallerLeaves time.Duration
}

// drawMilliseconds draws a duration, without the preference of rapid for small numbers.
func drawMilliseconds(t *rapid.T, label string, values ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(values).Draw(t, label)) * time.Millisecond
}

// drawAttemptScript draws an attempt, of which about every second one is sound.
func drawAttemptScript(t *rapid.T, isStream bool) (script attemptScript) {
	silence := func(points ...standin.SilencePoint) standin.Silence {
		return standin.Silence{
			Point:    rapid.SampledFrom(points).Draw(t, "point"),
			Duration: drawMilliseconds(t, "silence", 100, 500, 790, 800, 810, 900, 1100, 1190, 1200, 1210, 1600, 1800, 2400, 3000),
			Forever:  rapid.IntRange(0, 3).Draw(t, "forever") == 0,
		}
	}
	points := []standin.SilencePoint{standin.SilenceBeforeHead, standin.SilenceInBody}
	if isStream {
		points = []standin.SilencePoint{standin.SilenceBeforeHead, standin.SilenceBetweenEvents}
	}
	switch rapid.IntRange(0, 9).Draw(t, "server") {
	case 0:
		script.Refuses = true
	case 1:
		script.Fails = true
	case 2:
		if isStream {
			script.TruncateAt = rapid.IntRange(1, hedgeTestEvents).Draw(t, "truncate")
		}
	case 3, 4, 5:
		script.Silence = silence(points...)
	}
	return script
}

func drawHedgeScript(t *rapid.T) *hedgeScript {
	script := &hedgeScript{
		IsStream: rapid.IntRange(0, 3).Draw(t, "kind") > 0, MaxAttempts: rapid.IntRange(1, maxHedgeTestAttempts).Draw(t, "attempts"),
		Deadline: drawMilliseconds(t, "deadline", 500, 1000, 2000, 3000, 4000, 5000, 6000),
		Servers:  rapid.IntRange(1, 4).Draw(t, "servers"),
	}
	script.IsLongBody = !script.IsStream && rapid.Bool().Draw(t, "long")
	if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
		script.CallerLeaves = drawMilliseconds(t, "after", 1, 50, 790, 800, 830, 870, 1200, 1230, 1500, 2000)
	}
	for i := range script.Attempts {
		script.Attempts[i] = drawAttemptScript(t, script.IsStream)
	}
	return script
}

// hedgeTest is an entry box and its servers in virtual time. Connections are pipes in memory.
type hedgeTest struct {
	script  *hedgeScript
	box     *CallerServer
	servers map[fleet.ServerID]*standin.Server
	log     *lockedBuffer

	mu sync.Mutex
	// attempts are the attempts that have reached a server.
	attempts []receivedAttempt

	writer *recordingWriter
	// started and ended are when the request arrived and when its handler returned.
	started, ended time.Time
	isAborted      bool
}

// receivedAttempt is an attempt that has reached a server.
type receivedAttempt struct {
	server fleet.ServerID
	at     time.Time
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

// lines returns the lines that contain a text.
func (b *lockedBuffer) lines(text string) (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buffer.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// recordingWriter records a response, the longest time without a part of it, and writes after its end.
type recordingWriter struct {
	*httptest.ResponseRecorder

	mu           sync.Mutex
	lastPart     time.Time
	longestGap   time.Duration
	isEnded      bool
	lateWrites   int
	headersWrote int
}

// note records a write. The lock must be held.
func (w *recordingWriter) note() {
	w.longestGap = max(w.longestGap, time.Since(w.lastPart))
	w.lastPart = time.Now()
	if w.isEnded {
		w.lateWrites++
	}
}

// Write records a part of the body.
func (w *recordingWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note()
	return w.ResponseRecorder.Write(data)
}

// WriteHeader records the status.
func (w *recordingWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note()
	w.headersWrote++
	w.ResponseRecorder.WriteHeader(status)
}

// run runs the request of a script in a synctest bubble.
func (h *hedgeTest) run(t *testing.T) {
	h.servers, h.log = make(map[fleet.ServerID]*standin.Server), new(lockedBuffer)
	clock, listeners := clockwork.NewRealClock(), make(map[string]*pipeListener)
	var facts []fleet.Fact
	for i := range h.script.Servers {
		id := fleet.ServerID(fmt.Sprintf("i-%d", i+1))
		h.servers[id] = h.newServer(string(id))
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		listeners[address] = listener
		server := &http.Server{Handler: h.handler(id)} //nolint:gosec // a stand-in in memory
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		facts = append(facts, fleet.Fact{Key: fleet.ServerKey(id), Revision: fleet.Revision(i + 2), Server: &fleet.Server{
			ID: id, Service: "llm", Address: member.Address(address), Slots: 4,
		}})
	}
	state := NewFleetState(clock, zerolog.Nop(), NewMetrics())
	state.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 1, Services: []fleet.Service{{Name: "llm"}}}}}, "store")
	state.Apply(facts, "store")
	h.box = newTestCallerServer(state)
	h.box.log, h.box.protocol = zerolog.New(h.log), platform.New(platform.Addresses{}, http.DefaultClient).Callers
	h.box.allowRetries(100)
	h.box.pool = upstream.NewPool(upstream.Options{
		Clock: clock, Matches: h.box.isMatchingResponse, Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			near, far := net.Pipe()
			select {
			case listeners[address].conns <- far:
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	})
	h.box.exitProbes = newExitProbes(clock, h.box.pool, h.box.tasks)
	h.request(t.Context())
	time.Sleep(10 * time.Second)
	for i := range h.script.Servers {
		h.box.pool.CloseIdle(member.Address(fmt.Sprintf("10.0.0.%d:80", i+1)))
	}
}

// newServer returns the stand-in of a server.
func (h *hedgeTest) newServer(id string) *standin.Server {
	options := standin.ServerOptions{ID: id, Events: hedgeTestEvents, EventInterval: hedgeTestEventInterval}
	if h.script.IsStream {
		options.Model, options.Version = "m", 1
	}
	server := standin.NewServer(options)
	if h.script.IsLongBody {
		server.SetLongBody(hedgeTestBodySize, ownTime/2)
	}
	return server
}

// handler returns the handler of a server, which behaves as the script of the attempt says. A server gets one attempt at
// most.
func (h *hedgeTest) handler(id fleet.ServerID) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		script, server := h.script.Attempts[min(len(h.attempts), maxHedgeTestAttempts-1)], h.servers[id]
		h.attempts = append(h.attempts, receivedAttempt{id, time.Now()})
		server.SetSilence(script.Silence)
		server.TruncateStreamAt(script.TruncateAt)
		if script.Refuses {
			server.SetRetryAfter("0")
		}
		if script.Fails {
			server.SetErrorStatus(http.StatusInternalServerError)
		}
		h.mu.Unlock()
		server.ServeHTTP(w, r)
	})
}

// request sends the request to the box and records when and how it ends.
func (h *hedgeTest) request(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if h.script.CallerLeaves > 0 {
		defer time.AfterFunc(h.script.CallerLeaves, cancel).Stop()
	}
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/draft/1", http.NoBody)
	request.Header.Set("X-Request-Id", "r")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(h.script.Deadline.Milliseconds()))
	kind := fleet.KindRepeatable
	if h.script.IsStream {
		kind = fleet.KindStream
	}
	h.started = time.Now()
	h.writer = &recordingWriter{ResponseRecorder: httptest.NewRecorder(), lastPart: h.started}
	x := &exchange{
		InboundMetadata: h.box.protocol.ReadRequest(request), writer: h.writer, request: request, service: "llm", arrived: h.started,
		route: &fleet.Route{Name: "draft", Kind: kind, Resumable: true, MaxAttempts: h.script.MaxAttempts, Objective: 400 * time.Millisecond, Timeout: h.script.Deadline},
	}
	h.box.setDeadline(x)
	defer func() {
		if recovered := recover(); recovered != nil {
			if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(recovered)
			}
			h.isAborted = true
		}
		_ = h.box.closeSendBuffer(x)
		h.ended = time.Now()
		h.writer.mu.Lock()
		defer h.writer.mu.Unlock()
		h.writer.isEnded = true
	}()
	h.box.run(x)
}

// isComplete reports whether the caller has received a complete response.
func (h *hedgeTest) isComplete() bool {
	return !h.isAborted && h.writer.Code == http.StatusOK && h.writer.Body.Len() == len(h.wantBody())
}

// wantBody returns the complete body.
func (h *hedgeTest) wantBody() string {
	switch {
	case h.script.IsLongBody:
		return strings.Repeat("x", hedgeTestBodySize)
	case !h.script.IsStream:
		return "answer to r"
	}
	var body strings.Builder
	for event := range hedgeTestEvents {
		fmt.Fprintf(&body, "id: %d\ndata: token %d\n\n", event+1, event+1)
	}
	return body.String()
}

// findings returns the properties that the run violates.
func (h *hedgeTest) findings() (findings []string) {
	add := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	body := h.writer.Body.String()
	if h.writer.Code == http.StatusOK && !strings.HasPrefix(h.wantBody(), body) {
		add("body is no part of the complete one: %q", body)
	}
	if isAnswered := len(h.log.lines(`"outcome":"answered"`)) > 0; isAnswered && h.writer.Code == http.StatusOK && !h.isComplete() {
		add("an incomplete response ended as complete: %q", body)
	}
	if h.writer.lateWrites > 0 || h.writer.headersWrote > 1 {
		add("%d writes after the end, %d headers", h.writer.lateWrites, h.writer.headersWrote)
	}
	runs := 0
	for _, server := range h.servers {
		runs += server.Runs()["r"]
	}
	if len(h.attempts) > h.script.MaxAttempts {
		add("%d attempts, want at most %d", len(h.attempts), h.script.MaxAttempts)
	}
	if h.writer.Code == http.StatusServiceUnavailable && runs > 0 {
		add("refused as not run after %d runs", runs)
	}
	if load := h.box.Load(); len(load) > 0 {
		add("slots are still reserved: %v", load)
	}
	return append(append(findings, h.lossFindings()...), h.replacementFindings()...)
}

// lossFindings returns the attempts that would have ended with a complete response and were given up although the caller
// was still waiting and no other attempt had delivered instead.
func (h *hedgeTest) lossFindings() (findings []string) {
	if h.isComplete() || h.script.CallerLeaves > 0 || len(h.attempts) > h.script.MaxAttempts {
		return nil
	}
	deadline := h.started.Add(h.script.Deadline)
	for i, attempt := range h.attempts {
		script := &h.script.Attempts[i]
		if script.isFailing() || h.isSuperseded(attempt.server) {
			continue
		}
		wouldEnd := attempt.at.Add(script.Silence.Duration + ownTime)
		if h.ended.Before(deadline) || !script.Silence.Forever && wouldEnd.Before(deadline) {
			findings = append(findings, fmt.Sprintf("attempt %d was given up after %s, status %d", i+1, h.ended.Sub(h.started), h.writer.Code))
		}
	}
	return findings
}

// isSuperseded reports whether an attempt at a server was ended because another one delivered.
func (h *hedgeTest) isSuperseded(id fleet.ServerID) bool {
	return h.writer.Body.Len() > 0 && slices.ContainsFunc(h.log.lines(`"server":"`+string(id)+`"`), func(line string) bool {
		return strings.Contains(line, errNoProgress.Error()) || strings.Contains(line, errSuperseded.Error())
	})
}

// replacementFindings returns a finding if the first server, the only one that is not sound, was not replaced in time. A
// body of which the caller has a part can't be continued by another server.
func (h *hedgeTest) replacementFindings() (findings []string) {
	others := h.script.Attempts[1:h.script.MaxAttempts]
	if len(others) == 0 || h.script.Servers < 2 || h.script.IsLongBody || h.script.CallerLeaves > 0 || h.script.Deadline < 4*time.Second ||
		slices.ContainsFunc(others, func(script attemptScript) bool { return !script.isSound() }) {
		return nil
	}
	if !h.isComplete() {
		findings = append(findings, fmt.Sprintf("not replaced within the deadline, status %d", h.writer.Code))
	}
	if h.script.IsStream && h.writer.longestGap >= callerPatience {
		findings = append(findings, fmt.Sprintf("%s without an event", h.writer.longestGap))
	}
	return findings
}

// TestSilentAttemptsLoseNothing runs requests at servers that are silent, refuse, fail and break off, for callers of
// which some disconnect.
func TestSilentAttemptsLoseNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &hedgeTest{script: drawHedgeScript(rt)}
		synctest.Test(t, func(t *testing.T) { h.run(t) })
		if findings := h.findings(); len(findings) > 0 {
			rt.Fatalf("%+v\n%s\n%s", *h.script, strings.Join(findings, "\n"), strings.Join(h.log.lines(""), ""))
		}
	})
}

// Guards against a superseded attempt that delivers what it had read before it was aborted.
func TestSupersededAttemptDeliversNothing(t *testing.T) {
	for name, test := range map[string]struct{ first, second int }{
		"the hedge goes on first":         {1, 0},
		"the silent server goes on first": {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCutoffTest(t, "a:1")
			x := c.newExchange()
			var attempts []*attempt
			for range 2 {
				reservation, err := c.server.acquireSlot(t.Context(), x, nil)
				require.NoError(t, err)
				attempts = append(attempts, x.begin(t.Context(), reservation, nil, c.clock.Now()))
			}
			require.True(t, x.group.claim(attempts[test.first]))
			require.True(t, x.group.claim(attempts[test.first]))
			require.False(t, x.group.claim(attempts[test.second]))
			x.group.delivered(c.clock.Now())
			require.False(t, x.group.claim(attempts[test.second]), "also after the delivery")
			require.ErrorIs(t, context.Cause(attempts[test.second].ctx), []error{errNoProgress, errSuperseded}[test.second])
			require.NoError(t, attempts[test.first].ctx.Err())
			result, _ := c.server.endSuperseded(x, attempts[test.second])
			require.Equal(t, outcomeSuperseded, result)
			wantResult := []route.Result{route.ResultSilent, route.ResultAbandoned}[test.second]
			require.EqualValues(t, 1, testutil.ToFloat64(c.server.metrics.attempts.WithLabelValues("llm", wantResult.String())))
		})
	}
}

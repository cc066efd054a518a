package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cinderslip/cinderslip/internal/daemon"
)

// result is the outcome of one request as seen by its caller.
type result string

const (
	resultAnswered  result = "answered"
	resultNotRun    result = "not-run"
	resultUnknown   result = "unknown"
	resultTruncated result = "cut"
	resultInvalid   result = "wrong"
	// resultUnreachable means that no entry box accepted the connection.
	resultUnreachable result = "unreached"
)

// caller sends requests to the entry boxes that a directory query returns, and checks that each response is complete
// and belongs to its request. It caches the result of the query for its TTL.
type caller struct {
	deployment *testDeployment
	group      string
	service    string
	// repeatable is the value of the Cinderslip-Repeatable header. If empty, the header is omitted.
	repeatable string
	tokens     int
	client     *http.Client

	entries       []daemon.EntryAddress
	entriesExpiry time.Time
}

func (d *testDeployment) newCaller(group, service string, opts map[string]string) *caller {
	c := &caller{deployment: d, group: group, service: service, repeatable: opts["repeatable"], tokens: 10, client: &http.Client{Transport: &http.Transport{}}}
	if opts["tokens"] != "" {
		c.tokens, _ = strconv.Atoi(opts["tokens"])
	}
	return c
}

// address returns the caller address of an entry box. It repeats the directory query when the cached result has
// expired or refresh is set.
func (c *caller) address(ctx context.Context, refresh bool) (string, error) {
	if !refresh && time.Now().Before(c.entriesExpiry) && len(c.entries) > 0 {
		return string(c.entries[0].Address), nil
	}
	known := []string{}
	for _, entry := range c.entries {
		known = append(known, string(entry.Address))
	}
	for _, p := range c.deployment.entries() {
		known = append(known, p.callers)
	}
	for _, address := range known {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries?service="+c.service, nil)
		if err != nil {
			return "", err
		}
		response, err := c.client.Do(request)
		if err != nil {
			continue
		}
		var directory daemon.EntriesResponse
		err = json.NewDecoder(response.Body).Decode(&directory)
		_ = response.Body.Close()
		if err == nil && len(directory.Entries) > 0 {
			c.entries, c.entriesExpiry = directory.Entries, time.Now().Add(time.Duration(directory.TTLSeconds)*time.Second)
			return string(c.entries[0].Address), nil
		}
	}
	return "", errors.New("querying entry boxes: no entry box returned a list")
}

// send sends one request and checks its response. It closes started when the response header has arrived, unless
// started is nil. The second result is a detail: the version, the content or the reason for a failure.
func (c *caller) send(ctx context.Context, id string, started chan struct{}) (result, string) {
	for attempt := range 6 {
		address, err := c.address(ctx, attempt == 3)
		if err != nil {
			continue
		}
		response, err := c.post(ctx, address, id)
		if err != nil {
			// Only a refused connection proves that nothing was sent. The next attempt uses another cached entry box.
			if strings.Contains(err.Error(), "connection refused") {
				c.entries = append(c.entries[1:], c.entries[0])
				continue
			}
			return resultUnknown, err.Error()
		}
		if started != nil {
			close(started)
		}
		return c.checkResponse(response, id)
	}
	return resultUnreachable, "no entry box accepts the connection"
}

func (c *caller) post(ctx context.Context, address, id string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.service, c.tokens, id)
	url := "http://" + address + "/v1/services/" + c.service + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Cinderslip-Group", c.group)
	request.Header.Set("Cinderslip-Request-Id", id)
	if c.repeatable != "" {
		request.Header.Set("Cinderslip-Repeatable", c.repeatable)
	}
	return c.client.Do(request)
}

// checkResponse checks that the response is complete, belongs to the request and comes from a single version.
func (c *caller) checkResponse(response *http.Response, id string) (result, string) {
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	switch got := response.Header.Get("Cinderslip-Outcome"); {
	case got != "":
		return result(got), string(content)
	case err != nil:
		return resultTruncated, err.Error()
	case response.StatusCode != http.StatusOK:
		return resultInvalid, fmt.Sprintf("status %d: %s", response.StatusCode, content)
	case response.Header.Get("Cinderslip-Request-Id") != id:
		return resultInvalid, "response has the id of another request"
	}
	if c.deployment.plainServiceNames[c.service] {
		if !strings.Contains(string(content), id) {
			return resultInvalid, string(content)
		}
		return resultAnswered, string(content)
	}
	version := response.Header.Get("Cinderslip-Version")
	fingerprints := make(map[string]bool)
	text := ""
	for line := range strings.SplitSeq(string(content), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Fingerprint string `json:"system_fingerprint"`
			Choices     []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return resultInvalid, err.Error()
		}
		fingerprints[chunk.Fingerprint] = true
		text += chunk.Choices[0].Delta.Content
	}
	switch {
	case !strings.HasSuffix(string(content), "data: [DONE]\n\n"), len(strings.Fields(text)) != c.tokens:
		return resultInvalid, "the response is incomplete: " + text
	case !strings.HasPrefix(text, fmt.Sprintf("%s %s answers: %s ", c.service, version, id)):
		return resultInvalid, fmt.Sprintf("version %s, response %q, want id %s", version, text, id)
	case len(fingerprints) != 1:
		return resultInvalid, "the response mixes versions"
	}
	return resultAnswered, version
}

// callerLoop runs several callers that send requests sequentially.
type callerLoop struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	counts  map[result]int
	details []string
}

// callers NAME start GROUP SERVICE [workers=N] [repeatable=B] [tokens=N] starts a loop of callers.
// callers NAME await N waits until N more requests have been answered.
// callers NAME stop RESULT… stops the loop. It requires that at least one request was answered and that every other
// request had one of the results.
func callers(d *testDeployment, ts *testscript.TestScript, args []string) {
	if len(args) < 2 {
		ts.Fatalf("want callers NAME start|stop|await …")
	}
	switch args[1] {
	case "start":
		d.startLoop(ts, args[0], args[2:])
	case "stop":
		d.stopLoop(ts, args[0], args[2:])
	case "await":
		d.awaitLoop(ts, args[0], args[2:])
	default:
		ts.Fatalf("callers: unexpected subcommand %q", args[1])
	}
}

func (d *testDeployment) startLoop(ts *testscript.TestScript, name string, args []string) {
	opts := options(ts, args, 2, "workers", "repeatable", "tokens")
	workers := 4
	if opts["workers"] != "" {
		workers, _ = strconv.Atoi(opts["workers"])
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &callerLoop{cancel: cancel, counts: make(map[result]int)}
	d.loops[name] = l
	for worker := range workers {
		c := d.newCaller(args[0], args[1], opts)
		l.wg.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				id := fmt.Sprintf("%s-%d-%d", name, worker, number)
				// A request in progress is completed after the loop is stopped, so that its result is counted.
				got, detail := c.send(context.WithoutCancel(ctx), id, nil)
				l.mu.Lock()
				l.counts[got]++
				if got != resultAnswered {
					l.details = append(l.details, fmt.Sprintf("%s %s: %s", id, got, detail))
				}
				l.mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func (d *testDeployment) awaitLoop(ts *testscript.TestScript, name string, args []string) {
	options(ts, args, 1)
	more, err := strconv.Atoi(args[0])
	ts.Check(err)
	l := d.loops[name]
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.counts[resultAnswered]
	}
	target := count() + more
	await(ts, "callers await", func() string {
		if got := count(); got < target {
			return fmt.Sprintf("%d of %d requests answered", got, target)
		}
		return ""
	})
}

func (d *testDeployment) stopLoop(ts *testscript.TestScript, name string, allowed []string) {
	l := d.loops[name]
	l.cancel()
	l.wg.Wait()
	ts.Logf("callers %s: %v", name, l.counts)
	permitted := map[result]bool{resultAnswered: true}
	for _, value := range allowed {
		permitted[result(value)] = true
	}
	for got := range l.counts {
		if !permitted[got] {
			d.dumpLogs(ts)
			ts.Fatalf("callers %s: %v\n%s", name, l.counts, strings.Join(l.details, "\n"))
		}
	}
	if l.counts[resultAnswered] == 0 {
		ts.Fatalf("callers %s: no request was answered: %v", name, l.counts)
	}
}

// backgroundRequest is a single request that runs in the background of a script.
type backgroundRequest struct {
	caller  *caller
	started chan struct{}
	done    chan struct{}
	result  result
	detail  string
}

// request NAME GROUP SERVICE [repeatable=B] [tokens=N] [id=ID] starts one request in the background. Its id is NAME
// unless ID is given.
func request(d *testDeployment, ts *testscript.TestScript, args []string) {
	opts := options(ts, args, 3, "repeatable", "tokens", "id")
	id := args[0]
	if opts["id"] != "" {
		id = opts["id"]
	}
	s := &backgroundRequest{started: make(chan struct{}), done: make(chan struct{})}
	c := d.newCaller(args[1], args[2], opts)
	s.caller = c
	d.requests[args[0]] = s
	go func() {
		defer close(s.done)
		ctx, cancel := d.context()
		defer cancel()
		s.result, s.detail = c.send(ctx, id, s.started)
	}()
}

// await-first NAME waits until the response to a request has started.
func awaitResponseStart(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	select {
	case <-d.requests[args[0]].started:
	case <-time.After(waitLimit):
		ts.Fatalf("timed out waiting for the response to %s to start", args[0])
	}
}

// outcome NAME RESULT… waits for the end of a request and requires one of the results.
func outcome(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args[:min(2, len(args))], 2)
	s := d.requests[args[0]]
	<-s.done
	for _, want := range args[1:] {
		if s.result == result(want) {
			return
		}
	}
	d.dumpLogs(ts)
	ts.Fatalf("request %s has result %s, want one of %v: %s", args[0], s.result, args[1:], s.detail)
}

// ran at-most-once requires that no request id was started more than once, over all backend servers.
// ran ID N requires that the request id was started N times, over all backend servers.
func ran(d *testDeployment, ts *testscript.TestScript, args []string) {
	counts := make(map[string]int)
	for _, engine := range d.engines {
		for id, count := range engine.Runs() {
			counts[id] += count
		}
	}
	for _, backend := range d.plainBackends {
		for id, count := range backend.Runs() {
			counts[id] += count
		}
	}
	if len(args) == 1 && args[0] == "at-most-once" {
		for id, count := range counts {
			if count > 1 {
				ts.Fatalf("request %s ran %d times", id, count)
			}
		}
		return
	}
	options(ts, args, 2)
	if want, err := strconv.Atoi(args[1]); err != nil || counts[args[0]] != want {
		ts.Fatalf("request %s ran %d times, want %s", args[0], counts[args[0]], args[1])
	}
}

// kill9-runner ID kills the agent whose plain backend server ran a request id.
func killRunner(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	for name, backend := range d.plainBackends {
		if backend.Runs()[args[0]] > 0 {
			kill(d, ts, []string{name})
			return
		}
	}
	ts.Fatalf("no plain backend server ran %s", args[0])
}

// kill9-entry-of NAME kills the entry box through which a request was sent.
func killEntryOf(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	used := string(d.requests[args[0]].caller.entries[0].Address)
	for _, p := range d.entries() {
		if p.callers == used {
			kill(d, ts, []string{p.name})
			return
		}
	}
	ts.Fatalf("no entry box has the address %s", used)
}

// refused-path PATH… requires that the callers' listener responds with 404 to paths of the operators' listener.
func refusedPath(d *testDeployment, ts *testscript.TestScript, args []string) {
	for _, path := range args {
		response, err := statusClient.Get("http://" + d.entries()[0].callers + path)
		ts.Check(err)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNotFound {
			ts.Fatalf("%s has status %d on the callers' listener, want 404", path, response.StatusCode)
		}
	}
}

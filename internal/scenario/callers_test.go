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

// result is what a caller saw of one request.
type result string

const (
	resultAnswered  result = "answered"
	resultNotRun    result = "not-run"
	resultUnknown   result = "unknown"
	resultTruncated result = "cut"
	resultInvalid   result = "wrong"
	// resultUnreachable means that no entry box took the connection.
	resultUnreachable result = "unreached"
)

// caller asks the system which entry box to use, keeps the answer for its time,
// and checks that each answer is whole and its own.
type caller struct {
	deployment *testDeployment
	group      string
	service    string
	// repeatable is the header's value; empty leaves it out.
	repeatable string
	tokens     int
	client     *http.Client

	entries       []daemon.EntryAddress
	entriesExpiry time.Time
}

func (d *testDeployment) newCaller(group, service string, given map[string]string) *caller {
	c := &caller{deployment: d, group: group, service: service, repeatable: given["repeatable"], tokens: 10, client: &http.Client{Transport: &http.Transport{}}}
	if given["tokens"] != "" {
		c.tokens, _ = strconv.Atoi(given["tokens"])
	}
	return c
}

// address returns an entry box, asking anew when the kept answer has run out or
// did not work.
func (c *caller) address(ctx context.Context, anew bool) (string, error) {
	if !anew && time.Now().Before(c.entriesExpiry) && len(c.entries) > 0 {
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
		var answer daemon.EntriesResponse
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Entries) > 0 {
			c.entries, c.entriesExpiry = answer.Entries, time.Now().Add(time.Duration(answer.TTLSeconds)*time.Second)
			return string(c.entries[0].Address), nil
		}
	}
	return "", errors.New("no entry box answers")
}

// send makes one request and judges its answer. first is closed when the answer
// has begun; it may be nil.
func (c *caller) send(ctx context.Context, id string, first chan struct{}) (result, string) {
	for try := range 6 {
		address, err := c.address(ctx, try == 3)
		if err != nil {
			continue
		}
		response, err := c.post(ctx, address, id)
		if err != nil {
			// Only a connection that was refused proves that nothing was sent.
			// The kept answer names other entry boxes to go on with.
			if strings.Contains(err.Error(), "connection refused") {
				c.entries = append(c.entries[1:], c.entries[0])
				continue
			}
			return resultUnknown, err.Error()
		}
		if first != nil {
			close(first)
		}
		return c.checkResponse(response, id)
	}
	return resultUnreachable, "no entry box takes the connection"
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

// checkResponse requires that the answer is whole, says the caller's own words and comes
// from one version only.
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
		return resultInvalid, "another request's id"
	}
	if c.deployment.plainServiceNames[c.service] {
		if !strings.Contains(string(content), id) {
			return resultInvalid, string(content)
		}
		return resultAnswered, string(content)
	}
	version := response.Header.Get("Cinderslip-Version")
	prints := make(map[string]bool)
	words := ""
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
		prints[chunk.Fingerprint] = true
		words += chunk.Choices[0].Delta.Content
	}
	switch {
	case !strings.HasSuffix(string(content), "data: [DONE]\n\n"), len(strings.Fields(words)) != c.tokens:
		return resultInvalid, "the answer is not whole: " + words
	case !strings.HasPrefix(words, fmt.Sprintf("%s %s answers: %s ", c.service, version, id)):
		return resultInvalid, fmt.Sprintf("version %s, answer %q, want id %s", version, words, id)
	case len(prints) != 1:
		return resultInvalid, "the answer mixes versions"
	}
	return resultAnswered, version
}

// callerLoop is a number of callers that send one request after the other.
type callerLoop struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	counts  map[result]int
	details []string
}

// callers NAME start GROUP SERVICE [workers=N] [repeatable=B] [tokens=N] starts a
// loop; callers NAME stop RESULT… ends it and requires that every request came
// to one of the results, and some were answered; callers NAME await N waits for N
// answers more.
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
		ts.Fatalf("callers: unexpected %q", args[1])
	}
}

func (d *testDeployment) startLoop(ts *testscript.TestScript, name string, args []string) {
	given := options(ts, args, 2, "workers", "repeatable", "tokens")
	workers := 4
	if given["workers"] != "" {
		workers, _ = strconv.Atoi(given["workers"])
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &callerLoop{cancel: cancel, counts: make(map[result]int)}
	d.loops[name] = l
	for worker := range workers {
		c := d.newCaller(args[0], args[1], given)
		l.wg.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				id := fmt.Sprintf("%s-%d-%d", name, worker, number)
				// A request that has begun is let end, so that its result counts.
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
	until := count() + more
	await(ts, "callers await", func() string {
		if got := count(); got < until {
			return fmt.Sprintf("%d answers of %d", got, until)
		}
		return ""
	})
}

func (d *testDeployment) stopLoop(ts *testscript.TestScript, name string, allowed []string) {
	l := d.loops[name]
	l.cancel()
	l.wg.Wait()
	ts.Logf("callers %s: %v", name, l.counts)
	good := map[result]bool{resultAnswered: true}
	for _, word := range allowed {
		good[result(word)] = true
	}
	for got := range l.counts {
		if !good[got] {
			d.dumpLogs(ts)
			ts.Fatalf("callers %s: %v\n%s", name, l.counts, strings.Join(l.details, "\n"))
		}
	}
	if l.counts[resultAnswered] == 0 {
		ts.Fatalf("callers %s: no request was answered: %v", name, l.counts)
	}
}

// backgroundRequest is one request in the background.
type backgroundRequest struct {
	caller  *caller
	started chan struct{}
	done    chan struct{}
	result  result
	detail  string
}

// request NAME GROUP SERVICE [repeatable=B] [tokens=N] [id=ID] starts one request.
func request(d *testDeployment, ts *testscript.TestScript, args []string) {
	given := options(ts, args, 3, "repeatable", "tokens", "id")
	id := args[0]
	if given["id"] != "" {
		id = given["id"]
	}
	s := &backgroundRequest{started: make(chan struct{}), done: make(chan struct{})}
	c := d.newCaller(args[1], args[2], given)
	s.caller = c
	d.requests[args[0]] = s
	go func() {
		defer close(s.done)
		ctx, cancel := d.context()
		defer cancel()
		s.result, s.detail = c.send(ctx, id, s.started)
	}()
}

// await-first NAME waits until the answer of a request has begun.
func awaitResponseStart(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	select {
	case <-d.requests[args[0]].started:
	case <-time.After(waitLimit):
		ts.Fatalf("the answer of %s does not begin", args[0])
	}
}

// outcome NAME RESULT… waits for the end of a request and requires its result.
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
	ts.Fatalf("request %s came to %s, want %v: %s", args[0], s.result, args[1:], s.detail)
}

// ran at-most-once requires that no request id began twice on any backend
// server; ran ID N requires that it began N times on all of them together.
func ran(d *testDeployment, ts *testscript.TestScript, args []string) {
	counts := make(map[string]int)
	for _, engine := range d.engines {
		for id, count := range engine.Runs() {
			counts[id] += count
		}
	}
	for _, plain := range d.plainBackends {
		for id, count := range plain.Runs() {
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

// kill9-runner ID ends the agent at once whose backend server ran a request id.
func killRunner(d *testDeployment, ts *testscript.TestScript, args []string) {
	options(ts, args, 1)
	for name, plain := range d.plainBackends {
		if plain.Runs()[args[0]] > 0 {
			kill(d, ts, []string{name})
			return
		}
	}
	ts.Fatalf("nobody ran %s", args[0])
}

// kill9-entry-of NAME ends the entry box at once through which a request went.
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

// refused-path PATH… requires that the callers' side does not answer a path of
// the operators' side.
func refusedPath(d *testDeployment, ts *testscript.TestScript, args []string) {
	for _, path := range args {
		response, err := statusClient.Get("http://" + d.entries()[0].callers + path)
		ts.Check(err)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNotFound {
			ts.Fatalf("%s is answered with %d on the callers' side", path, response.StatusCode)
		}
	}
}

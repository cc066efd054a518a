package direct_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/platform/standin"
)

const (
	// partContactTime is how long the reports of exits between boxes may take.
	partContactTime = 3 * time.Second
	// exitsUntilKnown is the number of exits under a part after which at most maxLateWithPart requests with the part may
	// reach a server, sent later than partContactTime.
	exitsUntilKnown = 5
	maxLateWithPart = 3
	// maxExitsPerPart limits the servers that exit under one part, over all boxes.
	maxExitsPerPart = 8
	// minSoundShare is the part of the other requests that must be served at their first attempt, beginning soundFrom
	// after the first exit.
	minSoundShare = 0.95
	soundFrom     = 2 * time.Second
)

// partExits counts the exits of servers by the part of the prompt that caused them.
type partExits struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// add records an exit.
func (e *partExits) add(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at[part] = append(e.at[part], time.Now())
}

// times returns the times of the exits under a part.
func (e *partExits) times(part string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.at[part])
}

// soundResult is the result of a request without a part that crashes servers.
type soundResult struct {
	sentAt time.Time
	status int
	err    error
}

// cmdCrashOnParts makes every server crash when it starts to run a request with one of the parts in its prompt, after the
// given part of the response, and restart a little later:
//
//	crash-on-parts head dead01 dead02
func (w *testDeployment) cmdCrashOnParts(args []string) error {
	w.partExits = &partExits{at: make(map[string][]time.Time)}
	for _, s := range w.servers {
		s.CrashOnParts(args[1:], standin.CrashResponse(args[0]), func(part string) {
			w.partExits.add(part)
			w.crash(s)
		})
	}
	return nil
}

// cmdListenAfterCrash makes servers that crash on a part listen for a time after the connection has closed:
//
//	listen-after-crash 5ms
func (w *testDeployment) cmdListenAfterCrash(args []string) error {
	duration, err := time.ParseDuration(args[0])
	for _, s := range w.servers {
		s.SetListensAfterCrash(duration)
	}
	return err
}

// cmdSendWithParts sends requests whose prompts contain parts that crash servers, and others beside them that share the
// first part, in turn to all running entry boxes. No two requests have the same body, last part or, mostly, other parts:
//
//	send-with-parts /talk/1 parts=dead01,dead02 rate=8 sound=30 seconds=6 first=yes
//
// first=yes makes the part the first one.
func (w *testDeployment) cmdSendWithParts(args []string) error {
	path, options := args[0], parseOptions(args[1:])
	parts := strings.Split(options["parts"], ",")
	seconds, entries := parseInt(options["seconds"], 1), w.runningEntries()
	var all sync.WaitGroup
	all.Go(func() {
		every(parseInt(options["rate"], 1), seconds, &all, func(i int) {
			part := parts[i%len(parts)]
			prompt := standin.DrawPrompt(standin.SharedFirstPart, part)
			if options["first"] == "yes" {
				prompt = standin.DrawPrompt(part)
			}
			_, _ = w.sendPrompt(entries[i%len(entries)], path, prompt)
		})
	})
	if sound := parseInt(options["sound"], 0); sound > 0 {
		all.Go(func() {
			w.sendSound(path, sound, seconds, entries, &all)
		})
	}
	all.Wait()
	return nil
}

// runningEntries returns the names of the running entry boxes.
func (w *testDeployment) runningEntries() (names []string) {
	for name := range w.processes {
		if w.settingsByName[name].Role == settings.RoleEntry {
			names = append(names, name)
		}
	}
	return names
}

// cmdCrashServers crashes servers in turn at an interval, beside requests without a part that crashes servers:
//
//	crash-servers 12 500ms sound=30
func (w *testDeployment) cmdCrashServers(args []string) error {
	interval, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	crashes := parseInt(args[0], 0)
	var all sync.WaitGroup
	all.Go(func() {
		for i := range crashes {
			w.crash(w.servers[fmt.Sprintf("model-%d", i%len(w.modelNames())+1)])
			time.Sleep(interval)
		}
	})
	seconds := int(time.Duration(crashes)*interval/time.Second) + 2
	w.sendSound("/talk/1", parseInt(parseOptions(args[2:])["sound"], 1), seconds, w.runningEntries(), &all)
	all.Wait()
	return nil
}

// modelNames returns the names of the model servers.
func (w *testDeployment) modelNames() (names []string) {
	for name := range w.servers {
		if strings.HasPrefix(name, "model-") {
			names = append(names, name)
		}
	}
	return names
}

// sendSound sends requests without a part that crashes servers and records their results.
func (w *testDeployment) sendSound(path string, rate, seconds int, entries []string, group *sync.WaitGroup) {
	every(rate, seconds, group, func(i int) {
		sentAt := time.Now()
		status, err := w.sendPrompt(entries[i%len(entries)], path, standin.DrawPrompt(standin.SharedFirstPart, standin.DrawPart()))
		w.mu.Lock()
		defer w.mu.Unlock()
		w.soundResults = append(w.soundResults, soundResult{sentAt, status, err})
	})
}

// every calls send in goroutines of the group, at a rate per second for a number of seconds.
func every(rate, seconds int, group *sync.WaitGroup, send func(i int)) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range rate * seconds {
		<-ticker.C
		group.Go(func() { send(i) })
	}
}

// sendPrompt sends a request with the given parts of a prompt and another body each time, and returns the status of its
// response once that is complete.
func (w *testDeployment) sendPrompt(entry, path, prompt string) (int, error) {
	id := fmt.Sprintf("prompt-%d", w.requestCount.Add(1))
	url, body := "http://"+w.settingsByName[entry].Listen.Callers+path, strings.NewReader("body of "+id)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, body)
	if err != nil {
		return 0, err
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("X-Token-Usage", "100,60")
	request.Header.Set("X-Prompt-Prefix", prompt)
	request.Header.Set("Authorization", "Bearer key-1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// cmdCheckPartExits checks that few servers exited under each part, and that few requests with the part reached a server
// once that was known:
//
//	check-part-exits dead01 dead02
func (w *testDeployment) cmdCheckPartExits(args []string) error {
	var findings []error
	for _, part := range args {
		exits := w.partExits.times(part)
		w.t.Logf("%d servers exited under part %s", len(exits), part)
		for _, at := range exits {
			w.t.Logf("exit under part %s: %v", part, at.Sub(exits[0]))
		}
		if len(exits) == 0 {
			findings = append(findings, fmt.Errorf("no server exited under part %s", part))
		}
		if len(exits) > maxExitsPerPart {
			findings = append(findings, fmt.Errorf("%d servers exited under part %s, want at most %d", len(exits), part, maxExitsPerPart))
		}
		if late := w.countLateWithPart(part, exits); late > maxLateWithPart {
			findings = append(findings, fmt.Errorf("%d requests with part %s reached servers after %d had exited", late, part, exitsUntilKnown))
		}
	}
	return errors.Join(findings...)
}

// countLateWithPart returns how many requests with a part reached a server later than partContactTime after the exit with
// the number exitsUntilKnown.
func (w *testDeployment) countLateWithPart(part string, exits []time.Time) (late int) {
	if len(exits) < exitsUntilKnown {
		return 0
	}
	from := exits[exitsUntilKnown-1].Add(partContactTime)
	for _, s := range w.servers {
		for _, received := range s.ReceivedRequests() {
			if slices.Contains(received.Parts, part) && received.At.After(from) {
				late++
			}
		}
	}
	return late
}

// cmdCheckSound checks that the other requests of send-with-parts were served at their first attempt:
//
//	check-sound
func (w *testDeployment) cmdCheckSound([]string) error {
	w.mu.Lock()
	results := w.soundResults
	w.soundResults = nil
	w.mu.Unlock()
	sent, served, sample := 0, 0, ""
	if len(results) == 0 {
		return errors.New("no request was sent")
	}
	from := slices.MinFunc(results, func(a, b soundResult) int { return a.sentAt.Compare(b.sentAt) }).sentAt.Add(soundFrom)
	for _, result := range results {
		if result.sentAt.Before(from) {
			continue
		}
		sent++
		if result.status == http.StatusOK && result.err == nil {
			served++
		} else {
			sample = fmt.Sprintf("status %d, %v", result.status, result.err)
		}
	}
	if float64(served) < minSoundShare*float64(sent) {
		return fmt.Errorf("%d of %d requests without the part were served, the last other one: %s", served, sent, sample)
	}
	return nil
}

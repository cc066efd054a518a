package direct_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// crashDowntime is how long a crashed server stays down.
const crashDowntime = 200 * time.Millisecond

// cmdCrashOnRequest makes every server crash when it starts to run a request with a body, and restart a little
// later:
//
//	crash-on-request BODY
func (w *testDeployment) cmdCrashOnRequest(args []string) error {
	for _, s := range w.servers {
		s.CrashOnBody(args[0], func() { w.crash(s) })
	}
	return nil
}

// crash stops a server and restarts it under the same ID, with the same weights loaded.
func (w *testDeployment) crash(s *testServer) {
	version := s.Version()
	if err := s.host.Kill(); err != nil {
		w.t.Error(err)
	}
	w.restarts.Go(func() {
		time.Sleep(crashDowntime)
		s.Restart(s.id)
		s.SetVersion(version)
		if err := s.host.Start(); err != nil {
			w.t.Error(err)
		}
		w.store.Put("servers/"+s.id, s.Entry(s.service, s.address, "hall-a", false))
	})
}

// reachedServers returns how many times a request has reached a server.
func (w *testDeployment) reachedServers(path, body string) int {
	count := 0
	for _, s := range w.servers {
		for _, received := range s.ReceivedRequests() {
			if received.Path == path && received.Body == body {
				count++
			}
		}
	}
	return count
}

// cmdCauseExits sends a body to entry boxes in turn until it has reached a number of servers, or until it is
// refused as quarantined:
//
//	cause-exits 3 /talk/1 BODY entry-1 entry-2
func (w *testDeployment) cmdCauseExits(args []string) error {
	entries, tries := args[3:], 0
	return w.await(func() error {
		before := w.reachedServers(args[1], args[2])
		if before >= parseInt(args[0], 0) {
			return nil
		}
		tries++
		status, err := w.sendBody(entries[tries%len(entries)], args[1], args[2])
		if err == nil && status != statusBlocked {
			err = fmt.Errorf("the request has reached %d servers", before)
		}
		return err
	})
}

// statusBlocked stands for a refusal with a Retry-After of more than a minute. Refusals for lack of a slot
// never have one.
const statusBlocked = -http.StatusServiceUnavailable

// sendBody sends a body to an entry box and returns the status of the response.
func (w *testDeployment) sendBody(entry, path, body string) (int, error) {
	response, err := w.requestBody(entry, fmt.Sprintf("cause-exits-%d", w.requestCount.Add(1)), path, "key-1", body)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	wait, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if response.StatusCode == http.StatusServiceUnavailable && wait > time.Minute.Seconds() {
		return statusBlocked, nil
	}
	return response.StatusCode, nil
}

// cmdCheckBlocked sends a body to entry boxes, each of which must refuse it without sending it to a server:
//
//	check-blocked /talk/1 BODY entry-1
func (w *testDeployment) cmdCheckBlocked(args []string) error {
	before := w.reachedServers(args[0], args[1])
	var findings []string
	for _, entry := range args[2:] {
		status, err := w.sendBody(entry, args[0], args[1])
		if err != nil {
			return err
		}
		if status != statusBlocked {
			findings = append(findings, fmt.Sprintf("%s responded with status %d", entry, status))
		}
	}
	if reached := w.reachedServers(args[0], args[1]) - before; reached > 0 {
		findings = append(findings, fmt.Sprintf("the request reached %d more servers, %d in all", reached, before+reached))
	}
	if len(findings) > 0 {
		return errors.New(strings.Join(findings, ", "))
	}
	return nil
}

// cmdAwaitStatus sends a body to an entry box until the response, which may be truncated, has a status:
//
//	await-status entry-1 /talk/1 BODY 200
//
// It retries because a server that is just starting may delay the response.
func (w *testDeployment) cmdAwaitStatus(args []string) error {
	return w.await(func() error {
		status, err := w.sendBody(args[0], args[1], args[2])
		if want := parseInt(args[3], 0); err == nil && status != want {
			err = fmt.Errorf("%s responded with status %d, want %d", args[0], status, want)
		}
		return err
	})
}

// cmdCrashMidStream starts a stream at an entry box and crashes its server after crashDelay. The stream resumes
// at another server:
//
//	crash-mid-stream entry-1 /talk/1 BODY
func (w *testDeployment) cmdCrashMidStream(args []string) error {
	id := fmt.Sprintf("crash-mid-stream-%d", w.requestCount.Add(1))
	for _, s := range w.servers {
		s.SetEventInterval(slowEventInterval)
		defer s.SetEventInterval(eventInterval)
	}
	response, err := w.requestBody(args[0], id, args[1], "key-1", args[2])
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("stream %s: status %d", id, response.StatusCode)
	}
	// The first event has arrived. The request becomes suspect only if the server crashes within a short time
	// after it.
	time.Sleep(crashDelay)
	s, err := w.runner(id)
	if err != nil {
		return err
	}
	w.crash(s)
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// runner returns the only server that has started to run a request. It must be called before the server is
// changed, because the request may reach the next server within a millisecond.
func (w *testDeployment) runner(id string) (*testServer, error) {
	var runners []*testServer
	for _, s := range w.servers {
		if s.Runs()[id] > 0 {
			runners = append(runners, s)
		}
	}
	if len(runners) != 1 {
		return nil, fmt.Errorf("%d servers have started request %s, want 1", len(runners), id)
	}
	return runners[0], nil
}

// crashDelay is how long a stream runs before its server crashes: longer than the time after which a crash is
// no longer attributed to the request, and shorter than the stream.
const crashDelay = 300 * time.Millisecond

// slowEventInterval is the time between two events of a stream in cmdCrashMidStream.
const slowEventInterval = 60 * time.Millisecond

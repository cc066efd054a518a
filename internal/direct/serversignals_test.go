package direct_test

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// responseSignals returns the signals in a server's response to a request; ok is false if the request did not
// reach the server.
func (w *testDeployment) responseSignals(server, id string) (leaving bool, backoffUntil time.Time, ok bool) {
	for _, received := range w.servers[server].ReceivedRequests() {
		if received.RequestID == id {
			return received.Leaving, received.BackoffUntil, true
		}
	}
	return false, time.Time{}, false
}

// cmdAwaitSignal sends requests to an entry box until a server has responded to one with a departure or a
// requested backoff, and the box has responded to the caller:
//
//	await-signal entry-1 plain-1 /look/1
func (w *testDeployment) cmdAwaitSignal(args []string) error {
	tries := 0
	return w.await(func() error {
		tries++
		id := fmt.Sprintf("await-signal-%s-%s-%d", args[0], args[1], tries)
		if _, err := w.status(args[0], id, args[2]); err != nil {
			return err
		}
		if leaving, backoffUntil, ok := w.responseSignals(args[1], id); ok && (leaving || !backoffUntil.IsZero()) {
			return nil
		}
		return errors.New("server has sent no departure or backoff")
	})
}

// status sends a request and returns the status of the response.
func (w *testDeployment) status(entry, id, path string) (int, error) {
	response, err := w.request(entry, id, path, "key-1")
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// cmdCheckAvoided sends requests to an entry box. None of them may reach the given server before the end of its
// requested backoff, or ever if it has requested none, and all of them must get the given status:
//
//	check-avoided entry-1 plain-1 /look/1 40 200
func (w *testDeployment) cmdCheckAvoided(args []string) error {
	backoffUntil := time.Time{}
	for _, received := range w.servers[args[1]].ReceivedRequests() {
		if received.BackoffUntil.After(backoffUntil) {
			backoffUntil = received.BackoffUntil
		}
	}
	before, reached := len(w.servers[args[1]].ReceivedRequests()), 0
	count, want := parseInt(args[3], 0), parseInt(args[4], http.StatusOK)
	for i := range count {
		status, err := w.status(args[0], fmt.Sprintf("check-avoided-%s-%d-%d", args[1], before, i), args[2])
		if err != nil {
			return err
		}
		if status != want && (backoffUntil.IsZero() || time.Now().Before(backoffUntil)) {
			return fmt.Errorf("request %d: status %d, want %d", i, status, want)
		}
	}
	for _, received := range w.servers[args[1]].ReceivedRequests()[before:] {
		if backoffUntil.IsZero() || received.At.Before(backoffUntil) {
			reached++
		}
	}
	if reached > 0 {
		return fmt.Errorf("%d of %d requests reached %s", reached, count, args[1])
	}
	return nil
}

// checkUsed sends a request to an entry box and returns an error unless a server responds to it with 200.
func (w *testDeployment) checkUsed(entry, server, path string) error {
	id := fmt.Sprintf("used-%s-%d", server, w.requestCount.Add(1))
	status, err := w.status(entry, id, path)
	if err != nil {
		return err
	}
	if _, _, ok := w.responseSignals(server, id); !ok || status != http.StatusOK {
		return fmt.Errorf("%s did not respond to request %s: status %d", server, id, status)
	}
	return nil
}

// cmdCheckRetryAfter sends a request that must be refused with a Retry-After of at least a number of seconds:
//
//	check-retry-after entry-1 /look/1 1.0
func (w *testDeployment) cmdCheckRetryAfter(args []string) error {
	response, err := w.request(args[0], fmt.Sprintf("check-retry-after-%d", w.requestCount.Add(1)), args[1], "key-1")
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return err
	}
	minimum, err := strconv.ParseFloat(args[2], 64)
	if err == nil && retryAfter < minimum {
		return fmt.Errorf("Retry-After is %v s, want at least %v s", retryAfter, minimum)
	}
	return err
}

package direct_test

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// visitOf returns how a server answered a request; ok is false if it did not reach the server.
func (w *testDeployment) visitOf(server, id string) (leaving bool, restUntil time.Time, ok bool) {
	for _, visit := range w.servers[server].ReceivedRequests() {
		if visit.RequestID == id {
			return visit.Leaving, visit.BackoffUntil, true
		}
	}
	return false, time.Time{}, false
}

// cmdAwaitSignal makes requests at an entry box until a server has answered one in which it says that it
// leaves, or wants rest, and the box has answered its caller: told entry-1 plain-1 /look/1.
func (w *testDeployment) cmdAwaitSignal(args []string) error {
	tries := 0
	return w.await(func() error {
		tries++
		id := fmt.Sprintf("told-%s-%s-%d", args[0], args[1], tries)
		if _, err := w.status(args[0], id, args[2]); err != nil {
			return err
		}
		if leaving, rest, ok := w.visitOf(args[1], id); ok && (leaving || !rest.IsZero()) {
			return nil
		}
		return errors.New("the server has told the box nothing")
	})
}

// status makes a request and returns the status of its answer.
func (w *testDeployment) status(entry, id, path string) (int, error) {
	response, err := w.request(entry, id, path, "key-1")
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// cmdCheckAvoided makes requests at an entry box, of which none may reach a server, unless the rest that it
// asked for is over, and all must be answered with a status: avoids entry-1 plain-1 /look/1 40 200.
func (w *testDeployment) cmdCheckAvoided(args []string) error {
	rest := time.Time{}
	for _, visit := range w.servers[args[1]].ReceivedRequests() {
		if visit.BackoffUntil.After(rest) {
			rest = visit.BackoffUntil
		}
	}
	before, reached := len(w.servers[args[1]].ReceivedRequests()), 0
	count, want := parseInt(args[3], 0), parseInt(args[4], http.StatusOK)
	for i := range count {
		status, err := w.status(args[0], fmt.Sprintf("avoids-%s-%d-%d", args[1], before, i), args[2])
		if err != nil {
			return err
		}
		if status != want && (rest.IsZero() || time.Now().Before(rest)) {
			return fmt.Errorf("request %d: status %d, want %d", i, status, want)
		}
	}
	for _, visit := range w.servers[args[1]].ReceivedRequests()[before:] {
		if rest.IsZero() || visit.At.Before(rest) {
			reached++
		}
	}
	if reached > 0 {
		return fmt.Errorf("%d of %d requests reached %s", reached, count, args[1])
	}
	return nil
}

// checkUsed makes a request at an entry box and returns an error unless a server has answered it.
func (w *testDeployment) checkUsed(entry, server, path string) error {
	id := fmt.Sprintf("used-%s-%d", server, w.requestCount.Add(1))
	status, err := w.status(entry, id, path)
	if err != nil {
		return err
	}
	if _, _, ok := w.visitOf(server, id); !ok || status != http.StatusOK {
		return fmt.Errorf("%s did not answer request %s: status %d", server, id, status)
	}
	return nil
}

// cmdCheckRetryAfter makes a request that must be refused and told to come back no sooner than after a time, in
// seconds: later entry-1 /look/1 1.0.
func (w *testDeployment) cmdCheckRetryAfter(args []string) error {
	response, err := w.request(args[0], fmt.Sprintf("later-%d", w.requestCount.Add(1)), args[1], "key-1")
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	told, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return err
	}
	least, err := strconv.ParseFloat(args[2], 64)
	if err == nil && told < least {
		return fmt.Errorf("told to come back in %v s, want %v s at least", told, least)
	}
	return err
}

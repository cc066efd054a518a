//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// mapBytes is the size of an answer, which the socket of an entry box holds. smallBytes is the size of the others, the
	// largest of the sheet for plain answers; their clients have the smallest receive buffer, smallWindow.
	mapBytes    = 128 << 10
	smallBytes  = 4800
	smallWindow = 2 << 10
	// smallFirstBytes is what a client reads of a small answer before it stops.
	smallFirstBytes = 256
	// mapTimeout is the route's TimeoutMs and the client's X-Deadline-Ms.
	mapTimeout = 6 * time.Second
	// pauseBefore is how long before the SIGTERM the clients stop reading. They read on pauseAfter later at the earliest,
	// each pauseStep after the one before, all before GraceS has passed.
	pauseBefore = 100 * time.Millisecond
	pauseAfter  = 5500 * time.Millisecond
	pauseStep   = 40 * time.Millisecond
	mapClients  = 8
	// grace is GraceS.
	grace = 8 * time.Second
	// Other clients send their requests lateAfter the SIGTERM, while the entry box takes requests, and pause for latePause.
	lateClients = 4
	lateAfter   = 200 * time.Millisecond
	latePause   = 3 * time.Second
)

// smallID begins the ids of requests for small answers.
const smallID = "r-small-"

// mapID returns the id of the request of a client. Every other pair of clients asks for a small answer.
func mapID(round, client int) string {
	if client/2%2 == 1 {
		return fmt.Sprintf("%s%d-%d", smallID, round, client)
	}
	return fmt.Sprintf("r-map-%d-%d", round, client)
}

// wholeMap is the whole answer of the server.
func wholeMap(id string) []byte {
	line, size := []byte(fmt.Sprintf("tile of %s\n", id)), mapBytes
	if strings.HasPrefix(id, smallID) {
		size = smallBytes
	}
	return bytes.Repeat(line, size/len(line))
}

// stopSlow stops an entry box as planned while clients are slow to read their answers, and checks that they get them whole.
func stopSlow(d *deployment, trouble bool) error {
	d.bounds = matrikelBounds
	for i := range 3 {
		s, err := d.addServer(fmt.Sprintf("i-records-%d", i), "matrikel-records", "127.0.0.1", 0)
		if err != nil {
			return err
		}
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			w.Header().Set("X-Response-Seal", seal(s.id, id))
			w.Header().Set("Content-Length", fmt.Sprint(len(wholeMap(id))))
			_, err := w.Write(wholeMap(id))
			s.d.rec.note("server %s has sent all of %s: %v", s.id, id, err)
		}
	}
	d.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "map", "Host": "a.example", "PathPrefix": "/map/", "Type": "safe", "TimeoutMs": mapTimeout.Milliseconds(),
			"TargetLatencyMs": 1000, "Service": "matrikel-records", "MaxAttempts": 2, "Public": true,
		}},
		"Limits":   limits,
		"Services": []any{map[string]any{"Name": "matrikel-records", "MaxConnections": 590}},
	})
	for range 2 {
		if _, err := d.addEntry(); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	d.settle()
	p := d.entries[0]
	var clients, ready sync.WaitGroup
	ready.Add(mapClients)
	stopped := make(chan time.Time)
	for c := range mapClients {
		clients.Go(func() {
			id := mapID(0, c)
			var at time.Time
			isCut := d.requestMap(p.callers, id, mapTimeout, mapTimeout, func() {
				ready.Done()
				at = <-stopped
				time.Sleep(time.Until(at.Add(pauseAfter + time.Duration(c)*pauseStep)))
				d.rec.note("client: %s reads on, %s after the SIGTERM", id, time.Since(at).Round(time.Millisecond))
			})
			d.judgeStop(id, isCut, at)
		})
	}
	ready.Wait()
	time.Sleep(pauseBefore)
	if trouble {
		p.signal(syscall.SIGTERM)
	}
	at := time.Now()
	for c := range lateClients {
		clients.Go(func() {
			time.Sleep(lateAfter)
			id := fmt.Sprintf("r-late-%d", c)
			isCut := d.requestMap(p.callers, id, mapTimeout, mapTimeout, func() {
				time.Sleep(latePause)
				d.rec.note("client: %s reads on, %s after the SIGTERM", id, time.Since(at).Round(time.Millisecond))
			})
			d.judgeStop(id, isCut, at)
		})
	}
	for range mapClients {
		stopped <- at
	}
	clients.Wait()
	return nil
}

// judgeStop notes a break of LOST for an answer that was cut up to 1 s after GraceS.
func (d *deployment) judgeStop(id string, isCut bool, stoppedAt time.Time) {
	if isCut && time.Since(stoppedAt) <= grace+time.Second {
		d.rec.breaks("LOST: the answer of %s was cut", id)
	}
}

// requestMap sends one request and reads its answer, with a pause in the middle. It reports whether an answer that had begun
// was cut before the request had used a time.
func (d *deployment) requestMap(address, id string, timeout, judged time.Duration, pause func()) (isCut bool) {
	window, first := windowBytes, firstBytes
	if strings.HasPrefix(id, smallID) {
		window, first = smallWindow, smallFirstBytes
	}
	conn, err := dialWindow(address, window)
	if err != nil {
		pause()
		d.rec.note("client: %s could not connect: %v", id, err)
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	sentAt := time.Now()
	_, _ = fmt.Fprintf(conn, "GET /map/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, timeout.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		pause()
		d.rec.note("client: %s got no answer: %v", id, err)
		return false
	}
	start := make([]byte, first)
	n, _ := io.ReadFull(response.Body, start)
	pause()
	rest, err := io.ReadAll(response.Body)
	got, want := n+len(rest), len(wholeMap(id))
	d.rec.note("client: %s: status %d, %d of %d bytes, end %v", id, response.StatusCode, got, want, err)
	return (got != want || err != nil) && time.Since(sentAt) < judged
}

//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// mapBytes is the size of one answer. The socket buffers between an entry box and its client hold all of it.
	mapBytes = 128 << 10
	// mapTimeout is the route's TimeoutMs and the client's X-Deadline-Ms.
	mapTimeout = 6 * time.Second
	// pauseBefore is how long before the SIGTERM the clients stop reading. They read on pauseAfter later at the earliest,
	// each pauseStep after the one before, all before GraceS has passed.
	pauseBefore = 100 * time.Millisecond
	pauseAfter  = 5500 * time.Millisecond
	pauseStep   = 40 * time.Millisecond
	mapClients  = 8
)

// wholeMap is the whole answer of the server.
func wholeMap(id string) []byte {
	line := []byte(fmt.Sprintf("tile of %s\n", id))
	return bytes.Repeat(line, mapBytes/len(line))
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
			id := fmt.Sprintf("r-map-%d", c)
			d.requestMap(p.callers, id, mapTimeout, func() {
				ready.Done()
				at := <-stopped
				time.Sleep(time.Until(at.Add(pauseAfter + time.Duration(c)*pauseStep)))
				d.rec.note("client: %s reads on, %s after the SIGTERM", id, time.Since(at).Round(time.Millisecond))
			})
		})
	}
	ready.Wait()
	time.Sleep(pauseBefore)
	if trouble {
		p.signal(syscall.SIGTERM)
	}
	at := time.Now()
	for range mapClients {
		stopped <- at
	}
	clients.Wait()
	return nil
}

// requestMap sends one request and reads its answer, with a pause in the middle. It checks the rule LOST.
func (d *deployment) requestMap(address, id string, timeout time.Duration, pause func()) {
	conn, err := dialSlow(address)
	if err != nil {
		pause()
		d.rec.note("client: %s could not connect: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	_, _ = fmt.Fprintf(conn, "GET /map/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, timeout.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		pause()
		d.rec.note("client: %s got no answer: %v", id, err)
		return
	}
	start := make([]byte, firstBytes)
	n, _ := io.ReadFull(response.Body, start)
	pause()
	rest, err := io.ReadAll(response.Body)
	got, want := n+len(rest), len(wholeMap(id))
	d.rec.note("client: %s: status %d, %d of %d bytes, end %v", id, response.StatusCode, got, want, err)
	if got != want || err != nil {
		d.rec.breaks("LOST: %s ended with %d of %d bytes: %v", id, got, want, err)
	}
}

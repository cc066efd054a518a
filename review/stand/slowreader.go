//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// sheetTimeout is the route's TimeoutMs and the client's X-Deadline-Ms.
	sheetTimeout = 60 * time.Second
	// pausedBytes is the size of the answers to clients that stop reading for readPause after firstBytes.
	pausedBytes = 1 << 20
	firstBytes  = 8 << 10
	readPause   = 12 * time.Second
	// slowBytes is the size of the answers to clients that read at slowRate without a pause, in bytes per second.
	slowBytes = 16 << 20
	slowRate  = 100 << 10
	// unreadLimit is the time after which the server cuts off an answer that stays unread.
	unreadLimit = 5 * time.Second
	// slowClients is the number of clients of each kind.
	slowClients = 3
)

// Beginnings of the ids of requests, by the kind of their clients.
const (
	pausedID = "r-paused-"
	slowID   = "r-slow-"
)

// sheet is the whole answer of the server.
func sheet(id string) []byte {
	line, size := []byte(fmt.Sprintf("parcel of %s\n", id)), pausedBytes
	if strings.HasPrefix(id, slowID) {
		size = slowBytes
	}
	return bytes.Repeat(line, size/len(line))
}

// slowReader has clients that are slow to read their answers, and checks that no answer that lacks a part is ended as
// complete. Some stop reading for a while, the others read slowly all the time.
func slowReader(d *deployment, trouble bool) error {
	d.bounds = matrikelBounds
	for i := range 3 {
		s, err := d.addServer(fmt.Sprintf("i-records-%d", i), "matrikel-records", "127.0.0.1", 0)
		if err != nil {
			return err
		}
		s.handle = s.sendSheet
	}
	d.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "parcel-sheet", "Host": "a.example", "PathPrefix": "/sheet/", "Type": "safe", "TimeoutMs": sheetTimeout.Milliseconds(),
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
	paused, slow := d.readWithPause, readSlowly
	if !trouble {
		paused, slow = readAtOnce, readAtOnce
	}
	var clients sync.WaitGroup
	for c := range slowClients {
		clients.Go(func() { d.requestSheet(dialSlow, d.entries[c%2].callers, fmt.Sprint(pausedID, c), paused) })
		clients.Go(func() { d.requestSheet(dial, d.entries[c%2].callers, fmt.Sprint(slowID, c), slow) })
	}
	clients.Wait()
	return nil
}

// sendSheet sends the whole answer in chunks, without a length. It cuts off an answer that stays unread for unreadLimit.
func (s *server) sendSheet(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Response-Seal", seal(s.id, id))
	control := http.NewResponseController(w)
	for rest := sheet(id); len(rest) > 0; {
		part := rest[:min(len(rest), 64<<10)]
		_ = control.SetWriteDeadline(time.Now().Add(unreadLimit))
		if _, err := w.Write(part); err != nil {
			s.d.rec.note("server %s cuts off %s with %d bytes unsent", s.id, id, len(rest))
			panic(http.ErrAbortHandler)
		}
		rest = rest[len(part):]
	}
	s.d.rec.note("server %s has sent all of %s", s.id, id)
}

// readAtOnce reads the body as fast as it comes.
func readAtOnce(_ string, body io.Reader) ([]byte, error) { return io.ReadAll(body) }

// readWithPause reads nothing for readPause after the first part of the body.
func (d *deployment) readWithPause(id string, body io.Reader) ([]byte, error) {
	start := make([]byte, firstBytes)
	n, err := io.ReadFull(body, start)
	if err != nil {
		return start[:n], err
	}
	d.rec.note("client: %s reads nothing for %s after %d bytes", id, readPause, n)
	time.Sleep(readPause)
	d.rec.note("client: %s reads on", id)
	rest, err := io.ReadAll(body)
	return append(start, rest...), err
}

// readSlowly reads at slowRate without a pause.
func readSlowly(_ string, body io.Reader) ([]byte, error) {
	const step = 50 * time.Millisecond
	var read []byte
	part := make([]byte, int(slowRate*step.Seconds()))
	for {
		n, err := io.ReadFull(body, part)
		read = append(read, part[:n]...)
		if err == io.EOF || err == io.ErrUnexpectedEOF && n < len(part) {
			// ReadFull also returns ErrUnexpectedEOF for a body that is complete.
			var one [1]byte
			if _, err = body.Read(one[:]); err == io.EOF {
				err = nil
			}
			return read, err
		}
		if err != nil {
			return read, err
		}
		time.Sleep(step)
	}
}

// requestSheet sends one request and reads its answer. It checks the rule MIXED.
func (d *deployment) requestSheet(
	dial func(address string) (net.Conn, error), address, id string, read func(id string, body io.Reader) ([]byte, error),
) {
	conn, err := dial(address)
	if err != nil {
		d.rec.note("client: %s could not connect: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(sheetTimeout))
	_, err = fmt.Fprintf(conn, "GET /sheet/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, sheetTimeout.Milliseconds())
	if err != nil {
		d.rec.note("client: %s could not be sent: %v", id, err)
		return
	}
	d.rec.note("client: %s sent to %s", id, address)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		d.rec.note("client: %s got no answer: %v", id, err)
		return
	}
	body, err := read(id, response.Body)
	want := sheet(id)
	d.rec.note("client: %s: status %d, seal %q, %d of %d bytes, sha256 %x, end %v", id, response.StatusCode, response.Header.Get("X-Response-Seal"),
		len(body), len(want), sha256.Sum256(body), err)
	if err == nil && response.StatusCode/100 == 2 && !bytes.Equal(body, want) {
		d.rec.breaks("MIXED: %s ended as complete with %d of %d bytes", id, len(body), len(want))
	}
}

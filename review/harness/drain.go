//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// listen starts the server on an address.
func (m *modelServer) listen(address string) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", err
	}
	m.d.mu.Lock()
	m.d.listeners = append(m.d.listeners, listener)
	m.d.mu.Unlock()
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = m.server.Serve(listener) }()
	return listener.Addr().String(), nil
}

const (
	// drainTime is DrainMs; a server that leaves serves on for that and drainExtra.
	drainTime  = 2 * time.Second
	drainExtra = 500 * time.Millisecond
	// longStream and slowEvent are the longest stream of the sheet, and the time of an event of 6 tokens at a server
	// that is well filled.
	longStream = 51
	slowEvent  = 80 * time.Millisecond
)

// leave ends the server as planned: it says that it drains, serves on and ends. Like the end of a process, the end
// closes its listener and all its connections.
func (m *modelServer) leave() {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	m.stateChanged <- struct{}{}
	m.d.record.printf("%s says that it drains", m.id)
	time.Sleep(drainTime + drainExtra)
	m.mu.Lock()
	running := m.running
	m.mu.Unlock()
	m.d.record.printf("%s ends, with %d streams under way", m.id, running)
	_ = m.server.Close()
	close(m.gone)
}

// runDrain lets model servers leave while they send streams that have no length.
func runDrain(d *deployment, trouble bool) (broken bool, err error) {
	d.putConfiguration()
	if err := d.startModels(8); err != nil {
		return false, err
	}
	for _, m := range d.models {
		m.mu.Lock()
		m.events, m.eventInterval, m.endsWithConnection = longStream, slowEvent, true
		m.mu.Unlock()
	}
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	short := 0
	load, err := newClients(d, func(a *answer) {
		events := bytes.Count(a.body, []byte("\n\n"))
		last := fmt.Sprintf("id: %d\n", longStream)
		if a.err != nil || a.status != http.StatusOK || strings.Contains(string(a.body), last) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		short++
		d.record.printf("request %s at %s: status 200, seal %s, stream complete for the client after %d of %d events", a.id, a.entry, a.seal, events, longStream)
	})
	if err != nil {
		return false, err
	}
	if trouble {
		for i, at := range []time.Duration{5 * time.Second, 9 * time.Second} {
			time.AfterFunc(at, d.models[i].leave)
		}
	}
	load.run(http.MethodPost, streamPrefix+"2f", modelDeadline, 50*time.Millisecond, 16*time.Second)
	d.record.printf("%d streams were complete for the client and lacked their last events", short)
	return short > 0, nil
}

//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	server, id, method, path, tenant string
	at                               time.Time
}

// server is a sound plain server: it runs each request for workTime and answers with a signed body that names the
// request. It keeps what it ran.
type server struct {
	d        *deployment
	id       string
	service  string
	address  string
	born     int64
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	runs     []run
	workTime time.Duration
	mute     float64
	handle   http.HandlerFunc
}

func (d *deployment) addServer(id, service, ip string, work time.Duration) (*server, error) {
	s := &server{d: d, id: id, service: service, born: time.Now().UnixMilli(), workTime: work}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.listener, s.address = listener, listener.Addr().String()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = s.http.Close() })
	d.put("servers/"+id, s.entry("ready"))
	return s, nil
}

// entry is what the server writes to the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"Service": s.service, "Address": s.address, "Zone": "kita-a", "Version": "v1", "Slots": 6, "State": state, "Seq": 1,
		"born": s.born, "ColdRemainingMs": 0,
	}
}

// setMute sets the share of the requests that the server runs without an answer.
func (s *server) setMute(mute float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
	s.d.rec.note("server %s mute=%v", s.id, mute)
}

func (s *server) runsOf(id string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.runs {
		if s.runs[i].id == id {
			count++
		}
	}
	return count
}

// ServeHTTP answers as PROTOCOL.md says of servers.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{s.id, id, r.Method, r.URL.RequestURI(), r.Header.Get("X-Tenant"), time.Now()})
	mute, work, handle := s.mute, s.workTime, s.handle
	s.mu.Unlock()
	s.d.rec.note("server %s runs %s %s %s, tenant %q", s.id, id, r.Method, r.URL.Path, r.Header.Get("X-Tenant"))
	if handle != nil {
		handle(w, r)
		return
	}
	if rand.Float64() < mute {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Seal", seal(s.id, id))
	_, _ = fmt.Fprint(w, bodyOf(id))
}

func seal(server, id string) string { return "seal." + server + "." + id }

func bodyOf(id string) string { return "the answer to " + id + "\n" }

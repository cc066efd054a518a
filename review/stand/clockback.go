//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clockStep is how far the time of day of a server's machine is ahead, and clockStepTime for how long.
	clockStep     = 2000 * time.Millisecond
	clockStepTime = time.Second
	// downTime is how long the server is down at each crash.
	downTime = 500 * time.Millisecond
	// linger is how much longer than DrainMs the server serves before it ends.
	linger = 5 * time.Second
	// lateBy is the least delay after DrainMs from which a request counts.
	lateBy = 100 * time.Millisecond
)

// crash ends a server at once and starts it again under the same Id, at the time that its machine's clock shows.
func (s *server) crash(clock func() time.Time) error {
	s.d.rec.note("server %s crashes", s.id)
	_ = s.http.Close()
	time.Sleep(downTime)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.born = clock().UnixMilli()
	s.mu.Unlock()
	s.d.rec.note("server %s starts again, born %d, true time %d", s.id, s.born, time.Now().UnixMilli())
	s.listener, s.http = listener, &http.Server{Handler: s}
	server := s.http
	go func() { _ = server.Serve(listener) }()
	s.d.closers = append(s.d.closers, func() { _ = server.Close() })
	s.d.put("servers/"+s.id, s.entry("ready"))
	return nil
}

// clockBack has a server start again twice within seconds while the time of day of its machine jumps ahead and returns. Later
// the server leaves as planned, and no request may reach it DrainMs after the store has taken that.
func clockBack(d *deployment, trouble bool) error {
	d.bounds = hatakeiNowBounds
	drainTime := time.Duration(d.bounds.drainMs) * time.Millisecond
	var servers []*server
	for i := range 3 {
		s, err := d.addServer(fmt.Sprintf("i-chizu-%d", i), "chizu", "127.0.0.1", 60*time.Millisecond)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	d.put("op/config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "map-tile", "Host": "a.example", "PathPrefix": "/tile/", "Type": "unsafe", "TimeoutMs": 2000,
			"TargetLatencyMs": 300, "Service": "chizu", "MaxAttempts": 1, "Public": true,
		}},
		"Limits":   limits,
		"Services": []any{map[string]any{"Name": "chizu", "MaxConnections": 96}},
	})
	for range 3 {
		if _, err := d.addEntry(); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	d.settle()
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for c := range 9 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			for i := 0; !stopped.Load(); i++ {
				d.tile(client, d.entries[c%3].callers, fmt.Sprintf("r-%d-%d", c, i))
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	leaving := servers[0]
	steppedAt := time.Now()
	clock := func() time.Time {
		now := time.Now()
		if trouble && now.Sub(steppedAt) < clockStepTime {
			return now.Add(clockStep)
		}
		return now
	}
	if trouble {
		d.rec.note("the time of day of the machine of %s jumps %s ahead for %s", leaving.id, clockStep, clockStepTime)
	}
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		if err := leaving.crash(clock); err != nil {
			return err
		}
		time.Sleep(time.Until(steppedAt.Add(clockStepTime)))
	}
	time.Sleep(8 * time.Second)
	d.put("servers/"+leaving.id, leaving.entry("draining"))
	acknowledged := time.Now()
	time.Sleep(drainTime + linger)
	d.rec.note("server %s has left", leaving.id)
	d.rec.note("store: servers/%s removed", leaving.id)
	d.store.Remove("servers/" + leaving.id)
	_ = leaving.http.Close()
	time.Sleep(time.Second)
	stopped.Store(true)
	clients.Wait()
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	late := 0
	for _, r := range leaving.runs {
		if after := r.at.Sub(acknowledged); after > drainTime+lateBy {
			late++
			if late == 1 || late%10 == 0 {
				d.rec.note("%s reached %s %s after it was acknowledged as draining (%d so far)", r.id, r.server, after.Round(time.Millisecond), late)
			}
		}
	}
	if late > 0 {
		d.rec.breaks("DRAIN: %d requests reached %s later than DrainMs after it was acknowledged as draining", late, leaving.id)
	}
	return nil
}

// tile sends one unsafe request.
func (d *deployment) tile(client *http.Client, address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/tile/1", strings.NewReader("a parcel"))
	if err != nil {
		panic(err)
	}
	request.Host = "a.example"
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := client.Do(request)
	if err != nil {
		d.rec.note("client: %s at %s failed: %v", id, address, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		d.rec.note("client: %s at %s: %d, %d bytes, %v", id, address, response.StatusCode, len(body), err)
	}
}

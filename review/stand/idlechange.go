//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The clients of the case read nothing for idleChangeBefore before the configuration changes, and for readOnAfter and more
	// after it: less than ConfigApplyMs + 1 s, and than seven tenths of their time.
	idleChangeBefore = time.Second
	readOnAfter      = 2200 * time.Millisecond
	readOnStep       = 110 * time.Millisecond
	// idleTimeout is the route's TimeoutMs and the client's X-Deadline-Ms, the longest of the sheet.
	idleTimeout = 6 * time.Second
)

// mapConfiguration returns a configuration with a route for maps. Its versions differ in IdleTimeoutMs.
func mapConfiguration(version, idleTimeoutMs int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "map", "Host": "a.example", "PathPrefix": "/map/", "Type": "safe", "TimeoutMs": idleTimeout.Milliseconds(),
			"TargetLatencyMs": 1000, "Service": "matrikel-records", "MaxAttempts": 2, "Public": true,
		}},
		"Limits":   map[string]any{"MaxBodyBytes": 1 << 20, "MaxHeaderBytes": 16384, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idleTimeoutMs},
		"Services": []any{map[string]any{"Name": "matrikel-records", "MaxConnections": 590}},
	}
}

// idleChange changes IdleTimeoutMs while clients are slow to read their answers, and checks that they get them whole.
func idleChange(d *deployment, trouble bool) error {
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
	d.put("op/config", mapConfiguration(3, 15000))
	for range 2 {
		if _, err := d.addEntry(); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	d.settle()
	// The first round is the time without a change, which the rule compares with.
	calm := d.slowRound(0, func() {})
	cut := d.slowRound(1, func() {
		if trouble {
			d.put("op/config", mapConfiguration(8, 20000))
		}
	})
	d.rec.note("%d answers were cut in the first round, %d in the second", calm, cut)
	if cut > 3*calm {
		d.rec.breaks("LOST: %d answers were cut beside the change, %d at another time", cut, calm)
	}
	return nil
}

// slowRound has clients that read nothing for a while in the middle of their answers, and calls change in that time. It
// returns how many answers were cut up to ConfigApplyMs + 1 s after it, of requests that had used less than seven tenths
// of their time.
func (d *deployment) slowRound(round int, change func()) int {
	window := time.Duration(d.bounds.configApplyMs)*time.Millisecond + time.Second
	var cuts atomic.Int64
	var clients, ready sync.WaitGroup
	ready.Add(mapClients)
	changed := make(chan time.Time)
	for c := range mapClients {
		clients.Go(func() {
			id := mapID(round, c)
			var at time.Time
			isCut := d.requestMap(d.entries[c%2].callers, id, idleTimeout, idleTimeout*7/10, func() {
				ready.Done()
				at = <-changed
				time.Sleep(time.Until(at.Add(readOnAfter + time.Duration(c)*readOnStep)))
				d.rec.note("client: %s reads on, %s later", id, time.Since(at).Round(time.Millisecond))
			})
			if isCut && time.Since(at) <= window {
				cuts.Add(1)
			}
		})
	}
	ready.Wait()
	time.Sleep(idleChangeBefore)
	change()
	at := time.Now()
	for range mapClients {
		changed <- at
	}
	clients.Wait()
	return int(cuts.Load())
}

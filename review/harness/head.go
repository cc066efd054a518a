//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	unsafePrefix = "/filo73/"
	// junkEvery is which of the answers of the faulty server is junk: 0.02 of them.
	junkEvery = 50
	// junkPart and junkPause keep the junk below the 1,000 Mbit/s of an entry box's link.
	junkPart  = 1 << 20
	junkPause = 9 * time.Millisecond
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// spoilTime and calmTime are how long the server is faulty each time, as on the sheet of the site, and the pause after
	// it. spoilRounds is how often it is.
	spoilTime   = 5500 * time.Millisecond
	calmTime    = 4500 * time.Millisecond
	spoilRounds = 7
	// allowedOccasions is how many occasions the rule allows.
	allowedOccasions = 3
)

// simpleServer is a plain server in this process. A faulty one answers some requests with bytes that form no answer.
type simpleServer struct {
	d        *deployment
	id       string
	isFaulty bool

	mu       sync.Mutex
	received map[string]bool
	// isSpoiling is set while the server is faulty, spoilable counts the requests of these times.
	isSpoiling bool
	spoilable  int
}

// spoil makes the server faulty again and again.
func (s *simpleServer) spoil() {
	for range spoilRounds {
		s.setSpoiling(true)
		time.Sleep(spoilTime)
		s.setSpoiling(false)
		time.Sleep(calmTime)
	}
}

func (s *simpleServer) setSpoiling(isSpoiling bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isSpoiling = isSpoiling
	s.d.record.printf("%s: faulty %v", s.id, isSpoiling)
}

func (s *simpleServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.received[id] = true
	if s.isSpoiling {
		s.spoilable++
	}
	isJunk := s.isSpoiling && s.spoilable%junkEvery == 0
	s.mu.Unlock()
	if isJunk {
		s.sendJunk(w, id)
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+s.id+"."+id)
	time.Sleep(30 * time.Millisecond)
	_, _ = w.Write(plainBody(id))
}

// sendJunk sends bytes without a line end until the connection is closed.
func (s *simpleServer) sendJunk(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	junk := []byte(strings.Repeat("j", junkPart))
	started, sent := time.Now(), 0
	for err == nil {
		var n int
		n, err = conn.Write(junk)
		sent += n
		time.Sleep(junkPause)
	}
	s.d.record.printf("%s: answered %s with %d MB that form no answer, in %.2f s, until the connection was closed", s.id, id, sent/1e6, time.Since(started).Seconds())
}

func (s *simpleServer) hasReceived(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

// startSimple starts plain servers in this process. The first one is faulty if it is told so.
func (d *deployment) startSimple(n int, isFaulty bool) ([]*simpleServer, error) {
	var servers []*simpleServer
	for i := range n {
		s := &simpleServer{d: d, id: fmt.Sprintf("i-plain-%d", i+1), isFaulty: isFaulty && i == 0, received: make(map[string]bool)}
		address, err := d.serve(fmt.Sprintf("%s:%d", d.ip(100+i), d.ports.server), s)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
		go func() {
			for seq := 1; ; seq++ {
				d.put("servers/"+s.id, map[string]any{
					"Service": plainService, "Address": address, "Zone": "kita-a", "Version": "v1", "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Seq": seq,
				})
				select {
				case <-d.done:
					return
				case <-time.After(heartbeat):
				}
			}
		}()
	}
	return servers, nil
}

// memory returns the resident memory of a process, in MB.
func (p *process) memory() float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(content))[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

// keep does to an entry box what the platform does: it kills a process that goes over its memory, and starts a process
// that has ended again, until the run ends. It counts the ends.
func (d *deployment) keep(index int, ends *[]int) {
	p := d.entries[index]
	most := 0.0
	for {
		select {
		case <-d.done:
			return
		case <-p.exited:
			(*ends)[index]++
			time.Sleep(restartDelay)
			next, err := d.startDaemon("entry", p.name, d.ip(1+index), entryMemory, 1000, "")
			if err != nil {
				return
			}
			d.record.printf("%s starts again", p.name)
			p, most = next, 0
		case <-time.After(10 * time.Millisecond):
			most = max(most, p.memory())
			if most > entryMemory {
				d.record.printf("%s has %.0f MB, over its %d MB: the platform kills it", p.name, most, entryMemory)
				p.signal(syscall.SIGKILL)
				<-p.exited
			}
		}
	}
}

// runHead lets one of three plain servers answer 0.02 of its requests with bytes that form no answer.
func runHead(d *deployment, trouble bool) (broken bool, err error) {
	d.putConfiguration()
	servers, err := d.startSimple(3, trouble)
	if err != nil {
		return false, err
	}
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		go servers[0].spoil()
	}
	ends := make([]int, len(d.entries))
	for i := range d.entries {
		go d.keep(i, &ends)
	}
	var mu sync.Mutex
	lost := 0
	// occasions holds the last loss at each entry box. Losses within a second of another one are the same occasion.
	distinct, occasions := 0, make(map[string]time.Time)
	load, err := newClients(d, func(a *answer) {
		if a.status != 0 || !a.isKept || errors.Is(a.err, context.DeadlineExceeded) {
			return
		}
		for _, s := range servers {
			if s.isFaulty || !s.hasReceived(a.id) {
				continue
			}
			mu.Lock()
			lost++
			if last, ok := occasions[a.entry]; !ok || time.Since(last) > time.Second {
				distinct++
			}
			occasions[a.entry] = time.Now()
			d.record.printf("request %s, on a kept connection to %s, was handed to the sound server %s; then the connection ended without an answer (%v)", a.id, a.entry, s.id, a.err)
			mu.Unlock()
		}
	})
	if err != nil {
		return false, err
	}
	load.run(http.MethodPost, unsafePrefix+"de11/2f", 1500*time.Millisecond, 16*time.Millisecond, spoilRounds*(spoilTime+calmTime))
	d.record.printf("ends of entry boxes by themselves: %v", ends)
	d.record.printf("%d requests on kept connections were handed to sound servers and got no answer, on %d occasions; the rule allows %d", lost, distinct, allowedOccasions)
	return distinct > allowedOccasions, nil
}

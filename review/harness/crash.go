//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// plainServer is a plain server that runs as a process of its own.
type plainServer struct {
	id, address string
	process     *process
}

// startPlain starts plain servers.
func (d *deployment) startPlain(n int) error {
	for i := range n {
		if err := d.startPlainServer(fmt.Sprintf("i-plain-%d", i+1), fmt.Sprintf("%s:%d", d.ip(100+i), d.ports.server)); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startPlainServer(id, address string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p, err := d.start(id, self, "-plain-server", address, "-id", id)
	if err != nil {
		return err
	}
	d.plain = append(d.plain, plainServer{id, address, p})
	go d.writePlainEntries(id, address, p)
	return nil
}

// writePlainEntries keeps the entry of a plain server in the store until its process has been silent for three heartbeats.
func (d *deployment) writePlainEntries(id, address string, p *process) {
	for seq := 1; ; seq++ {
		d.put("servers/"+id, map[string]any{
			"Service": plainService, "Address": address, "Zone": "kita-a", "Version": "v1", "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Seq": seq,
		})
		select {
		case <-d.done:
			return
		case <-p.exited:
			time.Sleep(3 * heartbeat)
			d.store.Remove("servers/" + id)
			return
		case <-time.After(heartbeat):
		}
	}
}

// The body of a plain answer, which the server sends as it makes it: 4,800 bytes in 180 ms, within what the sheet gives.
const (
	bodyParts    = 6
	bodyPartSize = 800
	partInterval = 30 * time.Millisecond
)

// plainBody returns the whole body that answers a request.
func plainBody(id string) []byte {
	var body bytes.Buffer
	for part := range bodyParts {
		body.Write(plainPart(id, part))
	}
	return body.Bytes()
}

func plainPart(id string, part int) []byte {
	line := fmt.Sprintf("%s part %d of %d\n", id, part+1, bodyParts)
	return []byte(strings.Repeat(line, bodyPartSize/len(line)+1)[:bodyPartSize])
}

const (
	// unframedEvery is which of the answers lack a length while the server is told so: 0.05 of them.
	unframedEvery = 20
	// unframedTime is how long they do, as on the sheet of the site.
	unframedTime = 5 * time.Second
	// controlPath makes a server leave out the length for unframedTime. It answers when such an answer is half sent.
	controlPath = "/review/unframed"
)

// plainHandler answers requests, some of them without a length: such an answer ends with its connection.
type plainHandler struct {
	id string
	// half is signalled when half of an answer without a length is sent.
	half chan struct{}

	mu       sync.Mutex
	until    time.Time
	requests int
}

// runPlainServer runs until it is killed.
func runPlainServer(address, id string) int {
	h := &plainHandler{id: id, half: make(chan struct{}, 1)}
	server := &http.Server{Addr: address, ReadHeaderTimeout: 10 * time.Second, Handler: h}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	return exitFailed
}

// isUnframed reports whether the next answer lacks a length.
func (h *plainHandler) isUnframed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().After(h.until) {
		return false
	}
	h.requests++
	return h.requests%unframedEvery == 0
}

func (h *plainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	switch {
	case r.URL.Path == controlPath:
		h.mu.Lock()
		h.until = time.Now().Add(unframedTime)
		h.mu.Unlock()
		<-h.half
		return
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", h.id)
		return
	case r.Header.Get("X-Expect-Instance") != h.id:
		w.Header().Set("X-Instance-Id", h.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+h.id+"."+request)
	unframed := h.isUnframed()
	if unframed {
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(bodyParts*bodyPartSize))
	}
	flush := http.NewResponseController(w)
	for part := range bodyParts {
		if _, err := w.Write(plainPart(request, part)); err != nil || flush.Flush() != nil {
			return
		}
		if unframed && part == bodyParts/2-1 {
			select {
			case h.half <- struct{}{}:
			default:
			}
		}
		time.Sleep(partInterval)
	}
}

// runCrash kills a plain server while it sends answers that have no length.
func runCrash(d *deployment, trouble bool) (broken bool, err error) {
	d.putConfiguration()
	if err := d.startPlain(3); err != nil {
		return false, err
	}
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	wrong := 0
	load, err := newClients(d, func(a *answer) {
		mu.Lock()
		defer mu.Unlock()
		whole := plainBody(a.id)
		if a.err == nil && a.status == http.StatusOK && !bytes.Equal(a.body, whole) {
			wrong++
			d.record.printf("request %s at %s: status 200, seal %s, complete for the client, with %d of the server's %d bytes", a.id, a.entry, a.seal, len(a.body), len(whole))
		}
	})
	if err != nil {
		return false, err
	}
	for i, at := range []time.Duration{4 * time.Second, 11 * time.Second} {
		time.AfterFunc(at, func() { d.crash(d.plain[i], fmt.Sprintf("i-plain-%d", 4+i), trouble) })
	}
	load.run(http.MethodGet, plainPrefix+"bo77/2f", 1500*time.Millisecond, 16*time.Millisecond, 18*time.Second)
	d.record.printf("%d answers were complete for the client and lacked a part of the server's body", wrong)
	if trouble && d.crashes.Load() == 0 {
		return wrong > 0, errNoTrouble
	}
	return wrong > 0, nil
}

// downTime is how long a crashed server is down, as on the sheet of the site.
const downTime = 4500 * time.Millisecond

// crash lets a plain server send some answers without a length. With trouble, the server is killed when one of them is half
// sent, and another one starts at its address after downTime.
func (d *deployment) crash(victim plainServer, next string, trouble bool) {
	d.record.printf("%s: each %dth answer lacks a length, for %v", victim.id, unframedEvery, unframedTime)
	response, err := http.Get("http://" + victim.address + controlPath)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if !trouble {
		return
	}
	d.record.printf("%s crashes (SIGKILL)", victim.id)
	victim.process.signal(syscall.SIGKILL)
	<-victim.process.exited
	d.crashes.Add(1)
	time.Sleep(downTime)
	if err := d.startPlainServer(next, victim.address); err == nil {
		d.record.printf("%s starts at its address", next)
	}
}

//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id     string
	entry  string
	status int
	seal   string
	body   []byte
	// err is set if the answer is not complete.
	err  error
	took time.Duration
	// isKept is set if the request was sent on a connection that had carried one before.
	isKept bool
}

// clients sends requests at a steady rate and records the answers.
type clients struct {
	d         *deployment
	addresses []string
	client    *http.Client
	wg        sync.WaitGroup
	check     func(a *answer)

	mu      sync.Mutex
	next    int
	answers map[string]int
}

// newClients asks the directory for the entry boxes, as clients do.
func newClients(d *deployment, check func(a *answer)) (*clients, error) {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/cinderslip/resolve?Name=%s&Region=kita&Zone=kita-a", d.ip(1), d.ports.directory, host))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var directory struct{ Addresses []string }
	if err := json.NewDecoder(response.Body).Decode(&directory); err != nil {
		return nil, err
	}
	if len(directory.Addresses) == 0 {
		return nil, errors.New("the directory names no entry box")
	}
	return &clients{
		d: d, addresses: directory.Addresses, check: check, answers: make(map[string]int),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}},
	}, nil
}

// send sends one request and checks its answer.
func (c *clients) send(method, path string, deadline time.Duration) {
	c.mu.Lock()
	c.next++
	a := &answer{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+c.next), entry: c.addresses[c.next%len(c.addresses)]}
	c.mu.Unlock()
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte(strings.Repeat("p", 670)))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.entry+path, body)
	if err != nil {
		panic(err)
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.isKept = info.Reused }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.GetBody = nil // the transport must not send it twice
	request.Host = host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if strings.HasPrefix(path, streamPrefix) {
		request.Header.Set("X-Model", modelName)
		request.Header.Set("X-Token-Usage", "973,106")
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%s:933", a.id[8:]))
	}
	response, err := c.client.Do(request)
	if err != nil {
		a.err = err
	} else {
		a.status, a.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
		a.body, a.err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	a.took = time.Since(started)
	c.note(a)
	c.check(a)
}

func (c *clients) note(a *answer) {
	kind := fmt.Sprint(a.status)
	if a.err != nil {
		kind += " not complete"
	}
	c.mu.Lock()
	c.answers[kind]++
	c.mu.Unlock()
}

// run sends requests every interval for a time, and waits for their answers.
func (c *clients) run(method, path string, deadline, interval, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(interval) {
		c.wg.Go(func() { c.send(method, path, deadline) })
	}
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.record.printf("answers to %s %s: %v", method, path, c.answers)
}

//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// applyTime is ConfigApplyMs of the settings.
	applyTime = 2 * time.Second
	// keyRound is the time between two rounds of requests, keyRounds how many follow the last configuration.
	keyRound  = 200 * time.Millisecond
	keyRounds = 30
)

// The keys that clients use: one that is taken away, and one that no configuration ever held.
const (
	takenKey = "jnbanfqasnmgkcuyj8pj"
	neverKey = "q0000000000000000000"
)

// tenantConfiguration returns a configuration whose only route needs a key.
func tenantConfiguration(version int, tenants ...any) map[string]any {
	if tenants == nil {
		tenants = []any{}
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "owner-lookup", "Host": "a.example", "PathPrefix": "/owner/", "Type": "safe", "TimeoutMs": 800,
			"TargetLatencyMs": 150, "Service": "chizu", "MaxAttempts": 2, "Public": false,
		}},
		"Limits":   limits,
		"Tenants":  tenants,
		"Services": []any{map[string]any{"Name": "chizu", "MaxConnections": 96}},
	}
}

// tenant returns a tenant of a configuration.
func tenant(name string, keys ...string) any { return map[string]any{"Name": name, "ApiKeys": keys} }

// lastTenant takes the keys of the only tenant away, and the tenant with the last of them, and checks that no request runs
// with a key that is gone or never was.
func lastTenant(d *deployment, trouble bool) error {
	var servers []*server
	for i := range 3 {
		s, err := d.addServer(fmt.Sprintf("i-chizu-%d", i), "chizu", "127.0.0.1", 30*time.Millisecond)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	d.put("op/config", tenantConfiguration(3, tenant("bozi300", takenKey, "bvk9m68k7b2ex5wa5xwy")))
	for range 2 {
		if _, err := d.addEntry(); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	d.settle()
	runs := func(id string) (count int) {
		for _, s := range servers {
			count += s.runsOf(id)
		}
		return count
	}
	for i, p := range d.entries {
		id := fmt.Sprintf("r-first-%d", i)
		if status := d.lookUp(p.callers, id, takenKey); status != http.StatusOK || runs(id) != 1 {
			return fmt.Errorf("%s is not served with a key that is held: %d", id, status)
		}
		id = fmt.Sprintf("r-first-never-%d", i)
		if status := d.lookUp(p.callers, id, neverKey); status != http.StatusUnauthorized {
			return fmt.Errorf("%s is not rejected: %d", id, status)
		}
	}
	d.put("op/config", tenantConfiguration(8, tenant("bozi300", takenKey)))
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		d.put("op/config", tenantConfiguration(12))
	}
	acknowledged := time.Now()
	for round := range keyRounds {
		for i, p := range d.entries {
			mustBeGone := trouble && time.Since(acknowledged) > applyTime
			id := fmt.Sprintf("r-never-%d-%d", round, i)
			if d.lookUp(p.callers, id, neverKey); runs(id) > 0 {
				d.rec.breaks("ROUTE: %s ran, and no configuration ever held its key", id)
			}
			id = fmt.Sprintf("r-taken-%d-%d", round, i)
			if d.lookUp(p.callers, id, takenKey); runs(id) > 0 && mustBeGone {
				d.rec.breaks("CONFIG: %s ran with a key that was gone for longer than ConfigApplyMs", id)
			}
		}
		time.Sleep(keyRound)
	}
	return nil
}

// lookUp sends one request and returns the status of its answer, 0 if there was none.
func (d *deployment) lookUp(address, id, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/owner/1", nil)
	if err != nil {
		panic(err)
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.rec.note("client: %s with key %s failed: %v", id, key, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	d.rec.note("client: %s with key %s at %s: %d", id, key, address, response.StatusCode)
	return response.StatusCode
}

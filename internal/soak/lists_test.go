package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cinderslip/cinderslip/internal/direct"
)

// Every process lists the backend servers that it knows, with the revision up to which it has every change of the store.
// These checks compare the lists with the store, at all times and at all processes.

const (
	// removalInterval is the mean delay before each removal of a server's entry, and maxRemovalTime the longest time until
	// the entry is back. The server serves requests meanwhile.
	removalInterval = 600 * time.Millisecond
	maxRemovalTime  = 3 * time.Second
	// storeStableTime is how much longer than the bound the store must have been reachable before a removal counts. For
	// some time after an outage, processes do not know whether a removed entry has only expired.
	storeStableTime = time.Second
	// listInterval is the time between two reads of the lists, and listTimeout limits one read.
	listInterval = 100 * time.Millisecond
	listTimeout  = 300 * time.Millisecond
)

// removeServers removes the entries of random servers, with and without an announcement, until a duration ends.
// Each entry is written again later, by the same incarnation or by the next one. A server that has announced its end starts
// anew.
func (d *testDeployment) removeServers(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(d.removalRand.Int64N(int64(2 * removalInterval))))
		s := d.servers[d.removalRand.IntN(len(d.servers))]
		key := "servers/" + s.id
		isAnnounced := d.removalRand.IntN(2) == 0
		if isAnnounced {
			d.store.Put(key, s.Entry(s.service, s.proxy.address(), "hall-a", true))
			time.Sleep(time.Duration(d.removalRand.Int64N(int64(removalInterval))))
		}
		d.store.Remove(key)
		time.Sleep(time.Duration(d.removalRand.Int64N(int64(maxRemovalTime))))
		if d.removalRand.IntN(2) == 0 || isAnnounced {
			s.Restart(s.id)
		}
		d.store.Put(key, s.Entry(s.service, s.proxy.address(), "hall-a", s.IsLeaving()))
	}
}

// serverLists reads the lists of all processes.
type serverLists struct {
	deployment *testDeployment
	client     *http.Client
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	// findings are the servers that a process listed although they were deleted, each once.
	findings []string
	reported map[string]bool
	// departed is what each process knows of the server that has left for good, and departures is when each start of a
	// process had learned of it.
	departed   map[*process]processKnowledge
	departures []departureNotice
}

// position is a position in the history of the store.
type position struct{ era, number uint64 }

// includes reports whether every change up to another position is one up to this position of the same era.
func (p position) includes(other position) bool {
	return p.era == other.era && p.number >= other.number
}

// UnmarshalJSON decodes a number in the first era, or a string such as "2:31".
func (p *position) UnmarshalJSON(raw []byte) error {
	p.era = 1
	if _, err := fmt.Sscanf(string(raw), "\"%d:%d\"", &p.era, &p.number); err == nil {
		return nil
	}
	p.era = 1
	return json.Unmarshal(raw, &p.number)
}

// positionedList is a direct.ServerList with positions.
type positionedList struct {
	Complete position           `json:"complete"`
	Servers  []positionedServer `json:"servers"`
}

// positionedServer is a direct.ListedServer with its position. Withheld is set while the box does not use the server
// because only a store that has come back from a backup lists it.
type positionedServer struct {
	Server   string   `json:"server"`
	Revision position `json:"revision"`
	From     string   `json:"from"`
	Leaving  bool     `json:"leaving"`
	Withheld bool     `json:"withheld"`
}

// watchServerLists starts to read the lists.
func watchServerLists(d *testDeployment) *serverLists {
	ctx, cancel := context.WithCancel(context.Background())
	l := &serverLists{deployment: d, client: &http.Client{Timeout: listTimeout}, cancel: cancel, reported: make(map[string]bool), departed: make(map[*process]processKnowledge)}
	l.wg.Go(func() {
		for ctx.Err() == nil {
			for _, p := range d.processes() {
				started := p.lastStart()
				if list, err := p.listServers(ctx, l.client); err == nil && p.lastStart().Equal(started) {
					l.check(p, &list)
					l.noteDeparted(p, started, &list)
				}
			}
			select {
			case <-ctx.Done():
			case <-time.After(listInterval):
			}
		}
	})
	return l
}

func (l *serverLists) stop() {
	l.cancel()
	l.wg.Wait()
}

// get requests a path at the metrics address of the process.
func (p *process) get(ctx context.Context, client *http.Client, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.metrics+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	return client.Do(request)
}

// listServers returns the servers that the process lists.
func (p *process) listServers(ctx context.Context, client *http.Client) (list positionedList, err error) {
	response, err := p.get(ctx, client, direct.ServersPath)
	if err != nil {
		return list, err
	}
	defer func() { _ = response.Body.Close() }()
	return list, json.NewDecoder(response.Body).Decode(&list)
}

// check reports the servers in a list that the store did not list at the position up to which the process has every
// change. Servers that were last written in an earlier era may be missing for a time.
func (l *serverLists) check(p *process, list *positionedList) {
	present := l.deployment.store.KeysAt("servers/", list.Complete.era, list.Complete.number)
	for _, server := range list.Servers {
		if !list.Complete.includes(server.Revision) || present["servers/"+server.Server] {
			continue
		}
		l.report(fmt.Sprintf("%s has every change up to %v and lists %s of revision %v from %s, which was deleted by then",
			p.name, list.Complete, server.Server, server.Revision, server.From))
	}
}

// report records a finding once.
func (l *serverLists) report(finding string) {
	if !l.reported[finding] {
		l.reported[finding] = true
		l.findings = append(l.findings, finding)
	}
}

// awaitRemoval waits until all processes list what the store does, removes the entry of a server, which serves on, and
// waits until no process lists it. No entry box may send to it later than maxChangeTime after the removal.
func (l *load) awaitRemoval(t *testing.T) {
	t.Helper()
	d := l.deployment
	d.awaitEqualLists(t)
	if *maxChangeTime > 0 {
		time.Sleep(*maxChangeTime + storeStableTime)
	}
	removed := d.servers[len(d.servers)-1]
	removedAt := time.Now()
	d.store.Remove("servers/" + removed.id)
	callers := load{deployment: d, client: l.client, counts: make(map[string]int), requests: make(map[string]sentRequest)}
	callers.lastID.Store(l.lastID.Load())
	callers.run(*callerCount)
	elapsed := d.awaitEqualLists(t)
	time.Sleep(time.Until(removedAt.Add(2 * *maxChangeTime)))
	callers.stop()
	t.Logf("no process listed %s any more %s after its removal", removed.id, elapsed.Round(time.Millisecond))
	if *maxChangeTime == 0 {
		return
	}
	if elapsed > *maxChangeTime {
		t.Errorf("a removal took %s to reach all processes, want at most %s", elapsed, *maxChangeTime)
	}
	for _, attempt := range removed.ReceivedRequests() {
		if late := attempt.At.Sub(removedAt); late > *maxChangeTime {
			t.Errorf("request %s reached %s %s after its removal", attempt.RequestID, removed.id, late)
		}
	}
}

// awaitEqualLists waits until all processes list the servers that the store lists, and returns the time until then.
func (d *testDeployment) awaitEqualLists(t *testing.T) time.Duration {
	t.Helper()
	start, client := time.Now(), &http.Client{Timeout: listTimeout}
	want := slices.Sorted(maps.Keys(d.store.KeysAt("servers/", d.store.Era(), d.store.Revision())))
	for _, p := range d.processes() {
		for {
			list, err := p.listServers(t.Context(), client)
			var got []string
			for _, server := range list.Servers {
				got = append(got, "servers/"+server.Server)
			}
			if err == nil && slices.Equal(got, want) {
				break
			}
			if time.Since(start) > recoveryTimeout {
				t.Errorf("%s lists %v (%v), the store lists %v", p.name, got, err, want)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

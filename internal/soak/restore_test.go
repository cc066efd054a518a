package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// The store may go away and come back from a backup, in a new era. What was written since the backup is lost until its
// writers write it again. These faults restore the store, once or several times in a row. The checks look for boxes
// that take up what they knew to be over: a revoked key, a server that had left.

const (
	// restoreInterval is the longest delay before a restore. A backup is taken every backupInterval, and a restore uses
	// one of an age between minBackupAge and maxBackupAge, or the oldest one.
	restoreInterval = 1200 * time.Millisecond
	backupInterval  = 250 * time.Millisecond
	minBackupAge    = 500 * time.Millisecond
	maxBackupAge    = 8 * time.Second
	// minAway and maxAway limit the time in which the store is away before a restore, and maxRewriteDelay limits the
	// time until the lost writes are written again. maxErasInARow limits the restores before that.
	minAway         = 300 * time.Millisecond
	maxAway         = 3 * time.Second
	maxRewriteDelay = 1500 * time.Millisecond
	maxErasInARow   = 3
	// departService has servers that leave for good: departed during the faults, and the others around the restore of
	// awaitRestored.
	departService = "departs"
	// keyedRoute is a route of that service that requires an API key.
	keyedRoute = "keyed"
	// keyInterval is the time between two checks of the keys at one entry box.
	keyInterval = 200 * time.Millisecond
	// drainBound is how long after it has learned of a departure a box may send requests to the server.
	drainBound = 2 * time.Second
)

// departures holds the servers that leave for good.
type departures struct {
	// departed leaves during the faults, left before the restore of awaitRestored, and leaving after it.
	departed, left, leaving *server
	// removal is the position after the removal of departed; nil before.
	removal atomic.Pointer[position]
	// restoredAt is when the store came back in awaitRestored, and leavingAt when it had acknowledged that leaving
	// leaves.
	restoredAt, leavingAt time.Time
}

// addDepartServers adds the servers that leave, and one that stays.
func (d *testDeployment) addDepartServers() {
	for i, target := range []**server{&d.departures.departed, &d.departures.left, &d.departures.leaving, new(*server)} {
		s := d.newServer(fmt.Sprintf("i-depart-%d", i), departService, "", d.ip(220+i))
		*target = s
		d.depart = append(d.depart, s)
		d.putDepart(s, false)
	}
}

func (d *testDeployment) putDepart(s *server, leaving bool) {
	d.store.Put("servers/"+s.id, s.Entry(s.service, s.proxy.address(), "hall-a", leaving))
}

// keyOf returns the API key that only the configuration of a version contains.
func keyOf(version int) string { return fmt.Sprintf("key-%d", version) }

// departOnce makes a server leave for good, with or without an announcement.
func (d *testDeployment) departOnce() {
	time.Sleep(backupInterval)
	if d.restoreRand.IntN(2) == 0 {
		d.putDepart(d.departures.departed, true)
		time.Sleep(backupInterval)
	}
	d.store.Remove("servers/" + d.departures.departed.id)
	d.departures.removal.Store(&position{d.store.Era(), d.store.Revision()})
}

// restoreStore restores the store from backups, at least once, until a duration ends.
func (d *testDeployment) restoreStore(duration time.Duration) {
	end := time.Now().Add(duration)
	backups, stop := d.takeBackups()
	defer stop()
	d.departOnce()
	for first := true; first || time.Until(end) > restoreInterval; first = false {
		time.Sleep(time.Duration(d.restoreRand.Int64N(int64(restoreInterval))))
		var lost []standin.Entry
		eras := 1 + d.restoreRand.IntN(maxErasInARow)
		for range eras {
			age := minBackupAge + time.Duration(d.restoreRand.Int64N(int64(maxBackupAge-minBackupAge)))
			lost = d.restore(backups(age), minAway+time.Duration(d.restoreRand.Int64N(int64(maxAway-minAway)))/time.Duration(eras))
		}
		time.Sleep(time.Duration(d.restoreRand.Int64N(int64(maxRewriteDelay))))
		d.rewrite(lost)
	}
}

// takeBackups starts to take backups. The first function that it returns returns the newest backup of at least an age,
// or the oldest one; the second stops.
func (d *testDeployment) takeBackups() (ofAge func(age time.Duration) *standin.Backup, stop func()) {
	type datedBackup struct {
		*standin.Backup
		at time.Time
	}
	var mu sync.Mutex
	taken := []datedBackup{{d.store.Backup(), time.Now()}}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(backupInterval)
			mu.Lock()
			taken = append(taken, datedBackup{d.store.Backup(), time.Now()})
			mu.Unlock()
		}
	}()
	return func(age time.Duration) *standin.Backup {
		mu.Lock()
		defer mu.Unlock()
		for _, backup := range slices.Backward(taken) {
			if time.Since(backup.at) >= age {
				return backup.Backup
			}
		}
		return taken[0].Backup
	}, cancel
}

// restore takes the store away for a time and restores it. It returns the writes that were lost.
func (d *testDeployment) restore(backup *standin.Backup, away time.Duration) (lost []standin.Entry) {
	options := standin.RestoreOptions{DropHistory: d.restoreRand.IntN(2) == 0, KeepWatches: d.restoreRand.IntN(2) == 0}
	d.store.SetFault(standin.FaultUnavailable)
	time.Sleep(away)
	lost = d.store.Restore(backup, options)
	d.store.SetFault(standin.FaultNone)
	return lost
}

// rewrite writes again what was lost, unless it has been written since.
func (d *testDeployment) rewrite(lost []standin.Entry) {
	for _, entry := range lost {
		d.store.Rewrite(entry)
	}
}

// processKnowledge is what one start of an entry box has shown that it knows.
type processKnowledge struct {
	// since is the start of the process, version the newest configuration that it has shown to have.
	since   time.Time
	version int
	// departedAt is when it first did not list the departed server as usable; zero before.
	departedAt time.Time
}

// keyChecks sends requests with current and revoked keys to one entry box after the other.
type keyChecks struct {
	load   *load
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	findings []string
}

// neverKey is a key that no configuration holds.
const neverKey = "never"

// watchKeys starts to check the keys at all entry boxes.
func watchKeys(l *load) *keyChecks {
	ctx, cancel := context.WithCancel(context.Background())
	k := &keyChecks{load: l, cancel: cancel}
	for i, address := range l.deployment.callerAddresses {
		k.wg.Go(func() {
			var known processKnowledge
			for ctx.Err() == nil {
				k.check(address, l.deployment.entries[i], &known)
				time.Sleep(keyInterval)
			}
		})
	}
	return k
}

func (k *keyChecks) stop() {
	k.cancel()
	k.wg.Wait()
}

// check sends a request with the newest key and one with a revoked key to a box. A box that has accepted a key has
// taken its configuration, and must never accept one that this configuration does not contain and an earlier one did.
func (k *keyChecks) check(address string, box *process, known *processKnowledge) {
	d := k.load.deployment
	if started := box.lastStart(); !started.Equal(known.since) {
		*known = processKnowledge{since: started}
	}
	if k.load.sendWithKey(address, neverKey) == http.StatusOK {
		k.mu.Lock()
		k.findings = append(k.findings, box.name+" accepted a key that no configuration has held")
		k.mu.Unlock()
	}
	newest := d.newestConfig()
	if k.load.sendWithKey(address, keyOf(newest)) == http.StatusOK && box.lastStart().Equal(known.since) {
		known.version = max(known.version, newest)
	}
	if known.version < 2 {
		return
	}
	revoked := max(1, known.version-1-(known.version+newest)%3)
	if k.load.sendWithKey(address, keyOf(revoked)) == http.StatusOK && box.lastStart().Equal(known.since) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.findings = append(k.findings, fmt.Sprintf("%s accepted the key of configuration %d after it had taken configuration %d", box.name, revoked, known.version))
	}
}

// newestConfig returns the version of the newest configuration.
func (d *testDeployment) newestConfig() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextConfig - 1
}

// lastStart returns the time of the latest start of the process.
func (p *process) lastStart() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.startedAt) == 0 {
		return time.Time{}
	}
	return p.startedAt[len(p.startedAt)-1]
}

// sendWithKey sends a request with an API key to an entry box and returns the status of the response, or 0.
func (l *load) sendWithKey(entry, key string) int {
	id := fmt.Sprintf("k-%d-%d", l.deployment.index, l.lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+keyedRoute+"/1", strings.NewReader("draft"))
	if err != nil {
		l.problem("request %s: %v", id, err)
		return 0
	}
	request.Host = "a.example"
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	l.mu.Lock()
	l.requests[id] = sentRequest{entry, keyedRoute, time.Now()}
	l.mu.Unlock()
	response, err := l.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// noteDeparted records when a process that was started at a time has every change up to the removal of the departed
// server and does not list it as usable, and reports if it lists it so later. Only the era of the removal counts: in a
// later one, the process may have started with the copy.
func (l *serverLists) noteDeparted(p *process, started time.Time, list *positionedList) {
	removal := l.deployment.departures.removal.Load()
	if removal == nil {
		return
	}
	known, ok := l.departed[p]
	if !ok || !known.since.Equal(started) {
		known = processKnowledge{since: started}
	}
	departed := l.deployment.departures.departed.id
	usable := slices.ContainsFunc(list.Servers, func(s positionedServer) bool { return s.Server == departed && !s.Leaving && !s.Withheld })
	switch {
	case usable && !known.departedAt.IsZero():
		l.report(fmt.Sprintf("%s lists %s as usable, which it had known to have left", p.name, departed))
	case !usable && known.departedAt.IsZero() && l.deployment.store.Era() == removal.era && list.Complete.includes(*removal):
		known.departedAt = time.Now()
		l.departures = append(l.departures, departureNotice{p, started, known.departedAt})
	}
	l.departed[p] = known
}

// departureNotice is when one start of a process had learned that the departed server had left.
type departureNotice struct {
	process     *process
	started, at time.Time
}

// departureFindings reports the requests that reached a server that had left.
func (l *load) departureFindings(notices []departureNotice) (findings []string) {
	d := l.deployment
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, attempt := range d.departures.departed.ReceivedRequests() {
		request := l.requests[attempt.RequestID]
		for _, notice := range notices {
			if d.entryAt(request.entry) == notice.process && attempt.At.Sub(notice.at) > drainBound &&
				!notice.process.startedBetween(notice.started, attempt.At) {
				findings = append(findings, fmt.Sprintf("request %s reached %s %s after %s had learned that it had left", attempt.RequestID,
					d.departures.departed.id, attempt.At.Sub(notice.at).Round(time.Millisecond), notice.process.name))
			}
		}
	}
	for _, attempt := range d.departures.left.ReceivedRequests() {
		if attempt.At.After(d.departures.restoredAt) && !d.departures.restoredAt.IsZero() {
			findings = append(findings, fmt.Sprintf("request %s reached %s, which had left, %s after the store came back from a backup",
				attempt.RequestID, d.departures.left.id, attempt.At.Sub(d.departures.restoredAt).Round(time.Millisecond)))
		}
	}
	for _, attempt := range d.departures.leaving.ReceivedRequests() {
		if late := attempt.At.Sub(d.departures.leavingAt); *maxChangeTime > 0 && !d.departures.leavingAt.IsZero() && late > *maxChangeTime {
			findings = append(findings, fmt.Sprintf("request %s reached %s %s after its announcement, which followed a restore of the store",
				attempt.RequestID, d.departures.leaving.id, late.Round(time.Millisecond)))
		}
	}
	return findings
}

// backUpAndLeave returns a backup, and makes a server leave that is in it. awaitRemoval waits until all processes know.
func (d *testDeployment) backUpAndLeave() *standin.Backup {
	backup := d.store.Backup()
	d.store.Remove("servers/" + d.departures.left.id)
	return backup
}

// awaitRestored changes the configuration, restores the store from a backup without that and without earlier departures,
// and writes them again at once, then a configuration that takes a key away and the announcement of a server that
// leaves. It waits until these are in effect on every entry box.
func (l *load) awaitRestored(t *testing.T, backup *standin.Backup) {
	t.Helper()
	d := l.deployment
	for range seriesCount {
		d.putConfig()
	}
	l.awaitKeys(t, time.Now(), "before the restore", http.StatusOK, d.newestConfig())
	d.awaitEqualLists(t)
	time.Sleep(storeStableTime)
	lost := d.restore(backup, minAway)
	d.departures.restoredAt = time.Now()
	d.rewrite(lost)
	revoked := d.newestConfig()
	d.putConfig()
	d.putDepart(d.departures.leaving, true)
	d.departures.leavingAt = time.Now()
	elapsed := l.awaitKeys(t, d.departures.leavingAt, "after a restore of the store", http.StatusUnauthorized, revoked)
	if *maxChangeTime > 0 {
		time.Sleep(time.Until(d.departures.leavingAt.Add(2 * *maxChangeTime)))
		if elapsed > *maxChangeTime {
			t.Errorf("a configuration took %s to take effect after a restore of the store, want at most %s", elapsed, *maxChangeTime)
		}
	}
	t.Logf("a configuration took effect on all entry boxes %s after a restore of the store", elapsed.Round(time.Millisecond))
}

// awaitKeys waits until all entry boxes respond with a status to the key of a configuration, and returns the time since
// start. It reports the boxes that do not within recoveryTimeout.
func (l *load) awaitKeys(t *testing.T, start time.Time, when string, want, version int) time.Duration {
	t.Helper()
	for i, address := range l.deployment.callerAddresses {
		status := l.sendWithKey(address, keyOf(version))
		for status != want && time.Since(start) < recoveryTimeout {
			time.Sleep(10 * time.Millisecond)
			status = l.sendWithKey(address, keyOf(version))
		}
		if status != want {
			t.Errorf("%s responds with status %d to the key of configuration %d %s, want %d", l.deployment.entries[i].name, status, version, when, want)
		}
	}
	return time.Since(start)
}

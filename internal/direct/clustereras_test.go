package direct

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

var eraSeeds = flag.Int("cluster.era-seeds", 4, "number of seeds of eras in a cluster")

const (
	// rewriteTime is the time within which writers write again what the copy lacks, lapseTime the one after which the
	// store deletes the entry of a server that does not run.
	rewriteTime = 1500 * time.Millisecond
	lapseTime   = 3 * time.Second
	// eraInterval is the mean time between two eras, and maxCopyAge how many entries a copy lacks at most.
	eraInterval = 4 * time.Second
	maxCopyAge  = 30
	// evacuableDomain is the failure domain that is evacuated at times.
	evacuableDomain member.FailureDomain = "hall-a"
)

// TestBoxesKeepWhatTheyKnowOverEras checks, at all times, what a box must not lose when the store comes back from a copy,
// while boxes are frozen, slow and killed: it never goes back to an older configuration, uses no server that it knew as
// gone, uses none as ready that it knew as leaving, and keeps the servers that run and the evacuation that is in force. At
// the end all boxes have what the store has.
func TestBoxesKeepWhatTheyKnowOverEras(t *testing.T) {
	for i := range uint64(*eraSeeds) {
		seed := *clusterFrom + i
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &clusterEras{
					clusterFaults: newClusterFaults(t, seed, 3+int(seed*5%7)), running: make(map[fleet.ServerID]bool), known: make(map[member.BoxID]*boxKnowledge),
				}
				c.run(*clusterTime)
			})
		})
	}
}

// boxKnowledge is what a box was seen to know since its start.
type boxKnowledge struct {
	incarnation         member.Incarnation
	configuration       uint64
	used, gone, leaving map[fleet.ServerID]bool
	evacuated           bool
}

// clusterEras runs a cluster whose store comes back from copies.
type clusterEras struct {
	*clusterFaults
	// running holds the servers that run, and whether each is leaving. isEvacuated is set while the evacuation is in force,
	// as the operators see it.
	running     map[fleet.ServerID]bool
	isEvacuated bool
	// evacuationChangedAt is when the operators last changed that.
	evacuationChangedAt time.Time
	known               map[member.BoxID]*boxKnowledge
}

func (c *clusterEras) run(duration time.Duration) {
	defer c.stop()
	for range 8 {
		c.start()
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(duration)
	nextEra := time.Now().Add(c.randomTime(2 * eraInterval))
	var nextChange, nextFault, nextCheck time.Time
	for now := time.Now(); now.Before(end); now = time.Now() {
		if !now.Before(nextChange) {
			c.change()
			nextChange = now.Add(c.randomTime(2 * serverChangeInterval))
		}
		if !now.Before(nextFault) {
			c.injectBoxFault()
			nextFault = now.Add(c.randomTime(4 * clusterFaultInterval))
		}
		if !now.Before(nextEra) {
			c.restore()
			nextEra = now.Add(c.randomTime(2 * eraInterval))
		}
		if !now.Before(nextCheck) {
			c.checkKnowledge()
			nextCheck = now.Add(clusterCheckInterval)
		}
		time.Sleep(clusterTick)
		c.ends.runDue()
	}
	for range int((maxClusterFault + lapseTime + clusterRecovery) / clusterTick) {
		time.Sleep(clusterTick)
		c.ends.runDue()
	}
	c.checkKnowledge()
	c.checkConvergence()
}

// start starts a server.
func (c *clusterEras) start() {
	c.nextServer++
	id := fleet.ServerID(fmt.Sprintf("s-%03d", c.nextServer))
	c.running[id] = false
	c.writeServer(id)
}

// writeServer writes the entry of a server that runs.
func (c *clusterEras) writeServer(id fleet.ServerID) {
	fact := listed(id, 0)
	fact.Server.Leaving, fact.Server.Domain = c.running[id], "hall-b"
	c.store.write(fact)
}

func (c *clusterEras) writeEvacuation() {
	fact := fleet.Fact{Key: fleet.EvacuationKey(evacuableDomain), Deleted: !c.isEvacuated}
	if c.isEvacuated {
		fact.Evacuation = &fleet.Evacuation{Domain: evacuableDomain}
	}
	c.store.write(fact)
}

// change changes a server, the configuration or the evacuation.
func (c *clusterEras) change() {
	ids := slices.Sorted(maps.Keys(c.running))
	id := ids[c.random.IntN(len(ids))]
	switch action := c.random.IntN(12); {
	case action < 4 || len(ids) < 4:
		c.start()
	case action < 6:
		c.running[id] = true
		c.writeServer(id)
	case action < 9:
		delete(c.running, id)
		c.store.write(fleet.Fact{Key: fleet.ServerKey(id), Deleted: true})
	case action < 10:
		c.writeServer(id)
	case action < 11:
		c.store.configure()
	default:
		c.isEvacuated, c.evacuationChangedAt = !c.isEvacuated, time.Now()
		c.writeEvacuation()
	}
}

func (c *clusterEras) injectBoxFault() {
	box, span := c.boxes[c.random.IntN(len(c.boxes))], c.randomTime(maxClusterFault)
	switch c.random.IntN(4) {
	case 0, 1:
		c.disturb(box, span, box.processing.close, box.processing.open)
	case 2:
		c.disturb(box, span, func() { box.setLag(200 * time.Millisecond) }, func() { box.setLag(0) })
	case 3:
		c.disturb(box, span/3, box.kill, box.start)
	}
}

// restore makes the store come back from a copy, after a time in which it does not answer or at once. Writers write again
// what the copy lacks, and the entries of servers that no longer run lapse.
func (c *clusterEras) restore() {
	span := c.randomTime(2 * time.Second)
	if c.random.IntN(3) == 0 {
		span = 0
	}
	c.disturbStore(span)
	c.store.reachable.close()
	c.later(span, func() {
		entries := int(c.store.revision().Number())
		c.store.restore(entries-c.random.IntN(min(entries, maxCopyAge)), c.random.IntN(2) == 0)
		c.store.reachable.open()
		c.rewrite()
	})
}

// rewrite schedules the writes after the store has come back.
func (c *clusterEras) rewrite() {
	copied := c.store.at(c.store.revision())
	for _, id := range slices.Sorted(maps.Keys(c.running)) {
		isLeaving := c.running[id]
		if fact, ok := copied[fleet.ServerKey(id)]; !ok || fact.Server.Leaving != isLeaving {
			c.later(c.randomTime(rewriteTime), func() {
				if _, runs := c.running[id]; runs {
					c.writeServer(id)
				}
			})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(copied)) {
		id := fleet.ServerID(strings.TrimPrefix(key, fleet.ServerKey("")))
		if _, runs := c.running[id]; !runs && isServerKey(key) {
			c.later(lapseTime, func() {
				if _, listed := c.store.at(c.store.revision())[key]; listed {
					c.store.write(fleet.Fact{Key: key, Deleted: true})
				}
			})
		}
	}
	if configuration := copied[fleet.ConfigurationKey()].Configuration; configuration == nil || configuration.Version < c.store.configuration {
		c.later(c.randomTime(rewriteTime), c.store.configure)
	}
	if _, isEvacuated := copied[fleet.EvacuationKey(evacuableDomain)]; isEvacuated != c.isEvacuated {
		c.later(c.randomTime(rewriteTime), c.writeEvacuation)
	}
}

// checkKnowledge checks the boxes without a fault.
func (c *clusterEras) checkKnowledge() {
	for _, box := range c.boxes {
		own := box.entries.self.Incarnation
		known := c.known[box.id]
		if known == nil || known.incarnation != own {
			known = &boxKnowledge{
				incarnation: own, used: make(map[fleet.ServerID]bool), gone: make(map[fleet.ServerID]bool), leaving: make(map[fleet.ServerID]bool),
			}
			c.known[box.id] = known
		}
		// A box learns nothing while it is frozen, though its timers run on.
		if isLive := time.Since(box.disturbedUntil) >= c.contact(); isLive {
			box.requireConsistent()
			c.checkBox(box, known)
		} else {
			known.used, known.evacuated = make(map[fleet.ServerID]bool), false
		}
	}
}

// checkBox checks a box against what it was seen to know before.
func (c *clusterEras) checkBox(box *clusterBox, known *boxKnowledge) {
	view, used := box.fleetState.View(), make(map[fleet.ServerID]bool)
	if view.Configuration != nil {
		if view.Configuration.Version < known.configuration {
			c.t.Errorf("%s goes back from configuration %d to %d", box.id, known.configuration, view.Configuration.Version)
		}
		known.configuration = view.Configuration.Version
	}
	for _, server := range view.Servers("llm") {
		used[server.ID] = true
		if known.gone[server.ID] {
			entry, listed := c.store.at(c.store.revision())[fleet.ServerKey(server.ID)]
			c.t.Errorf("%s uses %s, which it knew as gone; the store lists it: %t, at %v of %v; watermarks %v %v, entry %v", box.id, server.ID,
				listed, entry.Revision, c.store.revision(), box.fleetState.Watermarks().Newest, box.fleetState.Watermarks().Complete, box.fleetState.servers[server.ID].revision)
		}
		if known.leaving[server.ID] && !server.Leaving {
			c.t.Errorf("%s uses %s, which it knew as leaving", box.id, server.ID)
		}
		known.leaving[server.ID] = known.leaving[server.ID] || server.Leaving
	}
	for id := range known.used {
		isLeaving, runs := c.running[id]
		switch {
		case used[id]:
		case !runs:
			known.gone[id] = true
		case !isLeaving:
			c.t.Errorf("%s no longer uses %s, which runs", box.id, id)
		}
	}
	known.used = used
	isEvacuated := len(box.fleetState.EvacuatedDomains()) > 0
	// A withdrawal that was followed by another evacuation may be on its way.
	isInForce := c.isEvacuated && time.Since(c.evacuationChangedAt) > c.contact()
	if known.evacuated && isInForce && !isEvacuated {
		c.t.Errorf("%s has lost the evacuation", box.id)
	}
	known.evacuated = isEvacuated && isInForce
}

// checkConvergence checks that all boxes have what the store has.
func (c *clusterEras) checkConvergence() {
	current := c.store.at(c.store.revision())
	var want []fleet.ServerID
	for _, fact := range current {
		if fact.Server != nil {
			want = append(want, fact.Server.ID)
		}
	}
	slices.Sort(want)
	for _, box := range c.boxes {
		if got := serverIDs(box.fleetState); !slices.Equal(got, want) {
			c.t.Errorf("%s lists %v after all eras, the store %v", box.id, got, want)
		}
		if got := box.fleetState.View().Configuration.Version; got != c.store.configuration {
			c.t.Errorf("%s has configuration %d after all eras, the store %d", box.id, got, c.store.configuration)
		}
		if got := len(box.fleetState.EvacuatedDomains()) > 0; got != c.isEvacuated {
			c.t.Errorf("%s has the evacuation: %t, the operators: %t", box.id, got, c.isEvacuated)
		}
		if got, era := box.fleetState.storeEra(), c.store.revision().Era(); got != era {
			c.t.Errorf("%s knows era %d, the store is in %d", box.id, got, era)
		}
	}
}

// Guards against a first change after the store has come back from a copy that reaches boxes later than the bound: at a
// lower revision and at revisions that were given out before, with the history and without it.
func TestFirstChangeAfterACopyReachesAllBoxesWithinBound(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 4 * time.Second} {
		for _, regions := range []int{1, 3} {
			for _, copied := range []int{3, 11} {
				for _, dropHistory := range []bool{false, true} {
					for _, away := range []time.Duration{0, 300 * time.Millisecond, 2500 * time.Millisecond} {
						name := fmt.Sprintf("bound=%s/regions=%d/copied=%d/dropped=%t/away=%s", bound, regions, copied, dropHistory, away)
						t.Run(name, inBubble(func(t *testing.T) {
							checkFirstChange(t, newTestCluster(t, 9, regions, bound), copied, dropHistory, away)
						}))
					}
				}
			}
		}
	}
}

// checkFirstChange restores a store of twelve entries, and writes a configuration and that a server leaves.
func checkFirstChange(t *testing.T, c *testCluster, copied int, dropHistory bool, away time.Duration) {
	defer c.stop()
	c.store.put("a")
	c.store.put("b")
	for range 9 {
		c.store.configure()
	}
	time.Sleep(10 * time.Second)
	c.store.reachable.close()
	time.Sleep(away)
	c.store.restore(copied, dropHistory)
	c.store.reachable.open()
	c.store.configure()
	leaving := listed("a", 0)
	leaving.Server.Leaving = true
	c.store.write(leaving)
	changedAt := time.Now()
	for _, box := range c.boxes {
		for !slices.Equal(leavingServerIDs(box.fleetState), []fleet.ServerID{"a"}) || box.fleetState.View().Configuration.Version != c.store.configuration {
			if time.Since(changedAt) > c.bound {
				t.Errorf("%s does not have the changes %s after them", box.id, time.Since(changedAt))
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Logf("known after %s", time.Since(changedAt))
}

package direct

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// evacuate writes the evacuation of a failure domain, or deletes it.
func (s *clusterStore) evacuate(domain member.FailureDomain, evacuated bool) {
	fact := fleet.Fact{Key: fleet.EvacuationKey(domain), Deleted: !evacuated}
	if evacuated {
		fact.Evacuation = &fleet.Evacuation{Domain: domain}
	}
	s.write(fact)
}

// evacuated returns the evacuated failure domains, sorted by name.
func (s *clusterStore) evacuated() (domains []member.FailureDomain) {
	for _, fact := range s.at(s.revision()) {
		if fact.Evacuation != nil {
			domains = append(domains, fact.Evacuation.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// TestEvacuationReachesAllBoxesWithinBound checks the time from an evacuation at the store, and from its withdrawal, to
// the moment at which the last undisturbed box applies it.
func TestEvacuationReachesAllBoxesWithinBound(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second} {
		for _, disturbance := range readerDisturbances {
			for _, phase := range []time.Duration{0, 400 * time.Millisecond, 1400 * time.Millisecond} {
				t.Run(fmt.Sprintf("bound=%s/%s/%s", bound, disturbance.name, phase), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkEvacuationTime(t, bound, disturbance, phase) })
				})
			}
		}
	}
}

func checkEvacuationTime(t *testing.T, bound time.Duration, d disturbance, phase time.Duration) {
	c := newTestCluster(t, 9, 3, bound)
	defer c.stop()
	c.store.put("a")
	time.Sleep(10 * time.Second)
	c.store.readers()
	time.Sleep(bound)
	reader := c.box(c.store.readers()[0])
	d.begin(reader)
	time.Sleep(phase)
	for _, evacuated := range []bool{true, false, true} {
		c.store.evacuate("hall-a", evacuated)
		changedAt := time.Now()
		for _, box := range c.boxes {
			for box != reader && !slices.Equal(box.fleetState.EvacuatedDomains(), c.store.evacuated()) {
				if time.Since(changedAt) > bound {
					t.Errorf("%s has not applied evacuated=%t after %s", box.id, evacuated, time.Since(changedAt))
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		t.Logf("evacuated=%t applied after %s", evacuated, time.Since(changedAt))
	}
}

// Guards against a box that starts during an evacuation, or after its withdrawal while the store is unreachable, and
// takes what another box has not known for long.
func TestStartingBoxKnowsEvacuationsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 6, 2, 2*time.Second)
		defer c.stop()
		c.store.evacuate("hall-a", true)
		c.store.evacuate("hall-b", true)
		time.Sleep(5 * time.Second)
		c.store.evacuate("hall-b", false)
		time.Sleep(5 * time.Second)
		c.store.reachable.close()
		c.boxes[3].kill()
		c.boxes[3].start()
		time.Sleep(3 * time.Second)
		for _, box := range c.boxes {
			require.Equal(t, []member.FailureDomain{"hall-a"}, box.fleetState.EvacuatedDomains(), "%s", box.id)
		}
	})
}

// Guards against deferring the withdrawal of an evacuation like the deletion of an expired entry.
func TestWithdrawalAfterStoreOutageIsAppliedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 3, 1, 2*time.Second)
		defer c.stop()
		c.store.evacuate("hall-a", true)
		time.Sleep(5 * time.Second)
		c.store.reachable.close()
		time.Sleep(3 * time.Second)
		c.store.evacuate("hall-a", false)
		c.store.reachable.open()
		time.Sleep(2 * time.Second)
		for _, box := range c.boxes {
			require.Empty(t, box.fleetState.EvacuatedDomains(), "%s", box.id)
		}
	})
}

// TestBoxesApplyEvacuationsUnderFaults checks that undisturbed boxes apply evacuations and withdrawals within the bound,
// under the same faults as TestBoxesListNoDeletedServersUnderFaults.
func TestBoxesApplyEvacuationsUnderFaults(t *testing.T) {
	for i := range uint64(*clusterSeeds) {
		seed := *clusterFrom + i
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runEvacuationFaults(t, seed) })
		})
	}
}

func runEvacuationFaults(t *testing.T, seed uint64) {
	c := newClusterFaults(t, seed, 3+int(seed*7%22))
	defer c.stop()
	c.addServer()
	time.Sleep(5 * time.Second)
	random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // repeatable on purpose
	domains := []member.FailureDomain{"hall-a", "hall-b", "hall-c"}
	changedAt := make(map[member.FailureDomain]time.Time)
	var nextChange, nextFault time.Time
	for end := time.Now().Add(*clusterTime); time.Now().Before(end); {
		// A fault must end before the next one of the same box begins.
		c.ends.runDue()
		now := time.Now()
		if !now.Before(nextChange) {
			domain := domains[random.IntN(len(domains))]
			c.store.evacuate(domain, !slices.Contains(c.store.evacuated(), domain))
			changedAt[domain] = now
			nextChange = now.Add(time.Duration(random.Int64N(int64(3 * c.bound))))
		}
		if !now.Before(nextFault) {
			c.inject()
			nextFault = now.Add(c.randomTime(2 * clusterFaultInterval))
		}
		for _, domain := range domains {
			c.checkEvacuation(domain, changedAt[domain])
		}
		time.Sleep(clusterTick)
	}
	time.Sleep(maxClusterFault)
	c.ends.runDue()
	time.Sleep(clusterRecovery)
	for _, box := range c.boxes {
		require.ElementsMatch(t, c.store.evacuated(), box.fleetState.EvacuatedDomains(), "%s after all faults", box.id)
	}
}

// checkEvacuation checks that undisturbed boxes apply the last change of a failure domain within the bound.
func (c *clusterFaults) checkEvacuation(domain member.FailureDomain, changedAt time.Time) {
	now := time.Now()
	if changedAt.IsZero() || now.Sub(changedAt) <= c.bound || !c.isStoreStableAt(now) || !c.isStoreStableAt(changedAt) {
		return
	}
	want := slices.Contains(c.store.evacuated(), domain)
	for _, box := range c.boxes {
		if now.Sub(box.disturbedUntil) < c.contact() {
			continue
		}
		if got := slices.Contains(box.fleetState.EvacuatedDomains(), domain); got != want {
			c.t.Errorf("%s, %s after its last fault, has %s evacuated=%t, %s after the change; the bound is %s",
				box.id, now.Sub(box.disturbedUntil), domain, got, now.Sub(changedAt), c.bound)
		}
	}
}

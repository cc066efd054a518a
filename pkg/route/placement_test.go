package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// domainServer returns a plain server in a failure domain, which is also its region.
func domainServer(id fleet.ServerID, domain member.FailureDomain) fleet.Server {
	server := plainServer(id, 1)
	server.Domain = domain
	return server
}

// submitIn requests a slot on a server in the given regions.
func (w *plainDispatcher) submitIn(regions ...member.Region) (*Reservation, *QueuedRequest, error) {
	return w.d.Submit(&SlotRequest{
		Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second), Residency: fleet.ResidencyIn(regions...),
	}, func(*Reservation) {}, w.now)
}

func TestRequestIsSentToAllowedRegionsOnly(t *testing.T) {
	w := newPlainDispatcher(t, domainServer("a", "riga"), domainServer("b", "kurzeme"))
	for range 4 {
		reservation, _, err := w.submitIn("kurzeme")
		require.NoError(t, err)
		require.Equal(t, fleet.ServerID("b"), reservation.Server.ID)
	}
	reservation, queued, err := w.submitIn("kurzeme")
	require.NoError(t, err)
	require.Nil(t, reservation, "the server in the other region has free slots")
	require.NotNil(t, queued)
}

// Guards against a request waiting until its deadline for a region without servers.
func TestRequestWithoutServerInAllowedRegionsIsRejectedAtOnce(t *testing.T) {
	w := newPlainDispatcher(t, domainServer("a", "riga"))
	for _, regions := range [][]member.Region{{"kurzeme"}, {}} {
		_, queued, err := w.submitIn(regions...)
		require.ErrorIs(t, err, ErrNoServer)
		require.Nil(t, queued)
	}
}

// Guards against a queued request that waits for a slot in its region blocking those that may be served elsewhere.
func TestRequestQueuedForItsRegionDoesNotBlockOthers(t *testing.T) {
	w := newPlainDispatcher(t, domainServer("a", "riga"), domainServer("b", "kurzeme"))
	var held []*Reservation
	for range 8 {
		held = append(held, w.acquire())
	}
	_, first, err := w.submitIn("kurzeme")
	require.NoError(t, err)
	granted := false
	_, second, err := w.d.Submit(&SlotRequest{Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)},
		func(*Reservation) { granted = true }, w.now)
	require.NoError(t, err)
	require.NotNil(t, first)
	require.NotNil(t, second)
	for _, reservation := range held {
		if reservation.Server.ID == "a" {
			reservation.Release(ResultDone, w.now)
			break
		}
	}
	require.True(t, granted)
	require.Equal(t, 1, w.d.QueueLen())
}

// Guards against telling a caller to retry while the servers that may run its request still back off, or that they back
// off if they do not.
func TestRejectionDescribesAllowedRegionsOnly(t *testing.T) {
	w := newPlainDispatcher(t, domainServer("a", "riga"), domainServer("b", "kurzeme"), domainServer("c", "latgale"))
	for range 12 {
		if reservation := w.acquire(); reservation.Server.ID == "a" {
			w.rejectWithBackoff(reservation, 5*time.Second)
			break
		}
	}
	var busy *BusyError
	_, _, err := w.submitIn("riga")
	require.ErrorAs(t, err, &busy)
	require.Equal(t, 1, busy.BackingOff)
	require.GreaterOrEqual(t, busy.RetryAfter, 5*time.Second)
	limited := domainServer("b", "kurzeme")
	limited.Limit = fleet.RateLimit{Set: true, PerSecond: 1}
	w.setServers(domainServer("a", "riga"), limited, domainServer("c", "latgale"))
	for err = nil; err == nil; {
		_, _, err = w.submitIn("kurzeme")
	}
	require.ErrorAs(t, err, &busy)
	require.Zero(t, busy.BackingOff)
	require.Equal(t, 1, busy.Limited)
}

func TestEvacuatedServerGetsNoRequests(t *testing.T) {
	w := newPlainDispatcher(t, domainServer("a", "riga"), domainServer("b", "kurzeme"))
	var reservation *Reservation
	for reservation == nil || reservation.Server.ID != "a" {
		reservation = w.acquire()
	}
	evacuated := domainServer("a", "riga")
	evacuated.Evacuated = true
	w.setServers(evacuated, domainServer("b", "kurzeme"))
	require.ErrorIs(t, reservation.Check(w.now), ErrEvacuated)
	require.Zero(t, w.serve(50)["a"])
	_, _, err := w.submitIn("riga")
	require.ErrorIs(t, err, ErrNoServer, "rejected at once")
	w.setServers(domainServer("a", "riga"), domainServer("b", "kurzeme"))
	require.NoError(t, reservation.Check(w.now))
	reservation.Release(ResultDone, w.now)
	require.NotZero(t, w.serve(50)["a"], "the evacuation was withdrawn")
}

// Guards against waiting for servers whose return only the operators know.
func TestRequestsAreRejectedAtOnceWhileAllServersAreEvacuated(t *testing.T) {
	evacuated := domainServer("a", "riga")
	evacuated.Evacuated = true
	w := newPlainDispatcher(t, evacuated)
	for _, retry := range []bool{false, true} {
		_, queued, err := w.d.Submit(&SlotRequest{
			Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second), Retry: retry,
		}, nil, w.now)
		require.ErrorIs(t, err, ErrNoServer)
		require.Nil(t, queued)
	}
}

// No order of arrivals, changes of the servers and releases sends a request to a server that it must not reach.
func TestRequestsReachOnlyServersThatTheyMayReach(t *testing.T) {
	regions := []member.Region{"r-0", "r-1", "r-2"}
	rapid.Check(t, func(rt *rapid.T) {
		w := newPlainDispatcher(t)
		servers := make([]fleet.Server, rapid.SampledFrom([]int{3, 9, 90}).Draw(rt, "servers"))
		for i := range servers {
			servers[i] = domainServer(fleet.ServerID(fmt.Sprint(i)), member.FailureDomain(regions[i%3]))
		}
		w.setServers(servers...)
		evacuated := make(map[member.FailureDomain]bool)
		var held []*Reservation
		grant := func(residency fleet.Residency) func(*Reservation) {
			return func(reservation *Reservation) {
				domain := reservation.Server.Domain
				if evacuated[domain] || !residency.Allows(member.Region(domain)) {
					rt.Fatalf("request for %v was granted a slot in %s; evacuated: %v", residency, domain, evacuated)
				}
				held = append(held, reservation)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				var residency fleet.Residency
				if rapid.Bool().Draw(rt, "restricted") {
					residency = fleet.ResidencyIn(rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID[member.Region]).Draw(rt, "regions")...)
				}
				reservation, _, err := w.d.Submit(&SlotRequest{
					Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second), Residency: residency,
				}, grant(residency), w.now)
				if err == nil && reservation != nil {
					grant(residency)(reservation)
				}
			},
			"evacuate": func(rt *rapid.T) {
				domain := member.FailureDomain(rapid.SampledFrom(regions).Draw(rt, "domain"))
				evacuated[domain] = !evacuated[domain]
				changed := make([]fleet.Server, len(servers))
				for i := range servers {
					changed[i] = servers[i]
					changed[i].Evacuated = evacuated[servers[i].Domain]
				}
				w.setServers(changed...)
			},
			"release": func(rt *rapid.T) {
				if len(held) == 0 {
					return
				}
				i := rapid.IntRange(0, len(held)-1).Draw(rt, "held")
				reservation := held[i]
				held = append(held[:i], held[i+1:]...)
				reservation.Release(rapid.SampledFrom([]Result{ResultDone, ResultRefused, ResultUnreachable}).Draw(rt, "result"), w.now)
			},
			"wait": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(rt, "ms")) * time.Millisecond)
			},
		})
	})
}

// coldServer returns server "a", cold, with the limit of its service.
func coldServer(limit fleet.RateLimit) fleet.Server {
	server := plainServer("a", 1)
	server.Cold, server.Limit = true, limit
	return server
}

// Guards against preferring cold servers, which are slow, so that their limit is used.
func TestColdServerIsUsedAfterOthers(t *testing.T) {
	limit := fleet.RateLimit{Set: true, PerSecond: 20, Burst: 5}
	w := newLimitedDispatcher(t, coldServer(limit), plainServer("b", 1))
	served, _ := w.serveFor(10 * time.Second)
	require.Less(t, served["a"], served["b"]/4)
}

func TestColdServersServeUpToTheirLimit(t *testing.T) {
	limit := fleet.RateLimit{Set: true, PerSecond: 20, Burst: 5}
	w := newLimitedDispatcher(t, coldServer(limit))
	served, _ := w.serveFor(10 * time.Second)
	require.InDelta(t, 200, served["a"], 6)
}

// Guards against boxes that cannot reach each other using the limit of a cold server once each.
func TestColdLimitIsDividedAmongUnreachableBoxes(t *testing.T) {
	limit := fleet.RateLimit{Set: true, PerSecond: 20, Burst: 5}
	w := newLimitedDispatcher(t)
	w.d.SetBoxCount(1, 4)
	w.setServers(coldServer(limit))
	served, _ := w.serveFor(10 * time.Second)
	require.InDelta(t, 50, served["a"], 3)
	w.d.SetBoxCount(4, 4)
	w.setServers(coldServer(limit))
	served, _ = w.serveFor(10 * time.Second)
	require.InDelta(t, 200, served["a"], 6)
}

func TestColdLimitLeavesPartOfAllowanceForLateReports(t *testing.T) {
	for _, test := range []struct {
		allowance ColdAllowance
		rate      float64
		want      fleet.RateLimit
	}{
		{ColdAllowance{1.5, 5}, 23, fleet.RateLimit{Set: true, PerSecond: 23, Burst: 8.25}},
		{ColdAllowance{1, 0}, 10, fleet.RateLimit{Set: true, PerSecond: 10, Burst: 1}},
		{ColdAllowance{0.5, 0}, 10, fleet.RateLimit{Set: true, PerSecond: 5, Burst: 1}},
	} {
		require.Equal(t, test.want, test.allowance.Limit(test.rate))
	}
}

package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a report that loses requests whose priority is outside the range, and against classes that remain set
// after the configuration has one priority again.
func TestDemandIsCountedByPriorityClass(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 1, 1))
	b.SetPriorityClasses(true)
	b.acquire(t)
	for _, priority := range []int{resumed, 0, 1, 9, 12} {
		req := b.request()
		req.Priority, req.startBy = priority, req.Objective
		b.enqueue(&QueuedRequest{req: req})
	}
	demand := b.Demand(b.clock.Now())
	require.Equal(t, 5, demand.InTime)
	require.Equal(t, 2, demand.Classes[DemandClass(0, false)].InTime)
	require.Equal(t, 1, demand.Classes[DemandClass(1, false)].InTime)
	require.Equal(t, 2, demand.Classes[DemandClass(9, false)].InTime)
	b.clock.Advance(rateWindow / 2)
	require.Equal(t, 1, b.Demand(b.clock.Now()).Classes[0].Arrivals)
	b.SetPriorityClasses(false)
	require.Equal(t, DemandClasses{}, b.Demand(b.clock.Now()).Classes)
}

// resumed is the priority of resumed responses.
const resumed = -1

// Guards against sums that drift when boxes replace their reports or disappear.
func TestPeerDemandClassesSumUp(t *testing.T) {
	b := newTestDispatcher(true)
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		demand := Demand{InTime: random.IntN(4)}
		demand.Classes[random.IntN(demandClassCount)].InTime = demand.InTime
		b.UpdatePeerDemand(boxID(random.IntN(5)), demand, b.clock.Now())
	}
	want := Demand{}
	for _, demand := range b.peerDemands.boxes {
		want.add(&demand.Demand, 1)
	}
	require.Equal(t, want, b.totalPeerDemand(b.clock.Now()))
	b.clock.Advance(peerLoadMaxAge)
	require.Equal(t, Demand{}, b.totalPeerDemand(b.clock.Now()))
}

// classDemand returns a demand of queued requests of one class.
func classDemand(class, inTime int) (demand Demand) {
	demand.InTime = inTime
	demand.Classes[DemandClass(class, false)].InTime = inTime
	return demand
}

// Guards against a free slot that goes to the box with the most queued requests while another box has a more urgent one.
func TestScarceSlotsGoToBoxesWithMostUrgentClass(t *testing.T) {
	boxes := manyBoxes(20, 10, 1, classDemand(2, 9))
	taken := make([]int, len(boxes))
	for i, b := range boxes {
		b.SetPriorityClasses(true)
		if i > 0 {
			b.UpdatePeerDemand(boxID(0), classDemand(0, 10), b.clock.Now())
		}
		count, class := 9, 2
		if i == 0 {
			count, class = 10, 0
		}
		for range count {
			req := b.request()
			req.Priority, req.startBy = class, req.Objective
			b.enqueue(&QueuedRequest{req: req, onGranted: func(*Reservation) { taken[i]++ }})
		}
		b.grant(nil, b.clock.Now())
	}
	others := 0
	for _, n := range taken[1:] {
		others += n
	}
	require.GreaterOrEqual(t, taken[0], 9, "ten slots are free, ten urgent requests are queued at this box")
	require.LessOrEqual(t, others, 1)
}

// Guards against a slot that several boxes take, and one that no box takes, where boxes of an earlier version report no
// classes and take slots by their total demand.
func TestEachSlotHasOneOwnerAmongBoxesOfTwoVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := make([]Demand, rapid.IntRange(2, 9).Draw(t, "boxes"))
		for i := range demands {
			class := rapid.IntRange(0, PriorityClasses-1).Draw(t, "class")
			demands[i] = classDemand(class, rapid.IntRange(1, 9).Draw(t, "in_time"))
			if rapid.Bool().Draw(t, "older") {
				demands[i].Classes = DemandClasses{}
			}
		}
		slot, class := freeSlot{"a", rapid.IntRange(0, 99).Draw(t, "index"), 1}, rapid.IntRange(0, demandClassCount).Draw(t, "slot class")
		owners := 0
		for i := range demands {
			b := newTestDispatcher(true)
			b.self = boxID(i)
			for other := range demands {
				if other != i {
					b.UpdatePeerDemand(boxID(other), demands[other], b.clock.Now())
				}
			}
			owns := false
			if demands[i].reportsClasses() {
				owns = b.ownsInClass(slot, class, &demands[i])
			} else {
				owns = b.owns(slot, demands[i].allocationWeight())
			}
			if owns {
				owners++
			}
		}
		if owners > 1 {
			t.Fatalf("%d owners of a slot", owners)
		}
	})
}

// Guards against a class that more urgent ones displace: each is served at no less than a quarter of the rate of all.
func TestEveryClassKeepsAQuarterOfTheRateOfAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demand DemandClasses
		arrivals := 0
		for class := range demand {
			demand[class] = ClassDemand{Arrivals: rapid.IntRange(0, 500).Draw(t, "arrivals"), InTime: rapid.IntRange(0, 100).Draw(t, "in_time")}
			arrivals += demand[class].Arrivals
		}
		slots := rapid.Float64Range(0.1, 300).Draw(t, "slots")
		shares := demand.divide(slots)
		var parts [demandClassCount + 1]float64
		const steps = 10000
		for i := range steps {
			class, _ := shares.class((float64(i) + 0.5) / steps)
			parts[class] += 1.0 / steps
		}
		for class := range demand {
			needed := demand[class].perRound() / slots
			if want := min(needed, 0.25*float64(demand[class].Arrivals)/float64(max(1, arrivals))); parts[class] < want-2.0/steps {
				t.Fatalf("class %d has %.3f of the slots, want %.3f", class, parts[class], want)
			}
			if parts[class] > needed+2.0/steps {
				t.Fatalf("class %d has %.3f of the slots and needs %.3f", class, parts[class], needed)
			}
		}
	})
}

// Guards against a request that waits behind more urgent ones at other boxes until it is late: it is rejected at once.
func TestRequestBehindUrgentOnesAtOtherBoxesIsRejectedAtOnce(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 12, 1))
	b.SetPriorityClasses(true)
	b.UpdatePeerLoad("others", Load{"a": {Requests: 12}}, true, b.clock.Now())
	b.SetBoxCount(2, 2)
	submit := func(priority int) error {
		req := b.request()
		req.Priority = priority
		_, queued, err := b.Submit(req, func(*Reservation) {}, b.clock.Now())
		if queued != nil {
			b.Cancel(queued)
		}
		return err
	}
	b.UpdatePeerDemand("others", classDemand(2, 1), b.clock.Now())
	require.NoError(t, submit(1))
	b.UpdatePeerDemand("others", classDemand(0, 30), b.clock.Now())
	var busy *BusyError
	require.ErrorAs(t, submit(1), &busy)
	require.Positive(t, busy.RetryAfter)
	b.UpdatePeerDemand("others", classDemand(2, 30), b.clock.Now())
	require.NoError(t, submit(1), "the requests of other boxes are less urgent")
}

// Guards against a released slot that a box gives to its own request while a more urgent one waits at another box, and
// against one that is left to other boxes although no more urgent request waits there.
func TestReleasedSlotIsLeftToMoreUrgentRequestOfOtherBox(t *testing.T) {
	for _, c := range []struct {
		demand  Demand
		granted int
	}{{classDemand(0, 1000), 0}, {classDemand(2, 1000), 1}} {
		b := newTestDispatcher(true, modelServer("a", 4, 1))
		b.SetPriorityClasses(true)
		var held []*Reservation
		for range 4 {
			held = append(held, b.acquire(t))
		}
		b.UpdatePeerDemand("others", c.demand, b.clock.Now())
		granted := 0
		req := b.request()
		req.Priority, req.startBy = 1, req.Objective
		b.enqueue(&QueuedRequest{req: req, onGranted: func(*Reservation) { granted++ }})
		held[0].Release(ResultDone, b.clock.Now())
		require.Equal(t, c.granted, granted)
	}
}

// Guards against urgent requests that are rejected for seconds after servers were slow, while requests with a longer
// objective get the slots that are allocated to the urgent class.
func TestNewRequestMayWaitForAnAllocationRoundWhileEstimateIsHigh(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 100, 1))
	b.SetPriorityClasses(true)
	b.UpdatePeerLoad("others", Load{"a": {Requests: 100}}, true, b.clock.Now())
	b.ttfb = time.Second
	_, queued, err := b.Submit(b.request(), func(*Reservation) {}, b.clock.Now())
	require.NoError(t, err)
	require.Equal(t, b.clock.Now().Add(allocationRound), queued.req.startBy)
	expired := b.request()
	expired.Objective = b.clock.Now().Add(allocationRound / 2)
	_, _, err = b.Submit(expired, func(*Reservation) {}, b.clock.Now())
	require.Error(t, err, "the objective passes within the round")
}

// Guards against effects of priorities on a service whose requests all have the same one: what other boxes report by
// class, and the priority itself, change no decision.
func TestServiceWithOnePriorityDecidesAsWithoutClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priority, seed := rapid.IntRange(0, PriorityClasses-1).Draw(t, "priority"), rapid.Uint64().Draw(t, "seed")
		run := func(priority int, reportClasses bool) (decisions []string) {
			random := rand.New(rand.NewPCG(seed, 1))
			b := newTestDispatcher(true, modelServer("a", 3, 1), modelServer("b", 2, 1), modelServer("c", 2, 1))
			b.random, b.self = rand.New(rand.NewPCG(seed, 2)).Float64, "entry-1"
			b.SetPriorityClasses(false)
			b.SetBoxCount(3, 3)
			var held []*Reservation
			granted := func(reservation *Reservation) {
				held = append(held, reservation)
				decisions = append(decisions, "granted "+string(reservation.Server.ID))
			}
			for range 200 {
				b.clock.Advance(time.Duration(random.IntN(30)) * time.Millisecond)
				now := b.clock.Now()
				switch random.IntN(4) {
				case 0:
					demand := classDemand(priority, random.IntN(5))
					demand.Arrivals = random.IntN(20)
					demand.Classes[DemandClass(priority, false)].Arrivals = demand.Arrivals
					if !reportClasses {
						demand.Classes = DemandClasses{}
					}
					b.UpdatePeerDemand(boxID(2+random.IntN(2)), demand, now)
					b.UpdatePeerLoad("entry-2", Load{"a": {Requests: random.IntN(3)}}, true, now)
				case 1:
					if i := random.IntN(8); i < len(held) {
						held[i].Release(ResultDone, now)
						held = slices.Delete(held, i, i+1)
					}
				default:
					req := b.request()
					req.Priority = priority
					if reportClasses {
						req.Organisation = "one"
					}
					reservation, queued, err := b.Submit(req, granted, now)
					switch {
					case reservation != nil:
						granted(reservation)
					case err != nil:
						decisions = append(decisions, fmt.Sprint("rejected, retry after ", RetryAfter(err, time.Second)))
					default:
						_, _, err = b.Review(queued, now)
						decisions = append(decisions, fmt.Sprint("queued ", err))
					}
				}
			}
			return decisions
		}
		if got, want := run(priority, true), run(0, false); !slices.Equal(got, want) {
			t.Fatalf("decisions %v, want %v", got, want)
		}
	})
}

package lab

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/virtual"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// initialHoldTime and initialTTFB are the dispatchers' initial estimates.
	initialHoldTime = time.Second
	initialTTFB     = 120 * time.Millisecond
	// stateInterval is the interval at which an agent reports the state of its server.
	stateInterval = 400 * time.Millisecond
	// inversionMinWait is how long a request must wait to count as overtaken: other boxes learn of it within an
	// allocation round.
	inversionMinWait = 100 * time.Millisecond
	// weightsVersion is the version that all servers have loaded.
	weightsVersion fleet.WeightsVersion = 1
)

// simulation is the state of one simulated run of a deployment.
type simulation struct {
	virtual.Timeline
	deployment *Deployment
	random     *rand.Rand
	boxes      []*box
	servers    []*engine
	serverList []fleet.Server
	byID       map[fleet.ServerID]*engine
	// burstFactor is the product of the factors of all current bursts.
	burstFactor float64
	// kindFactors are the products of the factors of the current bursts of single request kinds, by name.
	kindFactors map[string]float64
	// queued are the requests that wait for a slot at an entry box.
	queued  map[*request]struct{}
	result  *Result
	prompts prompts
}

// Run simulates a deployment with faults. The same seed gives the same result.
func Run(deployment *Deployment, faults []Fault, seed uint64) *Result {
	s := &simulation{
		deployment: deployment, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[fleet.ServerID]*engine), burstFactor: 1,
		kindFactors: make(map[string]float64), queued: make(map[*request]struct{}),
		result:  newResult(deployment),
		prompts: prompts{random: rand.New(rand.NewPCG(seed, 2))},
	}
	s.build()
	for i := range faults {
		s.scheduleFault(&faults[i])
	}
	for region := range deployment.Regions {
		for kind := range deployment.Kinds {
			s.scheduleArrival(region, &deployment.Kinds[kind])
		}
	}
	s.recordEvenness(&evennessRecorder{})
	s.Run(deployment.Duration + longestDeadline(deployment))
	return s.result
}

func longestDeadline(deployment *Deployment) time.Duration {
	longest := time.Duration(0)
	for i := range deployment.Kinds {
		longest = max(longest, deployment.Kinds[i].Deadline)
	}
	return longest
}

// build creates the servers and the entry boxes and starts them.
func (s *simulation) build() {
	for region, sizes := range s.deployment.Regions {
		for range sizes.Servers {
			e := &engine{
				Engine: s.deployment.Engine, id: fleet.ServerID(fmt.Sprintf("server-%d", len(s.servers))), region: region,
				timeline: &s.Timeline, up: true, accepting: true, slowdown: 1,
			}
			s.servers = append(s.servers, e)
			s.byID[e.id] = e
			s.serverList = append(s.serverList, fleet.Server{
				ID: e.id, Slots: e.Slots, Domain: domainOf(region),
				Models: []fleet.LoadedModel{{Name: "model", Version: weightsVersion}},
			})
		}
	}
	for region, sizes := range s.deployment.Regions {
		for range sizes.Boxes {
			b := &box{sim: s, id: member.BoxID(fmt.Sprintf("entry-%d", len(s.boxes))), region: region}
			s.boxes = append(s.boxes, b)
		}
	}
	s.assignCells()
	for _, b := range s.boxes {
		b.start()
	}
	for _, e := range s.servers {
		s.reportStatePeriodically(e)
	}
}

// assignCells assigns boxes and servers to cells. The boxes and servers of each region are divided evenly.
func (s *simulation) assignCells() {
	cells := s.deployment.Cells
	if cells == 0 {
		cells = member.CellCount(len(s.boxes), len(s.servers))
	}
	boxes, servers := make([][]member.BoxID, len(s.deployment.Regions)), make([][]fleet.ServerID, len(s.deployment.Regions))
	for _, b := range s.boxes {
		boxes[b.region] = append(boxes[b.region], b.id)
	}
	for _, e := range s.servers {
		servers[e.region] = append(servers[e.region], e.id)
	}
	boxCells, serverCells := make(map[member.BoxID]int), make(map[fleet.ServerID]int)
	for region := range s.deployment.Regions {
		maps.Copy(boxCells, member.AssignCells(boxes[region], cells))
		maps.Copy(serverCells, member.AssignCells(servers[region], cells))
	}
	for _, b := range s.boxes {
		for _, other := range s.boxes {
			if other != b && boxCells[other.id] == boxCells[b.id] {
				b.peers = append(b.peers, other)
			}
		}
		for _, server := range s.serverList {
			if serverCells[server.ID] == boxCells[b.id] {
				b.servers = append(b.servers, server)
				s.byID[server.ID].boxes = append(s.byID[server.ID].boxes, b)
			}
		}
	}
}

func domainOf(region int) member.FailureDomain {
	return member.FailureDomain(fmt.Sprintf("region-%d", region))
}

// delay returns the one-way delay of a message from one region to another or within one.
func (s *simulation) delay(from, to int) time.Duration {
	if from == to {
		return s.deployment.BoxDelay
	}
	return s.deployment.RegionDelay
}

// reportStatePeriodically reports a server's state to the entry boxes of its cell every stateInterval.
func (s *simulation) reportStatePeriodically(e *engine) {
	s.reportState(e)
	s.AfterFunc(stateInterval, func() { s.reportStatePeriodically(e) })
}

// reportState reports a server's state to the entry boxes of its cell, unless the server is down.
func (s *simulation) reportState(e *engine) {
	if !e.up {
		return
	}
	state := route.ServerState{
		Version: weightsVersion, Swapping: !e.accepting, Running: len(e.running), Waiting: len(e.queue), Slowdown: e.slowdown,
	}
	for _, b := range e.boxes {
		s.AfterFunc(s.delay(e.region, b.region), func() {
			if b.up {
				b.dispatcher.UpdateServer(e.id, state, s.Now())
			}
		})
	}
}

// trafficLevel returns the current traffic of a kind as a multiple of its PerSecond.
func (s *simulation) trafficLevel(kind *RequestKind) float64 {
	level := 1.0
	for _, step := range s.deployment.LoadSteps {
		if step.At <= s.Elapsed() {
			level = step.Level
		}
	}
	if factor, ok := s.kindFactors[kind.Name]; ok {
		level *= factor
	}
	return level * s.burstFactor
}

// scheduleArrival schedules the next new caller of a kind in a region.
func (s *simulation) scheduleArrival(region int, kind *RequestKind) {
	rate := kind.PerSecond * s.deployment.Regions[region].Share
	if rate <= 0 {
		return
	}
	// Arrivals are generated at the rate of maxLevel and thinned to the current level, so that a change of the traffic
	// takes effect immediately.
	const maxLevel = 4.0
	wait := s.random.ExpFloat64() / (rate * maxLevel)
	s.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
		if s.Elapsed() >= s.deployment.Duration {
			return
		}
		if s.random.Float64() < s.trafficLevel(kind)/maxLevel {
			newCaller(s, region, kind).send()
		}
		s.scheduleArrival(region, kind)
	})
}

// randomSize returns a random size, at least 1. It is log-normally distributed with the given mean; spread is the
// standard deviation of its natural logarithm, and 0 returns the mean.
func (s *simulation) randomSize(mean, spread float64) int {
	if spread <= 0 {
		return max(1, int(mean))
	}
	return max(1, int(mean*math.Exp(spread*s.random.NormFloat64()-spread*spread/2)))
}

// scheduleFault schedules the start and the end of a fault.
func (s *simulation) scheduleFault(f *Fault) {
	switch f.Kind {
	case FaultSwap:
		s.scheduleEach(f, s.randomSubset(len(s.servers), f.Share), func(i int) { s.swap(s.servers[i], f.Duration) })
	case FaultServersDown:
		s.scheduleEach(f, s.randomSubset(len(s.servers), f.Share), func(i int) { s.crash(s.servers[i], f.Duration) })
	case FaultServersSlow:
		s.scheduleEach(f, s.randomSubset(len(s.servers), f.Share), func(i int) {
			s.servers[i].slowdown = f.Factor
			s.AfterFunc(f.Duration, func() { s.servers[i].slowdown = 1 })
		})
	case FaultServersSilent:
		s.scheduleEach(f, s.randomSubset(len(s.servers), f.Share), func(i int) { s.servers[i].silentUntil = s.Now().Add(f.Duration) })
	case FaultServersRejecting:
		s.scheduleEach(f, s.randomSubset(len(s.servers), f.Share), func(i int) {
			s.servers[i].rejecting, s.servers[i].retryAfter = true, f.RetryAfter
			s.AfterFunc(f.Duration, func() { s.servers[i].rejecting = false })
		})
	case FaultServersFailing:
		s.scheduleEach(f, s.randomSubset(len(s.servers), f.Share), func(i int) {
			s.servers[i].failing = f.Factor
			s.AfterFunc(f.Duration, func() { s.servers[i].failing = 0 })
		})
	case FaultServersLimited:
		s.scheduleEach(f, s.randomSubset(len(s.servers), f.Share), func(i int) {
			s.servers[i].setLimit(f.Limit)
			s.AfterFunc(f.Duration, func() { s.servers[i].clearLimit(s.result) })
		})
	case FaultServersCold:
		s.scheduleEach(f, s.randomSubset(len(s.servers), f.Share), func(i int) { s.makeCold(s.servers[i], f.Limit, f.Duration) })
	case FaultBoxesDown:
		s.scheduleEach(f, s.randomSubset(len(s.boxes), f.Share), func(i int) {
			s.boxes[i].kill()
			s.AfterFunc(f.Duration, s.boxes[i].start)
		})
	case FaultBoxesPartitioned:
		s.scheduleEach(f, s.randomSubset(len(s.boxes), f.Share), func(i int) {
			s.boxes[i].partitioned, s.boxes[i].hadFault = true, true
			s.AfterFunc(f.Duration, func() { s.boxes[i].partitioned = false })
		})
	case FaultPartCrashes:
		s.AfterFunc(f.At, func() { s.prompts.crashShare = f.Share })
		s.AfterFunc(f.At+f.Duration, func() { s.prompts.crashShare = 0 })
	case FaultBurst:
		if f.RequestKind != "" {
			s.AfterFunc(f.At, func() { s.kindFactors[f.RequestKind] = f.Factor })
			s.AfterFunc(f.At+f.Duration, func() { delete(s.kindFactors, f.RequestKind) })
			return
		}
		s.AfterFunc(f.At, func() { s.burstFactor *= f.Factor })
		s.AfterFunc(f.At+f.Duration, func() { s.burstFactor /= f.Factor })
	}
}

// drawOrganisation returns the number of a random organisation; -1 if callers belong to none.
func (s *simulation) drawOrganisation() int {
	total := 0.0
	for _, rate := range s.deployment.Organisations {
		total += rate
	}
	if total == 0 {
		return -1
	}
	point := s.random.Float64() * total
	for i, rate := range s.deployment.Organisations {
		if point -= rate; point < 0 {
			return i
		}
	}
	return len(s.deployment.Organisations) - 1
}

// countInversions counts a request that is sent to a server while a more urgent one, which can still be in time, has
// waited for inversionMinWait at a box of the same cell.
func (s *simulation) countInversions(sent *request) {
	now := s.Now()
	for other := range s.queued {
		if other.caller.kind.Priority < sent.caller.kind.Priority && now.Sub(other.waitsFrom) >= inversionMinWait &&
			other.slotRequest.Objective.After(now) && (other.box == sent.box || slices.Contains(sent.box.peers, other.box)) {
			s.result.Inversions++
			return
		}
	}
}

// randomSubset returns the given share of the indexes from 0 to n-1 in random order, rounded up.
func (s *simulation) randomSubset(n int, share float64) []int {
	return s.random.Perm(n)[:min(n, int(math.Ceil(share*float64(n))))]
}

// scheduleEach schedules apply for each affected index, spread evenly over f.Spread.
func (s *simulation) scheduleEach(f *Fault, affected []int, apply func(i int)) {
	for position, i := range affected {
		s.AfterFunc(f.At+f.Spread*time.Duration(position)/time.Duration(len(affected)), func() { apply(i) })
	}
}

// swapNotice is the time between the report that a server stops accepting requests for a weight swap and the end of the
// requests that still run on it.
const swapNotice = 400 * time.Millisecond

// swap takes a server out of service for a weight swap. Requests that run after swapNotice are truncated, as they can
// continue on another server.
func (s *simulation) swap(e *engine, down time.Duration) {
	e.accepting = false
	s.reportState(e)
	s.AfterFunc(swapNotice, e.stop)
	s.AfterFunc(swapNotice+down, func() {
		e.accepting = true
		s.reportState(e)
	})
}

// crash stops a server until it restarts after down. Its agent keeps running and reports that no weights are loaded.
func (s *simulation) crash(e *engine, down time.Duration) {
	e.up = false
	e.stop()
	for _, b := range e.boxes {
		s.AfterFunc(s.delay(e.region, b.region), func() {
			if b.up {
				b.dispatcher.UpdateServer(e.id, route.ServerState{}, s.Now())
			}
		})
	}
	s.AfterFunc(down, func() {
		e.up = true
		s.reportState(e)
	})
}

package lab

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cinderslip/cinderslip/internal/virtual"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// initialHoldTime and initialTTFB are what dispatchers start from.
	initialHoldTime = time.Second
	initialTTFB     = 120 * time.Millisecond
	// stateInterval is how often an agent tells of its server if nothing changes.
	stateInterval = 400 * time.Millisecond
	// weightsVersion is the version that all servers have.
	weightsVersion fleet.WeightsVersion = 1
)

// simulation is one run of a deployment.
type simulation struct {
	virtual.Timeline
	deployment *Deployment
	random     *rand.Rand
	boxes      []*box
	servers    []*engine
	serverList []fleet.Server
	byID       map[fleet.ServerID]*engine
	// burstFactor multiplies the traffic.
	burstFactor float64
	result      *Result
}

// Run plays a deployment with faults. The same seed gives the same result.
func Run(deployment *Deployment, faults []Fault, seed uint64) *Result {
	w := &simulation{
		deployment: deployment, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[fleet.ServerID]*engine), burstFactor: 1,
		result: newResult(deployment),
	}
	w.build()
	for i := range faults {
		w.scheduleFault(&faults[i])
	}
	for region := range deployment.Regions {
		for kind := range deployment.Kinds {
			w.scheduleArrival(region, &deployment.Kinds[kind])
		}
	}
	w.Run(deployment.Duration + longestDeadline(deployment))
	return w.result
}

func longestDeadline(deployment *Deployment) time.Duration {
	longest := time.Duration(0)
	for i := range deployment.Kinds {
		longest = max(longest, deployment.Kinds[i].Deadline)
	}
	return longest
}

// build makes the servers and the entry boxes.
func (w *simulation) build() {
	for region, sizes := range w.deployment.Regions {
		for range sizes.Servers {
			e := &engine{
				Engine: w.deployment.Engine, id: fleet.ServerID(fmt.Sprintf("server-%d", len(w.servers))), region: region,
				timeline: &w.Timeline, up: true, accepting: true, slowdown: 1,
			}
			w.servers = append(w.servers, e)
			w.byID[e.id] = e
			w.serverList = append(w.serverList, fleet.Server{
				ID: e.id, Slots: e.Slots, Domain: domainOf(region),
				Models: []fleet.LoadedModel{{Name: "model", Version: weightsVersion}},
			})
		}
	}
	for region, sizes := range w.deployment.Regions {
		for range sizes.Boxes {
			b := &box{sim: w, id: member.BoxID(fmt.Sprintf("entry-%d", len(w.boxes))), region: region}
			w.boxes = append(w.boxes, b)
		}
	}
	w.assignCells()
	for _, b := range w.boxes {
		b.start()
	}
	for _, e := range w.servers {
		w.reportStatePeriodically(e)
	}
}

// assignCells makes the cells, an equal part of each region in each.
func (w *simulation) assignCells() {
	cells := w.deployment.Cells
	if cells == 0 {
		cells = member.CellCount(len(w.boxes), len(w.servers))
	}
	boxes, servers := make([][]member.BoxID, len(w.deployment.Regions)), make([][]fleet.ServerID, len(w.deployment.Regions))
	for _, b := range w.boxes {
		boxes[b.region] = append(boxes[b.region], b.id)
	}
	for _, e := range w.servers {
		servers[e.region] = append(servers[e.region], e.id)
	}
	ofBox, ofServer := make(map[member.BoxID]int), make(map[fleet.ServerID]int)
	for region := range w.deployment.Regions {
		maps.Copy(ofBox, member.AssignCells(boxes[region], cells))
		maps.Copy(ofServer, member.AssignCells(servers[region], cells))
	}
	for _, b := range w.boxes {
		for _, other := range w.boxes {
			if other != b && ofBox[other.id] == ofBox[b.id] {
				b.peers = append(b.peers, other)
			}
		}
		for _, server := range w.serverList {
			if ofServer[server.ID] == ofBox[b.id] {
				b.servers = append(b.servers, server)
				w.byID[server.ID].boxes = append(w.byID[server.ID].boxes, b)
			}
		}
	}
}

func domainOf(region int) member.FailureDomain {
	return member.FailureDomain(fmt.Sprintf("region-%d", region))
}

// delay is the time of a message between two regions, one way.
func (w *simulation) delay(from, to int) time.Duration {
	if from == to {
		return w.deployment.BoxDelay
	}
	return w.deployment.RegionDelay
}

// reportStatePeriodically tells the entry boxes of its cell of a server now and then.
func (w *simulation) reportStatePeriodically(e *engine) {
	w.reportState(e)
	w.AfterFunc(stateInterval, func() { w.reportStatePeriodically(e) })
}

// reportState tells the entry boxes of its cell of a server.
func (w *simulation) reportState(e *engine) {
	if !e.up {
		return
	}
	state := route.ServerState{
		Version: weightsVersion, Swapping: !e.accepting, Running: len(e.running), Waiting: len(e.queue), Slowdown: e.slowdown,
	}
	for _, b := range e.boxes {
		w.AfterFunc(w.delay(e.region, b.region), func() {
			if b.up {
				b.dispatcher.UpdateServer(e.id, state, w.Now())
			}
		})
	}
}

// trafficLevel is the present traffic as a part of the kinds' rates.
func (w *simulation) trafficLevel() float64 {
	level := 1.0
	for _, step := range w.deployment.LoadSteps {
		if step.At <= w.Elapsed() {
			level = step.Level
		}
	}
	return level * w.burstFactor
}

// scheduleArrival plans the next first request of a kind from a region.
func (w *simulation) scheduleArrival(region int, kind *RequestKind) {
	rate := kind.PerSecond * w.deployment.Regions[region].Share
	if rate <= 0 {
		return
	}
	// Drawn at the highest rate and thinned out, so that a change of the traffic takes
	// effect at once.
	const highest = 4.0
	wait := w.random.ExpFloat64() / (rate * highest)
	w.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
		if w.Elapsed() >= w.deployment.Duration {
			return
		}
		if w.random.Float64() < w.trafficLevel()/highest {
			newCaller(w, region, kind).send()
		}
		w.scheduleArrival(region, kind)
	})
}

// randomSize returns a size with a mean and a spread of its logarithm.
func (w *simulation) randomSize(mean, spread float64) int {
	if spread <= 0 {
		return max(1, int(mean))
	}
	return max(1, int(mean*math.Exp(spread*w.random.NormFloat64()-spread*spread/2)))
}

// scheduleFault lets a fault happen.
func (w *simulation) scheduleFault(f *Fault) {
	switch f.Kind {
	case FaultSwap:
		w.scheduleEach(f, w.randomSubset(len(w.servers), f.Share), func(i int) { w.swap(w.servers[i], f.Duration) })
	case FaultServersDown:
		w.scheduleEach(f, w.randomSubset(len(w.servers), f.Share), func(i int) { w.crash(w.servers[i], f.Duration) })
	case FaultServersSlow:
		w.scheduleEach(f, w.randomSubset(len(w.servers), f.Share), func(i int) {
			w.servers[i].slowdown = f.Factor
			w.AfterFunc(f.Duration, func() { w.servers[i].slowdown = 1 })
		})
	case FaultServersRejecting:
		w.scheduleEach(f, w.randomSubset(len(w.servers), f.Share), func(i int) {
			w.servers[i].rejecting, w.servers[i].retryAfter = true, f.RetryAfter
			w.AfterFunc(f.Duration, func() { w.servers[i].rejecting = false })
		})
	case FaultServersLimited:
		w.scheduleEach(f, w.randomSubset(len(w.servers), f.Share), func(i int) {
			w.servers[i].setLimit(f.Limit)
			w.AfterFunc(f.Duration, func() { w.servers[i].clearLimit(w.result) })
		})
	case FaultBoxesDown:
		w.scheduleEach(f, w.randomSubset(len(w.boxes), f.Share), func(i int) {
			w.boxes[i].kill()
			w.AfterFunc(f.Duration, w.boxes[i].start)
		})
	case FaultBoxesPartitioned:
		w.scheduleEach(f, w.randomSubset(len(w.boxes), f.Share), func(i int) {
			w.boxes[i].partitioned, w.boxes[i].hadFault = true, true
			w.AfterFunc(f.Duration, func() { w.boxes[i].partitioned = false })
		})
	case FaultBurst:
		w.AfterFunc(f.At, func() { w.burstFactor *= f.Factor })
		w.AfterFunc(f.At+f.Duration, func() { w.burstFactor /= f.Factor })
	}
}

// randomSubset draws a part of n things.
func (w *simulation) randomSubset(n int, share float64) []int {
	return w.random.Perm(n)[:min(n, int(math.Ceil(share*float64(n))))]
}

func (w *simulation) scheduleEach(f *Fault, struck []int, strike func(i int)) {
	for place, i := range struck {
		w.AfterFunc(f.At+f.Spread*time.Duration(place)/time.Duration(len(struck)), func() { strike(i) })
	}
}

// swapNotice is how long before it takes nothing any more the entry boxes are told that
// a server is swapped.
const swapNotice = 400 * time.Millisecond

// swap takes a server out for new weights: what runs is cut, as it can go on elsewhere.
func (w *simulation) swap(e *engine, down time.Duration) {
	e.accepting = false
	w.reportState(e)
	w.AfterFunc(swapNotice, e.stop)
	w.AfterFunc(swapNotice+down, func() {
		e.accepting = true
		w.reportState(e)
	})
}

// crash ends a server. Its agent stays and tells that it holds nothing.
func (w *simulation) crash(e *engine, down time.Duration) {
	e.up = false
	e.stop()
	for _, b := range e.boxes {
		w.AfterFunc(w.delay(e.region, b.region), func() {
			if b.up {
				b.dispatcher.UpdateServer(e.id, route.ServerState{}, w.Now())
			}
		})
	}
	w.AfterFunc(down, func() {
		e.up = true
		w.reportState(e)
	})
}

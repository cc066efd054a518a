// Package route takes a request from its arrival to its outcome: which box gets
// it, when it is admitted, whether it may be tried again, and what may truthfully
// be said of it afterwards.
//
// Router chooses among the boxes that have the right version live, by the better
// of two drawn at random. Admission queues per group in order of work served
// over weight. Once is the agent's last gate: a request id runs at most once, and
// one that was settled before it started never starts. Budget limits retries.
//
// # Usage
//
//	router := route.NewRouter("kita")
//	router.Set(record) // each member.Record as it changes
//	target, ok := router.Pick(route.Place{Service: "kakiwake", Version: "v1"}, nil, now)
//	target.Start()
//	defer target.Release()
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// ServiceVersion is what a request asks for. Version is empty for a plain service.
type ServiceVersion struct {
	Service member.Service
	Version table.ModelVersion
}

// Target is a box that may get requests.
type Target struct {
	Box         member.BoxID
	Address     member.Address
	Incarnation member.Incarnation
	// Remote is set for boxes of another region; they are used only when no
	// near one is left.
	Remote bool

	inFlight atomic.Int64
	// reportedLoad is the box's own count of work, told with its answers.
	reportedLoad atomic.Int64
	reportedAt   atomic.Int64
	ejectedUntil atomic.Int64
	failures     atomic.Int32
	silenced     chan struct{}
}

// The bounds of ejection.
const (
	boxEjectInitial = 500 * time.Millisecond
	boxEjectMax     = 10 * time.Second
	// loadHalfLife is how fast a reported load loses its say.
	loadHalfLife = time.Second
	// remoteCost makes a near box with some work better than an idle far one.
	remoteCost = 4
	// maxDraws bounds how often a second candidate is drawn to replace one that
	// may not be used.
	maxDraws = 8
)

// Start counts a request; Release ends it.
func (t *Target) Start() { t.inFlight.Add(1) }

// Release ends a request counted by Start.
func (t *Target) Release() { t.inFlight.Add(-1) }

// InFlight returns the requests that this process has on the box.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }

// Silenced returns a channel that is closed when the box is marked silent.
func (t *Target) Silenced() <-chan struct{} { return t.silenced }

// ReportLoad notes the load that the box told.
func (t *Target) ReportLoad(load int, now time.Time) {
	t.reportedLoad.Store(int64(load))
	t.reportedAt.Store(now.UnixNano())
}

// Failed ejects the box for a time that doubles with each failure in a row.
func (t *Target) Failed(now time.Time) {
	count := min(t.failures.Add(1), 16)
	wait := min(boxEjectInitial<<(count-1), boxEjectMax)
	t.ejectedUntil.Store(now.Add(wait).UnixNano())
}

// Succeeded ends the row of failures.
func (t *Target) Succeeded() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.ejectedUntil.Store(0)
	}
}

func (t *Target) isEjected(now int64) bool { return t.ejectedUntil.Load() > now }

// cost is the work expected before a new request: one's own in full, and of what
// the box reported the part above it, halved for each half-life of its age.
func (t *Target) cost(now int64) float64 {
	own := float64(t.inFlight.Load())
	cost := own
	if extra := float64(t.reportedLoad.Load()) - own; extra > 0 {
		age := float64(now-t.reportedAt.Load()) / float64(loadHalfLife)
		cost += extra / (1 + age)
	}
	if t.Remote {
		cost += remoteCost
	}
	return cost
}

// Router holds the boxes by what they answer. It is safe for concurrent use.
type Router struct {
	region member.Region

	mu      sync.RWMutex
	targets map[ServiceVersion][]*Target
	boxes   map[member.BoxID]*routedBox
}

// routedBox is a box with the places it stands in.
type routedBox struct {
	target *Target
	serves []ServiceVersion
}

// NewRouter returns a router without boxes for callers in a region.
func NewRouter(region member.Region) *Router {
	return &Router{
		region:  region,
		targets: make(map[ServiceVersion][]*Target),
		boxes:   make(map[member.BoxID]*routedBox),
	}
}

// Set brings the router in line with a box's newest record. Only the places of
// that box are touched. Requests in flight keep their targets, and the counts of
// a box survive until its next incarnation.
func (r *Router) Set(record member.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.boxes[record.Box]
	if record.Role != member.RoleAgent || record.Status != member.StatusUp {
		r.remove(record.Box, before)
		if before != nil && record.Status == member.StatusSilent {
			close(before.target.silenced)
		}
		return
	}
	after := &routedBox{target: r.target(record, before), serves: servedBy(record)}
	if before != nil && before.target == after.target && slices.Equal(before.serves, after.serves) {
		return
	}
	r.remove(record.Box, before)
	for _, place := range after.serves {
		r.targets[place] = append(r.targets[place], after.target)
	}
	r.boxes[record.Box] = after
}

// Remove takes a box out.
func (r *Router) Remove(box member.BoxID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(box, r.boxes[box])
}

func (r *Router) remove(box member.BoxID, held *routedBox) {
	if held == nil {
		return
	}
	for _, place := range held.serves {
		r.targets[place] = slices.DeleteFunc(r.targets[place], func(t *Target) bool { return t == held.target })
		if len(r.targets[place]) == 0 {
			delete(r.targets, place)
		}
	}
	delete(r.boxes, box)
}

func (r *Router) target(record member.Record, before *routedBox) *Target {
	if before != nil && before.target.Incarnation == record.Incarnation && before.target.Address == record.Peers {
		return before.target
	}
	return &Target{
		Box: record.Box, Address: record.Peers, Incarnation: record.Incarnation,
		Remote:   record.Region != r.region,
		silenced: make(chan struct{}),
	}
}

func servedBy(record member.Record) []ServiceVersion {
	var places []ServiceVersion
	for _, held := range record.Copies {
		if held.Phase == member.PhaseLive {
			places = append(places, ServiceVersion{Service: member.Service(held.Model), Version: held.Version})
		}
	}
	for _, service := range record.Services {
		places = append(places, ServiceVersion{Service: service})
	}
	return places
}

// Count returns how many boxes answer a place.
func (r *Router) Count(place ServiceVersion) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.targets[place])
}

// Pick chooses a box, leaving out those already tried. Ejected boxes are used
// only when no other is left, so that ejection alone never refuses a request.
func (r *Router) Pick(place ServiceVersion, tried []member.BoxID, now time.Time) (*Target, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	targets := r.targets[place]
	nanos := now.UnixNano()
	first := drawUsable(targets, tried, nil, nanos)
	if first == nil {
		return firstToReturn(targets, tried)
	}
	second := drawUsable(targets, tried, first, nanos)
	if second != nil && second.cost(nanos) < first.cost(nanos) {
		return second, true
	}
	return first, true
}

// drawUsable takes a random usable target. After a few misses it scans from a random
// place, so that a single usable one is always found.
func drawUsable(targets []*Target, tried []member.BoxID, not *Target, now int64) *Target {
	if len(targets) == 0 {
		return nil
	}
	usable := func(t *Target) bool {
		return t != not && !t.isEjected(now) && !slices.Contains(tried, t.Box)
	}
	for range maxDraws {
		if t := targets[rand.IntN(len(targets))]; usable(t) {
			return t
		}
	}
	offset := rand.IntN(len(targets))
	for i := range targets {
		if t := targets[(offset+i)%len(targets)]; usable(t) {
			return t
		}
	}
	return nil
}

func firstToReturn(targets []*Target, tried []member.BoxID) (*Target, bool) {
	var best *Target
	for _, t := range targets {
		if slices.Contains(tried, t.Box) {
			continue
		}
		if best == nil || t.ejectedUntil.Load() < best.ejectedUntil.Load() {
			best = t
		}
	}
	return best, best != nil
}

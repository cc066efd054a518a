// Package route decides where and when a request runs, from its arrival to its outcome: which box or backend server it
// is sent to, when it is admitted, whether it may be retried, and whether it is known to have run.
//
// Router picks a box among those that have the requested version live, the better of two random ones. Admission queues
// the requests of each group and shares the slots by weight. DedupRegistry is the last check on an agent: a request id
// runs at most once, and an attempt that was settled before it started never starts. RetryBudget limits the retries.
// Dispatcher shares the slots of a service's backend servers among several entry boxes. Quarantine blocks requests
// under which backend servers have exited.
//
// # Usage
//
//	router := route.NewRouter("kita")
//	router.Set(record) // each member.Record as it changes
//	target, ok := router.Pick(route.ServiceVersion{Service: "kakiwake", Version: "v1"}, nil, now)
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

// ServiceVersion is the service and the version that a request is for. Version is empty for a plain service.
type ServiceVersion struct {
	Service member.Service
	Version table.ModelVersion
}

// Target is a box to which requests can be sent. It is safe for concurrent use.
type Target struct {
	Box         member.BoxID
	Address     member.Address
	Incarnation member.Incarnation
	// Remote is set for boxes of another region. Their cost is higher by remoteCost.
	Remote bool

	inFlight atomic.Int64
	// reportedLoad is the load that the box reported with its latest response; reportedAt is the Unix time in
	// nanoseconds at which it did.
	reportedLoad atomic.Int64
	reportedAt   atomic.Int64
	// ejectedUntil is the end of the ejection as a Unix time in nanoseconds; 0 if the box is not ejected.
	ejectedUntil atomic.Int64
	// failures is the number of ejections since the last success.
	failures atomic.Int32

	mu sync.Mutex
	// silenced is closed while the box is marked silent, and replaced when the box refutes the mark.
	silenced chan struct{}
}

const (
	// boxEjectInitial is the ejection time after the first failure; it doubles up to boxEjectMax.
	boxEjectInitial = 500 * time.Millisecond
	boxEjectMax     = 10 * time.Second
	// loadHalfLife is the age at which a reported load has half of its initial weight.
	loadHalfLife = time.Second
	// remoteCost, in requests, makes a local box with a few requests cheaper than an idle remote one.
	remoteCost = 4
	// maxDraws is the number of random draws before all targets are scanned for a usable one.
	maxDraws = 8
)

// Start counts a request in flight. Release must be called when it ends.
func (t *Target) Start() { t.inFlight.Add(1) }

// Release removes a request that was counted by Start.
func (t *Target) Release() { t.inFlight.Add(-1) }

// InFlight returns the number of requests that this process has in flight on the box.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }

// Silenced returns a channel that is closed when the box is marked silent. After the box has refuted the mark, it
// returns another one.
func (t *Target) Silenced() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silenced
}

// IsSilent reports whether the box is marked silent.
func (t *Target) IsSilent() bool {
	select {
	case <-t.Silenced():
		return true
	default:
		return false
	}
}

// isProcessOf reports whether a record describes the process of the target.
func (t *Target) isProcessOf(record member.Record) bool {
	return t.Incarnation == record.Incarnation && t.Address == record.Peers
}

func (t *Target) markSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.silenced)
}

func (t *Target) refuteSilence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silenced = make(chan struct{})
}

// ReportLoad records the load that the box has reported, in requests.
func (t *Target) ReportLoad(load int, now time.Time) {
	t.reportedLoad.Store(int64(load))
	t.reportedAt.Store(now.UnixNano())
}

// Failed ejects the box for a time that doubles with each consecutive failure. Failures during an ejection are not
// counted, because attempts that were in flight fail in the same period without a connection.
func (t *Target) Failed(now time.Time) {
	until := t.ejectedUntil.Load()
	if until > now.UnixNano() {
		return
	}
	failures := t.failures.Load()
	wait := min(boxEjectInitial<<min(failures, 15), boxEjectMax)
	// Of two attempts that fail at once, one ejects the box.
	if t.ejectedUntil.CompareAndSwap(until, now.Add(wait).UnixNano()) {
		t.failures.Add(1)
	}
}

// Succeeded resets the consecutive failures and ends the ejection.
func (t *Target) Succeeded() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.ejectedUntil.Store(0)
	}
}

func (t *Target) isEjected(now int64) bool { return t.ejectedUntil.Load() > now }

// cost returns the load of the box as seen by a new request, in requests: those of this process, plus the excess of the
// reported load over them divided by 1 + age/loadHalfLife, plus remoteCost for a remote box.
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

// Router picks boxes by the service and version that they serve. It is safe for concurrent use.
type Router struct {
	region member.Region

	mu      sync.RWMutex
	targets map[ServiceVersion][]*Target
	boxes   map[member.BoxID]*routedBox
	// silent holds the targets of boxes that are marked silent, which requests in flight keep.
	silent map[member.BoxID]*Target
}

// routedBox is a box with the versions that it serves.
type routedBox struct {
	target *Target
	serves []ServiceVersion
}

// NewRouter returns a Router without boxes, for requests from a region.
func NewRouter(region member.Region) *Router {
	return &Router{
		region:  region,
		targets: make(map[ServiceVersion][]*Target),
		boxes:   make(map[member.BoxID]*routedBox),
		silent:  make(map[member.BoxID]*Target),
	}
}

// Set updates the router with the latest record of a box. It changes only the entries of that box. Requests in flight
// keep their target, and the counts of a box are kept until its incarnation or its address changes, also while it is
// marked silent.
func (r *Router) Set(record member.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.boxes[record.Box]
	if record.Role != member.RoleAgent || record.Status != member.StatusUp {
		r.remove(record.Box, before)
		if before != nil && record.Status == member.StatusSilent {
			before.target.markSilent()
			r.silent[record.Box] = before.target
		}
		return
	}
	after := &routedBox{target: r.target(record, before), serves: servedBy(record)}
	if before != nil && before.target == after.target && slices.Equal(before.serves, after.serves) {
		return
	}
	r.remove(record.Box, before)
	for _, version := range after.serves {
		r.targets[version] = append(r.targets[version], after.target)
	}
	r.boxes[record.Box] = after
}

// Remove removes a box.
func (r *Router) Remove(box member.BoxID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(box, r.boxes[box])
	delete(r.silent, box)
}

func (r *Router) remove(box member.BoxID, routed *routedBox) {
	if routed == nil {
		return
	}
	for _, version := range routed.serves {
		r.targets[version] = slices.DeleteFunc(r.targets[version], func(t *Target) bool { return t == routed.target })
		if len(r.targets[version]) == 0 {
			delete(r.targets, version)
		}
	}
	delete(r.boxes, box)
}

// target returns the existing target of a box if it is still the same process, and a new one otherwise.
func (r *Router) target(record member.Record, before *routedBox) *Target {
	if before != nil && before.target.isProcessOf(record) {
		return before.target
	}
	silent := r.silent[record.Box]
	delete(r.silent, record.Box)
	if silent != nil && silent.isProcessOf(record) {
		silent.refuteSilence()
		return silent
	}
	return &Target{
		Box: record.Box, Address: record.Peers, Incarnation: record.Incarnation,
		Remote:   record.Region != r.region,
		silenced: make(chan struct{}),
	}
}

// servedBy returns the live versions and the plain services of a box.
func servedBy(record member.Record) []ServiceVersion {
	var versions []ServiceVersion
	for _, replica := range record.Copies {
		if replica.Phase == member.PhaseLive {
			versions = append(versions, ServiceVersion{Service: member.Service(replica.Model), Version: replica.Version})
		}
	}
	for _, service := range record.Services {
		versions = append(versions, ServiceVersion{Service: service})
	}
	return versions
}

// Count returns the number of boxes that serve a version.
func (r *Router) Count(version ServiceVersion) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.targets[version])
}

// Pick picks a box that has not been tried. Ejected boxes are used only if there is no other, so that a request is
// never rejected because of ejections alone. The result is false if no box is left.
func (r *Router) Pick(version ServiceVersion, tried []member.BoxID, now time.Time) (*Target, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	targets := r.targets[version]
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

// drawUsable returns a random target that is neither ejected, tried nor excluded; nil if there is none. After maxDraws
// unusable ones, it scans all targets from a random offset, so that it finds a usable one if there is any.
func drawUsable(targets []*Target, tried []member.BoxID, excluded *Target, now int64) *Target {
	if len(targets) == 0 {
		return nil
	}
	usable := func(t *Target) bool {
		return t != excluded && !t.isEjected(now) && !slices.Contains(tried, t.Box)
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

// firstToReturn returns the untried target whose ejection ends first.
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

package weights

import (
	"slices"
	"time"
)

// OriginSchedule orders the fetches of all versions that a box downloads from the origin. It handles several versions
// that are wanted at once and an origin that becomes unavailable: if every box fetched whatever it lacks as soon as
// the origin responds, all chunks would share the origin's link, connections would be dropped, and all versions would
// be complete late.
//
// Each box computes the schedule from facts that all boxes have: the published versions, their cutoffs, the layout and
// the rate of the origin's link. During an outage the boxes exchange the chunks that they hold, so after it they lack
// the same chunks. Boxes need no further messages to agree. It is not safe for concurrent use.
type OriginSchedule struct {
	options OriginScheduleOptions
	// versions are in the order in which the origin is to send them.
	versions []*scheduledVersion
	// failures is the number of consecutive failed fetches, over all versions.
	failures    int
	unavailable bool
	// changes counts the changes of the schedule.
	changes int
}

// OriginScheduleOptions configures an OriginSchedule.
type OriginScheduleOptions struct {
	// Interval is the transfer time of one chunk over the origin's link.
	Interval time.Duration
	// LoadTime is the time from the last chunk of a version on the origin's link until servers run it.
	LoadTime time.Duration
	// MaxLag is the age of a version up to which its fetches are scheduled from its publication. A box that is later
	// finds most chunks at other boxes.
	MaxLag time.Duration
}

// WantedVersion is a version that is to be downloaded.
type WantedVersion struct {
	Version string
	Chunks  int
	// PublishedAt is when the version was published; zero if that is not known.
	PublishedAt time.Time
	// Cutoff is when the version may start no more requests because of a newer one; zero for the newest version.
	Cutoff time.Time
}

// VersionSchedule is the part of the schedule that concerns one version.
type VersionSchedule struct {
	// Start is when the origin's link is available to the version.
	Start time.Time
	// Positions are the chunks to fetch in their order, or nil for all chunks in the order of their indexes.
	Positions []int
	// TimeAhead is how long the chunks of the versions before this one occupy the link.
	TimeAhead time.Duration
	// IsDeferred is set while this box lacks chunks of a version before this one. Its links are left to that version.
	IsDeferred bool
	// OriginUnavailable is set while the origin is unavailable.
	OriginUnavailable bool
}

type scheduledVersion struct {
	WantedVersion
	start time.Time
	// begun is when the first box began to fetch the version; it differs from start on a box that is late.
	begun time.Time
	// unheld are the chunks that no known box held when the origin was last found unavailable; nil before that.
	unheld []int
	// complete is set once this box holds all chunks.
	complete bool
}

// outageFailures is the number of consecutive failed fetches after which the origin counts as unavailable. A single
// one is often a connection that the origin dropped at its limit.
const outageFailures = 2

// NewOriginSchedule returns a schedule without versions.
func NewOriginSchedule(options OriginScheduleOptions) *OriginSchedule {
	return &OriginSchedule{options: options}
}

// Changes returns a number that grows with each change of the schedule.
func (s *OriginSchedule) Changes() int { return s.changes }

// SetVersions sets the wanted versions, the oldest first. servingUntil is the cutoff of the version that the servers
// run; it is zero if they run none. The schedule is arranged again only if the versions have changed.
func (s *OriginSchedule) SetVersions(wanted []WantedVersion, servingUntil, now time.Time) {
	next := make([]*scheduledVersion, 0, len(wanted))
	changed := len(wanted) != len(s.versions)
	for _, w := range wanted {
		v := s.version(w.Version)
		if v == nil {
			v, changed = s.newVersion(&w, now), true
		}
		v.WantedVersion = w
		next = append(next, v)
	}
	if !changed {
		return
	}
	s.versions = next
	s.arrange(servingUntil, now)
}

// newVersion returns a version that is alone in the schedule.
func (s *OriginSchedule) newVersion(w *WantedVersion, now time.Time) *scheduledVersion {
	v := &scheduledVersion{start: w.PublishedAt, begun: w.PublishedAt}
	age := now.Sub(w.PublishedAt)
	if w.PublishedAt.IsZero() || age < 0 {
		v.start, v.begun = now, now
	}
	if age > s.options.MaxLag {
		v.start = now
	}
	return v
}

// arrange orders the versions and assigns them consecutive periods on the link. A version whose period has begun keeps
// its start if it remains first.
func (s *OriginSchedule) arrange(servingUntil, now time.Time) {
	s.versions = s.bestOrder(servingUntil, now)
	var free time.Time
	for _, v := range s.versions {
		v.start = later(v.start, free)
		free = v.start.Add(time.Duration(v.count()) * s.options.Interval)
	}
	s.changes++
}

// count returns the number of chunks in the version's period.
func (v *scheduledVersion) count() int {
	if v.unheld != nil {
		return len(v.unheld)
	}
	return v.Chunks
}

// remaining returns how long the version still occupies the link from now on.
func (s *OriginSchedule) remaining(v *scheduledVersion, now time.Time) time.Duration {
	total := time.Duration(v.count()) * s.options.Interval
	if v.start.After(now) {
		return total
	}
	return min(total, max(0, v.begun.Add(total).Sub(now)))
}

const (
	// maxOrdered is the number of versions, the newest, of which all orders are compared. Older ones come last.
	maxOrdered = 3
	// orderTolerance is how much better an order must be than one with the newer versions first. Boxes know the times
	// and the missing chunks less precisely, and have to agree.
	orderTolerance = 500 * time.Millisecond
)

// bestOrder returns the order of the versions with which servers are without usable weights for the shortest time.
// Among orders that differ by at most orderTolerance the newer versions come first, unless another order has its first
// version complete sooner by more than that, which protects against an origin that becomes unavailable. A version that
// cannot be loaded before its cutoff thus comes last.
func (s *OriginSchedule) bestOrder(servingUntil, now time.Time) []*scheduledVersion {
	slices.SortStableFunc(s.versions, func(a, b *scheduledVersion) int { return a.PublishedAt.Compare(b.PublishedAt) })
	newest := max(0, len(s.versions)-maxOrdered)
	older, candidates := s.versions[:newest], slices.Clone(s.versions[newest:])
	slices.Reverse(candidates)
	var best []*scheduledVersion
	var bestOutage, bestFirst time.Duration
	eachOrder(candidates, func(order []*scheduledVersion) {
		outage, first := s.outage(order, servingUntil, now)
		shorter := outage < bestOutage-orderTolerance
		sooner := outage <= bestOutage+orderTolerance && first < bestFirst-orderTolerance
		if best == nil || shorter || sooner {
			best, bestOutage, bestFirst = slices.Clone(order), outage, first
		}
	})
	return append(best, older...)
}

// eachOrder calls yield with each order of the versions, the given one first.
func eachOrder(versions []*scheduledVersion, yield func([]*scheduledVersion)) {
	order := make([]*scheduledVersion, 0, len(versions))
	var extend func(rest []*scheduledVersion)
	extend = func(rest []*scheduledVersion) {
		if len(rest) == 0 {
			yield(order)
			return
		}
		for i, v := range rest {
			order = append(order, v)
			extend(slices.Concat(rest[:i], rest[i+1:]))
			order = order[:len(order)-1]
		}
	}
	extend(versions)
}

// outage returns for how long servers are without usable weights if the origin sends the versions in an order, and how
// long it takes until the first one that they can load before its cutoff is complete.
func (s *OriginSchedule) outage(order []*scheduledVersion, servingUntil, now time.Time) (outage, first time.Duration) {
	usableUntil, complete := later(servingUntil, now), now
	first = -1
	for _, v := range order {
		complete = complete.Add(s.remaining(v, now))
		loaded := complete.Add(s.options.LoadTime)
		if !v.Cutoff.IsZero() && !v.Cutoff.After(loaded) {
			continue
		}
		if first < 0 {
			first = complete.Sub(now)
		}
		outage += max(0, loaded.Sub(usableUntil))
		if v.Cutoff.IsZero() {
			return outage, first
		}
		usableUntil = later(usableUntil, v.Cutoff)
	}
	return outage, first
}

func (s *OriginSchedule) version(name string) *scheduledVersion {
	for _, v := range s.versions {
		if v.Version == name {
			return v
		}
	}
	return nil
}

// Version returns the schedule of one version. ok is false if the version is not wanted.
func (s *OriginSchedule) Version(name string) (schedule VersionSchedule, ok bool) {
	timeAhead, deferred := time.Duration(0), false
	for _, v := range s.versions {
		if v.Version == name {
			return VersionSchedule{Start: v.start, Positions: v.unheld, TimeAhead: timeAhead, IsDeferred: deferred, OriginUnavailable: s.unavailable}, true
		}
		deferred = deferred || !v.complete
		timeAhead += time.Duration(v.count()) * s.options.Interval
	}
	return VersionSchedule{}, false
}

// SetComplete records that this box needs no more chunks of a version.
func (s *OriginSchedule) SetComplete(name string) {
	if v := s.version(name); v != nil {
		v.complete, v.unheld = true, []int{}
	}
}

// IsUnavailable reports whether the origin is unavailable.
func (s *OriginSchedule) IsUnavailable() bool { return s.unavailable }

// FetchFailed records a fetch that the origin did not respond to, and reports whether the origin now counts as unavailable
// and did not before.
func (s *OriginSchedule) FetchFailed() bool {
	s.failures++
	return s.failures >= outageFailures && s.beginOutage()
}

// beginOutage makes the origin count as unavailable, and reports whether it did not before.
func (s *OriginSchedule) beginOutage() bool {
	if s.unavailable {
		return false
	}
	s.unavailable = true
	s.changes++
	return true
}

// RecordShortage records, while the origin is unavailable, which chunks of a version no known box holds. It reports whether
// the origin now counts as unavailable and did not before: a box whose own fetches come later does not try the origin.
func (s *OriginSchedule) RecordShortage(name string, shortage *Shortage) bool {
	lost := shortage.Stalled && s.beginOutage()
	if v := s.version(name); v != nil && s.unavailable && !v.complete {
		v.unheld = append([]int{}, shortage.Unheld...)
	}
	return lost
}

// EndOutage records that the origin responds, or that a chunk has been received that no known box held, and reports
// whether the origin was unavailable before. The missing chunks are then scheduled again from now on.
func (s *OriginSchedule) EndOutage(servingUntil, now time.Time) bool {
	s.failures = 0
	if !s.unavailable {
		return false
	}
	s.unavailable = false
	for _, v := range s.versions {
		v.start, v.begun = now, now
	}
	s.arrange(servingUntil, now)
	return true
}

// ScheduledPeriod is the period of one version on the origin's link.
type ScheduledPeriod struct {
	Version string
	Start   time.Time
	// Chunks is the number of chunks to send in the period.
	Chunks int
}

// Order returns the periods of all versions in the order in which the origin is to send them.
func (s *OriginSchedule) Order() []ScheduledPeriod {
	periods := make([]ScheduledPeriod, 0, len(s.versions))
	for _, v := range s.versions {
		periods = append(periods, ScheduledPeriod{Version: v.Version, Start: v.start, Chunks: v.count()})
	}
	return periods
}

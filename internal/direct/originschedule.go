package direct

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// versionLoadTime is the expected time from the last chunk of a version on the origin's link until servers run it:
	// the chunk passes to all agents, which verify the staged chunks and have them loaded.
	versionLoadTime = 1500 * time.Millisecond
	// lateChunkSpread is how long after the start of an outage of the origin chunks that it sent before still arrive at
	// agents. Until then such a chunk is no sign that the origin has returned.
	lateChunkSpread = 1500 * time.Millisecond
)

// originSchedule is the schedule of the origin fetches of one agent, for all its downloads. It is safe for concurrent
// use.
type originSchedule struct {
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics

	mu       sync.Mutex
	schedule *weights.OriginSchedule
	interval time.Duration
	// servingUntil is the cutoff of the version that most servers run; zero if they run none.
	servingUntil     time.Time
	unavailableSince time.Time
}

// setTarget updates the schedule from the published versions. It has no schedule while the rate of the origin's link is
// not known; the downloads of the versions are then independent of each other.
func (o *originSchedule) setTarget(desired *target, versionBound time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	interval := originInterval(desired)
	if interval != o.interval || o.schedule == nil {
		o.interval, o.schedule = interval, nil
		if interval == 0 {
			return
		}
		o.schedule = weights.NewOriginSchedule(weights.OriginScheduleOptions{Interval: interval, LoadTime: versionLoadTime, MaxLag: maxScheduleLag})
	}
	served := servedVersion(desired)
	o.servingUntil, _ = desired.published.CutoffTime(served, versionBound)
	now, before := o.clock.Now(), o.schedule.Changes()
	o.schedule.SetVersions(wantedVersions(desired, served, versionBound), o.servingUntil, now)
	if o.schedule.Changes() != before {
		o.logOrder("origin fetches scheduled", now)
	}
}

// servedVersion returns the version that most of the servers with weights have loaded; 0 if none has any.
func servedVersion(desired *target) fleet.WeightsVersion {
	counts, most := make(map[fleet.WeightsVersion]int), fleet.WeightsVersion(0)
	for i := range desired.servers {
		for j := range desired.servers[i].Models {
			loaded := &desired.servers[i].Models[j]
			version, complete := loaded.CompleteVersion(desired.engine.Layers)
			if loaded.Name != desired.model || !complete {
				continue
			}
			if counts[version]++; counts[version] > counts[most] || counts[version] == counts[most] && version > most {
				most = version
			}
		}
	}
	return most
}

// originVersions is the number of versions, the newest, that an origin serves.
const originVersions = 2

// wantedVersions returns the published versions that are newer than the served one and that the origin serves, the oldest
// first.
func wantedVersions(desired *target, served fleet.WeightsVersion, versionBound time.Duration) []weights.WantedVersion {
	var wanted []weights.WantedVersion
	for _, published := range desired.published[max(0, len(desired.published)-originVersions):] {
		if published.Version <= served {
			continue
		}
		cutoff, _ := desired.published.CutoffTime(published.Version, versionBound)
		wanted = append(wanted, weights.WantedVersion{
			Version: versionName(published.Version), Chunks: desired.engine.Chunks, PublishedAt: published.PublishedAt, Cutoff: cutoff,
		})
	}
	return wanted
}

// versionName returns the name of a version in manifests.
func versionName(version fleet.WeightsVersion) string { return strconv.FormatUint(uint64(version), 10) }

// version returns the schedule of a version. ok is false if the version is not in the schedule.
func (o *originSchedule) version(version fleet.WeightsVersion) (schedule weights.VersionSchedule, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.schedule == nil {
		return weights.VersionSchedule{}, false
	}
	return o.schedule.Version(versionName(version))
}

// before returns the versions that the origin is to send before another one, unless it has sent that one already. An
// agent that starts late downloads them too, as it may be a first fetcher of their chunks.
func (o *originSchedule) before(version fleet.WeightsVersion) []fleet.WeightsVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.schedule == nil {
		return nil
	}
	var versions []fleet.WeightsVersion
	for _, period := range o.schedule.Order() {
		if period.Version == versionName(version) {
			if end := period.Start.Add(time.Duration(period.Chunks) * o.interval); !o.schedule.IsUnavailable() && o.clock.Now().After(end) {
				return nil
			}
			return versions
		}
		if older, err := strconv.ParseUint(period.Version, 10, 64); err == nil {
			versions = append(versions, fleet.WeightsVersion(older))
		}
	}
	return nil
}

// setComplete records that this agent needs no more chunks of a version.
func (o *originSchedule) setComplete(version fleet.WeightsVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.schedule != nil {
		o.schedule.SetComplete(versionName(version))
	}
}

// recordResult records the result of an origin fetch. A chunk with wrong content also shows that the origin is available.
func (o *originSchedule) recordResult(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.schedule == nil || isUnrelatedToOutage(err):
	case err == nil || errors.Is(err, weights.ErrDigestMismatch):
		o.endOutage()
	case o.schedule.FetchFailed():
		o.beginOutage(err)
	}
}

// isUnrelatedToOutage reports whether an error says nothing about whether the origin is available: the agent canceled the
// fetch, or the origin refused it.
func isUnrelatedToOutage(err error) bool {
	for _, other := range []error{context.Canceled, provider.ErrNotPublished, provider.ErrRateLimited} {
		if errors.Is(err, other) {
			return true
		}
	}
	return provider.RequestedBackoff(err) > 0
}

// errNoNewChunks is the reason for which the origin counts as unavailable to an agent that has not tried it.
var errNoNewChunks = errors.New("no agent has received a new chunk")

// recordShortage records which chunks of a version no known agent holds. If one appears late in an outage, the origin has
// returned.
func (o *originSchedule) recordShortage(version fleet.WeightsVersion, shortage *weights.Shortage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.schedule == nil {
		return
	}
	if o.schedule.RecordShortage(versionName(version), shortage) {
		o.beginOutage(errNoNewChunks)
	}
	if o.schedule.IsUnavailable() && shortage.Appeared && o.clock.Since(o.unavailableSince) > lateChunkSpread {
		o.endOutage()
	}
}

// beginOutage begins an outage of the origin. The lock must be held.
func (o *originSchedule) beginOutage(cause error) {
	o.unavailableSince = o.clock.Now()
	o.metrics.originOutages.Inc()
	o.log.Info().Str("dependency", "origin").Err(cause).Msg("dependency lost")
}

// endOutage ends an outage of the origin. The lock must be held.
func (o *originSchedule) endOutage() {
	now := o.clock.Now()
	if o.schedule.EndOutage(o.servingUntil, now) {
		o.log.Info().Str("dependency", "origin").Dur("lost_ms", now.Sub(o.unavailableSince)).Msg("dependency regained")
		o.logOrder("origin fetches scheduled again", now)
	}
}

// logOrder logs the order of the versions and how long each waits for the origin's link. The lock must be held.
func (o *originSchedule) logOrder(message string, now time.Time) {
	for position, entry := range o.schedule.Order() {
		o.log.Info().Str("version", entry.Version).Int("position", position).Int("pieces", entry.Chunks).
			Dur("wait_ms", max(0, entry.Start.Sub(now))).Time("serving_until", o.servingUntil).Msg(message)
	}
}

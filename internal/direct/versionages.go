package direct

import (
	"maps"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// The platform's store does not contain the time at which a version of weights was published. A process that
// starts later can only assume it, and a process that was suspended or disconnected receives the version late.
// Processes therefore report to each other the ages of the versions whose publication they observed.

const (
	// maxAgesReported is the number of versions of a model, newest first, whose ages are reported. Each version
	// sets the cutoff for those before it, so older ones have no effect any more.
	maxAgesReported = 3
	// ageTolerance is how much earlier another process must have observed a version for its age to be accepted.
	// Smaller differences are due to message latency.
	ageTolerance = 20 * time.Millisecond
)

// VersionAges returns the ages of the versions whose publication was observed, here or by another process.
func (f *FleetState) VersionAges() []fleet.VersionAge {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var ages []fleet.VersionAge
	for _, model := range slices.Sorted(maps.Keys(f.published)) {
		published := f.published[model]
		for _, version := range published[max(0, len(published)-maxAgesReported):] {
			if version.Observed {
				ages = append(ages, fleet.VersionAge{Model: model, Version: version.Version, Age: now.Sub(version.PublishedAt)})
			}
		}
	}
	return ages
}

// ageChangeCount returns the number of new versions and corrected ages so far. Ages are reported again when it
// changes. The number of versions could not serve for this, as only the last ones are kept.
func (f *FleetState) ageChangeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageChanges
}

// MergeVersionAges merges the ages of versions whose publication another process observed, and adds the versions
// that this process does not know. Their facts come from the own region first, and may be late: if the box that
// reads the store there is disconnected, agents could receive a version too late to download it from an origin
// that leaves soon.
func (f *FleetState) MergeVersionAges(ages []fleet.VersionAge, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, age := range ages {
		if f.mergeVersionAge(age, from) {
			changed = true
		}
	}
	if changed {
		f.setView(f.View().WithPublishedVersions(maps.Clone(f.published)))
	}
}

// mergeVersionAge merges the age of one version and reports whether anything changed. The lock must be held.
func (f *FleetState) mergeVersionAge(age fleet.VersionAge, from string) bool {
	now, published := f.clock.Now(), f.published[age.Model]
	publishedAt := now.Add(-age.Age)
	if published.Lacks(age.Version) {
		// A version older than the newest one is added too, because its cutoff for the versions before it is
		// earlier. The store contains only the newest version. A box that started after two publications, 4 s apart,
		// applied the cutoff of the weights before them 4 s late.
		f.ageChanges++
		f.published[age.Model] = published.With(fleet.PublishedVersion{Version: age.Version, PublishedAt: publishedAt, Observed: true})
		f.log.Info().Str("model", string(age.Model)).Uint64("version", uint64(age.Version)).Dur("age_ms", age.Age).Str("from", from).Msg("weights wanted")
		return true
	}
	corrected, ok := published.Corrected(age.Version, publishedAt, ageTolerance)
	if ok {
		f.log.Info().Str("model", string(age.Model)).Uint64("version", uint64(age.Version)).Dur("age_ms", age.Age).
			Dur("believed_ms", now.Sub(published.PublishedAt(age.Version))).Str("from", from).Msg("age of wanted weights corrected")
		f.ageChanges++
		f.published[age.Model] = corrected
	}
	return ok
}

func agesToWire(ages []fleet.VersionAge) []*wire.VersionAge {
	messages := make([]*wire.VersionAge, 0, len(ages))
	for _, age := range ages {
		messages = append(messages, &wire.VersionAge{
			Model: string(age.Model), Version: uint64(age.Version), AgeMilliseconds: uint64(age.Age.Milliseconds()),
		})
	}
	return messages
}

func agesFromWire(messages []*wire.VersionAge) []fleet.VersionAge {
	ages := make([]fleet.VersionAge, 0, len(messages))
	for _, age := range messages {
		ages = append(ages, fleet.VersionAge{
			Model: fleet.ModelName(age.Model), Version: fleet.WeightsVersion(age.Version),
			Age: time.Duration(age.AgeMilliseconds) * time.Millisecond,
		})
	}
	return ages
}

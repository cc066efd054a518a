package direct

import (
	"maps"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// The platform's store does not say when a version of weights was named. A process
// that starts afterwards can only guess, and one that stood still or was cut off
// hears of it late. So processes tell each other how old the versions are that they
// heard of as they were named.

const (
	// maxAgesReported is how many versions of a model are told, the newest first. Each
	// bars those before it, so older ones decide nothing any more.
	maxAgesReported = 3
	// ageTolerance is by how much sooner another process must have heard of a
	// version to be believed: less is the time that messages take.
	ageTolerance = 20 * time.Millisecond
)

// VersionAges returns how long ago versions were named, where that is known.
func (f *FleetState) VersionAges() []fleet.VersionAge {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var ages []fleet.VersionAge
	for _, model := range slices.Sorted(maps.Keys(f.published)) {
		named := f.published[model]
		for _, version := range named[max(0, len(named)-maxAgesReported):] {
			if version.Observed {
				ages = append(ages, fleet.VersionAge{Model: model, Version: version.Version, Age: now.Sub(version.PublishedAt)})
			}
		}
	}
	return ages
}

// ageChangeCount changes with every version that is heard of and every age that is corrected; others
// are told of the ages then. The number of versions would not do, as only the last are kept.
func (f *FleetState) ageChangeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageChanges
}

// MergeVersionAges takes what another process tells of the versions that it heard of as they were
// named: their ages, and those versions that this one has not heard of itself. It need not wait
// for the facts then, which come from the own region first: where the box is cut off that reads
// the store there, agents would hear of a version too late to copy it from an origin that goes away soon.
func (f *FleetState) MergeVersionAges(ages []fleet.VersionAge, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	learned := false
	for _, age := range ages {
		if f.mergeVersionAge(age, from) {
			learned = true
		}
	}
	if learned {
		f.setView(f.View().WithPublishedVersions(maps.Clone(f.published)))
	}
}

// mergeVersionAge takes one version, and reports whether that changes anything. The lock must be
// held.
func (f *FleetState) mergeVersionAge(age fleet.VersionAge, from string) bool {
	now, named := f.clock.Now(), f.published[age.Model]
	since := now.Add(-age.Age)
	if named.Lacks(age.Version) {
		// Also one that is older than the newest: it bars those before it sooner than the newest does.
		// The store holds only the newest name, so a box that started after two of them, 4 s after each other,
		// barred the first weights 4 s late.
		f.ageChanges++
		f.published[age.Model] = named.With(fleet.PublishedVersion{Version: age.Version, PublishedAt: since, Observed: true})
		f.log.Info().Str("model", string(age.Model)).Uint64("version", uint64(age.Version)).Dur("age_ms", age.Age).Str("from", from).Msg("weights wanted")
		return true
	}
	corrected, ok := named.Corrected(age.Version, since, ageTolerance)
	if ok {
		f.log.Info().Str("model", string(age.Model)).Uint64("version", uint64(age.Version)).Dur("age_ms", age.Age).
			Dur("believed_ms", now.Sub(named.PublishedAt(age.Version))).Str("from", from).Msg("age of wanted weights corrected")
		f.ageChanges++
		f.published[age.Model] = corrected
	}
	return ok
}

func agesToWire(ages []fleet.VersionAge) []*wire.VersionAge {
	told := make([]*wire.VersionAge, 0, len(ages))
	for _, age := range ages {
		told = append(told, &wire.VersionAge{
			Model: string(age.Model), Version: uint64(age.Version), AgeMilliseconds: uint64(age.Age.Milliseconds()),
		})
	}
	return told
}

func agesFromWire(told []*wire.VersionAge) []fleet.VersionAge {
	ages := make([]fleet.VersionAge, 0, len(told))
	for _, age := range told {
		ages = append(ages, fleet.VersionAge{
			Model: fleet.ModelName(age.Model), Version: fleet.WeightsVersion(age.Version),
			Age: time.Duration(age.AgeMilliseconds) * time.Millisecond,
		})
	}
	return ages
}

package direct

import (
	"maps"
	"slices"
	"strings"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// The operators evacuate a failure domain with an entry in the platform's store, and withdraw the evacuation by deleting
// the entry. It is replicated like the entries of servers: state.Mirror applies a deletion everywhere, whichever box
// still holds the entry.

// isEvacuationKey reports whether a key is that of an evacuation.
func isEvacuationKey(key string) bool { return strings.HasPrefix(key, fleet.EvacuationKey("")) }

// isRemovableKey reports whether entries with a key may be deleted in the store.
func isRemovableKey(key string) bool { return isServerKey(key) || isEvacuationKey(key) }

// EvacuatedDomains returns the failure domains that the operators have evacuated, sorted by name.
func (f *FleetState) EvacuatedDomains() []member.FailureDomain {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuatedDomains()
}

// evacuatedDomains is EvacuatedDomains with the lock held.
func (f *FleetState) evacuatedDomains() []member.FailureDomain {
	return slices.Sorted(maps.Keys(f.evacuated))
}

// applyEvacuation adds or removes the evacuation of a failure domain. The lock must be held.
func (f *FleetState) applyEvacuation(fact *fleet.Fact, from string) {
	f.noteAllServersChanged()
	domain := member.FailureDomain(strings.TrimPrefix(fact.Key, fleet.EvacuationKey("")))
	if f.evacuated[domain] == !fact.Deleted {
		return
	}
	event := f.log.Info().Str("failure_domain", string(domain)).Stringer("revision", fact.Revision).Str("from", from)
	if fact.Deleted {
		delete(f.evacuated, domain)
		event.Msg("evacuation of failure domain withdrawn")
	} else {
		f.evacuated[domain] = true
		event.Msg("failure domain evacuated")
	}
	f.metrics.evacuatedDomains.Set(float64(len(f.evacuated)))
}

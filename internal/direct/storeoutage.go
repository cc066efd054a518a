package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// Entries of servers expire while the store is down, and running servers write them again within two seconds of its
// recovery. Deletions that may come from such an outage are therefore deferred.

const (
	// expiryDeferral is how long the deletion of a server's entry is deferred if the entry expired during an
	// outage of the store. Running servers write their entries again within two seconds.
	expiryDeferral = 2200 * time.Millisecond
	// minExpiryOutage is the shortest outage of the store in which entries can expire. Entries last for several
	// heartbeats, and heartbeats are about a second apart.
	minExpiryOutage = 1400 * time.Millisecond
	// expiryDeferralWindow is how long after the store's recovery deletions may still come from entries that
	// expired during the outage.
	expiryDeferralWindow = 1500 * time.Millisecond
	// outageReportWindow is how long a report of an outage holds. Boxes repeat it with each status message.
	outageReportWindow = 2 * statusHeartbeat
)

// isStoreDown reports whether the last call of the store failed.
func (f *FleetState) isStoreDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.downSince.IsZero()
}

// noteStoreFailure records a call of the store that failed or is overdue. The store was due to respond to it by dueAt.
// An outage does not count from the start of a call that waits for changes: a lost response would make one.
func (f *FleetState) noteStoreFailure(call string, dueAt time.Time, err error) {
	f.mu.Lock()
	first := f.downSince.IsZero()
	if first {
		f.downSince = f.clock.Now()
		if dueAt.Before(f.downSince) {
			f.downSince = dueAt
		}
	}
	f.failedCalls++
	f.mu.Unlock()
	if first {
		f.log.Warn().Str("dependency", "store").Str("call", call).Dur("age_ms", f.StoreResponseAge()).Err(err).Msg("dependency lost")
	}
}

func (f *FleetState) noteStoreResponse() {
	f.mu.Lock()
	now := f.clock.Now()
	recovered, outage, failures := !f.downSince.IsZero(), now.Sub(f.downSince), f.failedCalls
	f.storeResponded, f.downSince, f.failedCalls = now, time.Time{}, 0
	if recovered && outage >= minExpiryOutage {
		f.recoveredAt = now
	}
	f.mu.Unlock()
	if recovered {
		f.log.Info().Str("dependency", "store").Dur("away_ms", outage).Int("failures", failures).Msg("dependency regained")
	}
}

// hasOutage reports whether entries of servers may have expired in an outage of the store, from its start until
// expiryDeferralWindow after its end. The lock must be held.
func (f *FleetState) hasOutage() bool {
	if !f.downSince.IsZero() && f.clock.Since(f.downSince) >= minExpiryOutage {
		return true
	}
	return !f.recoveredAt.IsZero() && f.clock.Since(f.recoveredAt) < expiryDeferralWindow
}

// HasStoreOutage reports whether entries of servers may have expired in an outage of the store, as this box sees it.
func (f *FleetState) HasStoreOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasOutage()
}

// noteReportedOutage records that another box reports an outage of the store.
func (f *FleetState) noteReportedOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageReportedAt = f.clock.Now()
}

// noteReport records what another box reports: the newest revision that it knows, and the times of the store's last
// responses to boxes that read it.
func (f *FleetState) noteReport(newest fleet.Revision, responses []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newestReported = max(f.newestReported, newest)
	for _, at := range responses {
		if at.After(f.responseReportedAt) {
			f.responseReportedAt = at
		}
	}
}

// shouldDeferMissing reports whether the deletion of an entry that another box lacks is deferred. That box may have
// started after the entry expired, so the outages that other boxes report count too.
func (f *FleetState) shouldDeferMissing(deletion state.Item) bool {
	if !isEvacuationKey(deletion.Key) && !f.outageReportedAt.IsZero() && f.clock.Since(f.outageReportedAt) < outageReportWindow {
		return f.deferDeletion(deletion)
	}
	return f.shouldDefer(deletion)
}

// shouldDefer reports whether the deletion of an entry is deferred, because the entry may have expired during an outage
// of the store, or the store may have come back from a copy that is older than the entry. An entry that is written again
// by the end of expiryDeferral is newer and outlives its deletion. The lock must be held.
func (f *FleetState) shouldDefer(deletion state.Item) bool {
	if isEvacuationKey(deletion.Key) {
		return f.deferEvacuation(deletion)
	}
	return (f.hasOutage() || f.isOfEarlierEra(deletion)) && f.deferDeletion(deletion)
}

// deferDeletion reports whether a deletion is of a server that is not leaving, and logs that it is deferred. The lock
// must be held.
func (f *FleetState) deferDeletion(deletion state.Item) bool {
	id := fleet.ServerID(strings.TrimPrefix(deletion.Key, fleet.ServerKey("")))
	if server, known := f.servers[id]; !known || server.Leaving || f.returned.isWithheld(id) {
		return false
	}
	f.log.Info().Str("server", string(id)).Stringer("revision", fleet.Revision(deletion.Version.Major)).Dur("hold_ms", expiryDeferral).
		Msg("server's entry went while the store was away, held")
	return true
}

// applyLater applies deferred deletions after expiryDeferral, and those of an earlier era once the store has also been
// responded since.
func (f *FleetState) applyLater(deferred []state.Item) {
	if len(deferred) == 0 {
		return
	}
	since := f.clock.Now()
	f.clock.AfterFunc(expiryDeferral, func() { f.applyDeferred(deferred, since) })
}

// applyDeferred applies deletions that are deferred since a time, or defers them further.
func (f *FleetState) applyDeferred(deferred []state.Item, since time.Time) {
	deferred = f.removeSuperseded(deferred)
	if f.mayLackChanges(since, expiryDeferral) || f.isEraUnread(since) {
		isEarlier := func(item state.Item) bool { return f.isOfEarlierEra(item) }
		if waiting := slices.DeleteFunc(slices.Clone(deferred), func(item state.Item) bool { return !isEarlier(item) }); len(waiting) > 0 {
			deferred = slices.DeleteFunc(deferred, isEarlier)
			f.clock.AfterFunc(deferralCheckInterval, func() { f.applyDeferred(waiting, since) })
		}
	}
	f.merge(f.mirrorMerge(deferred), "store", true)
}

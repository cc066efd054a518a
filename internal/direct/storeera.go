package direct

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// The store may come back from a copy, in a new era. The copy is older than what processes know: it lists servers as
// ready that were leaving, or whose entries had been deleted. That the copy lists such a server is no reason to use it.

const (
	// entryLapse is the time after which the store deletes the entry of a server that no longer writes it: three
	// heartbeats, which are about a second apart. An entry of the copy that lasts for longer belongs to a running server.
	entryLapse = 3500 * time.Millisecond
	// withholdTime is how long a server is withheld that the copy lists. Processes that started after the deletion of its
	// entry defer the next one, and those that read from them receive it as much later.
	withholdTime = entryLapse + expiryDeferral
	// deferralCheckInterval is the time between two checks whether the store has responded since.
	deferralCheckInterval = 100 * time.Millisecond
	// maxEraWait is how much longer a deletion of an era is deferred, or a server withheld, while the store is away or not
	// known to have responded, or while a later era is known only in part. Boxes have every change of an era once those
	// that read the store have applied what they defer.
	maxEraWait = 3 * expiryDeferral
	// maxDeletedServers bounds the number of deleted servers that are kept.
	maxDeletedServers = 4096
)

// deletedServer is a server whose entry was deleted.
type deletedServer struct {
	// revision is the revision of the deletion.
	revision fleet.Revision
	// incarnation is the incarnation in the deleted entry, or 0 if it is unknown; wasLeaving is set if that incarnation
	// was leaving.
	incarnation member.Incarnation
	wasLeaving  bool
}

// returnedServers are the servers whose entries were deleted, and those of them that a copy of the store lists again.
type returnedServers struct {
	deleted map[fleet.ServerID]deletedServer
	// withheld holds, by server, the revision of the entry that the copy lists. The server is not used until its entry is
	// written again, or has lasted for withholdTime.
	withheld map[fleet.ServerID]fleet.Revision
}

// newReturnedServers returns returnedServers without any server.
func newReturnedServers() returnedServers {
	return returnedServers{deleted: make(map[fleet.ServerID]deletedServer), withheld: make(map[fleet.ServerID]fleet.Revision)}
}

// isWithheld reports whether a server is not used although the store lists it.
func (r *returnedServers) isWithheld(id fleet.ServerID) bool {
	_, isWithheld := r.withheld[id]
	return isWithheld
}

// noteDeleted records the deletion of a server's entry.
func (r *returnedServers) noteDeleted(id fleet.ServerID, server deletedServer) {
	delete(r.withheld, id)
	if known, ok := r.deleted[id]; ok && server.incarnation == 0 {
		server.incarnation, server.wasLeaving = known.incarnation, known.wasLeaving
	}
	r.deleted[id] = server
	if len(r.deleted) <= maxDeletedServers {
		return
	}
	ids := slices.SortedFunc(maps.Keys(r.deleted), func(a, b fleet.ServerID) int { return cmp.Compare(r.deleted[a].revision, r.deleted[b].revision) })
	for _, id := range ids[:len(ids)/2] {
		delete(r.deleted, id)
	}
}

// isReturned reports whether an entry may come from a copy of the store that is older than the deletion of the server's
// entry: it is of a later era, and not of a later incarnation.
func (r *returnedServers) isReturned(id fleet.ServerID, entry *fleet.Fact) bool {
	deleted, ok := r.deleted[id]
	if !ok || entry.Revision.Era() <= deleted.revision.Era() {
		return false
	}
	if withheldAt, isWithheld := r.withheld[id]; isWithheld && withheldAt.Era() == entry.Revision.Era() && entry.Revision > withheldAt {
		return false
	}
	return deleted.incarnation == 0 || entry.Server.Incarnation <= deleted.incarnation
}

// release ends the withholding of a server, whose entry was written again or has lasted.
func (r *returnedServers) release(id fleet.ServerID) {
	delete(r.withheld, id)
	delete(r.deleted, id)
}

// noteEntry decides whether the entry of a server is that of a copy of the store, and keeps what was known of the server
// before. The lock must be held.
func (f *FleetState) noteEntry(id fleet.ServerID, entry *fleet.Fact, known *serverEntry, isKnown bool, log *zerolog.Logger) {
	if isKnown && known.Leaving && !entry.Server.Leaving && entry.Revision.Era() > known.revision.Era() && entry.Server.Incarnation <= known.Incarnation {
		f.keepDeparture(id, known.Incarnation)
	}
	if _, isDeleted := f.returned.deleted[id]; !isKnown && !isDeleted && f.wasAbsent(entry) {
		f.returned.noteDeleted(id, deletedServer{revision: f.completeBefore})
	}
	if !f.returned.isReturned(id, entry) {
		f.returned.release(id)
		return
	}
	if deleted := f.returned.deleted[id]; deleted.wasLeaving {
		f.keepDeparture(id, deleted.incarnation)
	}
	revision := entry.Revision
	f.returned.withheld[id] = revision
	log.Info().Str("server", string(id)).Stringer("revision", revision).Stringer("deleted", f.returned.deleted[id].revision).Dur("hold_ms", withholdTime).
		Msg("server's entry is in the store again after a copy, server withheld")
	since := f.clock.Now()
	f.clock.AfterFunc(withholdTime, func() { f.releaseWithheld(id, revision, since) })
}

// wasAbsent reports whether the entry of a server that this process does not hold may come from a copy of the store
// although it had been deleted: this process had every change of an earlier era up to its number. A process that started
// after the deletion has no other trace of it. A server that started later than this process cannot have been deleted
// before, and one without an incarnation may be new. The lock must be held.
func (f *FleetState) wasAbsent(entry *fleet.Fact) bool {
	before, incarnation := f.completeBefore, entry.Server.Incarnation
	return before != 0 && before.Era() < entry.Revision.Era() && entry.Revision.Number() <= before.Number() &&
		incarnation != 0 && !fleet.StartedAfter(incarnation, f.startedAt)
}

// keepDeparture records that a server was leaving before the store came back from a copy. The lock must be held.
func (f *FleetState) keepDeparture(id fleet.ServerID, incarnation member.Incarnation) {
	f.noteServerChanged(id)
	if f.departures.record(fleet.Departure{Server: id, Incarnation: incarnation}, time.Time{}, f.isListed) {
		f.log.Info().Str("server", string(id)).Uint64("incarnation", uint64(incarnation)).Msg("server was leaving before the store came back, stays leaving")
	}
}

// mayLackChanges reports whether changes that the store had after a wait that began at a time may be unknown here: the
// store is away, no box of the region that reads it is known to have a response from after the wait, or another box has
// reported changes that are not known here yet.
func (f *FleetState) mayLackChanges(since time.Time, wait time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, due := f.clock.Now(), since.Add(wait)
	isReported := !f.outageReportedAt.IsZero() && now.Sub(f.outageReportedAt) < outageReportWindow
	respondedAt := f.storeResponded
	if f.responseReportedAt.After(respondedAt) {
		respondedAt = f.responseReportedAt
	}
	isUnread := !respondedAt.IsZero() && respondedAt.Before(due) || f.newestReported > f.positionLocked().received
	return (isUnread || isReported || !f.downSince.IsZero()) && now.Sub(since) < wait+maxEraWait
}

// mayLackDeferred reports whether another box has reported or sent changes up to which this process does not have every one, so
// that the box may defer the deletion of a server that is withheld since a time.
func (f *FleetState) mayLackDeferred(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.newestReported, f.newest) > f.positionLocked().complete && f.clock.Since(since) < withholdTime+maxEraWait
}

// isEraUnread reports whether a later era of the store is known than the one of which this process has every change, for
// a wait that began at a time.
func (f *FleetState) isEraUnread(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	received := fleet.Revision(f.mirror.Status().Received)
	return received.Era() < f.storeEraLocked() && f.clock.Since(since) < expiryDeferral+maxEraWait
}

// releaseWithheld ends the withholding, since a time, of a server whose entry has lasted at a revision.
func (f *FleetState) releaseWithheld(id fleet.ServerID, revision fleet.Revision, since time.Time) {
	if f.mayLackChanges(since, withholdTime) || f.mayLackDeferred(since) {
		f.clock.AfterFunc(deferralCheckInterval, func() { f.releaseWithheld(id, revision, since) })
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.returned.withheld[id] != revision || f.storeEraLocked() > revision.Era() {
		return
	}
	f.returned.release(id)
	f.noteServerChanged(id)
	f.log.Info().Str("server", string(id)).Stringer("revision", revision).Msg("server's entry has lasted, server no longer withheld")
	f.refreshServers()
}

// isOfEarlierEra reports whether the entry that a deletion removes is of an earlier era than the deletion. It may be
// missing because the copy is older than the entry, and its writer may write it again.
func (f *FleetState) isOfEarlierEra(deletion state.Item) bool {
	held, ok := f.mirror.Lookup(deletion.Key)
	return ok && fleet.Revision(held.Version.Major).Era() < fleet.Revision(deletion.Version.Major).Era()
}

// logOlderByWriter logs the items that the store has and that are not taken because their writer wrote later ones. The
// lock must be held.
func (f *FleetState) logOlderByWriter(batch *provider.FactBatch) {
	for i := range batch.Facts {
		fact := &batch.Facts[i]
		item, err := fact.Item()
		held, ok := f.mirror.Lookup(fact.Key)
		if err != nil || !ok || item.Version.Order == 0 || item.Version.Order >= held.Version.Order {
			continue
		}
		f.log.Warn().Str("fact", fact.Key).Uint64("version", item.Version.Order).Uint64("held", held.Version.Order).Stringer("revision", fact.Revision).
			Stringer("held_revision", fleet.Revision(held.Version.Major)).Msg("store has an older version, not taken")
	}
}

// removeSuperseded removes deferred deletions of keys of which a deletion of a later era is deferred by now.
func (f *FleetState) removeSuperseded(deferred []state.Item) []state.Item {
	return slices.DeleteFunc(slices.Clone(deferred), func(item state.Item) bool {
		latest := fleet.Revision(f.mirror.DeferredRevision(item.Key))
		return fleet.Revision(item.Version.Major).Era() < latest.Era()
	})
}

// deferEvacuation reports whether the deletion of an evacuation is deferred, and logs that it is: an evacuation stays in
// force until it is withdrawn, and the copy may be older than it. The lock must be held.
func (f *FleetState) deferEvacuation(deletion state.Item) bool {
	if !f.isOfEarlierEra(deletion) {
		return false
	}
	f.log.Info().Str("failure_domain", strings.TrimPrefix(deletion.Key, fleet.EvacuationKey(""))).Stringer("revision", fleet.Revision(deletion.Version.Major)).
		Dur("hold_ms", expiryDeferral).Msg("evacuation is not in the store that came back from a copy, held")
	return true
}

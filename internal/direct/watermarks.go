package direct

import "github.com/cinderslip/cinderslip/pkg/fleet"

// Watermarks are the revisions of the platform's store up to which its changes are known.
type Watermarks struct {
	// Newest is the newest revision of any known fact, or of a snapshot of the store.
	Newest fleet.Revision
	// Complete is the revision up to which every change is known. It is older than every deferred deletion, so
	// that the deletion is requested from a box that has applied it.
	Complete fleet.Revision
	// Ordered increases with the configuration and the desired versions that are known, whatever their revisions: after
	// the store came back from a copy, a box that knows later ones is ahead of a box that knows the copy.
	Ordered uint64
}

// Watermarks returns the revisions up to which the changes of the platform's store are known.
func (f *FleetState) Watermarks() Watermarks {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watermarks()
}

// watermarks is Watermarks with the lock held.
func (f *FleetState) watermarks() Watermarks {
	status := f.mirror.Status()
	return Watermarks{Newest: f.newest, Complete: min(f.newest, fleet.Revision(status.Complete)), Ordered: status.Ordered}
}

// position is how far a process has the changes of the platform's store.
type position struct {
	// received is the revision up to which everything is known or was received, complete the one up to which
	// everything is known.
	received, complete fleet.Revision
	// ordered is Watermarks.Ordered.
	ordered uint64
}

// position returns how far this process has the changes of the store.
func (f *FleetState) position() position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.positionLocked()
}

// positionLocked is position with the lock held.
func (f *FleetState) positionLocked() position {
	status := f.mirror.Status()
	return position{received: max(f.newest, fleet.Revision(status.Received)), complete: fleet.Revision(status.Complete), ordered: status.Ordered}
}

// isBehind reports whether another process knows a change that this one does not know.
func (p position) isBehind(other Watermarks) bool {
	return other.Newest > p.received || other.Complete > p.complete || other.Ordered > p.ordered
}

// storeEra returns the latest era of the store that is known here, from the store itself or from another process.
func (f *FleetState) storeEra() uint64 { return f.position().received.Era() }

// storeEraLocked is storeEra with the lock held.
func (f *FleetState) storeEraLocked() uint64 { return f.positionLocked().received.Era() }

package direct

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// minStoreReaders is the minimum number of entry boxes that read the store. At least one box reads it in each
	// region, and reports to the others.
	minStoreReaders = 2
	// readerUpdateThreshold is how much newer a response of the store must be to be reported immediately to boxes
	// that do not read it. Otherwise each box on the path would add a delay of up to a heartbeat.
	readerUpdateThreshold = 700 * time.Millisecond
)

// readerSet contains the times of the store's last responses to the boxes of the own region that read it. Boxes
// report these times to each other.
type readerSet struct {
	self   member.BoxID
	region member.Region
	// timeout is the time without a response after which a box no longer counts as a reader.
	timeout time.Duration
	// respondedAt is the time of the store's last response to each box.
	respondedAt map[member.BoxID]time.Time
}

func newReaderSet(self member.BoxID, region member.Region, timeout time.Duration) *readerSet {
	return &readerSet{self: self, region: region, timeout: timeout, respondedAt: make(map[member.BoxID]time.Time)}
}

// update records a response of the store to another box.
func (r *readerSet) update(box member.BoxID, at time.Time) {
	if box != r.self && at.After(r.respondedAt[box]) {
		r.respondedAt[box] = at
	}
}

// active returns the boxes to which the store has responded recently, in order of rank. It includes this box if
// the store has responded to it.
func (r *readerSet) active(ownRespondedAt, now time.Time) []member.BoxID {
	var active []member.BoxID
	for box, at := range r.respondedAt {
		if now.Sub(at) >= r.timeout {
			delete(r.respondedAt, box)
			continue
		}
		active = append(active, box)
	}
	if !ownRespondedAt.IsZero() && now.Sub(ownRespondedAt) < r.timeout {
		active = append(active, r.self)
	}
	return r.ranked(active)
}

// ranked returns boxes of the region in the order in which they are chosen as readers.
func (r *readerSet) ranked(boxes []member.BoxID) []member.BoxID {
	return member.Rank("reader/"+string(r.region), boxes, len(boxes))
}

// isReader reports whether this box has to read the store, which is the case unless enough active readers have a
// higher rank. otherRegions is the number of other regions that have a reader.
func (r *readerSet) isReader(otherRegions int, now time.Time) bool {
	candidates := r.active(time.Time{}, now)
	required := max(1, minStoreReaders-otherRegions)
	return slices.Index(r.ranked(append(candidates, r.self)), r.self) < required
}

// toWire returns the active readers with the highest ranks.
func (r *readerSet) toWire(ownRespondedAt, now time.Time) []*wire.StoreReader {
	active := r.active(ownRespondedAt, now)
	readers := make([]*wire.StoreReader, 0, minStoreReaders)
	for _, box := range active[:min(len(active), minStoreReaders)] {
		at := r.respondedAt[box]
		if box == r.self {
			at = ownRespondedAt
		}
		readers = append(readers, &wire.StoreReader{Box: string(box), AgeMilliseconds: uint64(max(0, now.Sub(at).Milliseconds()))})
	}
	return readers
}

// isReader reports whether this box has to read the store.
func (e *EntryBoxes) isReader() bool {
	otherRegions := make(map[member.Region]bool)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range e.membership.All() {
		switch {
		case record.Status == member.StatusSilent:
			delete(e.readers.respondedAt, record.Box)
		case record.Region != e.self.Region:
			otherRegions[record.Region] = true
		}
	}
	return e.readers.isReader(len(otherRegions), e.clock.Now())
}

// reportedReaders returns the readers of the store that this box reports to others.
func (e *EntryBoxes) reportedReaders() []*wire.StoreReader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readers.toWire(e.fleetState.StoreRespondedAt(), e.clock.Now())
}

// probeInterval returns the time between two calls of the store while it is down.
func (e *EntryBoxes) probeInterval() time.Duration { return probeIntervalFor(e.membership.UpCount()) }

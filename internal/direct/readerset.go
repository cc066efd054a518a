package direct

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// minStoreReaders is how many entry boxes read the store at least, and one does in
	// each region; the others hear from them.
	minStoreReaders = 2
	// readerUpdateThreshold is by how much newer an answer of the store must be for a box to be told of it
	// at once that does not read: each box on its way would otherwise add up to a heartbeat.
	readerUpdateThreshold = 700 * time.Millisecond
)

// readerSet is when the platform's store last answered the boxes of the own region that read it, as
// far as this box has heard. Word of it passes from box to box.
type readerSet struct {
	self   member.BoxID
	region member.Region
	// timeout is after how long without an answer a box no longer counts.
	timeout time.Duration
	// respondedAt is when the store answered each box.
	respondedAt map[member.BoxID]time.Time
}

func newReaderSet(self member.BoxID, region member.Region, away time.Duration) *readerSet {
	return &readerSet{self: self, region: region, timeout: away, respondedAt: make(map[member.BoxID]time.Time)}
}

// update notes that the store answered a box.
func (r *readerSet) update(box member.BoxID, at time.Time) {
	if box != r.self && at.After(r.respondedAt[box]) {
		r.respondedAt[box] = at
	}
}

// active returns the boxes that the store has answered lately, the first in rank before the others,
// with this one if it has answered it.
func (r *readerSet) active(own, now time.Time) []member.BoxID {
	var fresh []member.BoxID
	for box, at := range r.respondedAt {
		if now.Sub(at) >= r.timeout {
			delete(r.respondedAt, box)
			continue
		}
		fresh = append(fresh, box)
	}
	if !own.IsZero() && now.Sub(own) < r.timeout {
		fresh = append(fresh, r.self)
	}
	return r.ranked(fresh)
}

// ranked orders boxes of the region by who is to read the store first.
func (r *readerSet) ranked(boxes []member.BoxID) []member.BoxID {
	return member.Rank("reader/"+string(r.region), boxes, len(boxes))
}

// isReader reports whether this box is to read the store: it does unless enough boxes go before
// it and hear from the store. Elsewhere is how many other regions have a reader.
func (r *readerSet) isReader(elsewhere int, now time.Time) bool {
	candidates := r.active(time.Time{}, now)
	wanted := max(1, minStoreReaders-elsewhere)
	return slices.Index(r.ranked(append(candidates, r.self)), r.self) < wanted
}

// toWire returns the first in rank of those whom the store has answered lately.
func (r *readerSet) toWire(own, now time.Time) []*wire.StoreReader {
	fresh := r.active(own, now)
	told := make([]*wire.StoreReader, 0, minStoreReaders)
	for _, box := range fresh[:min(len(fresh), minStoreReaders)] {
		at := r.respondedAt[box]
		if box == r.self {
			at = own
		}
		told = append(told, &wire.StoreReader{Box: string(box), AgeMilliseconds: uint64(max(0, now.Sub(at).Milliseconds()))})
	}
	return told
}

// isReader reports whether this box reads the store.
func (e *EntryBoxes) isReader() bool {
	elsewhere := make(map[member.Region]bool)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range e.membership.All() {
		switch {
		case record.Status == member.StatusSilent:
			delete(e.readers.respondedAt, record.Box)
		case record.Region != e.self.Region:
			elsewhere[record.Region] = true
		}
	}
	return e.readers.isReader(len(elsewhere), e.clock.Now())
}

// reportedReaders is what this box tells of those that read the store.
func (e *EntryBoxes) reportedReaders() []*wire.StoreReader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readers.toWire(e.fleetState.StoreRespondedAt(), e.clock.Now())
}

// probeInterval is the time between two calls of the store while it is away.
func (e *EntryBoxes) probeInterval() time.Duration { return probeIntervalFor(e.membership.UpCount()) }

package direct

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// leastReaders is how many entry boxes read the store at least, and one does in
	// each region; the others hear from them.
	leastReaders = 2
	// readerRelay is by how much newer an answer of the store must be for a box to be told of it
	// at once that does not read: each box on its way would otherwise add up to a heartbeat.
	readerRelay = 700 * time.Millisecond
)

// readers is when the platform's store last answered the boxes of the own region that read it, as
// far as this box has heard. Word of it passes from box to box.
type readers struct {
	self   member.BoxID
	region member.Region
	// away is after how long without an answer a box no longer counts.
	away time.Duration
	// answered is when the store answered each box.
	answered map[member.BoxID]time.Time
}

func newReaders(self member.BoxID, region member.Region, away time.Duration) *readers {
	return &readers{self: self, region: region, away: away, answered: make(map[member.BoxID]time.Time)}
}

// heard notes that the store answered a box.
func (r *readers) heard(box member.BoxID, at time.Time) {
	if box != r.self && at.After(r.answered[box]) {
		r.answered[box] = at
	}
}

// fresh returns the boxes that the store has answered lately, the first in rank before the others,
// with this one if it has answered it.
func (r *readers) fresh(own, now time.Time) []member.BoxID {
	var fresh []member.BoxID
	for box, at := range r.answered {
		if now.Sub(at) >= r.away {
			delete(r.answered, box)
			continue
		}
		fresh = append(fresh, box)
	}
	if !own.IsZero() && now.Sub(own) < r.away {
		fresh = append(fresh, r.self)
	}
	return r.ranked(fresh)
}

// ranked orders boxes of the region by who is to read the store first.
func (r *readers) ranked(boxes []member.BoxID) []member.BoxID {
	return member.Rank("reader/"+string(r.region), boxes, len(boxes))
}

// isReader reports whether this box is to read the store: it does unless enough boxes go before
// it and hear from the store. Elsewhere is how many other regions have a reader.
func (r *readers) isReader(elsewhere int, now time.Time) bool {
	candidates := r.fresh(time.Time{}, now)
	wanted := max(1, leastReaders-elsewhere)
	return slices.Index(r.ranked(append(candidates, r.self)), r.self) < wanted
}

// toWire returns the first in rank of those whom the store has answered lately.
func (r *readers) toWire(own, now time.Time) []*wire.StoreReader {
	fresh := r.fresh(own, now)
	told := make([]*wire.StoreReader, 0, leastReaders)
	for _, box := range fresh[:min(len(fresh), leastReaders)] {
		at := r.answered[box]
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
	for _, record := range e.members.All() {
		switch {
		case record.Status == member.StatusSilent:
			delete(e.readers.answered, record.Box)
		case record.Region != e.self.Region:
			elsewhere[record.Region] = true
		}
	}
	return e.readers.isReader(len(elsewhere), e.clock.Now())
}

// toldReaders is what this box tells of those that read the store.
func (e *EntryBoxes) toldReaders() []*wire.StoreReader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readers.toWire(e.facts.Answered(), e.clock.Now())
}

// probePause is the time between two calls of the store while it is away.
func (e *EntryBoxes) probePause() time.Duration { return probePauseOf(e.members.Up()) }

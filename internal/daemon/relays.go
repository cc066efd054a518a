package daemon

import (
	"slices"
	"sync"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// relaysPerRegion is how many entry boxes of a region pull from other regions
// and read the key-value service.
const relaysPerRegion = 2

// Relays works out which entry boxes are relays: in each region the first in
// rendezvous order of those that are up. Every process with the same records
// gets the same answer. It is worked out anew only when an entry box changed.
type Relays struct {
	view  *View
	self  member.Record
	seeds func() []member.Address

	mu         sync.Mutex
	generation uint64
	worked     bool
	isRelay    bool
	addresses  []member.Address
}

// NewRelays returns the relays as seen from a box. The seeds are used as long as
// no other entry box is known.
func NewRelays(view *View, self member.Record, seeds func() []member.Address) *Relays {
	return &Relays{view: view, self: self, seeds: seeds}
}

// IsRelay reports whether this box is a relay.
func (r *Relays) IsRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work()
	return r.isRelay
}

// Addresses returns the relays to pull from and push to: for a relay all other
// relays, for any other entry box those of its region.
func (r *Relays) Addresses() []member.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work()
	if len(r.addresses) == 0 {
		return r.seeds()
	}
	return r.addresses
}

func (r *Relays) work() {
	generation := r.view.EntryGeneration()
	if r.worked && generation == r.generation {
		return
	}
	r.worked, r.generation = true, generation
	byRegion := make(map[member.Region]map[member.BoxID]member.Address)
	for _, entry := range r.view.Entries("") {
		if byRegion[entry.Region] == nil {
			byRegion[entry.Region] = make(map[member.BoxID]member.Address)
		}
		byRegion[entry.Region][entry.Box] = entry.Peers
	}
	own := relaysOf(r.self.Region, byRegion[r.self.Region])
	r.isRelay = len(own) == 0 || slices.Contains(own, r.self.Box)
	r.addresses = nil
	for region, entries := range byRegion {
		if !r.isRelay && region != r.self.Region {
			continue
		}
		for _, box := range relaysOf(region, entries) {
			if box != r.self.Box {
				r.addresses = append(r.addresses, entries[box])
			}
		}
	}
	slices.Sort(r.addresses)
}

func relaysOf(region member.Region, entries map[member.BoxID]member.Address) []member.BoxID {
	boxes := make([]member.BoxID, 0, len(entries))
	for box := range entries {
		boxes = append(boxes, box)
	}
	return member.Rank("relay/"+string(region), boxes, relaysPerRegion)
}

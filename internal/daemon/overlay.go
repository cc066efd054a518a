package daemon

import (
	"slices"
	"sync"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Overlay works out from whom this entry box reads the replicated items and to
// whom it hands its own. The entry boxes of a region form a tree; its roots, the
// relays, read from the relays of all regions. It is worked out anew only when an
// entry box has changed.
type Overlay struct {
	view  *View
	self  member.Record
	seeds func() []member.Address

	mu         sync.Mutex
	generation uint64
	worked     bool
	links      Links
}

// Links are the connections of one entry box within the overlay.
type Links struct {
	// IsRelay is set for the roots of the region's tree.
	IsRelay bool
	// Follow holds sources to read from; of each element the first address that
	// answers is read.
	Follow [][]member.Address
	// LocalOnly is set where every source hands on only what came up to it, so
	// that each item crosses once.
	LocalOnly bool
	// Up are the relays that take this box's own changes, the preferred first;
	// empty for a relay.
	Up []member.Address
}

// NewOverlay returns the overlay as seen from a box. The seeds are used as long
// as no other entry box is known.
func NewOverlay(view *View, self member.Record, seeds func() []member.Address) *Overlay {
	return &Overlay{view: view, self: self, seeds: seeds}
}

// IsRelay reports whether this box is a relay.
func (o *Overlay) IsRelay() bool { return o.Links().IsRelay }

// Links returns the connections that this box should have now.
func (o *Overlay) Links() Links {
	o.mu.Lock()
	defer o.mu.Unlock()
	if generation := o.view.EntryGeneration(); !o.worked || generation != o.generation {
		o.worked, o.generation = true, generation
		o.links = o.work()
	}
	if len(o.links.Follow) > 0 {
		return o.links
	}
	links := o.links
	for _, seed := range o.seeds() {
		links.Follow = append(links.Follow, []member.Address{seed})
		links.Up = append(links.Up, seed)
	}
	return links
}

func (o *Overlay) work() Links {
	addresses := make(map[member.BoxID]member.Address)
	regions := make(map[member.Region][]member.BoxID)
	for _, entry := range o.view.Entries("") {
		addresses[entry.Box] = entry.Peers
		regions[entry.Region] = append(regions[entry.Region], entry.Box)
	}
	own := member.NewTree(string(o.self.Region), regions[o.self.Region])
	if len(regions[o.self.Region]) == 0 || own.IsRoot(o.self.Box) {
		return o.relayLinks(regions, addresses)
	}
	var relays []member.Address
	for _, root := range own.Roots() {
		relays = append(relays, addresses[root])
	}
	sources := slices.Clone(relays)
	if parent, ok := own.Parent(o.self.Box); ok {
		sources = append([]member.Address{addresses[parent]}, slices.DeleteFunc(sources, func(a member.Address) bool {
			return a == addresses[parent]
		})...)
	}
	return Links{Follow: [][]member.Address{sources}, Up: relays}
}

func (o *Overlay) relayLinks(regions map[member.Region][]member.BoxID, addresses map[member.BoxID]member.Address) Links {
	links := Links{IsRelay: true, LocalOnly: true}
	for region, boxes := range regions {
		for _, root := range member.NewTree(string(region), boxes).Roots() {
			if root != o.self.Box {
				links.Follow = append(links.Follow, []member.Address{addresses[root]})
			}
		}
	}
	return links
}

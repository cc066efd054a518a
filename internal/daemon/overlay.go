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
	computed   bool
	links      Links
}

// Links are the connections of one entry box within the overlay.
type Links struct {
	// IsRelay is set for the roots of the region's tree.
	IsRelay bool
	// PullSources holds sources to read from; of each element the first address that
	// answers is read.
	PullSources [][]member.Address
	// LocalOnly is set where every source hands on only what came up to it, so
	// that each item crosses once.
	LocalOnly bool
	// PushTargets are the relays that take this box's own changes, the preferred first;
	// empty for a relay.
	PushTargets []member.Address
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
	if generation := o.view.EntryGeneration(); !o.computed || generation != o.generation {
		o.computed, o.generation = true, generation
		o.links = o.computeLinks()
	}
	if len(o.links.PullSources) > 0 {
		return o.links
	}
	links := o.links
	for _, seed := range o.seeds() {
		links.PullSources = append(links.PullSources, []member.Address{seed})
		links.PushTargets = append(links.PushTargets, seed)
	}
	return links
}

func (o *Overlay) computeLinks() Links {
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
	return Links{PullSources: [][]member.Address{sources}, PushTargets: relays}
}

func (o *Overlay) relayLinks(regions map[member.Region][]member.BoxID, addresses map[member.BoxID]member.Address) Links {
	links := Links{IsRelay: true, LocalOnly: true}
	for region, boxes := range regions {
		for _, root := range member.NewTree(string(region), boxes).Roots() {
			if root != o.self.Box {
				links.PullSources = append(links.PullSources, []member.Address{addresses[root]})
			}
		}
	}
	return links
}

package daemon

import (
	"slices"
	"sync"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Overlay computes from which boxes this entry box pulls the replicated items and to which
// it pushes its own changes. The entry boxes of a region form a tree. Its roots, the
// relays, pull from the relays of all regions. The links are recomputed only when
// the record of an entry box has changed.
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
	// IsRelay reports whether the box is a root of its region's tree.
	IsRelay bool
	// PullSources holds the sources to pull from. Each source is a list of alternative addresses,
	// the preferred first.
	PullSources [][]member.Address
	// LocalOnly limits pulls to the items that were published at the source or pushed to it, without
	// those that it pulled, so that each item passes between two relays once.
	LocalOnly bool
	// PushTargets holds the relays that accept this box's own changes, the preferred first.
	// It is empty for a relay, unless the links consist of seeds.
	PushTargets []member.Address
}

// NewOverlay returns the overlay from the point of view of a box. The box uses the seeds
// as long as it has no other source to pull from.
func NewOverlay(view *View, self member.Record, seeds func() []member.Address) *Overlay {
	return &Overlay{view: view, self: self, seeds: seeds}
}

// IsRelay reports whether this box is a relay.
func (o *Overlay) IsRelay() bool { return o.Links().IsRelay }

// Links returns the current links of this box.
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
	tree := member.NewTree(string(o.self.Region), regions[o.self.Region])
	if len(regions[o.self.Region]) == 0 || tree.IsRoot(o.self.Box) {
		return o.relayLinks(regions, addresses)
	}
	var relays []member.Address
	for _, root := range tree.Roots() {
		relays = append(relays, addresses[root])
	}
	sources := slices.Clone(relays)
	if parent, ok := tree.Parent(o.self.Box); ok {
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

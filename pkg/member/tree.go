package member

// Fanout is how many children an inner member of a tree has on average.
const Fanout = 4

// MaxRoots is how many members of a tree stand at its top.
const MaxRoots = 2

// Tree arranges the members of one region so that news reaches all of them while
// each sends to few. Members are ordered by rendezvous; the first are the roots,
// the next Roots times Fanout the first level, and so on. Each member below the
// roots has a parent on the level above it, chosen by rendezvous too. Every
// process with the same members gets the same tree, and a member that comes or
// goes moves few others.
type Tree struct {
	ordered  []BoxID
	position map[BoxID]int
}

// NewTree arranges members under a name, such as that of the region.
func NewTree(name string, members []BoxID) *Tree {
	t := &Tree{ordered: Rank("tree/"+name, members, len(members)), position: make(map[BoxID]int, len(members))}
	for i, box := range t.ordered {
		t.position[box] = i
	}
	return t
}

// Roots returns the members at the top, at most Roots of them.
func (t *Tree) Roots() []BoxID { return t.ordered[:min(MaxRoots, len(t.ordered))] }

// IsRoot reports whether a member stands at the top.
func (t *Tree) IsRoot(box BoxID) bool {
	place, ok := t.position[box]
	return ok && place < MaxRoots
}

// Parent returns the member that a member reads from; ok is false for roots and
// for boxes that are no members.
func (t *Tree) Parent(box BoxID) (parent BoxID, ok bool) {
	place, known := t.position[box]
	if !known || place < MaxRoots {
		return "", false
	}
	start, size := 0, MaxRoots
	for place >= start+size+size*Fanout {
		start, size = start+size, size*Fanout
	}
	above := t.ordered[start:min(start+size, len(t.ordered))]
	return Rank(string(box), above, 1)[0], true
}

// Depth returns how many steps a member is below the roots.
func (t *Tree) Depth(box BoxID) int {
	depth := 0
	for {
		parent, ok := t.Parent(box)
		if !ok {
			return depth
		}
		box = parent
		depth++
	}
}

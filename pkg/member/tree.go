package member

// Fanout is the average number of children of an inner member of a tree.
const Fanout = 4

// MaxRoots is the maximum number of roots of a tree.
const MaxRoots = 2

// Tree arranges the members of one region so that an update reaches all of them
// while each member sends it to few others. Members are in rendezvous order: the
// first MaxRoots are the roots, the next MaxRoots times Fanout form the level below,
// and each further level has Fanout times as many members as the one above. The
// parent of a member is chosen from the level above it, also by rendezvous hashing.
// Every process with the same members gets the same tree, and adding or removing a
// member moves few others.
type Tree struct {
	ordered  []BoxID
	position map[BoxID]int
}

// NewTree returns the tree of members. The name, e.g. of the region, determines their order.
func NewTree(name string, members []BoxID) *Tree {
	t := &Tree{ordered: Rank("tree/"+name, members, len(members)), position: make(map[BoxID]int, len(members))}
	for i, box := range t.ordered {
		t.position[box] = i
	}
	return t
}

// Roots returns the roots of the tree, at most MaxRoots.
func (t *Tree) Roots() []BoxID { return t.ordered[:min(MaxRoots, len(t.ordered))] }

// IsRoot reports whether a box is a root.
func (t *Tree) IsRoot(box BoxID) bool {
	pos, ok := t.position[box]
	return ok && pos < MaxRoots
}

// Parent returns the member that a box reads from. ok is false for roots and for
// boxes that are not members.
func (t *Tree) Parent(box BoxID) (parent BoxID, ok bool) {
	pos, known := t.position[box]
	if !known || pos < MaxRoots {
		return "", false
	}
	start, size := 0, MaxRoots
	for pos >= start+size+size*Fanout {
		start, size = start+size, size*Fanout
	}
	level := t.ordered[start:min(start+size, len(t.ordered))]
	return Rank(string(box), level, 1)[0], true
}

// Depth returns how many levels a member is below the roots.
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

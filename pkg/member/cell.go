package member

import "strconv"

// Entry boxes that share servers report their requests in flight to each other. The traffic of
// each box grows with the number of boxes that share servers. A large fleet is therefore divided
// into cells. Each cell has an equal part of the entry boxes of each region, and these send their
// requests to an equal part of the servers of each region. Every cell is a scaled-down copy of the
// fleet, so the overload or the loss of a region affects all cells equally.
const (
	// boxesPerCell is the minimum number of entry boxes per cell when a fleet is divided because it
	// has many entry boxes. Such cells have 12 to 23 of them. Each box reports to the others of its
	// cell about ten times per second. With 23 boxes, that is 230 messages of about 70 bytes per
	// second: 16 of the 18 KB/s that a node may use for control traffic.
	boxesPerCell = 12
	// maxServersPerCell is the number of servers per cell above which cells are divided further if
	// possible. The agents of the servers report to each entry box of the cell 2.5 times per
	// second: 160 messages per second from 64 servers.
	maxServersPerCell = 64
	// minBoxesPerCell is the minimum number of entry boxes per cell, regardless of the number of
	// servers. Four boxes do not usually fail at the same time.
	minBoxesPerCell = 4
	// minServersPerCell is the minimum number of servers per cell. With fewer, all slots of one cell
	// are in use while others have free slots.
	minServersPerCell = 4
	// maxBoxesPerCell is the number of entry boxes per cell above which cells are divided further even if they then share
	// servers: the connections within a cell grow with the square of its boxes.
	maxBoxesPerCell = 64
)

// CellCount returns the number of cells of a fleet. It is a power of two, so a growing fleet divides
// each cell into two, and most servers keep their entry boxes.
func CellCount(boxes, servers int) int {
	cells := 1
	for {
		next := 2 * cells
		large := boxes >= boxesPerCell*next || servers > maxServersPerCell*cells
		isDivided := large && boxes >= minBoxesPerCell*next && IsDivisible(servers, next)
		if !isDivided && boxes <= maxBoxesPerCell*cells {
			return cells
		}
		cells = next
	}
}

// IsDivisible reports whether a service has enough servers to divide them among cells. All cells
// share the servers of a smaller service.
func IsDivisible(servers, cells int) bool { return servers >= minServersPerCell*cells }

// attemptsPerCell is the number of pseudo-random cells tried for a key, per existing cell, before
// the first cell with room is used.
const attemptsPerCell = 4

// AssignCells divides keys evenly among cells: the sizes of any two cells differ by at most one.
// Every process with the same keys gets the same assignment, and adding or removing a key moves
// few others (consistent hashing with bounded loads: V. Mirrokni, M. Thorup and
// M. Zadimoghaddam, 2018).
func AssignCells[K ~string](keys []K, cells int) map[K]int {
	ordered := Rank("cell", keys, len(keys))
	sizes := make([]int, cells)
	minSize, extra := len(keys)/cells, len(keys)%cells
	hasRoom := func(cell int) bool { return sizes[cell] < minSize || sizes[cell] == minSize && extra > 0 }
	assigned := make(map[K]int, len(keys))
	for _, key := range ordered {
		cell := chooseCell(key, cells, hasRoom)
		if sizes[cell] == minSize {
			extra--
		}
		sizes[cell]++
		assigned[key] = cell
	}
	return assigned
}

// chooseCell returns the first cell with room in the pseudo-random order of a key.
func chooseCell[K ~string](key K, cells int, hasRoom func(cell int) bool) int {
	for attempt := range attemptsPerCell * cells {
		if cell := int(Score("cell-"+strconv.Itoa(attempt), string(key)) % uint64(cells)); hasRoom(cell) {
			return cell
		}
	}
	for cell := range cells {
		if hasRoom(cell) {
			return cell
		}
	}
	return 0
}

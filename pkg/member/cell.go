package member

import "strconv"

// Entry boxes that share servers have to tell each other what they have in flight there,
// so what each of them spends on that grows with how many share. A large fleet is therefore
// divided into cells: an equal part of the entry boxes of each region, before an equal part
// of the servers of each region. So every cell is a small image of the whole fleet, and an
// overload of one region, or the loss of one, weighs on all cells alike.
const (
	// boxesPerCell is how many entry boxes a cell has at least before a fleet is divided: from
	// 12 to 23. Each tells the others of its cell some ten times a second; with 23 of them
	// that is 230 messages of about 70 bytes a second, 16 KB of the 18 KB that a node may
	// spend on control.
	boxesPerCell = 12
	// maxServersPerCell is how many servers a cell has at most if it can be divided further. Their
	// agents tell each entry box of the cell of them 2.5 times a second: 160 messages.
	maxServersPerCell = 64
	// minBoxesPerCell is below how many entry boxes a cell is not divided further, however
	// many servers it has: so many do not fail together on an ordinary day.
	minBoxesPerCell = 4
	// minServersPerCell is the same for servers: with fewer, the places of a cell are taken
	// while those of others are free.
	minServersPerCell = 4
)

// CellCount returns into how many cells a fleet is divided: a power of two, so that a fleet
// that grows divides each cell into two, and most servers keep their entry boxes.
func CellCount(boxes, servers int) int {
	cells := 1
	for {
		next := 2 * cells
		large := boxes >= boxesPerCell*next || servers > maxServersPerCell*cells
		if !large || boxes < minBoxesPerCell*next || !IsDivisible(servers, next) {
			return cells
		}
		cells = next
	}
}

// IsDivisible reports whether so many servers of a service are divided among cells. A service
// with fewer is shared by all of them.
func IsDivisible(servers, cells int) bool { return servers >= minServersPerCell*cells }

// attemptsPerCell is how many cells are drawn for a key, as a multiple of the cells, before the
// first one that has room is taken.
const attemptsPerCell = 4

// AssignCells divides keys evenly among cells: none has more than one key more than another.
// Every process with the same keys gets the same answer, and a key that comes or goes moves
// few others (consistent hashing with bounded loads: V. Mirrokni, M. Thorup and
// M. Zadimoghaddam, 2018).
func AssignCells[K ~string](keys []K, cells int) map[K]int {
	ordered := Rank("cell", keys, len(keys))
	held := make([]int, cells)
	least, extra := len(keys)/cells, len(keys)%cells
	hasRoom := func(cell int) bool { return held[cell] < least || held[cell] == least && extra > 0 }
	assigned := make(map[K]int, len(keys))
	for _, key := range ordered {
		cell := chooseCell(key, cells, hasRoom)
		if held[cell] == least {
			extra--
		}
		held[cell]++
		assigned[key] = cell
	}
	return assigned
}

// chooseCell returns the first cell with room in the order that belongs to a key.
func chooseCell[K ~string](key K, cells int, hasRoom func(cell int) bool) int {
	for try := range attemptsPerCell * cells {
		if cell := int(Score("cell-"+strconv.Itoa(try), string(key)) % uint64(cells)); hasRoom(cell) {
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

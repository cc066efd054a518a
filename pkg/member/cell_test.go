package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestCellCountFollowsFleetSize(t *testing.T) {
	for _, fleet := range []struct{ boxes, servers, cells int }{
		{1, 0, 1},
		{6, 12, 1},
		{9, 20, 1},
		{23, 60, 1},
		{42, 76, 2},
		{149, 120, 8},
		{149, 204, 8},
		{30, 301, 4},
		{300, 3002, 64},
		{2200, 12000, 256},
		{149, 20, 4},
		{149, 3, 4},
	} {
		require.Equal(t, fleet.cells, CellCount(fleet.boxes, fleet.servers), "%d boxes, %d servers", fleet.boxes, fleet.servers)
	}
}

func testAddresses(n int) []string {
	all := make([]string, 0, n)
	for i := range n {
		all = append(all, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
	}
	return all
}

func TestAssignCellsBalancesKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, cells := rapid.IntRange(0, 300).Draw(t, "keys"), 1<<rapid.IntRange(0, 5).Draw(t, "cells")
		sizes := make([]int, cells)
		assigned := AssignCells(testAddresses(n), cells)
		for _, cell := range assigned {
			sizes[cell]++
		}
		require.Len(t, assigned, n)
		for _, size := range sizes {
			require.GreaterOrEqual(t, size, n/cells)
			require.LessOrEqual(t, size, (n+cells-1)/cells)
		}
	})
}

// Adding a server moves less than 10% of the others to another cell. A round-robin assignment would
// move half of them.
func TestAddedKeyMovesFewOtherKeys(t *testing.T) {
	const cells = 8
	moved, steps := 0, 0
	for n := 24; n < 42; n++ {
		before, after := AssignCells(testAddresses(n), cells), AssignCells(testAddresses(n+1), cells)
		for key, cell := range before {
			if after[key] != cell {
				moved++
			}
		}
		steps += n
	}
	require.Less(t, float64(moved)/float64(steps), 0.1)
}

// BenchmarkAssignCells assigns the servers of one region to cells.
func BenchmarkAssignCells(b *testing.B) {
	for _, size := range []struct{ keys, cells int }{{40, 8}, {2000, 256}} {
		b.Run(fmt.Sprintf("keys=%d/cells=%d", size.keys, size.cells), func(b *testing.B) {
			keys := testAddresses(size.keys)
			for b.Loop() {
				AssignCells(keys, size.cells)
			}
		})
	}
}

// Guards against a large fleet that is one cell while few or no servers are known: each box would connect to every other.
func TestCellsOfLargeFleetsAreBoundedForAnyNumberOfServers(t *testing.T) {
	for _, boxes := range []int{65, 100, 300, 547, 2200} {
		for _, servers := range []int{0, 1, 4, 23, 440, 12000} {
			cells := CellCount(boxes, servers)
			require.LessOrEqual(t, boxes, maxBoxesPerCell*cells, "%d boxes, %d servers", boxes, servers)
		}
	}
	require.Equal(t, 1, CellCount(maxBoxesPerCell, 1))
}

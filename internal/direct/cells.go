package direct

import (
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// cellPlan is the division of the fleet into cells, in the current view of this box. While the views of two boxes
// differ, the boxes may use the same servers without exchanging their load; route.Dispatcher then relies on the
// load that the agents report.
type cellPlan struct {
	cellCount, ownCell int
	// cellByBox maps every entry box to its cell; cellPeers is the set of other entry boxes in the own cell.
	cellByBox map[member.BoxID]int
	cellPeers map[member.BoxID]bool
	// cellByServer maps the addresses of divided servers to their cells. All cells share the servers that are not
	// in it.
	cellByServer map[member.Address]int
}

// usesServer reports whether the own cell uses a server.
func (p *cellPlan) usesServer(address member.Address) bool {
	if p == nil {
		return true
	}
	cell, divided := p.cellByServer[address]
	return !divided || cell == p.ownCell
}

// relaySources returns the boxes of other cells whose rejected callers this box relays to its own cell, with their
// relay dimension. Each box is followed by one box of every cell whose number differs from its own in exactly one
// bit, preferably by one of its own region.
func (p *cellPlan) relaySources(self member.BoxID, up []member.Record) map[member.Address]route.RelayDimension {
	if p.cellCount == 1 {
		return nil
	}
	var cellBoxes []member.BoxID
	inRegion := make(map[member.Region][]member.BoxID)
	for i := range up {
		if box := up[i].Box; p.cellPeers[box] || box == self {
			cellBoxes = append(cellBoxes, box)
			inRegion[up[i].Region] = append(inRegion[up[i].Region], box)
		}
	}
	sources := make(map[member.Address]route.RelayDimension)
	for i := range up {
		cell, known := p.cellByBox[up[i].Box]
		diff := uint(cell ^ p.ownCell)
		if !known || bits.OnesCount(diff) != 1 {
			continue
		}
		candidates := inRegion[up[i].Region]
		if len(candidates) == 0 {
			candidates = cellBoxes
		}
		if ranked := member.Rank("relay "+string(up[i].Box), candidates, 1); len(ranked) > 0 && ranked[0] == self {
			sources[up[i].Peers] = route.RelayDimension(bits.Len(diff))
		}
	}
	return sources
}

// ownServers returns the servers of a service that the own cell uses, with rate limits reduced to the cell's share. If the
// operators have evacuated all of them, these are the servers of other cells.
func (p *cellPlan) ownServers(servers []fleet.Server) []fleet.Server {
	if p == nil || p.cellCount == 1 {
		return servers
	}
	owned := make([]fleet.Server, 0, len(servers)/p.cellCount+1)
	for i := range servers {
		server := servers[i]
		if !p.usesServer(server.Address) {
			continue
		}
		if _, divided := p.cellByServer[server.Address]; !divided && server.Limit.Set {
			var ok bool
			if server.Limit, ok = p.limitShare(&server); !ok {
				continue
			}
		}
		owned = append(owned, server)
	}
	if slices.ContainsFunc(owned, isInService) {
		return owned
	}
	return append(owned, p.borrowedServers(servers)...)
}

// isInService reports whether a server may get requests by the operators and by its own announcement.
func isInService(server fleet.Server) bool { return !server.Evacuated && !server.Leaving }

// borrowedServers returns the servers of other cells that a cell without any of its own may use. Servers with a limit are
// left out: cells do not report requests to each other, so the sum could exceed the limit.
func (p *cellPlan) borrowedServers(servers []fleet.Server) []fleet.Server {
	var borrowed []fleet.Server
	for i := range servers {
		if server := &servers[i]; isInService(*server) && !p.usesServer(server.Address) && !server.Limit.Set && !server.Cold {
			borrowed = append(borrowed, *server)
		}
	}
	return borrowed
}

// minCellRate is the smallest share, in requests per second, that a rate limit is divided into. Cells do not
// report requests to each other, so each may send one request in addition to its share.
const minCellRate = 2

// limitShare returns this cell's share of the rate limit of a server that all cells use; ok is false if it has
// none. If the limit is too low for all cells, rendezvous hashing by server ID selects the cells that share it.
func (p *cellPlan) limitShare(server *fleet.Server) (share fleet.RateLimit, ok bool) {
	sharing := max(1, min(p.cellCount, int(min(server.Limit.PerSecond/minCellRate, float64(p.cellCount)))))
	cells := make([]string, p.cellCount)
	for cell := range cells {
		cells[cell] = strconv.Itoa(cell)
	}
	if !slices.Contains(member.Rank("limit "+string(server.ID), cells, sharing), strconv.Itoa(p.ownCell)) {
		return fleet.RateLimit{}, false
	}
	share = server.Limit
	share.PerSecond /= float64(sharing)
	share.Burst /= float64(sharing)
	return share, true
}

// planCells divides the entry boxes and the servers of a view into cells, separately for each region.
func planCells(self member.BoxID, boxes []member.Record, view *fleet.View, regionOf func(member.FailureDomain) member.Region) *cellPlan {
	cells := member.CellCount(len(boxes), largestServiceSize(view, len(boxes)))
	plan := &cellPlan{cellCount: cells, cellPeers: make(map[member.BoxID]bool), cellByServer: make(map[member.Address]int)}
	assigned := make(map[member.BoxID]int, len(boxes))
	for _, region := range byRegion(boxes, func(r *member.Record) (member.Region, member.BoxID) { return r.Region, r.Box }) {
		maps.Copy(assigned, member.AssignCells(region, cells))
	}
	plan.cellByBox, plan.ownCell = assigned, assigned[self]
	for box, cell := range assigned {
		if cell == plan.ownCell && box != self {
			plan.cellPeers[box] = true
		}
	}
	if cells == 1 {
		return plan
	}
	for _, service := range view.Services() {
		servers := view.Servers(service.Name)
		if !member.IsDivisible(len(servers), cells) {
			continue
		}
		keyOf := func(s *fleet.Server) (member.Region, member.Address) { return regionOf(s.Domain), s.Address }
		for _, region := range byRegion(servers, keyOf) {
			maps.Copy(plan.cellByServer, member.AssignCells(region, cells))
		}
	}
	return plan
}

// largestServiceSize returns the number of servers of the largest service with an engine. Before a configuration or any
// server is known, it returns the number of boxes, so that the number of boxes alone determines the division.
func largestServiceSize(view *fleet.View, boxes int) int {
	largest, hasServers := 0, false
	for _, service := range view.Services() {
		servers := len(view.Servers(service.Name))
		hasServers = hasServers || servers > 0
		if service.Engine != nil {
			largest = max(largest, servers)
		}
	}
	if !hasServers {
		return boxes
	}
	return largest
}

// byRegion groups keys by region. The groups are sorted by the name of the region.
func byRegion[T any, K ~string](all []T, keyOf func(*T) (member.Region, K)) [][]K {
	groups := make(map[member.Region][]K)
	for i := range all {
		region, key := keyOf(&all[i])
		groups[region] = append(groups[region], key)
	}
	ordered := make([][]K, 0, len(groups))
	for _, region := range slices.Sorted(maps.Keys(groups)) {
		ordered = append(ordered, groups[region])
	}
	return ordered
}

// planInput is the input of planCells.
type planInput struct {
	boxes []member.Record
	// services holds the servers of each service.
	services   []plannedService
	configured bool
}

// plannedService is a service as far as planCells depends on it.
type plannedService struct {
	name      member.Service
	hasEngine bool
	servers   []fleet.Server
}

// isEqual reports whether planCells returns equal plans for two inputs. Most changes of records and entries change
// neither a box nor the address of a server, and the plan of a large fleet takes milliseconds to compute.
func (p *planInput) isEqual(other *planInput) bool {
	return p.configured == other.configured && isEqualUnlessSame(p.boxes, other.boxes, isSamePlace) &&
		slices.EqualFunc(p.services, other.services, func(a, b plannedService) bool {
			return a.name == b.name && a.hasEngine == b.hasEngine && isEqualUnlessSame(a.servers, b.servers, isSameServer)
		})
}

// isSamePlace reports whether two records are of one box in one region.
func isSamePlace(a, b member.Record) bool { return a.Box == b.Box && a.Region == b.Region }

// isSameServer reports whether two entries have the same address and failure domain.
func isSameServer(a, b fleet.Server) bool { return a.Address == b.Address && a.Domain == b.Domain }

// isEqualUnlessSame compares two slices with equal, unless they have the same underlying array. Views share unchanged
// slices.
func isEqualUnlessSame[T any](a, b []T, equal func(a, b T) bool) bool {
	return isSameSlice(a, b) || slices.EqualFunc(a, b, equal)
}

// isSameSlice reports whether two slices have the same length and the same underlying array.
func isSameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

const (
	// minSettledBoxes is the number of boxes up to which a plan is never postponed.
	minSettledBoxes = 64
	// minGrowthDivisor is the divisor of the number of planned boxes that gives the growth from which a plan is postponed.
	minGrowthDivisor = 8
	// settleTime is how long the number of boxes must stay the same before a postponed plan is made, maxSettleTime how
	// long a plan is postponed at most.
	settleTime    = 200 * time.Millisecond
	maxSettleTime = time.Second
)

// planGrowth is the growth of the fleet beyond the current plan. When hundreds of boxes start, each box receives their
// records within a second, and each plan made meanwhile would replace the subscriptions to all boxes of a cell.
type planGrowth struct {
	boxes         int
	since, grewAt time.Time
}

// isFast reports whether a plan for a number of boxes is postponed because more boxes are expected. planned is the number
// of boxes in the current plan.
func (g *planGrowth) isFast(boxes, planned int, now time.Time) bool {
	if boxes <= minSettledBoxes || boxes-planned <= planned/minGrowthDivisor {
		*g = planGrowth{}
		return false
	}
	if g.since.IsZero() {
		g.since = now
	}
	if boxes > g.boxes {
		g.boxes, g.grewAt = boxes, now
	}
	return now.Sub(g.grewAt) < settleTime && now.Sub(g.since) < maxSettleTime
}

// replan updates the plan if its input has changed. It reports whether the update is postponed.
func (e *EntryBoxes) replan() (postponed bool) {
	view := e.fleetState.View()
	input := planInput{boxes: e.membership.All(), configured: view.Configuration != nil}
	for _, service := range view.Services() {
		input.services = append(input.services, plannedService{service.Name, service.Engine != nil, view.Servers(service.Name)})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.plan != nil && e.planInput.isEqual(&input) {
		return false
	}
	before := e.plan
	if e.isPostponed = before != nil && e.growth.isFast(len(input.boxes), len(e.planInput.boxes), e.clock.Now()); e.isPostponed {
		return true
	}
	e.growth = planGrowth{}
	e.plan, e.planInput = planCells(e.self.Box, input.boxes, view, e.regionOf), input
	if before == nil || before.cellCount != e.plan.cellCount || before.ownCell != e.plan.ownCell {
		e.log.Info().Int("boxes", len(input.boxes)).Int("cells", e.plan.cellCount).Int("cell", e.plan.ownCell).Int("mates", len(e.plan.cellPeers)).Msg("fleet divided")
	}
	close(e.replanned)
	e.replanned = make(chan struct{})
	return false
}

// currentPlan returns the plan, nil before the first one.
func (e *EntryBoxes) currentPlan() *cellPlan {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan
}

// Replanned returns a channel that is closed at the next change of the plan.
func (e *EntryBoxes) Replanned() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replanned
}

// isPlanPostponed reports whether the plan is outdated because more boxes are expected.
func (e *EntryBoxes) isPlanPostponed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isPostponed
}

// CellSize returns the number of entry boxes in the own cell: the live ones, which are this one and those that have sent
// a status within statusTimeout, and all, which includes those that may run and be unreachable from here. While the plan
// is postponed, all known boxes may use the same servers.
func (e *EntryBoxes) CellSize() (live, all int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.plan == nil:
		return 1, 1
	case e.isPostponed:
		up := e.membership.UpCount()
		return up, up
	}
	live = 1
	now := e.clock.Now()
	for _, box := range e.boxes {
		if now.Sub(box.LastSeen) < statusTimeout && e.plan.cellPeers[box.Box] {
			live++
		}
	}
	return live, max(live, len(e.plan.cellPeers)+1)
}

package direct

import (
	"maps"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// cellPlan is how the fleet is divided, as this box sees it. Boxes that see it differently for a
// while share some servers without knowing of each other; what the agents report of their
// servers then counts (route.Dispatcher).
type cellPlan struct {
	count, ownCell int
	// cellByBox are the cells of all entry boxes, mates the other entry boxes of the own cell.
	cellByBox map[member.BoxID]int
	cellPeers map[member.BoxID]bool
	// cellByServer are the cells of the servers that are divided, by address; those that are not in
	// it are shared by all cells.
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

// relaySources returns the boxes of other cells whom this one follows to tell its own cell whom they have sent away. A box is
// followed by one of each cell whose number differs from its own in one bit, of its own region where there is one.
func (p *cellPlan) relaySources(self member.BoxID, up []member.Record) map[member.Address]route.RelayDimension {
	if p.count == 1 {
		return nil
	}
	var cell []member.BoxID
	inRegion := make(map[member.Region][]member.BoxID)
	for i := range up {
		if box := up[i].Box; p.cellPeers[box] || box == self {
			cell = append(cell, box)
			inRegion[up[i].Region] = append(inRegion[up[i].Region], box)
		}
	}
	relayed := make(map[member.Address]route.RelayDimension)
	for i := range up {
		other, known := p.cellByBox[up[i].Box]
		differ := uint(other ^ p.ownCell)
		if !known || bits.OnesCount(differ) != 1 {
			continue
		}
		candidates := inRegion[up[i].Region]
		if len(candidates) == 0 {
			candidates = cell
		}
		if first := member.Rank("relay "+string(up[i].Box), candidates, 1); len(first) > 0 && first[0] == self {
			relayed[up[i].Peers] = route.RelayDimension(bits.Len(differ))
		}
	}
	return relayed
}

// ownServers returns those servers that the own cell uses.
func (p *cellPlan) ownServers(servers []fleet.Server) []fleet.Server {
	if p == nil || p.count == 1 {
		return servers
	}
	owned := make([]fleet.Server, 0, len(servers)/p.count+1)
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
	return owned
}

// minCellRate is the smallest share, in requests per second, that a rate limit is divided into. Cells do not report requests to each
// other, so each may send one request in addition to its share.
const minCellRate = 2

// limitShare returns this cell's share of the rate limit of a server that all cells use; ok is false if it has none. If the limit is
// too low for all cells, rendezvous hashing by server ID selects the cells that share it.
func (p *cellPlan) limitShare(server *fleet.Server) (share fleet.RateLimit, ok bool) {
	sharing := max(1, min(p.count, int(min(server.Limit.PerSecond/minCellRate, float64(p.count)))))
	cells := make([]string, p.count)
	for cell := range cells {
		cells[cell] = strconv.Itoa(cell)
	}
	if !slices.Contains(member.Rank("limit "+string(server.ID), cells, sharing), strconv.Itoa(p.ownCell)) {
		return fleet.RateLimit{}, false
	}
	return fleet.RateLimit{Set: true, PerSecond: server.Limit.PerSecond / float64(sharing)}, true
}

// planCells divides the entry boxes and the servers of a view.
func planCells(self member.BoxID, boxes []member.Record, view *fleet.View, regionOf func(member.FailureDomain) member.Region) *cellPlan {
	cells := member.CellCount(len(boxes), largestServiceSize(view, len(boxes)))
	plan := &cellPlan{count: cells, cellPeers: make(map[member.BoxID]bool), cellByServer: make(map[member.Address]int)}
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
		where := func(s *fleet.Server) (member.Region, member.Address) { return regionOf(s.Domain), s.Address }
		for _, region := range byRegion(servers, where) {
			maps.Copy(plan.cellByServer, member.AssignCells(region, cells))
		}
	}
	return plan
}

// largestServiceSize is how many servers the largest service has that runs models. Until a
// configuration is known there are taken to be enough to divide the fleet by its boxes alone.
func largestServiceSize(view *fleet.View, boxes int) int {
	if view.Configuration == nil {
		return boxes
	}
	largest := 0
	for _, service := range view.Services() {
		if service.Engine != nil {
			largest = max(largest, len(view.Servers(service.Name)))
		}
	}
	return largest
}

// byRegion groups keys by region, in the order of the regions' names.
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

// planInput is what a plan was made from.
type planInput struct {
	boxes []member.Record
	// services are the servers of each service.
	services   [][]fleet.Server
	configured bool
}

// isEqual reports whether nothing has changed. Views share the slices that stay as they were.
func (p *planInput) isEqual(other *planInput) bool {
	return p.configured == other.configured && isSameSlice(p.boxes, other.boxes) && slices.EqualFunc(p.services, other.services, isSameSlice)
}

func isSameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// replan divides the fleet anew if it has changed.
func (e *EntryBoxes) replan() {
	view := e.fleetState.View()
	input := planInput{boxes: e.membership.All(), configured: view.Configuration != nil}
	for _, service := range view.Services() {
		input.services = append(input.services, view.Servers(service.Name))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.plan != nil && e.planInput.isEqual(&input) {
		return
	}
	before := e.plan
	e.plan, e.planInput = planCells(e.self.Box, input.boxes, view, e.regionOf), input
	if before == nil || before.count != e.plan.count || before.ownCell != e.plan.ownCell {
		e.log.Info().Int("boxes", len(input.boxes)).Int("cells", e.plan.count).Int("cell", e.plan.ownCell).Int("mates", len(e.plan.cellPeers)).Msg("fleet divided")
	}
	close(e.replanned)
	e.replanned = make(chan struct{})
}

// currentPlan returns how the fleet is divided; nil until that is known.
func (e *EntryBoxes) currentPlan() *cellPlan {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan
}

// Replanned returns a channel that is closed when the fleet is divided anew.
func (e *EntryBoxes) Replanned() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replanned
}

// CellSize is how many entry boxes share the servers of the cell, with this one, as far as
// they are heard.
func (e *EntryBoxes) CellSize() int {
	plan, boxes := e.currentPlan(), 1
	if plan == nil {
		return boxes
	}
	for _, box := range e.Boxes() {
		if plan.cellPeers[box.Box] {
			boxes++
		}
	}
	return boxes
}

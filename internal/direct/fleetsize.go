package direct

import (
	"slices"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// fleetSize is the number of boxes that a group of entry boxes knows. The group consists of boxes that have passed on their
// claims of the extra retries to each other without interruption.
type fleetSize struct {
	// since is the start of the group's first box; 0 if unknown. Of two groups of one fleet, the later one started anew out
	// of the reach of the earlier one, or after it.
	since member.Incarnation
	boxes int
}

// fleetSizeMemory is what an agent keeps of the sizes that entry boxes report. It survives a restart of all entry boxes. The
// report of a later group replaces that of an earlier one only after unreachableExpiry, as boxes of the earlier one may still
// use their shares of the extra retries. Its zero value is empty. It is safe for concurrent use.
type fleetSizeMemory struct {
	mu   sync.Mutex
	size fleetSize
	at   time.Time
}

// Note records the report of an entry box.
func (m *fleetSizeMemory) Note(reported fleetSize, now time.Time) {
	if reported.since == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.size.since == 0 || reported.since <= m.size.since || now.Sub(m.at) >= unreachableExpiry {
		m.size, m.at = reported, now
	}
}

// Size returns the size that is kept.
func (m *fleetSizeMemory) Size() fleetSize {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.size
}

// reportedFleet is the last report of an agent.
type reportedFleet struct {
	fleetSize
	at time.Time
}

// NoteFleetSize records the size of the fleet that an agent reports.
func (m *Membership) NoteFleetSize(agent member.Address, reported fleetSize) {
	if reported.since == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for other, known := range m.reportedFleets {
		if now.Sub(known.at) >= unreachableExpiry {
			delete(m.reportedFleets, other)
		}
	}
	m.reportedFleets[agent] = reportedFleet{reported, now}
}

// fleetSize returns the size of the fleet as this box knows it, with since 0 while the box has no claim of its own.
func (m *Membership) fleetSize() fleetSize {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fleetSize{m.own.FleetSince, len(m.records) + len(m.retired)}
}

// EarlierFleetBoxes returns the largest number of boxes that an agent knows of a group that started before that of this box;
// 0 if there is none. A part of a fleet that starts anew can't know the boxes that it can't reach by other means.
func (m *Membership) EarlierFleetBoxes() (boxes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, reported := range m.reportedFleets {
		if (m.own.FleetSince == 0 || reported.since < m.own.FleetSince) && now.Sub(reported.at) < unreachableExpiry {
			boxes = max(boxes, reported.boxes)
		}
	}
	return boxes
}

// fleetSince returns the start of the group of this box: that of the earliest known box with a claim. The lock must be held.
func (m *Membership) fleetSince() member.Incarnation {
	since := m.own.FleetSince
	if since == 0 {
		since = m.own.Incarnation
	}
	for _, record := range m.records {
		if record.RetryClaim > 0 && record.FleetSince > 0 {
			since = min(since, record.FleetSince)
		}
	}
	return since
}

// isolationTime is how long after its start a box does without a share of the extra retries if it does not know a box at
// each seed address. It may have started where it can't reach them.
const isolationTime = time.Minute

// knowsFleet reports whether no other entry box is missing from the membership: another box claims a share, so its records
// have been received, or a box at each seed address and in each failure domain is known. A failure domain may have no
// entry box, so one without is only waited for while the share may hardly be used.
func (e *EntryBoxes) knowsFleet(started time.Time, startTime time.Duration) bool {
	age := e.clock.Since(started)
	if age >= isolationTime {
		return true
	}
	peers, domains := make(map[string]bool), make(map[member.FailureDomain]bool)
	for _, record := range e.membership.All() {
		if record.RetryClaim > 0 && record.Box != e.self.Box {
			return true
		}
		peers[string(record.Peers)], domains[record.FailureDomain] = true, true
	}
	isMissing := func(domain member.FailureDomain) bool { return !domains[domain] }
	return e.knowsSeeds(peers) && (age >= startTime || !slices.ContainsFunc(e.domains, isMissing))
}

// knowsSeeds reports whether all seed addresses are among those of known boxes.
func (e *EntryBoxes) knowsSeeds(peers map[string]bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(e.seeds, func(seed string) bool { return !peers[seed] })
}

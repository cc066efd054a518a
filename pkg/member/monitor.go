package member

import (
	"slices"
	"sync"
	"time"
)

// Monitor remembers when each box was last heard. It is safe for concurrent use.
type Monitor struct {
	timeout time.Duration

	mu            sync.Mutex
	lastHeartbeat map[BoxID]time.Time
}

// NewMonitor returns a monitor that calls a box silent after timeout.
func NewMonitor(timeout time.Duration) *Monitor {
	return &Monitor{timeout: timeout, lastHeartbeat: make(map[BoxID]time.Time)}
}

// RecordHeartbeat notes a heartbeat.
func (m *Monitor) RecordHeartbeat(box BoxID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeartbeat[box] = now
}

// ResetAll counts every box as heard now, for when the monitor itself stood still.
func (m *Monitor) ResetAll(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for box := range m.lastHeartbeat {
		m.lastHeartbeat[box] = now
	}
}

// HasRecentHeartbeat reports whether the box's heartbeats have not stopped here.
func (m *Monitor) HasRecentHeartbeat(box BoxID, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.lastHeartbeat[box]
	return ok && now.Sub(last) <= m.timeout
}

// RemoveSilent returns the boxes whose heartbeats have stopped, and forgets them.
func (m *Monitor) RemoveSilent(now time.Time) []BoxID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var silent []BoxID
	for box, last := range m.lastHeartbeat {
		if now.Sub(last) > m.timeout {
			silent = append(silent, box)
			delete(m.lastHeartbeat, box)
		}
	}
	slices.Sort(silent)
	return silent
}

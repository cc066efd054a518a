package member

import (
	"slices"
	"sync"
	"time"
)

// Monitor detects silent boxes by their missing heartbeats. It is safe for concurrent use.
type Monitor struct {
	timeout time.Duration

	mu            sync.Mutex
	lastHeartbeat map[BoxID]time.Time
}

// NewMonitor returns a monitor that considers a box silent if its last heartbeat is older than timeout.
func NewMonitor(timeout time.Duration) *Monitor {
	return &Monitor{timeout: timeout, lastHeartbeat: make(map[BoxID]time.Time)}
}

// RecordHeartbeat records a heartbeat that was received from a box at now.
func (m *Monitor) RecordHeartbeat(box BoxID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeartbeat[box] = now
}

// ResetAll sets the last heartbeat of every known box to now. It is meant for a monitor whose own process was paused
// and may have missed heartbeats.
func (m *Monitor) ResetAll(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for box := range m.lastHeartbeat {
		m.lastHeartbeat[box] = now
	}
}

// HasRecentHeartbeat reports whether the box's last heartbeat is no older than the timeout.
func (m *Monitor) HasRecentHeartbeat(box BoxID, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.lastHeartbeat[box]
	return ok && now.Sub(last) <= m.timeout
}

// RemoveSilent removes the boxes whose last heartbeat is older than the timeout and returns them in order of their
// IDs.
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

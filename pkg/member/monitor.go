package member

import (
	"slices"
	"sync"
	"time"
)

// Monitor remembers when each box was last heard. It is safe for concurrent use.
type Monitor struct {
	timeout time.Duration

	mu    sync.Mutex
	heard map[BoxID]time.Time
}

// NewMonitor returns a monitor that calls a box silent after timeout.
func NewMonitor(timeout time.Duration) *Monitor {
	return &Monitor{timeout: timeout, heard: make(map[BoxID]time.Time)}
}

// Heard notes a heartbeat.
func (m *Monitor) Heard(box BoxID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[box] = now
}

// Excuse counts every box as heard now, for when the monitor itself stood still.
func (m *Monitor) Excuse(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for box := range m.heard {
		m.heard[box] = now
	}
}

// HeardLately reports whether the box's heartbeats have not stopped here.
func (m *Monitor) HeardLately(box BoxID, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.heard[box]
	return ok && now.Sub(last) <= m.timeout
}

// Silent returns the boxes whose heartbeats have stopped, and forgets them.
func (m *Monitor) Silent(now time.Time) []BoxID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var silent []BoxID
	for box, last := range m.heard {
		if now.Sub(last) > m.timeout {
			silent = append(silent, box)
			delete(m.heard, box)
		}
	}
	slices.Sort(silent)
	return silent
}

package direct

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// smallTransferBytes is the size of a batch of facts up to which it is sent at once, whatever else is being sent.
	smallTransferBytes = 8 << 10
	// maxSentPulls and maxSentStreams bound the larger transfers of facts that a box sends at a time: those that entry
	// boxes pull, and those on the streams of agents. Few at a time end sooner, and each receiver of a pull sends the
	// facts to others.
	maxSentPulls   = 2
	maxSentStreams = 4
	// sendSlotTimeout is how long a receiver may hold a slot without a batch being sent to it. It may be frozen or cut off.
	sendSlotTimeout = statusTimeout
	// narrowLinkRate is the bandwidth of the smallest boxes in bytes per second, less a part for other traffic. It gives
	// how long a transfer on a stream, whose end its receiver does not confirm, takes.
	narrowLinkRate = 4 << 20
)

// sendSlots bounds the transfers of facts that are being sent. Its zero value has no transfer.
type sendSlots struct {
	mu    sync.Mutex
	inUse int
	// freed is closed when the next slot is released, nil if nobody waits for one.
	freed chan struct{}
}

// sendSlot is the right to send one transfer.
type sendSlot struct {
	slots   *sendSlots
	timeout clockwork.Timer
	once    sync.Once
	// released is closed once the slot is released.
	released chan struct{}
}

// acquire returns a slot if fewer than limit are in use, or else nil. The slot is released after sendSlotTimeout without a
// call of renew.
func (s *sendSlots) acquire(limit int, clock clockwork.Clock) *sendSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse >= limit {
		return nil
	}
	s.inUse++
	slot := &sendSlot{slots: s, released: make(chan struct{})}
	slot.timeout = clock.AfterFunc(sendSlotTimeout, slot.release)
	return slot
}

// nextFreed returns a channel that is closed when the next slot is released.
func (s *sendSlots) nextFreed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed == nil {
		s.freed = make(chan struct{})
	}
	return s.freed
}

// renew states that a part of the transfer was sent. A nil slot is that of a transfer that needs none.
func (s *sendSlot) renew() {
	if s != nil {
		s.timeout.Reset(sendSlotTimeout)
	}
}

// releaseAfter releases the slot after the time that a number of bytes take, if all slots of streams are in use.
func (s *sendSlot) releaseAfter(bytes int) {
	if s != nil {
		s.timeout.Reset(min(sendSlotTimeout, time.Duration(maxSentStreams*bytes)*time.Second/narrowLinkRate))
	}
}

// release releases the slot; further calls have no effect.
func (s *sendSlot) release() {
	if s == nil {
		return
	}
	s.once.Do(func() {
		s.timeout.Stop()
		close(s.released)
		s.slots.mu.Lock()
		defer s.slots.mu.Unlock()
		s.slots.inUse--
		if s.slots.freed != nil {
			close(s.slots.freed)
			s.slots.freed = nil
		}
	})
}

// isReleased reports whether the slot is not held any more, or never was.
func (s *sendSlot) isReleased() bool {
	if s == nil {
		return true
	}
	select {
	case <-s.released:
		return true
	default:
		return false
	}
}

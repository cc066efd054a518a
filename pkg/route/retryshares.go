package route

import (
	"math/bits"
	"time"
)

// RetryShare is a box's share of the extra retries of all entry boxes, in parts of RetryShareUnit.
type RetryShare uint32

const (
	// RetryShareUnit is all extra retries.
	RetryShareUnit RetryShare = 1 << 20
	// sharedRetries is the part of them that is divided among the boxes. The rest covers boxes that can't know each other
	// yet: those that join, and those that start more than once in a window.
	sharedRetries = RetryShareUnit * 95 / 100
	// startFraction is the part of its share that a box may use directly after its start, in addition to what the process
	// before may have used. It is held back otherwise.
	startFraction = 0.1
	// retryShareSettleTime is how long a larger share must have been free before it is claimed. Boxes exchange their
	// claims within a fraction of it.
	retryShareSettleTime = 2 * time.Second
	// assumedBoxes is the least number of boxes among which a box without a share divides what it may use at its start.
	assumedBoxes = 16
	// exactBoxCount is the number of boxes up to which every box more changes the shares. With more boxes the shares
	// change in steps, as each change is sent to every box.
	exactBoxCount = 40
)

// RetryShares decides which share of the extra retries a box claims and uses. The claims of all boxes add up to all extra
// retries at most: a box raises its claim only by what the known claims of all others leave, and uses what it has
// claimed. It lowers what it uses at once, and its claim once a window has passed since. A box that can't reach the
// others therefore keeps its share, and a box that is not reached still has one.
type RetryShares struct {
	window time.Duration
	// isComplete is set once the box knows all others.
	isComplete bool
	// claim is the share that other boxes must leave to this one, usable the share that it uses.
	claim, usable RetryShare
	// loweredAt is when usable was last lowered. candidate is a larger share that has been free since candidateSince.
	loweredAt      time.Time
	candidate      RetryShare
	candidateSince time.Time
	// boxes is the number of known boxes, including this one.
	boxes int
}

// NewRetryShares returns the shares of a process that has just started, without a claim.
func NewRetryShares(window time.Duration) *RetryShares {
	return &RetryShares{window: window, boxes: 1}
}

// Update applies the claims of all other known boxes. isComplete reports that no box is missing among them, and leastBoxes is
// the number of boxes that may have a share even if fewer are known. It returns the claim of this box.
func (s *RetryShares) Update(others []RetryShare, leastBoxes int, isComplete bool, now time.Time) RetryShare {
	s.isComplete = s.isComplete || isComplete
	s.boxes = max(len(others)+1, leastBoxes)
	target := RetryShare(0)
	if s.isComplete {
		target = sharedRetries / RetryShare(divisorFor(s.boxes))
	}
	if target < s.usable {
		s.usable, s.loweredAt = target, now
	}
	if s.claim > s.usable && s.usable >= target && now.Sub(s.loweredAt) >= s.window {
		s.claim = s.usable
	}
	s.raise(target, others, now)
	return s.claim
}

// IsComplete reports whether the box has known all others at an earlier update.
func (s *RetryShares) IsComplete() bool { return s.isComplete }

// raise claims and uses a larger share once it has been free for retryShareSettleTime.
func (s *RetryShares) raise(target RetryShare, others []RetryShare, now time.Time) {
	free := sharedRetries
	for _, claim := range others {
		free -= min(free, claim)
	}
	switch {
	case target <= s.usable || target > max(free, s.claim):
		s.candidate = 0
	case s.candidate != target:
		s.candidate, s.candidateSince = target, now
	case now.Sub(s.candidateSince) >= retryShareSettleTime:
		s.usable, s.claim, s.candidate = target, max(s.claim, target), 0
	}
}

// divisorFor returns the number by which a number of boxes divides the extra retries.
func divisorFor(boxes int) int {
	if boxes <= exactBoxCount {
		return boxes
	}
	step := 1 << (bits.Len(uint(boxes*2/exactBoxCount)) - 1)
	return (boxes + step - 1) / step * step
}

// Allowance returns what the box may use of a number of extra retries.
func (s *RetryShares) Allowance(extra float64) RetryAllowance {
	if s.usable == 0 {
		atStart := startFraction * extra / float64(max(assumedBoxes, s.boxes))
		return RetryAllowance{Share: atStart, AtStart: atStart}
	}
	own := extra * float64(s.usable) / float64(RetryShareUnit)
	return RetryAllowance{Share: own * (1 - startFraction), AtStart: own * startFraction}
}

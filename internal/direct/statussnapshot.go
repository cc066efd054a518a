package direct

import (
	"maps"
	"math"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// statusSnapshot is the status of the box at one point in time.
type statusSnapshot struct {
	statusSummary
	takenAt time.Time
	load    route.Load
	demands route.Demands
	// respondedAt is the time of the store's newest response to a reader; see newestResponse.
	respondedAt time.Time
	// ownRecord is the version of the own record, recordsChanged is closed at the next change of any record. evidence and
	// rejected are the positions of the newest evidence about suspect requests and of the newest rejected caller.
	ownRecord          state.Version
	recordsChanged     <-chan struct{}
	evidence, rejected uint64
	changes            statusChanges
}

// statusChanges counts the snapshots that differ from the one before, separately for each part of the status that
// only some followers receive. While the counts of its parts stay the same, a follower has nothing to receive before
// the next heartbeat or the next response of the store.
type statusChanges struct {
	// common counts changes of what all followers receive, load those of load and waiting requests, records those of the
	// records of all boxes, and rejected those of the rejected callers.
	common, load, records, rejected uint64
}

// since returns the counts of a snapshot, given the snapshot before it.
func (n *statusSnapshot) since(before *statusSnapshot) statusChanges {
	changes := before.changes
	if !n.isSame(&before.statusSummary) || n.ownRecord != before.ownRecord || n.evidence != before.evidence {
		changes.common++
	}
	if !maps.Equal(n.load, before.load) || !maps.EqualFunc(n.demands, before.demands, isSameQueue) {
		changes.load++
	}
	if n.recordsChanged != before.recordsChanged {
		changes.records++
	}
	if n.rejected != before.rejected {
		changes.rejected++
	}
	return changes
}

// recordsNotSent is a count of changes that no snapshot has: there are records left to send.
const recordsNotSent = math.MaxUint64

// statusFollower is the position of the status stream to one follower in the snapshots. StatusServer.mu guards it.
type statusFollower struct {
	request *wire.FollowRequest
	remote  bool
	// wake is signalled when a message may be due; it holds at most one signal.
	wake chan struct{}
	// evaluated are the changes up to which it is known whether there is a message to send.
	evaluated statusChanges
	// sentAt is when the last message was sent, zero before the first one. sent is its summary, and respondedAt the time
	// of the store's newest response in it. confirmation is the last one that was sent.
	sentAt       time.Time
	sent         statusSummary
	respondedAt  time.Time
	confirmation confirmation
}

// changesIn returns the counts of a snapshot for the parts of the status that the follower receives.
func (f *statusFollower) changesIn(snapshot *statusSnapshot) statusChanges {
	changes := snapshot.changes
	if !f.request.Load {
		changes.load = 0
	}
	if !f.request.Members {
		changes.records = 0
	}
	if !f.request.Load && f.request.Relay == 0 {
		changes.rejected = 0
	}
	return changes
}

// isDue reports whether a snapshot may contain a message for the follower. interval is the time between two messages.
func (f *statusFollower) isDue(snapshot *statusSnapshot, interval time.Duration) bool {
	elapsed := snapshot.takenAt.Sub(f.sentAt)
	switch {
	case f.sentAt.IsZero():
		return true
	case !f.isUrgent(snapshot) && elapsed < interval-statusInterval/2:
		return false
	case f.changesIn(snapshot) != f.evaluated || elapsed >= statusHeartbeat:
		return true
	}
	if f.remote {
		return snapshot.confirmation.isNewer(&f.confirmation, noUrgentStep)
	}
	return snapshot.respondedAt.Sub(f.respondedAt) >= readerUpdateThreshold || snapshot.confirmation.isNewer(&f.confirmation, snapshot.urgentStep)
}

// isUrgent reports whether a snapshot has a change that is sent without waiting for the interval: a newly published
// version, a request under which a server has exited, or a request to a server with a low rate limit.
func (f *statusFollower) isUrgent(snapshot *statusSnapshot) bool {
	return snapshot.ages != f.sent.ages || snapshot.suspects != f.sent.suspects || f.request.Load && snapshot.limitedSends != f.sent.limitedSends
}

// addFollower adds a stream that sends from the snapshots.
func (s *StatusServer) addFollower(follower *statusFollower) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followers == nil {
		s.followers = make(map[*statusFollower]bool)
	}
	s.followers[follower] = true
}

// removeFollower removes a stream that has ended.
func (s *StatusServer) removeFollower(follower *statusFollower) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.followers, follower)
}

// snapshotFor returns the latest snapshot, which must not be modified, and whether it may contain a message for a
// follower.
func (s *StatusServer) snapshotFor(follower *statusFollower) (snapshot *statusSnapshot, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, follower.isDue(s.snapshot, s.interval(follower.remote))
}

// noteEvaluated records that the message of a snapshot to a follower, if there is one, has been determined. cursor and
// records are the state of the stream after it.
func (s *StatusServer) noteEvaluated(follower *statusFollower, snapshot *statusSnapshot, cursor *statusCursor, records *memberCursor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	follower.evaluated = follower.changesIn(snapshot)
	if records.more {
		follower.evaluated.records = recordsNotSent
	}
	follower.confirmation = cursor.confirmation
	follower.sentAt, follower.sent = cursor.sentAt, cursor.summary
	follower.respondedAt = newestResponse(cursor.summary.readers, cursor.sentAt)
}

// refresh takes a new snapshot and wakes the streams that may have a message to send. Other streams stay idle, so that
// an unchanged status costs the same for any number of followers.
func (s *StatusServer) refresh() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	s.mu.Lock()
	before := s.snapshot
	s.mu.Unlock()
	if before == nil {
		before = &statusSnapshot{}
	}
	next := s.takeSnapshot(before)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = next
	for follower := range s.followers {
		if follower.isDue(next, s.interval(follower.remote)) {
			signal(follower.wake)
		}
	}
}

// takeSnapshot returns the current status of the box, given the snapshot before it.
func (s *StatusServer) takeSnapshot(before *statusSnapshot) *statusSnapshot {
	next := &statusSnapshot{statusSummary: s.summary(), takenAt: s.clock.Now(), load: s.load(), demands: s.demands()}
	next.readers = s.readers()
	next.respondedAt = newestResponse(next.readers, next.takenAt)
	own := s.membership.Own()
	next.ownRecord, next.recordsChanged = own.Version(), s.membership.Changed()
	_, next.evidence = s.suspects.Since(before.evidence)
	_, next.rejected = s.rejectedCallers(before.rejected, route.RelayWithinCell)
	next.changes = next.since(before)
	return next
}

package direct

import (
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// leftExpiry is how long after its last sign a box that has stopped as planned keeps its share of the extra retries.
	// Its next process continues with it.
	leftExpiry = time.Minute
	// unreachableExpiry is the same for any other box, which may run where no other box can reach it. Regions lose each
	// other for an hour.
	unreachableExpiry = 2 * time.Hour
)

// retiredBoxes are the silent boxes that have expired from the records.
type retiredBoxes map[member.BoxID]retiredBox

// retiredBox is a box that may still use its share of the extra retries.
type retiredBox struct {
	claim       uint32
	silentSince time.Time
	// hasLeft is set if the box had announced a planned stop.
	hasLeft bool
}

// expire removes the boxes whose share may be divided among the others.
func (r retiredBoxes) expire(now time.Time) {
	for box, retired := range r {
		expiry := unreachableExpiry
		if retired.hasLeft {
			expiry = leftExpiry
		}
		if now.Sub(retired.silentSince) >= expiry {
			delete(r, box)
		}
	}
}

// RetryClaims returns the shares of the extra retries that all other boxes claim, those of silent and retired boxes
// included.
func (m *Membership) RetryClaims() []route.RetryShare {
	m.mu.Lock()
	defer m.mu.Unlock()
	claims := make([]route.RetryShare, 0, len(m.records)+len(m.retired))
	for box := range m.records {
		if box != m.own.Box {
			claims = append(claims, route.RetryShare(m.records[box].RetryClaim))
		}
	}
	for _, retired := range m.retired {
		claims = append(claims, route.RetryShare(retired.claim))
	}
	return claims
}

// SetRetryClaim updates the claim in the record of this box.
func (m *Membership) SetRetryClaim(claim route.RetryShare) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := member.Incarnation(0)
	if claim > 0 {
		since = m.fleetSince()
	}
	if m.own.RetryClaim == uint32(claim) && m.own.FleetSince == since {
		return
	}
	m.own.RetryClaim, m.own.FleetSince = uint32(claim), since
	m.own.Sequence++
	m.putLocal(m.own)
}

// retiredToWire returns the retired boxes for a box that follows this one from now on.
func (m *Membership) retiredToWire() []*wire.RetiredBox {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded := make([]*wire.RetiredBox, 0, len(m.retired))
	for box, retired := range m.retired {
		encoded = append(encoded, &wire.RetiredBox{
			Box: string(box), RetryClaim: retired.claim, SilentMilliseconds: uint64(max(0, m.clock.Since(retired.silentSince).Milliseconds())),
			HasLeft: retired.hasLeft,
		})
	}
	return encoded
}

// MergeRetired adds the retired boxes that another box reports and that this one does not know.
func (m *Membership) MergeRetired(reported []*wire.RetiredBox) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, r := range reported {
		box := member.BoxID(r.Box)
		if _, known := m.records[box]; known || box == m.own.Box {
			continue
		}
		if _, known := m.retired[box]; !known {
			silent := time.Duration(min(r.SilentMilliseconds, uint64(unreachableExpiry.Milliseconds()))) * time.Millisecond
			m.retired[box] = retiredBox{claim: r.RetryClaim, silentSince: now.Add(-silent), hasLeft: r.HasLeft}
		}
	}
}

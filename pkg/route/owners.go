package route

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// ownersPerID is the number of boxes that may record a request id: one runs the request, one is its witness, and one
// replaces a witness that is unavailable.
const ownersPerID = 3

// PickOwner picks the box for a request that is not repeatable but may be sent again under its id through another entry
// box. The owners of an id are the first boxes in the rendezvous order for the id, so all entry boxes use the same
// ones. The target is the better one of the first two owners. The other owners are the witnesses, in order of
// preference. Boxes in tried are left out; ok is false if no other box serves the version.
func (r *Router) PickOwner(version ServiceVersion, id RequestID, tried []member.BoxID, now time.Time) (target *Target, witnesses []member.Address, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	owners := ownersOf(r.targets[version], id, tried)
	if len(owners) == 0 {
		return nil, nil, false
	}
	nanos := now.UnixNano()
	chosen := 0
	if len(owners) > 1 && better(owners[1], owners[0], nanos) {
		chosen = 1
	}
	for i, owner := range owners {
		if i != chosen {
			witnesses = append(witnesses, owner.Address)
		}
	}
	return owners[chosen], witnesses, true
}

// better reports whether a is preferred to b: ejected boxes come last, then the lower cost decides.
func better(a, b *Target, now int64) bool {
	if a.isEjected(now) != b.isEjected(now) {
		return b.isEjected(now)
	}
	return a.cost(now) < b.cost(now)
}

// ownersOf returns the first ownersPerID targets in rendezvous order without sorting all of them.
func ownersOf(targets []*Target, id RequestID, tried []member.BoxID) []*Target {
	var owners []*Target
	var scores []uint64
	for _, target := range targets {
		if slices.Contains(tried, target.Box) {
			continue
		}
		score := member.Score(string(id), string(target.Box))
		pos := len(owners)
		for pos > 0 && score > scores[pos-1] {
			pos--
		}
		if pos == ownersPerID {
			continue
		}
		owners, scores = slices.Insert(owners, pos, target), slices.Insert(scores, pos, score)
		owners, scores = owners[:min(ownersPerID, len(owners))], scores[:min(ownersPerID, len(scores))]
	}
	return owners
}

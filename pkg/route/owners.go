package route

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// ownersPerID is how many boxes share the knowledge of a request id: one runs it,
// the next is its witness, the last stands in for a witness that is away.
const ownersPerID = 3

// PickOwner chooses a box for a request that may not be repeated and may be sent
// again under its id through another entry box. Its homes are the first boxes in
// rendezvous order for the id, so every entry box asks the same ones. The less
// loaded of the first two runs it; the others are the witnesses, in order.
func (r *Router) PickOwner(place ServiceVersion, id RequestID, tried []member.BoxID, now time.Time) (target *Target, witnesses []member.Address, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	homes := ownersOf(r.targets[place], id, tried)
	if len(homes) == 0 {
		return nil, nil, false
	}
	nanos := now.UnixNano()
	chosen := 0
	if len(homes) > 1 && better(homes[1], homes[0], nanos) {
		chosen = 1
	}
	for i, home := range homes {
		if i != chosen {
			witnesses = append(witnesses, home.Address)
		}
	}
	return homes[chosen], witnesses, true
}

func better(a, b *Target, now int64) bool {
	if a.isEjected(now) != b.isEjected(now) {
		return b.isEjected(now)
	}
	return a.cost(now) < b.cost(now)
}

// ownersOf returns the first targets in rendezvous order, without sorting all.
func ownersOf(targets []*Target, id RequestID, tried []member.BoxID) []*Target {
	var homes []*Target
	var scores []uint64
	for _, target := range targets {
		if slices.Contains(tried, target.Box) {
			continue
		}
		score := member.Score(string(id), string(target.Box))
		at := len(homes)
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == ownersPerID {
			continue
		}
		homes, scores = slices.Insert(homes, at, target), slices.Insert(scores, at, score)
		homes, scores = homes[:min(ownersPerID, len(homes))], scores[:min(ownersPerID, len(scores))]
	}
	return homes
}

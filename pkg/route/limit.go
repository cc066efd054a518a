package route

import (
	"errors"
	"math"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// A server's rate limit applies to the requests of all entry boxes together. Each box keeps a token bucket per limited
// server and takes from it both for its own requests and for those that other boxes report. Boxes that have not yet
// received a report may use the same token again; the bucket then goes negative and all boxes wait until it is
// refilled. The limit therefore holds over any period longer than the reporting delay, and needs neither the number of
// boxes nor synchronized clocks.

// ErrRateLimited reports that a server whose rate limit was set or lowered after the slot was reserved has no token
// available.
var ErrRateLimited = errors.New("server rate limit reached")

const (
	// probeRate is the lowest rate, in requests per second. It lets a limit of 0 be detected as lifted.
	probeRate = 0.05
	// maxBurstTime is how long unused tokens accumulate.
	maxBurstTime = 600 * time.Millisecond
	// maxDebtTime limits how long sending pauses after other boxes report many requests, as the first report of a box
	// counts all requests that it has sent.
	maxDebtTime = 4 * time.Second
	// limitedSample is the number of rate-limited servers that are considered for one request.
	limitedSample = 4
	// limitedCostMargin is how much higher the cost of a rate-limited server may be for it still to be preferred.
	limitedCostMargin = 0.25
	// maxUrgentRate is the highest rate at which each request is reported to other boxes at once. At low rates, a few
	// excess requests already exceed the limit by a large factor.
	maxUrgentRate = 20
)

// ColdAllowance is how many requests per second a cold server may receive from all entry boxes together: Factor times
// the cold rate of its service, plus Extra.
type ColdAllowance struct {
	Factor, Extra float64
}

// coldBurstShare is the part of the allowance beyond the rate that may be used at once. The other part is for boxes that
// use the same tokens because they have not received each other's reports.
const coldBurstShare = 0.5

// PerSecond returns how many requests a cold server of a service with the given cold rate may receive in one second.
func (a ColdAllowance) PerSecond(rate float64) float64 { return a.Factor*rate + a.Extra }

// Limit returns the rate limit of a cold server of a service with the given cold rate.
func (a ColdAllowance) Limit(rate float64) fleet.RateLimit {
	allowed := a.PerSecond(rate)
	return fleet.RateLimit{Set: true, PerSecond: min(rate, allowed), Burst: max(1, coldBurstShare*(allowed-rate))}
}

// tokenBucket limits the requests that this box and its peers send to a server.
type tokenBucket struct {
	// rate is in requests per second, burst the maximum number of tokens.
	rate   float64
	burst  float64
	tokens float64
	// refilled is when tokens were last added.
	refilled time.Time
	// sent is the number of requests of this box; peerSent is the number that each other box reported last.
	sent     uint32
	peerSent map[member.BoxID]uint32
}

// newTokenBucket returns an empty bucket, as other boxes may have used the tokens.
func newTokenBucket(now time.Time) *tokenBucket {
	return &tokenBucket{refilled: now, peerSent: make(map[member.BoxID]uint32)}
}

// setLimit sets the rate, which is at least probeRate, and the maximum number of tokens.
func (b *tokenBucket) setLimit(limit fleet.RateLimit, now time.Time) {
	b.refill(now)
	b.rate = max(probeRate, limit.PerSecond)
	b.burst = 1 + b.rate*maxBurstTime.Seconds()
	if limit.Burst > 0 {
		b.burst = max(1, min(b.burst, limit.Burst))
	}
	b.tokens = min(b.tokens, b.burst)
}

// refill adds the tokens for the time since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.refilled = now
	}
}

// available returns the number of whole tokens.
func (b *tokenBucket) available(now time.Time) int {
	b.refill(now)
	return int(math.Floor(b.tokens))
}

// take uses a token for a request of this box. The bucket may go negative.
func (b *tokenBucket) take(now time.Time) {
	b.refill(now)
	b.tokens--
	b.sent++
}

// takePeer uses tokens for the requests that another box has sent since its last report. A lower count than before
// means that the box has restarted.
func (b *tokenBucket) takePeer(box member.BoxID, sent uint32, now time.Time) {
	before := b.peerSent[box]
	b.peerSent[box] = sent
	if sent < before {
		before = 0
	}
	b.refill(now)
	b.tokens = max(b.tokens-float64(sent-before), -b.rate*maxDebtTime.Seconds())
}

// setLimit creates, updates or removes the token bucket of a server according to its rate limit.
func (d *Dispatcher) setLimit(server *fleet.Server, now time.Time) {
	if !server.Limit.Set {
		delete(d.buckets, server.ID)
		return
	}
	bucket := d.buckets[server.ID]
	if bucket == nil {
		bucket = newTokenBucket(now)
		d.buckets[server.ID] = bucket
	}
	limit := server.Limit
	if server.Cold {
		limit = d.reachableShare(limit)
	}
	bucket.setLimit(limit, now)
}

// reachableShare returns the part of a cold server's limit for the boxes that can reach each other. A cold server exits
// if the requests of all boxes exceed the limit, so the boxes that are unreachable from here keep their part.
func (d *Dispatcher) reachableShare(limit fleet.RateLimit) fleet.RateLimit {
	share := float64(d.boxes) / float64(d.allBoxes)
	limit.PerSecond *= share
	limit.Burst *= share
	return limit
}

// isRateLimited reports whether a server advertises a rate limit. A cold server with a limit advertises none: its tokens
// limit the requests to it, but it is not preferred to others so that they are used.
func (d *Dispatcher) isRateLimited(b *backend) bool {
	return d.buckets[b.server.ID] != nil && !b.server.Cold
}

// dropUnlistedBuckets removes the token buckets of servers that are no longer listed.
func (d *Dispatcher) dropUnlistedBuckets() {
	for id := range d.buckets {
		if d.backends[id] == nil {
			delete(d.buckets, id)
		}
	}
}

// mergePeerSent updates the token buckets with the requests that another box reports.
func (d *Dispatcher) mergePeerSent(box member.BoxID, load Load, now time.Time) {
	if len(d.buckets) == 0 {
		return
	}
	for id, reported := range load {
		if bucket := d.buckets[id]; bucket != nil && reported.Sent > 0 {
			bucket.takePeer(box, reported.Sent, now)
		}
	}
}

// takeToken takes a token for the reservation if its server has a rate limit. The lock must be held.
func (r *Reservation) takeToken(now time.Time) {
	if bucket := r.dispatcher.buckets[r.Server.ID]; bucket != nil {
		bucket.take(now)
		r.tokenRate = bucket.rate
		if bucket.rate <= maxUrgentRate && r.dispatcher.onLimitedSend != nil {
			r.dispatcher.onLimitedSend()
		}
	}
}

// checkLimit takes a token if the server's rate limit was set or lowered since the last token was taken for the
// reservation. It returns ErrRateLimited if none is available.
func (r *Reservation) checkLimit(now time.Time) error {
	bucket := r.dispatcher.buckets[r.Server.ID]
	if bucket == nil || r.tokenRate > 0 && r.tokenRate <= bucket.rate {
		return nil
	}
	if bucket.available(now) < 1 {
		return ErrRateLimited
	}
	r.takeToken(now)
	return nil
}

// maxRate returns the highest request rate that a server can run.
func (d *Dispatcher) maxRate(b *backend) float64 {
	rate := float64(d.slots(b)) / d.typicalHoldTime.Seconds()
	if bucket := d.buckets[b.server.ID]; bucket != nil {
		return min(rate, bucket.rate)
	}
	return rate
}

// pickLimited returns the rate-limited candidate with the lowest cost, unless that exceeds the lowest cost of the other
// candidates by more than limitedCostMargin. Rate-limited servers are preferred because unused tokens expire. Other
// boxes have the same tokens, so each token is allocated to one box for a round, as scarce slots are, and servers
// without a token of this box are removed from the candidates.
func (d *Dispatcher) pickLimited(round int64, now time.Time) *backend {
	if len(d.buckets) == 0 {
		return nil
	}
	kept := d.candidates[:0]
	demand := d.demand(now)
	weight := demand.allocationWeight()
	limited, other := candidate{cost: math.Inf(1)}, math.Inf(1)
	for _, c := range d.candidates {
		switch {
		case !d.isRateLimited(c.backend):
			other = min(other, c.cost)
		case d.remainingShare(c.backend, int(c.room), round, weight) <= 0:
			continue
		case c.cost < limited.cost:
			limited = c
		}
		kept = append(kept, c)
	}
	d.candidates = kept
	if limited.cost > other+limitedCostMargin {
		return nil
	}
	return limited.backend
}

// LimitedServer is the state of a server with a rate limit.
type LimitedServer struct {
	Server fleet.ServerID
	// Limit is the limit in requests per second for all boxes. Cold is set if it applies because the server is cold.
	Limit float64
	Cold  bool
	// PerSecond is the rate at which tokens are added. Tokens is the number of requests that may be sent now; it is
	// negative after too many were sent.
	PerSecond, Tokens float64
	// Sent is the number of requests that this box has sent since it received the limit.
	Sent uint32
	// SentByOthers is the sum of the numbers that other boxes reported last.
	SentByOthers uint64
}

// LimitedServers returns the servers that have a rate limit.
func (d *Dispatcher) LimitedServers(now time.Time) []LimitedServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	limited := make([]LimitedServer, 0, len(d.buckets))
	for id, bucket := range d.buckets {
		bucket.refill(now)
		server := LimitedServer{Server: id, PerSecond: bucket.rate, Tokens: bucket.tokens, Sent: bucket.sent}
		if b := d.backends[id]; b != nil {
			server.Limit, server.Cold = b.server.Limit.PerSecond, b.server.Cold
		}
		for _, sent := range bucket.peerSent {
			server.SentByOthers += uint64(sent)
		}
		limited = append(limited, server)
	}
	return limited
}

// limitedEligible returns the number of eligible servers in the allowed regions of a request if all of them have a rate
// limit, and how many of these are cold; 0 otherwise.
func (d *Dispatcher) limitedEligible(req *SlotRequest, now time.Time) (limited, cold int) {
	for _, b := range d.backendList {
		if !req.Residency.Allows(b.region) || !d.isEligible(b, now) {
			continue
		}
		if d.buckets[b.server.ID] == nil {
			return 0, 0
		}
		limited++
		if b.server.Cold {
			cold++
		}
	}
	return limited, cold
}

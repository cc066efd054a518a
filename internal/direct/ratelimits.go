package direct

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// observedRateLimit is the rate limit in one answer of a server; its limit is the zero value if the answer had none.
type observedRateLimit struct {
	// incarnation is the latest incarnation of the server that was known when the request was sent.
	incarnation member.Incarnation
	limit       fleet.RateLimit
	// sent is when the request was sent, or zero if unknown; heard is when the answer arrived. The server wrote the answer
	// between the two.
	sent, heard time.Time
}

// rateLimits holds the current rate limit of each server that has ever advertised one.
type rateLimits map[fleet.ServerID]observedRateLimit

// take records an observation and reports whether it changes the limit. Answers can arrive out of order: if the intervals
// from sent to heard of two observations overlap, the lower limit is kept until one is known to be later.
func (r rateLimits) take(id fleet.ServerID, observed observedRateLimit) bool {
	known, ok := r[id]
	switch {
	case !ok && !observed.limit.Set, ok && observed.incarnation < known.incarnation:
		return false
	case !ok, observed.incarnation > known.incarnation, !observed.sent.Before(known.heard):
	case observed.heard.Before(known.sent), !observed.limit.IsBelow(known.limit):
		return false
	}
	r[id] = observed
	return observed.limit != known.limit
}

// HearRateLimit records the rate limit in an answer that has just arrived and logs it if it has changed. Sent is when the
// request was sent, or zero if unknown.
func (f *Facts) HearRateLimit(server fleet.ServerID, start member.Incarnation, limit fleet.RateLimit, sent time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.rateLimits[server]
	if !f.rateLimits.take(server, observedRateLimit{incarnation: start, limit: limit, sent: sent, heard: f.clock.Now()}) {
		return
	}
	line := f.log.Info().Str("server", string(server)).Uint64("incarnation", uint64(start)).Bool("listed", f.isListed(server)).Str("from", from)
	if known.limit.Set {
		line = line.Float64("previous_per_second", known.limit.PerSecond)
	}
	if !limit.Set {
		line.Msg("server no longer advertises a rate limit")
		return
	}
	line.Float64("per_second", limit.PerSecond).Msg("server advertises a rate limit")
}

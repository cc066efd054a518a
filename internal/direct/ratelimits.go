package direct

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// limitTolerance is the largest relative change of a limit that is ignored. Every other change rebuilds the view
	// of all servers.
	limitTolerance = 0.02
	// limitRaiseDelay is the minimum time between a change of a limit and raising or clearing it. It prevents
	// constant rebuilds for servers that advertise a different limit in each response.
	limitRaiseDelay = time.Second
	// maxRateLimits is the number of limits above which those of unlisted servers are dropped.
	maxRateLimits = 1024
)

// observedRateLimit is the rate limit in one response of a server. The limit is the zero value if the response
// had none.
type observedRateLimit struct {
	// incarnation is the latest incarnation of the server that was known when the request was sent.
	incarnation member.Incarnation
	limit       fleet.RateLimit
	// sent is when the request was sent, or zero if unknown. received is when the response arrived. The server
	// wrote the response between the two.
	sent, received time.Time
}

// rateLimit is the current rate limit of a server.
type rateLimit struct {
	observedRateLimit
	// changed is when the limit last changed; since is when the server last went from unlimited to limited.
	changed, since time.Time
	// from is the source of the observation. seq is the position of the change in the order in which this box
	// recorded changes.
	from string
	seq  uint64
}

// rateLimits holds the current rate limit of each server that has ever advertised one.
type rateLimits struct {
	byServer map[fleet.ServerID]*rateLimit
	// seq is the sequence number of the latest change.
	seq uint64
}

func newRateLimits() rateLimits {
	return rateLimits{byServer: make(map[fleet.ServerID]*rateLimit)}
}

// record records an observation and reports whether it changes the limit. Responses can arrive out of order: if
// the intervals from sent to received of two observations overlap, the lower limit is kept until one of them is
// known to be later.
func (r *rateLimits) record(id fleet.ServerID, observed observedRateLimit, from string) bool {
	known, ok := r.byServer[id]
	switch {
	case !ok && !observed.limit.Set, ok && observed.incarnation < known.incarnation:
		return false
	case !ok:
		known = &rateLimit{}
		r.byServer[id] = known
	case observed.incarnation > known.incarnation:
	case !observed.sent.Before(known.received):
		if known.limit.IsBelow(observed.limit) && observed.received.Sub(known.changed) < limitRaiseDelay {
			return false
		}
	case observed.received.Before(known.sent), !observed.limit.IsBelow(known.limit):
		return false
	}
	before, isRestart := known.limit, ok && observed.incarnation > known.incarnation
	known.observedRateLimit = observed
	// The limit of the incarnation before does not apply, so an equal one is a change.
	if isSimilarLimit(before, observed.limit) && (!isRestart || !before.Set) {
		known.limit = before
		return false
	}
	if !before.Set {
		known.since = observed.received
	}
	r.seq++
	known.changed, known.from, known.seq = observed.received, from, r.seq
	return true
}

// isSimilarLimit reports whether two limits are equal within limitTolerance.
func isSimilarLimit(a, b fleet.RateLimit) bool {
	if !a.Set || !b.Set {
		return a.Set == b.Set
	}
	return max(a.PerSecond, b.PerSecond)*(1-limitTolerance) <= min(a.PerSecond, b.PerSecond)
}

// limitOf returns the limit of a server. A limit that was recorded for an incarnation earlier than the listed
// one or started applies only if the later incarnation was already running when the limit was received.
func (r *rateLimits) limitOf(server *fleet.Server, started member.Incarnation) fleet.RateLimit {
	known, latest := r.byServer[server.ID], max(server.Incarnation, started)
	if known != nil && (latest <= known.incarnation || fleet.WasRunning(latest, known.received)) {
		return known.limit
	}
	return fleet.RateLimit{}
}

// evict drops the older half of the limits of unlisted servers if there are more than maxRateLimits limits.
func (r *rateLimits) evict(isListed func(id fleet.ServerID) bool) {
	if len(r.byServer) <= maxRateLimits {
		return
	}
	var unlisted []fleet.ServerID
	for id := range r.byServer {
		if !isListed(id) {
			unlisted = append(unlisted, id)
		}
	}
	slices.SortFunc(unlisted, func(a, b fleet.ServerID) int { return cmp.Compare(r.byServer[a].seq, r.byServer[b].seq) })
	for _, id := range unlisted[:len(unlisted)/2] {
		delete(r.byServer, id)
	}
}

// ObserveRateLimit records the rate limit in a response that has just arrived, and reports whether the limit
// has changed. Sent is when the request was sent, or zero if unknown. Responses to requests to an earlier
// incarnation than the latest known one are ignored.
func (f *FleetState) ObserveRateLimit(server fleet.ServerID, incarnation member.Incarnation, limit fleet.RateLimit, sent time.Time, from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incarnation < f.latestIncarnation(server) {
		return false
	}
	if !f.recordRateLimit(server, observedRateLimit{incarnation: incarnation, limit: limit, sent: sent, received: f.clock.Now()}, from) {
		return false
	}
	f.refreshServers()
	return true
}

// latestIncarnation returns the latest known incarnation of a server. The lock must be held.
func (f *FleetState) latestIncarnation(server fleet.ServerID) member.Incarnation {
	return max(f.servers[server].Incarnation, f.departures.incarnations[server])
}

// MergeRateLimits records the rate limits that another entry box reports.
func (f *FleetState) MergeRateLimits(reported []*wire.RateLimit, from string) {
	if len(reported) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, limit := range reported {
		if !(limit.PerSecond >= 0) || math.IsInf(limit.PerSecond, 0) {
			f.log.Warn().Str("server", limit.Server).Str("from", from).Float64("per_second", limit.PerSecond).Msg("invalid rate limit ignored")
			continue
		}
		if f.recordRateLimit(fleet.ServerID(limit.Server), rateLimitFromWire(limit, f.clock.Now()), from) {
			changed = true
		}
	}
	if changed {
		f.refreshServers()
	}
}

// recordRateLimit records an observation, logs it if the limit has changed, and reports whether it has. The lock
// must be held.
func (f *FleetState) recordRateLimit(server fleet.ServerID, observed observedRateLimit, from string) bool {
	var before fleet.RateLimit
	if known := f.rateLimits.byServer[server]; known != nil {
		before = known.limit
	}
	f.noteServerChanged(server)
	if !f.rateLimits.record(server, observed, from) {
		return false
	}
	f.rateLimits.evict(f.isListed)
	event := f.log.Info().Str("server", string(server)).Uint64("incarnation", uint64(observed.incarnation)).Bool("listed", f.isListed(server)).
		Str("from", from).Dur("age_ms", f.clock.Since(observed.received))
	if before.Set {
		event = event.Float64("previous_per_second", before.PerSecond)
	}
	if !observed.limit.Set {
		event.Msg("server no longer advertises a rate limit")
		return true
	}
	event.Float64("per_second", observed.limit.PerSecond).Msg("server advertises a rate limit")
	return true
}

// RateLimitsSince returns the limits that changed after the change with sequence number since. Latest is the
// sequence number of the latest change.
func (f *FleetState) RateLimitsSince(since uint64) (changed []*wire.RateLimit, latest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, known := range f.rateLimits.byServer {
		if known.seq > since {
			changed = append(changed, rateLimitToWire(id, &known.observedRateLimit, f.clock.Now()))
		}
	}
	return changed, f.rateLimits.seq
}

// rateLimit returns the current rate limit of a server, or the zero value if it never had one.
func (f *FleetState) rateLimit(server fleet.ServerID) rateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.rateLimits.byServer[server]; known != nil {
		return *known
	}
	return rateLimit{}
}

// rateLimitSeq returns the sequence number of the latest change of a rate limit.
func (f *FleetState) rateLimitSeq() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rateLimits.seq
}

// rateLimitToWire encodes times as ages because the clocks of boxes are not synchronized.
func rateLimitToWire(id fleet.ServerID, observed *observedRateLimit, now time.Time) *wire.RateLimit {
	age := max(0, now.Sub(observed.received).Milliseconds())
	return &wire.RateLimit{
		Server: string(id), Incarnation: uint64(observed.incarnation), Limited: observed.limit.Set, PerSecond: observed.limit.PerSecond,
		SentAgeMilliseconds: uint64(max(age, now.Sub(observed.sent).Milliseconds())), HeardAgeMilliseconds: uint64(age),
	}
}

// maxObservationAge limits received ages to prevent overflow.
const maxObservationAge = 24 * time.Hour

func rateLimitFromWire(reported *wire.RateLimit, now time.Time) observedRateLimit {
	timeAt := func(age uint64) time.Time {
		return now.Add(-time.Duration(min(age, uint64(maxObservationAge.Milliseconds()))) * time.Millisecond)
	}
	return observedRateLimit{
		incarnation: member.Incarnation(reported.Incarnation), limit: fleet.RateLimit{Set: reported.Limited, PerSecond: reported.PerSecond},
		sent: timeAt(reported.SentAgeMilliseconds), received: timeAt(reported.HeardAgeMilliseconds),
	}
}

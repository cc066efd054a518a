package direct

import (
	"maps"
	"math"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// statusSummary is what a status tells of the box itself.
type statusSummary struct {
	ready, leaving bool
	extent         Extent
	// ages is how many versions of weights the box knows the ages of.
	ages int
	// departures is how many servers the box has heard to leave.
	departures uint64
	// rateLimits is the number of rate limit changes that the box has recorded.
	rateLimits uint64
	// limitedSends is the number of requests sent to servers with a low rate limit.
	limitedSends uint64
	// suspects counts what was heard of requests under which servers have ended and is to be told at once.
	suspects uint64
	// readers are the boxes that read the store.
	readers []*wire.StoreReader
}

// told is what, when it changes, is told at once.
func (s *statusSummary) told() (ready, leaving bool, extent Extent) {
	return s.ready, s.leaving, s.extent
}

// statusTold is what the receiver of one stream knows.
type statusTold struct {
	// whole returns the box's status without what is in flight and asked for.
	whole   func() *wire.EntryStatus
	summary statusSummary
	load    route.Load
	demands route.Demands
	// sentAway is how many of the callers that the box has sent away were told, departures how many of the
	// servers that it has heard to leave, suspects how much of the requests under which servers have ended.
	sentAway   uint64
	departures uint64
	suspects   uint64
	// rateLimits is the number of the last rate limit change that was sent.
	rateLimits uint64
	at         time.Time
}

// next returns the message that brings the receiver to a state; nil if it knows it and has
// heard of the box lately, unless there is something else to tell it.
func (t *statusTold) next(summary statusSummary, load route.Load, demands route.Demands, now time.Time, more bool) *wire.EntryStatus {
	if t.at.IsZero() || summary.ages != t.summary.ages {
		t.summary, t.load, t.demands, t.at = summary, load, demands, now
		status := t.whole()
		status.InFlight, status.Demands, status.Readers = loadToWire(load), demandsToWire(demands), summary.readers
		return status
	}
	changed := changedLoad(t.load, load)
	asked := maps.Clone(demands)
	maps.DeleteFunc(asked, func(service member.Service, demand route.Demand) bool { return t.demands[service] == demand })
	urgent := more || len(changed) > 0 || isUrgent(t.demands, asked) || t.isNews(&summary, now)
	if !urgent && now.Sub(t.at) < statusHeartbeat {
		return nil
	}
	t.summary, t.load, t.demands, t.at = summary, load, demands, now
	return &wire.EntryStatus{
		Partial: true, Ready: summary.ready, Leaving: summary.leaving, Revision: uint64(summary.extent.Newest), Complete: uint64(summary.extent.Complete),
		InFlight: loadToWire(changed), Demands: demandsToWire(asked), Readers: summary.readers,
	}
}

// isNews reports whether what a summary tells must not wait for the next heartbeat.
func (t *statusTold) isNews(summary *statusSummary, now time.Time) bool {
	ready, leaving, extent := summary.told()
	knownReady, knownLeaving, knownExtent := t.summary.told()
	if ready != knownReady || leaving != knownLeaving || extent != knownExtent {
		return true
	}
	return newestAnswer(summary.readers, now).Sub(newestAnswer(t.summary.readers, t.at)) >= readerRelay
}

// newestAnswer returns when the store answered the first in rank of its readers, as was told at a
// time; the zero time if there is none.
func newestAnswer(told []*wire.StoreReader, at time.Time) time.Time {
	if len(told) == 0 {
		return time.Time{}
	}
	return at.Add(-time.Duration(told[0].AgeMilliseconds) * time.Millisecond)
}

// changedLoad returns the servers at which the load is another one than before.
func changedLoad(before, now route.Load) route.Load {
	changed := make(route.Load)
	for id, at := range now {
		if before[id] != at {
			changed[id] = at
		}
	}
	for id := range before {
		if _, stays := now[id]; !stays {
			changed[id] = route.ServerLoad{}
		}
	}
	return changed
}

// isUrgent reports whether demands that have changed are to be told even if nothing
// else has: that more or fewer requests wait is, that a few more or fewer came is not.
func isUrgent(before, changed route.Demands) bool {
	for service, demand := range changed {
		if known := before[service]; known.InTime != demand.InTime || known.Late != demand.Late {
			return true
		}
	}
	return false
}

func loadToWire(load route.Load) []*wire.InFlight {
	told := make([]*wire.InFlight, 0, len(load))
	for id, at := range load {
		told = append(told, &wire.InFlight{
			Server: string(id), Count: uint32(at.Requests), ReadingMilliseconds: uint32(at.Prefill.Milliseconds()), Sent: at.Sent,
		})
	}
	return told
}

func loadOf(told []*wire.InFlight) route.Load {
	load := make(route.Load, len(told))
	for _, at := range told {
		load[fleet.ServerID(at.Server)] = route.ServerLoad{
			Requests: int(at.Count), Prefill: time.Duration(at.ReadingMilliseconds) * time.Millisecond, Sent: at.Sent,
		}
	}
	return load
}

func demandsToWire(demands route.Demands) []*wire.ServiceDemand {
	told := make([]*wire.ServiceDemand, 0, len(demands))
	for service, demand := range demands {
		told = append(told, &wire.ServiceDemand{
			Service: string(service), Arrivals: uint32(demand.Arrivals), InTime: uint32(demand.InTime), Late: uint32(demand.Late),
			Beginning: uint32(demand.AwaitingFirstByte),
		})
	}
	return told
}

func demandsOf(told []*wire.ServiceDemand) route.Demands {
	demands := make(route.Demands, len(told))
	for _, demand := range told {
		demands[member.Service(demand.Service)] = route.Demand{
			Arrivals: int(demand.Arrivals), InTime: int(demand.InTime), Late: int(demand.Late),
			AwaitingFirstByte: int(demand.Beginning),
		}
	}
	return demands
}

// sentAwayToWire tells callers in times before and after now, as boxes have no common clock.
func sentAwayToWire(callers []route.RejectedCaller, now time.Time) []*wire.SentAway {
	told := make([]*wire.SentAway, 0, len(callers))
	for _, caller := range callers {
		told = append(told, &wire.SentAway{
			Fingerprint: uint64(caller.Fingerprint), FirstMilliseconds: milliseconds(now.Sub(caller.FirstRequestAt)),
			EndsMilliseconds: milliseconds(caller.TimeoutAt.Sub(now)),
		})
	}
	return told
}

func sentAwayOf(told []*wire.SentAway, now time.Time) []route.RejectedCaller {
	callers := make([]route.RejectedCaller, 0, len(told))
	for _, caller := range told {
		callers = append(callers, route.RejectedCaller{
			Fingerprint:    route.Fingerprint(caller.Fingerprint),
			FirstRequestAt: now.Add(-time.Duration(caller.FirstMilliseconds) * time.Millisecond),
			TimeoutAt:      now.Add(time.Duration(caller.EndsMilliseconds) * time.Millisecond),
		})
	}
	return callers
}

// milliseconds is a time as it is told, not below zero.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

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
	watermarks     Watermarks
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

// urgentFields is what, when it changes, is told at once.
func (s *statusSummary) urgentFields() (ready, leaving bool, extent Watermarks) {
	return s.ready, s.leaving, s.watermarks
}

// statusCursor is what the receiver of one stream knows.
type statusCursor struct {
	// fullStatus returns the box's status without what is in flight and asked for.
	fullStatus func() *wire.EntryStatus
	summary    statusSummary
	load       route.Load
	demands    route.Demands
	// rejected is how many of the callers that the box has sent away were told, departures how many of the
	// servers that it has heard to leave, suspects how much of the requests under which servers have ended.
	rejected   uint64
	departures uint64
	suspects   uint64
	// rateLimits is the number of the last rate limit change that was sent.
	rateLimits uint64
	at         time.Time
}

// nextMessage returns the message that brings the receiver to a state; nil if it knows it and has
// heard of the box lately, unless there is something else to tell it.
func (t *statusCursor) nextMessage(summary statusSummary, load route.Load, demands route.Demands, now time.Time, more bool) *wire.EntryStatus {
	if t.at.IsZero() || summary.ages != t.summary.ages {
		t.summary, t.load, t.demands, t.at = summary, load, demands, now
		status := t.fullStatus()
		status.InFlight, status.Demands, status.Readers = loadToWire(load), demandsToWire(demands), summary.readers
		return status
	}
	changed := loadDelta(t.load, load)
	asked := maps.Clone(demands)
	maps.DeleteFunc(asked, func(service member.Service, demand route.Demand) bool { return t.demands[service] == demand })
	urgent := more || len(changed) > 0 || isUrgentDemand(t.demands, asked) || t.isUrgentChange(&summary, now)
	if !urgent && now.Sub(t.at) < statusHeartbeat {
		return nil
	}
	t.summary, t.load, t.demands, t.at = summary, load, demands, now
	return &wire.EntryStatus{
		Partial: true, Ready: summary.ready, Leaving: summary.leaving, Revision: uint64(summary.watermarks.Newest), Complete: uint64(summary.watermarks.Complete),
		InFlight: loadToWire(changed), Demands: demandsToWire(asked), Readers: summary.readers,
	}
}

// isUrgentChange reports whether what a summary tells must not wait for the next heartbeat.
func (t *statusCursor) isUrgentChange(summary *statusSummary, now time.Time) bool {
	ready, leaving, extent := summary.urgentFields()
	knownReady, knownLeaving, knownExtent := t.summary.urgentFields()
	if ready != knownReady || leaving != knownLeaving || extent != knownExtent {
		return true
	}
	return newestResponse(summary.readers, now).Sub(newestResponse(t.summary.readers, t.at)) >= readerUpdateThreshold
}

// newestResponse returns when the store answered the first in rank of its readers, as was told at a
// time; the zero time if there is none.
func newestResponse(told []*wire.StoreReader, at time.Time) time.Time {
	if len(told) == 0 {
		return time.Time{}
	}
	return at.Add(-time.Duration(told[0].AgeMilliseconds) * time.Millisecond)
}

// loadDelta returns the servers at which the load is another one than before.
func loadDelta(before, now route.Load) route.Load {
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

// isUrgentDemand reports whether demands that have changed are to be told even if nothing
// else has: that more or fewer requests wait is, that a few more or fewer came is not.
func isUrgentDemand(before, changed route.Demands) bool {
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

func loadFromWire(told []*wire.InFlight) route.Load {
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

func demandsFromWire(told []*wire.ServiceDemand) route.Demands {
	demands := make(route.Demands, len(told))
	for _, demand := range told {
		demands[member.Service(demand.Service)] = route.Demand{
			Arrivals: int(demand.Arrivals), InTime: int(demand.InTime), Late: int(demand.Late),
			AwaitingFirstByte: int(demand.Beginning),
		}
	}
	return demands
}

// rejectedToWire tells callers in times before and after now, as boxes have no common clock.
func rejectedToWire(callers []route.RejectedCaller, now time.Time) []*wire.SentAway {
	told := make([]*wire.SentAway, 0, len(callers))
	for _, caller := range callers {
		told = append(told, &wire.SentAway{
			Fingerprint: uint64(caller.Fingerprint), FirstMilliseconds: milliseconds(now.Sub(caller.FirstRequestAt)),
			EndsMilliseconds: milliseconds(caller.TimeoutAt.Sub(now)),
		})
	}
	return told
}

func rejectedFromWire(told []*wire.SentAway, now time.Time) []route.RejectedCaller {
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

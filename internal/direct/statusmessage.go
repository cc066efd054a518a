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

// statusSummary is the state of a box, apart from its load and demand, that determines whether a status message is
// due.
type statusSummary struct {
	ready, leaving bool
	watermarks     Watermarks
	// ages is the number of version age changes that the box has recorded.
	ages int
	// departures is the number of server departures that the box has recorded.
	departures uint64
	// rateLimits is the number of rate limit changes that the box has recorded.
	rateLimits uint64
	// limitedSends is the number of requests sent to servers with a low rate limit.
	limitedSends uint64
	// suspects is the number of times that evidence about suspect requests had to be sent immediately.
	suspects uint64
	// readers are the boxes that read the platform's store, first-ranked first.
	readers []*wire.StoreReader
	// storeOutage is set while entries of servers may have expired in an outage of the store.
	storeOutage bool
	// confirmation is the latest confirmation that the box passes on. It is urgent if it is newer than the one sent last by
	// urgentStep, and not sent if it is not newer by confirmationStep.
	confirmation                 confirmation
	confirmationStep, urgentStep time.Duration
}

// urgentFields are the fields of a summary whose changes are sent immediately.
type urgentFields struct {
	ready, leaving, storeOutage bool
	watermarks                  Watermarks
}

func (s *statusSummary) urgentFields() urgentFields {
	return urgentFields{s.ready, s.leaving, s.storeOutage, s.watermarks}
}

// isSame reports whether two summaries are equal apart from requests to servers with a low rate limit and store readers.
func (s *statusSummary) isSame(other *statusSummary) bool {
	return s.urgentFields() == other.urgentFields() && s.ages == other.ages && s.departures == other.departures &&
		s.rateLimits == other.rateLimits && s.suspects == other.suspects
}

// statusCursor is the state that has been sent on one stream.
type statusCursor struct {
	// fullStatus returns a full status message without load, demand and store readers.
	fullStatus func() *wire.EntryStatus
	summary    statusSummary
	load       route.Load
	demands    route.Demands
	// rejected, departures and suspects are the positions up to which rejected callers, server departures and
	// evidence about suspect requests have been sent.
	rejected   uint64
	departures uint64
	suspects   uint64
	// rateLimits is the number of the last rate limit change that was sent.
	rateLimits uint64
	sentAt     time.Time
	// confirmation is the last confirmation that was sent.
	confirmation confirmation
	// openedAt is when the stream was opened.
	openedAt time.Time
}

// nextMessage returns the message that updates the receiver to the given state. It returns nil if nothing urgent
// has changed, no heartbeat is due and hasOther is false. hasOther is set if the caller adds other contents to the
// message.
func (c *statusCursor) nextMessage(summary statusSummary, load route.Load, demands route.Demands, now time.Time, hasOther bool) *wire.EntryStatus {
	if c.sentAt.IsZero() || summary.ages != c.summary.ages {
		c.summary, c.load, c.demands, c.sentAt = summary, load, demands, now
		status := c.fullStatus()
		status.InFlight, status.Demands, status.Readers = loadToWire(load), demandsToWire(demands), summary.readers
		if status.Confirmation = c.nextConfirmation(&summary, now); status.Confirmation == nil {
			// An empty one shows that the sender passes on confirmations.
			status.Confirmation = &wire.Confirmation{}
		}
		return status
	}
	changedLoad := loadDelta(c.load, load)
	changedDemands := maps.Clone(demands)
	maps.DeleteFunc(changedDemands, func(service member.Service, demand route.Demand) bool { return c.demands[service] == demand })
	urgent := hasOther || len(changedLoad) > 0 || isUrgentDemand(c.demands, changedDemands) || c.isUrgentChange(&summary, now)
	if !urgent && now.Sub(c.sentAt) < statusHeartbeat {
		return nil
	}
	c.summary, c.load, c.demands, c.sentAt = summary, load, demands, now
	return &wire.EntryStatus{
		Partial: true, Ready: summary.ready, Leaving: summary.leaving, Revision: uint64(summary.watermarks.Newest), Complete: uint64(summary.watermarks.Complete),
		Ordered:     summary.watermarks.Ordered,
		StoreOutage: summary.storeOutage,
		InFlight:    loadToWire(changedLoad), Demands: demandsToWire(changedDemands), Readers: summary.readers,
		Confirmation: c.nextConfirmation(&summary, now),
	}
}

// nextConfirmation returns the confirmation of a message that is made at a time, nil if the last one that was sent is not
// much older.
func (c *statusCursor) nextConfirmation(summary *statusSummary, now time.Time) *wire.Confirmation {
	if !summary.confirmation.isNewer(&c.confirmation, summary.confirmationStep) {
		return nil
	}
	c.confirmation = summary.confirmation
	return c.confirmation.toWire(now)
}

// isUrgentChange reports whether the changes in a summary must be sent before the next heartbeat.
func (c *statusCursor) isUrgentChange(summary *statusSummary, now time.Time) bool {
	if summary.urgentFields() != c.summary.urgentFields() || summary.confirmation.isNewer(&c.confirmation, summary.urgentStep) {
		return true
	}
	return newestResponse(summary.readers, now).Sub(newestResponse(c.summary.readers, c.sentAt)) >= readerUpdateThreshold
}

// newestResponse returns the time of the store's last response to the first-ranked reader, the zero time if there
// are no readers. The ages of the readers are relative to at.
func newestResponse(readers []*wire.StoreReader, at time.Time) time.Time {
	if len(readers) == 0 {
		return time.Time{}
	}
	return at.Add(-time.Duration(readers[0].AgeMilliseconds) * time.Millisecond)
}

// loadDelta returns the load of the servers whose load has changed; it is zero for servers without load now.
func loadDelta(before, now route.Load) route.Load {
	changed := make(route.Load)
	for id, serverLoad := range now {
		if before[id] != serverLoad {
			changed[id] = serverLoad
		}
	}
	for id := range before {
		if _, present := now[id]; !present {
			changed[id] = route.ServerLoad{}
		}
	}
	return changed
}

// isUrgentDemand reports whether changed demands must be sent even if nothing else has changed. This holds for a
// change in the number of waiting requests, but not for a change in the number of arrivals.
func isUrgentDemand(before, changed route.Demands) bool {
	for service, demand := range changed {
		if !isSameQueue(before[service], demand) {
			return true
		}
	}
	return false
}

// isSameQueue reports whether two demands have the same numbers of waiting requests.
func isSameQueue(a, b route.Demand) bool { return a.InTime == b.InTime && a.Late == b.Late }

func loadToWire(load route.Load) []*wire.InFlight {
	encoded := make([]*wire.InFlight, 0, len(load))
	for id, serverLoad := range load {
		encoded = append(encoded, &wire.InFlight{
			Server: string(id), Count: uint32(serverLoad.Requests), ReadingMilliseconds: uint32(serverLoad.Prefill.Milliseconds()), Sent: serverLoad.Sent,
		})
	}
	return encoded
}

func loadFromWire(encoded []*wire.InFlight) route.Load {
	load := make(route.Load, len(encoded))
	for _, inFlight := range encoded {
		load[fleet.ServerID(inFlight.Server)] = route.ServerLoad{
			Requests: int(inFlight.Count), Prefill: time.Duration(inFlight.ReadingMilliseconds) * time.Millisecond, Sent: inFlight.Sent,
		}
	}
	return load
}

func demandsToWire(demands route.Demands) []*wire.ServiceDemand {
	encoded := make([]*wire.ServiceDemand, 0, len(demands))
	for service, demand := range demands {
		encoded = append(encoded, &wire.ServiceDemand{
			Service: string(service), Arrivals: uint32(demand.Arrivals), InTime: uint32(demand.InTime), Late: uint32(demand.Late),
			Beginning: uint32(demand.AwaitingFirstByte), Classes: demandClassesToWire(&demand.Classes),
		})
	}
	return encoded
}

func demandsFromWire(encoded []*wire.ServiceDemand) route.Demands {
	demands := make(route.Demands, len(encoded))
	for _, demand := range encoded {
		demands[member.Service(demand.Service)] = route.Demand{
			Arrivals: int(demand.Arrivals), InTime: int(demand.InTime), Late: int(demand.Late),
			AwaitingFirstByte: int(demand.Beginning), Classes: demandClassesFromWire(demand.Classes),
		}
	}
	return demands
}

// demandClassesToWire encodes the classes that have any demand.
func demandClassesToWire(classes *route.DemandClasses) []*wire.ClassDemand {
	var encoded []*wire.ClassDemand
	for i, class := range classes {
		if class != (route.ClassDemand{}) {
			encoded = append(encoded, &wire.ClassDemand{
				Priority: uint32(i / 2), OverShare: i%2 > 0, Arrivals: uint32(class.Arrivals), InTime: uint32(class.InTime), Late: uint32(class.Late),
			})
		}
	}
	return encoded
}

// demandClassesFromWire decodes classes. Those with a priority beyond the last one are ignored.
func demandClassesFromWire(encoded []*wire.ClassDemand) (classes route.DemandClasses) {
	for _, class := range encoded {
		if class.Priority < route.PriorityClasses {
			classes[route.DemandClass(int(class.Priority), class.OverShare)] = route.ClassDemand{
				Arrivals: int(class.Arrivals), InTime: int(class.InTime), Late: int(class.Late),
			}
		}
	}
	return classes
}

// rejectedToWire encodes rejected callers. Times are encoded relative to now, because the boxes have no common clock.
func rejectedToWire(callers []route.RejectedCaller, now time.Time) []*wire.SentAway {
	encoded := make([]*wire.SentAway, 0, len(callers))
	for _, caller := range callers {
		encoded = append(encoded, &wire.SentAway{
			Fingerprint: uint64(caller.Fingerprint), FirstMilliseconds: milliseconds(now.Sub(caller.FirstRequestAt)),
			EndsMilliseconds: milliseconds(caller.TimeoutAt.Sub(now)),
		})
	}
	return encoded
}

func rejectedFromWire(encoded []*wire.SentAway, now time.Time) []route.RejectedCaller {
	callers := make([]route.RejectedCaller, 0, len(encoded))
	for _, caller := range encoded {
		callers = append(callers, route.RejectedCaller{
			Fingerprint:    route.Fingerprint(caller.Fingerprint),
			FirstRequestAt: now.Add(-time.Duration(caller.FirstMilliseconds) * time.Millisecond),
			TimeoutAt:      now.Add(time.Duration(caller.EndsMilliseconds) * time.Millisecond),
		})
	}
	return callers
}

// milliseconds returns a duration in milliseconds, limited to the range of uint32.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

package route

import (
	"math"
	"time"
)

const (
	// paceDecay is the time after which a sample of a server's pace has 1/e of its weight. Servers are slow for as little
	// as 0.6 s; a longer memory would keep requests away for most of such a time after it has ended.
	paceDecay = 150 * time.Millisecond
	// paceMaxAge is the age of the last sample from which a server's pace has no effect. It exceeds the time between the
	// events of a server that is several times slower than usual.
	paceMaxAge = 400 * time.Millisecond
	// pacePrior is the weight of the assumption that a server is as fast as usual, in samples. A single gap often
	// contains the prefill of another request, and such a gap must not look like a slow server.
	pacePrior = 1.0
	// maxPaceSample bounds the ratio that one sample contributes, so that a single long gap, as of a paused box, has the
	// effect of a few slow events.
	maxPaceSample = 4.0
	// overdueFactor is the ratio from which a gap that has not ended counts as a sample. Gaps that contain the prefill of
	// another request are not longer.
	overdueFactor = 1.6
	// latenessUnits is the number of units of ServerLoad.Lateness in an excess of 1. Smaller changes of the pace need no
	// report.
	latenessUnits = 4
	// minLateness is the smallest excess that is reported. A gap with the prefill of another request does not reach it,
	// so that usually only slow servers are reported.
	minLateness = 1.0
	// peerSampleShare is the part of the samples that the requests in flight of other boxes would give if all delivered
	// events all the time. The boxes do not report their numbers of samples: those change with each event.
	peerSampleShare = 0.5
	// minPaceGap is the shortest time between two events that is a sample. Shorter ones occur when the events were
	// already buffered, and do not show the pace of the server.
	minPaceGap = time.Millisecond
	// maxEventsPerRead bounds the number of events that count for the length of a response at once; a box reads less than
	// that many together.
	maxEventsPerRead = 1 << 20
	// eventGapStep is the relative change of the typical time between events for each sample. A box forwards some
	// hundred events a second, so that the estimate follows a change of the load within a second.
	eventGapStep = 0.01
)

// eventGap estimates the typical time between the events of a service's responses, over all servers: their median, by
// stochastic approximation. Unlike the mean it does not follow the minority of servers that are slow.
type eventGap struct{ median time.Duration }

// observe records the time between two events.
func (g *eventGap) observe(gap time.Duration) {
	switch {
	case g.median == 0:
		g.median = gap
	case gap > g.median:
		g.median += time.Duration(eventGapStep * float64(g.median))
	case gap < g.median:
		g.median -= time.Duration(eventGapStep * float64(g.median))
	}
}

// pace is how slowly a server has recently delivered the events of this box's responses: the ratio of the observed to
// the expected time between events. The zero value has no effect.
type pace struct {
	// samples and excess are the decayed number of samples and the decayed sum of their ratios less 1, at the time at.
	samples, excess float64
	at              time.Time
}

// observe records the ratio of the observed to the expected time between two events.
func (p *pace) observe(ratio float64, now time.Time) {
	keep := p.decayed(now)
	p.samples = p.samples*keep + 1
	p.excess = p.excess*keep + min(ratio, maxPaceSample) - 1
	p.at = now
}

// decayed returns the weight that the recorded samples still have.
func (p *pace) decayed(now time.Time) float64 {
	age := now.Sub(p.at)
	if p.at.IsZero() || age >= paceMaxAge {
		return 0
	}
	return math.Exp(-max(0, float64(age)/float64(paceDecay)))
}

// slowdown returns the factor by which a server is slower than usual; 1 if it is not or if there are no recent samples.
// A response whose next event is overdue counts as a sample, and so does what other boxes report. The samples lose their weight gradually, and each box has
// others, so that boxes do not return to a server together.
func (d *Dispatcher) slowdown(b *backend, now time.Time) float64 {
	keep := b.pace.decayed(now)
	samples, excess := b.pace.samples*keep, b.pace.excess*keep
	if overdue := d.overdue(b, now); overdue > overdueFactor {
		samples++
		excess += min(overdue, maxPaceSample) - 1
	}
	if d.eventGap.median > 0 {
		peers := d.peerLoads.sums[b.server.ID]
		excess += float64(peers.Lateness) / latenessUnits
		samples += peerSampleShare * float64(peers.Requests) * float64(paceDecay) / float64(d.eventGap.median)
	}
	return max(1, min(maxPaceSample, 1+excess/(samples+pacePrior)))
}

// lateness returns the decayed excess of the samples of a server's pace at this box, as it is reported to the others.
func (d *Dispatcher) lateness(b *backend, now time.Time) int {
	excess := b.pace.excess * b.pace.decayed(now)
	if overdue := d.overdue(b, now); overdue > overdueFactor {
		excess += min(overdue, maxPaceSample) - 1
	}
	if excess < minLateness {
		return 0
	}
	return int(excess * latenessUnits)
}

// overdue returns the longest time for which a response of this box at a server has been without an event, relative to
// the typical time between events.
func (d *Dispatcher) overdue(b *backend, now time.Time) float64 {
	longest := time.Duration(0)
	for _, since := range b.streaming {
		longest = max(longest, now.Sub(since))
	}
	if d.eventGap.median == 0 {
		return 0
	}
	return float64(longest) / float64(d.eventGap.median)
}

// EventsReceived records that events of the response have arrived. The time since AwaitEvents is a sample of the pace of
// the server. It has no effect for a request whose server runs no model.
func (r *Reservation) EventsReceived(events int, now time.Time) {
	if r.decode <= 0 || events <= 0 {
		return
	}
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	r.events += min(events, maxEventsPerRead)
	since, ok := r.backend.streaming[r]
	if !ok {
		return
	}
	delete(r.backend.streaming, r)
	if gap := now.Sub(since) / time.Duration(events); gap >= minPaceGap {
		d.eventGap.observe(gap)
		r.backend.pace.observe(float64(gap)/float64(d.eventGap.median), now)
	}
}

// AwaitEvents records that the events that have arrived are forwarded and that the next ones are awaited. The time that
// the caller takes to read is thus no part of the time between events. It has no effect for a request whose server runs
// no model.
func (r *Reservation) AwaitEvents(now time.Time) {
	if r.decode <= 0 {
		return
	}
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if !r.released {
		r.backend.streaming[r] = now
	}
}

// SlowServers returns how many servers deliver events more slowly than usual by at least slowServer, by the responses
// of this box.
func (d *Dispatcher) SlowServers(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	slow := 0
	for _, b := range d.backendList {
		if d.slowdown(b, now) >= slowServer {
			slow++
		}
	}
	return slow
}

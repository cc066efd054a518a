package route

import "time"

const (
	// minRetryAfter is the shortest Retry-After value given to a rejected caller.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfterDivisor limits the time to a retry: it is at most the caller's remaining time
	// divided by this number.
	maxRetryAfterDivisor = 3
	// forecastStep is the length of a step of the forecast, forecastSteps the number of steps:
	// callers time out or retry within three seconds.
	forecastStep  = 200 * time.Millisecond
	forecastSteps = 15
	// forecastMaxAge is the maximum age of a forecast.
	forecastMaxAge = 50 * time.Millisecond
	// defaultSwapTime is the initial estimate of how long a server is out of service for a weight
	// swap, swapSmoothing the weight of the newest sample in its moving average.
	defaultSwapTime = time.Second
	swapSmoothing   = 0.25
	// minTTFB is the lower bound of the time to first byte in estimates that divide by it.
	minTTFB = 20 * time.Millisecond
)

// forecast is how many late requests can start in the near future.
type forecast struct {
	at time.Time
	// lateStarts is the number of late requests that can start in each step.
	lateStarts [forecastSteps]float64
}

// lateForecast returns how many late requests can start in the next steps: on slots that are free
// now or on servers that return to service, and on slots that new requests do not need at their
// current rate. Servers go out of service and return according to the swaps that their agents
// report.
func (d *Dispatcher) lateForecast(now time.Time) *forecast {
	f := &d.forecast
	if age := now.Sub(f.at); age >= 0 && age < forecastMaxAge {
		return f
	}
	*f = forecast{at: now}
	var slots, idle [forecastSteps]int
	// limited is the number of requests that rate-limited servers accept in each step.
	var limited [forecastSteps]float64
	for _, b := range d.backendList {
		from, to := d.outOfService(b, now)
		bucket := d.buckets[b.server.ID]
		if d.isEligible(b, now) {
			free := d.slots(b) - d.load(b, now).Requests
			if bucket != nil {
				free = min(free, bucket.available(now))
			}
			idle[0] += max(0, free)
		} else if step := int(to.Sub(now) / forecastStep); step < forecastSteps && bucket == nil {
			idle[max(0, step)] += d.slots(b)
		}
		for step := range slots {
			if middle := now.Add(forecastStep/2 + time.Duration(step)*forecastStep); middle.Before(from) || !middle.Before(to) {
				if bucket != nil {
					limited[step] += d.maxRate(b) * forecastStep.Seconds()
				} else {
					slots[step] += d.slots(b)
				}
			}
		}
	}
	reserved := d.newRequestSlots(now)
	for step := range f.lateStarts {
		spare := float64(slots[step]) - reserved
		freed := max(0, spare*forecastStep.Seconds()/d.typicalHoldTime.Seconds()+limited[step])
		// Only as many requests as there are spare slots may await their first byte at a time, and
		// each awaits it for the TTFB.
		maxStarts := max(0, spare)*forecastStep.Seconds()/max(minTTFB, d.ttfb).Seconds() + limited[step]
		f.lateStarts[step] = min(maxStarts, freed+float64(idle[step]))
	}
	return f
}

// outOfService returns the period in which a server cannot run requests, as far as it is known. An
// outage of unknown duration is assumed to last as long again as it has lasted (Lindy's law): after
// a power failure all servers return within one or two seconds, and a server that has been down for
// a minute is not waited for.
func (d *Dispatcher) outOfService(b *backend, now time.Time) (from, to time.Time) {
	switch {
	case b.server.Evacuated:
		// Only the operators know when the evacuation ends.
		return now, now.Add(forecastSteps * forecastStep)
	case d.isSwapping(b, now):
		return now, b.swapStart.Add(d.swapTime)
	case b.isBackingOff(now):
		// The server may request another backoff when this one ends. Even so, more callers are
		// served if late requests wait for it than if they are rejected at once.
		return now, b.backoffUntil
	case !d.isEligible(b, now):
		return now, now.Add(max(forecastStep, now.Sub(b.ineligibleSince)))
	case !b.state.SwapAt.IsZero():
		return b.state.SwapAt, b.state.SwapAt.Add(d.swapTime)
	}
	return time.Time{}, time.Time{}
}

// timeToStart returns the time after which the given number of late requests has started; ok is
// false if that is beyond the forecast.
func (f *forecast) timeToStart(requests float64) (wait time.Duration, ok bool) {
	for step, late := range f.lateStarts {
		if late > 0 && requests <= late {
			return time.Duration((float64(step) + requests/late) * float64(forecastStep)), true
		}
		requests -= late
	}
	return 0, false
}

// isWorthQueueing reports whether a request is likely to get a slot while a response is still
// useful: in time for its objective or, if that cannot be met, before the caller's timeout.
func (d *Dispatcher) isWorthQueueing(req *SlotRequest, now time.Time) bool {
	if !d.hasServerFor(req) {
		return false
	}
	if !req.isLate(now) {
		inTime := d.anyEligible(req, now) && !now.Add(d.expectedWait(req, now)).After(req.startBy)
		if inTime || !req.Retry && !req.Resuming {
			return inTime
		}
	}
	wait, ok := d.expectedLateWait(req, now)
	return ok && !now.Add(wait).After(d.latestStart(req))
}

// latestStart returns the latest time at which a start of a late request is still useful.
func (d *Dispatcher) latestStart(req *SlotRequest) time.Time {
	latest := req.Deadline.Add(-time.Duration(lateReserveRatio * float64(d.typicalHoldTime)))
	if req.CallerTimeout > 0 {
		if timeout := req.Arrived.Add(req.CallerTimeout - callerTimeoutReserve); timeout.Before(latest) {
			return timeout
		}
	}
	return latest
}

// expectedWait returns how long a request that is in time waits for a slot. Slots are allocated to
// the boxes in proportion to such requests queued there, and a box keeps the slots that it
// releases.
func (d *Dispatcher) expectedWait(req *SlotRequest, now time.Time) time.Duration {
	if d.hasClasses {
		return d.expectedClassWait(req, now)
	}
	own, _ := d.queueCounts(now)
	if !req.queued {
		own++
	}
	share := max(1/float64(d.boxes), float64(own)/float64(own+d.totalPeerDemand(now).InTime))
	capacity := d.currentCapacity(now)
	rate := capacity.maxRate * capacity.allowedShare(req) * share
	if rate == 0 {
		rate = share / d.typicalHoldTime.Seconds()
	}
	return time.Duration(float64(d.ahead(req, now)+1) / rate * float64(time.Second))
}

// expectedLateWait returns how long a late request waits for a slot, behind the late requests
// queued at other boxes too. ok is false if it gets none within the forecast.
func (d *Dispatcher) expectedLateWait(req *SlotRequest, now time.Time) (wait time.Duration, ok bool) {
	return d.lateForecast(now).timeToStart(float64(d.ahead(req, now) + d.peerLateAhead(req, now) + 1))
}

// totalSlots returns the number of slots of all eligible servers.
func (d *Dispatcher) totalSlots(now time.Time) int { return d.currentCapacity(now).slots }

// newRequestSlots returns the number of slots that new requests need at their current rate
// (Little's law). Late requests must leave these slots free for the new requests
// that follow.
func (d *Dispatcher) newRequestSlots(now time.Time) float64 {
	arrivals := d.arrivals.count(now) + d.totalPeerDemand(now).Arrivals
	return float64(arrivals) * d.typicalHoldTime.Seconds() / rateWindow.Seconds()
}

// hasLateSlot reports whether one more late request may get a slot. A slot becomes free when a
// response that has started ends. The slots that new requests need must all become free within the
// typical hold time, so no more responses than there are other slots may be awaiting their first
// byte.
func (d *Dispatcher) hasLateSlot(now time.Time) bool {
	awaiting := len(d.awaiting) + d.totalPeerDemand(now).AwaitingFirstByte
	if d.newRequestSlots(now) >= d.currentCapacity(now).maxRate*d.typicalHoldTime.Seconds() {
		return false
	}
	return float64(awaiting+1) <= float64(d.totalSlots(now))-d.newRequestSlots(now)
}

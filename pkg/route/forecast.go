package route

import "time"

const (
	// minRetryAfter is the shortest time after which a caller is told to return.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfterDivisor is the part of its remaining time for which a caller waits at
	// most: one in so many.
	maxRetryAfterDivisor = 3
	// forecastStep is the step of the forecast of places, forecastSteps how many there
	// are: callers leave, or come back as they are told, within three seconds.
	forecastStep  = 200 * time.Millisecond
	forecastSteps = 15
	// forecastMaxAge is for how long a forecast counts.
	forecastMaxAge = 50 * time.Millisecond
	// defaultSwapTime is how long a server is out of service for newer weights until that
	// has been seen, swapSmoothing the weight of the newest time in the mean.
	defaultSwapTime = time.Second
	swapSmoothing   = 0.25
	// minTTFB is the least that an answer is taken to need to begin, for estimates that
	// divide by it.
	minTTFB = 20 * time.Millisecond
)

// forecast is how many late requests can start in the time to come.
type forecast struct {
	at time.Time
	// lateStarts is how many can in each step.
	lateStarts [forecastSteps]float64
}

// lateForecast returns how many late requests can start in the time to come: on places
// that are free now, or with servers that come back, and on those that first requests do
// not need at the rate at which they come now. Servers leave and come back as their
// agents tell of swaps.
func (d *Dispatcher) lateForecast(now time.Time) *forecast {
	f := &d.forecast
	if age := now.Sub(f.at); age >= 0 && age < forecastMaxAge {
		return f
	}
	*f = forecast{at: now}
	var places, empty [forecastSteps]int
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
			empty[0] += max(0, free)
		} else if step := int(to.Sub(now) / forecastStep); step < forecastSteps && bucket == nil {
			empty[max(0, step)] += d.slots(b)
		}
		for step := range places {
			if middle := now.Add(forecastStep/2 + time.Duration(step)*forecastStep); middle.Before(from) || !middle.Before(to) {
				if bucket != nil {
					limited[step] += d.maxRate(b) * forecastStep.Seconds()
				} else {
					places[step] += d.slots(b)
				}
			}
		}
	}
	first := d.newRequestSlots(now)
	for step := range f.lateStarts {
		spare := float64(places[step]) - first
		freed := max(0, spare*forecastStep.Seconds()/d.typicalHoldTime.Seconds()+limited[step])
		// So many begin at once, each for as long as an answer takes to begin.
		most := max(0, spare)*forecastStep.Seconds()/max(minTTFB, d.ttfb).Seconds() + limited[step]
		f.lateStarts[step] = min(most, freed+float64(empty[step]))
	}
	return f
}

// outOfService returns from when to when a server takes nothing, as far as is known. What
// is not known is taken to last as long again as it has lasted (Lindy's law): after a loss
// of power all servers are back within a second or two, and one that has been away for a
// minute is not waited for.
func (d *Dispatcher) outOfService(b *backend, now time.Time) (from, to time.Time) {
	switch {
	case d.isSwapping(b, now):
		return now, b.swapStart.Add(d.swapTime)
	case b.isBackingOff(now):
		// It may ask for rest again when this one is over; still more callers are served if late ones wait for that
		// than if they are sent away at once.
		return now, b.backoffUntil
	case !d.isEligible(b, now):
		return now, now.Add(max(forecastStep, now.Sub(b.ineligibleSince)))
	case !b.state.SwapAt.IsZero():
		return b.state.SwapAt, b.state.SwapAt.Add(d.swapTime)
	}
	return time.Time{}, time.Time{}
}

// timeToStart returns after which time so many late requests have started; ok is false if that
// is later than the forecast reaches.
func (f *forecast) timeToStart(requests float64) (wait time.Duration, ok bool) {
	for step, late := range f.lateStarts {
		if late > 0 && requests <= late {
			return time.Duration((float64(step) + requests/late) * float64(forecastStep)), true
		}
		requests -= late
	}
	return 0, false
}

// isWorthQueueing reports whether a request is likely to get a place while an answer is still
// of use: in time for its objective or, once that can't be met, before its caller leaves.
func (d *Dispatcher) isWorthQueueing(ask *SlotRequest, now time.Time) bool {
	if !ask.isLate(now) {
		inTime := d.anyEligible(now) && !now.Add(d.expectedWait(ask, now)).After(ask.startBy)
		if inTime || !ask.Retry && !ask.Resuming {
			return inTime
		}
	}
	wait, ok := d.expectedLateWait(ask, now)
	return ok && !now.Add(wait).After(d.latestStart(ask))
}

// latestStart is when a request that can't meet its objective must have started to be of use.
func (d *Dispatcher) latestStart(ask *SlotRequest) time.Time {
	latest := ask.Deadline.Add(-time.Duration(lateReserveRatio * float64(d.typicalHoldTime)))
	if ask.CallerTimeout > 0 {
		if leaves := ask.Arrived.Add(ask.CallerTimeout - callerTimeoutReserve); leaves.Before(latest) {
			return leaves
		}
	}
	return latest
}

// expectedWait returns how long a request that is in time waits for its place. Places go to
// the boxes by how many such requests wait there, and a box keeps those that it gives back.
func (d *Dispatcher) expectedWait(ask *SlotRequest, now time.Time) time.Duration {
	own, _ := d.queueCounts(now)
	if !ask.queued {
		own++
	}
	share := max(1/float64(d.boxes), float64(own)/float64(own+d.totalPeerDemand(now).InTime))
	perSecond := d.currentCapacity(now).maxRate * share
	if perSecond == 0 {
		perSecond = share / d.typicalHoldTime.Seconds()
	}
	return time.Duration(float64(d.ahead(ask, now)+1) / perSecond * float64(time.Second))
}

// expectedLateWait returns how long a request that is late waits for its place, behind those
// that wait elsewhere too. ok is false if it gets none in the foreseeable time.
func (d *Dispatcher) expectedLateWait(ask *SlotRequest, now time.Time) (wait time.Duration, ok bool) {
	return d.lateForecast(now).timeToStart(float64(d.ahead(ask, now) + d.totalPeerDemand(now).Late + 1))
}

// totalSlots is how many places there are.
func (d *Dispatcher) totalSlots(now time.Time) int { return d.currentCapacity(now).slots }

// newRequestSlots is how many places those need who come first, at the rate at which they
// come (Little's law). Taken by late ones, they would be missing when the first ones come.
func (d *Dispatcher) newRequestSlots(now time.Time) float64 {
	arrivals := d.arrivals.count(now) + d.totalPeerDemand(now).Arrivals
	return float64(arrivals) * d.typicalHoldTime.Seconds() / rateWindow.Seconds()
}

// hasLateSlot reports whether one more late request may get a place. Places become free
// as answers that have begun end; those that first requests need within the time that one
// is held must be freed by then, so no more answers than the others may be beginning.
func (d *Dispatcher) hasLateSlot(now time.Time) bool {
	beginning := len(d.awaiting) + d.totalPeerDemand(now).AwaitingFirstByte
	if d.newRequestSlots(now) >= d.currentCapacity(now).maxRate*d.typicalHoldTime.Seconds() {
		return false
	}
	return float64(beginning+1) <= float64(d.totalSlots(now))-d.newRequestSlots(now)
}

package lab

import "time"

const (
	// evennessWindow is the period over which the load of each server is averaged, evennessSample the interval of the
	// samples. Load reports are up to 50 ms old, so an error that they cause lasts for about one window.
	evennessWindow = 100 * time.Millisecond
	evennessSample = 10 * time.Millisecond
)

// Evenness describes how evenly the requests are distributed among the servers that accept requests, as means over the
// windows of evennessWindow while new callers arrive, without the first second. There are no values without a window.
type Evenness struct {
	// Windows is the number of windows.
	Windows int
	// Utilization is the fraction of the slots in use.
	Utilization float64
	// Misplaced is the fraction of the slots that are idle while another server has a queue: the smaller of the number
	// of idle slots and of the requests at servers beyond their slots.
	Misplaced float64
	// IdleWhileWaiting is the fraction of the slots that are idle while requests wait at entry boxes: the smaller of
	// the number of idle slots that no queue of another server could use and of the waiting requests.
	IdleWhileWaiting float64
	// WindowsUneven is the fraction of the windows in which a slot is misplaced on average.
	WindowsUneven float64
	// RequestsRatio and WorkRatio are the ratios of the largest to the mean number of requests at a server, and to the
	// mean remaining work of a server, in tokens that remain to be generated.
	RequestsRatio, WorkRatio float64
}

// evennessRecorder accumulates the samples of a window, and the windows.
type evennessRecorder struct {
	samples                                   int
	requests, work                            []float64
	slots, running, misplaced, idleAndWaiting float64
	sum                                       Evenness
}

// recordEvenness samples the servers until new callers stop arriving.
func (s *simulation) recordEvenness(r *evennessRecorder) {
	s.AfterFunc(evennessSample, func() {
		if s.Elapsed() >= s.deployment.Duration {
			s.result.Evenness = r.mean()
			return
		}
		if s.Elapsed() > time.Second {
			r.sample(s)
		}
		s.recordEvenness(r)
	})
}

func (r *evennessRecorder) sample(s *simulation) {
	if r.requests == nil {
		r.requests, r.work = make([]float64, len(s.servers)), make([]float64, len(s.servers))
	}
	idle, excess := 0, 0
	for i, e := range s.servers {
		if !e.up || !e.accepting {
			continue
		}
		// A request in the server's queue starts with the next pass if a slot is free.
		requests, work := e.load()
		r.requests[i] += float64(requests)
		r.work[i] += float64(work)
		r.slots += float64(e.Slots)
		r.running += float64(min(requests, e.Slots))
		idle += max(0, e.Slots-requests)
		excess += max(0, requests-e.Slots)
	}
	waiting := 0
	for _, b := range s.boxes {
		if b.up {
			waiting += b.dispatcher.QueueLen()
		}
	}
	misplaced := min(idle, excess)
	r.misplaced += float64(misplaced)
	r.idleAndWaiting += float64(min(idle-misplaced, waiting))
	if r.samples++; r.samples == int(evennessWindow/evennessSample) {
		r.endWindow()
	}
}

// load returns the number of requests at a server, and the tokens that remain to be generated for them.
func (e *engine) load() (requests, tokens int) {
	for _, jobs := range [][]*job{e.running, e.queue} {
		for _, j := range jobs {
			if !j.dropped {
				requests++
				tokens += j.remainingResponse
			}
		}
	}
	return requests, tokens
}

func (r *evennessRecorder) endWindow() {
	if r.slots > 0 {
		r.sum.Windows++
		r.sum.Utilization += r.running / r.slots
		r.sum.Misplaced += r.misplaced / r.slots
		r.sum.IdleWhileWaiting += r.idleAndWaiting / r.slots
		if r.misplaced >= float64(r.samples) {
			r.sum.WindowsUneven++
		}
		r.sum.RequestsRatio += maxToMean(r.requests)
		r.sum.WorkRatio += maxToMean(r.work)
	}
	clear(r.requests)
	clear(r.work)
	r.samples, r.slots, r.running, r.misplaced, r.idleAndWaiting = 0, 0, 0, 0, 0
}

// maxToMean returns the ratio of the largest value to the mean, 1 if all are 0.
func maxToMean(values []float64) float64 {
	largest, sum := 0.0, 0.0
	for _, value := range values {
		largest = max(largest, value)
		sum += value
	}
	if sum == 0 {
		return 1
	}
	return largest * float64(len(values)) / sum
}

// mean returns the means over all windows.
func (r *evennessRecorder) mean() Evenness {
	mean := r.sum
	if n := float64(mean.Windows); n > 0 {
		mean.Utilization /= n
		mean.Misplaced /= n
		mean.IdleWhileWaiting /= n
		mean.WindowsUneven /= n
		mean.RequestsRatio /= n
		mean.WorkRatio /= n
	}
	return mean
}

package direct

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// inFlight is the set of requests that are being served. Its zero value is empty.
type inFlight struct {
	mu       sync.Mutex
	requests map[*exchange]struct{}
	// isEnded is set once the requests have been ended.
	isEnded bool
}

// add adds a request.
func (f *inFlight) add(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[*exchange]struct{})
	}
	f.requests[x] = struct{}{}
	if f.isEnded {
		x.cancel(errStopping)
	}
}

// errStopping is the cause for a request that is ended because its process stops.
var errStopping = errors.New("process is stopping")

// end ends the requests that are being served and those that are added later.
func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isEnded = true
	for x := range f.requests {
		x.cancel(errStopping)
	}
}

// remove removes a request.
func (f *inFlight) remove(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, x)
}

// list returns the requests in no particular order.
func (f *inFlight) list() []*exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*exchange, 0, len(f.requests))
	for x := range f.requests {
		all = append(all, x)
	}
	return all
}

// settleCheckDelay is how long after evidence the requests in flight are evaluated again: some evidence blocks a request only
// after the delay in which other boxes may report more.
const settleCheckDelay = 200 * time.Millisecond

// abortQuarantined aborts attempts of requests that are blocked after they were sent. A server stops work on a request whose
// connection is closed, and one that has not begun its response may be about to exit because of the request.
func (s *CallerServer) abortQuarantined(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.suspects.mayBlock:
		}
		s.abortQuarantinedNow()
		sleep(ctx, s.clock, settleCheckDelay)
		s.abortQuarantinedNow()
	}
}

func (s *CallerServer) abortQuarantinedNow() {
	for _, x := range s.inFlight.list() {
		if !s.maySend(x) {
			x.group.abortNotBegun(route.ErrQuarantined)
		}
	}
}

// abortNotBegun aborts the attempts that have not received any part of a response body.
func (g *attemptGroup) abortNotBegun(cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.running {
		if !a.hasBegun && !a.superseded {
			a.cancel(cause)
		}
	}
}

package daemon

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// followView follows the view with the number of places and the weights of groups.
func (c *CallerServer) followView(ctx context.Context) {
	generation := uint64(math.MaxUint64)
	for {
		changed := c.view.Changed()
		if next := c.view.ShareGeneration(); next != generation {
			generation = next
			c.updateAdmissions()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(admissionUpdateDelay):
		}
	}
}

// admissionUpdateDelay gathers changes that come close together.
const admissionUpdateDelay = 100 * time.Millisecond

func (c *CallerServer) updateAdmissions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, admission := range c.admissions {
		c.updateAdmission(service, admission)
	}
}

// updateAdmission gives an admission its places and the weights of its groups.
func (c *CallerServer) updateAdmission(service member.Service, admission *route.Admission) {
	versions := make(map[table.ModelVersion]bool)
	for key, row := range c.view.RowPlans() {
		if member.Service(key.Model) == service {
			admission.SetWeight(key.Group, max(row.Share, minimumWeight))
			versions[row.Serving] = true
		}
	}
	admission.SetSlots(c.slots(service, versions))
}

// minimumWeight keeps a group with a share of 0 from dividing by 0.
const minimumWeight = 1e-3

// slots divides the replicas' places among the entry boxes of the region.
func (c *CallerServer) slots(service member.Service, versions map[table.ModelVersion]bool) int {
	replicas := c.view.Router().Count(route.ServiceVersion{Service: service})
	for version := range versions {
		replicas += c.view.Router().Count(route.ServiceVersion{Service: service, Version: version})
	}
	entries := max(1, len(c.view.Entries(c.region)))
	return (replicas*c.options.SlotsPerReplica + entries - 1) / entries
}

// admission returns the queue of a service. One that is asked for the first time
// gets its places at once: nothing may change in the view for a long time.
func (c *CallerServer) admission(service member.Service) *route.Admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.admissions[service]
	if !ok {
		held = route.NewAdmission(0, c.options.QueuePerGroup)
		c.updateAdmission(service, held)
		c.admissions[service] = held
	}
	return held
}

// framesPerRequest is how many frames of answer count as one request's work.
const framesPerRequest = 100

// admit waits for a place and runs the request in it.
func (c *CallerServer) admit(ctx context.Context, x *exchange, place route.ServiceVersion) {
	admission, group := c.admission(x.service), c.queueGroup(x)
	if c.view.Router().Count(place) == 0 {
		c.refuse(x, refusal{reasonNoBox, fmt.Sprintf("no box has %s %s live", x.service, place.Version), time.Second})
		return
	}
	waitCtx, cancel := clockwork.WithDeadline(ctx, c.clock, x.deadline)
	defer cancel()
	slot, err := admission.Acquire(waitCtx, group, x.priority, x.arrived, x.deadline)
	switch {
	case ctx.Err() != nil:
		if err == nil {
			slot.Release(0, c.clock.Now())
		}
		c.recordOutcome(x, outcomeCallerGone)
		return
	case errors.Is(err, route.ErrQueueFull):
		c.refuse(x, refusal{reasonQueueFull, err.Error(), admission.RetryAfter(group)})
		return
	case err != nil:
		c.refuse(x, refusal{reasonDeadline, "the deadline would pass before the request starts", admission.RetryAfter(group)})
		return
	}
	defer func() { slot.Release(float64(x.frames.Load())/framesPerRequest, c.clock.Now()) }()
	// The version is pinned only now: while the request waited, another one may
	// have come into force.
	place, why := c.resolveVersion(x)
	if why != nil {
		c.refuse(x, *why)
		return
	}
	x.version = place.Version
	c.runAttempts(ctx, x, place)
}

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

// followView updates the slots and group weights of all admissions whenever the view changes.
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

// admissionUpdateDelay combines view changes in quick succession into one update.
const admissionUpdateDelay = 100 * time.Millisecond

func (c *CallerServer) updateAdmissions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, admission := range c.admissions {
		c.updateAdmission(service, admission)
	}
}

// updateAdmission sets the number of slots and the group weights of a service's admission.
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

// minimumWeight is the weight of a group whose share is 0. It avoids a division by zero.
const minimumWeight = 1e-3

// slots returns the number of slots of this entry box: its part of the slots of all replicas,
// divided evenly among the entry boxes of the region and rounded up.
func (c *CallerServer) slots(service member.Service, versions map[table.ModelVersion]bool) int {
	replicas := c.view.Router().Count(route.ServiceVersion{Service: service})
	for version := range versions {
		replicas += c.view.Router().Count(route.ServiceVersion{Service: service, Version: version})
	}
	entries := max(1, len(c.view.Entries(c.region)))
	return (replicas*c.options.SlotsPerReplica + entries - 1) / entries
}

// admission returns the admission queue of a service and creates it on first use. A new queue
// gets its slots immediately, because the view may not change for a long time.
func (c *CallerServer) admission(service member.Service) *route.Admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, ok := c.admissions[service]
	if !ok {
		queue = route.NewAdmission(0, c.options.QueuePerGroup)
		c.updateAdmission(service, queue)
		c.admissions[service] = queue
	}
	return queue
}

// framesPerRequest is the number of response frames that count as the work of one request.
const framesPerRequest = 100

// admit waits for a slot, runs the request and releases the slot.
func (c *CallerServer) admit(ctx context.Context, x *exchange, version route.ServiceVersion) {
	admission, group := c.admission(x.service), c.queueGroup(x)
	if c.view.Router().Count(version) == 0 {
		c.refuse(x, refusal{reasonNoBox, fmt.Sprintf("no box has %s %s live", x.service, version.Version), time.Second})
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
	// Resolve the version again: the table may have changed while the request
	// waited. From here on it is fixed.
	version, refused := c.resolveVersion(x)
	if refused != nil {
		c.refuse(x, *refused)
		return
	}
	x.version = version.Version
	c.runAttempts(ctx, x, version)
}

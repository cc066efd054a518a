package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/plan"
)

// leaseTerm is one time of holding the lease.
type leaseTerm struct {
	epoch    uint64
	lease    provider.LeaseID
	sequence uint64
	// headRevision is that of the head in the key-value service, which the next
	// swap expects.
	headRevision provider.Revision
	// planDuration is how long the last plan took to compute.
	planDuration time.Duration
	// lost gets the reason when the lease can no longer be counted on.
	lost chan error
	// stopRenewal ends the renewal.
	stopRenewal context.CancelFunc
}

// acquire takes the lease. It is renewed from the moment it is granted, because
// with a slow key-value service the calls that follow take as long as a lease.
func (p *Planner) acquire(ctx context.Context) (*leaseTerm, error) {
	sent := p.clock.Now()
	p.metrics.keyValueCalls.WithLabelValues("lease").Inc()
	grantCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	lease, err := p.kv.Grant(grantCtx, plannerLeaseTTL)
	if err != nil {
		return nil, err
	}
	renewCtx, stop := context.WithCancel(p.tasks.Context())
	t := &leaseTerm{lease: lease, lost: make(chan error, 1), stopRenewal: stop}
	p.tasks.Go(func(context.Context) { t.lost <- p.renew(renewCtx, lease, sent) })
	if err := p.claimLease(ctx, t); err != nil {
		p.release(t)
		return nil, err
	}
	return t, nil
}

// claimLease makes this planner the holder and its epoch the newest.
func (p *Planner) claimLease(ctx context.Context, t *leaseTerm) error {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	revision, won, err := p.kv.CompareAndSwap(callCtx, plannerLeaseKey, []byte(p.self), 0, t.lease)
	if err != nil {
		return err
	}
	if !won {
		return errSuperseded
	}
	t.epoch = uint64(revision)
	return p.writeEpoch(ctx, t)
}

// writeEpoch writes the new epoch into the head, after which no plan of an older
// epoch can win its swap.
func (p *Planner) writeEpoch(ctx context.Context, t *leaseTerm) error {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("get").Inc()
	entry, err := p.kv.Get(callCtx, planHeadKey)
	if err != nil {
		return err
	}
	var head plan.Head
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &head); err != nil {
			return fmt.Errorf("decoding plan head: %w", err)
		}
	}
	if head.Epoch >= t.epoch {
		return errSuperseded
	}
	t.headRevision = entry.Revision
	return p.compareAndSwapHead(ctx, t, plan.Head{Epoch: t.epoch, Planner: p.self, Table: head.Table})
}

func (p *Planner) compareAndSwapHead(ctx context.Context, t *leaseTerm, head plan.Head) error {
	value, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encoding plan head: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	revision, won, err := p.kv.CompareAndSwap(callCtx, planHeadKey, value, t.headRevision, 0)
	if err != nil {
		return err
	}
	if !won {
		return errSuperseded
	}
	t.headRevision = revision
	return nil
}

func (p *Planner) release(t *leaseTerm) {
	t.stopRenewal()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := p.kv.Revoke(ctx, t.lease); err != nil {
		p.log.Debug().Err(err).Msg("planner lease not revoked")
	}
}

// renew keeps the lease, counting its time from when a renewal was sent. A
// renewal that is answered late still counts, as long as the lease lasts.
func (p *Planner) renew(ctx context.Context, lease provider.LeaseID, renewed time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.clock.After(plannerRenewInterval):
		}
		sent := p.clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, plannerLeaseTTL-p.clock.Since(renewed))
		p.metrics.keyValueCalls.WithLabelValues("lease").Inc()
		err := p.kv.KeepAlive(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			renewed = sent
		case errors.Is(err, provider.ErrLeaseLost):
			return err
		}
		if p.clock.Since(renewed) > plannerLeaseTTL {
			return provider.ErrLeaseLost
		}
	}
}

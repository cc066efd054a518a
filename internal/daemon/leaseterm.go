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

// leaseTerm is the state of a planner while it holds the lease.
type leaseTerm struct {
	epoch    uint64
	lease    provider.LeaseID
	sequence uint64
	// headRevision is the revision of the plan head in the key-value service.
	// The next compare-and-swap expects it.
	headRevision provider.Revision
	// planDuration is the time that computing the last plan took.
	planDuration time.Duration
	// lost receives the cause when the lease is lost.
	lost chan error
	// stopRenewal stops renewing the lease.
	stopRenewal context.CancelFunc
}

// acquire acquires the lease. Renewal starts as soon as the lease is granted, because the calls
// that follow can outlast the lease if the key-value service is slow.
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

// claimLease makes this planner the holder of the lease and writes its new epoch.
func (p *Planner) claimLease(ctx context.Context, t *leaseTerm) error {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	revision, swapped, err := p.kv.CompareAndSwap(callCtx, plannerLeaseKey, []byte(p.self), 0, t.lease)
	if err != nil {
		return err
	}
	if !swapped {
		return errSuperseded
	}
	return p.writeEpoch(ctx, t, revision)
}

// writeEpoch chooses the epoch of a term whose lease was claimed at a revision, and writes it into the plan
// head. After that, the compare-and-swap of a planner with an older epoch fails.
func (p *Planner) writeEpoch(ctx context.Context, t *leaseTerm, claimed provider.Revision) error {
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
	if entry.Revision > claimed {
		// A planner that claimed the lease later has written its epoch.
		return errSuperseded
	}
	known := max(head.Epoch, p.view.LatestEpoch())
	t.epoch = max(uint64(claimed), known+1)
	if t.epoch != uint64(claimed) {
		p.log.Warn().Uint64("revision", uint64(claimed)).Uint64("known", known).Uint64("epoch", t.epoch).
			Msg("the key-value service is older than the plan in force, as after a restore")
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
	revision, swapped, err := p.kv.CompareAndSwap(callCtx, planHeadKey, value, t.headRevision, 0)
	if err != nil {
		return err
	}
	if !swapped {
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
		p.log.Debug().Err(err).Msg("cannot revoke planner lease; it stays until it expires")
	}
}

// renew renews the lease until it is lost or the context ends. The term of the lease counts from
// the time when the last successful renewal was sent. A renewal with a late response
// still counts as long as the lease has not expired.
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

package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cinderslip/cinderslip/internal/platform"
	"github.com/cinderslip/cinderslip/pkg/plan"
)

// tenure is one time of holding the lease.
type tenure struct {
	epoch    uint64
	lease    platform.LeaseID
	sequence uint64
	// headRevision is that of the head in the key-value service, which the next
	// swap expects.
	headRevision platform.Revision
	// computed is how long the last plan took to compute.
	computed time.Duration
	// renewed is when the last renewal that succeeded was sent.
	renewed time.Time
}

func (p *Planner) acquire(ctx context.Context) (*tenure, error) {
	sent := p.clock.Now()
	p.metrics.keyValueCalls.WithLabelValues("lease").Inc()
	lease, err := p.kv.Grant(ctx, plannerLease)
	if err != nil {
		return nil, err
	}
	t := &tenure{lease: lease, renewed: sent}
	p.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	revision, won, err := p.kv.Swap(ctx, plannerKey, []byte(p.self), 0, lease)
	if err == nil && !won {
		err = errDeposed
	}
	if err != nil {
		p.release(t)
		return nil, err
	}
	t.epoch = uint64(revision)
	if err := p.claim(ctx, t); err != nil {
		p.release(t)
		return nil, err
	}
	return t, nil
}

// claim writes the new epoch into the head, after which no plan of an older
// epoch can win its swap.
func (p *Planner) claim(ctx context.Context, t *tenure) error {
	p.metrics.keyValueCalls.WithLabelValues("get").Inc()
	entry, err := p.kv.Get(ctx, planHeadKey)
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
		return errDeposed
	}
	t.headRevision = entry.Revision
	return p.swapHead(ctx, t, plan.Head{Epoch: t.epoch, Planner: p.self, Table: head.Table})
}

func (p *Planner) swapHead(ctx context.Context, t *tenure, head plan.Head) error {
	value, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encoding plan head: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	revision, won, err := p.kv.Swap(callCtx, planHeadKey, value, t.headRevision, 0)
	if err != nil {
		return err
	}
	if !won {
		return errDeposed
	}
	t.headRevision = revision
	return nil
}

func (p *Planner) release(t *tenure) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := p.kv.Revoke(ctx, t.lease); err != nil {
		p.log.Debug().Err(err).Msg("planner lease not revoked")
	}
}

// renew keeps the lease, counting its time from when a renewal was sent.
func (p *Planner) renew(ctx context.Context, lease platform.LeaseID, renewed time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.clock.After(plannerRenew):
		}
		sent := p.clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, plannerRenew)
		p.metrics.keyValueCalls.WithLabelValues("lease").Inc()
		err := p.kv.KeepAlive(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			renewed = sent
		case errors.Is(err, platform.ErrLeaseLost):
			return err
		}
		if p.clock.Since(renewed) > plannerLease {
			return platform.ErrLeaseLost
		}
	}
}

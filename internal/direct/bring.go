package direct

import (
	"context"
	"fmt"
	"time"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// swapLead is how long after a version was named the first server with older
	// weights is swapped at the earliest, so that the pieces have come round.
	swapLead = 2 * time.Second
	// swapSpan is over how long the swaps of all servers are spread.
	swapSpan = 3 * time.Second
	// swapTimeout bounds the wait until the server holds what it was ordered to
	// take; streams that run are finished first.
	swapTimeout = 10 * time.Second
	// swapNotice is how long before the order entry boxes are told to send the
	// server nothing more.
	swapNotice = 150 * time.Millisecond
)

// bring fetches the wanted version, stages it and orders the server to take it.
func (l *Loader) bring(ctx context.Context, want *target, serving bool) error {
	started := l.options.Clock.Now()
	manifest, err := l.manifest(ctx, want)
	if err != nil {
		return err
	}
	l.readStaged(ctx, want, manifest)
	if err := l.fetch(ctx, want, manifest); err != nil {
		return fmt.Errorf("fetching: %w", err)
	}
	l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(want.wanted.Version)).
		Dur("taken_ms", l.options.Clock.Since(started)).Msg("weights fetched")
	if serving {
		if err := l.awaitTurn(ctx, want); err != nil {
			return err
		}
		l.setSwapping(true)
		sleep(ctx, l.options.Clock, swapNotice)
	}
	if err := l.stage(ctx, want, manifest); err != nil {
		l.setSwapping(false)
		return fmt.Errorf("staging: %w", err)
	}
	return l.order(ctx, want, serving)
}

// isWanted reports whether the target is still the wanted one.
func (l *Loader) isWanted(want *target) bool {
	now, known := l.target()
	return known && now.model == want.model && now.wanted.Version == want.wanted.Version
}

// awaitTurn waits until it is this server's turn to be swapped. The servers go
// one after the other, so that capacity stays up.
func (l *Loader) awaitTurn(ctx context.Context, want *target) error {
	servers := make([]member.Address, 0, len(want.servers))
	for _, server := range want.servers {
		servers = append(servers, server.Address)
	}
	order := member.Rank(fmt.Sprintf("swap/%s/%d", want.model, want.wanted.Version), servers, len(servers))
	place := 0
	for i, address := range order {
		if address == l.options.Address {
			place = i
		}
	}
	turn := want.wanted.Since.Add(swapLead + swapSpan*time.Duration(place)/time.Duration(max(1, len(order))))
	for l.options.Clock.Now().Before(turn) {
		if !l.isWanted(want) {
			return errSuperseded
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, l.options.Clock, min(reportInterval, turn.Sub(l.options.Clock.Now())))
	}
	return nil
}

// stage hands every piece to the server and reads it back: what lies there may
// have turned bad.
func (l *Loader) stage(ctx context.Context, want *target, manifest *weights.Manifest) error {
	for index := range manifest.Chunks {
		if l.isStaged(ctx, want, manifest, index) {
			continue
		}
		data, err := l.store.Get(manifest.Digest(), index)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err = l.options.Server.Stage(callCtx, want.model, index, data)
		cancel()
		if err != nil {
			return err
		}
		if !l.isStaged(ctx, want, manifest, index) {
			return fmt.Errorf("piece %d reads back wrong: %w", index, weights.ErrDigest)
		}
	}
	return nil
}

// isStaged reports whether the server holds the right bytes of a piece.
func (l *Loader) isStaged(ctx context.Context, want *target, manifest *weights.Manifest, index int) bool {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	data, err := l.options.Server.Staged(callCtx, want.model, index)
	return err == nil && manifest.Hash.Sum(data) == manifest.Chunks[index].Digest
}

// readStaged takes over the pieces that lie at the server already.
func (l *Loader) readStaged(ctx context.Context, want *target, manifest *weights.Manifest) {
	held := l.store.Held(manifest.Digest())
	taken := 0
	for index := range manifest.Chunks {
		if held.Has(index) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		data, err := l.options.Server.Staged(callCtx, want.model, index)
		cancel()
		if err != nil {
			if index == 0 {
				return
			}
			continue
		}
		if l.store.Put(manifest, index, data) == nil {
			taken++
		} else if index == 0 {
			return
		}
	}
	if taken > 0 {
		l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(want.wanted.Version)).Int("pieces", taken).Msg("staged pieces taken over")
	}
}

// adopt takes over the pieces of the version that the server runs, so that other
// agents can have them.
func (l *Loader) adopt(ctx context.Context, want *target) error {
	l.mu.Lock()
	_, known := l.published[publishedVersion{want.model, want.wanted.Version}]
	l.mu.Unlock()
	if known {
		return nil
	}
	manifest, err := l.manifest(ctx, want)
	if err != nil {
		return err
	}
	l.readStaged(ctx, want, manifest)
	return nil
}

// order tells the server to take what is staged and waits until it has.
func (l *Loader) order(ctx context.Context, want *target, serving bool) error {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	err := l.options.Server.Start(callCtx, provider.StartOrder{Model: want.model, Version: want.wanted.Version})
	cancel()
	l.options.Metrics.orders.WithLabelValues(resultLabel(err)).Inc()
	l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(want.wanted.Version)).
		Bool("serving", serving).Err(err).Msg("server ordered to take weights")
	if err != nil {
		l.setSwapping(false)
		return fmt.Errorf("ordering: %w", err)
	}
	ordered := l.options.Clock.Now()
	for ctx.Err() == nil && l.options.Clock.Since(ordered) < swapTimeout {
		sleep(ctx, l.options.Clock, reportInterval/2)
		report, answers := l.serverReport()
		if !answers {
			break
		}
		if loaded(&report, want.model, want.engine.Layers) == want.wanted.Version {
			l.options.Log.Info().Str("model", string(want.model)).Uint64("version", uint64(want.wanted.Version)).
				Dur("taken_ms", l.options.Clock.Since(ordered)).Msg("weights live")
			l.setSwapping(false)
			return nil
		}
	}
	l.setSwapping(false)
	return fmt.Errorf("server has not taken version %d of %s", want.wanted.Version, want.model)
}

// resultLabel is how the result of a call stands in metrics.
func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

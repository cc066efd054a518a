package direct

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// entryFollower keeps an agent's facts in step with one entry box, and goes to
// another one when that falls silent.
type entryFollower struct {
	facts *Facts
	peers *daemon.Peers
	self  string
	seeds []string

	mu    sync.Mutex
	known []string
}

// startAgentFacts follows an entry box.
func (p *Process) startAgentFacts() error {
	if err := p.newFacts(); err != nil {
		return err
	}
	follower := &entryFollower{facts: p.facts, peers: p.peers, self: p.settings.Box, seeds: p.settings.Peers.Entries}
	p.facts.duties.Go(follower.run)
	return nil
}

// next returns the address to try: one that an entry box has told, or now and
// then one of the settings.
func (f *entryFollower) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := slices.Clone(f.known)
	for _, seed := range f.seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

func (f *entryFollower) run(ctx context.Context) {
	clock, log := f.facts.clock, f.facts.log
	for ctx.Err() == nil {
		entry := f.next()
		if entry == "" {
			sleep(ctx, clock, followRetry)
			continue
		}
		connected := false
		err := followStream(ctx, clock, func(ctx context.Context) (func() error, error) {
			conn, err := f.peers.Dial(ctx, member.Address(entry))
			if err != nil {
				return nil, err
			}
			stream, err := wire.NewDRPCFleetClient(conn).Facts(ctx, &wire.FactsRequest{Box: f.self, ServicesOnly: true})
			if err != nil {
				return nil, err
			}
			return func() error {
				batch, err := stream.Recv()
				if err != nil {
					return err
				}
				if !connected {
					connected = true
					log.Info().Str("dependency", "entry").Str("address", entry).Msg("dependency regained")
				}
				f.facts.ApplyItems(itemsFromWire(batch.Items), entry)
				f.facts.LearnAges(agesFromWire(batch.Ages), entry)
				if len(batch.Entries) > 0 {
					f.mu.Lock()
					f.known = batch.Entries
					f.mu.Unlock()
				}
				return nil
			}, nil
		})
		if connected && ctx.Err() == nil {
			log.Warn().Str("dependency", "entry").Str("address", entry).Err(err).Msg("dependency lost")
		}
		sleep(ctx, clock, followRetry)
	}
}

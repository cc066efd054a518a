package direct

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// entryFollower keeps an agent's facts in step with one entry box, and goes to
// another one when that falls silent.
type entryFollower struct {
	facts    *Facts
	suspects *Suspects
	peers    *daemon.Peers
	self     string
	region   string
	seeds    []string
	// known are entry boxes that one of them has told, of which one is followed. The agents
	// would all stay with the few of the settings otherwise.
	known []string
	// moved is set once one of the settings has been left for one that was told.
	moved bool
	// logged is when the log last named each entry box that could not be asked for others.
	logged map[string]time.Time
}

// moveAfter is after how long an agent leaves the entry box of the settings that it started
// with: hundreds of boxes that start at one moment know each other by then.
const moveAfter = 3 * time.Second

// startAgentFacts follows an entry box.
func (p *Process) startAgentFacts() error {
	if err := p.newFacts(); err != nil {
		return err
	}
	follower := &entryFollower{
		facts: p.facts, suspects: p.suspects, peers: p.peers, self: p.settings.Box, region: p.settings.Region, seeds: p.settings.Peers.Entries,
		logged: make(map[string]time.Time),
	}
	p.facts.duties.Go(follower.run)
	return nil
}

// next returns the address to follow, drawn from those that were told; ok is false if none
// was, or none is left.
func (f *entryFollower) next() (entry string, ok bool) {
	if len(f.known) == 0 {
		return "", false
	}
	at := rand.IntN(len(f.known))
	entry = f.known[at]
	f.known = slices.Delete(f.known, at, at+1)
	return entry, true
}

// ask asks the entry boxes of the settings, in a random order, for others.
func (f *entryFollower) ask(ctx context.Context) {
	for _, at := range rand.Perm(len(f.seeds)) {
		callCtx, cancel := clockwork.WithTimeout(ctx, f.facts.clock, askTimeout)
		entries, err := f.askOne(callCtx, f.seeds[at])
		cancel()
		if err != nil && ctx.Err() == nil {
			f.logNotAsked(f.seeds[at], err)
		}
		if err == nil && len(entries) > 0 {
			f.known = entries
			return
		}
	}
	// A seed that knows of none that is ready may still have facts.
	f.known = slices.Clone(f.seeds)
}

// askTimeout bounds asking an entry box for others: many round trips, and a small part of the
// time in which a change must reach the agents.
const askTimeout = 500 * time.Millisecond

// notAskedPause is how often at most the log names one entry box that can't be asked: while none
// answers, each is asked several times a second.
const notAskedPause = 10 * time.Second

// logNotAsked logs why an entry box could not be asked for others.
func (f *entryFollower) logNotAsked(seed string, err error) {
	now := f.facts.clock.Now()
	if last, ok := f.logged[seed]; ok && now.Sub(last) < notAskedPause {
		return
	}
	f.logged[seed] = now
	f.facts.log.Warn().Str("address", seed).Err(err).Msg("entry box not asked for others")
}

func (f *entryFollower) askOne(ctx context.Context, seed string) ([]string, error) {
	conn, err := f.peers.Dial(ctx, member.Address(seed))
	if err != nil {
		return nil, err
	}
	stream, err := wire.NewDRPCFleetClient(conn).Facts(ctx, &wire.FactsRequest{Box: f.self, Region: f.region, EntriesOnly: true})
	if err != nil {
		return nil, err
	}
	batch, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	return batch.Entries, nil
}

func (f *entryFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if entry, ok := f.next(); ok {
			f.follow(ctx, entry)
		} else {
			f.ask(ctx)
		}
		sleep(ctx, f.facts.clock, followRetry)
	}
}

// follow keeps step with one entry box until its stream ends.
func (f *entryFollower) follow(ctx context.Context, entry string) {
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	isMoving := !f.moved && slices.Contains(f.seeds, entry)
	if isMoving {
		// Many others started at the same moment, and the seed did not know of them yet.
		f.moved = true
		timer := f.facts.clock.AfterFunc(moveAfter, cancel)
		defer timer.Stop()
	}
	// How the stream ended is in the log, and of no other use.
	_, _ = followStream(followCtx, f.facts.clock, f.peers, f.facts.log, &peerStream[*wire.FactsBatch]{
		dependency: "entry", address: member.Address(entry),
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.FactsBatch, error), error) {
			stream, err := client.Facts(ctx, &wire.FactsRequest{Box: f.self, Region: f.region, ServicesOnly: true})
			if err != nil {
				return nil, err
			}
			return stream.Recv, nil
		},
		take: func(batch *wire.FactsBatch) { f.take(batch, entry, isMoving) },
	})
}

// take takes facts, and whom else they can be had of unless that is to be asked anew.
func (f *entryFollower) take(batch *wire.FactsBatch, entry string, isMoving bool) {
	// The ages first: a name without one counts as an old one.
	f.facts.LearnVersions(agesFromWire(batch.Ages), entry)
	f.facts.ApplyItems(itemsFromWire(batch.Items), entry)
	f.facts.LearnDepartures(departuresFromWire(batch.Departures), entry)
	f.suspects.Learn(evidenceFromWire(batch.Evidence, f.facts.clock.Now()), entry)
	if len(batch.Entries) > 0 && !isMoving {
		f.known = batch.Entries
	}
}

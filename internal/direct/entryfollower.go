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
	fleetState *FleetState
	suspects   *SuspectRequests
	peers      *daemon.PeerPool
	self       string
	region     string
	seeds      []string
	// candidates are entry boxes that one of them has told, of which one is followed. The agents
	// would all stay with the few of the settings otherwise.
	candidates []string
	// leftSeed is set once one of the settings has been left for one that was told.
	leftSeed bool
	// lastLogged is when the log last named each entry box that could not be asked for others.
	lastLogged map[string]time.Time
}

// seedFollowDuration is after how long an agent leaves the entry box of the settings that it started
// with: hundreds of boxes that start at one moment know each other by then.
const seedFollowDuration = 3 * time.Second

// startEntryFollower follows an entry box.
func (p *Process) startEntryFollower() error {
	if err := p.newFleetState(); err != nil {
		return err
	}
	follower := &entryFollower{
		fleetState: p.fleetState, suspects: p.suspects, peers: p.peers, self: p.settings.Box, region: p.settings.Region, seeds: p.settings.Peers.Entries,
		lastLogged: make(map[string]time.Time),
	}
	p.fleetState.tasks.Go(follower.run)
	return nil
}

// pickCandidate returns the address to follow, drawn from those that were told; ok is false if none
// was, or none is left.
func (f *entryFollower) pickCandidate() (entry string, ok bool) {
	if len(f.candidates) == 0 {
		return "", false
	}
	at := rand.IntN(len(f.candidates))
	entry = f.candidates[at]
	f.candidates = slices.Delete(f.candidates, at, at+1)
	return entry, true
}

// discover asks the entry boxes of the settings, in a random order, for others.
func (f *entryFollower) discover(ctx context.Context) {
	for _, at := range rand.Perm(len(f.seeds)) {
		callCtx, cancel := clockwork.WithTimeout(ctx, f.fleetState.clock, discoveryTimeout)
		entries, err := f.discoverFrom(callCtx, f.seeds[at])
		cancel()
		if err != nil && ctx.Err() == nil {
			f.logDiscoveryError(f.seeds[at], err)
		}
		if err == nil && len(entries) > 0 {
			f.candidates = entries
			return
		}
	}
	// A seed that knows of none that is ready may still have facts.
	f.candidates = slices.Clone(f.seeds)
}

// discoveryTimeout bounds asking an entry box for others: many round trips, and a small part of the
// time in which a change must reach the agents.
const discoveryTimeout = 500 * time.Millisecond

// discoveryLogInterval is how often at most the log names one entry box that can't be asked: while none
// answers, each is asked several times a second.
const discoveryLogInterval = 10 * time.Second

// logDiscoveryError logs why an entry box could not be asked for others.
func (f *entryFollower) logDiscoveryError(seed string, err error) {
	now := f.fleetState.clock.Now()
	if last, ok := f.lastLogged[seed]; ok && now.Sub(last) < discoveryLogInterval {
		return
	}
	f.lastLogged[seed] = now
	f.fleetState.log.Warn().Str("address", seed).Err(err).Msg("entry box not asked for others")
}

func (f *entryFollower) discoverFrom(ctx context.Context, seed string) ([]string, error) {
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
		if entry, ok := f.pickCandidate(); ok {
			f.follow(ctx, entry)
		} else {
			f.discover(ctx)
		}
		sleep(ctx, f.fleetState.clock, followRetryDelay)
	}
}

// follow keeps step with one entry box until its stream ends.
func (f *entryFollower) follow(ctx context.Context, entry string) {
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	isMoving := !f.leftSeed && slices.Contains(f.seeds, entry)
	if isMoving {
		// Many others started at the same moment, and the seed did not know of them yet.
		f.leftSeed = true
		timer := f.fleetState.clock.AfterFunc(seedFollowDuration, cancel)
		defer timer.Stop()
	}
	// How the stream ended is in the log, and of no other use.
	_, _ = followStream(followCtx, f.fleetState.clock, f.peers, f.fleetState.log, &peerStream[*wire.FactsBatch]{
		dependency: "entry", address: member.Address(entry),
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.FactsBatch, error), error) {
			stream, err := client.Facts(ctx, &wire.FactsRequest{Box: f.self, Region: f.region, ServicesOnly: true})
			if err != nil {
				return nil, err
			}
			return stream.Recv, nil
		},
		onMessage: func(batch *wire.FactsBatch) { f.applyBatch(batch, entry, isMoving) },
	})
}

// applyBatch takes facts, and whom else they can be had of unless that is to be asked anew.
func (f *entryFollower) applyBatch(batch *wire.FactsBatch, entry string, isMoving bool) {
	// The ages first: a name without one counts as an old one.
	f.fleetState.MergeVersionAges(agesFromWire(batch.Ages), entry)
	f.fleetState.ApplyItems(itemsFromWire(batch.Items), entry)
	f.fleetState.MergeDepartures(departuresFromWire(batch.Departures), entry)
	f.suspects.MergeEvidence(evidenceFromWire(batch.Evidence, f.fleetState.clock.Now()), entry)
	if len(batch.Entries) > 0 && !isMoving {
		f.candidates = batch.Entries
	}
}

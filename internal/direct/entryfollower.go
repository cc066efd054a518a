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

// entryFollower keeps an agent's facts up to date from one entry box. It switches to another one when the stream
// ends or becomes silent.
type entryFollower struct {
	fleetState *FleetState
	suspects   *SuspectRequests
	peers      *daemon.PeerPool
	self       string
	region     string
	seeds      []string
	// candidates are addresses of entry boxes that an entry box reported; the agent follows one of them. Otherwise
	// all agents would stay with the few entry boxes in the settings.
	candidates []string
	// leftSeed is set when the agent first follows a seed, an entry box from the settings, which it leaves
	// after seedFollowDuration.
	leftSeed bool
	// lastLogged is when a failed discovery from each seed was last logged.
	lastLogged map[string]time.Time
}

// seedFollowDuration is how long an agent follows the seed that it started with. By then, hundreds of boxes that
// start at the same moment know each other.
const seedFollowDuration = 3 * time.Second

// startEntryFollower starts to follow an entry box.
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

// pickCandidate removes a random candidate and returns its address. ok is false if there is no candidate.
func (f *entryFollower) pickCandidate() (entry string, ok bool) {
	if len(f.candidates) == 0 {
		return "", false
	}
	i := rand.IntN(len(f.candidates))
	entry = f.candidates[i]
	f.candidates = slices.Delete(f.candidates, i, i+1)
	return entry, true
}

// discover queries the seeds in a random order for other entry boxes.
func (f *entryFollower) discover(ctx context.Context) {
	for _, i := range rand.Perm(len(f.seeds)) {
		callCtx, cancel := clockwork.WithTimeout(ctx, f.fleetState.clock, discoveryTimeout)
		entries, err := f.discoverFrom(callCtx, f.seeds[i])
		cancel()
		if err != nil && ctx.Err() == nil {
			f.logDiscoveryError(f.seeds[i], err)
		}
		if err == nil && len(entries) > 0 {
			f.candidates = entries
			return
		}
	}
	// A seed that knows no ready entry box may still have facts.
	f.candidates = slices.Clone(f.seeds)
}

// discoveryTimeout limits one query for other entry boxes. It allows many round trips, and is a small part of the
// time within which a change must reach the agents.
const discoveryTimeout = 500 * time.Millisecond

// discoveryLogInterval is the minimum time between two log lines about failed discovery from the same seed. While
// no seed responds, each is queried several times a second.
const discoveryLogInterval = 10 * time.Second

// logDiscoveryError logs why discovery from a seed failed.
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

// follow merges the messages of one entry box until its stream ends.
func (f *entryFollower) follow(ctx context.Context, entry string) {
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	isMoving := !f.leftSeed && slices.Contains(f.seeds, entry)
	if isMoving {
		// Many agents start at the same moment, when the seed does not know the other entry boxes yet.
		f.leftSeed = true
		timer := f.fleetState.clock.AfterFunc(seedFollowDuration, cancel)
		defer timer.Stop()
	}
	// followStream logs how the stream ended.
	_, _ = followStream(followCtx, f.fleetState.clock, f.peers, f.fleetState.log, &peerStream[*wire.FactsBatch]{
		dependency: "entry", address: member.Address(entry),
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.FactsBatch, error), error) {
			receiver := f.fleetState.mirror.Receiver()
			stream, err := client.Facts(ctx, &wire.FactsRequest{
				Box: f.self, Region: f.region, ServicesOnly: true, Complete: receiver.Complete, Orders: receiver.Orders, Held: receiver.Held,
			})
			if err != nil {
				return nil, err
			}
			return stream.Recv, nil
		},
		onMessage: func(batch *wire.FactsBatch) {
			if err := f.applyBatch(batch, entry, isMoving); err != nil {
				f.fleetState.log.Warn().Str("address", entry).Err(err).Msg("facts not merged; reading them again")
				cancel()
			}
		},
	})
}

// applyBatch merges a batch of facts. It also keeps the other entry boxes in the batch as candidates, unless the
// agent leaves this one soon and will run discovery again. For the error see FleetState.ApplyTransfer.
func (f *entryFollower) applyBatch(batch *wire.FactsBatch, entry string, isMoving bool) error {
	// Ages are merged before facts, because a version without an age gets the assumed age.
	f.fleetState.MergeVersionAges(agesFromWire(batch.Ages), entry)
	err := f.fleetState.ApplyTransfer(transferFromWire(batch), entry)
	f.fleetState.MergeDepartures(departuresFromWire(batch.Departures), entry)
	f.fleetState.fleetSize.Note(fleetSize{member.Incarnation(batch.FleetSince), int(batch.FleetBoxes)}, f.fleetState.clock.Now())
	f.suspects.MergeEvidence(evidenceFromWire(batch.Evidence, f.fleetState.clock.Now()), entry)
	if len(batch.Entries) > 0 && !isMoving {
		f.candidates = batch.Entries
	}
	return err
}

package direct

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	// followRetryDelay is the wait before a box that could not be followed is tried
	// again. After a loss of power everything waits for it; an attempt costs little, as a
	// port that nothing listens on is told at once.
	followRetryDelay = 50 * time.Millisecond
	// silentAfter is for how long a box can't be reached before it is marked silent: connections
	// that are reset while the box lives are opened again well within it.
	silentAfter = 200 * time.Millisecond
	// remarkInterval is the same for a box that others hear, or that has answered the mark.
	remarkInterval = 2 * time.Second
	// replanInterval is how often at most the fleet is divided anew: when hundreds of boxes start,
	// records come by the dozen.
	replanInterval = 100 * time.Millisecond
	// expireInterval is how often is looked for boxes that have been silent for long.
	expireInterval = time.Second
)

// EntryBoxes follows other entry boxes: all of the own cell, for what they have in flight, some
// neighbours in the whole fleet, for what they know, and a few of other cells, for whom they have
// sent away. Where the fleet is one cell that is all of them.
type EntryBoxes struct {
	self       member.Record
	regionOf   func(member.FailureDomain) member.Region
	membership *Membership
	fleetState *FleetState
	suspects   *SuspectRequests
	peers      *daemon.PeerPool
	clock      clockwork.Clock
	log        zerolog.Logger
	tasks      *kernel.TaskGroup
	// onReport is called with what another box of the cell has in flight and is asked for; see Front.
	onReport func(box member.BoxID, load route.Load, demands route.Demands, whole bool, now time.Time)
	// onRejected is called with the callers of whom another box tells on a way.
	onRejected func(callers []route.RejectedCaller, from route.RelayDimension, now time.Time)
	// pull reads what another entry box has come to know since the last time.
	pull func(ctx context.Context, from member.Address) error
	// startFollow begins to follow a box.
	startFollow func(address string, want subscription) context.CancelFunc

	mu sync.Mutex
	// seeds are the addresses of the settings.
	seeds []string
	// boxes are those that are heard directly.
	boxes map[string]EntryBox
	// following is whom this box follows.
	following map[string]followed
	// cursors is how far the facts of each box were read.
	cursors map[member.Address]state.Cursor
	readers *readerSet
	// plan is how the fleet is divided; nil until that is known. Replanned is closed when it
	// changes.
	plan      *cellPlan
	planInput planInput
	replanned chan struct{}
}

// subscription is what this box wants to hear of another one.
type subscription struct {
	// load is set for boxes of the own cell, members for those that tell of all others.
	load, members bool
	// relay is set for boxes of other cells whose callers this one tells its own cell of.
	relay route.RelayDimension
}

// followed is a box that is being followed.
type followed struct {
	subscription
	cancel context.CancelFunc
}

// startPeers follows the other entry boxes.
func (p *Process) startPeers() error {
	times := readIntervalsFor(time.Duration(p.settings.Direct.ChangeBound))
	e := &EntryBoxes{
		self: p.membership.own, regionOf: p.regionOf, membership: p.membership, fleetState: p.fleetState, suspects: p.suspects, peers: p.peers, clock: p.options.Clock, log: p.options.Log,
		tasks: kernel.NewTaskGroup(), seeds: p.settings.Peers.Entries, boxes: make(map[string]EntryBox),
		following: make(map[string]followed), cursors: make(map[member.Address]state.Cursor),
		readers: newReaderSet(p.box(), p.region(), times.readerTimeout()), replanned: make(chan struct{}), onReport: p.callerServer.MergePeerReport, onRejected: p.callerServer.MergeRejectedCallers,
	}
	e.pull, e.startFollow = e.pullFacts, e.startFollowing
	p.entries = e
	p.status.readers = e.reportedReaders
	p.callerServer.entries.Store(e)
	e.tasks.Go(e.followAll)
	e.tasks.Go(e.repair)
	p.fleetState.ReadStore(p.options.Platform.Facts, times, e.isReader, e.probeInterval)
	return p.services.Register(e)
}

// String returns the service's name.
func (e *EntryBoxes) String() string { return "entry-boxes" }

// Stop ends following.
func (e *EntryBoxes) Stop(ctx context.Context) error { return e.tasks.Stop(ctx) }

// AddSeeds notes addresses of settings that have changed.
func (e *EntryBoxes) AddSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// followAll follows whom it has to, and divides the fleet anew when it changes.
func (e *EntryBoxes) followAll(ctx context.Context) {
	for ctx.Err() == nil {
		members, facts := e.membership.Changed(), e.fleetState.Changed()
		e.replan()
		e.setFollowing(e.subscriptions())
		sleep(ctx, e.clock, replanInterval)
		select {
		case <-ctx.Done():
		case <-members:
		case <-facts:
		case <-e.clock.After(expireInterval):
			e.membership.Expire()
		}
	}
}

// subscriptions returns whom to follow, by address.
func (e *EntryBoxes) subscriptions() map[string]subscription {
	records, plan := e.membership.All(), e.currentPlan()
	wanted := make(map[string]subscription)
	heardOf := make(map[string]bool, len(records))
	up := make([]member.Record, 0, len(records))
	for _, record := range records {
		if plan.cellPeers[record.Box] {
			wanted[string(record.Peers)] = subscription{load: true}
		}
		if record.Status != member.StatusSilent {
			heardOf[string(record.Peers)] = true
			up = append(up, record)
		}
	}
	tellers := make([]string, 0, member.NeighboursPerBox)
	for _, record := range member.Neighbours(e.self, up) {
		tellers = append(tellers, string(record.Peers))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A seed that nobody is known by is how this box finds the others, at its start or after
	// two parts of the fleet have forgotten each other.
	for _, seed := range e.seeds {
		if !heardOf[seed] {
			tellers = append(tellers, seed)
		}
	}
	for _, teller := range tellers {
		wanted[teller] = subscription{load: wanted[teller].load, members: true}
	}
	for address, relay := range plan.relaySources(e.self.Box, up) {
		want := wanted[string(address)]
		want.relay = relay
		wanted[string(address)] = want
	}
	delete(wanted, string(e.self.Peers))
	return wanted
}

// setFollowing follows boxes, and no others any more.
func (e *EntryBoxes) setFollowing(wanted map[string]subscription) {
	// What is known of a box goes before it is followed anew: the first that it tells is whole,
	// and nothing is of use without that.
	for _, address := range e.stopFollowing(wanted) {
		e.dropBox(address)
	}
	for address, want := range wanted {
		if !e.isFollowing(address) {
			cancel := e.startFollow(address, want)
			e.mu.Lock()
			e.following[address] = followed{want, cancel}
			e.mu.Unlock()
		}
	}
}

func (e *EntryBoxes) isFollowing(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, follows := e.following[address]
	return follows
}

// stopFollowing ends following those who are not wanted, or not for the same, and returns them.
func (e *EntryBoxes) stopFollowing(wanted map[string]subscription) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ended []string
	for address, f := range e.following {
		if wanted[address] != f.subscription {
			f.cancel()
			delete(e.following, address)
			ended = append(ended, address)
		}
	}
	return ended
}

// startFollowing is the begin of a running process.
func (e *EntryBoxes) startFollowing(address string, want subscription) context.CancelFunc {
	ctx, cancel := context.WithCancel(e.tasks.Context())
	e.tasks.Go(func(context.Context) { e.follow(ctx, address, want) })
	return cancel
}

// follow keeps what one entry box tells.
func (e *EntryBoxes) follow(ctx context.Context, entry string, want subscription) {
	lost := e.clock.Now()
	for {
		heard, err := e.followOnce(ctx, entry, want)
		if ctx.Err() != nil {
			return
		}
		now := e.clock.Now()
		if heard {
			lost = now
			e.dropBox(entry)
		}
		if now.Sub(lost) >= silentAfter || errors.Is(err, errSilent) {
			e.markSilent(entry)
			lost = now.Add(remarkInterval)
		}
		sleep(ctx, e.clock, followRetryDelay)
	}
}

// followOnce follows a box until its stream ends, and tells whether it was heard.
func (e *EntryBoxes) followOnce(ctx context.Context, entry string, want subscription) (heard bool, err error) {
	return followStream(ctx, e.clock, e.peers, e.log, &peerStream[*wire.EntryStatus]{
		dependency: "entry", address: member.Address(entry),
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.EntryStatus, error), error) {
			stream, err := client.Entry(ctx, e.followRequest(want))
			if err != nil {
				return nil, err
			}
			return stream.Recv, nil
		},
		onMessage: func(status *wire.EntryStatus) { e.handleStatus(entry, want, status) },
		regainedFields: func(line *zerolog.Event, first *wire.EntryStatus) {
			line.Str("box", first.Box).Bool("load", want.load).Bool("members", want.members).Int("relay", int(want.relay))
		},
	})
}

// followRequest is how this box asks another one for its status.
func (e *EntryBoxes) followRequest(want subscription) *wire.FollowRequest {
	request := &wire.FollowRequest{
		Box: string(e.self.Box), Peers: string(e.self.Peers), Region: string(e.self.Region), Load: want.load, Members: want.members,
		Relay: uint32(want.relay),
	}
	own, _ := e.membership.Record(e.self.Box)
	item, err := own.Item()
	if err != nil {
		e.log.Error().Err(err).Msg("own record not told")
		return request
	}
	request.Record = itemsToWire([]state.Item{item})[0]
	return request
}

// markSilent marks a box silent that can't be reached, unless this box is likely to be the one that
// is cut off: then it hears less than half of those that it follows.
func (e *EntryBoxes) markSilent(entry string) {
	for _, record := range e.membership.All() {
		if string(record.Peers) == entry && e.receivesFromMajority() {
			e.membership.MarkSilent(record.Box)
		}
	}
}

func (e *EntryBoxes) receivesFromMajority() bool {
	heard := len(e.Boxes())
	e.mu.Lock()
	defer e.mu.Unlock()
	return 2*heard >= len(e.following)
}

// handleStatus takes a message of another box. What comes before its first whole one is of no
// use.
func (e *EntryBoxes) handleStatus(entry string, want subscription, status *wire.EntryStatus) {
	now := e.clock.Now()
	e.membership.Merge(itemsFromWire(status.Members), entry)
	e.fleetState.MergeDepartures(departuresFromWire(status.Departures), entry)
	e.fleetState.MergeRateLimits(status.RateLimits, entry)
	e.suspects.MergeEvidence(evidenceFromWire(status.Evidence, now), entry)
	box, before, ok := e.updateBox(entry, status, now)
	if !ok {
		return
	}
	if before.Ready != box.Ready || before.Box == "" {
		e.log.Info().Str("box", string(box.Box)).Bool("ready", box.Ready).Bool("leaving", status.Leaving).Msg("entry box heard")
	}
	if want.load {
		e.onReport(box.Box, loadFromWire(status.InFlight), demandsFromWire(status.Demands), !status.Partial, now)
	}
	if len(status.SentAway) > 0 {
		e.onRejected(rejectedFromWire(status.SentAway, now), want.relay, now)
	}
	if !status.Partial {
		e.fleetState.MergeVersionAges(agesFromWire(status.Ages), status.Box)
	}
}

// updateBox keeps what a message tells of a box itself; ok is false if that is not known
// whole yet.
func (e *EntryBoxes) updateBox(entry string, status *wire.EntryStatus, now time.Time) (box, before EntryBox, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, known := e.boxes[entry]
	switch {
	case !status.Partial:
		box = entryBoxFromWire(status, now)
	case known:
		box = before.withUpdate(status, now)
	default:
		return EntryBox{}, EntryBox{}, false
	}
	e.boxes[entry] = box
	for _, reader := range status.Readers {
		e.readers.update(member.BoxID(reader.Box), now.Add(-time.Duration(reader.AgeMilliseconds)*time.Millisecond))
	}
	return box, before, true
}

func (e *EntryBoxes) dropBox(entry string) {
	e.mu.Lock()
	box, known := e.boxes[entry]
	delete(e.boxes, entry)
	e.mu.Unlock()
	if known {
		e.onReport(box.Box, nil, nil, true, e.clock.Now())
	}
}

// Boxes returns the entry boxes that were heard lately, without this one.
func (e *EntryBoxes) Boxes() []EntryBox {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	boxes := make([]EntryBox, 0, len(e.boxes))
	for _, box := range e.boxes {
		if now.Sub(box.LastSeen) < statusTimeout {
			boxes = append(boxes, box)
		}
	}
	slices.SortFunc(boxes, func(a, b EntryBox) int { return strings.Compare(string(a.Box), string(b.Box)) })
	return boxes
}

// Ready returns the entry boxes that take requests, without this one: as they tell themselves
// where they are followed, else as others tell of them.
func (e *EntryBoxes) Ready() []member.Record {
	records := e.membership.All()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	ready := make([]member.Record, 0, len(records))
	for _, record := range records {
		isReady := record.Status == member.StatusUp
		if _, follows := e.following[string(record.Peers)]; follows {
			box, heard := e.boxes[string(record.Peers)]
			isReady = heard && box.Ready && now.Sub(box.LastSeen) < statusTimeout
		}
		if isReady && record.Box != e.self.Box && record.Callers != "" {
			ready = append(ready, record)
		}
	}
	return ready
}

// Up is how many entry boxes there are.
func (e *EntryBoxes) Up() int { return e.membership.UpCount() }

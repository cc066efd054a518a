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
	// followRetryDelay is the delay before a failed attempt to follow a box is repeated. The restart of a whole fleet
	// after a power failure waits for this delay; an attempt costs little, because a connection to a port that nobody
	// listens on is refused at once.
	followRetryDelay = 50 * time.Millisecond
	// silentAfter is how long a box that has sent a status must be unreachable before it is marked silent. A
	// connection to a live box that was reset is opened again well within this time.
	silentAfter = 200 * time.Millisecond
	// unreachedAfter is how long a box that has not sent a status on this subscription must be unreachable before it
	// is marked silent. When hundreds of boxes start, connections to a live one wait in its queue for longer than
	// silentAfter. A box that dies is marked earlier by those that already follow it.
	unreachedAfter = 2 * statusTimeout
	// remarkInterval is the additional delay before the same box is marked silent again, in case other boxes still
	// reach it or it has refuted the mark.
	remarkInterval = 2 * time.Second
	// replanInterval is the minimum time between two updates of the cell plan: when hundreds of boxes start, their
	// records arrive by the dozen.
	replanInterval = 100 * time.Millisecond
	// expireInterval is how often expired boxes are removed while nothing else changes.
	expireInterval = time.Second
)

// EntryBoxes follows the status streams of other entry boxes: those of all boxes of the own cell for their load
// and demand, those of some neighbours across the fleet for membership records, and those of a few boxes of other
// cells for the callers that they rejected. In a fleet with a single cell, it follows every box.
type EntryBoxes struct {
	self     member.Record
	regionOf func(member.FailureDomain) member.Region
	// domains are the failure domains of the settings.
	domains    []member.FailureDomain
	membership *Membership
	fleetState *FleetState
	suspects   *SuspectRequests
	peers      *daemon.PeerPool
	clock      clockwork.Clock
	log        zerolog.Logger
	tasks      *kernel.TaskGroup
	// onReport is called with the load and demand of another box of the cell; see CallerServer.MergePeerReport.
	onReport func(box member.BoxID, load route.Load, demands route.Demands, full bool, now time.Time)
	// onRejected is called with callers that another box reports as rejected, and the relay dimension of its stream.
	onRejected func(callers []route.RejectedCaller, from route.RelayDimension, now time.Time)
	// pull reads the facts that have changed at another entry box since the last pull from it.
	pull func(ctx context.Context, from member.Address) error
	// startFollow starts to follow a box.
	startFollow func(address string, want subscription) context.CancelFunc

	mu sync.Mutex
	// seeds are the addresses of entry boxes from the settings.
	seeds []string
	// boxes holds the last status of each followed box, by peer address.
	boxes map[string]EntryBox
	// requestedAt is when the current status stream of each box was requested, by peer address.
	requestedAt map[string]time.Time
	// following holds the followed boxes, by peer address.
	following map[string]followed
	// cursors holds the position up to which the facts of each box have been read.
	cursors map[member.Address]state.Cursor
	// progress is what has arrived in the pulls in progress.
	progress pullProgress
	readers  *readerSet
	// plan is the current division of the fleet into cells, nil before the first one. replanned is closed when the
	// plan changes.
	plan      *cellPlan
	planInput planInput
	// growth and isPostponed are those of the plan; see planGrowth.
	growth      planGrowth
	isPostponed bool
	replanned   chan struct{}
}

// subscription selects the contents of the status stream of one followed box.
type subscription struct {
	// load selects the load and demand of a box of the own cell, members the records of all entry boxes.
	load, members bool
	// relay is set for a box of another cell whose rejected callers this box relays to its own cell.
	relay route.RelayDimension
}

// followed is the subscription to one box, and the function that cancels it.
type followed struct {
	subscription
	cancel context.CancelFunc
}

// startPeers starts to follow the other entry boxes.
func (p *Process) startPeers() error {
	times := readIntervalsFor(time.Duration(p.settings.Direct.ChangeBound))
	e := &EntryBoxes{
		self: p.membership.own, regionOf: p.regionOf, domains: p.domains(),
		membership: p.membership, fleetState: p.fleetState, suspects: p.suspects, peers: p.peers, clock: p.options.Clock, log: p.options.Log,
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

// Stop ends all subscriptions.
func (e *EntryBoxes) Stop(ctx context.Context) error { return e.tasks.Stop(ctx) }

// AddSeeds replaces the seed addresses by those of the changed settings.
func (e *EntryBoxes) AddSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// followAll updates the cell plan and the subscriptions whenever the membership or the fleet state changes, and
// removes expired boxes, until the context ends.
func (e *EntryBoxes) followAll(ctx context.Context) {
	var applied subscriptionInput
	for ctx.Err() == nil {
		membershipChanged, fleetStateChanged := e.membership.Changed(), e.fleetState.Changed()
		postponed := e.replan()
		// Most changes of the fleet state are those of servers' entries, which subscriptions do not depend on.
		if input := e.subscriptionInput(); !input.isSame(&applied) {
			applied = input
			e.setFollowing(e.subscriptions())
		}
		sleep(ctx, e.clock, replanInterval)
		if postponed {
			continue
		}
		select {
		case <-ctx.Done():
		case <-membershipChanged:
		case <-fleetStateChanged:
		case <-e.clock.After(expireInterval):
			e.membership.Expire()
		}
	}
}

// subscriptionInput is what the required subscriptions depend on.
type subscriptionInput struct {
	records []member.Record
	plan    *cellPlan
	seeds   []string
}

func (e *EntryBoxes) subscriptionInput() subscriptionInput {
	input := subscriptionInput{records: e.membership.All(), plan: e.currentPlan()}
	e.mu.Lock()
	defer e.mu.Unlock()
	input.seeds = e.seeds
	return input
}

// isSame reports whether two inputs are the same values. Each change replaces the slice or the plan.
func (i *subscriptionInput) isSame(other *subscriptionInput) bool {
	return i.plan == other.plan && isSameSlice(i.records, other.records) && isSameSlice(i.seeds, other.seeds)
}

// subscriptions returns the required subscriptions, by peer address.
func (e *EntryBoxes) subscriptions() map[string]subscription {
	records, plan := e.membership.All(), e.currentPlan()
	desired := make(map[string]subscription)
	known := make(map[string]bool, len(records))
	up := make([]member.Record, 0, len(records))
	for _, record := range records {
		if plan.cellPeers[record.Box] {
			desired[string(record.Peers)] = subscription{load: true}
		}
		if record.Status != member.StatusSilent {
			known[string(record.Peers)] = true
			up = append(up, record)
		}
	}
	sources := make([]string, 0, member.NeighboursPerBox)
	for _, record := range member.Neighbours(e.self, up) {
		sources = append(sources, string(record.Peers))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A seed address without a known box is how this box finds the others, at its start or after two parts of the
	// fleet have removed each other from their membership.
	for _, seed := range e.seeds {
		if !known[seed] {
			sources = append(sources, seed)
		}
	}
	for _, source := range sources {
		desired[source] = subscription{load: desired[source].load, members: true}
	}
	for address, relay := range plan.relaySources(e.self.Box, up) {
		want := desired[string(address)]
		want.relay = relay
		desired[string(address)] = want
	}
	delete(desired, string(e.self.Peers))
	return desired
}

// setFollowing starts the missing subscriptions and ends all that are not desired.
func (e *EntryBoxes) setFollowing(desired map[string]subscription) {
	// The status of a box is dropped before the box is followed again: a new stream starts with a full status, and
	// partial ones are useless without it.
	for _, address := range e.stopFollowing(desired) {
		e.dropBox(address)
	}
	for address, want := range desired {
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
	_, ok := e.following[address]
	return ok
}

// stopFollowing cancels the subscriptions that are not desired or have changed, and returns their addresses.
func (e *EntryBoxes) stopFollowing(desired map[string]subscription) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var stopped []string
	for address, current := range e.following {
		if desired[address] != current.subscription {
			current.cancel()
			delete(e.following, address)
			stopped = append(stopped, address)
		}
	}
	return stopped
}

// startFollowing starts a task that follows a box, and returns the function that cancels it. It is
// startFollow in a running process; tests replace it.
func (e *EntryBoxes) startFollowing(address string, want subscription) context.CancelFunc {
	ctx, cancel := context.WithCancel(e.tasks.Context())
	e.tasks.Go(func(context.Context) { e.follow(ctx, address, want) })
	return cancel
}

// follow follows one entry box until the context ends, and marks it silent while it is unreachable.
func (e *EntryBoxes) follow(ctx context.Context, entry string, want subscription) {
	unreachableSince, markAfter := e.clock.Now(), unreachedAfter
	for {
		received, err := e.followOnce(ctx, entry, want)
		if ctx.Err() != nil {
			return
		}
		now := e.clock.Now()
		if received {
			unreachableSince, markAfter = now, silentAfter
			e.dropBox(entry)
		}
		if now.Sub(unreachableSince) >= markAfter || received && errors.Is(err, errSilent) {
			e.markSilent(entry)
			unreachableSince = now.Add(remarkInterval)
		}
		sleep(ctx, e.clock, followRetryDelay)
	}
}

// followOnce follows a box until its stream ends, and reports whether any message was received.
func (e *EntryBoxes) followOnce(ctx context.Context, entry string, want subscription) (received bool, err error) {
	return followStream(ctx, e.clock, e.peers, e.log, &peerStream[*wire.EntryStatus]{
		dependency: "entry", address: member.Address(entry),
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.EntryStatus, error), error) {
			e.noteRequested(entry)
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

// followRequest returns the request for the status stream of another box. It includes the record of this box, so
// that the other one knows it.
func (e *EntryBoxes) followRequest(want subscription) *wire.FollowRequest {
	request := &wire.FollowRequest{
		Box: string(e.self.Box), Peers: string(e.self.Peers), Region: string(e.self.Region), Load: want.load, Members: want.members,
		Relay: uint32(want.relay),
	}
	own, _ := e.membership.Record(e.self.Box)
	item, err := own.Item()
	if err != nil {
		e.log.Error().Err(err).Msg("encoding the own record failed; following without it")
		return request
	}
	request.Record = itemsToWire([]state.Item{item})[0]
	if want.members {
		request.RecordDigests = e.membership.recordDigests()
	}
	return request
}

// markSilent marks an unreachable box silent. It does not if this box receives from less than half of the boxes that it
// follows, because this box is then probably the disconnected one.
func (e *EntryBoxes) markSilent(entry string) {
	for _, record := range e.membership.All() {
		if string(record.Peers) == entry && e.receivesFromMajority() {
			e.membership.MarkSilent(record.Box)
		}
	}
}

// receivesFromMajority reports whether at least half of the followed boxes have sent a status within statusTimeout.
func (e *EntryBoxes) receivesFromMajority() bool {
	received := len(e.Boxes())
	e.mu.Lock()
	defer e.mu.Unlock()
	return 2*received >= len(e.following)
}

// handleStatus applies a status message of another box. The box's own status, load and demand are ignored until
// the first full message.
func (e *EntryBoxes) handleStatus(entry string, want subscription, status *wire.EntryStatus) {
	now := e.clock.Now()
	e.membership.Merge(itemsFromWire(status.Members), entry)
	e.membership.MergeRetired(status.Retired)
	e.fleetState.MergeDepartures(departuresFromWire(status.Departures), entry)
	e.fleetState.MergeRateLimits(status.RateLimits, entry)
	e.suspects.MergeEvidence(evidenceFromWire(status.Evidence, now), entry)
	if status.StoreOutage {
		e.fleetState.noteReportedOutage()
	}
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

// updateBox applies a status message to the box's entry and returns the entry after and before it. ok is false if
// the message is partial and no full one has been received.
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
	sentAt := box.noteSent(status, &before)
	box.confirms = before.confirms || status.Confirmation != nil
	e.boxes[entry] = box
	var responses []time.Time
	for _, reader := range status.Readers {
		respondedAt := now.Add(-time.Duration(reader.AgeMilliseconds) * time.Millisecond)
		e.readers.update(member.BoxID(reader.Box), respondedAt)
		if e.isFirstHand(member.BoxID(reader.Box), box.Box, now) {
			responses = append(responses, respondedAt.Add(-now.Sub(sentAt)))
		}
	}
	e.fleetState.noteReport(box.Watermarks.Newest, responses)
	if status.Confirmation.GetReader() != 0 {
		e.fleetState.noteConfirmation(confirmationFromWire(status.Confirmation, e.sentAtLeast(entry, status, &before, sentAt)))
	} else if !box.confirms {
		e.fleetState.noteReportWithoutConfirmation(box.Watermarks, responses)
	}
	return box, before, true
}

// sentAtLeast returns the time at which a message was sent, or an earlier time if it is the first one of its stream with a
// time: it may have been under way for long, and no message before it shows that. The lock must be held.
func (e *EntryBoxes) sentAtLeast(entry string, status *wire.EntryStatus, before *EntryBox, sentAt time.Time) time.Time {
	requestedAt := e.requestedAt[entry]
	if requestedAt.IsZero() || status.SentMilliseconds == nil || !before.sentBase.IsZero() {
		return sentAt
	}
	return requestedAt.Add(time.Duration(*status.SentMilliseconds) * time.Millisecond)
}

// noteRequested records that the status stream of a box is requested now.
func (e *EntryBoxes) noteRequested(entry string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requestedAt == nil {
		e.requestedAt = make(map[string]time.Time)
	}
	e.requestedAt[entry] = e.clock.Now()
}

// isFirstHand reports whether a report of the store's last response to a reader counts as evidence of when that was. Ages
// do not include the time for which a report is under way, so each relay makes a response seem later: a reader that this
// box follows counts by its own reports alone. The lock must be held.
func (e *EntryBoxes) isFirstHand(reader, from member.BoxID, now time.Time) bool {
	if reader == from {
		return true
	}
	if reader == e.self.Box {
		return false
	}
	for _, box := range e.boxes {
		if box.Box == reader && now.Sub(box.LastSeen) < statusTimeout {
			return false
		}
	}
	return true
}

// dropBox removes the status, load and demand of a box.
func (e *EntryBoxes) dropBox(entry string) {
	e.mu.Lock()
	box, known := e.boxes[entry]
	delete(e.boxes, entry)
	delete(e.requestedAt, entry)
	e.mu.Unlock()
	if known {
		e.onReport(box.Box, nil, nil, true, e.clock.Now())
	}
}

// Boxes returns the other entry boxes that have sent a status within statusTimeout, sorted by name.
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

// Ready returns the other entry boxes that accept requests. The status stream decides for a followed box, the
// membership record for any other.
func (e *EntryBoxes) Ready() []member.Record {
	records := e.membership.All()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	ready := make([]member.Record, 0, len(records))
	for _, record := range records {
		isReady := record.Status == member.StatusUp
		if _, isFollowed := e.following[string(record.Peers)]; isFollowed {
			box, known := e.boxes[string(record.Peers)]
			isReady = known && box.Ready && now.Sub(box.LastSeen) < statusTimeout
		}
		if isReady && record.Box != e.self.Box && record.Callers != "" {
			ready = append(ready, record)
		}
	}
	return ready
}

// Up returns the number of entry boxes that are not silent, including this one.
func (e *EntryBoxes) Up() int { return e.membership.UpCount() }

package direct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	// statusInterval is how often an entry box sends changes of its load to its followers. A request occupies a
	// slot for about one second.
	statusInterval = 50 * time.Millisecond
	// maxRemoteMessagesPerSecond bounds the status messages that a box sends per second to all followers of its
	// load in other regions together, because they cross narrow links. With up to twelve such followers, each one
	// receives messages as often as local followers do.
	maxRemoteMessagesPerSecond = 240
	// statusHeartbeat is how often an entry box sends a status message if nothing has changed.
	statusHeartbeat = 400 * time.Millisecond
	// statusTimeout is the time without a status message after which a process counts as unreachable.
	statusTimeout = 1500 * time.Millisecond
	// maxBatchItems bounds the number of items in one batch.
	maxBatchItems = 256
)

// StatusServer streams the status and the facts of an entry box to other processes. It implements the drpc service
// Fleet for entry boxes.
type StatusServer struct {
	wire.DRPCFleetUnimplementedServer

	clock      clockwork.Clock
	fleetState *FleetState
	membership *Membership
	tasks      *kernel.TaskGroup
	// load returns the requests in flight at backend servers, demands the demand for each service.
	load    func() route.Load
	demands func() route.Demands
	// rejectedCallers returns the callers that were rejected after the cursor, limited to those that are reported in
	// the given relay dimension, and the cursor for the next call.
	rejectedCallers func(cursor uint64, to route.RelayDimension) (callers []route.RejectedCaller, next uint64)
	// suspects are the requests under which servers have exited.
	suspects *SuspectRequests
	// readers returns the boxes that are known to read the platform's store.
	readers func() []*wire.StoreReader
	// limitedSends is the number of requests sent to servers with a low rate limit; limitedSendSignal signals that
	// some are unreported.
	limitedSends      atomic.Uint64
	limitedSendSignal chan struct{}

	// pullSlots and streamSlots bound the transfers of facts to entry boxes and to agents.
	pullSlots, streamSlots sendSlots

	// remoteFollowers is the number of entry boxes in other regions that follow the load of this box.
	remoteFollowers atomic.Int64

	// refreshing is held while a snapshot is taken.
	refreshing sync.Mutex

	mu      sync.Mutex
	ready   bool
	leaving bool
	// snapshot is the latest snapshot, followers are the streams that send from it.
	snapshot  *statusSnapshot
	followers map[*statusFollower]bool
	// servicesConfig is the reduced configuration that was sent last; see reduceConfiguration.
	servicesConfig state.Item
	// done ends the streams.
	done     chan struct{}
	stopOnce sync.Once
}

// startMembership creates the membership with the record of this box.
func (p *Process) startMembership() error {
	p.membership = NewMembership(member.Record{
		Box: p.box(), Role: member.RoleEntry, Region: p.region(), FailureDomain: member.FailureDomain(p.settings.FailureDomain),
		Peers: member.Address(p.settings.Listen.Peers), Callers: member.Address(p.settings.Listen.Callers),
		Incarnation: member.Incarnation(p.options.Clock.Now().UnixMilli()), Status: member.StatusStarting,
	}, p.options.Clock, p.options.Log)
	return nil
}

// startStatus creates the status server and registers it with the peer server.
func (p *Process) startStatus() error {
	p.status = &StatusServer{
		clock: p.options.Clock, fleetState: p.fleetState, membership: p.membership, tasks: kernel.NewTaskGroup(),
		load: func() route.Load { return p.callerServer.Load() }, demands: func() route.Demands { return p.callerServer.Demands() },
		rejectedCallers: func(cursor uint64, to route.RelayDimension) ([]route.RejectedCaller, uint64) {
			return p.callerServer.rejectedCallers.Since(cursor, to)
		},
		suspects: p.suspects,
		readers:  func() []*wire.StoreReader { return nil },
		done:     make(chan struct{}), limitedSendSignal: make(chan struct{}, 1),
	}
	if err := wire.DRPCRegisterFleet(p.mux, p.status); err != nil {
		return err
	}
	return p.services.Register(p.status)
}

// startBroadcast starts to take status snapshots. It runs after the services that supply their contents have started.
func (p *Process) startBroadcast() error {
	p.status.refresh()
	p.status.tasks.Go(p.status.refreshLoop)
	return nil
}

// String returns the service's name.
func (s *StatusServer) String() string { return "status" }

// Stop ends all streams.
func (s *StatusServer) Stop(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.done) })
	return s.tasks.Stop(ctx)
}

// Leave announces a planned stop.
func (s *StatusServer) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.ready = true, false
	s.membership.SetStatus(member.StatusLeaving)
}

// SetReady sets whether the box accepts requests. A leaving box stays not ready.
func (s *StatusServer) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready = ready && !s.leaving; s.ready {
		s.membership.SetStatus(member.StatusUp)
	}
}

// Ready reports whether the box accepts requests.
func (s *StatusServer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// summary returns the current state of the box apart from load, demand and store readers.
func (s *StatusServer) summary() statusSummary {
	s.mu.Lock()
	ready, leaving, bound := s.ready, s.leaving, s.fleetState.confirmations.bound
	s.mu.Unlock()
	return statusSummary{
		ready: ready, leaving: leaving, watermarks: s.fleetState.Watermarks(), ages: s.fleetState.ageChangeCount(), departures: s.fleetState.departureSeq(),
		rateLimits: s.fleetState.rateLimitSeq(), storeOutage: s.fleetState.HasStoreOutage(),
		suspects: s.suspects.urgentCount.Load(), limitedSends: s.limitedSends.Load(),
		confirmation: s.fleetState.confirmation(), confirmationStep: bound / confirmationStepDivisor, urgentStep: bound / urgentStepDivisor,
	}
}

// fullStatus returns a full status message without load, demand and store readers.
func (s *StatusServer) fullStatus() *wire.EntryStatus {
	own, ages, watermarks := s.membership.Own(), agesToWire(s.fleetState.VersionAges()), s.fleetState.Watermarks()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wire.EntryStatus{
		Box: string(own.Box), Region: string(own.Region), Peers: string(own.Peers),
		Ready: s.ready, Leaving: s.leaving,
		Revision: uint64(watermarks.Newest), Complete: uint64(watermarks.Complete), Ordered: watermarks.Ordered,
		Ages: ages, StoreOutage: s.fleetState.HasStoreOutage(),
	}
}

// Entry streams the status of the box. The first message is full, and so is one after a change of the version
// ages. The others contain only changes, or nothing but the heartbeat. An entry box that follows this one
// sends its own record in the request, so that it becomes known here: the settings list only a few boxes.
func (s *StatusServer) Entry(request *wire.FollowRequest, stream wire.DRPCFleet_EntryStream) error {
	if request.Record != nil {
		s.membership.Merge(itemsFromWire([]*wire.Item{request.Record}), request.Box)
	}
	remote := request.Region != string(s.membership.Own().Region)
	if remote && request.Load {
		s.remoteFollowers.Add(1)
		defer s.remoteFollowers.Add(-1)
	}
	cursor, records := statusCursor{fullStatus: s.fullStatus, openedAt: s.clock.Now()}, newMemberCursor(s.membership, request)
	follower := &statusFollower{request: request, remote: remote, wake: make(chan struct{}, 1)}
	s.addFollower(follower)
	defer s.removeFollower(follower)
	for {
		if snapshot, due := s.snapshotFor(follower); due {
			status := s.nextMessage(request, &cursor, records, snapshot, remote)
			s.noteEvaluated(follower, snapshot, &cursor, records)
			if status != nil {
				if err := stream.Send(status); err != nil {
					return err
				}
				s.fleetState.metrics.traffic.countStatus(status, remote)
			}
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-s.done:
			return nil
		case <-follower.wake:
		}
	}
}

// nextMessage returns the next message to one follower, nil if there is nothing to send.
func (s *StatusServer) nextMessage(request *wire.FollowRequest, cursor *statusCursor, records *memberCursor, snapshot *statusSnapshot, remote bool) *wire.EntryStatus {
	summary := snapshot.statusSummary
	if remote {
		// Messages to other regions cross narrow links: confirmations wait for the heartbeat unless there is a later version.
		summary.readers, summary.urgentStep = nil, noUrgentStep
	}
	load, demands := snapshot.load, snapshot.demands
	if !request.Load {
		load, demands = nil, nil
	}
	changed := itemsToWire(records.next())
	var rejected []route.RejectedCaller
	if request.Load || request.Relay > 0 {
		rejected, cursor.rejected = s.rejectedCallers(cursor.rejected, route.RelayDimension(request.Relay))
	}
	var departures []fleet.Departure
	if snapshot.departures != cursor.departures {
		departures, cursor.departures = s.fleetState.DeparturesSince(cursor.departures)
	}
	var limits []*wire.RateLimit
	if snapshot.rateLimits != cursor.rateLimits {
		limits, cursor.rateLimits = s.fleetState.RateLimitsSince(cursor.rateLimits)
	}
	var evidence []route.Evidence
	evidence, cursor.suspects = s.suspects.Since(cursor.suspects)
	status := cursor.nextMessage(summary, load, demands, snapshot.takenAt, len(changed)+len(rejected)+len(departures)+len(limits)+len(evidence) > 0)
	if status != nil {
		status.RateLimits = limits
		status.Members, status.SentAway, status.Departures = changed, rejectedToWire(rejected, s.clock.Now()), departuresToWire(departures)
		status.Evidence = evidenceToWire(evidence, s.clock.Now())
		if request.Members && !status.Partial {
			status.Retired = s.membership.retiredToWire()
		}
		if len(status.Readers) > 0 || status.Confirmation != nil {
			status.SentMilliseconds = proto.Uint64(uint64(max(0, snapshot.takenAt.Sub(cursor.openedAt).Milliseconds())))
		}
	}
	return status
}

// refreshLoop takes snapshots for all streams together. A timer for each stream would wake each of them at every
// interval, also without anything to send.
func (s *StatusServer) refreshLoop(ctx context.Context) {
	ticker := s.clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-s.suspects.wake:
			sleep(ctx, s.clock, urgentBatchDelay)
		case <-s.limitedSendSignal:
			sleep(ctx, s.clock, urgentBatchDelay)
		}
		s.refresh()
	}
}

// noteLimitedSend schedules an early status message about a request to a server with a low rate limit.
func (s *StatusServer) noteLimitedSend() {
	s.limitedSends.Add(1)
	select {
	case s.limitedSendSignal <- struct{}{}:
	default:
	}
}

// interval returns the time between two status messages to a follower in this region or in another one.
func (s *StatusServer) interval(remote bool) time.Duration {
	if !remote {
		return statusInterval
	}
	return max(statusInterval, time.Duration(s.remoteFollowers.Load())*time.Second/maxRemoteMessagesPerSecond)
}

// Facts streams the facts that have changed since the cursor in the request. Entry boxes, which set Once, pull them;
// agents follow the stream.
func (s *StatusServer) Facts(request *wire.FactsRequest, stream wire.DRPCFleet_FactsStream) error {
	switch {
	case request.Once:
		return s.sendPull(request, stream)
	case request.EntriesOnly:
		return stream.Send(&wire.FactsBatch{Entries: s.membership.SampleAddresses(member.Region(request.Region))})
	default:
		return s.streamFacts(request, stream)
	}
}

// isRemote reports whether a request comes from another region.
func (s *StatusServer) isRemote(request *wire.FactsRequest) bool {
	return request.Region != string(s.membership.Own().Region)
}

// isLarge reports whether a batch, or those that follow it, need a slot.
func isLarge(batch *wire.FactsBatch) bool {
	return batch.More || proto.Size(batch) > smallTransferBytes
}

// sendPull sends the facts to an entry box that pulls them: all batches, or one if the box is of an earlier version. It
// refuses the pull if it is large and others take all slots.
func (s *StatusServer) sendPull(request *wire.FactsRequest, stream wire.DRPCFleet_FactsStream) error {
	cursor, receiver := state.Cursor{Instance: request.Instance, Sequence: request.Cursor}, receiverFromWire(request)
	var slot *sendSlot
	defer func() { slot.release() }()
	for {
		message := s.factsBatch(cursor, receiver, request.ServicesOnly)
		if slot == nil && isLarge(message) {
			if slot = s.pullSlots.acquire(maxSentPulls, s.clock); slot == nil {
				s.fleetState.metrics.refusedPulls.Inc()
				return stream.Send(busyBatch(cursor))
			}
		}
		cursor = state.Cursor{Instance: message.Instance, Sequence: message.Cursor}
		if err := stream.Send(message); err != nil {
			return err
		}
		s.fleetState.metrics.traffic.count(purposeFacts, proto.Size(message), s.isRemote(request))
		s.fleetState.metrics.countConfiguration(message, request.ServicesOnly)
		slot.renew()
		if !request.All {
			return nil
		}
		if !message.More {
			s.awaitReceipt(stream, slot)
			return nil
		}
	}
}

// streamFacts sends facts to an agent until the stream ends.
func (s *StatusServer) streamFacts(request *wire.FactsRequest, stream wire.DRPCFleet_FactsStream) error {
	cursor, receiver := state.Cursor{Instance: request.Instance, Sequence: request.Cursor}, receiverFromWire(request)
	ticker := s.clock.NewTicker(statusHeartbeat)
	defer ticker.Stop()
	entries, departures, suspects := s.membership.SampleAddresses(member.Region(request.Region)), uint64(0), uint64(0)
	var slot *sendSlot
	defer func() { slot.release() }()
	sent := 0
	for {
		changed := s.fleetState.Changed()
		message := s.factsBatch(cursor, receiver, request.ServicesOnly)
		if isLarge(message) && slot.isReleased() {
			var err error
			slot, err = s.awaitStreamSlot(stream, ticker.Chan(), &wire.FactsBatch{Entries: entries, Instance: cursor.Instance, Cursor: cursor.Sequence})
			if err != nil {
				return err
			}
			continue
		}
		if message.HasPresent || receiver.Complete >= message.Floor {
			receiver.Complete = max(receiver.Complete, message.Complete)
		}
		cursor = state.Cursor{Instance: message.Instance, Sequence: message.Cursor}
		message.Entries, entries = entries, nil
		var newDepartures []fleet.Departure
		newDepartures, departures = s.fleetState.DeparturesSince(departures)
		message.Departures = departuresToWire(newDepartures)
		var evidence []route.Evidence
		evidence, suspects = s.suspects.Since(suspects)
		message.Evidence = evidenceToWire(evidence, s.clock.Now())
		if err := stream.Send(message); err != nil {
			return err
		}
		size := proto.Size(message)
		s.fleetState.metrics.traffic.count(purposeFacts, size, s.isRemote(request))
		s.fleetState.metrics.countConfiguration(message, request.ServicesOnly)
		if sent += size; message.More {
			slot.renew()
			continue
		}
		slot.releaseAfter(sent)
		sent = 0
		select {
		case <-stream.Context().Done():
			return nil
		case <-s.done:
			return nil
		case <-changed:
		case <-ticker.Chan():
		}
	}
}

// busyBatch returns the response to a pull that is refused. A receiver of an earlier version takes it for a batch
// without facts that leaves its cursor unchanged.
func busyBatch(cursor state.Cursor) *wire.FactsBatch {
	return &wire.FactsBatch{Instance: cursor.Instance, Cursor: cursor.Sequence, Busy: true}
}

// awaitStreamSlot waits for a slot of a stream, and sends a heartbeat whenever the ticker fires.
func (s *StatusServer) awaitStreamSlot(stream wire.DRPCFleet_FactsStream, ticker <-chan time.Time, heartbeat *wire.FactsBatch) (*sendSlot, error) {
	for {
		freed := s.streamSlots.nextFreed()
		if slot := s.streamSlots.acquire(maxSentStreams, s.clock); slot != nil {
			return slot, nil
		}
		select {
		case <-stream.Context().Done():
			return nil, stream.Context().Err()
		case <-s.done:
			return nil, context.Canceled
		case <-freed:
		case <-ticker:
			if err := stream.Send(heartbeat); err != nil {
				return nil, err
			}
		}
	}
}

// awaitReceipt waits until the receiver of all batches of a pull closes its stream: what was sent may still be under way,
// in buffers of the operating system.
func (s *StatusServer) awaitReceipt(stream wire.DRPCFleet_FactsStream, slot *sendSlot) {
	if slot == nil {
		return
	}
	select {
	case <-stream.Context().Done():
	case <-s.done:
	case <-slot.released:
	}
}

// receiverFromWire returns what the process that sent a request has.
func receiverFromWire(request *wire.FactsRequest) state.Receiver {
	return state.Receiver{Complete: request.Complete, Orders: request.Orders, Held: request.Held, Values: valuesFromWire(request)}
}

// factsBatch returns a batch of the facts that have changed since a cursor, without entry box addresses, for a process
// receiver.
func (s *StatusServer) factsBatch(cursor state.Cursor, receiver state.Receiver, servicesOnly bool) *wire.FactsBatch {
	transfer := s.fleetState.mirror.Transfer(cursor, maxBatchItems, receiver)
	if servicesOnly {
		s.reduceConfiguration(transfer.Items)
	}
	fleet := s.membership.fleetSize()
	batch := &wire.FactsBatch{
		FleetSince: uint64(fleet.since), FleetBoxes: uint32(fleet.boxes),
		Instance: transfer.Next.Instance, Cursor: transfer.Next.Sequence, Items: itemsToWire(transfer.Items), More: transfer.More, Ages: agesToWire(s.fleetState.VersionAges()),
		Complete: transfer.Complete, Floor: transfer.Floor, Present: transfer.Present, HasPresent: transfer.HasPresent,
	}
	setDeltas(batch, transfer.Deltas)
	return batch
}

// transferFromWire returns the facts in a batch.
func transferFromWire(batch *wire.FactsBatch) *state.Transfer {
	return &state.Transfer{
		Batch:    state.Batch{Items: itemsFromWire(batch.Items), Next: state.Cursor{Instance: batch.Instance, Sequence: batch.Cursor}},
		Deltas:   deltasFromWire(batch),
		Complete: batch.Complete, Floor: batch.Floor, Present: batch.Present, HasPresent: batch.HasPresent,
	}
}

// reduceConfiguration replaces a configuration among the items by the part that a process without callers needs.
// The last result is cached, because all agents request the same one.
func (s *StatusServer) reduceConfiguration(items []state.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, item := range items {
		if item.Key != fleet.ConfigurationKey() || item.Deleted {
			continue
		}
		if s.servicesConfig.Version != item.Version {
			reduced, err := fleet.ServicesOnly(item)
			if err != nil {
				s.fleetState.log.Error().Err(err).Msg("reducing the configuration failed; sending it in full")
				continue
			}
			s.servicesConfig = reduced
		}
		items[i] = s.servicesConfig
	}
}

func itemsToWire(items []state.Item) []*wire.Item {
	encoded := make([]*wire.Item, 0, len(items))
	for _, item := range items {
		encoded = append(encoded, &wire.Item{
			Key: item.Key, Major: item.Version.Major, Minor: item.Version.Minor, Order: item.Version.Order, Deleted: item.Deleted, Value: item.Value,
		})
	}
	return encoded
}

func itemsFromWire(encoded []*wire.Item) []state.Item {
	items := make([]state.Item, 0, len(encoded))
	for _, item := range encoded {
		items = append(items, fleet.WithOrder(state.Item{
			Key: item.Key, Version: state.Version{Major: item.Major, Minor: item.Minor, Order: item.Order}, Deleted: item.Deleted, Value: item.Value,
		}))
	}
	return items
}

// EntryBox is the last known status of another entry box.
type EntryBox struct {
	Box    member.BoxID
	Region member.Region
	Peers  member.Address
	Ready  bool
	// Watermarks is the box's position in the changes of the platform's store.
	Watermarks Watermarks
	// LastSeen is the time at which the last status message was received.
	LastSeen time.Time
	// sentBase is the earliest time that the base of the times in the status messages can have, zero if none has a time.
	sentBase time.Time
	// confirms is set once the box has sent a confirmation.
	confirms bool
}

func entryBoxFromWire(status *wire.EntryStatus, now time.Time) EntryBox {
	return EntryBox{
		Box: member.BoxID(status.Box), Region: member.Region(status.Region), Peers: member.Address(status.Peers),
		Ready: status.Ready && !status.Leaving, Watermarks: watermarksFromWire(status), LastSeen: now,
	}
}

// withUpdate returns the box updated by a partial message.
func (b EntryBox) withUpdate(status *wire.EntryStatus, now time.Time) EntryBox {
	b.Ready, b.Watermarks, b.LastSeen = status.Ready && !status.Leaving, watermarksFromWire(status), now
	return b
}

// maxClockDrift is the divisor of a time that gives how much the clocks of two boxes may differ in it.
const maxClockDrift = 1000

// noteSent returns the time at which a message was sent, as far as the messages before it on the same stream show: no
// earlier message took less time than the fastest one. It is LastSeen without them. before is the box before the message.
func (b *EntryBox) noteSent(status *wire.EntryStatus, before *EntryBox) time.Time {
	b.sentBase = before.sentBase
	if !b.sentBase.IsZero() {
		b.sentBase = b.sentBase.Add(b.LastSeen.Sub(before.LastSeen) / maxClockDrift)
	}
	if status.SentMilliseconds == nil {
		return b.LastSeen
	}
	sinceBase := time.Duration(*status.SentMilliseconds) * time.Millisecond
	if base := b.LastSeen.Add(-sinceBase); b.sentBase.IsZero() || base.Before(b.sentBase) {
		b.sentBase = base
	}
	return b.sentBase.Add(sinceBase)
}

func watermarksFromWire(status *wire.EntryStatus) Watermarks {
	return Watermarks{Newest: fleet.Revision(status.Revision), Complete: fleet.Revision(status.Complete), Ordered: status.Ordered}
}

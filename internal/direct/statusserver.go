package direct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	// statusInterval is how often an entry box tells the others what it has in
	// flight, if that has changed. A request holds a place for a second or so.
	statusInterval = 50 * time.Millisecond
	// maxRemoteMessagesPerSecond is how many such messages a box sends to those of its cell in other regions in
	// a second, all together: they cross narrow links.
	// With twelve others there is no need to tell them less often than the near ones.
	maxRemoteMessagesPerSecond = 240
	// statusHeartbeat is how often it does if nothing has changed.
	statusHeartbeat = 400 * time.Millisecond
	// statusTimeout is after how long without a status a box counts as away.
	statusTimeout = 1500 * time.Millisecond
	// maxBatchItems bounds the items of one batch.
	maxBatchItems = 256
)

// StatusServer is what an entry box tells other processes. It implements the drpc
// service Fleet for entry boxes.
type StatusServer struct {
	wire.DRPCFleetUnimplementedServer

	clock      clockwork.Clock
	fleetState *FleetState
	membership *Membership
	tasks      *kernel.TaskGroup
	// load and demands are what the box has in flight and is asked for.
	load    func() route.Load
	demands func() route.Demands
	// rejectedCallers are the callers that were sent away and are to be told on a way, after a number of them.
	rejectedCallers func(told uint64, to route.RelayDimension) (callers []route.RejectedCaller, now uint64)
	// suspects are the requests under which servers have ended.
	suspects *SuspectRequests
	// readers are those that read the store, as far as the box knows.
	readers func() []*wire.StoreReader
	// limitedSends is the number of requests sent to servers with a low rate limit; limitedSendSignal signals that some are unreported.
	limitedSends      atomic.Uint64
	limitedSendSignal chan struct{}

	// remoteFollowers is how many entry boxes of other regions follow what this one has in flight.
	remoteFollowers atomic.Int64

	mu      sync.Mutex
	ready   bool
	leaving bool
	// snapshot is what is to be told now, ticked is closed when that is looked at anew.
	snapshot  *statusSnapshot
	refreshed chan struct{}
	// servicesConfig is the configuration as it was last told to agents.
	servicesConfig state.Item
	// done ends the streams.
	done     chan struct{}
	stopOnce sync.Once
}

// startMembership makes the box known to itself.
func (p *Process) startMembership() error {
	p.membership = NewMembership(member.Record{
		Box: p.box(), Role: member.RoleEntry, Region: p.region(), FailureDomain: member.FailureDomain(p.settings.FailureDomain),
		Peers: member.Address(p.settings.Listen.Peers), Callers: member.Address(p.settings.Listen.Callers),
		Incarnation: member.Incarnation(p.options.Clock.Now().UnixMilli()), Status: member.StatusStarting,
	}, p.options.Clock, p.options.Log)
	return nil
}

// startStatus makes the box's own status.
func (p *Process) startStatus() error {
	p.status = &StatusServer{
		clock: p.options.Clock, fleetState: p.fleetState, membership: p.membership, tasks: kernel.NewTaskGroup(),
		load: func() route.Load { return p.callerServer.Load() }, demands: func() route.Demands { return p.callerServer.Demands() },
		rejectedCallers: func(told uint64, to route.RelayDimension) ([]route.RejectedCaller, uint64) {
			return p.callerServer.rejectedCallers.Since(told, to)
		},
		suspects:  p.suspects,
		readers:   func() []*wire.StoreReader { return nil },
		refreshed: make(chan struct{}), done: make(chan struct{}), limitedSendSignal: make(chan struct{}, 1),
	}
	if err := wire.DRPCRegisterFleet(p.mux, p.status); err != nil {
		return err
	}
	return p.services.Register(p.status)
}

// startBroadcast begins to look at what is to be told, once all that tells it is there.
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

// SetReady tells whether the box takes requests.
func (s *StatusServer) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready = ready && !s.leaving; s.ready {
		s.membership.SetStatus(member.StatusUp)
	}
}

// Ready reports whether the box takes requests.
func (s *StatusServer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// summary returns what is told besides what is in flight and asked for.
func (s *StatusServer) summary() statusSummary {
	s.mu.Lock()
	ready, leaving := s.ready, s.leaving
	s.mu.Unlock()
	return statusSummary{
		ready: ready, leaving: leaving, watermarks: s.fleetState.Watermarks(), ages: s.fleetState.ageChangeCount(), departures: s.fleetState.departureSeq(),
		rateLimits: s.fleetState.rateLimitSeq(),
		suspects:   s.suspects.urgentCount.Load(), limitedSends: s.limitedSends.Load(),
	}
}

// fullStatus returns the status without what is in flight and asked for.
func (s *StatusServer) fullStatus() *wire.EntryStatus {
	own, ages, extent := s.membership.Own(), agesToWire(s.fleetState.VersionAges()), s.fleetState.Watermarks()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wire.EntryStatus{
		Box: string(own.Box), Region: string(own.Region), Peers: string(own.Peers),
		Ready: s.ready, Leaving: s.leaving,
		Revision: uint64(extent.Newest), Complete: uint64(extent.Complete),
		Ages: ages,
	}
}

// Entry streams the box's status: whole at first and when the ages of versions have changed, in
// between only what has changed of what is in flight and asked for, now and then nothing else.
// An entry box that follows this one becomes known by that: the settings name only a few.
func (s *StatusServer) Entry(request *wire.FollowRequest, stream wire.DRPCFleet_EntryStream) error {
	if request.Record != nil {
		s.membership.Merge(itemsFromWire([]*wire.Item{request.Record}), request.Box)
	}
	far := request.Region != string(s.membership.Own().Region)
	if far && request.Load {
		s.remoteFollowers.Add(1)
		defer s.remoteFollowers.Add(-1)
	}
	told, records := statusCursor{fullStatus: s.fullStatus}, memberCursor{membership: s.membership, all: request.Members}
	for {
		now, ticked := s.current()
		// A version that has just been named, a request under which a server has ended, and a request to a server with a low rate
		// limit are reported without waiting for the interval.
		urgent := told.at.IsZero() || now.ages != told.summary.ages || now.suspects != told.summary.suspects ||
			request.Load && now.limitedSends != told.summary.limitedSends
		if urgent || now.at.Sub(told.at) >= s.interval(far)-statusInterval/2 {
			if status := s.nextMessage(request, &told, &records, now, far); status != nil {
				if err := stream.Send(status); err != nil {
					return err
				}
			}
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-s.done:
			return nil
		case <-ticked:
		}
	}
}

// nextMessage returns what one follower is to be told now; nil if nothing.
func (s *StatusServer) nextMessage(request *wire.FollowRequest, told *statusCursor, records *memberCursor, now *statusSnapshot, far bool) *wire.EntryStatus {
	summary := now.statusSummary
	if far {
		summary.readers = nil
	}
	load, demands := now.load, now.demands
	if !request.Load {
		load, demands = nil, nil
	}
	changed := itemsToWire(records.next())
	var sentAway []route.RejectedCaller
	if request.Load || request.Relay > 0 {
		sentAway, told.rejected = s.rejectedCallers(told.rejected, route.RelayDimension(request.Relay))
	}
	var departures []fleet.Departure
	if now.departures != told.departures {
		departures, told.departures = s.fleetState.DeparturesSince(told.departures)
	}
	var limits []*wire.RateLimit
	if now.rateLimits != told.rateLimits {
		limits, told.rateLimits = s.fleetState.RateLimitsSince(told.rateLimits)
	}
	var evidence []route.Evidence
	evidence, told.suspects = s.suspects.Since(told.suspects)
	status := told.nextMessage(summary, load, demands, now.at, len(changed)+len(sentAway)+len(departures)+len(limits)+len(evidence) > 0)
	if status != nil {
		status.RateLimits = limits
		status.Members, status.SentAway, status.Departures = changed, rejectedToWire(sentAway, s.clock.Now()), departuresToWire(departures)
		status.Evidence = evidenceToWire(evidence, s.clock.Now())
	}
	return status
}

// statusSnapshot is what the box tells of itself at a moment.
type statusSnapshot struct {
	statusSummary
	at      time.Time
	load    route.Load
	demands route.Demands
}

// refreshLoop looks at what is to be told, for all streams at once: with a timer each, waking up took
// most of the time of telling.
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

// refresh makes the snapshot of this moment the one that is told.
func (s *StatusServer) refresh() {
	next := &statusSnapshot{statusSummary: s.summary(), at: s.clock.Now(), load: s.load(), demands: s.demands()}
	next.readers = s.readers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = next
	close(s.refreshed)
	s.refreshed = make(chan struct{})
}

// current returns what is to be told now, which must not be changed, and a channel that is closed
// when there is something newer.
func (s *StatusServer) current() (snapshot *statusSnapshot, ticked <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, s.refreshed
}

// interval is how often an entry box of this region, or of another one, is told.
func (s *StatusServer) interval(far bool) time.Duration {
	if !far {
		return statusInterval
	}
	return max(statusInterval, time.Duration(s.remoteFollowers.Load())*time.Second/maxRemoteMessagesPerSecond)
}

// Facts streams the facts that changed after a cursor.
func (s *StatusServer) Facts(request *wire.FactsRequest, stream wire.DRPCFleet_FactsStream) error {
	cursor := state.Cursor{Instance: request.Instance, Sequence: request.Cursor}
	ticker := s.clock.NewTicker(statusHeartbeat)
	defer ticker.Stop()
	entries := s.membership.SampleAddresses(member.Region(request.Region))
	departures, suspects := uint64(0), uint64(0)
	if request.EntriesOnly {
		return stream.Send(&wire.FactsBatch{Entries: entries})
	}
	for {
		changed := s.fleetState.Changed()
		message := s.factsBatch(cursor, request.ServicesOnly)
		cursor = state.Cursor{Instance: message.Instance, Sequence: message.Cursor}
		message.Entries, entries = entries, nil
		if !request.Once {
			// Entry boxes, which ask once, hear of departures and suspects with the status.
			var left []fleet.Departure
			left, departures = s.fleetState.DeparturesSince(departures)
			message.Departures = departuresToWire(left)
			var evidence []route.Evidence
			evidence, suspects = s.suspects.Since(suspects)
			message.Evidence = evidenceToWire(evidence, s.clock.Now())
		}
		if err := stream.Send(message); err != nil {
			return err
		}
		if request.Once {
			return nil
		}
		if len(message.Items) == maxBatchItems {
			continue
		}
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

// factsBatch returns the facts that changed after a cursor, without the entry boxes.
func (s *StatusServer) factsBatch(cursor state.Cursor, servicesOnly bool) *wire.FactsBatch {
	// What is complete is read first: the facts then reach at least as far.
	extent := s.fleetState.Watermarks()
	batch := s.fleetState.store.Since(cursor, maxBatchItems)
	if servicesOnly {
		s.reduceConfiguration(batch.Items)
	}
	message := &wire.FactsBatch{
		Instance: batch.Next.Instance, Cursor: batch.Next.Sequence, Items: itemsToWire(batch.Items), Ages: agesToWire(s.fleetState.VersionAges()),
	}
	if len(batch.Items) < maxBatchItems {
		message.Complete = uint64(extent.Complete)
	}
	return message
}

// reduceConfiguration replaces a configuration by what a process needs that serves no callers. All
// agents ask for the same one, so the last is kept.
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
				s.fleetState.log.Error().Err(err).Msg("configuration told whole")
				continue
			}
			s.servicesConfig = reduced
		}
		items[i] = s.servicesConfig
	}
}

func itemsToWire(items []state.Item) []*wire.Item {
	told := make([]*wire.Item, 0, len(items))
	for _, item := range items {
		told = append(told, &wire.Item{
			Key: item.Key, Major: item.Version.Major, Minor: item.Version.Minor, Deleted: item.Deleted, Value: item.Value,
		})
	}
	return told
}

func itemsFromWire(told []*wire.Item) []state.Item {
	items := make([]state.Item, 0, len(told))
	for _, item := range told {
		items = append(items, state.Item{
			Key: item.Key, Version: state.Version{Major: item.Major, Minor: item.Minor}, Deleted: item.Deleted, Value: item.Value,
		})
	}
	return items
}

// EntryBox is another entry box as its status tells.
type EntryBox struct {
	Box    member.BoxID
	Region member.Region
	Peers  member.Address
	Ready  bool
	// Watermarks is how far the box knows the store's changes.
	Watermarks Watermarks
	LastSeen   time.Time
}

func entryBoxFromWire(status *wire.EntryStatus, now time.Time) EntryBox {
	return EntryBox{
		Box: member.BoxID(status.Box), Region: member.Region(status.Region), Peers: member.Address(status.Peers),
		Ready: status.Ready && !status.Leaving, Watermarks: watermarksFromWire(status), LastSeen: now,
	}
}

// withUpdate is the box after a message that tells only what has changed.
func (b EntryBox) withUpdate(status *wire.EntryStatus, now time.Time) EntryBox {
	b.Ready, b.Watermarks, b.LastSeen = status.Ready && !status.Leaving, watermarksFromWire(status), now
	return b
}

func watermarksFromWire(status *wire.EntryStatus) Watermarks {
	return Watermarks{Newest: fleet.Revision(status.Revision), Complete: fleet.Revision(status.Complete)}
}

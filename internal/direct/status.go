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
	// farMessages is how many such messages a box sends to those of its cell in other regions in
	// a second, all together: they cross narrow links.
	// With twelve others there is no need to tell them less often than the near ones.
	farMessages = 240
	// statusHeartbeat is how often it does if nothing has changed.
	statusHeartbeat = 400 * time.Millisecond
	// statusSilence is after how long without a status a box counts as away.
	statusSilence = 1500 * time.Millisecond
	// factsLimit bounds the items of one batch.
	factsLimit = 256
)

// Status is what an entry box tells other processes. It implements the drpc
// service Fleet for entry boxes.
type Status struct {
	wire.DRPCFleetUnimplementedServer

	clock   clockwork.Clock
	facts   *Facts
	members *Members
	duties  *kernel.TaskGroup
	// load and demands are what the box has in flight and is asked for.
	load    func() route.Load
	demands func() route.Demands
	// sentAway are the callers that were sent away and are to be told on a way, after a number of them.
	sentAway func(told uint64, to route.RelayDimension) (callers []route.RejectedCaller, now uint64)
	// suspects are the requests under which servers have ended.
	suspects *Suspects
	// readers are those that read the store, as far as the box knows.
	readers func() []*wire.StoreReader
	// limitedSends is the number of requests sent to servers with a low rate limit; limitedNews signals that some are unreported.
	limitedSends atomic.Uint64
	limitedNews  chan struct{}

	// farFollowers is how many entry boxes of other regions follow what this one has in flight.
	farFollowers atomic.Int64

	mu      sync.Mutex
	ready   bool
	leaving bool
	// last is what is to be told now, ticked is closed when that is looked at anew.
	last   *statusSnapshot
	ticked chan struct{}
	// reduced is the configuration as it was last told to agents.
	reduced state.Item
	// done ends the streams.
	done     chan struct{}
	stopOnce sync.Once
}

// startMembers makes the box known to itself.
func (p *Process) startMembers() error {
	p.members = NewMembers(member.Record{
		Box: p.box(), Role: member.RoleEntry, Region: p.region(), FailureDomain: member.FailureDomain(p.settings.FailureDomain),
		Peers: member.Address(p.settings.Listen.Peers), Callers: member.Address(p.settings.Listen.Callers),
		Incarnation: member.Incarnation(p.options.Clock.Now().UnixMilli()), Status: member.StatusStarting,
	}, p.options.Clock, p.options.Log)
	return nil
}

// startStatus makes the box's own status.
func (p *Process) startStatus() error {
	p.status = &Status{
		clock: p.options.Clock, facts: p.facts, members: p.members, duties: kernel.NewTaskGroup(),
		load: func() route.Load { return p.front.Load() }, demands: func() route.Demands { return p.front.Demands() },
		sentAway: func(told uint64, to route.RelayDimension) ([]route.RejectedCaller, uint64) {
			return p.front.returns.Since(told, to)
		},
		suspects: p.suspects,
		readers:  func() []*wire.StoreReader { return nil },
		ticked:   make(chan struct{}), done: make(chan struct{}), limitedNews: make(chan struct{}, 1),
	}
	if err := wire.DRPCRegisterFleet(p.mux, p.status); err != nil {
		return err
	}
	return p.kernel.Register(p.status)
}

// startTelling begins to look at what is to be told, once all that tells it is there.
func (p *Process) startTelling() error {
	p.status.look()
	p.status.duties.Go(p.status.beat)
	return nil
}

// String returns the service's name.
func (s *Status) String() string { return "status" }

// Stop ends all streams.
func (s *Status) Stop(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.done) })
	return s.duties.Stop(ctx)
}

// Leave announces a planned stop.
func (s *Status) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.ready = true, false
	s.members.SetStatus(member.StatusLeaving)
}

// SetReady tells whether the box takes requests.
func (s *Status) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready = ready && !s.leaving; s.ready {
		s.members.SetStatus(member.StatusUp)
	}
}

// Ready reports whether the box takes requests.
func (s *Status) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// summary returns what is told besides what is in flight and asked for.
func (s *Status) summary() statusSummary {
	s.mu.Lock()
	ready, leaving := s.ready, s.leaving
	s.mu.Unlock()
	return statusSummary{
		ready: ready, leaving: leaving, extent: s.facts.Extent(), ages: s.facts.versionsKnown(), departures: s.facts.departuresKnown(),
		rateLimits: s.facts.rateLimitsKnown(),
		suspects:   s.suspects.urgent.Load(), limitedSends: s.limitedSends.Load(),
	}
}

// whole returns the status without what is in flight and asked for.
func (s *Status) whole() *wire.EntryStatus {
	own, ages, extent := s.members.Own(), agesToWire(s.facts.VersionAges()), s.facts.Extent()
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
func (s *Status) Entry(request *wire.FollowRequest, stream wire.DRPCFleet_EntryStream) error {
	if request.Record != nil {
		s.members.Learn(itemsFromWire([]*wire.Item{request.Record}), request.Box)
	}
	far := request.Region != string(s.members.Own().Region)
	if far && request.Load {
		s.farFollowers.Add(1)
		defer s.farFollowers.Add(-1)
	}
	told, records := statusTold{whole: s.whole}, memberCursor{members: s.members, all: request.Members}
	for {
		now, ticked := s.now()
		// A version that has just been named, a request under which a server has ended, and a request to a server with a low rate
		// limit are reported without waiting for the interval.
		urgent := told.at.IsZero() || now.ages != told.summary.ages || now.suspects != told.summary.suspects ||
			request.Load && now.limitedSends != told.summary.limitedSends
		if urgent || now.at.Sub(told.at) >= s.interval(far)-statusInterval/2 {
			if status := s.message(request, &told, &records, now, far); status != nil {
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

// message returns what one follower is to be told now; nil if nothing.
func (s *Status) message(request *wire.FollowRequest, told *statusTold, records *memberCursor, now *statusSnapshot, far bool) *wire.EntryStatus {
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
		sentAway, told.sentAway = s.sentAway(told.sentAway, route.RelayDimension(request.Relay))
	}
	var departures []fleet.Departure
	if now.departures != told.departures {
		departures, told.departures = s.facts.DeparturesSince(told.departures)
	}
	var limits []*wire.RateLimit
	if now.rateLimits != told.rateLimits {
		limits, told.rateLimits = s.facts.RateLimitsSince(told.rateLimits)
	}
	var evidence []route.Evidence
	evidence, told.suspects = s.suspects.Since(told.suspects)
	status := told.next(summary, load, demands, now.at, len(changed)+len(sentAway)+len(departures)+len(limits)+len(evidence) > 0)
	if status != nil {
		status.RateLimits = limits
		status.Members, status.SentAway, status.Departures = changed, sentAwayToWire(sentAway, s.clock.Now()), departuresToWire(departures)
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

// beat looks at what is to be told, for all streams at once: with a timer each, waking up took
// most of the time of telling.
func (s *Status) beat(ctx context.Context) {
	ticker := s.clock.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-s.suspects.news:
			sleep(ctx, s.clock, newsGathered)
		case <-s.limitedNews:
			sleep(ctx, s.clock, newsGathered)
		}
		s.look()
	}
}

// noteLimitedSend schedules an early status message about a request to a server with a low rate limit.
func (s *Status) noteLimitedSend() {
	s.limitedSends.Add(1)
	select {
	case s.limitedNews <- struct{}{}:
	default:
	}
}

// look makes the snapshot of this moment the one that is told.
func (s *Status) look() {
	next := &statusSnapshot{statusSummary: s.summary(), at: s.clock.Now(), load: s.load(), demands: s.demands()}
	next.readers = s.readers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = next
	close(s.ticked)
	s.ticked = make(chan struct{})
}

// now returns what is to be told now, which must not be changed, and a channel that is closed
// when there is something newer.
func (s *Status) now() (snapshot *statusSnapshot, ticked <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last, s.ticked
}

// interval is how often an entry box of this region, or of another one, is told.
func (s *Status) interval(far bool) time.Duration {
	if !far {
		return statusInterval
	}
	return max(statusInterval, time.Duration(s.farFollowers.Load())*time.Second/farMessages)
}

// Facts streams the facts that changed after a cursor.
func (s *Status) Facts(request *wire.FactsRequest, stream wire.DRPCFleet_FactsStream) error {
	cursor := state.Cursor{Instance: request.Instance, Sequence: request.Cursor}
	ticker := s.clock.NewTicker(statusHeartbeat)
	defer ticker.Stop()
	entries := s.members.Sample(member.Region(request.Region))
	departures, suspects := uint64(0), uint64(0)
	if request.EntriesOnly {
		return stream.Send(&wire.FactsBatch{Entries: entries})
	}
	for {
		changed := s.facts.Changed()
		message := s.batch(cursor, request.ServicesOnly)
		cursor = state.Cursor{Instance: message.Instance, Sequence: message.Cursor}
		message.Entries, entries = entries, nil
		if !request.Once {
			// Entry boxes, which ask once, hear of departures and suspects with the status.
			var left []fleet.Departure
			left, departures = s.facts.DeparturesSince(departures)
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
		if len(message.Items) == factsLimit {
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

// batch returns the facts that changed after a cursor, without the entry boxes.
func (s *Status) batch(cursor state.Cursor, servicesOnly bool) *wire.FactsBatch {
	// What is complete is read first: the facts then reach at least as far.
	extent := s.facts.Extent()
	batch := s.facts.store.Since(cursor, factsLimit)
	if servicesOnly {
		s.reduce(batch.Items)
	}
	message := &wire.FactsBatch{
		Instance: batch.Next.Instance, Cursor: batch.Next.Sequence, Items: itemsToWire(batch.Items), Ages: agesToWire(s.facts.VersionAges()),
	}
	if len(batch.Items) < factsLimit {
		message.Complete = uint64(extent.Complete)
	}
	return message
}

// reduce replaces a configuration by what a process needs that serves no callers. All
// agents ask for the same one, so the last is kept.
func (s *Status) reduce(items []state.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, item := range items {
		if item.Key != fleet.ConfigurationKey() || item.Deleted {
			continue
		}
		if s.reduced.Version != item.Version {
			reduced, err := fleet.ServicesOnly(item)
			if err != nil {
				s.facts.log.Error().Err(err).Msg("configuration told whole")
				continue
			}
			s.reduced = reduced
		}
		items[i] = s.reduced
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
	// Extent is how far the box knows the store's changes.
	Extent Extent
	Heard  time.Time
}

func entryBoxOf(status *wire.EntryStatus, now time.Time) EntryBox {
	return EntryBox{
		Box: member.BoxID(status.Box), Region: member.Region(status.Region), Peers: member.Address(status.Peers),
		Ready: status.Ready && !status.Leaving, Extent: extentOf(status), Heard: now,
	}
}

// updated is the box after a message that tells only what has changed.
func (b EntryBox) updated(status *wire.EntryStatus, now time.Time) EntryBox {
	b.Ready, b.Extent, b.Heard = status.Ready && !status.Leaving, extentOf(status), now
	return b
}

func extentOf(status *wire.EntryStatus) Extent {
	return Extent{Newest: fleet.Revision(status.Revision), Complete: fleet.Revision(status.Complete)}
}

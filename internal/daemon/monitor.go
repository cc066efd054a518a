package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// maxAnnouncedEntries is how many entry boxes an agent learns, its monitors first.
const maxAnnouncedEntries = 5

// Monitor takes heartbeats: it publishes the records of boxes, marks boxes
// silent, and tells agents their assignments and neighbours.
type Monitor struct {
	view       *View
	replica    *Replica
	clock      clockwork.Clock
	log        zerolog.Logger
	detector   *member.Monitor
	tasks      *kernel.TaskGroup
	metrics    *Metrics
	peers      *PeerPool
	ownAddress member.Address
	// probeTimeout is how long a silent box and its other monitors are asked.
	probeTimeout time.Duration
}

// NewMonitor starts to look for silence.
func NewMonitor(own member.Address, view *View, replica *Replica, peers *PeerPool, clock clockwork.Clock, log zerolog.Logger,
	metrics *Metrics, silence time.Duration,
) *Monitor {
	m := &Monitor{
		ownAddress: own, view: view, replica: replica, peers: peers, clock: clock, log: log, metrics: metrics,
		probeTimeout: silence / 2,
		detector:     member.NewMonitor(silence),
		tasks:        kernel.NewTaskGroup(),
	}
	m.tasks.Go(func(ctx context.Context) { m.watch(ctx, silence/4) })
	return m
}

// String returns the service's name.
func (m *Monitor) String() string { return "monitor" }

// Stop ends looking for silence.
func (m *Monitor) Stop(ctx context.Context) error { return m.tasks.Stop(ctx) }

func (m *Monitor) watch(ctx context.Context, interval time.Duration) {
	last := m.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(interval):
		}
		now := m.clock.Now()
		if now.Sub(last) > 2*interval {
			// This process itself stood still, so what it has not heard says
			// nothing about the others.
			m.detector.ResetAll(now)
		}
		last = now
		for _, box := range m.detector.RemoveSilent(now) {
			m.tasks.Go(func(ctx context.Context) { m.probeSuspect(ctx, box) })
		}
	}
}

// probeSuspect asks the box itself and its other monitors before it marks the box: its
// heartbeats may go elsewhere by now, or one link may be bad.
func (m *Monitor) probeSuspect(ctx context.Context, box member.BoxID) {
	record, ok := m.view.Member(box)
	if !ok || record.Status == member.StatusSilent {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.probeTimeout)
	defer cancel()
	type answer struct{ alive, heard bool }
	others := m.otherMonitors(record)
	answers := make(chan answer, len(others)+1)
	go func() {
		alive, err := wire.NewDRPCProbeClient(m.peers.Conn(record.Peers)).Alive(callCtx, &wire.AliveRequest{})
		answers <- answer{alive: err == nil && alive.Box == string(box) && alive.Incarnation == uint64(record.Incarnation)}
	}()
	for _, other := range others {
		go func() {
			heard, err := wire.NewDRPCMonitorClient(m.peers.Conn(other)).Heard(callCtx, &wire.HeardRequest{Box: string(box)})
			answers <- answer{heard: err == nil && heard.Heard}
		}()
	}
	for range len(others) + 1 {
		got := <-answers
		if got.heard {
			return
		}
		if got.alive {
			m.detector.RecordHeartbeat(box, m.clock.Now())
			return
		}
	}
	if ctx.Err() == nil {
		m.markSilent(box)
	}
}

// otherMonitors are those of the box's monitors that are not this one.
func (m *Monitor) otherMonitors(record member.Record) []member.Address {
	ranked := rankedMonitors(record.Box, m.view.Entries(record.Region))
	others := slices.DeleteFunc(ranked, func(address member.Address) bool { return address == m.ownAddress })
	return others[:min(monitorsPerBox, len(others))]
}

// Heard answers another monitor.
func (m *Monitor) Heard(_ context.Context, request *wire.HeardRequest) (*wire.HeardResponse, error) {
	return &wire.HeardResponse{Heard: m.detector.HasRecentHeartbeat(member.BoxID(request.Box), m.clock.Now())}, nil
}

// markSilent publishes the version directly above the box's own.
func (m *Monitor) markSilent(box member.BoxID) {
	record, ok := m.view.Member(box)
	if !ok || record.Status == member.StatusSilent {
		return
	}
	record.Status = member.StatusSilent
	item, err := record.Item()
	if err != nil {
		m.log.Error().Str("box", string(box)).Err(err).Msg("cannot mark box silent")
		return
	}
	m.log.Warn().Str("box", string(box)).Msg("box is silent")
	m.metrics.markedSilent.Inc()
	m.replica.Publish(item)
}

// Heartbeat answers a box.
func (m *Monitor) Heartbeat(_ context.Context, request *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	box := member.BoxID(request.Box)
	m.detector.RecordHeartbeat(box, m.clock.Now())
	m.metrics.heartbeats.Inc()
	if len(request.Record) > 0 {
		if err := m.publishRecord(request.Record); err != nil {
			return nil, err
		}
	}
	answer := &wire.HeartbeatResponse{}
	m.fillKnownVersion(box, answer)
	m.fillAssignment(box, request, answer)
	for _, wanted := range request.Wanted {
		if swarm, ok := m.swarmFor(box, wanted); ok {
			answer.Swarms = append(answer.Swarms, swarm)
		}
	}
	answer.Entries = m.entriesFor(box)
	return answer, nil
}

func (m *Monitor) publishRecord(raw []byte) error {
	record, err := member.ParseRecord(raw)
	if err != nil {
		return err
	}
	m.replica.Publish(state.Item{
		Key: member.KeyPrefix + string(record.Box), Version: record.Version(), Value: raw,
	})
	return nil
}

func (m *Monitor) fillKnownVersion(box member.BoxID, answer *wire.HeartbeatResponse) {
	item, ok := m.replica.store.Lookup(member.KeyPrefix + string(box))
	if !ok {
		return
	}
	answer.KnownIncarnation = item.Version.Major
	answer.KnownSequence = item.Version.Minor / 2
	answer.Silent = item.Deleted || item.Version.Minor%2 == 1
}

func (m *Monitor) fillAssignment(box member.BoxID, request *wire.HeartbeatRequest, answer *wire.HeartbeatResponse) {
	held, ok := m.view.assignment(box)
	if !ok {
		return
	}
	answer.AssignmentMajor, answer.AssignmentMinor = held.version.Major, held.version.Minor
	theirs := state.Version{Major: request.AssignmentMajor, Minor: request.AssignmentMinor}
	if held.version.Compare(theirs) > 0 {
		answer.Assignment = held.raw
	}
}

// swarmFor names the neighbours of a box for one manifest and, where the box does
// not know them yet, all that want it. Boxes that are not up are left out.
func (m *Monitor) swarmFor(box member.BoxID, wanted *wire.Wanted) (*wire.Swarm, bool) {
	manifest, err := weights.DigestFromBytes(wanted.Manifest)
	if err != nil {
		return nil, false
	}
	self, _ := m.view.Member(box)
	carriers := m.swarmMembers(manifest)
	swarm := &wire.Swarm{Manifest: wanted.Manifest, DrawersHash: hashBoxes(carriers)}
	if swarm.DrawersHash != wanted.DrawersHash {
		swarm.Drawers = swarmPeers(self, carriers)
	}
	swarm.Neighbours = swarmPeers(self, member.Neighbours(self, carriers))
	return swarm, true
}

// swarmMembers are the boxes that are up and carry a manifest or are to.
func (m *Monitor) swarmMembers(manifest weights.Digest) []member.Record {
	boxes := m.view.Swarm(manifest)
	records := make([]member.Record, 0, len(boxes))
	for _, box := range boxes {
		if record, ok := m.view.Member(box); ok && record.Status == member.StatusUp {
			records = append(records, record)
		}
	}
	return records
}

func swarmPeers(self member.Record, records []member.Record) []*wire.SwarmPeer {
	peers := make([]*wire.SwarmPeer, 0, len(records))
	for _, record := range records {
		peers = append(peers, &wire.SwarmPeer{
			Box: string(record.Box), Address: string(record.Peers), Far: record.Region != self.Region,
		})
	}
	return peers
}

func hashBoxes(records []member.Record) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, record := range records {
		_, _ = digest.WriteString(string(record.Box))
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// entriesFor ranks the entry boxes of a box's region; where it has none, all.
func (m *Monitor) entriesFor(box member.BoxID) []string {
	self, _ := m.view.Member(box)
	entries := m.view.Entries(self.Region)
	if len(entries) < monitorsPerBox {
		entries = m.view.Entries("")
	}
	var out []string
	for _, address := range rankedMonitors(box, entries) {
		out = append(out, string(address))
	}
	return out
}

// rankedMonitors orders the entry boxes that hear a box.
func rankedMonitors(box member.BoxID, entries []member.Record) []member.Address {
	addresses := make([]member.Address, 0, len(entries))
	for _, entry := range entries {
		if entry.Box != box {
			addresses = append(addresses, entry.Peers)
		}
	}
	return member.Rank(string(box), addresses, maxAnnouncedEntries)
}

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

// maxAnnouncedEntries is the maximum number of entry boxes announced to a box, its monitors first.
const maxAnnouncedEntries = 5

// Monitor receives heartbeats. It publishes the records of boxes, marks boxes silent,
// and sends agents their assignments and neighbours.
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
	// probeTimeout bounds the calls to a box without heartbeats and to its other monitors.
	probeTimeout time.Duration
}

// NewMonitor starts a monitor. A box without heartbeats for the duration silence is
// marked silent unless probes show that it is alive.
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

// Stop ends the detection of silent boxes.
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
			// This process was paused, so missing heartbeats don't show that the other boxes are silent.
			m.detector.ResetAll(now)
		}
		last = now
		for _, box := range m.detector.RemoveSilent(now) {
			m.tasks.Go(func(ctx context.Context) { m.probeSuspect(ctx, box) })
		}
	}
}

// probeSuspect marks a box silent unless the box itself or one of its other monitors
// shows that it is alive. The box may now send its heartbeats to other monitors,
// or a single link may be down.
func (m *Monitor) probeSuspect(ctx context.Context, box member.BoxID) {
	record, ok := m.view.Member(box)
	if !ok || record.Status == member.StatusSilent {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.probeTimeout)
	defer cancel()
	type probeResult struct{ alive, hasHeartbeat bool }
	others := m.otherMonitors(record)
	results := make(chan probeResult, len(others)+1)
	go func() {
		alive, err := wire.NewDRPCProbeClient(m.peers.Conn(record.Peers)).Alive(callCtx, &wire.AliveRequest{})
		results <- probeResult{alive: err == nil && alive.Box == string(box) && alive.Incarnation == uint64(record.Incarnation)}
	}()
	for _, other := range others {
		go func() {
			response, err := wire.NewDRPCMonitorClient(m.peers.Conn(other)).Heard(callCtx, &wire.HeardRequest{Box: string(box)})
			results <- probeResult{hasHeartbeat: err == nil && response.Heard}
		}()
	}
	for range len(others) + 1 {
		result := <-results
		if result.hasHeartbeat {
			return
		}
		if result.alive {
			m.detector.RecordHeartbeat(box, m.clock.Now())
			return
		}
	}
	if ctx.Err() == nil {
		m.markSilent(box)
	}
}

// otherMonitors returns the monitors of a box without this one.
func (m *Monitor) otherMonitors(record member.Record) []member.Address {
	ranked := rankedMonitors(record.Box, m.view.Entries(record.Region))
	others := slices.DeleteFunc(ranked, func(address member.Address) bool { return address == m.ownAddress })
	return others[:min(monitorsPerBox, len(others))]
}

// Heard handles the call of another monitor: it reports whether this monitor recently
// received a heartbeat of a box.
func (m *Monitor) Heard(_ context.Context, request *wire.HeardRequest) (*wire.HeardResponse, error) {
	return &wire.HeardResponse{Heard: m.detector.HasRecentHeartbeat(member.BoxID(request.Box), m.clock.Now())}, nil
}

// markSilent publishes a silent record for a box. Its version directly follows that of the box's
// own record, so that the next record of the box replaces it.
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

// Heartbeat handles a heartbeat of a box.
func (m *Monitor) Heartbeat(_ context.Context, request *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	box := member.BoxID(request.Box)
	m.detector.RecordHeartbeat(box, m.clock.Now())
	m.metrics.heartbeats.Inc()
	if len(request.Record) > 0 {
		if err := m.publishRecord(request.Record); err != nil {
			return nil, err
		}
	}
	response := &wire.HeartbeatResponse{}
	m.noteEpoch(request.AssignmentMajor)
	m.fillKnownVersion(box, response)
	m.fillAssignment(box, request, response)
	for _, desired := range request.Wanted {
		if swarm, ok := m.swarmFor(box, desired); ok {
			response.Swarms = append(response.Swarms, swarm)
		}
	}
	response.Entries = m.entriesFor(box)
	return response, nil
}

// noteEpoch publishes the epoch of an assignment that a box holds if no plan of that epoch or a later one is known.
func (m *Monitor) noteEpoch(epoch uint64) {
	if epoch > m.view.LatestEpoch() {
		m.replica.Publish(state.Item{Key: reportedEpochKey, Version: state.Version{Major: epoch}})
	}
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

func (m *Monitor) fillKnownVersion(box member.BoxID, response *wire.HeartbeatResponse) {
	item, ok := m.replica.store.Lookup(member.KeyPrefix + string(box))
	if !ok {
		return
	}
	response.KnownIncarnation = item.Version.Major
	response.KnownSequence = item.Version.Minor / 2
	response.Silent = item.Deleted || item.Version.Minor%2 == 1
}

func (m *Monitor) fillAssignment(box member.BoxID, request *wire.HeartbeatRequest, response *wire.HeartbeatResponse) {
	current, ok := m.view.assignment(box)
	if !ok {
		return
	}
	response.AssignmentMajor, response.AssignmentMinor = current.version.Major, current.version.Minor
	known := state.Version{Major: request.AssignmentMajor, Minor: request.AssignmentMinor}
	if current.version.Compare(known) > 0 {
		response.Assignment = current.raw
	}
}

// swarmFor returns the neighbours of a box for one manifest. If the box has an outdated list
// of all boxes that are assigned the manifest, it returns that list too.
// Boxes that are not up are omitted.
func (m *Monitor) swarmFor(box member.BoxID, desired *wire.Wanted) (*wire.Swarm, bool) {
	manifest, err := weights.DigestFromBytes(desired.Manifest)
	if err != nil {
		return nil, false
	}
	self, _ := m.view.Member(box)
	members := m.swarmMembers(manifest)
	swarm := &wire.Swarm{Manifest: desired.Manifest, DrawersHash: hashBoxes(members)}
	if swarm.DrawersHash != desired.DrawersHash {
		swarm.Drawers = swarmPeers(self, members)
	}
	swarm.Neighbours = swarmPeers(self, member.Neighbours(self, members))
	return swarm, true
}

// swarmMembers returns the boxes that are up and are assigned a manifest.
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

// entriesFor returns the ranked entry boxes of a box's region, or those of all regions
// if its region has fewer than monitorsPerBox.
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

// rankedMonitors returns the addresses of the entry boxes that may monitor a box, the preferred first.
func rankedMonitors(box member.BoxID, entries []member.Record) []member.Address {
	addresses := make([]member.Address, 0, len(entries))
	for _, entry := range entries {
		if entry.Box != box {
			addresses = append(addresses, entry.Peers)
		}
	}
	return member.Rank(string(box), addresses, maxAnnouncedEntries)
}

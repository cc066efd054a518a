package direct

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// silentExpiry is how long a silent entry box stays in the membership. A box that was killed restarts well within
// this time, so the division into cells does not change meanwhile.
const silentExpiry = 20 * time.Second

// Membership holds the records of all entry boxes, including this one. Each box writes a record of itself. The
// boxes that follow it mark it silent when they lose it, and it refutes the mark with a newer record. Records pass
// from box to box, so that a box knows all others but follows only a few.
type Membership struct {
	clock clockwork.Clock
	log   zerolog.Logger
	store *state.Store

	mu  sync.Mutex
	own member.Record
	// records holds all records by box name, silentSince maps silent boxes to the time at which this box set
	// or received their mark.
	records     map[member.BoxID]member.Record
	silentSince map[member.BoxID]time.Time
	// hasLeft holds the silent boxes that had announced a planned stop.
	hasLeft map[member.BoxID]bool
	// retired are the boxes that have been removed from the records and may still use a share of the extra retries.
	retired retiredBoxes
	// reportedFleets are the sizes of the fleet that agents have reported, by the agent's address.
	reportedFleets map[member.Address]reportedFleet
	// logged limits the log lines about records of other boxes.
	logged recordLogBudget
	// sorted caches the records sorted by box name; nil after a change.
	sorted  []member.Record
	changed chan struct{}
}

// NewMembership returns a membership that holds only the record of this box.
func NewMembership(own member.Record, clock clockwork.Clock, log zerolog.Logger) *Membership {
	m := &Membership{
		clock: clock, log: log, store: state.NewStore(rand.Uint64()), own: own,
		records: make(map[member.BoxID]member.Record), silentSince: make(map[member.BoxID]time.Time), hasLeft: make(map[member.BoxID]bool),
		retired: make(retiredBoxes), reportedFleets: make(map[member.Address]reportedFleet), changed: make(chan struct{}),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.putLocal(own)
	return m
}

// putLocal stores a record written by this box and notifies of the change. The lock must be held.
func (m *Membership) putLocal(record member.Record) {
	item, err := record.Item()
	if err != nil {
		m.log.Error().Str("box", string(record.Box)).Err(err).Msg("encoding an entry box record failed; not storing it")
		return
	}
	m.store.Apply([]state.Item{item}, state.OriginLocal)
	m.put(record)
	m.notify()
}

// put stores a record and updates silentSince. The lock must be held.
func (m *Membership) put(record member.Record) {
	if m.records[record.Box].Status == member.StatusLeaving && record.Status == member.StatusSilent {
		m.hasLeft[record.Box] = true
	}
	m.records[record.Box] = record
	m.sorted = nil
	delete(m.retired, record.Box)
	if record.Status != member.StatusSilent {
		delete(m.silentSince, record.Box)
		delete(m.hasLeft, record.Box)
	} else if _, marked := m.silentSince[record.Box]; !marked {
		m.silentSince[record.Box] = m.clock.Now()
	}
}

// notify closes the channel returned by Changed. The lock must be held.
func (m *Membership) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetStatus updates the status in the record of this box.
func (m *Membership) SetStatus(status member.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own.Status == status {
		return
	}
	m.own.Status = status
	m.own.Sequence++
	m.putLocal(m.own)
}

// recordLogInterval is the time in which at most maxItemsLogged records of other boxes are logged each.
const recordLogInterval = time.Second

// recordLogBudget limits the log lines about single records: when a fleet starts, each box receives hundreds of records,
// and hundreds of boxes do so at once.
type recordLogBudget struct {
	since time.Time
	lines int
}

// exceeds reports whether a number of records are too many to be logged each. Otherwise it takes them from the budget.
func (b *recordLogBudget) exceeds(records int, now time.Time) bool {
	if now.Sub(b.since) >= recordLogInterval {
		*b = recordLogBudget{since: now}
	}
	if b.lines+records > maxItemsLogged {
		return true
	}
	b.lines += records
	return false
}

// Merge applies records received from another box. Records that are not newer than the known ones are ignored.
func (m *Membership) Merge(items []state.Item, from string) {
	// The lock also covers the store: without it, of two records received at the same moment the older one could
	// be put last and stay for good.
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := m.store.Apply(items, state.OriginRemote)
	if len(fresh) == 0 {
		return
	}
	log, now := m.log, m.clock.Now()
	if m.logged.exceeds(len(fresh), now) {
		m.log.Info().Int("records", len(fresh)).Str("from", from).Msg("many entry box records received")
		log = m.log.Level(zerolog.WarnLevel)
	}
	for _, item := range fresh {
		record, err := member.ParseRecord(item.Value)
		if err != nil {
			m.log.Error().Str("record", item.Key).Str("from", from).Err(err).Msg("decoding an entry box record failed; skipping it")
			continue
		}
		if record.Box == m.own.Box {
			m.refute(record, from)
			continue
		}
		if before, known := m.records[record.Box]; !known || before.Status != record.Status {
			log.Info().Str("box", string(record.Box)).Str("region", string(record.Region)).Str("status", string(record.Status)).
				Uint64("incarnation", uint64(record.Incarnation)).Str("from", from).Msg("entry box record received")
		}
		m.put(record)
	}
	m.notify()
}

// refute replaces a record of this box that is newer than its own by a still newer one: either another box has
// marked it silent, or its clock was ahead at an earlier start. The lock must be held.
func (m *Membership) refute(reported member.Record, from string) {
	m.log.Warn().Str("status", string(reported.Status)).Uint64("incarnation", uint64(reported.Incarnation)).Str("from", from).Msg("others hold a newer record of this box")
	m.own.Incarnation = max(m.own.Incarnation, reported.Incarnation)
	m.own.Sequence = max(m.own.Sequence, reported.Sequence) + 1
	m.putLocal(m.own)
}

// MarkSilent marks a followed box silent. It ignores unknown boxes, boxes already marked, and this box.
func (m *Membership) MarkSilent(box member.BoxID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, known := m.records[box]
	if !known || box == m.own.Box || record.Status == member.StatusSilent {
		return
	}
	record.Status = member.StatusSilent
	m.log.Info().Str("box", string(box)).Uint64("incarnation", uint64(record.Incarnation)).Msg("entry box marked silent")
	m.putLocal(record)
}

// Expire removes the boxes that have been silent for silentExpiry. Their shares of the extra retries are kept for longer.
func (m *Membership) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for box, since := range m.silentSince {
		if now.Sub(since) < silentExpiry {
			continue
		}
		m.log.Info().Str("box", string(box)).Dur("silent_ms", now.Sub(since)).Msg("silent entry box expired; removing it from the membership")
		m.retired[box] = retiredBox{claim: m.records[box].RetryClaim, silentSince: since, hasLeft: m.hasLeft[box]}
		delete(m.silentSince, box)
		delete(m.hasLeft, box)
		delete(m.records, box)
		m.store.Purge(member.KeyPrefix + string(box))
		m.sorted = nil
		m.notify()
	}
	m.retired.expire(now)
}

// All returns the records of all entry boxes, including this one and silent ones, sorted by name. The slice must
// not be modified.
func (m *Membership) All() []member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sorted == nil {
		m.sorted = slices.SortedFunc(maps.Values(m.records), func(a, b member.Record) int { return strings.Compare(string(a.Box), string(b.Box)) })
	}
	return m.sorted
}

// Own returns the record of this box.
func (m *Membership) Own() member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own
}

// Record returns the record of a box; ok is false if there is none.
func (m *Membership) Record(box member.BoxID) (record member.Record, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok = m.records[box]
	return record, ok
}

// Changed returns a channel that is closed at the next change.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// UpCount returns the number of entry boxes that are not silent, at least 1.
func (m *Membership) UpCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, len(m.records)-len(m.silentSince))
}

// sampleSize is the maximum number of entry box addresses sent to an agent.
const sampleSize = 8

// SampleAddresses returns the peer addresses of up to sampleSize random entry boxes that are neither silent nor
// leaving, so that agents spread over all boxes. The boxes are from the given region if it has at least
// minSampleRegional, else from all regions.
func (m *Membership) SampleAddresses(region member.Region) []string {
	var local, remote []string
	for _, record := range m.All() {
		switch {
		case record.Status == member.StatusSilent || record.Status == member.StatusLeaving:
		case record.Region == region:
			local = append(local, string(record.Peers))
		default:
			remote = append(remote, string(record.Peers))
		}
	}
	if len(local) < minSampleRegional {
		local = append(local, remote...)
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	return local[:min(len(local), sampleSize)]
}

// minSampleRegional is the minimum number of entry boxes in an agent's region for a sample without other regions.
const minSampleRegional = 3

// minDigestRecords is the number of records from which digests of all records are smaller than the records.
const minDigestRecords = 64

// recordDigests returns the digests of all records, or nil if these are so few that it takes less to send them.
func (m *Membership) recordDigests() []uint64 {
	if m.store.Len() < minDigestRecords {
		return nil
	}
	digests := m.store.Digests()
	return digests[:]
}

// memberCursor is the position of one status stream in the changes of the membership.
type memberCursor struct {
	membership *Membership
	// all selects the records of all boxes instead of only this box's own.
	all    bool
	cursor state.Cursor
	// pending are records that are sent before the changes after cursor.
	pending []state.Item
	// more is set if records may be left after those that next returned last.
	more bool
	// own is the version of this box's record that was sent last.
	own state.Version
}

// newMemberCursor returns the cursor of a stream that starts with all records, or with those that the receiver may lack if
// it has sent the digests of its records.
func newMemberCursor(m *Membership, request *wire.FollowRequest) *memberCursor {
	c := &memberCursor{membership: m, all: request.Members}
	if c.all && len(request.RecordDigests) == state.Buckets {
		// A record that changes between the two calls is sent twice.
		c.cursor = m.store.Tail()
		c.pending, _ = m.store.Differing(state.Digests(request.RecordDigests), math.MaxInt)
	}
	return c
}

// next returns the records that have changed since the last call.
func (c *memberCursor) next() []state.Item {
	if len(c.pending) > 0 {
		n := min(len(c.pending), maxBatchItems)
		items := c.pending[:n]
		c.pending, c.more = c.pending[n:], true
		return items
	}
	if c.all {
		batch := c.membership.store.Since(c.cursor, maxBatchItems)
		c.cursor, c.more = batch.Next, len(batch.Items) == maxBatchItems
		return batch.Items
	}
	own := c.membership.Own()
	if own.Version() == c.own {
		return nil
	}
	item, err := own.Item()
	if err != nil {
		c.membership.log.Error().Err(err).Msg("encoding the own record failed; not sending it")
		return nil
	}
	c.own = own.Version()
	return []state.Item{item}
}

package direct

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// silentExpiry is for how long an entry box that fell silent is still counted: one that was
// killed is back well before, and the fleet is not divided anew meanwhile.
const silentExpiry = 20 * time.Second

// Membership is what is known of all entry boxes, this one included. Each box writes a record of
// itself; those that hear it directly mark it silent once they don't, and it overrules that
// with its next record. Records pass from box to box, so that one box hears few others
// directly and knows all of them.
type Membership struct {
	clock clockwork.Clock
	log   zerolog.Logger
	store *state.Store

	mu  sync.Mutex
	own member.Record
	// records are all records, by name; silentSince is since when those were marked that are
	// silent.
	records     map[member.BoxID]member.Record
	silentSince map[member.BoxID]time.Time
	// sorted are the records in the order of their names; nil if they have changed since.
	sorted  []member.Record
	changed chan struct{}
}

// NewMembership returns members that know only this box.
func NewMembership(own member.Record, clock clockwork.Clock, log zerolog.Logger) *Membership {
	m := &Membership{
		clock: clock, log: log, store: state.NewStore(rand.Uint64()), own: own,
		records: make(map[member.BoxID]member.Record), silentSince: make(map[member.BoxID]time.Time), changed: make(chan struct{}),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.putLocal(own)
	return m
}

// putLocal takes a record that was made here. The lock must be held.
func (m *Membership) putLocal(record member.Record) {
	item, err := record.Item()
	if err != nil {
		m.log.Error().Str("box", string(record.Box)).Err(err).Msg("record not written")
		return
	}
	m.store.Apply([]state.Item{item}, state.OriginLocal)
	m.put(record)
	m.notify()
}

// put keeps a record. The lock must be held.
func (m *Membership) put(record member.Record) {
	m.records[record.Box] = record
	m.sorted = nil
	if record.Status != member.StatusSilent {
		delete(m.silentSince, record.Box)
	} else if _, marked := m.silentSince[record.Box]; !marked {
		m.silentSince[record.Box] = m.clock.Now()
	}
}

// notify wakes those who wait for a change. The lock must be held.
func (m *Membership) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetStatus tells what this box is doing.
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

// Merge takes what another box tells.
func (m *Membership) Merge(items []state.Item, from string) {
	// What is kept follows the order in which the store takes records: of two that came at the
	// same moment the older one was kept for good.
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := m.store.Apply(items, state.OriginRemote)
	if len(fresh) == 0 {
		return
	}
	log := m.log
	if len(fresh) > maxItemsLogged {
		m.log.Info().Int("records", len(fresh)).Str("from", from).Msg("many entry boxes heard of")
		log = m.log.Level(zerolog.WarnLevel)
	}
	for _, item := range fresh {
		record, err := member.ParseRecord(item.Value)
		if err != nil {
			m.log.Error().Str("record", item.Key).Str("from", from).Err(err).Msg("record not taken")
			continue
		}
		if record.Box == m.own.Box {
			m.refute(record, from)
			continue
		}
		if before, known := m.records[record.Box]; !known || before.Status != record.Status {
			log.Info().Str("box", string(record.Box)).Str("region", string(record.Region)).Str("status", string(record.Status)).
				Uint64("incarnation", uint64(record.Incarnation)).Str("from", from).Msg("entry box heard of")
		}
		m.put(record)
	}
	m.notify()
}

// refute answers a newer record of this box than its own: it was taken for silent, or the
// time of day was later when it started the last time. The lock must be held.
func (m *Membership) refute(told member.Record, from string) {
	m.log.Warn().Str("status", string(told.Status)).Uint64("incarnation", uint64(told.Incarnation)).Str("from", from).Msg("others hold a newer record of this box")
	m.own.Incarnation = max(m.own.Incarnation, told.Incarnation)
	m.own.Sequence = max(m.own.Sequence, told.Sequence) + 1
	m.putLocal(m.own)
}

// MarkSilent notes that a box is silent which this one heard directly.
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

// Expire forgets the boxes that have been silent for long.
func (m *Membership) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for box, since := range m.silentSince {
		if now.Sub(since) < silentExpiry {
			continue
		}
		m.log.Info().Str("box", string(box)).Dur("silent_ms", now.Sub(since)).Msg("entry box forgotten")
		delete(m.silentSince, box)
		delete(m.records, box)
		m.store.Purge(member.KeyPrefix + string(box))
		m.sorted = nil
		m.notify()
	}
}

// All returns the records of all entry boxes, in the order of their names, this box and silent
// ones included. They must not be changed.
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

// Record returns what is known of one box.
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

// UpCount returns how many entry boxes there are that are not silent, at least this one.
func (m *Membership) UpCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, len(m.records)-len(m.silentSince))
}

// sampleSize is how many entry boxes an agent is told to choose from.
const sampleSize = 8

// SampleAddresses returns the addresses of some entry boxes, drawn anew each time so that agents spread
// over all of them: of a region if there are any, else of all.
func (m *Membership) SampleAddresses(region member.Region) []string {
	var near, far []string
	for _, record := range m.All() {
		switch {
		case record.Status == member.StatusSilent || record.Status == member.StatusLeaving:
		case record.Region == region:
			near = append(near, string(record.Peers))
		default:
			far = append(far, string(record.Peers))
		}
	}
	if len(near) < minSampleRegional {
		near = append(near, far...)
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(len(near), sampleSize)]
}

// minSampleRegional is how many entry boxes of its region suffice for an agent.
const minSampleRegional = 3

// memberCursor is how far the receiver of one stream was told the records.
type memberCursor struct {
	membership *Membership
	// all is set for one that is told every record, and not only this box's own.
	all    bool
	cursor state.Cursor
	own    state.Version
}

// next returns the records that the receiver does not know yet.
func (c *memberCursor) next() []state.Item {
	if c.all {
		batch := c.membership.store.Since(c.cursor, maxBatchItems)
		c.cursor = batch.Next
		return batch.Items
	}
	own := c.membership.Own()
	if own.Version() == c.own {
		return nil
	}
	item, err := own.Item()
	if err != nil {
		c.membership.log.Error().Err(err).Msg("own record not told")
		return nil
	}
	c.own = own.Version()
	return []state.Item{item}
}

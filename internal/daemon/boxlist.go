package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	boxListInterval = 5 * time.Second
	// maxAbsentLists is in how many lists in a row a silent box must be absent
	// before it is forgotten.
	maxAbsentLists = 2
)

// leavingPrefix starts the key of a hint that the platform lists a box as
// leaving. Its version is the incarnation that it is about.
const leavingPrefix = "leaving/"

// BoxListPoller compares the platform's lagging box list with the records. A box that
// is listed as leaving gets no new work, even if it has not said so itself; a
// silent box that is no longer listed is forgotten.
type BoxListPoller struct {
	boxList provider.BoxList
	view    *View
	replica *Replica
	clock   clockwork.Clock
	log     zerolog.Logger
	isRelay func() bool
	tasks   *kernel.TaskGroup

	mu           sync.Mutex
	entries      []member.Address
	absentCounts map[member.BoxID]int
}

// NewBoxListPoller reads the list once, then goes on reading it while isRelay holds.
func NewBoxListPoller(list provider.BoxList, view *View, replica *Replica, clock clockwork.Clock, log zerolog.Logger, isRelay func() bool) *BoxListPoller {
	l := &BoxListPoller{
		boxList: list, view: view, replica: replica, clock: clock, log: log, isRelay: isRelay,
		tasks: kernel.NewTaskGroup(), absentCounts: make(map[member.BoxID]int),
	}
	l.tasks.Go(l.run)
	return l
}

// String returns the service's name.
func (l *BoxListPoller) String() string { return "lister" }

// Stop ends reading the list.
func (l *BoxListPoller) Stop(ctx context.Context) error { return l.tasks.Stop(ctx) }

// Entries returns the peer addresses of the entry boxes last listed.
func (l *BoxListPoller) Entries() []member.Address {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries
}

func (l *BoxListPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.isRelay() {
			l.poll(ctx)
		}
		select {
		case <-ctx.Done():
		case <-l.clock.After(boxListInterval):
		}
	}
}

func (l *BoxListPoller) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	listed, err := l.boxList.List(callCtx)
	if err != nil {
		l.log.Debug().Err(err).Msg("box list cannot be read")
		return
	}
	present := make(map[member.BoxID]bool, len(listed))
	var entries []member.Address
	for _, box := range listed {
		present[box.Box] = true
		if box.Role == member.RoleEntry && box.State == provider.ListedLive {
			entries = append(entries, box.PeerAddress)
		}
		if box.State == provider.ListedLeaving {
			l.publishLeaving(box.Box)
		}
	}
	l.mu.Lock()
	l.entries = entries
	l.mu.Unlock()
	l.deleteAbsent(present)
}

func (l *BoxListPoller) publishLeaving(box member.BoxID) {
	record, ok := l.view.Member(box)
	if !ok || record.Status != member.StatusUp {
		return
	}
	l.log.Info().Str("box", string(box)).Msg("platform lists box as leaving")
	l.replica.Publish(state.Item{Key: leavingPrefix + string(box), Version: state.Version{Major: uint64(record.Incarnation)}})
}

func (l *BoxListPoller) deleteAbsent(present map[member.BoxID]bool) {
	for _, record := range l.view.Members() {
		if present[record.Box] || record.Status == member.StatusUp {
			delete(l.absentCounts, record.Box)
			continue
		}
		l.absentCounts[record.Box]++
		if l.absentCounts[record.Box] < maxAbsentLists {
			continue
		}
		delete(l.absentCounts, record.Box)
		l.log.Info().Str("box", string(record.Box)).Msg("box forgotten")
		l.replica.Publish(state.Item{
			Key:     member.KeyPrefix + string(record.Box),
			Version: state.Version{Major: uint64(record.Incarnation), Minor: math.MaxUint64},
			Deleted: true,
		})
	}
}

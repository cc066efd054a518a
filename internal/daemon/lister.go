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
	listInterval = 5 * time.Second
	// absentLists is in how many lists in a row a silent box must be absent
	// before it is forgotten.
	absentLists = 2
)

// leavingPrefix starts the key of a hint that the platform lists a box as
// leaving. Its version is the incarnation that it is about.
const leavingPrefix = "leaving/"

// Lister compares the platform's lagging box list with the records. A box that
// is listed as leaving gets no new work, even if it has not said so itself; a
// silent box that is no longer listed is forgotten.
type Lister struct {
	list    provider.BoxList
	view    *View
	replica *Replica
	clock   clockwork.Clock
	log     zerolog.Logger
	isRelay func() bool
	duties  *kernel.TaskGroup

	mu      sync.Mutex
	entries []member.Address
	absent  map[member.BoxID]int
}

// NewLister reads the list once, then goes on reading it while isRelay holds.
func NewLister(list provider.BoxList, view *View, replica *Replica, clock clockwork.Clock, log zerolog.Logger, isRelay func() bool) *Lister {
	l := &Lister{
		list: list, view: view, replica: replica, clock: clock, log: log, isRelay: isRelay,
		duties: kernel.NewTaskGroup(), absent: make(map[member.BoxID]int),
	}
	l.duties.Go(l.follow)
	return l
}

// String returns the service's name.
func (l *Lister) String() string { return "lister" }

// Stop ends reading the list.
func (l *Lister) Stop(ctx context.Context) error { return l.duties.Stop(ctx) }

// Entries returns the peer addresses of the entry boxes last listed.
func (l *Lister) Entries() []member.Address {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries
}

func (l *Lister) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if l.isRelay() {
			l.once(ctx)
		}
		select {
		case <-ctx.Done():
		case <-l.clock.After(listInterval):
		}
	}
}

func (l *Lister) once(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := l.list.List(callCtx)
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
			l.hintLeaving(box.Box)
		}
	}
	l.mu.Lock()
	l.entries = entries
	l.mu.Unlock()
	l.forget(present)
}

func (l *Lister) hintLeaving(box member.BoxID) {
	record, ok := l.view.Member(box)
	if !ok || record.Status != member.StatusUp {
		return
	}
	l.log.Info().Str("box", string(box)).Msg("platform lists box as leaving")
	l.replica.Publish(state.Item{Key: leavingPrefix + string(box), Version: state.Version{Major: uint64(record.Incarnation)}})
}

func (l *Lister) forget(present map[member.BoxID]bool) {
	for _, record := range l.view.Members() {
		if present[record.Box] || record.Status == member.StatusUp {
			delete(l.absent, record.Box)
			continue
		}
		l.absent[record.Box]++
		if l.absent[record.Box] < absentLists {
			continue
		}
		delete(l.absent, record.Box)
		l.log.Info().Str("box", string(record.Box)).Msg("box forgotten")
		l.replica.Publish(state.Item{
			Key:     member.KeyPrefix + string(record.Box),
			Version: state.Version{Major: uint64(record.Incarnation), Minor: math.MaxUint64},
			Deleted: true,
		})
	}
}

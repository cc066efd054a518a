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
	// maxAbsentLists is the number of consecutive lists without a box after which its record
	// is deleted, if the box is not up.
	maxAbsentLists = 2
)

// leavingPrefix is the key prefix of hints that the platform lists a box as leaving.
// The major version of the item is the incarnation of the box.
const leavingPrefix = "leaving/"

// BoxListPoller compares the platform's box list, which lags behind, with the records of boxes.
// A box that is listed as leaving gets no new work, even if it has not announced this itself.
// The record of a box that is neither up nor listed is deleted.
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

// NewBoxListPoller starts a poller, which reads the list every 5 seconds while isRelay returns true.
func NewBoxListPoller(list provider.BoxList, view *View, replica *Replica, clock clockwork.Clock, log zerolog.Logger, isRelay func() bool) *BoxListPoller {
	p := &BoxListPoller{
		boxList: list, view: view, replica: replica, clock: clock, log: log, isRelay: isRelay,
		tasks: kernel.NewTaskGroup(), absentCounts: make(map[member.BoxID]int),
	}
	p.tasks.Go(p.run)
	return p
}

// String returns the service's name.
func (p *BoxListPoller) String() string { return "lister" }

// Stop ends the polling.
func (p *BoxListPoller) Stop(ctx context.Context) error { return p.tasks.Stop(ctx) }

// Entries returns the peer addresses of the live entry boxes in the most recent list.
func (p *BoxListPoller) Entries() []member.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries
}

func (p *BoxListPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if p.isRelay() {
			p.poll(ctx)
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(boxListInterval):
		}
	}
}

func (p *BoxListPoller) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	listed, err := p.boxList.List(callCtx)
	if err != nil {
		p.log.Debug().Err(err).Msg("cannot read box list; retrying at the next poll")
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
			p.publishLeaving(box.Box)
		}
	}
	p.mu.Lock()
	p.entries = entries
	p.mu.Unlock()
	p.deleteAbsent(present)
}

func (p *BoxListPoller) publishLeaving(box member.BoxID) {
	record, ok := p.view.Member(box)
	if !ok || record.Status != member.StatusUp {
		return
	}
	p.log.Info().Str("box", string(box)).Msg("platform lists box as leaving")
	p.replica.Publish(state.Item{Key: leavingPrefix + string(box), Version: state.Version{Major: uint64(record.Incarnation)}})
}

func (p *BoxListPoller) deleteAbsent(present map[member.BoxID]bool) {
	for _, record := range p.view.Members() {
		if present[record.Box] || record.Status == member.StatusUp {
			delete(p.absentCounts, record.Box)
			continue
		}
		p.absentCounts[record.Box]++
		if p.absentCounts[record.Box] < maxAbsentLists {
			continue
		}
		delete(p.absentCounts, record.Box)
		p.log.Info().Str("box", string(record.Box)).Msg("record of absent box deleted")
		p.replica.Publish(state.Item{
			Key:     member.KeyPrefix + string(record.Box),
			Version: state.Version{Major: uint64(record.Incarnation), Minor: math.MaxUint64},
			Deleted: true,
		})
	}
}

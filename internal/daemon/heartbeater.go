package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// monitorsPerBox is how many entry boxes hear each box.
const monitorsPerBox = 2

// HeartbeaterOptions are the seams of a Heart.
type HeartbeaterOptions struct {
	Peers    *PeerPool
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Interval time.Duration
	// Monitors names entry boxes, the preferred first.
	Monitors func() []member.Address
	// FillRequest adds what goes with each heartbeat, beside the record.
	FillRequest func(request *wire.HeartbeatRequest)
	// OnResponse is told each answer.
	OnResponse func(monitor member.Address, answer *wire.HeartbeatResponse)
	// OnChange is told each new version of the record, before it is sent.
	OnChange func(record member.Record)
}

// Heartbeater holds the box's own record and sends heartbeats to its monitors.
type Heartbeater struct {
	options HeartbeaterOptions
	tasks   *kernel.TaskGroup
	wake    chan struct{}

	mu     sync.Mutex
	record member.Record
	// knownVersions is the version that each monitor is known to hold.
	knownVersions map[member.Address]state.Version
}

// NewHeartbeater starts to send heartbeats for a record. Its incarnation is the time
// of the start, so that it goes up with each start.
func NewHeartbeater(record member.Record, options HeartbeaterOptions) *Heartbeater {
	record.Incarnation = member.Incarnation(options.Clock.Now().UnixNano())
	record.Sequence = 1
	record.Status = member.StatusUp
	h := &Heartbeater{
		options: options, record: record,
		tasks:         kernel.NewTaskGroup(),
		wake:          make(chan struct{}, 1),
		knownVersions: make(map[member.Address]state.Version),
	}
	h.notifyChange(record)
	h.tasks.Go(h.run)
	return h
}

// String returns the service's name.
func (h *Heartbeater) String() string { return "heart" }

// Stop ends the heartbeats.
func (h *Heartbeater) Stop(ctx context.Context) error { return h.tasks.Stop(ctx) }

// Record returns the box's own record.
func (h *Heartbeater) Record() member.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record
}

// Update changes the record and sends it at once.
func (h *Heartbeater) Update(change func(record *member.Record)) {
	h.mu.Lock()
	change(&h.record)
	h.record.Sequence++
	record := h.record
	h.mu.Unlock()
	h.notifyChange(record)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Heartbeater) notifyChange(record member.Record) {
	if h.options.OnChange != nil {
		h.options.OnChange(record)
	}
}

// Announce sends the record to the monitors now and waits for their answers.
func (h *Heartbeater) Announce(ctx context.Context) { h.sendAll(ctx) }

func (h *Heartbeater) run(ctx context.Context) {
	for {
		h.sendAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-h.options.Clock.After(h.options.Interval):
		}
	}
}

// sendAll reaches the preferred monitors; one that does not answer is replaced
// by the next that does.
func (h *Heartbeater) sendAll(ctx context.Context) {
	var wait sync.WaitGroup
	monitors := h.options.Monitors()
	spare := make(chan member.Address, len(monitors))
	for _, monitor := range monitors[min(monitorsPerBox, len(monitors)):] {
		spare <- monitor
	}
	close(spare)
	for _, monitor := range monitors[:min(monitorsPerBox, len(monitors))] {
		wait.Go(func() {
			for ok := true; ok && !h.send(ctx, monitor); {
				monitor, ok = <-spare
			}
		})
	}
	wait.Wait()
}

// send reports whether the monitor answered.
func (h *Heartbeater) send(ctx context.Context, monitor member.Address) bool {
	for range 2 {
		answer, record, err := h.call(ctx, monitor)
		if err != nil {
			h.options.Log.Debug().Str("monitor", string(monitor)).Err(err).Msg("heartbeat failed")
			return false
		}
		h.options.OnResponse(monitor, answer)
		known := state.Version{Major: answer.KnownIncarnation, Minor: answer.KnownSequence}
		h.mu.Lock()
		h.knownVersions[monitor] = known
		h.mu.Unlock()
		if h.refute(answer) {
			continue
		}
		own := state.Version{Major: uint64(record.Incarnation), Minor: record.Sequence}
		if known.Compare(own) >= 0 {
			return true
		}
	}
	return true
}

func (h *Heartbeater) call(ctx context.Context, monitor member.Address) (*wire.HeartbeatResponse, member.Record, error) {
	h.mu.Lock()
	record := h.record
	known := h.knownVersions[monitor]
	h.mu.Unlock()
	request := &wire.HeartbeatRequest{
		Box: string(record.Box), Incarnation: uint64(record.Incarnation), Sequence: record.Sequence,
	}
	own := state.Version{Major: request.Incarnation, Minor: request.Sequence}
	if known.Compare(own) < 0 {
		item, err := record.Item()
		if err != nil {
			return nil, record, err
		}
		request.Record = item.Value
	}
	h.options.FillRequest(request)
	callCtx, cancel := context.WithTimeout(ctx, max(h.options.Interval, dialTimeout))
	defer cancel()
	answer, err := wire.NewDRPCMonitorClient(h.options.Peers.Conn(monitor)).Heartbeat(callCtx, request)
	return answer, record, err
}

// refute writes a newer record when somebody has marked this box silent, or
// holds a record of a later incarnation than this one, as after a clock that
// was set back. It reports whether it did.
func (h *Heartbeater) refute(answer *wire.HeartbeatResponse) bool {
	h.mu.Lock()
	known := state.Version{Major: answer.KnownIncarnation, Minor: answer.KnownSequence}
	own := state.Version{Major: uint64(h.record.Incarnation), Minor: h.record.Sequence}
	ahead := known.Compare(own) > 0 || answer.Silent && known.Compare(own) == 0
	if ahead {
		if answer.KnownIncarnation > uint64(h.record.Incarnation) {
			h.record.Incarnation = member.Incarnation(answer.KnownIncarnation + 1)
		}
		h.record.Sequence = max(h.record.Sequence, answer.KnownSequence) + 1
	}
	record := h.record
	h.mu.Unlock()
	if ahead {
		h.notifyChange(record)
	}
	return ahead
}

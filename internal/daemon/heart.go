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

// HeartOptions are the seams of a Heart.
type HeartOptions struct {
	Peers    *Peers
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Interval time.Duration
	// Monitors names entry boxes, the preferred first.
	Monitors func() []member.Address
	// Fill adds what goes with each heartbeat, beside the record.
	Fill func(request *wire.HeartbeatRequest)
	// Answered is told each answer.
	Answered func(monitor member.Address, answer *wire.HeartbeatResponse)
	// Changed is told each new version of the record, before it is sent.
	Changed func(record member.Record)
}

// Heart holds the box's own record and sends heartbeats to its monitors.
type Heart struct {
	options HeartOptions
	duties  *kernel.TaskGroup
	kick    chan struct{}

	mu     sync.Mutex
	record member.Record
	// known is the version that each monitor is known to hold.
	known map[member.Address]state.Version
}

// NewHeart starts to send heartbeats for a record. Its incarnation is the time
// of the start, so that it goes up with each start.
func NewHeart(record member.Record, options HeartOptions) *Heart {
	record.Incarnation = member.Incarnation(options.Clock.Now().UnixNano())
	record.Sequence = 1
	record.Status = member.StatusUp
	h := &Heart{
		options: options, record: record,
		duties: kernel.NewTaskGroup(),
		kick:   make(chan struct{}, 1),
		known:  make(map[member.Address]state.Version),
	}
	h.tellChanged(record)
	h.duties.Go(h.beat)
	return h
}

// String returns the service's name.
func (h *Heart) String() string { return "heart" }

// Stop ends the heartbeats.
func (h *Heart) Stop(ctx context.Context) error { return h.duties.Stop(ctx) }

// Record returns the box's own record.
func (h *Heart) Record() member.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record
}

// Update changes the record and sends it at once.
func (h *Heart) Update(change func(record *member.Record)) {
	h.mu.Lock()
	change(&h.record)
	h.record.Sequence++
	record := h.record
	h.mu.Unlock()
	h.tellChanged(record)
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

func (h *Heart) tellChanged(record member.Record) {
	if h.options.Changed != nil {
		h.options.Changed(record)
	}
}

// Announce sends the record to the monitors now and waits for their answers.
func (h *Heart) Announce(ctx context.Context) { h.sendAll(ctx) }

func (h *Heart) beat(ctx context.Context) {
	for {
		h.sendAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-h.kick:
		case <-h.options.Clock.After(h.options.Interval):
		}
	}
}

// sendAll reaches the preferred monitors; one that does not answer is replaced
// by the next that does.
func (h *Heart) sendAll(ctx context.Context) {
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
func (h *Heart) send(ctx context.Context, monitor member.Address) bool {
	for range 2 {
		answer, record, err := h.call(ctx, monitor)
		if err != nil {
			h.options.Log.Debug().Str("monitor", string(monitor)).Err(err).Msg("heartbeat failed")
			return false
		}
		h.options.Answered(monitor, answer)
		known := state.Version{Major: answer.KnownIncarnation, Minor: answer.KnownSequence}
		h.mu.Lock()
		h.known[monitor] = known
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

func (h *Heart) call(ctx context.Context, monitor member.Address) (*wire.HeartbeatResponse, member.Record, error) {
	h.mu.Lock()
	record := h.record
	known := h.known[monitor]
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
	h.options.Fill(request)
	callCtx, cancel := context.WithTimeout(ctx, max(h.options.Interval, dialTimeout))
	defer cancel()
	answer, err := wire.NewDRPCMonitorClient(h.options.Peers.Conn(monitor)).Heartbeat(callCtx, request)
	return answer, record, err
}

// refute writes a newer record when somebody has marked this box silent, or
// holds a record of a later incarnation than this one, as after a clock that
// was set back. It reports whether it did.
func (h *Heart) refute(answer *wire.HeartbeatResponse) bool {
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
		h.tellChanged(record)
	}
	return ahead
}

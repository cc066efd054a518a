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

// monitorsPerBox is the number of entry boxes to which each box sends its heartbeats.
const monitorsPerBox = 2

// HeartbeaterOptions configures a Heartbeater.
type HeartbeaterOptions struct {
	Peers    *PeerPool
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Interval time.Duration
	// Monitors returns the entry boxes that may receive heartbeats, the preferred ones first.
	Monitors func() []member.Address
	// FillRequest adds fields other than the record to each heartbeat.
	FillRequest func(request *wire.HeartbeatRequest)
	// OnResponse is called with each response.
	OnResponse func(monitor member.Address, response *wire.HeartbeatResponse)
	// OnChange is called with each new version of the record before it is sent. It may be nil.
	OnChange func(record member.Record)
}

// Heartbeater holds the box's own record and sends heartbeats to its monitors.
type Heartbeater struct {
	options HeartbeaterOptions
	tasks   *kernel.TaskGroup
	wake    chan struct{}

	mu     sync.Mutex
	record member.Record
	// knownVersions holds the version of the record in the last response of each monitor.
	knownVersions map[member.Address]state.Version
}

// NewHeartbeater starts sending heartbeats for a record. The incarnation of the record is
// the start time, so that it increases with each start.
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

// Stop ends the sending of heartbeats.
func (h *Heartbeater) Stop(ctx context.Context) error { return h.tasks.Stop(ctx) }

// Record returns the box's own record.
func (h *Heartbeater) Record() member.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record
}

// Update changes the record and triggers an immediate heartbeat.
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

// Announce sends the record to the monitors and waits for their responses.
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

// sendAll sends a heartbeat to the preferred monitors. If a monitor does not respond,
// the next one in the order of preference replaces it.
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

// send sends a heartbeat and reports whether the monitor responded. It sends a second one
// if the response shows that the monitor lacks the current record.
func (h *Heartbeater) send(ctx context.Context, monitor member.Address) bool {
	for range 2 {
		response, record, err := h.call(ctx, monitor)
		if err != nil {
			h.options.Log.Debug().Str("monitor", string(monitor)).Err(err).Msg("heartbeat failed")
			return false
		}
		h.options.OnResponse(monitor, response)
		known := state.Version{Major: response.KnownIncarnation, Minor: response.KnownSequence}
		h.mu.Lock()
		h.knownVersions[monitor] = known
		h.mu.Unlock()
		if h.refute(response) {
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
	response, err := wire.NewDRPCMonitorClient(h.options.Peers.Conn(monitor)).Heartbeat(callCtx, request)
	return response, record, err
}

// refute raises the version of the own record if the monitor holds a newer one: another box marked
// this box silent, or the clock was set back, so that the previous incarnation is higher than
// the current one. It reports whether the version was raised.
func (h *Heartbeater) refute(response *wire.HeartbeatResponse) bool {
	h.mu.Lock()
	known := state.Version{Major: response.KnownIncarnation, Minor: response.KnownSequence}
	own := state.Version{Major: uint64(h.record.Incarnation), Minor: h.record.Sequence}
	ahead := known.Compare(own) > 0 || response.Silent && known.Compare(own) == 0
	if ahead {
		if response.KnownIncarnation > uint64(h.record.Incarnation) {
			h.record.Incarnation = member.Incarnation(response.KnownIncarnation + 1)
		}
		h.record.Sequence = max(h.record.Sequence, response.KnownSequence) + 1
	}
	record := h.record
	h.mu.Unlock()
	if ahead {
		h.notifyChange(record)
	}
	return ahead
}

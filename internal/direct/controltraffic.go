package direct

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/metric"
	"github.com/cinderslip/cinderslip/internal/wire"
)

// purpose is what a part of a message to another process is for.
type purpose string

// The purposes of messages.
const (
	// purposeStatus is the state of a box itself: its watermarks, version ages and heartbeats.
	purposeStatus purpose = "status"
	// purposeLoad is the load and the demand of a box.
	purposeLoad purpose = "load"
	// purposeMembers are records of entry boxes.
	purposeMembers purpose = "members"
	// purposeRejected are callers that were rejected.
	purposeRejected purpose = "rejected-callers"
	// purposeServers are departures, rate limits and exits of servers.
	purposeServers purpose = "server-signals"
	// purposeReaders are the boxes that read the store, and confirmations of the configuration.
	purposeReaders purpose = "readers"
	// purposeFacts are entries of the store.
	purposeFacts purpose = "facts"
	// purposeAgent is the state of a server that its agent reports.
	purposeAgent purpose = "agent-status"
)

// The scopes of control traffic.
const (
	scopeLocal  = "local"
	scopeRemote = "remote"
)

// controlTraffic counts the messages and bytes that this process sends to other processes. Bytes are those of the
// encoded messages, without the overhead of connections.
type controlTraffic struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	// counters are the counters of each purpose and scope, so that no label has to be looked up for each message.
	counters map[trafficKind]trafficCounters
}

// trafficKind is a purpose and a scope.
type trafficKind struct {
	purpose purpose
	remote  bool
}

type trafficCounters struct{ messages, bytes prometheus.Counter }

// trafficLogInterval is how often a process logs the control traffic that it has sent.
const trafficLogInterval = 5 * time.Second

func newControlTraffic() controlTraffic {
	c := controlTraffic{
		counters: make(map[trafficKind]trafficCounters),
		messages: metric.CounterVec("direct_control_messages_total", "Messages sent to other processes, by main purpose and scope: local for the own region.", "purpose", "scope"),
		bytes:    metric.CounterVec("direct_control_bytes_total", "Bytes sent to other processes, by purpose and scope: local for the own region.", "purpose", "scope"),
	}
	for _, p := range []purpose{
		purposeStatus, purposeLoad, purposeMembers, purposeRejected, purposeServers, purposeReaders, purposeFacts, purposeAgent,
	} {
		for _, remote := range []bool{false, true} {
			labels := []string{string(p), scopeOf(remote)}
			c.counters[trafficKind{p, remote}] = trafficCounters{c.messages.WithLabelValues(labels...), c.bytes.WithLabelValues(labels...)}
		}
	}
	return c
}

// scopeOf returns the scope of traffic with another process.
func scopeOf(remote bool) string {
	if remote {
		return scopeRemote
	}
	return scopeLocal
}

// count counts one message with a single purpose.
func (c *controlTraffic) count(p purpose, size int, remote bool) {
	counters := c.counters[trafficKind{p, remote}]
	counters.messages.Inc()
	counters.bytes.Add(float64(size))
}

// countStatus counts a status message. Its main purpose is that of its largest part; readers are in most messages and
// are never the main purpose.
func (c *controlTraffic) countStatus(status *wire.EntryStatus, remote bool) {
	rest, main, largest := proto.Size(status), purposeStatus, 0
	countPart := func(p purpose, part *wire.EntryStatus) {
		size := proto.Size(part)
		rest -= size
		c.counters[trafficKind{p, remote}].bytes.Add(float64(size))
		if size > largest && p != purposeReaders {
			main, largest = p, size
		}
	}
	if len(status.InFlight)+len(status.Demands) > 0 {
		countPart(purposeLoad, &wire.EntryStatus{InFlight: status.InFlight, Demands: status.Demands})
	}
	if len(status.Members) > 0 {
		countPart(purposeMembers, &wire.EntryStatus{Members: status.Members})
	}
	if len(status.SentAway) > 0 {
		countPart(purposeRejected, &wire.EntryStatus{SentAway: status.SentAway})
	}
	if len(status.Departures)+len(status.Evidence)+len(status.RateLimits) > 0 {
		countPart(purposeServers, &wire.EntryStatus{Departures: status.Departures, Evidence: status.Evidence, RateLimits: status.RateLimits})
	}
	if len(status.Readers) > 0 || status.Confirmation != nil {
		countPart(purposeReaders, &wire.EntryStatus{Readers: status.Readers, Confirmation: status.Confirmation})
	}
	c.counters[trafficKind{purposeStatus, remote}].bytes.Add(float64(rest))
	c.counters[trafficKind{main, remote}].messages.Inc()
}

// logEvery logs the traffic of each interval, by purpose and scope, until the context ends.
func (c *controlTraffic) logEvery(ctx context.Context, clock clockwork.Clock, log zerolog.Logger, interval time.Duration) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	sent := make(map[trafficKind]trafficTotals, len(c.counters))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.logSince(sent, log.Info())
		}
	}
}

// trafficTotals are the messages and bytes of one kind that were sent since the start of the process.
type trafficTotals struct{ messages, bytes float64 }

// logSince logs the traffic since the totals in sent, and replaces these by the current ones.
func (c *controlTraffic) logSince(sent map[trafficKind]trafficTotals, line *zerolog.Event) {
	for kind, counters := range c.counters {
		before, now := sent[kind], trafficTotals{counterValue(counters.messages), counterValue(counters.bytes)}
		sent[kind] = now
		if now == before {
			continue
		}
		name := string(kind.purpose) + "_" + scopeOf(kind.remote)
		line.Float64(name+"_messages", now.messages-before.messages).Float64(name+"_bytes", now.bytes-before.bytes)
	}
	line.Msg("control traffic")
}

// counterValue returns the value of a counter, or 0 if it cannot be read.
func counterValue(counter prometheus.Counter) float64 {
	var metric dto.Metric
	if err := counter.Write(&metric); err != nil {
		return 0
	}
	return metric.Counter.GetValue()
}

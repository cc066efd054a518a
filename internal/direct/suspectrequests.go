package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// restartWindow is how long after a failed connection a new incarnation of its server still proves that the
	// server had exited.
	restartWindow = 5 * time.Second
	// singleExitInterval is the minimum interval between urgent broadcasts of requests with a single exit.
	singleExitInterval = 100 * time.Millisecond
	// urgentBatchDelay is how long evidence is collected before an urgent broadcast. When a server exits,
	// several requests of a box fail at the same time.
	urgentBatchDelay = 5 * time.Millisecond
	// maxDisconnected limits the attributes of failed requests that are kept to await a restart of their server.
	maxDisconnected = 1024
)

// SuspectRequests records the attributes of requests during which backend servers exited, as observed by all processes of
// the fleet. Agents only store the reports, so that the evidence survives if all entry boxes are killed at once.
type SuspectRequests struct {
	route.Quarantine

	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	// wake is signalled when there is evidence to broadcast at once; it holds at most one signal. urgentCount
	// counts the urgent broadcasts.
	wake        chan struct{}
	urgentCount atomic.Uint64
	// mayBlock is signalled when evidence may block requests that are in flight; it holds at most one signal.
	mayBlock chan struct{}

	mu sync.Mutex
	// lastSingleExit is when evidence of a single exit was last broadcast at once.
	lastSingleExit time.Time
	// disconnected is the evidence on requests whose connection failed and whose server may have exited.
	disconnected []route.Evidence
}

func newSuspectRequests(clock clockwork.Clock, log zerolog.Logger, metrics *Metrics) *SuspectRequests {
	return &SuspectRequests{
		clock: clock, log: log, metrics: metrics, wake: make(chan struct{}, 1), mayBlock: make(chan struct{}, 1),
	}
}

// Observe records evidence that this process has observed.
func (s *SuspectRequests) Observe(evidence route.Evidence, from string) {
	now := s.clock.Now()
	if s.Record(evidence, now) {
		s.logEvidence(&evidence, from, now)
		s.broadcast(evidence.Attribute, now)
	}
}

// MergeEvidence merges evidence that another process reports.
func (s *SuspectRequests) MergeEvidence(evidence []route.Evidence, from string) {
	now, logEach := s.clock.Now(), len(evidence) <= maxItemsLogged
	if !logEach {
		s.log.Info().Int("evidence", len(evidence)).Str("from", from).Msg("evidence of many requests merged, not logging each")
	}
	for _, item := range evidence {
		if !s.Merge(item, now) {
			continue
		}
		if logEach && s.Evaluate(item.Attribute, now).Exits > 1 {
			// A single exit has no consequence here yet, and the box that observed it has logged it.
			s.logEvidence(&item, from, now)
		}
		s.broadcast(item.Attribute, now)
	}
}

// broadcast triggers an urgent broadcast of evidence. Single exits trigger one per singleExitInterval only: if
// servers exit for other reasons, each exit makes some requests suspect for a moment, and hundreds of boxes
// report them to each other. Other evidence is sent with the next regular message. broadcast must not block,
// because its callers may hold locks that sending the message needs.
func (s *SuspectRequests) broadcast(attribute route.AttributeID, now time.Time) {
	exits := s.Evaluate(attribute, now).Exits
	if exits > 1 {
		signal(s.mayBlock)
	}
	if exits < 2 && !s.isSingleDue(now) {
		return
	}
	s.urgentCount.Add(1)
	signal(s.wake)
}

// isSingleDue reports whether a single exit may be broadcast at once, and records the broadcast if so.
func (s *SuspectRequests) isSingleDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastSingleExit) < singleExitInterval {
		return false
	}
	s.lastSingleExit = now
	return true
}

// logEvidence counts and logs evidence.
func (s *SuspectRequests) logEvidence(evidence *route.Evidence, from string, now time.Time) {
	decision := s.Evaluate(evidence.Attribute, now)
	s.metrics.suspects.WithLabelValues(suspectLabels[decision.Suspect]).Inc()
	event := s.log.Info().Str("content", evidence.Attribute.String()).Dur("age_ms", now.Sub(evidence.At)).Str("from", from).
		Int("ends", decision.Exits).Bool("barred", decision.Blocked)
	if evidence.Exited == (route.ServerIncarnation{}) {
		event.Msg("request is no longer suspect")
		return
	}
	event.Str("server", string(evidence.Exited.Server)).Uint64("incarnation", uint64(evidence.Exited.Incarnation)).Uint32("again", evidence.Exited.UnreportedRestarts).Msg("server has ended under a request")
}

// suspectLabels are the label values of the metric, by whether a request is suspect now.
var suspectLabels = map[bool]string{true: "ended", false: "cleared"}

// NoteDisconnect records a request whose connection failed. If its server restarts within restartWindow, the
// server had exited.
func (s *SuspectRequests) NoteDisconnect(evidence route.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.disconnected) < maxDisconnected {
		s.disconnected = append(s.disconnected, evidence)
	}
}

// NoteServerStart processes the latest incarnation of a server and records the exits that it proves.
func (s *SuspectRequests) NoteServerStart(server fleet.ServerID, incarnation member.Incarnation, from string) {
	s.mu.Lock()
	now := s.clock.Now()
	var exited, pending []route.Evidence
	for _, evidence := range s.disconnected {
		switch {
		case now.Sub(evidence.At) > restartWindow:
		case evidence.Exited.Server == server && incarnation > evidence.Exited.Incarnation && evidence.Exited.Incarnation != 0:
			exited = append(exited, evidence)
		default:
			pending = append(pending, evidence)
		}
	}
	s.disconnected = pending
	s.mu.Unlock()
	for _, evidence := range exited {
		s.Observe(evidence, from)
	}
}

// awaitsRestarts reports whether a new incarnation of a server may prove an exit.
func (s *SuspectRequests) awaitsRestarts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.disconnected) > 0
}

// evidenceToWire encodes times as ages because the clocks of boxes are not synchronized.
func evidenceToWire(evidence []route.Evidence, now time.Time) []*wire.Evidence {
	encoded := make([]*wire.Evidence, 0, len(evidence))
	for _, item := range evidence {
		encoded = append(encoded, &wire.Evidence{
			Content: item.Attribute[:], Server: string(item.Exited.Server), Incarnation: uint64(item.Exited.Incarnation),
			Again: item.Exited.UnreportedRestarts, AgeMilliseconds: uint64(max(0, now.Sub(item.At).Milliseconds())),
		})
	}
	return encoded
}

// evidenceFromWire decodes evidence and skips entries in the format of another version.
func evidenceFromWire(encoded []*wire.Evidence, now time.Time) []route.Evidence {
	evidence := make([]route.Evidence, 0, len(encoded))
	for _, item := range encoded {
		if len(item.Content) != len(route.AttributeID{}) || item.AgeMilliseconds > maxAgeMilliseconds {
			continue
		}
		exited := route.ServerIncarnation{
			Server: fleet.ServerID(item.Server), Incarnation: member.Incarnation(item.Incarnation), UnreportedRestarts: item.Again,
		}
		at := now.Add(-time.Duration(item.AgeMilliseconds) * time.Millisecond)
		evidence = append(evidence, route.Evidence{Attribute: route.AttributeID(item.Content), Exited: exited, At: at})
	}
	return evidence
}

// maxAgeMilliseconds is one year. Older evidence has no effect.
const maxAgeMilliseconds = 365 * 24 * 3600 * 1000

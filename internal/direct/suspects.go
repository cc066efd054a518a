package direct

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// startAwaited is for how long after a connection broke off a later start of its server shows that the server had ended.
	startAwaited = 5 * time.Second
	// brokenKept bounds the requests that broke off for which that is awaited.
	brokenKept = 256
)

// Suspects are the requests under which backend servers have ended, as far as the processes of the fleet have told each
// other. Agents only keep what they hear: they live on when all entry boxes are killed at once.
type Suspects struct {
	route.Quarantine

	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	// news gets a word when there is something to tell others, unless one lies there already.
	news chan struct{}

	mu sync.Mutex
	// broken are requests whose connection broke off and whose servers may have ended.
	broken []route.Evidence
}

func newSuspects(clock clockwork.Clock, log zerolog.Logger, metrics *Metrics) *Suspects {
	return &Suspects{clock: clock, log: log, metrics: metrics, news: make(chan struct{}, 1)}
}

// See takes what this process has seen of a request.
func (s *Suspects) See(seen route.Evidence, from string) {
	now := s.clock.Now()
	if s.Take(seen, now) {
		s.logNews(&seen, from, now)
		s.tell()
	}
}

// Learn takes evidence that another process tells.
func (s *Suspects) Learn(evidence []route.Evidence, from string) {
	now, isNews := s.clock.Now(), false
	for _, seen := range evidence {
		if !s.Take(seen, now) {
			continue
		}
		isNews = true
		if verdict := s.Judge(seen.Content, now); verdict.Ends > 1 {
			// Of a single end nothing follows here yet, and the box that has seen it logs it.
			s.logNews(&seen, from, now)
		}
	}
	if isNews {
		s.tell()
	}
}

// tell lets others be told at once. It must not wait: who sees an end may hold locks that telling needs.
func (s *Suspects) tell() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// logNews logs what was heard of a request.
func (s *Suspects) logNews(seen *route.Evidence, from string, now time.Time) {
	verdict := s.Judge(seen.Content, now)
	s.metrics.suspects.WithLabelValues(suspectNames[verdict.Suspect]).Inc()
	line := s.log.Info().Str("content", seen.Content.String()).Dur("age_ms", now.Sub(seen.At)).Str("from", from).
		Int("ends", verdict.Ends).Bool("barred", verdict.Barred)
	if seen.Ended == (route.ServerStart{}) {
		line.Msg("request is no longer suspect")
		return
	}
	line.Str("server", string(seen.Ended.Server)).Uint64("incarnation", uint64(seen.Ended.Incarnation)).Uint32("again", seen.Ended.Again).Msg("server has ended under a request")
}

// suspectNames are the words of the metric by whether a request is suspect now.
var suspectNames = map[bool]string{true: "ended", false: "cleared"}

// Broke notes a request whose connection broke off. If its server starts anew soon, it had ended.
func (s *Suspects) Broke(seen route.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broken) < brokenKept {
		s.broken = append(s.broken, seen)
	}
}

// Started takes the start of a server that is the latest now.
func (s *Suspects) Started(server fleet.ServerID, start member.Incarnation, from string) {
	s.mu.Lock()
	now := s.clock.Now()
	var ended, broken []route.Evidence
	for _, seen := range s.broken {
		switch {
		case now.Sub(seen.At) > startAwaited:
		case seen.Ended.Server == server && start > seen.Ended.Incarnation && seen.Ended.Incarnation != 0:
			ended = append(ended, seen)
		default:
			broken = append(broken, seen)
		}
	}
	s.broken = broken
	s.mu.Unlock()
	for _, seen := range ended {
		s.See(seen, from)
	}
}

// awaitsStarts reports whether the start of a server may tell of a request.
func (s *Suspects) awaitsStarts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.broken) > 0
}

// evidenceToWire tells evidence in times before now, as boxes have no common clock.
func evidenceToWire(evidence []route.Evidence, now time.Time) []*wire.Evidence {
	told := make([]*wire.Evidence, 0, len(evidence))
	for _, seen := range evidence {
		told = append(told, &wire.Evidence{
			Content: seen.Content[:], Server: string(seen.Ended.Server), Incarnation: uint64(seen.Ended.Incarnation),
			Again: seen.Ended.Again, AgeMilliseconds: uint64(max(0, now.Sub(seen.At).Milliseconds())),
		})
	}
	return told
}

// evidenceFromWire leaves out what is of another form than this version's.
func evidenceFromWire(told []*wire.Evidence, now time.Time) []route.Evidence {
	evidence := make([]route.Evidence, 0, len(told))
	for _, seen := range told {
		if len(seen.Content) != len(route.ContentID{}) || seen.AgeMilliseconds > maxAgeMilliseconds {
			continue
		}
		evidence = append(evidence, route.Evidence{
			Content: route.ContentID(seen.Content),
			Ended:   route.ServerStart{Server: fleet.ServerID(seen.Server), Incarnation: member.Incarnation(seen.Incarnation), Again: seen.Again},
			At:      now.Add(-time.Duration(seen.AgeMilliseconds) * time.Millisecond),
		})
	}
	return evidence
}

// maxAgeMilliseconds is a year: nothing that is of use is older.
const maxAgeMilliseconds = 365 * 24 * 3600 * 1000

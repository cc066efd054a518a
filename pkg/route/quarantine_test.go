package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// quarantineScript plays one file of the archive.
type quarantineScript struct {
	t          *testing.T
	quarantine Quarantine
	start      time.Time
}

func testContent(name string) (content ContentID) {
	copy(content[:], name)
	return content
}

func testIncarnation(name string) ServerIncarnation {
	return ServerIncarnation{Server: fleet.ServerID(name)}
}

func decisionName(verdict Decision) string {
	switch {
	case verdict.Blocked:
		return "barred"
	case verdict.Suspect:
		return "suspect"
	}
	return "clean"
}

func (s *quarantineScript) run(words []string) {
	now := s.at(words[0])
	content := testContent(words[2])
	switch words[1] {
	case "ends":
		seen := Evidence{Content: content, Exited: testIncarnation(words[3]), At: now}
		if len(words) > 4 {
			seen.At = s.at(words[5])
		}
		s.quarantine.Record(seen, now)
	case "runs":
		s.quarantine.Record(Evidence{Content: content, At: now}, now)
	case "judge":
		require.Equal(s.t, words[3], decisionName(s.quarantine.Evaluate(content, now)), "%v", words)
	case "there":
		there := new(Quarantine)
		for _, told := range s.evidence() {
			there.Record(told, now)
		}
		require.Equal(s.t, words[3], decisionName(there.Evaluate(content, now)), "%v", words)
	default:
		s.t.Fatalf("unknown word in %v", words)
	}
}

func (s *quarantineScript) evidence() []Evidence {
	evidence, _ := s.quarantine.Since(0)
	return evidence
}

func (s *quarantineScript) at(text string) time.Time {
	after, err := time.ParseDuration(text)
	require.NoError(s.t, err)
	return s.start.Add(after)
}

func TestQuarantineScripts(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/quarantine.txtar")
	require.NoError(t, err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			story := &quarantineScript{t: t, start: time.Unix(1000, 0)}
			for line := range strings.Lines(string(file.Data)) {
				story.run(strings.Fields(line))
			}
		})
	}
}

// TestEvidenceExchangeConverges exchanges evidence among three boxes, each message a little late, as
// ages are told.
func TestEvidenceExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := make([]Quarantine, 3)
		now := time.Unix(1000, 0)
		contents := []ContentID{testContent("a"), testContent("b")}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			seen := Evidence{Content: rapid.SampledFrom(contents).Draw(t, "content"), At: now}
			if rapid.Bool().Draw(t, "ended") {
				seen.Exited = testIncarnation(fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "server")))
			}
			boxes[rapid.IntRange(0, 2).Draw(t, "box")].Record(seen, now)
			now = exchangeEvidence(t, boxes, now)
		}
		now = now.Add(settleDelay)
		for _, content := range contents {
			want := boxes[0].Evaluate(content, now)
			for i := range boxes {
				got := boxes[i].Evaluate(content, now)
				if got.Blocked != want.Blocked || got.Exits != want.Exits {
					t.Fatalf("box %d: %+v, box 0: %+v", i, got, want)
				}
			}
		}
	})
}

// exchangeEvidence lets the boxes tell each other all they know until nothing is news any more, and returns the time then.
func exchangeEvidence(t *rapid.T, boxes []Quarantine, now time.Time) time.Time {
	const late = 2 * time.Millisecond
	for range 10 {
		isNews := false
		for from := range boxes {
			evidence, _ := boxes[from].Since(0)
			for to := range boxes {
				for _, told := range evidence {
					told.At = told.At.Add(late)
					isNews = to != from && boxes[to].Record(told, now) || isNews
				}
			}
			now = now.Add(late)
		}
		if !isNews {
			return now
		}
	}
	t.Fatal("boxes tell each other the same again and again")
	return now
}

func TestEvictionKeepsRequestsWithMoreExits(t *testing.T) {
	var q Quarantine
	now := time.Unix(1000, 0)
	barred := testContent("barred")
	for i := range exitsToBlock {
		q.Record(Evidence{Content: barred, Exited: testIncarnation(fmt.Sprintf("first-%d", i)), At: now}, now)
	}
	for i := range 3 * maxContents {
		q.Record(Evidence{Content: testContent(fmt.Sprintf("other-%d", i)), Exited: testIncarnation(fmt.Sprintf("s-%d", i)), At: now}, now)
	}
	require.True(t, q.Evaluate(barred, now).Blocked)
	require.LessOrEqual(t, len(q.requests), maxContents)
	require.Equal(t, []BlockedRequest{{Content: barred, Until: now.Add(blockInitial), Exits: []ServerIncarnation{testIncarnation("first-0"), testIncarnation("first-1"), testIncarnation("first-2")}}}, q.Blocked(now))
}

func TestQuarantineIsEmptyAfterExpiry(t *testing.T) {
	var q Quarantine
	now := time.Unix(1000, 0)
	q.Record(Evidence{Content: testContent("a"), Exited: testIncarnation("i-1"), At: now}, now)
	q.Expire(now)
	require.False(t, q.Empty())
	q.Expire(now.Add(suspectTime + time.Second))
	require.True(t, q.Empty())
}

func TestIsListedIsFalseForUnlistedServer(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("i-1", 1))
	place := w.acquire()
	require.True(t, place.IsListed())
	w.setServers(plainServer("i-2", 1))
	require.False(t, place.IsListed())
}

func TestRequestSentAfterExitBelongsToLaterIncarnation(t *testing.T) {
	var q Quarantine
	now, told := time.Unix(1000, 0), testIncarnation("i-1")
	ends := func(sent, at time.Time) ServerIncarnation {
		start := q.IncarnationAt(told, sent)
		q.Record(Evidence{Content: testContent("a"), Exited: start, At: at}, at)
		return start
	}
	require.Equal(t, told, ends(now, now.Add(time.Second)))
	require.Equal(t, told, ends(now.Add(time.Second/2), now.Add(2*time.Second)), "sent before the end, seen late")
	require.Equal(t, uint32(1), ends(now.Add(2*time.Second), now.Add(3*time.Second)).UnreportedRestarts)
	require.Equal(t, uint32(2), ends(now.Add(4*time.Second), now.Add(5*time.Second)).UnreportedRestarts)
	require.True(t, q.Evaluate(testContent("a"), now.Add(5*time.Second)).Blocked)
}

func TestServerGetsAtMostOneSuspect(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("i-1", 1), plainServer("i-2", 1))
	suspects := make(map[fleet.ServerID]int)
	for range 2 {
		place, _, err := w.d.Submit(&SlotRequest{Suspect: true, Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, func(*Reservation) {}, w.now)
		require.NoError(t, err)
		require.NotNil(t, place)
		suspects[place.Server.ID]++
	}
	require.Equal(t, map[fleet.ServerID]int{"i-1": 1, "i-2": 1}, suspects)
	require.NotNil(t, w.acquire(), "others go where a suspect is")
}

func TestExitedServerIsEjectedImmediately(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("i-1", 1), plainServer("i-2", 1))
	place := w.acquire()
	place.Release(ResultServerExited, w.now)
	served := w.serve(8)
	require.Zero(t, served[place.Server.ID])
	require.Equal(t, member.Incarnation(1), place.ServerIncarnation().Incarnation)
}

func TestQueuedSuspectDoesNotBlockOtherRequests(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("i-1", 1))
	submit := func(suspect bool, granted func(*Reservation)) (*Reservation, *QueuedRequest) {
		place, waiting, err := w.d.Submit(&SlotRequest{Suspect: suspect, Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, granted, w.now)
		require.NoError(t, err)
		return place, waiting
	}
	first, _ := submit(true, nil)
	require.NotNil(t, first)
	var second, other *Reservation
	_, waits := submit(true, func(place *Reservation) { second = place })
	require.NotNil(t, waits, "the only server has a suspect")
	place, behind := submit(false, func(place *Reservation) { other = place })
	if place == nil {
		_, _, err := w.d.Review(behind, w.now)
		require.NoError(t, err)
		place = other
	}
	require.NotNil(t, place, "there are places for others")
	require.Nil(t, second)
	first.Release(ResultDone, w.now)
	require.NotNil(t, second)
}

// BenchmarkEvaluate asks about a request that is not known while maxContents others are, and about one that has ended two servers, which
// is compared with all of them.
func BenchmarkEvaluate(b *testing.B) {
	var q Quarantine
	now := time.Unix(1000, 0)
	for i := range maxContents - 1 {
		q.Record(Evidence{Content: testContent(fmt.Sprintf("other-%d", i)), Exited: testIncarnation(fmt.Sprintf("s-%d", i)), At: now}, now)
	}
	twice := testContent("twice")
	q.Record(Evidence{Content: twice, Exited: testIncarnation("first"), At: now.Add(time.Minute / 2)}, now)
	q.Record(Evidence{Content: twice, Exited: testIncarnation("second"), At: now.Add(time.Minute / 2)}, now)
	later := now.Add(time.Minute/2 + time.Second)
	for _, content := range []ContentID{testContent("unknown"), twice} {
		b.Run(strings.TrimRight(string(content[:8]), "\x00"), func(b *testing.B) {
			for b.Loop() {
				q.Evaluate(content, later)
			}
		})
	}
}

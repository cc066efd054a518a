package route

import (
	"crypto/sha256"
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

// quarantineScript runs one script of testdata/quarantine.txtar.
type quarantineScript struct {
	t          *testing.T
	quarantine Quarantine
	start      time.Time
}

// testContent returns the AttributeID of a content for a name in a script.
func testContent(name string) (content AttributeID) {
	copy(content[:], name)
	return content
}

// testAttributes returns the attributes of a request in a script, such as "a+p-first". Names that start with p- are parts.
func testAttributes(text string) (attributes []AttributeID) {
	for name := range strings.SplitSeq(text, "+") {
		attribute := testContent(name)
		if strings.HasPrefix(name, "p-") {
			attribute = PartAttribute(sha256.Sum256([]byte(name)))
		}
		attributes = append(attributes, attribute)
	}
	return attributes
}

// testIncarnation returns the server incarnation for a name in a script.
func testIncarnation(name string) ServerIncarnation {
	return ServerIncarnation{Server: fleet.ServerID(name)}
}

// decisionName returns the name of a decision in a script.
func decisionName(decision Decision) string {
	switch {
	case decision.Blocked:
		return "blocked"
	case decision.Suspect:
		return "suspect"
	}
	return "clean"
}

// run executes one line of a script.
func (s *quarantineScript) run(fields []string) {
	now := s.at(fields[0])
	attributes := testAttributes(fields[2])
	switch fields[1] {
	case "exit":
		at := now
		if len(fields) > 4 {
			at = s.at(fields[5])
		}
		for _, attribute := range attributes {
			s.quarantine.Record(Evidence{Attribute: attribute, Exited: testIncarnation(fields[3]), At: at}, now)
		}
	case "success":
		for _, attribute := range attributes {
			s.quarantine.Record(Evidence{Attribute: attribute, At: now}, now)
		}
	case "evaluate":
		require.Equal(s.t, fields[3], decisionName(s.quarantine.EvaluateRequest(attributes, now)), "%v", fields)
	case "evaluate-peer":
		peer := new(Quarantine)
		for _, evidence := range s.evidence() {
			peer.Merge(evidence, now)
		}
		require.Equal(s.t, fields[3], decisionName(peer.EvaluateRequest(attributes, now)), "%v", fields)
	default:
		s.t.Fatalf("unknown command in %v", fields)
	}
}

// evidence returns all evidence that the box reports to others.
func (s *quarantineScript) evidence() []Evidence {
	evidence, _ := s.quarantine.Since(0)
	return evidence
}

// at returns the time of an offset from the start of the script.
func (s *quarantineScript) at(text string) time.Time {
	offset, err := time.ParseDuration(text)
	require.NoError(s.t, err)
	return s.start.Add(offset)
}

func TestQuarantineScripts(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/quarantine.txtar")
	require.NoError(t, err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			script := &quarantineScript{t: t, start: time.Unix(1000, 0)}
			for line := range strings.Lines(string(file.Data)) {
				script.run(strings.Fields(line))
			}
		})
	}
}

// Guards against boxes that exchange the same evidence endlessly or reach different decisions. The time of an
// observation shifts a little with each message, as messages contain the age of an observation rather than its time.
func TestEvidenceExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := make([]Quarantine, 3)
		now := time.Unix(1000, 0)
		contents := []AttributeID{testContent("a"), testContent("b")}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "event gap")) * time.Millisecond)
			evidence := Evidence{Attribute: rapid.SampledFrom(contents).Draw(t, "content"), At: now}
			if rapid.Bool().Draw(t, "exited") {
				evidence.Exited = testIncarnation(fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "server")))
			}
			boxes[rapid.IntRange(0, 2).Draw(t, "box")].Record(evidence, now)
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

// exchangeEvidence reports all evidence of each box to the others until none of it is new, and returns the time then.
func exchangeEvidence(t *rapid.T, boxes []Quarantine, now time.Time) time.Time {
	const delay = 2 * time.Millisecond
	for range 10 {
		isNew := false
		for from := range boxes {
			evidence, _ := boxes[from].Since(0)
			for to := range boxes {
				for _, reported := range evidence {
					reported.At = reported.At.Add(delay)
					isNew = to != from && boxes[to].Record(reported, now) || isNew
				}
			}
			now = now.Add(delay)
		}
		if !isNew {
			return now
		}
	}
	t.Fatal("evidence is still new after 10 exchanges")
	return now
}

func TestEvictionKeepsRequestsWithMoreExits(t *testing.T) {
	var q Quarantine
	now := time.Unix(1000, 0)
	blocked := testContent("blocked")
	for i := range exitsToBlock {
		q.Record(Evidence{Attribute: blocked, Exited: testIncarnation(fmt.Sprintf("first-%d", i)), At: now}, now)
	}
	for i := range 3 * maxAttributes {
		q.Record(Evidence{Attribute: testContent(fmt.Sprintf("other-%d", i)), Exited: testIncarnation(fmt.Sprintf("s-%d", i)), At: now}, now)
	}
	require.True(t, q.Evaluate(blocked, now).Blocked)
	require.LessOrEqual(t, len(q.attributes), maxAttributes)
	require.Equal(t, []BlockedAttribute{{Attribute: blocked, Until: now.Add(blockInitial), Exits: []ServerIncarnation{testIncarnation("first-0"), testIncarnation("first-1"), testIncarnation("first-2")}}}, q.Blocked(now))
}

func TestQuarantineIsEmptyAfterExpiry(t *testing.T) {
	var q Quarantine
	now := time.Unix(1000, 0)
	q.Record(Evidence{Attribute: testContent("a"), Exited: testIncarnation("i-1"), At: now}, now)
	q.Expire(now)
	require.False(t, q.Empty())
	q.Expire(now.Add(suspectTime + time.Second))
	require.True(t, q.Empty())
}

func TestIsListedIsFalseForUnlistedServer(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("i-1", 1))
	reservation := w.acquire()
	require.True(t, reservation.IsListed())
	w.setServers(plainServer("i-2", 1))
	require.False(t, reservation.IsListed())
}

func TestRequestSentAfterExitBelongsToLaterIncarnation(t *testing.T) {
	var q Quarantine
	now, reported := time.Unix(1000, 0), testIncarnation("i-1")
	recordExit := func(sent, at time.Time) ServerIncarnation {
		incarnation := q.IncarnationAt(reported, sent)
		q.Record(Evidence{Attribute: testContent("a"), Exited: incarnation, At: at}, at)
		return incarnation
	}
	require.Equal(t, reported, recordExit(now, now.Add(time.Second)))
	require.Equal(t, reported, recordExit(now.Add(time.Second/2), now.Add(2*time.Second)), "sent before the exit, observed later")
	require.Equal(t, uint32(1), recordExit(now.Add(2*time.Second), now.Add(3*time.Second)).UnreportedRestarts)
	require.Equal(t, uint32(2), recordExit(now.Add(4*time.Second), now.Add(5*time.Second)).UnreportedRestarts)
	require.True(t, q.Evaluate(testContent("a"), now.Add(5*time.Second)).Blocked)
}

func TestServerGetsAtMostOneSuspect(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("i-1", 1), plainServer("i-2", 1))
	suspects := make(map[fleet.ServerID]int)
	for range 2 {
		reservation, _, err := w.d.Submit(&SlotRequest{Suspect: true, Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, func(*Reservation) {}, w.now)
		require.NoError(t, err)
		require.NotNil(t, reservation)
		suspects[reservation.Server.ID]++
	}
	require.Equal(t, map[fleet.ServerID]int{"i-1": 1, "i-2": 1}, suspects)
	require.NotNil(t, w.acquire(), "other requests may use a server that has a suspect")
}

func TestExitedServerIsEjectedImmediately(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("i-1", 1), plainServer("i-2", 1))
	reservation := w.acquire()
	reservation.Release(ResultServerExited, w.now)
	served := w.serve(8)
	require.Zero(t, served[reservation.Server.ID])
	require.Equal(t, member.Incarnation(1), reservation.ServerIncarnation().Incarnation)
}

func TestQueuedSuspectDoesNotBlockOtherRequests(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("i-1", 1))
	submit := func(suspect bool, onGranted func(*Reservation)) (*Reservation, *QueuedRequest) {
		reservation, waiting, err := w.d.Submit(&SlotRequest{Suspect: suspect, Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, onGranted, w.now)
		require.NoError(t, err)
		return reservation, waiting
	}
	first, _ := submit(true, nil)
	require.NotNil(t, first)
	var second, other *Reservation
	_, waiting := submit(true, func(reservation *Reservation) { second = reservation })
	require.NotNil(t, waiting, "the only server already has a suspect")
	reservation, queued := submit(false, func(reservation *Reservation) { other = reservation })
	if reservation == nil {
		_, _, err := w.d.Review(queued, w.now)
		require.NoError(t, err)
		reservation = other
	}
	require.NotNil(t, reservation, "the server has slots for other requests")
	require.Nil(t, second)
	first.Release(ResultDone, w.now)
	require.NotNil(t, second)
}

// BenchmarkEvaluate evaluates an unknown request while maxAttributes others are known, and a request with two exits,
// which is compared with all others.
func BenchmarkEvaluate(b *testing.B) {
	var q Quarantine
	now := time.Unix(1000, 0)
	for i := range maxAttributes - 1 {
		q.Record(Evidence{Attribute: testContent(fmt.Sprintf("other-%d", i)), Exited: testIncarnation(fmt.Sprintf("s-%d", i)), At: now}, now)
	}
	twice := testContent("twice")
	q.Record(Evidence{Attribute: twice, Exited: testIncarnation("first"), At: now.Add(time.Minute / 2)}, now)
	q.Record(Evidence{Attribute: twice, Exited: testIncarnation("second"), At: now.Add(time.Minute / 2)}, now)
	later := now.Add(time.Minute/2 + time.Second)
	for _, content := range []AttributeID{testContent("unknown"), twice} {
		b.Run(strings.TrimRight(string(content[:8]), "\x00"), func(b *testing.B) {
			for b.Loop() {
				q.Evaluate(content, later)
			}
		})
	}
}

// Guards against boxes that all send a request with the same attribute at once when an exit has settled: servers that exit
// within simultaneousExits count as one.
func TestBoxesSendInTurnAfterExit(t *testing.T) {
	now, content := time.Unix(1000, 0), testContent("a")
	settleTime := func(box member.BoxID, boxes int) time.Duration {
		q := Quarantine{Box: box, BoxCount: func() int { return boxes }}
		q.Record(Evidence{Attribute: content, Exited: testIncarnation("s1"), At: now}, now)
		return q.CheckSend([]AttributeID{content}, &Turn{}, now, now).Wait
	}
	require.Equal(t, settleDelay, settleTime("entry-1", 1))
	counts := make(map[time.Duration]int)
	for i := range 100 {
		wait := settleTime(member.BoxID(fmt.Sprintf("entry-%d", i)), 100)
		require.GreaterOrEqual(t, wait, settleDelay)
		require.LessOrEqual(t, wait, settleDelay+maxSettleTurn)
		counts[wait.Truncate(simultaneousExits)]++
	}
	for _, count := range counts {
		require.Less(t, count, 30)
	}
}

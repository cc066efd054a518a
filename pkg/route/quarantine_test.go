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

// quarantineStory plays one file of the archive.
type quarantineStory struct {
	t     *testing.T
	here  Quarantine
	began time.Time
}

func contentNamed(name string) (content ContentID) {
	copy(content[:], name)
	return content
}

func startNamed(name string) ServerStart { return ServerStart{Server: fleet.ServerID(name)} }

func verdictName(verdict Verdict) string {
	switch {
	case verdict.Barred:
		return "barred"
	case verdict.Suspect:
		return "suspect"
	}
	return "clean"
}

func (s *quarantineStory) line(words []string) {
	now := s.at(words[0])
	content := contentNamed(words[2])
	switch words[1] {
	case "ends":
		seen := Evidence{Content: content, Ended: startNamed(words[3]), At: now}
		if len(words) > 4 {
			seen.At = s.at(words[5])
		}
		s.here.Take(seen, now)
	case "runs":
		s.here.Take(Evidence{Content: content, At: now}, now)
	case "judge":
		require.Equal(s.t, words[3], verdictName(s.here.Judge(content, now)), "%v", words)
	case "there":
		there := new(Quarantine)
		for _, told := range s.told() {
			there.Take(told, now)
		}
		require.Equal(s.t, words[3], verdictName(there.Judge(content, now)), "%v", words)
	default:
		s.t.Fatalf("unknown word in %v", words)
	}
}

func (s *quarantineStory) told() []Evidence {
	evidence, _ := s.here.Since(0)
	return evidence
}

func (s *quarantineStory) at(text string) time.Time {
	after, err := time.ParseDuration(text)
	require.NoError(s.t, err)
	return s.began.Add(after)
}

func TestWhatIsKnownOfARequestDecidesWhetherItIsSent(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/quarantine.txtar")
	require.NoError(t, err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			story := &quarantineStory{t: t, began: time.Unix(1000, 0)}
			for line := range strings.Lines(string(file.Data)) {
				story.line(strings.Fields(line))
			}
		})
	}
}

// TestBoxesThatTellEachOtherComeToRestAndAgree exchanges evidence among three boxes, each message a little late, as
// ages are told.
func TestBoxesThatTellEachOtherComeToRestAndAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := make([]Quarantine, 3)
		now := time.Unix(1000, 0)
		contents := []ContentID{contentNamed("a"), contentNamed("b")}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			seen := Evidence{Content: rapid.SampledFrom(contents).Draw(t, "content"), At: now}
			if rapid.Bool().Draw(t, "ended") {
				seen.Ended = startNamed(fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "server")))
			}
			boxes[rapid.IntRange(0, 2).Draw(t, "box")].Take(seen, now)
			now = tellAll(t, boxes, now)
		}
		now = now.Add(settleTime)
		for _, content := range contents {
			want := boxes[0].Judge(content, now)
			for i := range boxes {
				got := boxes[i].Judge(content, now)
				if got.Barred != want.Barred || got.Ends != want.Ends {
					t.Fatalf("box %d: %+v, box 0: %+v", i, got, want)
				}
			}
		}
	})
}

// tellAll lets the boxes tell each other all they know until nothing is news any more, and returns the time then.
func tellAll(t *rapid.T, boxes []Quarantine, now time.Time) time.Time {
	const late = 2 * time.Millisecond
	for range 10 {
		isNews := false
		for from := range boxes {
			evidence, _ := boxes[from].Since(0)
			for to := range boxes {
				for _, told := range evidence {
					told.At = told.At.Add(late)
					isNews = to != from && boxes[to].Take(told, now) || isNews
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

func TestThousandsOfRequestsThatEndAServerEachLeaveThoseThatEndedMore(t *testing.T) {
	var q Quarantine
	now := time.Unix(1000, 0)
	barred := contentNamed("barred")
	for i := range endsCertain {
		q.Take(Evidence{Content: barred, Ended: startNamed(fmt.Sprintf("first-%d", i)), At: now}, now)
	}
	for i := range 3 * contentsKept {
		q.Take(Evidence{Content: contentNamed(fmt.Sprintf("other-%d", i)), Ended: startNamed(fmt.Sprintf("s-%d", i)), At: now}, now)
	}
	require.True(t, q.Judge(barred, now).Barred)
	require.LessOrEqual(t, len(q.requests), contentsKept)
	require.Equal(t, []Held{{Content: barred, Until: now.Add(barFirst), Ends: []ServerStart{startNamed("first-0"), startNamed("first-1"), startNamed("first-2")}}}, q.Barred(now))
}

func TestABoxThatKnowsOfNoneAnyMoreNeedNotJudge(t *testing.T) {
	var q Quarantine
	now := time.Unix(1000, 0)
	q.Take(Evidence{Content: contentNamed("a"), Ended: startNamed("i-1"), At: now}, now)
	q.Expire(now)
	require.False(t, q.Empty())
	q.Expire(now.Add(suspectTime + time.Second))
	require.True(t, q.Empty())
}

func TestAServerThatIsNoLongerListedIsKnownAsSuch(t *testing.T) {
	w := newRestWorld(t, plain("i-1", 1))
	place := w.place()
	require.True(t, place.IsListed())
	w.list(plain("i-2", 1))
	require.False(t, place.IsListed())
}

func TestWhatAServerTookAfterItHadEndedWasTakenByALaterStart(t *testing.T) {
	var q Quarantine
	now, told := time.Unix(1000, 0), startNamed("i-1")
	ends := func(sent, at time.Time) ServerStart {
		start := q.StartAt(told, sent)
		q.Take(Evidence{Content: contentNamed("a"), Ended: start, At: at}, at)
		return start
	}
	require.Equal(t, told, ends(now, now.Add(time.Second)))
	require.Equal(t, told, ends(now.Add(time.Second/2), now.Add(2*time.Second)), "sent before the end, seen late")
	require.Equal(t, uint32(1), ends(now.Add(2*time.Second), now.Add(3*time.Second)).Again)
	require.Equal(t, uint32(2), ends(now.Add(4*time.Second), now.Add(5*time.Second)).Again)
	require.True(t, q.Judge(contentNamed("a"), now.Add(5*time.Second)).Barred)
}

func TestTwoSuspectsNeverGoToOneServer(t *testing.T) {
	w := newRestWorld(t, plain("i-1", 1), plain("i-2", 1))
	suspects := make(map[fleet.ServerID]int)
	for range 2 {
		place, _, err := w.d.Submit(&Ask{Suspect: true, Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, func(*Reservation) {}, w.now)
		require.NoError(t, err)
		require.NotNil(t, place)
		suspects[place.Server.ID]++
	}
	require.Equal(t, map[fleet.ServerID]int{"i-1": 1, "i-2": 1}, suspects)
	require.NotNil(t, w.place(), "others go where a suspect is")
}

func TestAServerThatHasEndedIsLeftAloneAtOnce(t *testing.T) {
	w := newRestWorld(t, plain("i-1", 1), plain("i-2", 1))
	place := w.place()
	place.Release(ResultEnded, w.now)
	served := w.served(8)
	require.Zero(t, served[place.Server.ID])
	require.Equal(t, member.Incarnation(1), place.Start().Incarnation)
}

func TestASuspectThatFindsNoServerHoldsUpNobody(t *testing.T) {
	w := newRestWorld(t, plain("i-1", 1))
	submit := func(suspect bool, granted func(*Reservation)) (*Reservation, *Waiting) {
		place, waiting, err := w.d.Submit(&Ask{Suspect: suspect, Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, granted, w.now)
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

// BenchmarkJudge asks about a request that is not known while contentsKept others are, and about one that has ended two servers, which
// is compared with all of them.
func BenchmarkJudge(b *testing.B) {
	var q Quarantine
	now := time.Unix(1000, 0)
	for i := range contentsKept - 1 {
		q.Take(Evidence{Content: contentNamed(fmt.Sprintf("other-%d", i)), Ended: startNamed(fmt.Sprintf("s-%d", i)), At: now}, now)
	}
	twice := contentNamed("twice")
	q.Take(Evidence{Content: twice, Ended: startNamed("first"), At: now.Add(time.Minute / 2)}, now)
	q.Take(Evidence{Content: twice, Ended: startNamed("second"), At: now.Add(time.Minute / 2)}, now)
	later := now.Add(time.Minute/2 + time.Second)
	for _, content := range []ContentID{contentNamed("unknown"), twice} {
		b.Run(strings.TrimRight(string(content[:8]), "\x00"), func(b *testing.B) {
			for b.Loop() {
				q.Judge(content, later)
			}
		})
	}
}

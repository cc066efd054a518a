package direct

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/virtual"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// A suspectSimulation simulates entry boxes that send requests to backend servers, with the evidence of production code on
// each box, in virtual time. Boxes report evidence to each other after delays that differ for each pair.

const (
	// simulatedRestart is how long a server that has exited is down.
	simulatedRestart = 3 * time.Second
	// simulatedReportInterval is the time between two reports of a box.
	simulatedReportInterval = 20 * time.Millisecond
	// simulatedFollowers is the number of boxes that receive the reports of a box directly in larger fleets. These boxes forward
	// the evidence to the others.
	simulatedFollowers = 8
	// maxSimulatedAttempts is the number of attempts of a request.
	maxSimulatedAttempts = 2
	// minSimulatedShare is the part of the requests without a cause that must be served when their callers first send them.
	minSimulatedShare = 0.95
	// maxBlockedShare is the part of the requests that may be blocked over all runs in which servers exit for other reasons.
	maxBlockedShare = 0.001
)

// simulatedServer is a backend server.
type simulatedServer struct {
	id          fleet.ServerID
	incarnation member.Incarnation
	isDown      bool
	requests    map[*simulatedRequest]struct{}
}

// simulatedBox is an entry box.
type simulatedBox struct {
	suspects *SuspectRequests
	cursor   uint64
	inFlight map[*simulatedRequest]struct{}
}

// simulatedRequest is a request, with its current attempt.
type simulatedRequest struct {
	*exchange

	box      *simulatedBox
	server   *simulatedServer
	number   int
	attempts int
	sentAt   time.Duration
	begunAt  time.Duration
	// waitsFrom is when the request began to wait for the next attempt.
	waitsFrom time.Duration
	onEnd     func(served bool)
}

// suspectSimulation is the state of one simulated run.
type suspectSimulation struct {
	virtual.Timeline

	random *rand.Rand
	// clock is the clock of the boxes. It is advanced to the time of each event.
	clock *clockwork.FakeClock
	// count numbers the requests.
	count   int
	boxes   []*simulatedBox
	servers []*simulatedServer
	// delays holds the delay of reports from each box to the boxes that follow it, by index.
	delays []map[int]time.Duration
	// causes are the attributes that make servers exit, exits the number of exits under each of them, and blocked the number of
	// requests without any of them that were refused.
	causes  []route.AttributeID
	exits   map[route.AttributeID]int
	blocked int
	// sound and served count the requests without a cause and those served of them, from a time on.
	sound, served int
	countFrom     time.Duration
	// sentItems is the number of items of evidence in all reports.
	sentItems int
}

func newSuspectSimulation(seed uint64, boxes, servers int) *suspectSimulation {
	s := &suspectSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClockAt(virtual.Epoch), exits: make(map[route.AttributeID]int),
	}
	for i := range boxes {
		suspects := newSuspectRequests(s.clock, zerolog.Nop(), NewMetrics())
		suspects.Box, suspects.BoxCount = member.BoxID(fmt.Sprintf("entry-%d", i)), func() int { return boxes }
		s.boxes = append(s.boxes, &simulatedBox{suspects: suspects, inFlight: make(map[*simulatedRequest]struct{})})
		delays := make(map[int]time.Duration)
		for j := range boxes {
			if j != i && (boxes <= simulatedFollowers || j == (i+1)%boxes || s.random.IntN(boxes) < simulatedFollowers) {
				delays[j] = s.drawDelay()
			}
		}
		s.delays = append(s.delays, delays)
	}
	for i := range servers {
		s.servers = append(s.servers, &simulatedServer{id: fleet.ServerID(fmt.Sprintf("i-%d", i)), incarnation: 1, requests: make(map[*simulatedRequest]struct{})})
	}
	for i := range s.boxes {
		s.after(time.Duration(s.random.Int64N(int64(simulatedReportInterval))), func() { s.report(i) })
	}
	return s
}

// drawDelay returns the delay of reports to a box of the same region, or to one of another region.
func (s *suspectSimulation) drawDelay() time.Duration {
	if s.random.IntN(4) == 0 {
		return time.Duration(100+s.random.IntN(300)) * time.Millisecond
	}
	return time.Duration(2+s.random.IntN(60)) * time.Millisecond
}

// after runs a function after a delay, and then what the boxes do because of new evidence.
func (s *suspectSimulation) after(delay time.Duration, run func()) {
	s.AfterFunc(delay, func() {
		s.clock.Advance(s.Now().Sub(s.clock.Now()))
		run()
		s.abortQuarantined()
	})
}

// report sends the new evidence of a box to all others.
func (s *suspectSimulation) report(from int) {
	box := s.boxes[from]
	evidence, cursor := box.suspects.Since(box.cursor)
	box.cursor = cursor
	if len(evidence) > 0 {
		encoded := evidenceToWire(evidence, s.clock.Now())
		for _, to := range slices.Sorted(maps.Keys(s.delays[from])) {
			s.sentItems += len(encoded)
			s.after(s.delays[from][to], func() {
				s.boxes[to].suspects.MergeEvidence(evidenceFromWire(encoded, s.clock.Now()), "peer")
			})
		}
	}
	s.after(simulatedReportInterval, func() { s.report(from) })
}

// abortQuarantined aborts the attempts that the boxes abort after new evidence.
func (s *suspectSimulation) abortQuarantined() {
	for _, box := range s.boxes {
		select {
		case <-box.suspects.mayBlock:
		default:
			continue
		}
		check := func() {
			for _, r := range sortedRequests(box.inFlight) {
				if r.server != nil && r.begunAt == 0 && !box.suspects.MaySend(r.attributes(), &r.turn, s.clock.Now()) {
					s.leaveServer(r)
					s.end(r, false)
				}
			}
		}
		check()
		s.after(settleCheckDelay, check)
	}
}

// newRequest returns a request with another content than all others and the given shared parts.
func (s *suspectSimulation) newRequest(organisation fleet.OrganisationName, parts ...provider.PromptPart) *exchange {
	s.count++
	x := exchangeWithBody(fmt.Sprintf("body %d", s.count))
	x.organisation, x.PromptParts = &fleet.Organisation{Name: organisation}, parts
	return x
}

// send sends a request to a random box.
func (s *suspectSimulation) send(x *exchange) {
	s.count++
	r := &simulatedRequest{exchange: x, box: s.boxes[s.random.IntN(len(s.boxes))], number: s.count, waitsFrom: s.Elapsed()}
	if !s.hasCause(x) && s.Elapsed() >= s.countFrom {
		s.sound++
		r.onEnd = func(served bool) {
			if served {
				s.served++
			}
		}
	}
	r.box.inFlight[r] = struct{}{}
	s.attempt(r)
}

// hasCause reports whether a request makes servers exit.
func (s *suspectSimulation) hasCause(x *exchange) bool {
	return slices.ContainsFunc(x.attributes(), func(id route.AttributeID) bool { return slices.Contains(s.causes, id) })
}

// attempt sends a request to a server, as checkQuarantine allows.
func (s *suspectSimulation) attempt(r *simulatedRequest) {
	permit := r.box.suspects.CheckSend(r.attributes(), &r.turn, virtual.Epoch.Add(r.waitsFrom), s.clock.Now())
	switch {
	case permit.Wait > 0:
		s.after(permit.Wait, func() { s.attempt(r) })
		return
	case permit.Rejected != nil:
		if !s.hasCause(r.exchange) {
			s.blocked++
		}
		s.end(r, false)
		return
	}
	var up []*simulatedServer
	for _, server := range s.servers {
		if !server.isDown {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		s.end(r, false)
		return
	}
	r.attempts++
	r.server, r.sentAt, r.begunAt = up[s.random.IntN(len(up))], s.Elapsed(), 0
	r.server.requests[r] = struct{}{}
	attempt := r.attempts
	s.after(time.Duration(60+s.random.IntN(340))*time.Millisecond, func() {
		if r.attempts == attempt && r.server != nil {
			s.begin(r)
		}
	})
}

// begin begins the response to a request, or ends its server.
func (s *suspectSimulation) begin(r *simulatedRequest) {
	if s.hasCause(r.exchange) {
		for _, id := range r.attributes() {
			if slices.Contains(s.causes, id) {
				s.exits[id]++
			}
		}
		s.crash(r.server)
		return
	}
	r.begunAt = s.Elapsed()
	attempt := r.attempts
	s.after(safeResponseDuration, func() {
		if r.attempts == attempt && r.server != nil {
			s.leaveServer(r)
			r.box.suspects.NoteAnswered(r.partIDs(), s.clock.Now())
			for _, id := range r.attributes() {
				r.box.suspects.Observe(route.Evidence{Attribute: id, At: s.clock.Now()}, "request")
			}
			s.end(r, true)
		}
	})
}

// crash ends a server, which restarts later.
func (s *suspectSimulation) crash(server *simulatedServer) {
	if server.isDown {
		return
	}
	server.isDown = true
	exited := route.ServerIncarnation{Server: server.id, Incarnation: server.incarnation}
	for _, r := range sortedRequests(server.requests) {
		s.leaveServer(r)
		now := s.clock.Now()
		for _, id := range r.box.suspects.PossibleCauses(r.attributes(), virtual.Epoch.Add(r.sentAt), now) {
			r.box.suspects.Observe(route.Evidence{Attribute: id, Exited: exited, At: now}, "request")
		}
		r.waitsFrom = s.Elapsed()
		if r.attempts < maxSimulatedAttempts {
			s.attempt(r)
		} else {
			s.end(r, false)
		}
	}
	s.after(simulatedRestart, func() { server.isDown, server.incarnation = false, server.incarnation+1 })
}

// sortedRequests returns the requests of a set in the order in which they were sent first.
func sortedRequests(set map[*simulatedRequest]struct{}) []*simulatedRequest {
	return slices.SortedFunc(maps.Keys(set), func(a, b *simulatedRequest) int { return cmp.Compare(a.number, b.number) })
}

func (s *suspectSimulation) leaveServer(r *simulatedRequest) {
	delete(r.server.requests, r)
	r.server = nil
}

// end ends a request.
func (s *suspectSimulation) end(r *simulatedRequest, served bool) {
	r.box.suspects.EndTurn(&r.turn)
	delete(r.box.inFlight, r)
	if r.onEnd != nil {
		r.onEnd(served)
	}
}

// sendEvery sends requests at a rate per second, at random times, until a time.
func (s *suspectSimulation) sendEvery(rate float64, until time.Duration, next func() *exchange) {
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if s.Elapsed()+gap > until {
		return
	}
	s.after(gap, func() {
		s.send(next())
		s.sendEvery(rate, until, next)
	})
}

// drawParts returns the first part of all prompts and two others, some of which are drawn often and many seldom.
func (s *suspectSimulation) drawParts() []provider.PromptPart {
	draw := func() provider.PromptPart {
		if s.random.IntN(2) == 0 {
			return provider.PromptPart(fmt.Sprintf("aa%02x", s.random.IntN(6)))
		}
		return provider.PromptPart(fmt.Sprintf("bb%03x", s.random.IntN(400)))
	}
	return []provider.PromptPart{"f001", draw(), draw()}
}

// addCause makes all requests with an attribute of an organisation's request exit servers and sends such requests.
func (s *suspectSimulation) addCause(kind string, number int, rate float64, until time.Duration) {
	part := provider.PromptPart(fmt.Sprintf("dead%02x", number))
	example := s.newRequest("kumiai", part)
	next := func() *exchange {
		parts := s.drawParts()
		if kind == "first part" {
			parts[0] = part
		} else {
			parts = slices.Insert(parts, 1+s.random.IntN(2), part)
		}
		return s.newRequest("kumiai", parts...)
	}
	cause := example.partIDs()[0]
	switch kind {
	case "content":
		cause = example.contentID()
		body := example.body
		next = func() *exchange {
			x := s.newRequest("kumiai", s.drawParts()...)
			x.body = body
			return x
		}
	case "part of one organisation":
		cause = example.partIDs()[1]
	}
	s.causes = append(s.causes, cause)
	s.sendEvery(rate, until, next)
}

// findBlocked returns an attribute other than the causes whose requests are refused at some box.
func (s *suspectSimulation) findBlocked() (string, bool) {
	for i := range 300 {
		x := s.newRequest("kumiai", s.drawParts()...)
		if i%3 == 0 {
			x.organisation = &fleet.Organisation{Name: "nouka"}
		}
		for _, box := range s.boxes {
			if decision := box.suspects.EvaluateRequest(x.attributes(), s.clock.Now()); decision.Blocked {
				return fmt.Sprintf("parts %v at %s, %+v", x.promptParts(), box.suspects.Box, decision), true
			}
		}
	}
	return "", false
}

// Guards against a cause of exits that is wider or narrower than what evidence is kept for, on boxes that know the evidence of
// others late.
func TestExitsUnderAnyAttributeAreBounded(t *testing.T) {
	const duration, causesFrom = 25 * time.Second, 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.SampledFrom([]int{1, 3, 7}).Draw(t, "boxes")
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"content", "part", "first part", "part of one organisation"}), 1, 2).Draw(t, "causes")
		rate := rapid.SampledFrom([]float64{0.3, 1.5, 8, 25}).Draw(t, "requests with a cause per second")
		s := newSuspectSimulation(rapid.Uint64().Draw(t, "seed"), boxes, 24)
		s.sendEvery(60, duration, func() *exchange { return s.newRequest("kumiai", s.drawParts()...) })
		s.sendEvery(10, duration, func() *exchange { return s.newRequest("nouka", s.drawParts()...) })
		s.after(causesFrom, func() {
			for i, kind := range kinds {
				s.addCause(kind, i, rate, duration)
			}
		})
		s.countFrom = causesFrom + 2*time.Second
		s.Run(duration + 5*time.Second)
		for i, cause := range s.causes {
			if s.exits[cause] > 8 {
				t.Fatalf("%d exits under the %s %s", s.exits[cause], kinds[i], cause)
			}
		}
		if float64(s.served) < minSimulatedShare*float64(s.sound) {
			t.Fatalf("%d of %d other requests were served, %d were blocked", s.served, s.sound, s.blocked)
		}
		if blocked, found := s.findBlocked(); found {
			t.Fatalf("blocked without a cause: %s", blocked)
		}
	})
}

// Guards against attributes that are blocked because servers exit for other reasons, one by one or several at a time.
func TestExitsForOtherReasonsBlockNobody(t *testing.T) {
	const duration = 25 * time.Second
	blockedCount, sentCount := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.SampledFrom([]int{1, 3, 7}).Draw(t, "boxes")
		atOnce := rapid.SampledFrom([]int{1, 4}).Draw(t, "exits at once")
		gap := time.Duration(rapid.IntRange(400, 1600).Draw(t, "milliseconds between exits")) * time.Millisecond * time.Duration(atOnce)
		s := newSuspectSimulation(rapid.Uint64().Draw(t, "seed"), boxes, 24)
		s.sendEvery(60, duration, func() *exchange { return s.newRequest("kumiai", s.drawParts()...) })
		var exit func()
		exit = func() {
			for range atOnce {
				s.crash(s.servers[s.random.IntN(len(s.servers))])
			}
			if s.Elapsed() < duration {
				s.after(gap, exit)
			}
		}
		s.after(gap, exit)
		s.Run(duration + 5*time.Second)
		blockedCount, sentCount = blockedCount+s.blocked, sentCount+s.sound
		if blocked, found := s.findBlocked(); found {
			t.Fatalf("blocked without a cause: %s", blocked)
		}
	})
	t.Logf("%d of %d requests were blocked", blockedCount, sentCount)
	if float64(blockedCount) > maxBlockedShare*float64(sentCount) {
		t.Errorf("%d of %d requests were blocked", blockedCount, sentCount)
	}
}

// Guards against exits that grow with the number of boxes.
func TestExitsUnderAPartDoNotGrowWithTheFleet(t *testing.T) {
	const duration, causesFrom = 12 * time.Second, 2 * time.Second
	for _, boxes := range []int{41, 150} {
		s := newSuspectSimulation(uint64(boxes), boxes, 2*boxes)
		s.sendEvery(60, duration, func() *exchange { return s.newRequest("kumiai", s.drawParts()...) })
		s.after(causesFrom, func() { s.addCause("part", 0, 25, duration) })
		s.countFrom = causesFrom + 2*time.Second
		s.Run(duration + time.Second)
		exits := s.exits[s.causes[0]]
		t.Logf("%d boxes: %d exits, %d of %d other requests served, %d blocked, %d items of evidence sent", boxes, exits, s.served, s.sound, s.blocked, s.sentItems)
		if exits > 8 || float64(s.served) < minSimulatedShare*float64(s.sound) {
			t.Errorf("%d boxes: %d exits, %d of %d other requests served", boxes, exits, s.served, s.sound)
		}
	}
}

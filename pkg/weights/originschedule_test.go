package weights

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The schedule is meant for links that are busy for seconds with one copy of the weights, so the times of the swarm are
// those of such links. They are the same as in production.
const (
	swarmStep          = 5 * time.Millisecond
	swarmPollInterval  = 80 * time.Millisecond
	swarmProbeInterval = 150 * time.Millisecond
	swarmRetryDelay    = 300 * time.Millisecond
	// swarmConnections is the number of connections that the origin accepts. A fetch beyond it fails after
	// swarmConnectTimeout.
	swarmConnections    = 48
	swarmConnectTimeout = time.Second
	// swarmUploads is the number of chunks that a box sends at once; others wait.
	swarmUploads    = 2
	swarmRings      = 4
	swarmWindow     = 4
	swarmLoadTime   = 1500 * time.Millisecond
	swarmMaxLag     = 500 * time.Millisecond
	swarmLateSpread = 1500 * time.Millisecond
)

// swarmCase is a download of several versions by boxes that run the production schedule and pickers.
type swarmCase struct {
	boxes, chunks int
	// interval is the transfer time of one chunk over the origin's link, boxInterval over a box's link.
	interval, boxInterval time.Duration
	// published are the times of publication, bound is the time from the publication of a version to the cutoff of older ones.
	published []time.Duration
	bound     time.Duration
	// outages are the periods in which the origin refuses connections.
	outages []period
	// restarts maps boxes to the time at which they lose all chunks and start again.
	restarts map[int]time.Duration
	// wrong is the share of origin fetches that deliver wrong bytes.
	wrong float64
	seed  uint64
}

type period struct{ from, to time.Duration }

// outageSwarm simulates a swarmCase. Transfers share the links of their source and destination equally.
type outageSwarm struct {
	swarmCase
	now       time.Time
	epoch     time.Time
	random    *rand.Rand
	manifests []*Manifest
	boxes     []*swarmBox
	// rings are orders of the boxes; each box has the ones beside it on each ring as neighbours.
	rings     [][]int
	transfers []*transfer
	// sent counts the chunks that the origin has sent of each version, complete the time at which all boxes held a version.
	sent     []int
	complete []time.Duration
	// lacking is the largest number of chunks of each version that a box lacked when the last outage ended.
	lacking []int
}

type swarmBox struct {
	name             string
	schedule         *OriginSchedule
	pickers          []*Picker
	unavailableSince time.Time
	startedAt        time.Time
	known            int
}

type transfer struct {
	box, version int
	task         FetchTask
	// remaining is the part of the chunk that has not arrived; failAt is when the transfer fails, if it is not zero.
	remaining float64
	failAt    time.Time
	wrong     bool
	// moves is set if the transfer has a part of the links in the current step.
	moves bool
}

func newOutageSwarm(t require.TestingT, c *swarmCase) *outageSwarm {
	s := &outageSwarm{
		swarmCase: *c, epoch: time.Unix(1000, 0), random: rand.New(rand.NewPCG(c.seed, 0)),
		sent: make([]int, len(c.published)), complete: make([]time.Duration, len(c.published)),
	}
	data := make([]byte, c.chunks)
	for version := range c.published {
		for i := range data {
			data[i] = byte(i + version)
		}
		m := buildManifest(t, 1, data)
		m.Version = fmt.Sprint(version)
		s.manifests = append(s.manifests, m)
		s.lacking = append(s.lacking, c.chunks)
	}
	for i := range c.boxes {
		s.boxes = append(s.boxes, &swarmBox{name: boxName(i)})
	}
	for range swarmRings {
		s.rings = append(s.rings, s.random.Perm(c.boxes))
	}
	for i := range s.boxes {
		s.start(i, s.epoch)
	}
	return s
}

// start starts a box without any chunks.
func (s *outageSwarm) start(i int, now time.Time) {
	b := s.boxes[i]
	b.schedule = NewOriginSchedule(OriginScheduleOptions{Interval: s.interval, LoadTime: swarmLoadTime, MaxLag: swarmMaxLag})
	b.pickers = make([]*Picker, len(s.published))
	b.startedAt, b.known, b.unavailableSince = now, 0, time.Time{}
}

// servingUntil is the cutoff of the version that the servers run at the start.
func (s *outageSwarm) servingUntil() time.Time { return s.epoch.Add(s.published[0] + s.bound) }

// learn makes a box start the downloads of the versions that it has learned of, shortly after their publication.
func (s *outageSwarm) learn(b *swarmBox) {
	known := 0
	for _, published := range s.published {
		if s.now.Sub(s.epoch.Add(published)) > 50*time.Millisecond {
			known++
		}
	}
	if known == b.known {
		return
	}
	b.known = known
	var wanted []WantedVersion
	for version := range known {
		w := WantedVersion{Version: s.manifests[version].Version, Chunks: s.chunks, PublishedAt: s.epoch.Add(s.published[version])}
		if version+1 < known {
			w.Cutoff = s.epoch.Add(s.published[version+1] + s.bound)
		}
		wanted = append(wanted, w)
	}
	b.schedule.SetVersions(wanted, s.servingUntil(), s.now)
	for version := range known {
		if b.pickers[version] == nil {
			b.pickers[version] = s.newPicker(b, version)
		}
	}
}

func (s *outageSwarm) newPicker(b *swarmBox, version int) *Picker {
	options := DefaultPickerOptions()
	options.OriginWindow, options.OriginInterval, options.OriginBurst, options.TotalWindow = 4, s.interval, 2, swarmWindow
	options.OriginHedgeDelay = max(4*s.interval, time.Duration(s.chunks)*s.interval/8)
	options.SilenceTimeout, options.ProbeInterval, options.NeighbourWindow = 400*time.Millisecond, swarmProbeInterval, 1
	options.RankDelay, options.MaxOriginWait = 500*time.Millisecond, 1200*time.Millisecond
	p := NewPicker(s.manifests[version], b.name, nil, options, s.now)
	var all, neighbours []Peer
	for _, other := range s.boxes {
		all = append(all, Peer{Box: other.name})
	}
	for _, ring := range s.rings {
		for i, box := range ring {
			if s.boxes[box] == b {
				neighbours = append(neighbours, Peer{Box: s.boxes[ring[(i+1)%len(ring)]].name}, Peer{Box: s.boxes[ring[(i+len(ring)-1)%len(ring)]].name})
			}
		}
	}
	p.SetOriginFetchers(all)
	p.SetNeighbours(neighbours)
	return p
}

func (s *outageSwarm) isUnavailable(at time.Duration) bool {
	for _, o := range s.outages {
		if at >= o.from && at < o.to {
			return true
		}
	}
	return false
}

// run simulates until all boxes hold the newest version or the time is over.
func (s *outageSwarm) run(until time.Duration) {
	for at := time.Duration(0); at < until; at += swarmStep {
		s.now = s.epoch.Add(at)
		for i, restartAt := range s.restarts {
			if at == restartAt {
				s.start(i, s.now)
				s.dropTransfers(i)
			}
		}
		s.recordLacking(at)
		s.move(at)
		if at%swarmPollInterval == 0 {
			s.poll()
		}
		for i, b := range s.boxes {
			s.learn(b)
			s.fetch(i, b, at)
		}
		s.recordComplete(at)
		if s.complete[len(s.complete)-1] > 0 {
			return
		}
	}
}

func (s *outageSwarm) dropTransfers(box int) {
	kept := s.transfers[:0]
	for _, t := range s.transfers {
		if t.box != box {
			kept = append(kept, t)
		}
	}
	s.transfers = kept
}

// fetch starts the fetches that the pickers of a box allow.
func (s *outageSwarm) fetch(i int, b *swarmBox, at time.Duration) {
	for version, p := range b.pickers {
		if p == nil || p.Missing() == 0 {
			continue
		}
		if schedule, ok := b.schedule.Version(p.manifest.Version); ok {
			p.SetSchedule(schedule, s.now)
		}
		for task, ok := p.Next(s.now); ok; task, ok = p.Next(s.now) {
			t := &transfer{box: i, version: version, task: task, remaining: 1, wrong: task.FromOrigin() && s.random.Float64() < s.wrong}
			switch {
			case task.FromOrigin() && s.isUnavailable(at):
				t.failAt = s.now.Add(2 * swarmStep)
			case task.FromOrigin() && s.originTransfers() >= swarmConnections:
				t.failAt = s.now.Add(swarmConnectTimeout)
			}
			s.transfers = append(s.transfers, t)
		}
	}
}

func (s *outageSwarm) originTransfers() int {
	count := 0
	for _, t := range s.transfers {
		if t.task.FromOrigin() && t.failAt.IsZero() {
			count++
		}
	}
	return count
}

// move advances all transfers by one step. Boxes send the chunks of earlier versions first.
func (s *outageSwarm) move(at time.Duration) {
	sources, destinations := make(map[string]int), make(map[int]int)
	slices.SortStableFunc(s.transfers, func(a, b *transfer) int { return a.version - b.version })
	for _, t := range s.transfers {
		t.moves = t.failAt.IsZero() && (t.task.FromOrigin() || sources[t.task.From] < swarmUploads)
		if t.moves {
			sources[t.task.From]++
			destinations[t.box]++
		}
	}
	kept := make([]*transfer, 0, len(s.transfers))
	var ended []*transfer
	for _, t := range s.transfers {
		if t.moves {
			interval := s.boxInterval
			if t.task.FromOrigin() {
				interval = s.interval
			}
			rate := min(1/(interval.Seconds()*float64(sources[t.task.From])), 1/(s.boxInterval.Seconds()*float64(destinations[t.box])))
			t.remaining -= rate * swarmStep.Seconds()
		}
		if t.remaining <= 0 || !t.failAt.IsZero() && !s.now.Before(t.failAt) || t.task.FromOrigin() && t.failAt.IsZero() && s.isUnavailable(at) {
			ended = append(ended, t)
			continue
		}
		kept = append(kept, t)
	}
	s.transfers = kept
	for _, t := range ended {
		s.end(t)
	}
}

// end reports the result of a transfer to the box.
func (s *outageSwarm) end(t *transfer) {
	b := s.boxes[t.box]
	p := b.pickers[t.version]
	fromOrigin := t.task.FromOrigin()
	if fromOrigin && t.remaining <= 0 {
		s.sent[t.version]++
		b.schedule.EndOutage(s.servingUntil(), s.now)
	}
	switch {
	case t.remaining <= 0 && !t.wrong:
		p.Done(t.task, s.now)
		if p.Missing() == 0 {
			b.schedule.SetComplete(p.manifest.Version)
		}
		return
	case fromOrigin && t.remaining > 0 && b.schedule.FetchFailed():
		b.unavailableSince = s.now
	}
	p.Failed(t.task, s.now.Add(swarmRetryDelay))
}

// poll passes the holdings of the polled boxes to each picker, and the missing chunks to the schedules.
func (s *outageSwarm) poll() {
	byName := make(map[string]*swarmBox)
	for _, b := range s.boxes {
		byName[b.name] = b
	}
	for _, b := range s.boxes {
		for version, p := range b.pickers {
			if p == nil || p.Missing() == 0 {
				continue
			}
			for _, name := range p.BoxesToPoll() {
				held := Bits(nil)
				if other := byName[name].pickers[version]; other != nil {
					held = other.held
				}
				p.SetHoldings(name, append(Bits(nil), held...))
				p.RecordResponse(name, s.now)
			}
			s.recordShortage(b, p)
		}
	}
}

func (s *outageSwarm) recordShortage(b *swarmBox, p *Picker) {
	shortage := p.UpdateShortage(s.now)
	if b.schedule.RecordShortage(p.manifest.Version, &shortage) {
		b.unavailableSince = s.now
	}
	if b.schedule.IsUnavailable() && shortage.Appeared && s.now.Sub(b.unavailableSince) > swarmLateSpread {
		b.schedule.EndOutage(s.servingUntil(), s.now)
	}
}

func (s *outageSwarm) recordComplete(at time.Duration) {
	for version := range s.complete {
		if s.complete[version] > 0 {
			continue
		}
		whole := true
		for _, b := range s.boxes {
			whole = whole && b.pickers[version] != nil && b.pickers[version].Missing() == 0
		}
		if whole {
			s.complete[version] = at
		}
	}
}

// linkTimes returns when the origin's link alone could have sent each version, if it sends them in the order of their
// publication.
func (s *outageSwarm) linkTimes() []time.Duration {
	at := time.Duration(0)
	var times []time.Duration
	for _, published := range s.published {
		at = max(at, published)
		for range s.chunks {
			for _, o := range s.outages {
				if at+s.interval > o.from && at < o.to {
					at = o.to
				}
			}
			at += s.interval
		}
		times = append(times, at)
	}
	return times
}

// recordLacking records how many chunks of each version boxes lack when an outage ends.
func (s *outageSwarm) recordLacking(at time.Duration) {
	if !slices.ContainsFunc(s.outages, func(o period) bool { return o.to == at }) {
		return
	}
	for version := range s.lacking {
		s.lacking[version] = 0
		for _, b := range s.boxes {
			if p := b.pickers[version]; p != nil && s.complete[version] == 0 {
				s.lacking[version] = max(s.lacking[version], p.Missing())
			}
		}
	}
}

// boxTime returns how long one box's link takes for the chunks that the box lacked when the last outage ended.
func (s *outageSwarm) boxTime(version int) time.Duration {
	return time.Duration(s.lacking[version]) * s.boxInterval
}

const (
	// swarmTolerance is how much later than the link's time, and the time of one box's link for what it lacks, a version
	// may be complete.
	swarmTolerance = 500 * time.Millisecond
	// maxOriginCopies is how many copies of each version the origin may send.
	maxOriginCopies = 1.15
)

// deploymentCases are links on which one copy takes seconds, with versions that are published while the origin is about
// to become unavailable.
func deploymentCases() map[string]*swarmCase {
	narrow := swarmCase{
		boxes: 45, chunks: 64, interval: 45900 * time.Microsecond, boxInterval: 35900 * time.Microsecond, bound: 10300 * time.Millisecond,
		published: []time.Duration{time.Second, 3 * time.Second}, outages: []period{{3500 * time.Millisecond, 9500 * time.Millisecond}},
	}
	long := swarmCase{
		boxes: 34, chunks: 96, interval: 46700 * time.Microsecond, boxInterval: 28 * time.Millisecond, bound: 13400 * time.Millisecond,
		published: []time.Duration{time.Second, 3 * time.Second}, outages: []period{{3500 * time.Millisecond, 9500 * time.Millisecond}},
	}
	cases := make(map[string]*swarmCase)
	add := func(name string, base swarmCase, change func(c *swarmCase)) {
		change(&base)
		cases[name] = &base
	}
	add("two versions", narrow, func(*swarmCase) {})
	add("two versions, long copies", long, func(*swarmCase) {})
	add("one version", narrow, func(c *swarmCase) { c.published = c.published[:1] })
	add("one version, long copies", long, func(c *swarmCase) { c.published = c.published[:1] })
	add("15 boxes", narrow, func(c *swarmCase) { c.boxes = 15 })
	add("150 boxes", narrow, func(c *swarmCase) { c.boxes = 150 })
	add("boxes restart", narrow, func(c *swarmCase) {
		c.restarts = map[int]time.Duration{3: 3100 * time.Millisecond, 11: 3100 * time.Millisecond, 30: 3100 * time.Millisecond}
	})
	add("wrong bytes", narrow, func(c *swarmCase) { c.wrong = 0.06 })
	add("second outage", narrow, func(c *swarmCase) { c.outages = append(c.outages, period{10500 * time.Millisecond, 13 * time.Second}) })
	return cases
}

// Guards against downloads of several versions that share the origin's link: all of them are then complete at the end,
// after the cutoff of the older weights.
func TestVersionsAreCompleteSoonAfterOriginReturns(t *testing.T) {
	for name, c := range deploymentCases() {
		t.Run(name, func(t *testing.T) {
			s := newOutageSwarm(t, c)
			s.run(40 * time.Second)
			for version, linkTime := range s.linkTimes() {
				require.NotZero(t, s.complete[version], "version %d", version)
				latest := linkTime + s.boxTime(version) + swarmTolerance
				require.LessOrEqual(t, s.complete[version], latest, "version %d, link time %v", version, linkTime)
				require.LessOrEqual(t, s.sent[version], int(maxOriginCopies*float64(s.chunks)), "version %d", version)
			}
		})
	}
}

// Guards against a schedule that stops for good, whatever the outages and restarts.
func TestScheduleCompletesEveryNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &swarmCase{
			boxes: rapid.IntRange(5, 40).Draw(t, "boxes"), chunks: rapid.IntRange(8, 48).Draw(t, "chunks"),
			interval:    time.Duration(rapid.IntRange(10, 60).Draw(t, "interval_ms")) * time.Millisecond,
			boxInterval: time.Duration(rapid.IntRange(10, 60).Draw(t, "box_interval_ms")) * time.Millisecond,
			bound:       time.Duration(rapid.IntRange(4, 14).Draw(t, "bound_s")) * time.Second,
			published:   []time.Duration{time.Second}, seed: rapid.Uint64().Draw(t, "seed"),
		}
		for range rapid.IntRange(0, 2).Draw(t, "more_versions") {
			last := c.published[len(c.published)-1]
			c.published = append(c.published, last+time.Duration(rapid.IntRange(200, 4000).Draw(t, "gap_ms"))*time.Millisecond)
		}
		at := time.Duration(0)
		for range rapid.IntRange(0, 2).Draw(t, "outages") {
			from := at + time.Duration(rapid.IntRange(1000, 4000).Draw(t, "from_ms"))*time.Millisecond
			at = from + time.Duration(rapid.IntRange(500, 6000).Draw(t, "away_ms"))*time.Millisecond
			c.outages = append(c.outages, period{from, at})
		}
		if rapid.Bool().Draw(t, "restarts") {
			c.restarts = map[int]time.Duration{1: 2 * time.Second, 3: 3 * time.Second}
		}
		s := newOutageSwarm(t, c)
		s.run(60 * time.Second)
		newest := len(c.published) - 1
		if s.complete[newest] == 0 {
			t.Fatalf("newest version is not complete")
		}
		// Boxes that restart lose chunks that nobody else may hold, and then need the origin again.
		latest := max(s.linkTimes()[newest], at, 3*time.Second)
		latest += time.Duration(len(c.published)*c.chunks)*max(c.interval, c.boxInterval) + 4*time.Second
		if s.complete[newest] > latest {
			t.Fatalf("newest version is complete at %v, want %v", s.complete[newest], latest)
		}
	})
}

// Guards against an older version that delays the newest one although it would be complete too late to be used, or no sooner.
func TestVersionWithoutUseComesLast(t *testing.T) {
	now := time.Unix(1000, 0)
	const interval = 50 * time.Millisecond
	cases := []struct {
		name string
		// bound is the time from a publication to the cutoff of older versions.
		bound time.Duration
		// gap is the time between the publications.
		gap  time.Duration
		want []string
	}{
		{"both in time", 10 * time.Second, 2 * time.Second, []string{"1", "2"}},
		{"published together", 10 * time.Second, 50 * time.Millisecond, []string{"2", "1"}},
		{"older one after its cutoff", 2500 * time.Millisecond, 2 * time.Second, []string{"2", "1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewOriginSchedule(OriginScheduleOptions{Interval: interval, LoadTime: swarmLoadTime, MaxLag: swarmMaxLag})
			published := now.Add(-c.gap)
			s.SetVersions([]WantedVersion{
				{Version: "1", Chunks: 60, PublishedAt: published, Cutoff: now.Add(c.bound)},
				{Version: "2", Chunks: 60, PublishedAt: now},
			}, published.Add(c.bound), now)
			var order []string
			for _, scheduled := range s.Order() {
				order = append(order, scheduled.Version)
			}
			require.Equal(t, c.want, order)
		})
	}
}

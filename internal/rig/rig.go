// Package rig measures the distribution of weights: the decisions of
// pkg/weights and pkg/member as they are, over links in memory on a clock of its
// own. A run is repeatable: the same options give the same result.
//
// # Link model
//
// Each box has one link up and one link down of the same rate (full duplex), the
// source has one link up. A transfer waits its turn on the sender's link, then
// on the receiver's; it passes through while it comes. The source's rate is twice
// a box's, because in the time allowed its link carries four copies and a box's
// two. Control messages take one latency and no bandwidth. The lower bound is the
// largest of: a copy over the source's link, a copy over a box's link, and all
// copies over all links up.
//
// # Usage
//
//	result := rig.Run(rig.Options{Boxes: 200, Regions: 3, Chunks: 400, Picker: weights.DefaultPickerOptions()})
//	fmt.Println(result.Time/result.Bound, result.SourceCopies)
package rig

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cinderslip/cinderslip/internal/virtual"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// The link model.
const (
	// copyTime is how long one copy takes over a box's link.
	copyTime = 90 * time.Second
	// sourceFactor is how much faster the source's link is.
	sourceFactor = 2
	// domainsPerRegion is the number of failure domains of a region.
	domainsPerRegion = 2

	latency     = 3 * time.Millisecond
	pollTime    = 200 * time.Millisecond
	stallTime   = 2 * time.Second
	refusedTime = time.Second
	// silenceTime is how long a dead box is still thought to be up.
	silenceTime = 4500 * time.Millisecond
)

// Options says what is run.
type Options struct {
	Boxes   int
	Regions int
	Chunks  int
	// Dying and Stalling are the parts of the boxes that die at a random time
	// within a copy time, and whose link up stands still from a random time.
	Dying    float64
	Stalling float64
	Seed     uint64
	Picker   weights.PickerOptions
}

// Result is what a run came to.
type Result struct {
	// Time is when the last box that lives had the whole.
	Time  time.Duration
	Bound time.Duration
	// SourceCopies is what the source sent, RegionCopies the most that any region
	// got over long links, both in copies.
	SourceCopies float64
	RegionCopies float64
	// Decisions counts the fetches that were started.
	Decisions int
	// Complete is false if some box never got the whole.
	Complete bool
}

type link struct {
	free time.Duration
	rate time.Duration
}

type box struct {
	record   member.Record
	picker   *weights.Picker
	held     weights.Bits
	up, down link
	dead     bool
	stalled  bool
	done     time.Duration
}

type run struct {
	virtual.Timeline
	options  Options
	random   *rand.Rand
	manifest *weights.Manifest
	boxes    []*box
	byName   map[string]*box
	source   link
	left     int
	result   Result
	sent     int
	far      map[member.Region]int
}

// Run distributes one version to boxes that have nothing.
func Run(options Options) Result {
	r := &run{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), manifest: newManifest(options.Chunks),
		byName: make(map[string]*box), far: make(map[member.Region]int),
	}
	chunkTime := copyTime / time.Duration(options.Chunks)
	r.source = link{rate: chunkTime / sourceFactor}
	for i := range options.Boxes {
		r.addBox(i, chunkTime)
	}
	r.left = len(r.boxes)
	r.meet()
	r.breakSome()
	for i, b := range r.boxes {
		r.AfterFunc(pollTime*time.Duration(i)/time.Duration(len(r.boxes)), func() { r.poll(b) })
	}
	limit := time.Duration(options.Boxes+10) * copyTime
	for r.left > 0 && r.Step(limit) {
	}
	return r.finish()
}

// newManifest describes weights whose chunks differ; their bytes never exist.
func newManifest(chunks int) *weights.Manifest {
	manifest := &weights.Manifest{Model: "m", Version: "v", Files: []weights.File{{Path: "w", Size: int64(chunks)}}}
	for i := range chunks {
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{Offset: int64(i), Size: 1, Digest: weights.Sum([]byte(fmt.Sprint(i)))})
	}
	return manifest
}

func (r *run) addBox(i int, chunkTime time.Duration) {
	region := i % r.options.Regions
	name := fmt.Sprintf("box-%04d", i)
	b := &box{
		record: member.Record{
			Box: member.BoxID(name), Region: member.Region(fmt.Sprint("r", region)),
			FailureDomain: member.FailureDomain(fmt.Sprint("r", region, "-", i/r.options.Regions%domainsPerRegion)),
		},
		picker: weights.NewPicker(r.manifest, name, nil, r.options.Picker, virtual.Epoch),
		held:   weights.NewBits(r.options.Chunks),
		up:     link{rate: chunkTime}, down: link{rate: chunkTime},
	}
	r.boxes = append(r.boxes, b)
	r.byName[name] = b
}

// meet tells every box that is up its neighbours and the drawers, as monitors do.
func (r *run) meet() {
	var records []member.Record
	for _, b := range r.boxes {
		if !b.dead {
			records = append(records, b.record)
		}
	}
	for _, b := range r.boxes {
		if b.dead || b.done > 0 {
			continue
		}
		b.picker.SetNeighbours(peersOf(b.record, member.Neighbours(b.record, records)))
		b.picker.SetOriginFetchers(peersOf(b.record, records))
	}
}

func peersOf(self member.Record, records []member.Record) []weights.Peer {
	peers := make([]weights.Peer, 0, len(records))
	for _, record := range records {
		peers = append(peers, weights.Peer{Box: string(record.Box), Remote: record.Region != self.Region})
	}
	return peers
}

// breakSome lets boxes die and links stand still at random times. Deaths are
// noticed in groups, a few seconds apart, to bound the work of the rig.
func (r *run) breakSome() {
	for _, b := range r.boxes[1:] {
		at := time.Duration(r.random.Float64() * float64(copyTime))
		switch chance := r.random.Float64(); {
		case chance < r.options.Dying:
			r.AfterFunc(at, func() {
				b.dead = true
				if b.done == 0 {
					r.left--
				}
			})
		case chance < r.options.Dying+r.options.Stalling:
			r.AfterFunc(at, func() { b.stalled = true })
		}
	}
	if r.options.Dying > 0 {
		for at := silenceTime; at < copyTime+2*silenceTime; at += silenceTime {
			r.AfterFunc(at, r.meet)
		}
	}
}

// poll asks the neighbours what they hold, as the agent does.
func (r *run) poll(b *box) {
	if b.dead || b.done > 0 {
		return
	}
	for _, name := range b.picker.BoxesToPoll() {
		n := r.byName[name]
		held := n.held
		if n.dead {
			held = nil
		}
		b.picker.SetHoldings(name, append(weights.Bits(nil), held...))
	}
	r.fetch(b)
	r.AfterFunc(pollTime, func() { r.poll(b) })
}

func (r *run) fetch(b *box) {
	for {
		task, ok := b.picker.Next(r.Now())
		if !ok {
			return
		}
		r.result.Decisions++
		r.transfer(b, task)
	}
}

func (r *run) transfer(b *box, task weights.FetchTask) {
	from := r.byName[task.From]
	switch {
	case from != nil && from.dead:
		r.AfterFunc(refusedTime, func() { r.failed(b, task) })
	case from != nil && from.stalled:
		r.AfterFunc(stallTime, func() { r.failed(b, task) })
	default:
		up := &r.source
		if from != nil {
			up = &from.up
		}
		r.AfterFunc(r.send(up), func() {
			r.AfterFunc(r.receive(&b.down), func() { r.arrived(b, from, task) })
		})
	}
}

// send takes a transfer's turn on the sender's link and returns when it has gone.
func (r *run) send(up *link) time.Duration {
	up.free = max(r.Elapsed()+latency, up.free) + up.rate
	return up.free - r.Elapsed()
}

// receive takes its turn on the receiver's link. A transfer that found the link
// free has passed through while it was sent.
func (r *run) receive(down *link) time.Duration {
	down.free = max(r.Elapsed(), down.free+down.rate)
	return down.free + latency - r.Elapsed()
}

func (r *run) failed(b *box, task weights.FetchTask) {
	if !b.dead {
		b.picker.Failed(task, r.Now().Add(time.Second))
		r.fetch(b)
	}
}

func (r *run) arrived(b, from *box, task weights.FetchTask) {
	switch {
	case b.dead:
		return
	case from != nil && (from.dead || from.stalled):
		r.AfterFunc(stallTime, func() { r.failed(b, task) })
		return
	case from == nil:
		r.sent++
	case from.record.Region != b.record.Region:
		r.far[b.record.Region]++
	}
	b.picker.Done(task, r.Now())
	b.held.Set(task.Chunk)
	if b.picker.Missing() == 0 {
		b.done = r.Elapsed()
		r.left--
		return
	}
	r.fetch(b)
}

func (r *run) finish() Result {
	r.result.Complete = true
	for _, b := range r.boxes {
		if b.dead {
			continue
		}
		r.result.Time = max(r.result.Time, b.done)
		r.result.Complete = r.result.Complete && b.done > 0
	}
	r.result.Bound = Bound(r.options.Boxes)
	r.result.SourceCopies = float64(r.sent) / float64(r.options.Chunks)
	for _, far := range r.far {
		r.result.RegionCopies = max(r.result.RegionCopies, float64(far)/float64(r.options.Chunks))
	}
	return r.result
}

// Bound is the least time in which boxes can get the whole under the link model.
func Bound(boxes int) time.Duration {
	all := float64(boxes) * float64(copyTime) / (float64(boxes) + sourceFactor)
	return max(copyTime, copyTime/sourceFactor, time.Duration(all))
}

// AllFromSource is the baseline in which every box draws the whole itself.
func AllFromSource(boxes int) Result {
	return Result{
		Time: max(copyTime, copyTime/sourceFactor*time.Duration(boxes)), Bound: Bound(boxes),
		SourceCopies: float64(boxes), Complete: true,
	}
}

// TreeOfCopies is the baseline in which each box, once it has the whole, sends it
// to two others, both at once over its one link.
func TreeOfCopies(boxes int) Result {
	done := make([]time.Duration, boxes)
	last := time.Duration(0)
	for i := range done {
		if i == 0 {
			done[i] = copyTime
		} else {
			done[i] = done[(i-1)/2] + 2*copyTime
		}
		last = max(last, done[i])
	}
	return Result{Time: last, Bound: Bound(boxes), SourceCopies: 1, Complete: true}
}

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
//	fmt.Println(result.Time/result.Bound, result.OriginCopies)
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
	// originRateFactor is how much faster the source's link is.
	originRateFactor = 2
	// domainsPerRegion is the number of failure domains of a region.
	domainsPerRegion = 2

	latency        = 3 * time.Millisecond
	pollInterval   = 200 * time.Millisecond
	stallTimeout   = 2 * time.Second
	connectTimeout = time.Second
	// silenceTimeout is how long a dead box is still thought to be up.
	silenceTimeout = 4500 * time.Millisecond
)

// Options says what is run.
type Options struct {
	Boxes   int
	Regions int
	Chunks  int
	// CrashShare and Stalling are the parts of the boxes that die at a random time
	// within a copy time, and whose link up stands still from a random time.
	CrashShare float64
	StallShare float64
	Seed       uint64
	Picker     weights.PickerOptions
}

// Result is what a run came to.
type Result struct {
	// Time is when the last box that lives had the whole.
	Time  time.Duration
	Bound time.Duration
	// OriginCopies is what the source sent, RegionCopies the most that any region
	// got over long links, both in copies.
	OriginCopies float64
	RegionCopies float64
	// Decisions counts the fetches that were started.
	Decisions int
	// Complete is false if some box never got the whole.
	Complete bool
}

type link struct {
	freeAt    time.Duration
	chunkTime time.Duration
}

type box struct {
	record      member.Record
	picker      *weights.Picker
	held        weights.Bits
	up, down    link
	crashed     bool
	stalled     bool
	completedAt time.Duration
}

type run struct {
	virtual.Timeline
	options      Options
	random       *rand.Rand
	manifest     *weights.Manifest
	boxes        []*box
	byName       map[string]*box
	origin       link
	incomplete   int
	result       Result
	originChunks int
	remoteChunks map[member.Region]int
}

// Run distributes one version to boxes that have nothing.
func Run(options Options) Result {
	r := &run{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), manifest: newManifest(options.Chunks),
		byName: make(map[string]*box), remoteChunks: make(map[member.Region]int),
	}
	chunkTime := copyTime / time.Duration(options.Chunks)
	r.origin = link{chunkTime: chunkTime / originRateFactor}
	for i := range options.Boxes {
		r.addBox(i, chunkTime)
	}
	r.incomplete = len(r.boxes)
	r.updatePeers()
	r.scheduleFaults()
	for i, b := range r.boxes {
		r.AfterFunc(pollInterval*time.Duration(i)/time.Duration(len(r.boxes)), func() { r.poll(b) })
	}
	limit := time.Duration(options.Boxes+10) * copyTime
	for r.incomplete > 0 && r.Step(limit) {
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
		up:     link{chunkTime: chunkTime}, down: link{chunkTime: chunkTime},
	}
	r.boxes = append(r.boxes, b)
	r.byName[name] = b
}

// updatePeers tells every box that is up its neighbours and the drawers, as monitors do.
func (r *run) updatePeers() {
	var records []member.Record
	for _, b := range r.boxes {
		if !b.crashed {
			records = append(records, b.record)
		}
	}
	for _, b := range r.boxes {
		if b.crashed || b.completedAt > 0 {
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

// scheduleFaults lets boxes die and links stand still at random times. Deaths are
// noticed in groups, a few seconds apart, to bound the work of the rig.
func (r *run) scheduleFaults() {
	for _, b := range r.boxes[1:] {
		at := time.Duration(r.random.Float64() * float64(copyTime))
		switch chance := r.random.Float64(); {
		case chance < r.options.CrashShare:
			r.AfterFunc(at, func() {
				b.crashed = true
				if b.completedAt == 0 {
					r.incomplete--
				}
			})
		case chance < r.options.CrashShare+r.options.StallShare:
			r.AfterFunc(at, func() { b.stalled = true })
		}
	}
	if r.options.CrashShare > 0 {
		for at := silenceTimeout; at < copyTime+2*silenceTimeout; at += silenceTimeout {
			r.AfterFunc(at, r.updatePeers)
		}
	}
}

// poll asks the neighbours what they hold, as the agent does.
func (r *run) poll(b *box) {
	if b.crashed || b.completedAt > 0 {
		return
	}
	for _, name := range b.picker.BoxesToPoll() {
		n := r.byName[name]
		held := n.held
		if n.crashed {
			held = nil
		}
		b.picker.SetHoldings(name, append(weights.Bits(nil), held...))
	}
	r.fetch(b)
	r.AfterFunc(pollInterval, func() { r.poll(b) })
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
	case from != nil && from.crashed:
		r.AfterFunc(connectTimeout, func() { r.transferFailed(b, task) })
	case from != nil && from.stalled:
		r.AfterFunc(stallTimeout, func() { r.transferFailed(b, task) })
	default:
		up := &r.origin
		if from != nil {
			up = &from.up
		}
		r.AfterFunc(r.send(up), func() {
			r.AfterFunc(r.receive(&b.down), func() { r.transferCompleted(b, from, task) })
		})
	}
}

// send takes a transfer's turn on the sender's link and returns when it has gone.
func (r *run) send(up *link) time.Duration {
	up.freeAt = max(r.Elapsed()+latency, up.freeAt) + up.chunkTime
	return up.freeAt - r.Elapsed()
}

// receive takes its turn on the receiver's link. A transfer that found the link
// free has passed through while it was sent.
func (r *run) receive(down *link) time.Duration {
	down.freeAt = max(r.Elapsed(), down.freeAt+down.chunkTime)
	return down.freeAt + latency - r.Elapsed()
}

func (r *run) transferFailed(b *box, task weights.FetchTask) {
	if !b.crashed {
		b.picker.Failed(task, r.Now().Add(time.Second))
		r.fetch(b)
	}
}

func (r *run) transferCompleted(b, from *box, task weights.FetchTask) {
	switch {
	case b.crashed:
		return
	case from != nil && (from.crashed || from.stalled):
		r.AfterFunc(stallTimeout, func() { r.transferFailed(b, task) })
		return
	case from == nil:
		r.originChunks++
	case from.record.Region != b.record.Region:
		r.remoteChunks[b.record.Region]++
	}
	b.picker.Done(task, r.Now())
	b.held.Set(task.Chunk)
	if b.picker.Missing() == 0 {
		b.completedAt = r.Elapsed()
		r.incomplete--
		return
	}
	r.fetch(b)
}

func (r *run) finish() Result {
	r.result.Complete = true
	for _, b := range r.boxes {
		if b.crashed {
			continue
		}
		r.result.Time = max(r.result.Time, b.completedAt)
		r.result.Complete = r.result.Complete && b.completedAt > 0
	}
	r.result.Bound = Bound(r.options.Boxes)
	r.result.OriginCopies = float64(r.originChunks) / float64(r.options.Chunks)
	for _, far := range r.remoteChunks {
		r.result.RegionCopies = max(r.result.RegionCopies, float64(far)/float64(r.options.Chunks))
	}
	return r.result
}

// Bound is the least time in which boxes can get the whole under the link model.
func Bound(boxes int) time.Duration {
	all := float64(boxes) * float64(copyTime) / (float64(boxes) + originRateFactor)
	return max(copyTime, copyTime/originRateFactor, time.Duration(all))
}

// AllFromOrigin is the baseline in which every box draws the whole itself.
func AllFromOrigin(boxes int) Result {
	return Result{
		Time: max(copyTime, copyTime/originRateFactor*time.Duration(boxes)), Bound: Bound(boxes),
		OriginCopies: float64(boxes), Complete: true,
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
	return Result{Time: last, Bound: Bound(boxes), OriginCopies: 1, Complete: true}
}

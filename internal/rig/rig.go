// Package rig simulates the distribution of weights to boxes in virtual time. It runs the production code of
// pkg/weights and pkg/member over simulated links. The same options give the same result.
//
// # Link model
//
// Each box has an uplink and a downlink of the same rate (full duplex); the origin has an uplink. A transfer is queued
// on the sender's uplink, then on the receiver's downlink, which receives it while it is sent (cut-through). The
// origin's rate is twice a box's, because in the time allowed its link carries four copies and a box's link two.
// Control messages take one latency and no bandwidth. The lower bound of the distribution time is the largest of three
// times: one copy over the origin's link, one copy over a box's link, and all copies over all uplinks together.
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

// Parameters of the model.
const (
	// copyTime is the transfer time of one copy over a box's link.
	copyTime = 90 * time.Second
	// originRateFactor is the rate of the origin's link relative to a box's.
	originRateFactor = 2
	// domainsPerRegion is the number of failure domains of a region.
	domainsPerRegion = 2

	// latency is the one-way delay of a message.
	latency = 3 * time.Millisecond
	// pollInterval is the interval at which a box polls the holdings of its neighbours.
	pollInterval = 200 * time.Millisecond
	// stallTimeout is the time after which a transfer from a stalled box fails.
	stallTimeout = 2 * time.Second
	// connectTimeout is the time after which a connection to a crashed box fails.
	connectTimeout = time.Second
	// silenceTimeout is the interval at which crashed boxes are detected, so a crashed box counts as up for at most
	// this long.
	silenceTimeout = 4500 * time.Millisecond
)

// Options are the options of Run.
type Options struct {
	Boxes   int
	Regions int
	Chunks  int
	// CrashShare is the fraction of the boxes that crash, StallShare the fraction whose uplinks stall, each at a random
	// time within the first copyTime.
	CrashShare float64
	StallShare float64
	Seed       uint64
	Picker     weights.PickerOptions
}

// Result is the result of a run.
type Result struct {
	// Time is when the last box that did not crash completed its copy.
	Time time.Duration
	// Bound is the lower bound of Time.
	Bound time.Duration
	// OriginCopies is the number of copies that the origin sent.
	OriginCopies float64
	// RegionCopies is the largest number of copies that one region received from boxes in other regions.
	RegionCopies float64
	// Decisions is the number of fetches that were started.
	Decisions int
	// Complete is set if every box that did not crash has a complete copy.
	Complete bool
}

// link is one direction of a box's or the origin's network link.
type link struct {
	// freeAt is when the last queued transfer ends, as a virtual time since virtual.Epoch.
	freeAt       time.Duration
	timePerChunk time.Duration
}

type box struct {
	record   member.Record
	picker   *weights.Picker
	held     weights.Bits
	up, down link
	crashed  bool
	stalled  bool
	// completedAt is when the copy was completed; 0 before.
	completedAt time.Duration
}

type run struct {
	virtual.Timeline
	options  Options
	random   *rand.Rand
	manifest *weights.Manifest
	boxes    []*box
	byName   map[string]*box
	origin   link
	// incomplete is the number of boxes that have neither completed their copies nor crashed.
	incomplete int
	result     Result
	// originChunks counts the chunks received from the origin, remoteChunks those that each region received from boxes in
	// other regions.
	originChunks int
	remoteChunks map[member.Region]int
}

// Run simulates the distribution of one version to boxes that hold no chunks of it.
func Run(options Options) Result {
	r := &run{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), manifest: newManifest(options.Chunks),
		byName: make(map[string]*box), remoteChunks: make(map[member.Region]int),
	}
	chunkTime := copyTime / time.Duration(options.Chunks)
	r.origin = link{timePerChunk: chunkTime / originRateFactor}
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

// newManifest returns a manifest with distinct chunk digests. The content is not created.
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
		up:     link{timePerChunk: chunkTime}, down: link{timePerChunk: chunkTime},
	}
	r.boxes = append(r.boxes, b)
	r.byName[name] = b
}

// updatePeers sets the neighbours and the origin fetchers of every incomplete box that is up, as the monitor does in
// production.
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

// scheduleFaults schedules crashes and stalls at random times. Crashes are detected in groups, every silenceTimeout, to
// limit the cost of the simulation.
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

// poll polls the holdings of the neighbours, as the agent does in production, and starts fetches.
func (r *run) poll(b *box) {
	if b.crashed || b.completedAt > 0 {
		return
	}
	for _, name := range b.picker.BoxesToPoll() {
		neighbour := r.byName[name]
		held := neighbour.held
		if neighbour.crashed {
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

// send queues a transfer on the sender's uplink and returns the time until it is sent.
func (r *run) send(up *link) time.Duration {
	up.freeAt = max(r.Elapsed()+latency, up.freeAt) + up.timePerChunk
	return up.freeAt - r.Elapsed()
}

// receive queues a transfer on the receiver's downlink and returns the time until it is received. If the link was free,
// the transfer was received while it was sent.
func (r *run) receive(down *link) time.Duration {
	down.freeAt = max(r.Elapsed(), down.freeAt+down.timePerChunk)
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
	for _, chunks := range r.remoteChunks {
		r.result.RegionCopies = max(r.result.RegionCopies, float64(chunks)/float64(r.options.Chunks))
	}
	return r.result
}

// Bound returns the lower bound of the time to distribute a copy to each box under the link model.
func Bound(boxes int) time.Duration {
	all := float64(boxes) * float64(copyTime) / (float64(boxes) + originRateFactor)
	return max(copyTime, copyTime/originRateFactor, time.Duration(all))
}

// AllFromOrigin returns the result of the baseline in which every box downloads its copy from the origin.
func AllFromOrigin(boxes int) Result {
	return Result{
		Time: max(copyTime, copyTime/originRateFactor*time.Duration(boxes)), Bound: Bound(boxes),
		OriginCopies: float64(boxes), Complete: true,
	}
}

// TreeOfCopies returns the result of the baseline in which each box that has a complete copy sends it to two others
// concurrently over its one uplink.
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

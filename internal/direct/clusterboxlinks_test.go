package direct

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// The boxes of a deployment. The bandwidths are those of each direction, in bytes per second.
const (
	smallBoxBandwidth = 40e6 / 8
	largeBoxBandwidth = 1000e6 / 8
	// largeBoxInterval is the number of boxes of which one is large.
	largeBoxInterval = 10
	// smallBoxCores and largeBoxCores are the shares of a core that a box has.
	smallBoxCores = 0.384
	largeBoxCores = 1
)

const (
	// packetBytes is the content of one packet, and packetHeaderBytes the size of its headers (IPv4 and TCP).
	packetBytes       = 1460
	packetHeaderBytes = 40
	// messageTime is the processor time of one message at its sender or its receiver, on a whole core. A status message
	// takes that much, with its system calls.
	messageTime = 60 * time.Microsecond
	// receivedKilobyteTime is the additional processor time of each 1,000 bytes at the receiver: see
	// BenchmarkReceivedConfiguration.
	receivedKilobyteTime = 20 * time.Microsecond
	// sentKilobyteTime is that at the sender, which copies an encoded message.
	sentKilobyteTime = time.Microsecond
)

// minLinkSleep is the shortest time for which a message waits on its way. Shorter times are added up.
const minLinkSleep = time.Millisecond

// connUse is what a connection is used for. A connection carries one call.
type connUse struct{ state atomic.Int32 }

// The values of connUse.state.
const (
	useUnknown int32 = iota
	useStatus
	useFacts
)

// observe takes the use from a message that the opener of the connection sends.
func (u *connUse) observe(message []byte) {
	switch {
	case u.state.Load() != useUnknown || !bytes.Contains(message, []byte(".Fleet/")):
	case bytes.Contains(message, []byte(".Fleet/Entry")):
		u.state.Store(useStatus)
	default:
		u.state.Store(useFacts)
	}
}

// isFacts reports whether the connection transfers facts: its call is not that for status messages.
func (u *connUse) isFacts() bool { return u.state.Load() == useFacts }

// boxMachine is the capacity of a box and what it has transferred. Without limits, it counts only.
type boxMachine struct {
	sent, received networkLink
	// processor transmits nanoseconds on a whole core in place of bytes.
	processor networkLink
	isLimited atomic.Bool
	pulls     pullCounts
	// fromStore is the number of bytes that the store has sent, and storeTimeouts that of calls that ended before all had
	// arrived.
	fromStore, storeTimeouts atomic.Int64
}

// pullCounts are the pulls of facts that have ended: all of them, those with an error, and those that were given up after
// at least a second.
type pullCounts struct {
	mu                     sync.Mutex
	ended, failed, givenUp int
}

// run uses the processor for a time on a whole core, from a time on, and returns when that is done.
func (m *boxMachine) run(from time.Time, core time.Duration) time.Time {
	_, done := m.processor.transmit(int(core.Nanoseconds()), from, &connUse{})
	return done
}

// limitBoxes gives each box the processor and the links of a deployment, and limits the links between regions. share is the
// part of all links that is left for control traffic; callers use the rest.
func (c *testCluster) limitBoxes(share float64) {
	c.setLinkRate(share * regionBandwidth)
	for i, box := range c.boxes {
		bandwidth, cores := smallBoxBandwidth, smallBoxCores
		if i%largeBoxInterval == i/largeBoxInterval%largeBoxInterval {
			bandwidth, cores = largeBoxBandwidth, largeBoxCores
		}
		for _, link := range []*networkLink{&box.machine.sent, &box.machine.received} {
			link.setRate(share * bandwidth)
		}
		box.machine.processor.setRate(cores * float64(time.Second))
		box.machine.isLimited.Store(true)
	}
}

func (l *networkLink) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// transmittedFacts returns the bytes of facts that a link has transmitted.
func (l *networkLink) transmittedFacts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.facts
}

// segmentBytes is how much of a message a connection sends before other connections have their turn on each link. It is
// the window of a connection that shares a link with many others.
const segmentBytes = 4 << 10

// transmit blocks until a message of the box has passed all links and processors up to its receiver, or until done is
// closed.
func (b *clusterBox) transmit(to *clusterBox, content int, use *connUse, done <-chan struct{}) {
	sentAt := b.machine.run(time.Now(), messageTime+time.Duration(float64(content)/1000*float64(sentKilobyteTime)))
	links := [...]*networkLink{&b.machine.sent, b.cluster.link(b.region, to.region), &to.machine.received}
	sleepUntil(to.machine.receive(links[:], sentAt, content, use, done), 0)
}

// receive blocks until a message that is sent at a time has passed some links, and returns when the box has processed it.
func (m *boxMachine) receive(links []*networkLink, sentAt time.Time, content int, use *connUse, done <-chan struct{}) time.Time {
	at := sentAt
	for sent := 0; sent < content && !isClosed(done); sent += segmentBytes {
		at = passLinks(links, at, min(segmentBytes, content-sent), use)
	}
	return m.run(at, messageTime+time.Duration(float64(content)/1000*float64(receivedKilobyteTime)))
}

// passLinks blocks until a segment that is sent at a time has passed some links, except for less than minLinkSleep, and
// returns when it has. A link transmits the beginning of a segment while it receives the rest.
func passLinks(links []*networkLink, sentAt time.Time, content int, use *connUse) time.Time {
	size := content + (content+packetBytes-1)/packetBytes*packetHeaderBytes
	first, last := sentAt, sentAt
	for _, link := range links {
		sleepUntil(last, minLinkSleep)
		var end time.Time
		if first, end = link.transmit(size, first, use); end.After(last) {
			last = end
		}
	}
	sleepUntil(last, minLinkSleep)
	return last
}

// storeRegion is the region of the store.
const storeRegion member.Region = "region-0"

// receiveFromStore blocks until a response of the store with some facts has arrived at a box with limits.
func (b *clusterBox) receiveFromStore(ctx context.Context, facts []fleet.Fact) error {
	if !b.machine.isLimited.Load() {
		return nil
	}
	size := 0
	for i := range facts {
		item, err := facts[i].Item()
		if err != nil {
			return err
		}
		size += len(item.Key) + len(item.Value)
	}
	links := [...]*networkLink{b.cluster.link(storeRegion, b.region), &b.machine.received}
	at := time.Now()
	for sent := 0; sent < size && ctx.Err() == nil; sent += segmentBytes {
		segment := min(segmentBytes, size-sent)
		b.machine.fromStore.Add(int64(segment))
		at = passLinks(links[:], at, segment, &connUse{})
	}
	sleepUntil(b.machine.run(at, messageTime+time.Duration(float64(size)/1000*float64(receivedKilobyteTime))), 0)
	if ctx.Err() != nil {
		b.machine.storeTimeouts.Add(1)
	}
	return ctx.Err()
}

// sleepUntil blocks until a time, unless that is nearer than least.
func sleepUntil(at time.Time, least time.Duration) {
	if wait := time.Until(at); wait > 0 && wait >= least {
		time.Sleep(wait)
	}
}

// countPulls counts the pulls of a box.
func (b *clusterBox) countPulls(pull func(context.Context, member.Address) error) func(context.Context, member.Address) error {
	return func(ctx context.Context, from member.Address) error {
		startedAt := time.Now()
		err := pull(ctx, from)
		if ctx.Err() != nil {
			return err
		}
		counts := &b.machine.pulls
		counts.mu.Lock()
		defer counts.mu.Unlock()
		counts.ended++
		if err != nil {
			counts.failed++
			if time.Since(startedAt) >= time.Second {
				counts.givenUp++
			}
		}
		return err
	}
}

// boxTransfers is what a box has transferred of facts, in bytes with the headers of packets.
type boxTransfers struct{ sent, received, fromStore, pulls, failed, givenUp, storeTimeouts int }

// plus returns the sum of two transfers.
func (t boxTransfers) plus(other boxTransfers) boxTransfers {
	return boxTransfers{
		t.sent + other.sent, t.received + other.received, t.fromStore + other.fromStore, t.pulls + other.pulls, t.failed + other.failed,
		t.givenUp + other.givenUp, t.storeTimeouts + other.storeTimeouts,
	}
}

// minus returns the transfers since an earlier measurement.
func (t boxTransfers) minus(before boxTransfers) boxTransfers {
	return t.plus(boxTransfers{
		-before.sent, -before.received, -before.fromStore, -before.pulls, -before.failed, -before.givenUp, -before.storeTimeouts,
	})
}

// transfers returns the transfers of the box.
func (b *clusterBox) transfers() (t boxTransfers) {
	m := b.machine
	t.sent, t.received = m.sent.transmittedFacts(), m.received.transmittedFacts()
	t.fromStore, t.storeTimeouts = int(m.fromStore.Load()), int(m.storeTimeouts.Load())
	m.pulls.mu.Lock()
	defer m.pulls.mu.Unlock()
	t.pulls, t.failed, t.givenUp = m.pulls.ended, m.pulls.failed, m.pulls.givenUp
	return t
}

// transfers returns the transfers of all boxes.
func (c *testCluster) transfers() []boxTransfers {
	transfers := make([]boxTransfers, 0, len(c.boxes))
	for _, box := range c.boxes {
		transfers = append(transfers, box.transfers())
	}
	return transfers
}

// factsBetweenRegions returns the bytes of facts that each link between two regions has transmitted.
func (c *testCluster) factsBetweenRegions() map[[2]member.Region]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := make(map[[2]member.Region]int)
	for key, link := range c.links {
		if key[0] != key[1] {
			bytes[key] = link.transmittedFacts()
		}
	}
	return bytes
}

// Guards against links of a cluster that transmit faster than their bandwidth, or each message after the whole one before.
func TestLinksOfClusterTransmitAtTheirBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 2, 2, 5*time.Second)
		defer c.stop()
		c.limitBoxes(1)
		from, to := c.boxes[0], c.boxes[1]
		to.machine.received.setRate(smallBoxBandwidth)
		from.machine.sent.setRate(smallBoxBandwidth)
		const messages, size = 10, 65536
		startedAt := time.Now()
		for range messages {
			from.transmit(to, size, &connUse{}, nil)
		}
		took, seconds := time.Since(startedAt).Seconds(), messages*size/regionBandwidth
		require.GreaterOrEqual(t, took, seconds)
		require.Less(t, took, 1.25*seconds)
	})
}

// Guards against a long message that delays a short one on the same link by all of its time.
func TestShortMessagePassesLongOnesOnALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 2, 2, 5*time.Second)
		defer c.stop()
		c.limitBoxes(0.1)
		const long, short = 1 << 20, 100
		var sending sync.WaitGroup
		defer sending.Wait()
		sending.Go(func() { c.boxes[0].transmit(c.boxes[1], long, &connUse{}, nil) })
		time.Sleep(time.Second)
		startedAt := time.Now()
		c.boxes[0].transmit(c.boxes[1], short, &connUse{}, nil)
		require.Less(t, time.Since(startedAt), 50*time.Millisecond)
	})
}

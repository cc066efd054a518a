package direct

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// networkLink is a link in one direction: from one region to another, or to or from a box. It transmits one message after
// the other.
type networkLink struct {
	// rate is in bytes per second; 0 for no limit.
	rate float64

	mu     sync.Mutex
	freeAt time.Time
	bytes  int
	// facts are the bytes of calls that transfer facts.
	facts int
	// maxDelay is the longest delay of a message.
	maxDelay time.Duration
}

// link returns the link between two regions. Within a region there is no limit.
func (c *testCluster) link(from, to member.Region) *networkLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]member.Region{from, to}
	if c.links[key] == nil {
		c.links[key] = &networkLink{}
		if from != to {
			c.links[key].rate = c.linkRate
		}
	}
	return c.links[key]
}

// setLinkRate limits all links between regions to a number of bytes per second in each direction, and starts their counts anew.
func (c *testCluster) setLinkRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linkRate = rate
	c.links = make(map[[2]member.Region]*networkLink)
}

// transmit adds a message whose first byte arrives at a time, which may have passed, and returns when the first and the last
// byte of it have been transmitted. The link was idle since that time or since the message before.
func (l *networkLink) transmit(bytes int, arrival time.Time, use *connUse) (first, last time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += bytes
	if use.isFacts() {
		l.facts += bytes
	}
	if l.rate == 0 {
		return arrival, arrival
	}
	if l.freeAt.Before(arrival) {
		l.freeAt = arrival
	}
	first = l.freeAt
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	l.maxDelay = max(l.maxDelay, l.freeAt.Sub(arrival))
	return first, l.freeAt
}

// busiestLink returns the bytes of the link between two regions that has transmitted the most, and the longest delay of a
// message on any.
func (c *testCluster) busiestLink() (bytes int, maxDelay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, link := range c.links {
		link.mu.Lock()
		if key[0] != key[1] {
			bytes, maxDelay = max(bytes, link.bytes), max(maxDelay, link.maxDelay)
		}
		link.mu.Unlock()
	}
	return bytes, maxDelay
}

// regionBandwidth is the smallest bandwidth between two regions of the users' deployments in each direction, for all traffic,
// in bytes per second.
const regionBandwidth = 26e6 / 8

// Guards against control traffic that needs more than a small part of the links between regions: boxes that start know each
// other, and a deletion reaches all of them within its bound, while 95% of each link are used by others.
func TestDeletionReachesAllBoxesOverBusyLinks(t *testing.T) {
	const boxes, changes, share = 30, 5, 0.05
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, boxes, 5, 2*time.Second)
		defer c.stop()
		c.setLinkRate(share * regionBandwidth)
		for i := range boxes {
			c.store.write(modelEntry(i, 0))
		}
		time.Sleep(10 * time.Second)
		for _, box := range c.boxes {
			require.Len(t, box.entries.membership.All(), boxes, "%s", box.id)
			require.Len(t, serverIDs(box.fleetState), boxes, "%s", box.id)
			box.loaded.Store(true)
		}
		bytes, delay := c.busiestLink()
		t.Logf("start: %d bytes on the busiest link, a message waits up to %v", bytes, delay)
		c.setLinkRate(share * regionBandwidth)
		start := time.Now()
		for i := range changes {
			c.store.remove(fleet.ServerID(fmt.Sprintf("i-%08d", i)))
			time.Sleep(c.bound)
			for _, box := range c.boxes {
				require.Empty(t, box.outdatedServers(), "%s", box.id)
			}
		}
		bytes, delay = c.busiestLink()
		t.Logf("with load: %.1f KB/s on the busiest link, a message waits up to %v", float64(bytes)/time.Since(start).Seconds()/1e3, delay)
	})
}

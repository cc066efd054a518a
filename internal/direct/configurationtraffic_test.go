package direct

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// TestConfigurationTraffic logs the facts that boxes send for their start and for configurations, in clusters of the sizes
// in the flag cluster.traffic whose regions are joined by links of 33 Mbit/s.
func TestConfigurationTraffic(t *testing.T) {
	for text := range strings.SplitSeq(*trafficSizes, ",") {
		var size int
		if _, err := fmt.Sscan(text, &size); err != nil {
			continue
		}
		t.Run(text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const linkRate, servers, configurations = 33e6 / 8, 464, 4
				c := newTestCluster(t, size, 5, 5*time.Second)
				defer c.stop()
				c.setLinkRate(linkRate)
				fact := largeConfigurationFact(2)
				item, err := fact.Item()
				require.NoError(t, err)
				c.store.write(fact)
				for i := range servers {
					entry := modelEntry(i, 1)
					entry.Server.Domain = member.FailureDomain(fmt.Sprintf("region-%d", i%5))
					c.store.write(entry)
				}
				time.Sleep(15 * time.Second)
				t.Logf("configuration of %d bytes", len(item.Value))
				c.traffic().log(t, fmt.Sprintf("%d boxes, start, a box", size), float64(size))
				before := c.traffic()
				for i := range configurations {
					c.store.write(largeConfigurationFact(uint64(3 + i)))
					time.Sleep(5 * time.Second)
				}
				c.traffic().minus(before).log(t, fmt.Sprintf("%d boxes, a configuration, a box", size), float64(size*configurations))
			})
		})
	}
}

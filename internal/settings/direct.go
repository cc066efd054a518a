package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// maxPort is the highest TCP port number.
const maxPort = 1<<16 - 1

// maxStoreValueBytes is the highest limit of a value in the key-value service, in bytes.
const maxStoreValueBytes = 64 << 20

// notNegative checks a number that may have a fraction.
func (c *checker) notNegative(key string, value float64) {
	if !(value >= 0) {
		c.add(key, "want a number that is not negative, got %v", value)
	}
}

// direct checks the settings of direct mode.
func (c *checker) direct() {
	s := c.settings
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.metrics", s.Listen.Metrics)
	c.address("direct.store", s.Direct.Store)
	c.number("direct.agent_port", int64(s.Direct.AgentPort), 1, maxPort)
	c.number("direct.store_value_bytes", s.Direct.StoreValueBytes, 0, maxStoreValueBytes)
	if s.Direct.MemoryLimitMegabytes < 1 {
		c.add("direct.memory_limit_megabytes", "want at least 1, got %v", s.Direct.MemoryLimitMegabytes)
	}
	if s.Direct.LinkMbps <= 0 {
		c.add("direct.link_mbps", "want the rate of the box's link in Mbit/s, got %v", s.Direct.LinkMbps)
	}
	c.duration("direct.version_bound", s.Direct.VersionBound, time.Second, 24*time.Hour)
	c.duration("direct.settle_time", s.Direct.SettleTime, time.Second, time.Hour)
	c.duration("direct.change_bound", s.Direct.ChangeBound, 500*time.Millisecond, 24*time.Hour)
	c.duration("direct.retry_window", s.Direct.RetryWindow, time.Second, time.Hour)
	c.duration("stop.grace", s.Stop.Grace, time.Second, time.Hour)
	c.notNegative("direct.retry_ratio", *s.Direct.RetryRatio)
	c.notNegative("direct.retry_extra", *s.Direct.RetryExtra)
	c.notNegative("direct.cold_rate_factor", *s.Direct.ColdRateFactor)
	c.notNegative("direct.cold_rate_extra", *s.Direct.ColdRateExtra)
	for i, entry := range s.Peers.Entries {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			c.add("peers.entries", "element %d: want an IP address with a port, got %q", i+1, entry)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Direct.Domains)) {
		c.name(fmt.Sprintf("direct.domains.%s", domain), s.Direct.Domains[domain])
	}
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		c.add("log.level", "want debug, info, warn or error, got %q", s.Log.Level)
	}
	if s.Role == RoleAgent {
		c.address("direct.server", s.Direct.Server)
		c.name("direct.service", s.Direct.Service)
		return
	}
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.readiness", s.Listen.Readiness)
	c.address("listen.directory", s.Listen.Directory)
	c.duration("direct.directory_ttl", s.Direct.DirectoryTTL, time.Second, time.Hour)
}

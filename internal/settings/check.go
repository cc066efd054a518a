package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker collects findings about settings. The caller adds their positions in the file.
type checker struct {
	settings *Settings
	findings Findings
}

func (c *checker) add(key, format string, args ...any) {
	c.findings = append(c.findings, Finding{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (s *Settings) check() Findings {
	c := &checker{settings: s}
	if s.Role != RoleEntry && s.Role != RoleAgent {
		c.add("role", "want %q or %q, got %q", RoleEntry, RoleAgent, s.Role)
	}
	c.name("organisation", s.Organisation)
	c.name("box", s.Box)
	c.name("region", s.Region)
	c.name("failure_domain", s.FailureDomain)
	if s.Mode == ModeDirect {
		c.direct()
		return c.findings
	}
	if s.Mode != ModeAgents {
		c.add("mode", "want %q or %q, got %q", ModeAgents, ModeDirect, s.Mode)
	}
	c.addresses()
	c.common()
	switch s.Role {
	case RoleEntry:
		c.entry()
	case RoleAgent:
		c.agent()
	}
	return c.findings
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.add(key, "want 1 to 63 letters, digits, '.', '_' or '-', got %q", value)
	}
}

func (c *checker) addresses() {
	listen := c.settings.Listen
	c.address("listen.peers", listen.Peers)
	operators, ok := c.address("listen.operators", listen.Operators)
	if ok && c.settings.Operators.TokenFile == "" && !operators.Addr().IsLoopback() {
		c.add("listen.operators", "without operators.token_file want a loopback address, got %q", listen.Operators)
	}
	if file := c.settings.Operators.TokenFile; file != "" {
		if content, err := os.ReadFile(file); err != nil {
			c.add("operators.token_file", "%v", err)
		} else if strings.TrimSpace(string(content)) == "" {
			c.add("operators.token_file", "want a file with a token, %q is empty", file)
		}
	}
	for i, entry := range c.settings.Peers.Entries {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			c.add("peers.entries", "element %d: want an IP address with a port, got %q", i+1, entry)
		}
	}
}

func (c *checker) address(key, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(key, "want an IP address with a port, such as \"10.0.0.1:7000\", got %q", value)
		return address, false
	}
	if address.Addr().IsUnspecified() {
		c.add(key, "want the address that others reach the box by, got %q", value)
		return address, false
	}
	return address, true
}

func (c *checker) url(key, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		c.add(key, "want a URL that starts with http:// or https://, got %q", value)
	}
}

func (c *checker) duration(key string, value Duration, lower, upper time.Duration) {
	if time.Duration(value) < lower || time.Duration(value) > upper {
		c.add(key, "want a time from %v to %v, got %v", lower, upper, time.Duration(value))
	}
}

func (c *checker) number(key string, value, lower, upper int64) {
	if value < lower || value > upper {
		c.add(key, "want a number from %d to %d, got %d", lower, upper, value)
	}
}

func (c *checker) common() {
	s := c.settings
	c.duration("peers.heartbeat", s.Peers.Heartbeat, 100*time.Millisecond, 10*time.Second)
	c.duration("peers.silence", s.Peers.SilenceTimeout, 2*time.Duration(s.Peers.Heartbeat), time.Minute)
	c.duration("stop.grace", s.Stop.Grace, time.Second, time.Hour)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		c.add("log.level", "want debug, info, warn or error, got %q", s.Log.Level)
	}
	if s.Weights.Prefer != PreferFewestBytes && s.Weights.Prefer != PreferSoonestLive {
		c.add("weights.prefer", "want %q or %q, got %q", PreferFewestBytes, PreferSoonestLive, s.Weights.Prefer)
	}
	c.number("weights.memory_limit_bytes", s.Weights.MemoryLimit, 1<<20, 1<<50)
	c.duration("weights.draw_wait", s.Weights.OriginFetchWait, 50*time.Millisecond, time.Minute)
	c.url("platform.weight_store", s.Platform.WeightStore)
	c.url("platform.origin", s.Platform.Origin)
}

func (c *checker) entry() {
	s := c.settings
	c.address("listen.callers", s.Listen.Callers)
	c.url("platform.key_value", s.Platform.KeyValue)
	c.url("platform.box_list", s.Platform.BoxList)
	c.number("requests.places_per_replica", int64(s.Requests.SlotsPerReplica), 1, 1<<20)
	c.number("requests.queue_per_group", int64(s.Requests.QueuePerGroup), 1, 1<<20)
	c.number("requests.retry_body_limit_bytes", s.Requests.RetryBodyLimit, 0, 1<<30)
	c.duration("requests.deadline", s.Requests.Deadline, time.Millisecond, 24*time.Hour)
	c.duration("requests.entries_ttl", s.Requests.EntriesTTL, time.Second, time.Hour)
}

func (c *checker) agent() {
	s := c.settings
	if len(s.Peers.Entries) == 0 {
		c.add("peers.entries", "want the peer address of at least one entry box")
	}
	if s.Agent.Engine.URL == "" && len(s.Agent.Services) == 0 {
		c.add("agent", "want agent.engine or at least one of agent.services")
	}
	if s.Agent.Engine.URL != "" {
		c.url("agent.engine.url", s.Agent.Engine.URL)
		c.number("agent.engine.slots", int64(s.Agent.Engine.Slots), 1, 1<<10)
		if len(s.Agent.Engine.Models) == 0 {
			c.add("agent.engine.models", "want the models that the engine can load")
		}
		for _, model := range s.Agent.Engine.Models {
			c.name("agent.engine.models", model)
		}
	}
	for i, service := range s.Agent.Services {
		key := fmt.Sprintf("agent.services[%d].", i)
		c.name(key+"name", service.Name)
		c.url(key+"url", service.URL)
	}
}

// Package settings loads the settings of a daemon from a TOML file, sets defaults and checks the values.
//
// All errors in a file are reported together. Each finding has a line, a column and the allowed values. An unknown key
// is an error. Defaults are set before the values are checked.
//
// # Usage
//
//	loaded, findings := settings.Load("entry.toml")
//	if len(findings) > 0 { ... }
package settings

import (
	"time"
)

// Role is the function of a daemon on its box.
type Role string

// Roles of a daemon.
const (
	// RoleEntry accepts requests from callers and forwards them to backend servers.
	RoleEntry Role = "entry"
	// RoleAgent distributes weights to the backend servers of its box. In ModeAgents it also forwards requests to
	// them.
	RoleAgent Role = "agent"
)

// Mode selects the path of requests to backend servers.
type Mode string

// Modes of a daemon.
const (
	// ModeAgents sends requests through the agents on the boxes of the backend servers.
	ModeAgents Mode = "agents"
	// ModeDirect connects entry boxes directly to backend servers. The platform's key-value service stores the
	// list of backend servers, the operators' routes and the desired weights.
	ModeDirect Mode = "direct"
)

// Preference selects between fewer bytes fetched from the origin and less time until new weights are live.
type Preference string

// Values of Weights.Prefer.
const (
	// PreferFewestBytes fetches about one copy of the weights from the origin for all boxes together.
	PreferFewestBytes Preference = "fewest-bytes"
	// PreferSoonestLive halves OriginFetchWait, so that the second origin fetcher of a chunk starts sooner.
	PreferSoonestLive Preference = "soonest-live"
)

// Duration is a time.Duration in text form, for example "2s".
type Duration time.Duration

// UnmarshalText parses text in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// MarshalText returns the duration in the format of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings is the content of a daemon's settings file.
type Settings struct {
	Role Role `toml:"role"`
	Mode Mode `toml:"mode"`
	// Organisation, Box, Region and FailureDomain identify the box and its location.
	Organisation  string `toml:"organisation"`
	Box           string `toml:"box"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`

	Listen    Listen    `toml:"listen"`
	Operators Operators `toml:"operators"`
	Platform  Platform  `toml:"platform"`
	Peers     Peers     `toml:"peers"`
	Requests  Requests  `toml:"requests"`
	Agent     Agent     `toml:"agent"`
	Weights   Weights   `toml:"weights"`
	Log       Log       `toml:"log"`
	Stop      Stop      `toml:"stop"`
	Direct    Direct    `toml:"direct"`
}

// Listen holds the addresses to listen on, each an IP address with a port.
type Listen struct {
	// Callers is the address for callers; entry boxes only.
	Callers string `toml:"callers"`
	// Operators is the address for operators and metrics.
	Operators string `toml:"operators"`
	// Peers is the address for the system's other processes.
	Peers string `toml:"peers"`
	// Readiness is the address for the platform's readiness probes, Directory the one for callers' directory
	// queries; entry boxes in direct mode only.
	Readiness string `toml:"readiness"`
	Directory string `toml:"directory"`
	// Metrics is the address for metrics; direct mode only.
	Metrics string `toml:"metrics"`
}

// Operators configures the access to the operators' listener.
type Operators struct {
	// TokenFile is the path of the file with the bearer token. Without it the listener must have a loopback
	// address.
	TokenFile string `toml:"token_file"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	KeyValue    string `toml:"key_value"`
	BoxList     string `toml:"box_list"`
	WeightStore string `toml:"weight_store"`
	Origin      string `toml:"origin"`
}

// Peers configures the discovery and failure detection of the system's other processes.
type Peers struct {
	// Entries are the peer addresses of the entry boxes to contact first.
	Entries []string `toml:"entries"`
	// Heartbeat is the interval between heartbeats.
	Heartbeat Duration `toml:"heartbeat"`
	// SilenceTimeout is the time without a heartbeat after which a box is marked silent.
	SilenceTimeout Duration `toml:"silence"`
}

// Requests configures how an entry box handles the requests of callers.
type Requests struct {
	// SlotsPerReplica is the number of concurrent requests to each live replica, summed over all entry boxes.
	SlotsPerReplica int `toml:"places_per_replica"`
	// QueuePerGroup is the maximum number of queued requests of one group.
	QueuePerGroup int `toml:"queue_per_group"`
	// Deadline is the default deadline of a request.
	Deadline Duration `toml:"deadline"`
	// RetryBodyLimit is the maximum size in bytes of a request body that is kept for retries.
	RetryBodyLimit int64 `toml:"retry_body_limit_bytes"`
	// EntriesTTL is the time for which a caller may use the list of entry boxes.
	EntriesTTL Duration `toml:"entries_ttl"`
}

// Agent lists the backend servers on an agent's box.
type Agent struct {
	Engine   Engine    `toml:"engine"`
	Services []Service `toml:"services"`
}

// Engine describes the model engine of the box. The box has none if URL is empty.
type Engine struct {
	URL    string   `toml:"url"`
	Models []string `toml:"models"`
	// Slots is the number of versions that fit into the engine's memory at the same time.
	Slots int `toml:"slots"`
}

// Service describes a plain service of the box.
type Service struct {
	Name string `toml:"name"`
	URL  string `toml:"url"`
}

// Weights configures the distribution of weights.
type Weights struct {
	Prefer Preference `toml:"prefer"`
	// MemoryLimit is the maximum total size in bytes of the chunks held in memory.
	MemoryLimit int64 `toml:"memory_limit_bytes"`
	// OriginFetchWait is the time that a box waits for a chunk from the origin fetcher of the preceding rank before
	// it fetches the chunk from the origin itself.
	OriginFetchWait Duration `toml:"draw_wait"`
}

// Direct configures a process in direct mode.
type Direct struct {
	// Store is the address of the platform's key-value service, an IP address with a port.
	Store string `toml:"store"`
	// StoreValueBytes is the maximum size of a value in the key-value service; 0 if it is not known.
	StoreValueBytes int64 `toml:"store_value_bytes"`
	// Server is the address of the backend server on the agent's box, Service the service to which it belongs;
	// agents only.
	Server  string `toml:"server"`
	Service string `toml:"service"`
	// AgentPort is the port of the agent on the box of each backend server.
	AgentPort int `toml:"agent_port"`
	// Domains maps each failure domain to its region.
	Domains map[string]string `toml:"domains"`
	// MemoryLimitMegabytes is the memory limit of the process, in millions of bytes.
	MemoryLimitMegabytes float64 `toml:"memory_limit_megabytes"`
	// LinkMbps is the rate of the box's network link, in Mbit/s.
	LinkMbps float64 `toml:"link_mbps"`
	// VersionBound is the time after the publication of newer weights during which older ones may still start
	// requests.
	VersionBound Duration `toml:"version_bound"`
	// SettleTime is the time after its start during which a box is not yet required to comply with the bounds.
	SettleTime Duration `toml:"settle_time"`
	// ChangeBound is the maximum time until a change in the platform's store takes effect.
	ChangeBound Duration `toml:"change_bound"`
	// DirectoryTTL is the time for which callers may use the addresses of a directory response.
	DirectoryTTL Duration `toml:"directory_ttl"`
	// RetryRatio and RetryExtra limit the retries for a service within RetryWindow, over all entry boxes
	// together, to RetryRatio times the number of requests plus RetryExtra. Either may be 0.
	RetryRatio  *float64 `toml:"retry_ratio"`
	RetryExtra  *float64 `toml:"retry_extra"`
	RetryWindow Duration `toml:"retry_window"`
	// ColdRateFactor and ColdRateExtra limit the requests that a cold server receives in one second, from all entry
	// boxes together, to ColdRateFactor times the cold rate of its service plus ColdRateExtra.
	ColdRateFactor *float64 `toml:"cold_rate_factor"`
	ColdRateExtra  *float64 `toml:"cold_rate_extra"`
}

// Log configures the log.
type Log struct {
	Level string `toml:"level"`
}

// Stop configures a planned stop.
type Stop struct {
	// Grace is the maximum time to finish the requests in progress.
	Grace Duration `toml:"grace"`
}

const (
	defaultHeartbeat       = Duration(time.Second)
	defaultSilenceTimeout  = Duration(3 * time.Second)
	defaultSlotsPerReplica = 16
	defaultQueuePerGroup   = 256
	defaultDeadline        = Duration(2 * time.Minute)
	defaultRetryBodyLimit  = 1 << 20
	defaultEntriesTTL      = Duration(10 * time.Second)
	defaultEngineSlots     = 2
	defaultMemoryLimit     = 1 << 30
	defaultOriginFetchWait = Duration(2 * time.Second)
	defaultStopGrace       = Duration(time.Minute)
	defaultLogLevel        = "info"
	defaultOrganisation    = "default"
	defaultVersionBound    = Duration(8 * time.Second)
	defaultSettleTime      = Duration(3 * time.Second)
	defaultChangeBound     = Duration(2 * time.Second)
	defaultDirectoryTTL    = Duration(time.Second)
	defaultRetryRatio      = 0.2
	defaultRetryExtra      = 100.0
	defaultRetryWindow     = Duration(10 * time.Second)
	defaultColdRateFactor  = 1.0
	defaultColdRateExtra   = 0.0
)

// Default sets the default of each setting that has its zero value.
func (s *Settings) Default() {
	setDefault(&s.Organisation, defaultOrganisation)
	setDefault(&s.Mode, ModeAgents)
	setDefault(&s.Direct.VersionBound, defaultVersionBound)
	setDefault(&s.Direct.SettleTime, defaultSettleTime)
	setDefault(&s.Direct.ChangeBound, defaultChangeBound)
	setDefault(&s.Direct.DirectoryTTL, defaultDirectoryTTL)
	setDefault(&s.Direct.RetryRatio, new(defaultRetryRatio))
	setDefault(&s.Direct.RetryExtra, new(defaultRetryExtra))
	setDefault(&s.Direct.RetryWindow, defaultRetryWindow)
	setDefault(&s.Direct.ColdRateFactor, new(defaultColdRateFactor))
	setDefault(&s.Direct.ColdRateExtra, new(defaultColdRateExtra))
	setDefault(&s.Peers.Heartbeat, defaultHeartbeat)
	setDefault(&s.Peers.SilenceTimeout, defaultSilenceTimeout)
	setDefault(&s.Requests.SlotsPerReplica, defaultSlotsPerReplica)
	setDefault(&s.Requests.QueuePerGroup, defaultQueuePerGroup)
	setDefault(&s.Requests.Deadline, defaultDeadline)
	setDefault(&s.Requests.RetryBodyLimit, defaultRetryBodyLimit)
	setDefault(&s.Requests.EntriesTTL, defaultEntriesTTL)
	setDefault(&s.Agent.Engine.Slots, defaultEngineSlots)
	setDefault(&s.Weights.Prefer, PreferFewestBytes)
	setDefault(&s.Weights.MemoryLimit, defaultMemoryLimit)
	setDefault(&s.Weights.OriginFetchWait, defaultOriginFetchWait)
	setDefault(&s.Log.Level, defaultLogLevel)
	setDefault(&s.Stop.Grace, defaultStopGrace)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Package settings reads, completes and checks the settings of a daemon.
//
// Settings are written in TOML. Everything wrong with a file is collected and
// reported together, each finding with its line, its column and what is allowed;
// an unknown key is a finding. Defaults are set in one step before the check.
//
// # Usage
//
//	loaded, findings := settings.Load("entry.toml")
//	if len(findings) > 0 { ... }
package settings

import (
	"time"
)

// Role is what a daemon does on its box.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Mode is how requests reach backend servers.
type Mode string

// The modes.
const (
	// ModeAgents sends requests through the agents beside the backend servers.
	ModeAgents Mode = "agents"
	// ModeDirect connects entry boxes straight to the backend servers of a
	// platform that keeps their list, the operators' routes and the wanted
	// weights in its key-value service.
	ModeDirect Mode = "direct"
)

// Preference trades bytes drawn from the origin against time until live.
type Preference string

// The preferences of Weights.Prefer.
const (
	// PreferFewestBytes draws about one copy from the origin.
	PreferFewestBytes Preference = "fewest-bytes"
	// PreferSoonestLive lets second drawers wait half as long.
	PreferSoonestLive Preference = "soonest-live"
)

// Duration is a time.Duration written as text, such as "2s".
type Duration time.Duration

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// MarshalText writes the form of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings is everything that a daemon reads from its file.
type Settings struct {
	Role Role `toml:"role"`
	Mode Mode `toml:"mode"`
	// Organisation, Box, Region and FailureDomain say what and where the box is.
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
	// Callers is for callers; entry only.
	Callers string `toml:"callers"`
	// Operators is for operators and metrics.
	Operators string `toml:"operators"`
	// Peers is for the system's own processes.
	Peers string `toml:"peers"`
	// Readiness and Directory are for the platform's and the callers' questions;
	// entry in direct mode only.
	Readiness string `toml:"readiness"`
	Directory string `toml:"directory"`
	// Metrics serves the process's metrics; direct mode only.
	Metrics string `toml:"metrics"`
}

// Operators says who may use the operators' listener.
type Operators struct {
	// TokenFile holds the bearer token. Without it only loopback addresses may
	// be listened on.
	TokenFile string `toml:"token_file"`
}

// Platform holds the base URLs of what the platform provides.
type Platform struct {
	KeyValue    string `toml:"key_value"`
	BoxList     string `toml:"box_list"`
	WeightStore string `toml:"weight_store"`
	Origin      string `toml:"origin"`
}

// Peers tells how to find the system's other processes.
type Peers struct {
	// Entries are peer addresses of some entry boxes, to begin with.
	Entries []string `toml:"entries"`
	// Heartbeat is the time between two heartbeats.
	Heartbeat Duration `toml:"heartbeat"`
	// SilenceTimeout is after how long without a heartbeat a box counts as silent.
	SilenceTimeout Duration `toml:"silence"`
}

// Requests tunes an entry box's work for callers.
type Requests struct {
	// SlotsPerReplica is how many requests each live replica takes at once,
	// summed over all entry boxes.
	SlotsPerReplica int `toml:"places_per_replica"`
	// QueuePerGroup bounds the requests of one group that wait.
	QueuePerGroup int `toml:"queue_per_group"`
	// Deadline is that of a request which names none.
	Deadline Duration `toml:"deadline"`
	// RetryBodyLimit bounds a request's body that is kept for a retry, in bytes.
	RetryBodyLimit int64 `toml:"retry_body_limit_bytes"`
	// EntriesTTL is how long a caller may keep the list of entry boxes.
	EntriesTTL Duration `toml:"entries_ttl"`
}

// Agent describes what stands on an agent's box.
type Agent struct {
	Engine   Engine    `toml:"engine"`
	Services []Service `toml:"services"`
}

// Engine is the model engine of the box; an empty URL means that there is none.
type Engine struct {
	URL    string   `toml:"url"`
	Models []string `toml:"models"`
	// Slots is how many versions fit into the engine's memory at once.
	Slots int `toml:"slots"`
}

// Service is a plain service on the box.
type Service struct {
	Name string `toml:"name"`
	URL  string `toml:"url"`
}

// Weights tunes the distribution of weights.
type Weights struct {
	Prefer Preference `toml:"prefer"`
	// MemoryLimit bounds the chunks held in memory, in bytes.
	MemoryLimit int64 `toml:"memory_limit_bytes"`
	// RankDelay is how long a box waits for the one before it in the order of
	// drawers.
	OriginFetchWait Duration `toml:"draw_wait"`
}

// Direct tunes a process in direct mode.
type Direct struct {
	// Store is the address of the platform's key-value service.
	Store string `toml:"store"`
	// Server is the address of the backend server on the agent's box, Service the
	// service that it belongs to.
	Server  string `toml:"server"`
	Service string `toml:"service"`
	// AgentPort is where the agent on a backend server's box is reached.
	AgentPort int `toml:"agent_port"`
	// Domains gives the region of each failure domain.
	Domains map[string]string `toml:"domains"`
	// MemoryLimitMegabytes bounds the process's memory, in millions of bytes.
	MemoryLimitMegabytes float64 `toml:"memory_limit_megabytes"`
	// LinkMbps is the rate of the box's link, in Mbit/s.
	LinkMbps float64 `toml:"link_mbps"`
	// VersionBound is how long after newer weights were named older ones may
	// still start a request.
	VersionBound Duration `toml:"version_bound"`
	// SettleTime is how long after its start a box is not yet held to its bounds.
	SettleTime Duration `toml:"settle_time"`
	// ChangeBound is how long after a change of the platform's store it must be in force.
	ChangeBound Duration `toml:"change_bound"`
	// DirectoryTTL is how long callers may keep the addresses they are told.
	DirectoryTTL Duration `toml:"directory_ttl"`
	// RetryRatio and RetryExtra bound the attempts beyond the first of each
	// request of a service within RetryWindow, over all entry boxes. Either may be 0.
	RetryRatio  *float64 `toml:"retry_ratio"`
	RetryExtra  *float64 `toml:"retry_extra"`
	RetryWindow Duration `toml:"retry_window"`
}

// Log says what is logged.
type Log struct {
	Level string `toml:"level"`
}

// Stop says how a planned stop goes.
type Stop struct {
	// Grace bounds the time to finish what is in progress.
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
)

// Default fills everything that the file left out.
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

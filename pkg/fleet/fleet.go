// Package fleet defines the state of a fleet in which entry boxes proxy requests
// to backend servers: the operators' routes, the backend servers, and the version
// of the weights that each model should run.
//
// A Fact is one entry of this state. It comes from the key-value service or from
// another entry box, and carries the revision at which it was written. A View is
// an immutable snapshot of the state. It finds the route of a request, the
// organisation of an API key and the backend servers of a service.
//
// # Usage
//
//	view := fleet.EmptyView().WithConfiguration(configuration, revision).WithServers(servers)
//	route, ok := view.Route("maps.example", "/tiles/7/3")
//	organisation, ok := view.Organisation(key)
//	servers := view.Servers(route.Backends[0].Service)
package fleet

import (
	"cmp"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// ServerID identifies a backend server. A restarted server has another ID, or the same ID and
// another incarnation.
type ServerID string

// ModelName is the name of a model.
type ModelName string

// WeightsVersion is the version number of the published weights of a model. It only increases.
type WeightsVersion uint64

// OrganisationName is the name of an organisation.
type OrganisationName string

// APIKey authenticates the callers of an organisation.
type APIKey string

// RouteKind determines whether requests of a route may be repeated and whether their responses are streams.
type RouteKind string

// The kinds of routes.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable RouteKind = "repeatable"
	// KindOnce requests run at most once.
	KindOnce RouteKind = "once"
	// KindStream requests receive a stream of events as their response.
	KindStream RouteKind = "stream"
)

// Backend is a service that receives requests of a route.
type Backend struct {
	Service member.Service `cbor:"1,keyasint"`
	// Weight is the backend's share of requests, relative to the weights of the route's other backends.
	Weight float64 `cbor:"2,keyasint"`
}

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name       string        `cbor:"1,keyasint"`
	Host       string        `cbor:"2,keyasint"`
	PathPrefix string        `cbor:"3,keyasint"`
	Kind       RouteKind     `cbor:"4,keyasint"`
	Timeout    time.Duration `cbor:"5,keyasint"`
	// Objective is the time within which callers expect the response, or the first
	// event of a stream.
	Objective time.Duration `cbor:"6,keyasint"`
	// Priority is 0 for the most urgent requests and higher for less urgent ones.
	Priority int       `cbor:"7,keyasint"`
	Backends []Backend `cbor:"8,keyasint"`
	// MaxAttempts is the maximum number of backend servers that one request may be sent to.
	MaxAttempts int `cbor:"9,keyasint"`
	// Public routes require no API key.
	Public bool `cbor:"10,keyasint,omitempty"`
	// Resumable streams may continue on another backend server.
	Resumable bool `cbor:"11,keyasint,omitempty"`
	// MaxEventGap is the longest time between two events that callers accept.
	MaxEventGap time.Duration `cbor:"12,keyasint,omitempty"`
	// CallerTimeout is how long callers wait without any event before they abandon a stream;
	// 0 if they wait until their deadline.
	CallerTimeout time.Duration `cbor:"13,keyasint,omitempty"`
	// Residency limits the regions in which requests of the route may be served.
	Residency Residency `cbor:"14,keyasint,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is how many requests a server runs concurrently.
	Slots  int         `cbor:"1,keyasint"`
	Models []ModelName `cbor:"2,keyasint"`
	// Warmup is how long a server takes to load all layers.
	Warmup time.Duration `cbor:"3,keyasint"`
	Layers int           `cbor:"4,keyasint"`
	// Chunks and ChunkSize (in bytes) are the number and the size of the chunks in which weights are transferred.
	Chunks    int   `cbor:"5,keyasint"`
	ChunkSize int64 `cbor:"6,keyasint"`
	// StepTime is the duration of one token step. Each running request adds
	// StepTimePerRequest to it.
	StepTime           time.Duration `cbor:"7,keyasint"`
	StepTimePerRequest time.Duration `cbor:"8,keyasint"`
	// StepsBetweenPrefills is how many token steps a server runs between two prefill chunks.
	StepsBetweenPrefills int `cbor:"9,keyasint"`
	// PrefillTokensPerSecond is the prefill rate, in prompt tokens per second.
	PrefillTokensPerSecond float64 `cbor:"10,keyasint"`
	// TypicalPromptTokens and TypicalResponseTokens are the mean lengths of prompts and responses, in tokens.
	TypicalPromptTokens   float64 `cbor:"11,keyasint"`
	TypicalResponseTokens float64 `cbor:"12,keyasint"`
	// PrefillChunkTokens is how many prompt tokens a server processes in one prefill chunk;
	// 0 if that is not known.
	PrefillChunkTokens int `cbor:"13,keyasint,omitempty"`
}

// PrefillTime returns how long a server that also generates responses takes to process
// a prompt of the given length. The server runs StepsBetweenPrefills token steps after
// each prefill chunk. The result is 0 if the prefill rate is not known.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	prefill := time.Duration(float64(tokens) / e.PrefillTokensPerSecond * float64(time.Second))
	if e.PrefillChunkTokens <= 0 {
		return prefill
	}
	return prefill + time.Duration(float64(tokens)/float64(e.PrefillChunkTokens)*float64(e.StepsBetweenPrefills)*float64(e.StepTime))
}

// DecodeTime returns how long a server with half of its slots in use takes to generate
// a response of the given length.
func (e *Engine) DecodeTime(tokens float64) time.Duration {
	return time.Duration(tokens * (float64(e.StepTime) + float64(e.StepTimePerRequest)*float64(e.Slots)/2))
}

// Service is a group of interchangeable backend servers, or an origin of weights.
type Service struct {
	Name           member.Service `cbor:"1,keyasint"`
	MaxConnections int            `cbor:"2,keyasint"`
	// Engine is nil for a service that runs no model.
	Engine *Engine `cbor:"3,keyasint,omitempty"`
	// Origin is the address at which weights are published; empty for all other services.
	Origin member.Address `cbor:"4,keyasint,omitempty"`
	// OriginMbps is the rate of the origin's link, in Mbit/s; 0 if that is not known.
	OriginMbps float64 `cbor:"5,keyasint,omitempty"`
	// ColdRate is how many requests per second a cold server can run; 0 if cold servers have no limit.
	ColdRate float64 `cbor:"6,keyasint,omitempty"`
	// ColdTime is how long a server stays cold after its start.
	ColdTime time.Duration `cbor:"7,keyasint,omitempty"`
}

// Organisation holds the API keys of one organisation.
type Organisation struct {
	Name OrganisationName `cbor:"1,keyasint"`
	Keys []APIKey         `cbor:"2,keyasint"`
	// Priority replaces the priority of the route if it is not nil.
	Priority *int `cbor:"3,keyasint,omitempty"`
	// Residency limits the regions in which requests of the organisation may be served, in addition to that of
	// the route.
	Residency Residency `cbor:"4,keyasint,omitempty"`
}

// Limits bounds the size and the duration of a caller's requests.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the headers and the body of a request.
	HeaderBytes   int64         `cbor:"1,keyasint"`
	BodyBytes     int64         `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// Configuration is the complete configuration that the operators wrote last.
type Configuration struct {
	// Version increases with each change, by 1 or more.
	Version       uint64         `cbor:"1,keyasint"`
	Routes        []Route        `cbor:"2,keyasint"`
	Services      []Service      `cbor:"3,keyasint"`
	Organisations []Organisation `cbor:"4,keyasint"`
	Limits        Limits         `cbor:"5,keyasint"`
	// Unreadable marks the parts that could not be read, or only incompletely.
	Unreadable UnreadableParts `cbor:"6,keyasint"`
	// KeyPolicy states whether requests of routes that are not public need an API key. It does not follow from Organisations,
	// which may be empty although keys are required.
	KeyPolicy KeyPolicy `cbor:"7,keyasint,omitempty"`
}

// KeyPolicy states whether requests need an API key.
type KeyPolicy uint8

// The policies. Only KeyNotRequired admits a request without a known key. KeyPolicyUnknown is the policy of a configuration that
// comes from a process of an earlier version.
const (
	KeyPolicyUnknown KeyPolicy = iota
	KeyRequired
	KeyNotRequired
)

// String returns the policy as logs have it.
func (p KeyPolicy) String() string {
	switch p {
	case KeyRequired:
		return "required"
	case KeyNotRequired:
		return "not-required"
	default:
		return "unknown"
	}
}

// UnreadableParts marks the parts of a configuration that could not be read completely. What is
// missing from such a part may still be in the stored configuration.
type UnreadableParts struct {
	Routes        bool `cbor:"1,keyasint,omitempty"`
	Services      bool `cbor:"2,keyasint,omitempty"`
	Organisations bool `cbor:"3,keyasint,omitempty"`
	Limits        bool `cbor:"4,keyasint,omitempty"`
}

// WithFallback returns the configuration with its unreadable parts taken from before, an earlier
// configuration. An unreadable part therefore neither rejects every caller nor gives access
// without a key where one was required.
func (c *Configuration) WithFallback(before *Configuration) *Configuration {
	if before == nil || c.Unreadable == (UnreadableParts{}) {
		return c
	}
	filled := *c
	if c.Unreadable.Routes {
		filled.Routes = before.Routes
	}
	if c.Unreadable.Services {
		filled.Services = before.Services
	}
	// KeyPolicy stays as it is. The unreadable organisations exist, so an API key is required even if none was before.
	if c.Unreadable.Organisations && len(before.Organisations) > 0 {
		filled.Organisations = before.Organisations
	}
	if c.Unreadable.Limits {
		filled.Limits = Limits{
			HeaderBytes: cmp.Or(c.Limits.HeaderBytes, before.Limits.HeaderBytes), BodyBytes: cmp.Or(c.Limits.BodyBytes, before.Limits.BodyBytes),
			HeaderTimeout: cmp.Or(c.Limits.HeaderTimeout, before.Limits.HeaderTimeout), IdleTimeout: cmp.Or(c.Limits.IdleTimeout, before.Limits.IdleTimeout),
		}
	}
	return &filled
}

// ServicesOnly returns the configuration for a process that serves no callers: the services,
// and one route for each combination of service, route kind and resumability. Its size does
// not depend on the number of routes and organisations.
func (c *Configuration) ServicesOnly() *Configuration {
	type routeClass struct {
		service   member.Service
		kind      RouteKind
		resumable bool
	}
	reduced := &Configuration{Version: c.Version, Services: c.Services, Unreadable: c.Unreadable, KeyPolicy: c.KeyPolicy}
	added := make(map[routeClass]bool)
	for i := range c.Routes {
		route := &c.Routes[i]
		for _, backend := range route.Backends {
			class := routeClass{backend.Service, route.Kind, route.Resumable}
			if added[class] {
				continue
			}
			added[class] = true
			reduced.Routes = append(reduced.Routes, Route{
				Kind: route.Kind, Resumable: route.Resumable, Backends: []Backend{{Service: backend.Service, Weight: 1}},
			})
		}
	}
	return reduced
}

// LoadedLayers is a range of layers that a server has loaded. End is exclusive.
type LoadedLayers struct {
	Start   int            `cbor:"1,keyasint"`
	End     int            `cbor:"2,keyasint"`
	Version WeightsVersion `cbor:"3,keyasint"`
}

// LoadedModel describes which layers of one model a server has loaded.
type LoadedModel struct {
	Name    ModelName      `cbor:"1,keyasint"`
	Version WeightsVersion `cbor:"2,keyasint"`
	Layers  []LoadedLayers `cbor:"3,keyasint"`
}

// CompleteVersion returns the version of which all n layers are loaded. It returns false if layers
// are missing or belong to different versions. If n is 0, it returns m.Version, or false if
// that is 0.
func (m *LoadedModel) CompleteVersion(n int) (WeightsVersion, bool) {
	if n == 0 {
		return m.Version, m.Version > 0
	}
	next := 0
	var version WeightsVersion
	for _, layers := range m.Layers {
		if next > 0 && layers.Version != version {
			return 0, false
		}
		if layers.Start > next {
			return 0, false
		}
		version = layers.Version
		next = max(next, layers.End)
	}
	return version, next >= n
}

// Server is the entry of a backend server in the list of servers.
type Server struct {
	ID      ServerID             `cbor:"1,keyasint"`
	Service member.Service       `cbor:"2,keyasint"`
	Address member.Address       `cbor:"3,keyasint"`
	Domain  member.FailureDomain `cbor:"4,keyasint"`
	Slots   int                  `cbor:"5,keyasint"`
	// Leaving is set once the server has announced, in its entry or in a response, that it will exit.
	Leaving bool          `cbor:"6,keyasint,omitempty"`
	Models  []LoadedModel `cbor:"7,keyasint,omitempty"`
	// Incarnation is the incarnation of the server that the entry describes. A restarted server may
	// keep its ID, but has lost all loaded weights. 0 if the platform reports no incarnation.
	Incarnation member.Incarnation `cbor:"8,keyasint,omitempty"`
	// ColdFor is the remaining cold time when the server wrote the entry. A cold server runs requests slowly and accepts
	// only the cold rate of its service.
	ColdFor time.Duration `cbor:"9,keyasint,omitempty"`
	// Limit is the rate limit in force: the one that the server advertises in its responses or that of a cold server,
	// whichever is lower. It is not part of the entry.
	Limit RateLimit `cbor:"-"`
	// Cold is set while the server is cold. It is not part of the entry.
	Cold bool `cbor:"-"`
	// Evacuated is set while the operators have evacuated the server's failure domain. It is not part of the entry.
	Evacuated bool `cbor:"-"`
}

// RateLimit is the request rate that a server accepts from all entry boxes together. The zero value means no limit.
type RateLimit struct {
	// Set reports whether there is a limit.
	Set bool
	// PerSecond is the number of requests per second; 0 is a valid limit.
	PerSecond float64
	// Burst is how many requests may be sent at once; 0 if the limit does not state it.
	Burst float64
}

// IsBelow reports whether l is stricter than other.
func (l RateLimit) IsBelow(other RateLimit) bool {
	return l.Set && (!other.Set || l.PerSecond < other.PerSecond)
}

// Departure is a server's announcement, in a response, that it will exit.
type Departure struct {
	Server ServerID
	// Incarnation is the incarnation that announced its exit; 0 if the platform reports no incarnation.
	Incarnation member.Incarnation
}

// Evacuation is the operators' order to send no requests to the servers of a failure domain until it is withdrawn.
type Evacuation struct {
	Domain member.FailureDomain `cbor:"1,keyasint"`
}

// DesiredVersion is the version of the weights that all servers of a model should run.
type DesiredVersion struct {
	Model   ModelName      `cbor:"1,keyasint"`
	Version WeightsVersion `cbor:"2,keyasint"`
}

// Report is the state that a model server reports about itself.
type Report struct {
	// Incarnation is the incarnation of the server; 0 if the platform reports no incarnation.
	Incarnation member.Incarnation
	Models      []LoadedModel
	// Busy is set while the server executes an order.
	Busy    bool
	Orders  uint64
	Running int
	Waiting int
	// MemoryUsed and MemoryTotal are in tokens times layers.
	MemoryUsed  uint64
	MemoryTotal uint64
	// Slowdown is above 1 when the server is slow; 0 if the server does not report it.
	Slowdown float64
}

// startUncertainty is the minimum time between the start of an incarnation and the receipt of a response that may be
// attributed to it. It covers the difference between the clocks of two boxes and clock jumps, which reach about two
// seconds.
const startUncertainty = 2 * time.Second

// WasRunning reports whether an incarnation of a server started at least startUncertainty before a response of the
// server was received. Responses carry no incarnation, and entries do not show new incarnations while the store is
// unavailable. A response may therefore come from a later incarnation than the one known at the time. WasRunning
// returns false if received is the zero time.
func WasRunning(start member.Incarnation, received time.Time) bool {
	return !received.IsZero() && start <= member.Incarnation(max(0, received.Add(-startUncertainty).UnixMilli()))
}

// StartedAfter reports whether an incarnation of a server certainly started after a response of the server was
// received. If neither StartedAfter nor WasRunning returns true, either incarnation may have responded.
func StartedAfter(start member.Incarnation, received time.Time) bool {
	return start > member.Incarnation(max(0, received.Add(startUncertainty).UnixMilli()))
}

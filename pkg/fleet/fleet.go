// Package fleet holds the facts by which entry boxes serve callers directly:
// the operators' routes, the backend servers that there are, and the weights
// that each model should run.
//
// Facts come from outside (a key-value service, or another entry box) and carry
// the revision at which they were written. A View is the immutable form that
// decisions read: it finds the route of a request, the organisation of a key and
// the backend servers of a service.
//
// # Usage
//
//	view := fleet.NewView(facts)
//	route, ok := view.Route("maps.example", "/tiles/7/3")
//	organisation, ok := view.Organisation(key)
//	servers := view.Servers(route.Service)
package fleet

import (
	"cmp"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Revision orders the writes of the key-value service.
type Revision uint64

// ServerID names a backend server. One that starts again has another id, or the same and
// another incarnation.
type ServerID string

// ModelName names a model.
type ModelName string

// WeightsVersion numbers the published weights of a model; it only goes up.
type WeightsVersion uint64

// OrganisationName names an organisation.
type OrganisationName string

// APIKey is what an organisation's callers show.
type APIKey string

// RouteKind says what may be done with the requests of a route.
type RouteKind string

// The kinds of routes.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable RouteKind = "repeatable"
	// KindOnce requests run at most once.
	KindOnce RouteKind = "once"
	// KindStream requests are answered with a series of events.
	KindStream RouteKind = "stream"
)

// Backend is one service that a route sends requests to.
type Backend struct {
	Service member.Service `cbor:"1,keyasint"`
	// Weight is relative to the weights of the route's other backends.
	Weight float64 `cbor:"2,keyasint"`
}

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name       string        `cbor:"1,keyasint"`
	Host       string        `cbor:"2,keyasint"`
	PathPrefix string        `cbor:"3,keyasint"`
	Kind       RouteKind     `cbor:"4,keyasint"`
	Timeout    time.Duration `cbor:"5,keyasint"`
	// Objective is the time to the answer, or to a stream's first event, that
	// callers expect.
	Objective time.Duration `cbor:"6,keyasint"`
	// Priority is 0 for the most urgent.
	Priority int       `cbor:"7,keyasint"`
	Backends []Backend `cbor:"8,keyasint"`
	// MaxAttempts bounds the backend servers that one request may be sent to.
	MaxAttempts int `cbor:"9,keyasint"`
	// Public routes need no key.
	Public bool `cbor:"10,keyasint,omitempty"`
	// Resumable streams may go on at another backend server.
	Resumable bool `cbor:"11,keyasint,omitempty"`
	// MaxEventGap is the longest time between two events that callers accept.
	MaxEventGap time.Duration `cbor:"12,keyasint,omitempty"`
	// CallerTimeout is after how long without any event callers leave a stream; 0 if they
	// stay to their deadline.
	CallerTimeout time.Duration `cbor:"13,keyasint,omitempty"`
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is how many requests a server runs at once.
	Slots  int         `cbor:"1,keyasint"`
	Models []ModelName `cbor:"2,keyasint"`
	// Warmup is how long a server takes to load all layers.
	Warmup time.Duration `cbor:"3,keyasint"`
	Layers int           `cbor:"4,keyasint"`
	// Chunks and ChunkSize (bytes) are how the weights are cut for transport.
	Chunks    int   `cbor:"5,keyasint"`
	ChunkSize int64 `cbor:"6,keyasint"`
	// StepTime is the time of one token step, StepTimePerRequest what each running
	// request adds to it.
	StepTime           time.Duration `cbor:"7,keyasint"`
	StepTimePerRequest time.Duration `cbor:"8,keyasint"`
	// StepsBetweenPrefills is how many token steps are played between two readings of prompts.
	StepsBetweenPrefills int `cbor:"9,keyasint"`
	// PrefillTokensPerSecond is the rate at which prompts are read, in tokens.
	PrefillTokensPerSecond float64 `cbor:"10,keyasint"`
	// TypicalPromptTokens and TypicalResponseTokens are mean sizes, in tokens.
	TypicalPromptTokens   float64 `cbor:"11,keyasint"`
	TypicalResponseTokens float64 `cbor:"12,keyasint"`
	// PrefillChunkTokens is how many tokens of prompts are read between two strides; 0 if
	// that is not known.
	PrefillChunkTokens int `cbor:"13,keyasint,omitempty"`
}

// PrefillTime returns how long a server that also writes answers takes to read a
// prompt: after each part of it a stride of token steps is played.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	reading := time.Duration(float64(tokens) / e.PrefillTokensPerSecond * float64(time.Second))
	if e.PrefillChunkTokens <= 0 {
		return reading
	}
	return reading + time.Duration(float64(tokens)/float64(e.PrefillChunkTokens)*float64(e.StepsBetweenPrefills)*float64(e.StepTime))
}

// DecodeTime returns how long a server whose batch is half full takes to write an
// answer.
func (e *Engine) DecodeTime(tokens float64) time.Duration {
	return time.Duration(tokens * (float64(e.StepTime) + float64(e.StepTimePerRequest)*float64(e.Slots)/2))
}

// Service is a group of backend servers that answer alike, or an origin of
// weights.
type Service struct {
	Name           member.Service `cbor:"1,keyasint"`
	MaxConnections int            `cbor:"2,keyasint"`
	// Engine is nil for a service that runs no model.
	Engine *Engine `cbor:"3,keyasint,omitempty"`
	// Origin is where weights are published; empty for all other services.
	Origin member.Address `cbor:"4,keyasint,omitempty"`
	// OriginMbps is the rate of the origin's link, in Mbit/s; 0 if that is not told.
	OriginMbps float64 `cbor:"5,keyasint,omitempty"`
}

// Organisation holds the keys of one organisation.
type Organisation struct {
	Name OrganisationName `cbor:"1,keyasint"`
	Keys []APIKey         `cbor:"2,keyasint"`
	// Priority replaces that of the route if it is set.
	Priority *int `cbor:"3,keyasint,omitempty"`
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes.
	HeaderBytes   int64         `cbor:"1,keyasint"`
	BodyBytes     int64         `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// Configuration is what the operators have written last, whole.
type Configuration struct {
	// Version goes up with each change, in uneven steps.
	Version       uint64         `cbor:"1,keyasint"`
	Routes        []Route        `cbor:"2,keyasint"`
	Services      []Service      `cbor:"3,keyasint"`
	Organisations []Organisation `cbor:"4,keyasint"`
	Limits        Limits         `cbor:"5,keyasint"`
	// Unreadable are the parts that could not be read, or not whole.
	Unreadable UnreadableParts `cbor:"6,keyasint"`
}

// UnreadableParts tells which parts of a configuration could not be read. What is missing there may
// have been written all the same.
type UnreadableParts struct {
	Routes        bool `cbor:"1,keyasint,omitempty"`
	Services      bool `cbor:"2,keyasint,omitempty"`
	Organisations bool `cbor:"3,keyasint,omitempty"`
	Limits        bool `cbor:"4,keyasint,omitempty"`
}

// WithFallback returns the configuration with the parts that could not be read as they stood before:
// neither does it refuse everybody for one of them, nor does it open what was closed.
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
	// Without organisations no key is asked for; those that can't be read were written.
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

// ServicesOnly returns what a process needs that serves no callers: the services, and
// one route for each way in which the routes of a service may go on elsewhere. It does
// not grow with the operators' routes and organisations.
func (c *Configuration) ServicesOnly() *Configuration {
	type way struct {
		service   member.Service
		kind      RouteKind
		resumable bool
	}
	reduced := &Configuration{Version: c.Version, Services: c.Services, Unreadable: c.Unreadable}
	seen := make(map[way]bool)
	for i := range c.Routes {
		route := &c.Routes[i]
		for _, backend := range route.Backends {
			w := way{backend.Service, route.Kind, route.Resumable}
			if seen[w] {
				continue
			}
			seen[w] = true
			reduced.Routes = append(reduced.Routes, Route{
				Kind: route.Kind, Resumable: route.Resumable, Backends: []Backend{{Service: backend.Service, Weight: 1}},
			})
		}
	}
	return reduced
}

// LoadedLayers is a range of layers that a server holds, End exclusive.
type LoadedLayers struct {
	Start   int            `cbor:"1,keyasint"`
	End     int            `cbor:"2,keyasint"`
	Version WeightsVersion `cbor:"3,keyasint"`
}

// LoadedModel is what a server holds of one model.
type LoadedModel struct {
	Name    ModelName      `cbor:"1,keyasint"`
	Version WeightsVersion `cbor:"2,keyasint"`
	Layers  []LoadedLayers `cbor:"3,keyasint"`
}

// CompleteVersion returns the version of which all n layers are held, if there is one.
func (m *LoadedModel) CompleteVersion(n int) (WeightsVersion, bool) {
	if n == 0 {
		return m.Version, m.Version > 0
	}
	next := 0
	var version WeightsVersion
	for _, held := range m.Layers {
		if next > 0 && held.Version != version {
			return 0, false
		}
		if held.Start > next {
			return 0, false
		}
		version = held.Version
		next = max(next, held.End)
	}
	return version, next >= n
}

// Server is a backend server as it stands in the list.
type Server struct {
	ID      ServerID             `cbor:"1,keyasint"`
	Service member.Service       `cbor:"2,keyasint"`
	Address member.Address       `cbor:"3,keyasint"`
	Domain  member.FailureDomain `cbor:"4,keyasint"`
	Slots   int                  `cbor:"5,keyasint"`
	// Leaving is set once the server has said, in its entry or in an answer, that it will end.
	Leaving bool          `cbor:"6,keyasint,omitempty"`
	Models  []LoadedModel `cbor:"7,keyasint,omitempty"`
	// Incarnation is which start of the server says so: one that starts again may keep its
	// id, and holds nothing of before. 0 where the platform does not tell.
	Incarnation member.Incarnation `cbor:"8,keyasint,omitempty"`
	// Limit is the rate limit that the server advertises in its answers; it is not part of its entry.
	Limit RateLimit `cbor:"-"`
}

// RateLimit is the request rate that a server accepts from all entry boxes together. The zero value means no limit.
type RateLimit struct {
	// Set reports whether there is a limit.
	Set bool
	// PerSecond is the number of requests per second; 0 is a valid limit.
	PerSecond float64
}

// IsBelow reports whether l is stricter than other.
func (l RateLimit) IsBelow(other RateLimit) bool {
	return l.Set && (!other.Set || l.PerSecond < other.PerSecond)
}

// Departure is a server's word, in an answer, that it will end.
type Departure struct {
	Server ServerID
	// Incarnation is the start of the server that said so; 0 where the platform does not tell.
	Incarnation member.Incarnation
}

// DesiredVersion names the weights that all servers of a model should run.
type DesiredVersion struct {
	Model   ModelName      `cbor:"1,keyasint"`
	Version WeightsVersion `cbor:"2,keyasint"`
}

// Report is what a model server says of itself.
type Report struct {
	// Incarnation is which start of the server reports; 0 where the platform does not tell.
	Incarnation member.Incarnation
	Models      []LoadedModel
	// Busy is set while an order is being carried out.
	Busy    bool
	Orders  uint64
	Running int
	Waiting int
	// MemoryUsed and MemoryTotal are in tokens times layers.
	MemoryUsed  uint64
	MemoryTotal uint64
	// Slowdown is above 1 when the server is slow; 0 if it does not say.
	Slowdown float64
}

// startUncertainty is the minimum time between a start of a server and an answer for the answer to be attributed to that start. It
// covers the difference between the clocks of two boxes and clock jumps, which reach about two seconds.
const startUncertainty = 2 * time.Second

// WasRunning reports whether a start of a server began at least startUncertainty before an answer of the server was heard. Answers
// do not carry an incarnation, and while the store is unavailable entries do not report new starts, so an answer may be from a later
// start than the one known at the time. It returns false if heard is zero.
func WasRunning(start member.Incarnation, heard time.Time) bool {
	return !heard.IsZero() && start <= member.Incarnation(max(0, heard.Add(-startUncertainty).UnixMilli()))
}

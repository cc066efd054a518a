package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// View is what is believed at one moment. It is not changed once made, so it may
// be read without locks.
type View struct {
	// Configuration is nil until one is known.
	Configuration *Configuration
	// ConfigurationRevision is the revision at which it was written.
	ConfigurationRevision Revision

	routes        map[string][]*Route
	organisations map[APIKey]*Organisation
	services      map[member.Service]*Service
	servers       map[member.Service][]Server
	published     map[ModelName]PublishedVersions
	origin        *Service
}

// PublishedVersion is a wanted version with the time at which this process first
// heard of it.
type PublishedVersion struct {
	Version     WeightsVersion
	Revision    Revision
	PublishedAt time.Time
	// Observed is set if Since is when some process heard of the version as it was
	// named. Otherwise it was there when this process started, and Since is a guess.
	Observed bool
}

// VersionAge is how long ago a version was named, as a process that heard of it
// then tells.
type VersionAge struct {
	Model   ModelName
	Version WeightsVersion
	Age     time.Duration
}

// PublishedVersions are the versions of a model that were named, oldest first. Before any
// was named it holds the first version, without a time.
type PublishedVersions []PublishedVersion

// Newest returns the version that all servers should come to.
func (n PublishedVersions) Newest() PublishedVersion { return n[len(n)-1] }

// OldestAllowed returns the oldest version that may still start requests when each
// version bars those before it a bound after it was named; 0 if any may.
func (n PublishedVersions) OldestAllowed(bound time.Duration, now time.Time) WeightsVersion {
	for i := len(n) - 1; i >= 0; i-- {
		if !n[i].PublishedAt.IsZero() && now.Sub(n[i].PublishedAt) >= bound {
			return n[i].Version
		}
	}
	return 0
}

// CutoffTime returns when a version may no longer start requests, a bound after a
// newer one was named; ok is false while none was.
func (n PublishedVersions) CutoffTime(version WeightsVersion, bound time.Duration) (at time.Time, ok bool) {
	for _, named := range n {
		if named.Version > version && !named.PublishedAt.IsZero() {
			return named.PublishedAt.Add(bound), true
		}
	}
	return time.Time{}, false
}

// With returns the versions with another one added at its place: a process that started between
// two names learns of the older one after the newer.
func (n PublishedVersions) With(added PublishedVersion) PublishedVersions {
	at := len(n)
	for at > 0 && n[at-1].Version > added.Version {
		at--
	}
	next := slices.Insert(slices.Clone(n), at, added)
	return next[max(0, len(next)-maxPublishedVersions):]
}

// Lacks reports whether a version is not among those that were named and would be kept with them.
func (n PublishedVersions) Lacks(version WeightsVersion) bool {
	if len(n) == maxPublishedVersions && version < n[0].Version {
		return false
	}
	return !slices.ContainsFunc(n, func(named PublishedVersion) bool { return named.Version == version })
}

// PublishedAt returns when a version was named; the zero time if that is not known.
func (n PublishedVersions) PublishedAt(version WeightsVersion) time.Time {
	for _, named := range n {
		if named.Version == version {
			return named.PublishedAt
		}
	}
	return time.Time{}
}

// Corrected returns the versions with the time of one corrected by a witness: a
// guess is replaced, and of two witnesses the one who heard sooner, by more than a
// tolerance, is right. ok is false if nothing changes.
func (n PublishedVersions) Corrected(version WeightsVersion, since time.Time, tolerance time.Duration) (corrected PublishedVersions, ok bool) {
	at := slices.IndexFunc(n, func(named PublishedVersion) bool { return named.Version == version && !named.PublishedAt.IsZero() })
	if at < 0 || n[at].Observed && since.After(n[at].PublishedAt.Add(-tolerance)) {
		return n, false
	}
	corrected = slices.Clone(n)
	corrected[at].PublishedAt, corrected[at].Observed = since, true
	return corrected, true
}

// maxPublishedVersions is how many of the versions that were named last are remembered.
const maxPublishedVersions = 8

// EmptyView returns a view that knows nothing.
func EmptyView() *View { return &View{} }

// WithConfiguration returns a view with another configuration and all else as it
// was.
func (v *View) WithConfiguration(configuration *Configuration, revision Revision) *View {
	next := *v
	next.Configuration, next.ConfigurationRevision = configuration, revision
	next.routes = make(map[string][]*Route)
	next.organisations = make(map[APIKey]*Organisation)
	next.services = make(map[member.Service]*Service)
	next.origin = nil
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := strings.ToLower(route.Host)
		next.routes[host] = append(next.routes[host], route)
	}
	for _, routes := range next.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range configuration.Organisations {
		organisation := &configuration.Organisations[i]
		for _, key := range organisation.Keys {
			// A request without a key has the empty one.
			if key != "" {
				next.organisations[key] = organisation
			}
		}
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		next.services[service.Name] = service
		if service.Origin != "" {
			next.origin = service
		}
	}
	return &next
}

// WithServers returns a view with another list of servers.
func (v *View) WithServers(servers []Server) *View {
	next := *v
	next.servers = make(map[member.Service][]Server)
	for _, server := range servers {
		next.servers[server.Service] = append(next.servers[server.Service], server)
	}
	for _, list := range next.servers {
		slices.SortFunc(list, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return &next
}

// WithPublishedVersions returns a view with other wanted weights.
func (v *View) WithPublishedVersions(wanted map[ModelName]PublishedVersions) *View {
	next := *v
	next.published = wanted
	return &next
}

// Route returns the route of a host whose prefix begins the path and is longest.
func (v *View) Route(host, path string) (*Route, bool) {
	for _, route := range v.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// Organisation returns who holds a key; nobody holds the empty one.
func (v *View) Organisation(key APIKey) (*Organisation, bool) {
	organisation, ok := v.organisations[key]
	return organisation, ok
}

// Service returns the description of a service; nil if it is not known.
func (v *View) Service(name member.Service) *Service { return v.services[name] }

// Servers returns the servers of a service in the order of their ids.
func (v *View) Servers(name member.Service) []Server { return v.servers[name] }

// Services returns the services that have backend servers or routes.
func (v *View) Services() []*Service {
	if v.Configuration == nil {
		return nil
	}
	services := make([]*Service, 0, len(v.Configuration.Services))
	for i := range v.Configuration.Services {
		services = append(services, &v.Configuration.Services[i])
	}
	return services
}

// Resumable reports whether every route of a service has streams that may go on at
// another server.
func (v *View) Resumable(name member.Service) bool {
	if v.Configuration == nil {
		return false
	}
	found := false
	for i := range v.Configuration.Routes {
		route := &v.Configuration.Routes[i]
		if !slices.ContainsFunc(route.Backends, func(b Backend) bool { return b.Service == name }) {
			continue
		}
		if route.Kind != KindStream || !route.Resumable {
			return false
		}
		found = true
	}
	return found
}

// Origin returns the service that publishes weights; nil if there is none.
func (v *View) Origin() *Service { return v.origin }

// PublishedVersions returns the versions that were named for a model.
func (v *View) PublishedVersions(model ModelName) PublishedVersions {
	if wanted, ok := v.published[model]; ok {
		return wanted
	}
	return PublishedVersions{{Version: FirstVersion}}
}

// FirstVersion is the version that a model has before another one is named.
const FirstVersion WeightsVersion = 1

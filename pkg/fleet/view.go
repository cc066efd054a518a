package fleet

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// View is a snapshot of the known state of the fleet. It is immutable, so it can be
// read without locks.
type View struct {
	// Configuration is nil until a configuration is known.
	Configuration *Configuration
	// ConfigurationRevision is the revision at which Configuration was written.
	ConfigurationRevision Revision

	routes        map[string][]*Route
	organisations map[APIKey]*Organisation
	services      map[member.Service]*Service
	servers       map[member.Service][]Server
	published     map[ModelName]PublishedVersions
	origin        *Service
}

// PublishedVersion is a published version of a model, with the time of its publication
// as known to this process.
type PublishedVersion struct {
	Version     WeightsVersion
	Revision    Revision
	PublishedAt time.Time
	// Observed is set if some process received the version when it was published and
	// PublishedAt is that time. Otherwise the version was already published when this
	// process started, and PublishedAt is an estimate.
	Observed bool
}

// VersionAge is the time since a version was published, as reported by a process that
// observed the publication.
type VersionAge struct {
	Model   ModelName
	Version WeightsVersion
	Age     time.Duration
}

// PublishedVersions are the published versions of a model, oldest first. Before the first
// publication, the list holds only FirstVersion, without a time.
type PublishedVersions []PublishedVersion

// Newest returns the version that all servers should run.
func (p PublishedVersions) Newest() PublishedVersion { return p[len(p)-1] }

// OldestAllowed returns the oldest version that may still start requests; 0 if all may. Each
// version is the cutoff for all older ones once bound has passed since its publication.
func (p PublishedVersions) OldestAllowed(bound time.Duration, now time.Time) WeightsVersion {
	for i := len(p) - 1; i >= 0; i-- {
		if !p[i].PublishedAt.IsZero() && now.Sub(p[i].PublishedAt) >= bound {
			return p[i].Version
		}
	}
	return 0
}

// CutoffTime returns when a version may no longer start requests: bound after the publication
// of the next version. ok is false if no newer version with a known time was published.
func (p PublishedVersions) CutoffTime(version WeightsVersion, bound time.Duration) (at time.Time, ok bool) {
	for _, published := range p {
		if published.Version > version && !published.PublishedAt.IsZero() {
			return published.PublishedAt.Add(bound), true
		}
	}
	return time.Time{}, false
}

// With returns the versions with another one inserted in order, and keeps the newest
// maxPublishedVersions. A process that started between two publications may receive the older
// version after the newer one.
func (p PublishedVersions) With(added PublishedVersion) PublishedVersions {
	i := len(p)
	for i > 0 && p[i-1].Version > added.Version {
		i--
	}
	next := slices.Insert(slices.Clone(p), i, added)
	return next[max(0, len(next)-maxPublishedVersions):]
}

// Lacks reports whether a version is not in the list and would be kept if it were added.
func (p PublishedVersions) Lacks(version WeightsVersion) bool {
	if len(p) == maxPublishedVersions && version < p[0].Version {
		return false
	}
	return !slices.ContainsFunc(p, func(published PublishedVersion) bool { return published.Version == version })
}

// PublishedAt returns the time of publication of a version; the zero time if that is not known.
func (p PublishedVersions) PublishedAt(version WeightsVersion) time.Time {
	for _, published := range p {
		if published.Version == version {
			return published.PublishedAt
		}
	}
	return time.Time{}
}

// Corrected returns the versions with the publication time of one of them replaced by observedAt,
// the time at which another process observed the publication. It replaces an estimate, or an
// observed time that is later by at least tolerance. ok is false if nothing changes.
func (p PublishedVersions) Corrected(version WeightsVersion, observedAt time.Time, tolerance time.Duration) (corrected PublishedVersions, ok bool) {
	i := slices.IndexFunc(p, func(published PublishedVersion) bool {
		return published.Version == version && !published.PublishedAt.IsZero()
	})
	if i < 0 || p[i].Observed && observedAt.After(p[i].PublishedAt.Add(-tolerance)) {
		return p, false
	}
	corrected = slices.Clone(p)
	corrected[i].PublishedAt, corrected[i].Observed = observedAt, true
	return corrected, true
}

// maxPublishedVersions is how many of the newest published versions of a model are kept.
const maxPublishedVersions = 8

// EmptyView returns a view without any data.
func EmptyView() *View { return &View{} }

// WithConfiguration returns a copy of the view with another configuration. Lists that the two configurations share, as those
// of a Parser do, are not indexed anew.
func (v *View) WithConfiguration(configuration *Configuration, revision Revision) *View {
	next, before := *v, v.Configuration
	next.Configuration, next.ConfigurationRevision = configuration, revision
	if before == nil || !isShared(before.Routes, configuration.Routes) {
		next.routes = indexRoutes(configuration.Routes)
	}
	if before == nil || !isShared(before.Organisations, configuration.Organisations) {
		next.organisations = indexOrganisations(configuration.Organisations)
	}
	next.services = make(map[member.Service]*Service)
	next.origin = nil
	for i := range configuration.Services {
		service := &configuration.Services[i]
		next.services[service.Name] = service
		if service.Origin != "" {
			next.origin = service
		}
	}
	return &next
}

// isShared reports whether two lists are the same in memory.
func isShared[T any](a, b []T) bool { return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] }

// indexRoutes returns routes by host, those with longer prefixes first.
func indexRoutes(routes []Route) map[string][]*Route {
	byHost := make(map[string][]*Route)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		byHost[host] = append(byHost[host], &routes[i])
	}
	for _, routes := range byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return byHost
}

// indexOrganisations returns organisations by API key.
func indexOrganisations(organisations []Organisation) map[APIKey]*Organisation {
	byKey := make(map[APIKey]*Organisation)
	for i := range organisations {
		for _, key := range organisations[i].Keys {
			// The key of a request without an API key is empty, and must match no organisation.
			if key != "" {
				byKey[key] = &organisations[i]
			}
		}
	}
	return byKey
}

// WithServers returns a copy of the view with another list of servers.
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

// ServerRef names a server in a view.
type ServerRef struct {
	Service member.Service
	ID      ServerID
}

// Ref returns the name of the server in a view.
func (s *Server) Ref() ServerRef { return ServerRef{s.Service, s.ID} }

// WithServerUpdates returns a copy of the view without some servers and with others. The lists of services whose servers
// stay the same are shared with v. A removed server that is added again as it was stays the same.
func (v *View) WithServerUpdates(removed []ServerRef, added []Server) *View {
	next := *v
	next.servers = maps.Clone(v.servers)
	if next.servers == nil {
		next.servers = make(map[member.Service][]Server)
	}
	copied := make(map[member.Service]bool)
	// list returns a list that may be modified. Its copy has room for one more server.
	list := func(service member.Service) []Server {
		servers := next.servers[service]
		if !copied[service] {
			copied[service] = true
			servers = append(make([]Server, 0, len(servers)+1), servers...)
		}
		return servers
	}
	unchanged := make(map[ServerRef]bool)
	for i := range added {
		if known, ok := v.Server(added[i].Ref()); ok && slices.Contains(removed, added[i].Ref()) && reflect.DeepEqual(known, &added[i]) {
			unchanged[added[i].Ref()] = true
		}
	}
	for _, ref := range removed {
		if i, ok := v.search(next.servers[ref.Service], ref.ID); ok && !unchanged[ref] {
			next.servers[ref.Service] = slices.Delete(list(ref.Service), i, i+1)
		}
	}
	for i := range added {
		if ref := added[i].Ref(); !unchanged[ref] {
			at, _ := v.search(next.servers[ref.Service], ref.ID)
			next.servers[ref.Service] = slices.Insert(list(ref.Service), at, added[i])
		}
	}
	maps.DeleteFunc(next.servers, func(_ member.Service, servers []Server) bool { return len(servers) == 0 })
	return &next
}

// Server returns a server of the view.
func (v *View) Server(ref ServerRef) (*Server, bool) {
	servers := v.servers[ref.Service]
	i, ok := v.search(servers, ref.ID)
	if !ok {
		return nil, false
	}
	return &servers[i], true
}

// search returns the position of a server in a list, or that at which it would be inserted.
func (v *View) search(servers []Server, id ServerID) (position int, ok bool) {
	return slices.BinarySearchFunc(servers, id, func(s Server, id ServerID) int { return strings.Compare(string(s.ID), string(id)) })
}

// WithPublishedVersions returns a copy of the view with other published versions of the models.
func (v *View) WithPublishedVersions(versions map[ModelName]PublishedVersions) *View {
	next := *v
	next.published = versions
	return &next
}

// Route returns the route of a host with the longest prefix that matches the path.
func (v *View) Route(host, path string) (*Route, bool) {
	for _, route := range v.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// RequestResidency returns where a request of a route may be served. The organisation is nil if the route is public.
func RequestResidency(route *Route, organisation *Organisation) Residency {
	if organisation == nil {
		return route.Residency
	}
	return route.Residency.And(organisation.Residency)
}

// HostResidency returns the residency that meets those of all routes of a host.
func (v *View) HostResidency(host string) Residency {
	var residency Residency
	for _, route := range v.routes[strings.ToLower(host)] {
		residency = residency.And(route.Residency)
	}
	return residency
}

// Organisation returns the organisation of an API key. The empty key belongs to none.
func (v *View) Organisation(key APIKey) (*Organisation, bool) {
	organisation, ok := v.organisations[key]
	return organisation, ok
}

// KeyCount returns the number of API keys that the configuration admits, -1 if requests need none.
func (v *View) KeyCount() int {
	if v.Configuration != nil && v.Configuration.KeyPolicy == KeyNotRequired {
		return -1
	}
	return len(v.organisations)
}

// Service returns the description of a service; nil if it is not known.
func (v *View) Service(name member.Service) *Service { return v.services[name] }

// Servers returns the servers of a service in order of their IDs.
func (v *View) Servers(name member.Service) []Server { return v.servers[name] }

// Services returns the services of the configuration.
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

// Resumable reports whether a service has routes and all of them are routes of resumable
// streams.
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

// PublishedVersions returns the published versions of a model. The result holds FirstVersion if
// none was published.
func (v *View) PublishedVersions(model ModelName) PublishedVersions {
	if versions, ok := v.published[model]; ok {
		return versions
	}
	return PublishedVersions{{Version: FirstVersion}}
}

// FirstVersion is the version of a model before the first publication.
const FirstVersion WeightsVersion = 1

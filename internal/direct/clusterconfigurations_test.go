package direct

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// configureRoutes writes another version of the configuration, with routes for path prefixes of the host a.example, which
// require the key k.
func (s *clusterStore) configureRoutes(prefixes ...string) (version uint64) {
	s.mu.Lock()
	s.configuration++
	version = s.configuration
	s.mu.Unlock()
	configuration := &fleet.Configuration{
		Version: version, Organisations: []fleet.Organisation{{Name: "kumiai", Keys: []fleet.APIKey{"k"}}},
	}
	for _, prefix := range prefixes {
		configuration.Routes = append(configuration.Routes, fleet.Route{
			Name: prefix, Host: "a.example", PathPrefix: prefix, Backends: []fleet.Backend{{Service: "maps", Weight: 1}},
		})
	}
	s.write(fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: configuration})
	return version
}

// admitStatus returns the status with which the box rejects or refuses a request, or admitted, and its Retry-After.
func (b *clusterBox) admitStatus(path string, key fleet.APIKey) (status int, retryAfter string) {
	request := httptest.NewRequestWithContext(b.cluster.t.Context(), http.MethodGet, path, http.NoBody)
	request.Host = "a.example"
	recorder := httptest.NewRecorder()
	x := &exchange{
		InboundMetadata: provider.InboundMetadata{ID: "r", Key: key, Deadline: 2 * time.Second}, writer: recorder, request: request, arrived: time.Now(),
	}
	if b.callers.admit(x) {
		return admitted, ""
	}
	return recorder.Code, recorder.Header().Get("Retry-After")
}

// requireStatus checks how a box answers a request that it does not admit.
func (b *clusterBox) requireStatus(want int, path string, key fleet.APIKey, message string) {
	b.cluster.t.Helper()
	status, retryAfter := b.admitStatus(path, key)
	require.Equal(b.cluster.t, want, status, "%s: %s", b.id, message)
	require.Equal(b.cluster.t, want == http.StatusServiceUnavailable, retryAfter != "", "%s: Retry-After", b.id)
}

// Guards against boxes that deny proper requests by a configuration that is outdated because they are cut off, alone or
// as a group whose boxes still reach each other.
func TestBoxesBehindACutDenyNothingAfterTheBound(t *testing.T) {
	for name, isCut := range map[string]func(box *clusterBox, i int) bool{
		"one box":  func(_ *clusterBox, i int) bool { return i == 7 },
		"a region": func(box *clusterBox, _ int) bool { return box.region == "region-1" },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 15, 3, 2*time.Second)
				defer c.stop()
				c.store.configureRoutes("/look/")
				time.Sleep(10 * time.Second)
				for _, box := range c.boxes {
					box.requireStatus(http.StatusNotFound, "/find/", "k", "in calm")
					box.requireStatus(http.StatusUnauthorized, "/look/", "wrong", "in calm")
				}
				cut := func(i int) bool { return isCut(c.boxes[i], i) }
				checkAll := func() {
					for i, box := range c.boxes {
						if cut(i) {
							box.requireStatus(http.StatusServiceUnavailable, "/find/", "k", "behind the cut")
							box.requireStatus(http.StatusServiceUnavailable, "/look/", "wrong", "behind the cut")
							box.requireStatus(admitted, "/look/", "k", "behind the cut, in the held configuration")
						} else {
							box.requireStatus(admitted, "/find/", "k", "beside the cut")
							box.requireStatus(http.StatusUnauthorized, "/look/", "wrong", "beside the cut")
						}
					}
				}
				c.split(func(i int) int {
					if cut(i) {
						return 1
					}
					return 0
				})
				for i, box := range c.boxes {
					if cut(i) {
						box.storeLink.close()
					}
				}
				time.Sleep(100 * time.Millisecond)
				c.store.configureRoutes("/look/", "/find/")
				for range 20 {
					time.Sleep(c.bound)
					checkAll()
				}
				c.split(nil)
				for _, box := range c.boxes {
					box.storeLink.open()
				}
				time.Sleep(10 * time.Second)
				for _, box := range c.boxes {
					box.requireStatus(admitted, "/find/", "k", "after the cut")
					box.requireStatus(http.StatusNotFound, "/none/", "k", "after the cut")
					box.requireStatus(http.StatusUnauthorized, "/look/", "wrong", "after the cut")
				}
			})
		})
	}
}

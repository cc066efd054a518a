package direct

import (
	"cmp"
	"fmt"
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
func (s *clusterStore) configureRoutes(prefixes ...string) {
	s.mu.Lock()
	s.configuration++
	version := s.configuration
	s.mu.Unlock()
	configuration := &fleet.Configuration{
		Version: version, KeyPolicy: fleet.KeyRequired, Organisations: []fleet.Organisation{{Name: "kumiai", Keys: []fleet.APIKey{"k"}}},
	}
	for _, prefix := range prefixes {
		configuration.Routes = append(configuration.Routes, fleet.Route{
			Name: prefix, Host: "a.example", PathPrefix: prefix, Backends: []fleet.Backend{{Service: "maps", Weight: 1}},
		})
	}
	s.write(fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: configuration})
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

// Guards against boxes that refuse what they have to reject although nothing of theirs is disturbed, in calm and while a
// reader of the store is: the confirmations that reach every box must be newer than the bound all the time.
func TestUndisturbedBoxesStayCurrent(t *testing.T) {
	const regions, calm, faulty = 5, 30 * time.Second, 15 * time.Second
	boxes := cmp.Or(*clusterBoxes, 50)
	for _, bound := range []time.Duration{2 * time.Second, 5 * time.Second} {
		for _, d := range readerDisturbances {
			t.Run(fmt.Sprintf("bound=%s/%s", bound, d.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newTestCluster(t, boxes, regions, bound)
					defer c.stop()
					c.store.configureRoutes("/look/")
					time.Sleep(5 * time.Second)
					c.store.readers()
					time.Sleep(bound)
					reader, length := c.box(c.store.readers()[0]), faulty
					if d.name == "none" {
						reader, length = nil, calm
					} else {
						d.begin(reader)
					}
					t.Logf("oldest confirmation: %s", c.watchStatus(length, reader))
				})
			})
		}
	}
}

// watchStatus checks that the configuration of all boxes but one is current for a time, and returns the greatest age of
// their confirmations.
func (c *testCluster) watchStatus(length time.Duration, except *clusterBox) (oldest time.Duration) {
	for start := time.Now(); time.Since(start) < length; time.Sleep(50 * time.Millisecond) {
		for _, box := range c.boxes {
			if box == except {
				continue
			}
			age := box.fleetState.ConfirmationAge()
			oldest = max(oldest, age)
			if status := box.fleetState.configurationStatus(); status != configurationCurrent {
				c.t.Fatalf("%s: %s after %s, confirmed %s ago", box.id, status.refusalReason(), time.Since(start), age)
			}
		}
	}
	return oldest
}

// Guards against denying a proper request while the box knows that there is a later configuration, which is late there,
// and against boxes that delay what they can reject at once.
func TestBoxWithALateConfigurationDeniesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 15, 3, 5*time.Second)
		defer c.stop()
		c.store.configureRoutes("/look/")
		time.Sleep(10 * time.Second)
		late := c.boxes[7]
		late.storeLink.close()
		late.factTransfers.close()
		time.Sleep(3 * time.Second) // calls of the store that were made before have ended
		answeredAt := time.Now()
		late.requireStatus(http.StatusNotFound, "/find/", "k", "current")
		late.requireStatus(http.StatusUnauthorized, "/look/", "wrong", "current")
		require.Equal(t, answeredAt, time.Now(), "a box that is current rejects at once")

		c.store.configureRoutes("/look/", "/find/")
		time.Sleep(time.Second)
		for range 10 {
			late.requireStatus(http.StatusServiceUnavailable, "/find/", "k", "behind")
			late.requireStatus(http.StatusServiceUnavailable, "/look/", "wrong", "behind")
			late.requireStatus(admitted, "/look/", "k", "behind, in the held configuration")
		}
		require.EqualValues(t, c.store.configuration-1, late.fleetState.View().Configuration.Version, "the test holds the configuration back")
		requestedAt := time.Now()
		time.AfterFunc(200*time.Millisecond, late.factTransfers.open)
		late.requireStatus(admitted, "/find/", "k", "waits for the configuration")
		require.Less(t, time.Since(requestedAt), 400*time.Millisecond)
		late.requireStatus(http.StatusUnauthorized, "/look/", "wrong", "current again")
	})
}

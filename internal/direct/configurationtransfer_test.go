package direct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// The size of the configuration of a large fleet.
const (
	largeOrganisations = 333
	largeRoutes        = 490
	largeServices      = 24
)

// largeConfiguration returns the configuration of a large fleet. The version of its content is that of the first key of the
// middle organisation; everything else is the same in all versions.
func largeConfiguration(version uint64) *fleet.Configuration {
	random := rand.New(rand.NewPCG(1, 2))
	key := func() fleet.APIKey { return fleet.APIKey(fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())) }
	configuration := &fleet.Configuration{Version: version, Limits: fleet.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, IdleTimeout: time.Minute}}
	for i := range largeServices {
		configuration.Services = append(configuration.Services, fleet.Service{
			Name: member.Service(fmt.Sprintf("service-%d", i)), MaxConnections: 64, ColdRate: 2, ColdTime: 20 * time.Second,
			Engine: &fleet.Engine{
				Slots: 16, Models: []fleet.ModelName{fleet.ModelName(fmt.Sprintf("model-%d", i))}, Layers: 32, Chunks: 64, ChunkSize: 1 << 20,
				StepTime: 20 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillTokensPerSecond: 4000, TypicalPromptTokens: 900,
			},
		})
	}
	for i := range largeRoutes {
		configuration.Routes = append(configuration.Routes, fleet.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i/3), PathPrefix: fmt.Sprintf("/v%d/%x", i%3, random.Uint32()),
			Kind: fleet.KindStream, Timeout: 30 * time.Second, Objective: 2 * time.Second, MaxAttempts: 3, MaxEventGap: 4 * time.Second,
			Backends: []fleet.Backend{{Service: member.Service(fmt.Sprintf("service-%d", i%largeServices)), Weight: 1}},
		})
	}
	for i := range largeOrganisations {
		configuration.Organisations = append(configuration.Organisations, fleet.Organisation{
			Name: fleet.OrganisationName(fmt.Sprintf("organisation-%d", i)), Keys: []fleet.APIKey{key(), key()},
		})
	}
	configuration.Organisations[largeOrganisations/2].Keys[0] = fleet.APIKey(fmt.Sprintf("key-of-version-%016d", version))
	return configuration
}

// largeConfigurationFact returns the fact of a version of the large configuration.
func largeConfigurationFact(version uint64) fleet.Fact {
	return fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: largeConfiguration(version)}
}

// Guards against transfers of the whole configuration to each box for one changed key: what a box sends must be a small part of it.
func TestTransferOfAChangedConfigurationIsItsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 12, 3, 2*time.Second)
		defer c.stop()
		c.store.write(largeConfigurationFact(1))
		time.Sleep(10 * time.Second)
		fact := largeConfigurationFact(2)
		item, err := fact.Item()
		require.NoError(t, err)
		before := c.traffic()
		c.store.write(fact)
		time.Sleep(c.bound)
		for _, box := range c.boxes {
			require.EqualValues(t, 2, box.fleetState.View().Configuration.Version, "%s", box.id)
		}
		_, sent := c.traffic().minus(before).total(string(purposeFacts))
		t.Logf("%d bytes of configuration, %.0f bytes of facts sent by a box", len(item.Value), sent/float64(len(c.boxes)))
		require.Less(t, sent/float64(len(c.boxes)), float64(len(item.Value))/20)
	})
}

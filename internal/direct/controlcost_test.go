package direct_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/direct"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/platform"
	"github.com/cinderslip/cinderslip/platform/standin"
)

var (
	controlBoxes    = flag.Int("control.boxes", 0, "number of entry boxes in one process whose processor time without requests is measured")
	controlAgents   = flag.Int("control.agents", 0, "number of servers with an agent beside those entry boxes")
	controlServers  = flag.Int("control.servers", 464, "number of other servers that the store lists")
	controlProfiles = flag.String("control.profiles", "", "directory for a processor profile of each phase")
)

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// writtenBytes returns the bytes that this process has written to connections and files.
func writtenBytes(t *testing.T) (bytes uint64) {
	content, err := os.ReadFile("/proc/self/io")
	require.NoError(t, err)
	for line := range strings.Lines(string(content)) {
		if n, err := fmt.Sscanf(line, "wchar: %d", &bytes); n == 1 && err == nil {
			return bytes
		}
	}
	t.Fatal("no count of written bytes")
	return 0
}

// TestControlCost logs the processor time of entry boxes that receive no requests, over real connections. The boxes share
// one process with the store and the servers, so this is an upper bound.
func TestControlCost(t *testing.T) {
	if *controlBoxes == 0 {
		t.Skip("needs -control.boxes")
	}
	w := newTestDeployment(t)
	defer w.close()
	require.NoError(t, w.cmdPlatform([]string{fmt.Sprintf("models=%d", *controlAgents), "plain=2"}))
	w.putLargeConfiguration(2)
	for i := range *controlServers {
		w.putListedServer(i)
	}
	measure := func(name string, run func(time.Duration)) {
		const duration = 10 * time.Second
		if *controlProfiles != "" {
			file, err := os.Create(filepath.Join(*controlProfiles, name+".pprof"))
			require.NoError(t, err)
			require.NoError(t, pprof.StartCPUProfile(file))
			defer pprof.StopCPUProfile()
		}
		before, written := processorTime(t), writtenBytes(t)
		run(duration)
		used := processorTime(t) - before
		per := float64(*controlBoxes) * duration.Seconds()
		t.Logf("%-14s %6.2f ms of processor time, %6.1f KB written, a box and second", name,
			float64(used.Microseconds())/1e3/per, float64(writtenBytes(t)-written)/1e3/per)
	}
	measure("start", func(d time.Duration) {
		for i := range *controlBoxes {
			name := fmt.Sprintf("entry-%d", i+1)
			ip := w.ip(groupEntry, i+1)
			loaded := w.settings(settings.RoleEntry, name, ip, portPeers)
			loaded.Listen.Callers, loaded.Listen.Readiness = fmt.Sprintf("%s:%d", ip, portCallers), fmt.Sprintf("%s:%d", ip, portReadiness)
			loaded.Listen.Directory = fmt.Sprintf("%s:%d", ip, portDirectory)
			if len(w.entries) < 3 {
				w.entries = append(w.entries, loaded.Listen.Peers)
			}
			w.startQuietly(name, loaded)
		}
		for i := range *controlAgents {
			name := fmt.Sprintf("model-%d", i+1)
			server := w.servers[name]
			loaded := w.settings(settings.RoleAgent, "agent-"+name, w.ip(groupModel, i+1), portAgents)
			loaded.Direct.Server, loaded.Direct.Service = server.address, server.service
			w.startQuietly("agent-"+name, loaded)
		}
		time.Sleep(d)
	})
	measure("calm", time.Sleep)
	measure("entries", func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			w.putListedServer(0)
		}
	})
	measure("configuration", func(d time.Duration) {
		for version := range 4 {
			w.putLargeConfiguration(3 + version)
			time.Sleep(d / 4)
		}
	})
}

// The configuration of TestControlCost.
const (
	controlServices      = 20
	controlRoutes        = 490
	controlOrganisations = 333
)

// putListedServer writes the entry of a server that receives no requests, of one of the services in turn.
func (w *testDeployment) putListedServer(number int) {
	raw, err := json.Marshal(map[string]any{
		"Service": fmt.Sprintf("service-%d", number%controlServices), "Address": fmt.Sprintf("127.250.%d.%d:9000", number/250, number%250+1),
		"Zone": "hall-a", "Version": "v1", "Slots": 4, "State": "ready", "born": 1,
	})
	require.NoError(w.t, err)
	w.store.Put(fmt.Sprintf("servers/i-%d", number), raw)
}

// putLargeConfiguration writes a configuration with many services, routes and organisations.
func (w *testDeployment) putLargeConfiguration(version int) {
	engine := map[string]any{
		"Slots": 4, "Models": []map[string]any{{"Name": "daka", "WarmupS": 0.05}}, "layers": standin.LayerCount,
		"chunks": chunkCount, "chunk_bytes": chunkSize, "step_ms": 7.0, "read_per_s": 30000.0, "stride": 6,
	}
	services := []any{
		map[string]any{"Name": "llm", "MaxConnections": 50, "Engine": engine},
		map[string]any{"Name": "weights", "origin": w.originAddress, "MaxConnections": 40},
	}
	for i := range controlServices {
		services = append(services, map[string]any{"Name": fmt.Sprintf("service-%d", i), "MaxConnections": 50})
	}
	var routes, organisations []any
	for i := range controlRoutes {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("route-%d", i), "Host": fmt.Sprintf("host-%d.example", i/5), "PathPrefix": fmt.Sprintf("/path-%d/", i), "Type": "safe",
			"TimeoutMs": 2000, "TargetLatencyMs": 400, "Service": fmt.Sprintf("service-%d", i%controlServices), "MaxAttempts": 2,
		})
	}
	for i := range controlOrganisations {
		organisations = append(organisations, map[string]any{"Name": fmt.Sprintf("organisation-%d", i), "ApiKeys": []string{fmt.Sprintf("key-%d-%d", i, version)}})
	}
	raw, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Limits": map[string]any{"MaxBodyBytes": 1000}, "Tenants": organisations,
	})
	require.NoError(w.t, err)
	w.store.Put("op/config", raw)
}

// startQuietly starts a process whose log lines are written and dropped.
func (w *testDeployment) startQuietly(name string, loaded *settings.Settings) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	adapter := platform.New(platform.Addresses{Store: member.Address(w.storeAddress), Server: member.Address(loaded.Direct.Server)}, client)
	log := zerolog.New(io.Discard).With().Timestamp().Logger()
	process, err := direct.Start(loaded, direct.Options{Clock: clockwork.NewRealClock(), Log: log, Platform: adapter})
	require.NoError(w.t, err)
	w.processes[name] = process
}

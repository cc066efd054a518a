package direct_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// killDuring kills the server that runs a request, some time after it began, and returns false if none runs it.
func (w *testDeployment) killDuring(id string, after time.Duration) bool {
	for _, s := range w.servers {
		if s.Runs()[id] > 0 {
			time.Sleep(after)
			return s.host.Kill() == nil
		}
	}
	return false
}

// Guards against a part of a body that ends with the connection of a crashed server appearing complete.
func TestBodyThatEndsWithACrashIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		size   int
		status int
		wants  bool
	}{
		"kept, may not run again": {"/once/1", 4800, http.StatusBadGateway, false},
		"kept, runs again":        {"/look/1", 4800, http.StatusOK, true},
		"long":                    {"/once/1", 400_000, http.StatusOK, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestDeployment(t)
			t.Cleanup(w.close)
			require.NoError(t, w.cmdPlatform([]string{"plain=2"}))
			require.NoError(t, w.cmdEntry([]string{"entry-1"}))
			require.NoError(t, w.cmdAwait([]string{"ready", "entry-1"}))
			for _, s := range w.servers {
				s.SetEndsWithConnection(true)
				s.SetLongBody(test.size, 600*time.Millisecond)
			}
			killed := make(chan bool, 1)
			go func() {
				time.Sleep(200 * time.Millisecond)
				killed <- w.killDuring("cut", 100*time.Millisecond)
			}()
			response, err := w.request("entry-1", "cut", test.path, "key-1")
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			require.True(t, <-killed)
			require.Equal(t, test.status, response.StatusCode)
			isWhole := err == nil && string(body) == strings.Repeat("x", test.size)
			require.Equal(t, test.wants, isWhole)
			if test.status == http.StatusOK && !test.wants {
				require.Error(t, err)
			}
		})
	}
}

// Guards against a stream that ends with the connection of a server that ends as planned appearing complete without its last
// events.
func TestStreamThatEndsWithAPlannedEndIsNotComplete(t *testing.T) {
	w := newTestDeployment(t)
	t.Cleanup(w.close)
	require.NoError(t, w.cmdPlatform([]string{"models=2"}))
	require.NoError(t, w.cmdEntry([]string{"entry-1"}))
	require.NoError(t, w.cmdAgent([]string{"model-1", "model-2"}))
	require.NoError(t, w.cmdAwait([]string{"stream", "entry-1"}))
	for _, s := range w.servers {
		s.SetEndsWithConnection(true)
		s.SetEventInterval(100 * time.Millisecond)
	}
	require.NoError(t, w.cmdStartStream([]string{"entry-1", "planned"}))
	for _, s := range w.servers {
		if s.Runs()["planned"] > 0 {
			w.putEntry(s, true)
		}
	}
	require.True(t, w.killDuring("planned", 350*time.Millisecond))
	require.NoError(t, w.cmdAwaitStream([]string{"planned"}))
}

// Guards against answers that count as none, and their causes, being out of the operators' sight.
func TestSpoiltAnswersAreCounted(t *testing.T) {
	w := startStopDeployment(t)
	for kind, reason := range map[standin.Spoilt]string{standin.SpoiltName: "head", standin.SpoiltFold: "head", standin.SpoiltReset: "cut"} {
		for _, s := range w.servers {
			s.SetSpoilt(kind)
		}
		response, err := w.request("entry-1", string(kind), "/once/1", "key-1")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadGateway, response.StatusCode, kind)
		metrics, err := http.Get("http://" + w.settingsByName["entry-1"].Listen.Metrics + "/metrics")
		require.NoError(t, err)
		content, err := io.ReadAll(metrics.Body)
		require.NoError(t, err)
		require.NoError(t, metrics.Body.Close())
		require.True(t, strings.Contains(string(content), `cinderslip_direct_invalid_responses_total{reason="`+reason+`",service="maps"}`), kind)
		require.True(t, strings.Contains(string(content), "cinderslip_believed_api_keys 2\n"))
	}
}

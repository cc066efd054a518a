package direct

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/platform"
)

// lookRoute is a list of routes with one that leads to maps.
const lookRoute = `[{"Name":"look","Host":"a.example","PathPrefix":"/look/","Type":"safe","Service":"maps"}]`

// factsFromStore returns what a store tells in which the operators have written one configuration.
func factsFromStore(t *testing.T, configuration string, revision fleet.Revision) provider.FactBatch {
	t.Helper()
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := map[string]any{"at": revision}
		if r.URL.Query().Get("PathPrefix") == "op/" {
			answer["Items"] = []any{map[string]any{"TlsKey": "op/config", "Value": []byte(configuration), "Revision": revision}}
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer store.Close()
	told, err := platform.New(platform.Addresses{Store: member.Address(store.Listener.Addr().String())}, store.Client()).Facts.Snapshot(t.Context())
	require.NoError(t, err)
	return told
}

// admitted stands for a request that is admitted, which has no status yet.
const admitted = 0

// admitStatus asks a box that believes some facts to admit a request.
func admitStatus(t *testing.T, facts *FleetState, path, authorization string) int {
	t.Helper()
	f := &CallerServer{suspects: noSuspectRequests(), recentResponses: newRecentResponses(), fleetState: facts, clock: facts.clock, log: zerolog.Nop(), metrics: NewMetrics()}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, http.NoBody)
	request.Host = "a.example"
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	recorder := httptest.NewRecorder()
	callers := platform.New(platform.Addresses{}, http.DefaultClient).Callers
	if f.admit(&exchange{InboundMetadata: callers.ReadRequest(request), writer: recorder, request: request, arrived: f.clock.Now()}) {
		return admitted
	}
	return recorder.Code
}

// A key that was not text was read as the empty key. Callers without a key have that one too,
// and passed as the organisation.
func TestInvalidKeyAdmitsNobody(t *testing.T) {
	for _, keys := range []string{`[7]`, `[{"key":"k"}]`, `[null]`, `[""]`, `[" "]`, `"k"`, `[7,"sound"]`} {
		told := factsFromStore(t, `{"Version":4,"Routes":`+lookRoute+`,"Tenants":[{"Name":"kumiai","ApiKeys":`+keys+`}]}`, 3)
		facts, _ := newTestFleetState()
		facts.Apply(told.Facts, "store")
		for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer  ", "Bearer \t", " ", "Bearer 7"} {
			require.Equal(t, http.StatusUnauthorized, admitStatus(t, facts, "/look/1", authorization), "keys %s, header %q", keys, authorization)
		}
		require.Len(t, told.Errors, 1, keys)
	}
}

// One key that can't be read takes no other one with it.
func TestValidKeysBesideInvalidKeyApply(t *testing.T) {
	for _, keys := range []string{`[7,"k"]`, `["k",null]`, `["","k"," k"]`} {
		facts, _ := newTestFleetState()
		facts.Apply(factsFromStore(t, `{"Version":4,"Routes":`+lookRoute+`,"Tenants":[{"Name":"kumiai","ApiKeys":`+keys+`}]}`, 3).Facts, "store")
		require.Equal(t, admitted, admitStatus(t, facts, "/look/1", "Bearer k"), keys)
	}
}

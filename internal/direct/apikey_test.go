package direct

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/platform"
)

// lookRoute is a JSON list of routes with one route to the service maps.
const lookRoute = `[{"Name":"look","Host":"a.example","PathPrefix":"/look/","Type":"safe","Service":"maps"}]`

// factsFromStore returns the facts of a store that contains one configuration.
func factsFromStore(t *testing.T, configuration string, revision fleet.Revision) provider.FactBatch {
	t.Helper()
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := map[string]any{"at": revision}
		if r.URL.Query().Get("PathPrefix") == "op/" {
			response["Items"] = []any{map[string]any{"TlsKey": "op/config", "Value": []byte(configuration), "Revision": revision}}
		}
		_ = json.NewEncoder(w).Encode(response)
	}))
	defer store.Close()
	batch, err := platform.New(platform.Addresses{Store: member.Address(store.Listener.Addr().String())}, store.Client()).Facts.Snapshot(t.Context())
	require.NoError(t, err)
	return batch
}

// admitted is the result of admitStatus for an admitted request, which has no status yet.
const admitted = 0

// admitStatus returns the status with which a box with the given facts rejects a request, or admitted.
func admitStatus(t *testing.T, state *FleetState, path, authorization string) int {
	t.Helper()
	s := newTestCallerServer(state)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, http.NoBody)
	request.Host = "a.example"
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	recorder := httptest.NewRecorder()
	callers := platform.New(platform.Addresses{}, http.DefaultClient).Callers
	if s.admit(&exchange{InboundMetadata: callers.ReadRequest(request), writer: recorder, request: request, arrived: s.clock.Now()}) {
		return admitted
	}
	return recorder.Code
}

// A configured key that is not text must not be read as the empty key, because every caller without a key would
// then be admitted as the organisation.
func TestInvalidKeyAdmitsNobody(t *testing.T) {
	for _, keys := range []string{`[7]`, `[{"key":"k"}]`, `[null]`, `[""]`, `[" "]`, `"k"`, `[7,"sound"]`} {
		batch := factsFromStore(t, `{"Version":4,"Routes":`+lookRoute+`,"Tenants":[{"Name":"kumiai","ApiKeys":`+keys+`}]}`, 3)
		state, _ := newTestFleetState()
		applyFromStore(state, batch.Facts)
		for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer  ", "Bearer \t", " ", "Bearer 7"} {
			require.Equal(t, http.StatusUnauthorized, admitStatus(t, state, "/look/1", authorization), "keys %s, header %q", keys, authorization)
		}
		require.Len(t, batch.Errors, 1, keys)
	}
}

// An unreadable key must not invalidate the other keys of the organisation.
func TestValidKeysBesideInvalidKeyApply(t *testing.T) {
	for _, keys := range []string{`[7,"k"]`, `["k",null]`, `["","k"," k"]`} {
		state, _ := newTestFleetState()
		applyFromStore(state, factsFromStore(t, `{"Version":4,"Routes":`+lookRoute+`,"Tenants":[{"Name":"kumiai","ApiKeys":`+keys+`}]}`, 3).Facts)
		require.Equal(t, admitted, admitStatus(t, state, "/look/1", "Bearer k"), keys)
	}
}

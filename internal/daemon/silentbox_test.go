package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Guards against cutting a response that pauses because its box was marked silent for a moment, and against waiting for
// one whose box stays silent.
func TestPausedResponseIsCutOnlyIfItsBoxStaysSilent(t *testing.T) {
	for name, isRefuted := range map[string]bool{"refuted": true, "stays silent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started, proceed := make(chan struct{}), make(chan struct{})
			f := newCallerFixture(t, serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write([]byte("first "))
				_ = http.NewResponseController(w).Flush()
				close(started)
				select {
				case <-proceed:
					_, _ = w.Write([]byte("second"))
				case <-r.Context().Done():
				}
			})), keepSettings)
			response := f.get(t, "/v1/services/chizu/")
			<-started
			record := member.Record{
				Box: "b", Role: member.RoleAgent, Status: member.StatusSilent, Region: "kita", Peers: f.address,
				Incarnation: testIncarnation, Services: []member.Service{"chizu"},
			}
			f.callers.view.Router().Set(record)
			if isRefuted {
				record.Status = member.StatusUp
				f.callers.view.Router().Set(record)
			}
			timer := time.AfterFunc(silentStallTimeout+time.Second, func() { close(proceed) })
			defer timer.Stop()
			body := new(strings.Builder)
			_, err := copyBody(body, response)
			if isRefuted {
				require.NoError(t, err)
				require.Equal(t, "first second", body.String())
			} else {
				require.Error(t, err)
				require.Equal(t, "first ", body.String())
			}
		})
	}
}

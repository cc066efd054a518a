package direct

import (
	"net/http"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// heard takes what a backend server says of itself in the head of an answer, whatever becomes of the
// request.
func (f *Front) heard(x *exchange, place *route.Reservation, head *http.Response) {
	mark := f.protocol.ReadAnswer(head)
	server := string(place.Server.ID)
	if mark.Unread != nil {
		f.log.Warn().Str("request", x.ID).Str("server", server).Err(mark.Unread).Msg("server's word not read")
	}
	if mark.Leaving {
		f.metrics.words.WithLabelValues("leaving").Inc()
		f.log.Info().Str("request", x.ID).Str("server", server).Int("status", head.StatusCode).Msg("server says that it leaves")
	}
	if mark.Rest > 0 {
		f.metrics.words.WithLabelValues("rest").Inc()
		f.log.Info().Str("request", x.ID).Str("server", server).Int("status", head.StatusCode).Dur("rest_ms", mark.Rest).Msg("server asks for rest")
	}
}

package daemon

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/internal/wire"
)

// Headers of the HTTP API for callers.
const (
	headerGroup      = "Cinderslip-Group"
	headerRequestID  = "Cinderslip-Request-Id"
	headerRepeatable = "Cinderslip-Repeatable"
	headerPriority   = "Cinderslip-Priority"
	headerDeadline   = "Cinderslip-Deadline"
	headerBox        = "Cinderslip-Box"
	headerVersion    = "Cinderslip-Version"
	headerOutcome    = "Cinderslip-Outcome"
)

// headersToWire converts HTTP headers to their wire form. It omits hop-by-hop headers, which
// include those listed in connection, the values of the Connection header.
func headersToWire(header http.Header, connection []string) []*wire.Header {
	var hopByHop []string
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			hopByHop = append(hopByHop, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	headers := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if slices.Contains(upstream.HopByHopHeaders, name) || slices.Contains(hopByHop, name) {
			continue
		}
		headers = append(headers, &wire.Header{Name: name, Values: values})
	}
	return headers
}

// headersFromWire converts headers from their wire form.
func headersFromWire(headers []*wire.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, h := range headers {
		header[h.Name] = h.Values
	}
	return header
}

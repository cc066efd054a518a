package daemon

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/internal/wire"
)

// The headers of the callers' interface.
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

// headersToWire copies what is passed on. The values of Connection name further
// headers that are not.
func headersToWire(header http.Header, connection []string) []*wire.Header {
	var named []string
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	lines := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if slices.Contains(upstream.HopByHopHeaders, name) || slices.Contains(named, name) {
			continue
		}
		lines = append(lines, &wire.Header{Name: name, Values: values})
	}
	return lines
}

// headersFromWire is the inverse.
func headersFromWire(lines []*wire.Header) http.Header {
	header := make(http.Header, len(lines))
	for _, line := range lines {
		header[line.Name] = line.Values
	}
	return header
}

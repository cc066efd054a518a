package upstream

import (
	"net/http"
	"strings"
)

// HopByHopHeaders lists the headers that apply to a single connection and must not be forwarded (RFC 9110,
// section 7.6.1). Content-Length is included because it is recomputed from the forwarded body.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Proxy-Connection", "Content-Length", "Expect",
}

// RemoveHopByHopHeaders removes the headers in HopByHopHeaders and those listed in the Connection header.
func RemoveHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range HopByHopHeaders {
		header.Del(name)
	}
}

package upstream

import (
	"net/http"
	"strings"
)

// HopByHopHeaders concern one connection and are not passed on (RFC 9110,
// section 7.6.1). Content-Length is set anew from what is known of the body.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Proxy-Connection", "Content-Length", "Expect",
}

// RemoveHopByHopHeaders removes what is not passed on, also what the values of
// Connection name.
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

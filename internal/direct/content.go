package direct

import (
	"crypto/sha256"
	"io"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// contentOf returns a hash of what a backend server receives: method, host, path, organisation (or API key) and
// body. Each retry of a caller has another request ID, so only the content identifies repeated requests. The
// hash is cryptographic, so no caller can create a request with the content ID of another organisation's
// request.
func contentOf(x *exchange) route.ContentID {
	hash := sha256.New()
	writeContent(hash, x)
	return route.ContentID(hash.Sum(nil))
}

// writeContent writes the parts of a request that a backend server receives to a hash. Writes to a hash never
// fail.
func writeContent(hash io.Writer, x *exchange) {
	caller := string(x.Key)
	if x.organisation != nil {
		caller = string(x.organisation.Name)
	}
	for _, part := range []string{x.request.Method, hostOf(x.request), x.request.RequestURI, caller} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(x.body)
}

// contentID returns the content ID of the request. It is computed on first use, as most requests never need it.
func (x *exchange) contentID() route.ContentID {
	x.contentOnce.Do(func() { x.content = contentOf(x) })
	return x.content
}

// promptParts returns the parts of the prompt that other requests may share, for log lines.
func (x *exchange) promptParts() []string {
	parts := make([]string, 0, len(x.PromptParts))
	for _, part := range x.PromptParts {
		parts = append(parts, string(part))
	}
	return parts
}

package direct

import (
	"crypto/sha256"
	"io"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// contentOf identifies what a backend server gets of a request: method, host, path, whose it is and the body. Each try
// of a caller carries another id, so this alone tells that the same is asked again. The hash can't be forged: nobody
// can make a request that is taken for one of another organisation.
func contentOf(x *exchange) route.ContentID {
	hash := sha256.New()
	writeContent(hash, x)
	return route.ContentID(hash.Sum(nil))
}

// writeContent writes what a backend server gets of a request to a hash, which never fails.
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

// contentID returns what a request's server gets of it. It is worked out when it is first asked for, as most requests never are.
func (x *exchange) contentID() route.ContentID {
	if x.content == nil {
		content := contentOf(x)
		x.content = &content
	}
	return *x.content
}

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
func contentOf(x *exchange) route.AttributeID {
	hash := sha256.New()
	writeContent(hash, x)
	return route.AttributeID(hash.Sum(nil))
}

// writeContent writes the parts of a request that a backend server receives to a hash. Writes to a hash never
// fail.
func writeContent(hash io.Writer, x *exchange) {
	for _, part := range []string{x.request.Method, hostOf(x.request), x.request.RequestURI, x.caller()} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(x.body)
}

// contentID returns the content ID of the request. It is computed on first use, as most requests never need it.
func (x *exchange) contentID() route.AttributeID {
	x.contentOnce.Do(func() { x.content = contentOf(x) })
	return x.content
}

// attributes returns the attributes of the request that may cause servers to exit: its content and its partIDs.
func (x *exchange) attributes() []route.AttributeID {
	x.attributesOnce.Do(func() { x.attributeIDs = append([]route.AttributeID{x.contentID()}, x.partIDs()...) })
	return x.attributeIDs
}

// partIDs returns two IDs of each part of the prompt that other requests may share: one for the requests of all
// organisations to the service, and one for those of the request's organisation. What an organisation sends can thus
// block a part for itself only, unless others have exits under the part, too.
func (x *exchange) partIDs() []route.AttributeID {
	x.partsOnce.Do(func() {
		for _, part := range x.PromptParts {
			x.parts = append(x.parts, x.partID("", string(part)))
			if caller := x.caller(); caller != "" {
				x.parts = append(x.parts, x.partID(caller, string(part)))
			}
		}
	})
	return x.parts
}

// partID returns the ID of a part of the prompt for the requests of a caller, or of all callers if it is empty.
func (x *exchange) partID(caller, part string) route.AttributeID {
	key := make([]byte, 0, len(x.service)+len(caller)+len(part)+len("\x00\x00"))
	key = append(append(key, x.service...), 0)
	key = append(append(key, caller...), 0)
	return route.PartAttribute(sha256.Sum256(append(key, part...)))
}

// caller returns the organisation of the request or, if it has none, its API key.
func (x *exchange) caller() string {
	if x.organisation != nil {
		return string(x.organisation.Name)
	}
	return string(x.Key)
}

// promptParts returns the parts of the prompt that other requests may share, for log lines.
func (x *exchange) promptParts() []string {
	parts := make([]string, 0, len(x.PromptParts))
	for _, part := range x.PromptParts {
		parts = append(parts, string(part))
	}
	return parts
}

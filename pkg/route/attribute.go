package route

import (
	"bytes"
	"encoding/hex"
)

// AttributeID identifies an attribute of requests that may cause backend servers to exit: the content of a request, or a
// part of prompts. It is a hash. All requests with the attribute have the same ID for it.
//
// The ID of a content is a hash of the method, the host, the path, the caller's organisation or key, and the body, without
// the parts that differ each time the request is sent.
type AttributeID [32]byte

// partPrefix starts the IDs of parts of prompts, so that processes that know only contents forward them unchanged.
var partPrefix = []byte("part")

// attributeStringBytes is the number of bytes of the hash that String shows; enough to distinguish the requests of a day.
const attributeStringBytes = 8

// PartAttribute returns the ID of a part of prompts with a hash.
func PartAttribute(hash [32]byte) AttributeID {
	id := AttributeID(hash)
	copy(id[:], partPrefix)
	return id
}

// IsPart reports whether the attribute is a part of prompts.
func (a AttributeID) IsPart() bool { return bytes.HasPrefix(a[:], partPrefix) }

// String returns the first bytes of the hash in hexadecimal, after "part-" for a part of prompts.
func (a AttributeID) String() string {
	if a.IsPart() {
		return "part-" + hex.EncodeToString(a[len(partPrefix):][:attributeStringBytes])
	}
	return hex.EncodeToString(a[:attributeStringBytes])
}

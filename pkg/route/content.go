package route

import "encoding/hex"

// ContentID identifies the content of a request to a backend server. It is a hash of the method, the host, the path,
// the caller's organisation or key, and the body, without the parts that differ each time the request is sent.
type ContentID [32]byte

// contentIDStringBytes is the number of bytes that String shows; enough to distinguish the requests of a day.
const contentIDStringBytes = 8

// String returns the first bytes of the hash in hexadecimal.
func (c ContentID) String() string { return hex.EncodeToString(c[:contentIDStringBytes]) }

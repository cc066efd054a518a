package route

import "encoding/hex"

// ContentID identifies what a backend server gets of a request, but for what differs each time it is sent: a hash of
// the method, the host, the path, whose request it is and the body.
type ContentID [32]byte

// contentIDStringBytes is how many bytes of a ContentID are shown: enough to tell the requests of a day apart.
const contentIDStringBytes = 8

// String returns the beginning of the hash in hexadecimal.
func (c ContentID) String() string { return hex.EncodeToString(c[:contentIDStringBytes]) }

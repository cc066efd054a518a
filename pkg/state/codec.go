package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encoding keeps the full precision of times, so that a decoded value equals the
// encoded one.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}

// Encode encodes a value for replication, in CBOR (RFC 8949). The key of a field with
// a keyasint tag takes one byte.
func Encode(value any) ([]byte, error) {
	raw, err := encoding.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encoding replicated value: %w", err)
	}
	return raw, nil
}

// Decode decodes a value that Encode encoded.
func Decode(raw []byte, value any) error {
	if err := cbor.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("decoding replicated value: %w", err)
	}
	return nil
}

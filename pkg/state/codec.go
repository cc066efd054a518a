package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encoding writes times with all their digits, so that a value that was read
// back equals the one that was written.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode returns the compact form in which values are replicated: CBOR
// (RFC 8949), in which fields with a keyasint tag take one byte for their name.
func Encode(value any) ([]byte, error) {
	raw, err := encoding.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encoding a replicated value: %w", err)
	}
	return raw, nil
}

// Decode reads a value that Encode wrote.
func Decode(raw []byte, value any) error {
	if err := cbor.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("decoding a replicated value: %w", err)
	}
	return nil
}

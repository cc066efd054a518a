package fleet

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Revision is the position of a write in the history of the key-value service: an era, and the number of the write in
// that era. The service starts another era when it comes back from a copy. It then gives out numbers again, so numbers
// of different eras are not comparable, and every position of a later era is higher. The zero Revision is before the
// first write of the first era.
type Revision uint64

const (
	// numberBits is the number of bits of a Revision, the lower ones, that hold the number. The others hold the era
	// less one, so that positions in the first era equal their numbers.
	numberBits = 48
	// maxEra and maxNumber are the highest era and number of a Revision.
	maxEra    = 1 << (64 - numberBits)
	maxNumber = 1<<numberBits - 1
)

// NewRevision returns the position of a number in an era. An era of 0 counts as the first one, which is 1. Values that
// do not fit count as the highest that do.
func NewRevision(era, number uint64) Revision {
	era = min(max(era, 1), maxEra)
	return Revision((era-1)<<numberBits | min(number, maxNumber))
}

// Era returns the era, which is at least 1.
func (r Revision) Era() uint64 { return uint64(r)>>numberBits + 1 }

// Number returns the number within the era.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns the era and the number, such as "2:31", or the number alone in the first era.
func (r Revision) String() string {
	if r.Era() == 1 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Number())
}

// MarshalJSON encodes the revision as a number in the first era, and as its String in later ones.
func (r Revision) MarshalJSON() ([]byte, error) {
	if r.Era() == 1 {
		return json.Marshal(r.Number())
	}
	return json.Marshal(r.String())
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (r *Revision) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		number, err := strconv.ParseUint(string(raw), 10, 64)
		*r = Revision(number)
		return err
	}
	era, number, _ := strings.Cut(text, ":")
	parsedEra, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		return fmt.Errorf("era of revision %q: %w", text, err)
	}
	parsedNumber, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return fmt.Errorf("number of revision %q: %w", text, err)
	}
	*r = NewRevision(parsedEra, parsedNumber)
	return nil
}

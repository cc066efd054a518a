package fleet

import (
	"slices"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// Residency limits the regions in which requests may be served and their content may be stored (data residency). The
// zero value allows all regions.
type Residency struct {
	// Restricted is set if only Regions are allowed. A restricted residency without regions allows none.
	Restricted bool            `cbor:"1,keyasint,omitempty"`
	Regions    []member.Region `cbor:"2,keyasint,omitempty"`
}

// ResidencyIn returns the residency that allows only the given regions.
func ResidencyIn(regions ...member.Region) Residency {
	return Residency{Restricted: true, Regions: regions}
}

// Allows reports whether requests may be served in a region.
func (r Residency) Allows(region member.Region) bool {
	return !r.Restricted || slices.Contains(r.Regions, region)
}

// And returns the residency that allows the regions that both allow.
func (r Residency) And(other Residency) Residency {
	switch {
	case !r.Restricted:
		return other
	case !other.Restricted:
		return r
	}
	both := Residency{Restricted: true}
	for _, region := range r.Regions {
		if other.Allows(region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}

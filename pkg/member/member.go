// Package member says which boxes there are, which of them are leaving and
// which have fallen silent.
//
// Each box writes its own record. Its version is the pair of the box's
// incarnation, drawn at each start, and a sequence number that goes up with
// each change; merging two records is taking the newer. A monitor, an entry box
// that receives the heartbeats of a few boxes, may mark a box silent with the
// version directly above the one it knows. The box, when it hears of that from
// any monitor that it still reaches, writes a newer record and so refutes the
// mark: one bad link does not remove a box.
//
// Monitors are chosen by rendezvous hashing, so that every box works out the
// same ones from the same list with no coordinator.
//
// # Usage
//
//	monitors := member.Rank("box-7", entries, 2)
//	monitor := member.NewMonitor(3 * time.Second)
//	monitor.Heard("box-7", clock.Now())
//	for _, box := range monitor.Silent(clock.Now()) { ... }
package member

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// BoxID names a box; the platform's box list uses the same names.
type BoxID string

// Region names a region.
type Region string

// FailureDomain names a failure domain within a region.
type FailureDomain string

// Service names what callers ask for: a model or a plain service.
type Service string

// Address is an IP address with a port.
type Address string

// Incarnation differs between any two starts of the process on a box and goes up.
type Incarnation uint64

// Role is what the process on a box does.
type Role string

// The roles of a box.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Status is whether a box takes work.
type Status string

// The statuses of a box.
const (
	// StatusStarting is a box that is there but can't answer callers yet.
	StatusStarting Status = "starting"

	StatusUp      Status = "up"
	StatusLeaving Status = "leaving"
	StatusSilent  Status = "silent"
)

// Phase is how far a copy of a version has come on a box.
type Phase string

// The phases of a copy, in order.
const (
	PhaseFetching  Phase = "fetching"
	PhaseVerifying Phase = "verifying"
	PhaseLoading   Phase = "loading"
	PhaseLive      Phase = "live"
)

// Copy is one version of a model on a box.
type Copy struct {
	Model    table.Model        `json:"model" cbor:"1,keyasint,omitempty"`
	Version  table.ModelVersion `json:"version" cbor:"2,keyasint,omitempty"`
	Manifest weights.Digest     `json:"manifest" cbor:"3,keyasint,omitempty"`
	Phase    Phase              `json:"phase" cbor:"4,keyasint,omitempty"`
	// HeldChunks is how many chunks were held when the record was written.
	HeldChunks  int `json:"chunks,omitempty" cbor:"5,keyasint,omitempty"`
	TotalChunks int `json:"total,omitempty" cbor:"6,keyasint,omitempty"`
	// WaitReason says why the copy does not advance, if it does not.
	WaitReason string `json:"waits,omitempty" cbor:"7,keyasint,omitempty"`
}

// Record is what a box says of itself.
type Record struct {
	Box           BoxID         `json:"box" cbor:"1,keyasint,omitempty"`
	Role          Role          `json:"role" cbor:"2,keyasint,omitempty"`
	Region        Region        `json:"region" cbor:"3,keyasint,omitempty"`
	FailureDomain FailureDomain `json:"failure_domain" cbor:"4,keyasint,omitempty"`
	// Peers is where the box's own processes are reached.
	Peers Address `json:"peers" cbor:"5,keyasint,omitempty"`
	// Callers is where callers reach an entry box.
	Callers     Address     `json:"callers,omitempty" cbor:"6,keyasint,omitempty"`
	Incarnation Incarnation `json:"incarnation" cbor:"7,keyasint,omitempty"`
	Sequence    uint64      `json:"sequence" cbor:"8,keyasint,omitempty"`
	Status      Status      `json:"status" cbor:"9,keyasint,omitempty"`
	// Models are those that the box's engine can load; Slots is how many
	// versions fit at once.
	Models []table.Model `json:"models,omitempty" cbor:"10,keyasint,omitempty"`
	Slots  int           `json:"slots,omitempty" cbor:"11,keyasint,omitempty"`
	Copies []Copy        `json:"copies,omitempty" cbor:"12,keyasint,omitempty"`
	// Services are the plain services on the box.
	Services []Service `json:"services,omitempty" cbor:"13,keyasint,omitempty"`
}

// KeyPrefix starts the key of each record in a state.Store.
const KeyPrefix = "member/"

// Version returns the version under which the record is replicated. Records of
// the box itself are even, a monitor's silent mark is the odd number above.
func (r Record) Version() state.Version {
	minor := r.Sequence * 2
	if r.Status == StatusSilent {
		minor++
	}
	return state.Version{Major: uint64(r.Incarnation), Minor: minor}
}

// Item returns the record as a replicated item.
func (r Record) Item() (state.Item, error) {
	value, err := state.Encode(r)
	if err != nil {
		return state.Item{}, fmt.Errorf("record of box %s: %w", r.Box, err)
	}
	return state.Item{Key: KeyPrefix + string(r.Box), Version: r.Version(), Value: value}, nil
}

// ParseRecord reads a record back from an item's value.
func ParseRecord(value []byte) (Record, error) {
	var record Record
	if err := state.Decode(value, &record); err != nil {
		return Record{}, fmt.Errorf("member record: %w", err)
	}
	return record, nil
}

// IsLive reports whether the box has the version loaded and may be given work.
func (r Record) IsLive(model table.Model, version table.ModelVersion) bool {
	if r.Status != StatusUp {
		return false
	}
	return slices.ContainsFunc(r.Copies, func(c Copy) bool {
		return c.Model == model && c.Version == version && c.Phase == PhaseLive
	})
}

// Rank returns the first n candidates in rendezvous order for a key. Every
// process with the same candidates gets the same answer.
func Rank[C ~string](key string, candidates []C, n int) []C {
	type scored struct {
		candidate C
		score     uint64
	}
	ranked := make([]scored, 0, len(candidates))
	for _, candidate := range candidates {
		ranked = append(ranked, scored{candidate, Score(key, string(candidate))})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.candidate < b.candidate:
			return -1
		case a.candidate > b.candidate:
			return 1
		}
		return 0
	})
	out := make([]C, 0, min(n, len(ranked)))
	for _, entry := range ranked[:min(n, len(ranked))] {
		out = append(out, entry.candidate)
	}
	return out
}

// Score is the rendezvous weight of a candidate for a key.
func Score(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// Package member tracks the boxes of a fleet: which boxes exist, which are
// leaving and which are silent.
//
// Each box writes its own record. The version of a record consists of the box's
// incarnation, which is chosen at each start, and a sequence number that
// increases with each change. Of two records, the newer one replaces the other.
//
// A monitor is an entry box that receives the heartbeats of a few boxes. It may
// mark a box as silent by writing the version directly above the one it knows.
// When the box receives this mark from any monitor that it can reach, it refutes
// the mark with a newer record. A single bad link therefore does not remove a box.
//
// Monitors are chosen by rendezvous hashing, so every box computes the same ones
// from the same list, without a coordinator.
//
// # Usage
//
//	monitors := member.Rank("box-7", entries, 2)
//	monitor := member.NewMonitor(3 * time.Second)
//	monitor.RecordHeartbeat("box-7", clock.Now())
//	for _, box := range monitor.RemoveSilent(clock.Now()) { ... }
package member

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// BoxID is the name of a box, as in the platform's box list.
type BoxID string

// Region is the name of a region.
type Region string

// FailureDomain is the name of a failure domain within a region.
type FailureDomain string

// Service is the name of a model or a plain service that callers send requests to.
type Service string

// Address is an IP address with a port.
type Address string

// Incarnation identifies one run of the process on a box. It increases with each start.
type Incarnation uint64

// Role is the function of the process on a box.
type Role string

// The roles of a box.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Status states whether a box accepts work.
type Status string

// The statuses of a box.
const (
	// StatusStarting is the status of a box that runs but cannot serve callers yet.
	StatusStarting Status = "starting"

	StatusUp      Status = "up"
	StatusLeaving Status = "leaving"
	StatusSilent  Status = "silent"
)

// Phase is the progress of a copy of a version on a box.
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
	// HeldChunks is how many chunks the box held when it wrote the record.
	HeldChunks  int `json:"chunks,omitempty" cbor:"5,keyasint,omitempty"`
	TotalChunks int `json:"total,omitempty" cbor:"6,keyasint,omitempty"`
	// WaitReason states why the copy does not progress; empty if it does.
	WaitReason string `json:"waits,omitempty" cbor:"7,keyasint,omitempty"`
}

// Record is the state that a box reports of itself.
type Record struct {
	Box           BoxID         `json:"box" cbor:"1,keyasint,omitempty"`
	Role          Role          `json:"role" cbor:"2,keyasint,omitempty"`
	Region        Region        `json:"region" cbor:"3,keyasint,omitempty"`
	FailureDomain FailureDomain `json:"failure_domain" cbor:"4,keyasint,omitempty"`
	// Peers is the address at which the process on the box accepts connections from its peers.
	Peers Address `json:"peers" cbor:"5,keyasint,omitempty"`
	// Callers is the address at which an entry box accepts requests of callers.
	Callers     Address     `json:"callers,omitempty" cbor:"6,keyasint,omitempty"`
	Incarnation Incarnation `json:"incarnation" cbor:"7,keyasint,omitempty"`
	Sequence    uint64      `json:"sequence" cbor:"8,keyasint,omitempty"`
	Status      Status      `json:"status" cbor:"9,keyasint,omitempty"`
	// Models are the models that the box's engine can load, and Slots is how
	// many versions it can hold at the same time.
	Models []table.Model `json:"models,omitempty" cbor:"10,keyasint,omitempty"`
	Slots  int           `json:"slots,omitempty" cbor:"11,keyasint,omitempty"`
	Copies []Copy        `json:"copies,omitempty" cbor:"12,keyasint,omitempty"`
	// Services are the plain services on the box.
	Services []Service `json:"services,omitempty" cbor:"13,keyasint,omitempty"`
	// RetryClaim is the share of the extra retries of all entry boxes that the other boxes must leave to this one; see
	// route.RetryShares.
	RetryClaim uint32 `json:"retry_claim,omitempty" cbor:"14,keyasint,omitempty"`
	// FleetSince is the start of the first of the entry boxes that have passed on their claims to each other until this one
	// learned of them; 0 without a claim.
	FleetSince Incarnation `json:"fleet_since,omitempty" cbor:"15,keyasint,omitempty"`
}

// KeyPrefix is the prefix of the key of each record in a state.Store.
const KeyPrefix = "member/"

// Version returns the version under which the record is replicated. The minor
// number is even in a box's own record, and the next odd number in a monitor's
// silent mark.
func (r Record) Version() state.Version {
	minor := r.Sequence * 2
	if r.Status == StatusSilent {
		minor++
	}
	return state.Version{Major: uint64(r.Incarnation), Minor: minor}
}

// Item encodes the record as a replicated item.
func (r Record) Item() (state.Item, error) {
	value, err := state.Encode(r)
	if err != nil {
		return state.Item{}, fmt.Errorf("encoding member record of box %s: %w", r.Box, err)
	}
	return state.Item{Key: KeyPrefix + string(r.Box), Version: r.Version(), Value: value}, nil
}

// ParseRecord decodes a record from the value of an item.
func ParseRecord(value []byte) (Record, error) {
	var record Record
	if err := state.Decode(value, &record); err != nil {
		return Record{}, fmt.Errorf("parsing member record: %w", err)
	}
	return record, nil
}

// IsLive reports whether the box is up and has loaded the version.
func (r Record) IsLive(model table.Model, version table.ModelVersion) bool {
	if r.Status != StatusUp {
		return false
	}
	return slices.ContainsFunc(r.Copies, func(c Copy) bool {
		return c.Model == model && c.Version == version && c.Phase == PhaseLive
	})
}

// Rank returns the first n candidates in rendezvous order for a key. Every
// process with the same candidates gets the same result.
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

// Score returns the rendezvous weight of a candidate for a key.
func Score(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

package fleet

import (
	"fmt"
	"strings"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// Keys and key prefixes of replicated facts.
const (
	configurationKey = "configuration"
	serverPrefix     = "server/"
	desiredPrefix    = "wanted/"
	evacuationPrefix = "evacuated/"
)

// Fact is a decoded entry of the platform's store. Exactly one of Configuration,
// Server, Desired and Evacuation is set, or none if the entry was deleted.
type Fact struct {
	Key           string
	Revision      Revision
	Deleted       bool
	Configuration *Configuration
	Server        *Server
	Desired       *DesiredVersion
	Evacuation    *Evacuation
}

// ConfigurationKey returns the key of the configuration.
func ConfigurationKey() string { return configurationKey }

// ServerKey returns the key of a server's entry.
func ServerKey(id ServerID) string { return serverPrefix + string(id) }

// DesiredKey returns the key of a model's desired version.
func DesiredKey(model ModelName) string { return desiredPrefix + string(model) }

// EvacuationKey returns the key of the evacuation of a failure domain.
func EvacuationKey(domain member.FailureDomain) string { return evacuationPrefix + string(domain) }

// order returns the number by which the writer of the fact orders its writes, or 0 if it has none. Versions of the
// configuration and desired versions only increase, also if the store comes back from a copy.
func (f *Fact) order() uint64 {
	switch {
	case f.Configuration != nil:
		return f.Configuration.Version
	case f.Desired != nil:
		return uint64(f.Desired.Version)
	}
	return 0
}

// WithOrder returns an item with its Order if it lacks one, as items from processes of earlier versions do.
func WithOrder(item state.Item) state.Item {
	if item.Deleted || item.Version.Order != 0 || item.Key != configurationKey && !strings.HasPrefix(item.Key, desiredPrefix) {
		return item
	}
	if fact, err := ParseFact(item); err == nil {
		item.Version.Order = fact.order()
	}
	return item
}

// Item encodes the fact for replication.
func (f *Fact) Item() (state.Item, error) {
	item := state.Item{Key: f.Key, Version: state.Version{Major: uint64(f.Revision), Order: f.order()}, Deleted: f.Deleted}
	var value any
	switch {
	case f.Deleted:
		return item, nil
	case f.Configuration != nil:
		value = f.Configuration
	case f.Server != nil:
		value = f.Server
	case f.Desired != nil:
		value = f.Desired
	case f.Evacuation != nil:
		value = f.Evacuation
	}
	var err error
	item.Value, err = state.Encode(value)
	return item, err
}

// ServicesOnly returns an item as it is sent to processes that serve no callers. The item
// of the configuration is reduced by Configuration.ServicesOnly; all others are unchanged.
func ServicesOnly(item state.Item) (state.Item, error) {
	if item.Key != configurationKey || item.Deleted {
		return item, nil
	}
	fact, err := ParseFact(item)
	if err != nil {
		return item, err
	}
	fact.Configuration = fact.Configuration.ServicesOnly()
	reduced, err := fact.Item()
	reduced.Version = item.Version
	return reduced, err
}

// ParseFact decodes a replicated item into a fact.
func ParseFact(item state.Item) (Fact, error) {
	fact := Fact{Key: item.Key, Revision: Revision(item.Version.Major), Deleted: item.Deleted}
	if item.Deleted {
		return fact, nil
	}
	var value any
	switch {
	case item.Key == configurationKey:
		fact.Configuration = &Configuration{}
		value = fact.Configuration
	case strings.HasPrefix(item.Key, serverPrefix):
		fact.Server = &Server{}
		value = fact.Server
	case strings.HasPrefix(item.Key, desiredPrefix):
		fact.Desired = &DesiredVersion{}
		value = fact.Desired
	case strings.HasPrefix(item.Key, evacuationPrefix):
		fact.Evacuation = &Evacuation{}
		value = fact.Evacuation
	default:
		return fact, fmt.Errorf("parsing fact %q: unknown kind of key", item.Key)
	}
	if err := state.Decode(item.Value, value); err != nil {
		return fact, fmt.Errorf("parsing fact %q: %w", item.Key, err)
	}
	return fact, nil
}

package fleet

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/cinderslip/cinderslip/pkg/state"
)

// Parser parses replicated items into facts as ParseFact does. Of a configuration it decodes only the routes, services and
// organisations that were not in the configuration before; the others are shared with that, and so is a list without any
// change. Configurations must therefore not be modified. The zero Parser is ready to use. It is not safe for concurrent use.
type Parser struct {
	routes        parsedList[Route]
	services      parsedList[Service]
	organisations parsedList[Organisation]
}

// Parse decodes a replicated item into a fact.
func (p *Parser) Parse(item state.Item) (Fact, error) {
	if item.Key != configurationKey || item.Deleted {
		return ParseFact(item)
	}
	configuration, err := p.parseConfiguration(item.Value)
	if err != nil {
		return Fact{Key: item.Key, Revision: Revision(item.Version.Major)}, fmt.Errorf("parsing fact %q: %w", item.Key, err)
	}
	return Fact{Key: item.Key, Revision: Revision(item.Version.Major), Configuration: configuration}, nil
}

// encodedConfiguration is a Configuration whose lists have encoded elements.
type encodedConfiguration struct {
	Version       uint64            `cbor:"1,keyasint"`
	Routes        []cbor.RawMessage `cbor:"2,keyasint"`
	Services      []cbor.RawMessage `cbor:"3,keyasint"`
	Organisations []cbor.RawMessage `cbor:"4,keyasint"`
	Limits        Limits            `cbor:"5,keyasint"`
	Unreadable    UnreadableParts   `cbor:"6,keyasint"`
	KeyPolicy     KeyPolicy         `cbor:"7,keyasint,omitempty"`
}

func (p *Parser) parseConfiguration(value []byte) (*Configuration, error) {
	var encoded encodedConfiguration
	if err := state.Decode(value, &encoded); err != nil {
		return nil, err
	}
	routes, err := p.routes.parse(encoded.Routes)
	if err != nil {
		return nil, err
	}
	services, err := p.services.parse(encoded.Services)
	if err != nil {
		return nil, err
	}
	organisations, err := p.organisations.parse(encoded.Organisations)
	if err != nil {
		return nil, err
	}
	p.routes, p.services, p.organisations = routes, services, organisations
	return &Configuration{
		Version: encoded.Version, Routes: routes.elements, Services: services.elements, Organisations: organisations.elements,
		Limits: encoded.Limits, Unreadable: encoded.Unreadable, KeyPolicy: encoded.KeyPolicy,
	}, nil
}

// parsedList is a list of elements.
type parsedList[T any] struct {
	elements []T
	// positions holds the position of an element by its encoding.
	positions map[string]int
}

// parse returns a list of encoded elements, and takes the elements that l has from there.
func (l parsedList[T]) parse(encoded []cbor.RawMessage) (parsedList[T], error) {
	if l.has(encoded) {
		return l, nil
	}
	if encoded == nil {
		return parsedList[T]{}, nil
	}
	next := parsedList[T]{elements: make([]T, len(encoded)), positions: make(map[string]int, len(encoded))}
	for i, raw := range encoded {
		if position, ok := l.positions[string(raw)]; ok {
			next.elements[i] = l.elements[position]
		} else if err := state.Decode(raw, &next.elements[i]); err != nil {
			return parsedList[T]{}, err
		}
		next.positions[string(raw)] = i
	}
	return next, nil
}

// has reports whether the list has exactly the encoded elements. It returns false for lists with equal elements.
func (l parsedList[T]) has(encoded []cbor.RawMessage) bool {
	if encoded == nil || len(encoded) != len(l.elements) {
		return false
	}
	for i, raw := range encoded {
		if position, ok := l.positions[string(raw)]; !ok || position != i {
			return false
		}
	}
	return l.positions != nil
}

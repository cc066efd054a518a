package direct

import (
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// valuesToWire returns the digests of the large values that a mirror holds, for a request for facts.
func valuesToWire(values map[string]state.ValueDigest) map[string]uint64 {
	if len(values) == 0 {
		return nil
	}
	encoded := make(map[string]uint64, len(values))
	for key, digest := range values {
		encoded[key] = uint64(digest)
	}
	return encoded
}

// valuesFromWire returns the digests in a request for facts for which deltas may be sent. A stream of several batches gets
// whole values, as the receiver's values change with each of them, and so does a process that gets a reduced configuration.
func valuesFromWire(request *wire.FactsRequest) map[string]state.ValueDigest {
	if !request.Once || request.ServicesOnly {
		return nil
	}
	values := make(map[string]state.ValueDigest, len(request.Values))
	for key, digest := range request.Values {
		values[key] = state.ValueDigest(digest)
	}
	return values
}

// setDeltas sets the deltas of the items in a batch.
func setDeltas(batch *wire.FactsBatch, deltas map[string][]state.Delta) {
	if len(deltas) == 0 {
		return
	}
	for _, item := range batch.Items {
		for _, delta := range deltas[item.Key] {
			item.Deltas = append(item.Deltas, &wire.Delta{Base: uint64(delta.Base), Result: uint64(delta.Result), Program: delta.Program})
		}
	}
}

// deltasFromWire returns the deltas of the items in a batch, by key.
func deltasFromWire(batch *wire.FactsBatch) map[string][]state.Delta {
	var deltas map[string][]state.Delta
	for _, item := range batch.Items {
		if len(item.Deltas) == 0 {
			continue
		}
		if deltas == nil {
			deltas = make(map[string][]state.Delta)
		}
		for _, delta := range item.Deltas {
			deltas[item.Key] = append(deltas[item.Key], state.Delta{
				Base: state.ValueDigest(delta.Base), Result: state.ValueDigest(delta.Result), Program: delta.Program,
			})
		}
	}
	return deltas
}

// countDeltas returns the number of deltas in a batch.
func countDeltas(batch *wire.FactsBatch) (deltas int) {
	for _, item := range batch.Items {
		deltas += len(item.Deltas)
	}
	return deltas
}

// The kinds of transfers of a configuration.
const (
	transferDelta   = "delta"
	transferWhole   = "whole"
	transferReduced = "reduced"
)

// countConfiguration counts the configuration in a batch that was sent.
func (m *Metrics) countConfiguration(batch *wire.FactsBatch, servicesOnly bool) {
	for _, item := range batch.Items {
		switch {
		case item.Key != fleet.ConfigurationKey() || item.Deleted:
		case len(item.Deltas) > 0:
			m.configurationTransfers.WithLabelValues(transferDelta).Inc()
		case servicesOnly:
			m.configurationTransfers.WithLabelValues(transferReduced).Inc()
		default:
			m.configurationTransfers.WithLabelValues(transferWhole).Inc()
		}
	}
}

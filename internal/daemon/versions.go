package daemon

import (
	"context"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// pinFromRecords pins the manifests of the versions that boxes already hold, so that
// plans for versions in use don't depend on the weight sources.
func (p *Planner) pinFromRecords(members []member.Record) {
	for _, record := range members {
		for _, replica := range record.Copies {
			if !p.isPinned(replica.Model, replica.Version) {
				p.setPin(replica.Model, replica.Version, replica.Manifest)
			}
		}
	}
}

// resolveVersions pins the manifest of each version in the table. It runs in a
// goroutine of its own, so that a slow source does not delay planning.
func (p *Planner) resolveVersions(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.view.Changed()
		rows, _ := p.view.Rows()
		for _, row := range rows {
			p.resolveRow(ctx, row)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-p.clock.After(manifestRetryDelay):
		}
	}
}

func (p *Planner) resolveRow(ctx context.Context, row table.Row) {
	if p.isPinned(row.Model, row.Version) || p.failedRecently(row) {
		return
	}
	content, err := readManifest(ctx, p.sources, row.Model, row.Version)
	if err == nil {
		_, err = weights.Parse(content, weights.Digest{})
	}
	if err != nil {
		p.log.Warn().Str("model", string(row.Model)).Str("version", string(row.Version)).Err(err).Msg("cannot read manifest of version; retrying")
		p.recordLookupFailure(row)
		return
	}
	p.setPin(row.Model, row.Version, weights.Sum(content))
	select {
	case p.versionResolved <- struct{}{}:
	default:
	}
}

func readManifest(ctx context.Context, sources []provider.WeightSource, model table.Model, version table.ModelVersion) ([]byte, error) {
	return trySources(sources, func(source provider.WeightSource) ([]byte, error) {
		callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		return source.Manifest(callCtx, model, version)
	})
}

func (p *Planner) isPinned(model table.Model, version table.ModelVersion) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.manifests[model][version]
	return ok
}

func (p *Planner) setPin(model table.Model, version table.ModelVersion, digest weights.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	setNested(p.manifests, model, version, digest)
}

func (p *Planner) recordLookupFailure(row table.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	setNested(p.lookupFailures, row.Model, row.Version, p.clock.Now())
}

func (p *Planner) failedRecently(row table.Row) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lookupFailures[row.Model][row.Version]
	return ok && p.clock.Since(at) < manifestRetryDelay
}

func setNested[A, B comparable, V any](values map[A]map[B]V, a A, b B, value V) {
	if values[a] == nil {
		values[a] = make(map[B]V)
	}
	values[a][b] = value
}

// pins returns a copy of the pinned manifests, which stays unchanged while other versions are pinned.
func (p *Planner) pins() map[table.Model]map[table.ModelVersion]weights.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[table.Model]map[table.ModelVersion]weights.Digest, len(p.manifests))
	for model, versions := range p.manifests {
		for version, digest := range versions {
			setNested(out, model, version, digest)
		}
	}
	return out
}

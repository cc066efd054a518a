package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// TableKey is the key of the table in the key-value service.
const TableKey = "cinderslip/table"

// ErrUndecided means that it is not yet known whether an edit was applied. A later lookup or
// a retry with the same edit id decides it.
var ErrUndecided = errors.New("edit is undecided")

const (
	// tableReadInterval is the interval at which a relay reads the table without a
	// watch event, in case the watch hangs.
	tableReadInterval = 5 * time.Second
	// tableReadTimeout bounds a read of the table, and tableReadRetryDelay is the delay after a failed read.
	// An edit must be in force in all regions within 8 seconds, so a call that hangs since
	// an outage of the key-value service must not delay the next read for long.
	tableReadTimeout    = 2 * time.Second
	tableReadRetryDelay = 500 * time.Millisecond
	// tableWatchTimeout bounds one watch call.
	tableWatchTimeout = time.Minute
	// platformCallTimeout bounds one call to a platform service.
	platformCallTimeout = 5 * time.Second
	// confirmAttempts and confirmInterval bound the lookups of an edit whose response was lost,
	// before it is reported as undecided.
	confirmAttempts = 4
	confirmInterval = 250 * time.Millisecond
	// maxEditAttempts bounds the attempts to apply an edit while concurrent edits win the compare-and-swap.
	maxEditAttempts = 50
)

// TableStore publishes the table of the key-value service as replicated items and applies edits.
type TableStore struct {
	kv           provider.KeyValue
	sources      []provider.WeightSource
	replica      *Replica
	clock        clockwork.Clock
	log          zerolog.Logger
	metrics      *Metrics
	isRelay      func() bool
	tasks        *kernel.TaskGroup
	wake         chan struct{}
	readRevision chan provider.Revision
}

// NewTableStore starts following the table while isRelay returns true.
func NewTableStore(kv provider.KeyValue, sources []provider.WeightSource, replica *Replica,
	clock clockwork.Clock, log zerolog.Logger, metrics *Metrics, isRelay func() bool,
) *TableStore {
	s := &TableStore{
		kv: kv, sources: sources, replica: replica, clock: clock, log: log, metrics: metrics, isRelay: isRelay,
		tasks:        kernel.NewTaskGroup(),
		wake:         make(chan struct{}, 1),
		readRevision: make(chan provider.Revision, 1),
	}
	s.tasks.Go(s.run)
	s.tasks.Go(s.watch)
	return s
}

// String returns the service's name.
func (s *TableStore) String() string { return "configuration" }

// Stop ends the reads and watches of the table.
func (s *TableStore) Stop(ctx context.Context) error { return s.tasks.Stop(ctx) }

func (s *TableStore) run(ctx context.Context) {
	for {
		wait := tableReadInterval
		if s.isRelay() && !s.readTable(ctx) {
			wait = tableReadRetryDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-s.clock.After(wait):
		}
	}
}

// readTable reads and publishes the table. It reports whether the read succeeded.
func (s *TableStore) readTable(ctx context.Context) (ok bool) {
	readCtx, cancel := clockwork.WithTimeout(ctx, s.clock, tableReadTimeout)
	defer cancel()
	current, revision, err := s.load(readCtx)
	if err != nil {
		s.metrics.keyValueErrors.Inc()
		s.log.Warn().Err(err).Msg("cannot read table; retrying")
		return false
	}
	s.publish(current)
	select {
	case <-s.readRevision:
	default:
	}
	s.readRevision <- revision
	return true
}

// watch waits for changes after the revision that was last read and then triggers a read.
func (s *TableStore) watch(ctx context.Context) {
	for {
		var after provider.Revision
		select {
		case <-ctx.Done():
			return
		case after = <-s.readRevision:
		}
		watchCtx, cancel := context.WithTimeout(ctx, tableWatchTimeout)
		s.metrics.keyValueCalls.WithLabelValues("watch").Inc()
		err := s.kv.Watch(watchCtx, TableKey, after)
		cancel()
		if err != nil {
			continue
		}
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *TableStore) load(ctx context.Context) (*table.Table, provider.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	s.metrics.keyValueCalls.WithLabelValues("get").Inc()
	entry, err := s.kv.Get(callCtx, TableKey)
	if err != nil {
		return nil, 0, err
	}
	current := &table.Table{}
	if entry.Revision == 0 {
		return current, 0, nil
	}
	if err := json.Unmarshal(entry.Value, current); err != nil {
		return nil, 0, eris.Wrap(err, "decoding the table")
	}
	return current, entry.Revision, nil
}

// publish publishes the table as replicated items. The version of a row's item is the revision of
// the row's last edit, so that every relay publishes the same item.
func (s *TableStore) publish(current *table.Table) {
	items := make([]state.Item, 0, len(current.Entries)+1)
	for _, entry := range current.Entries {
		value, err := state.Encode(entry.Row)
		if err != nil {
			s.log.Error().Err(err).Msg("cannot encode table row; skipping it")
			continue
		}
		items = append(items, state.Item{
			Key:     tableRowPrefix + entry.Key().String(),
			Version: state.Version{Major: uint64(entry.Revision)},
			Deleted: entry.Deleted,
			Value:   value,
		})
	}
	head, err := state.Encode(current.Revision)
	if err != nil {
		s.log.Error().Err(err).Msg("cannot encode table revision; table not published")
		return
	}
	items = append(items, state.Item{Key: tableHeadKey, Version: state.Version{Major: uint64(current.Revision)}, Value: head})
	s.replica.Publish(items...)
}

// Edit applies an edit and returns the table that contains it. Errors wrap
// *table.ConflictError, table.Findings, table.ErrBaseAhead, ErrUndecided or
// provider.ErrUnavailable. After any of them but ErrUndecided, the table is unchanged.
func (s *TableStore) Edit(ctx context.Context, edit table.Edit) (*table.Table, error) {
	for range maxEditAttempts {
		// Another edit may be published between the two reads, so the head is read first.
		head, isKnown := s.replica.store.Lookup(tableHeadKey)
		current, revision, err := s.load(ctx)
		if err == nil && isKnown && head.Version.Major > uint64(current.Revision) {
			current, err = s.completeRestored(current, head.Version.Major)
		}
		if err != nil {
			return nil, err
		}
		next, err := current.Apply(edit, s.clock.Now())
		if err != nil {
			return nil, err
		}
		if next == current {
			s.publish(current)
			return current, nil
		}
		if err := s.checkPublished(ctx, edit, next); err != nil {
			return nil, err
		}
		swapped, err := s.compareAndSwap(ctx, next, revision)
		if errors.Is(err, provider.ErrUncertain) {
			return s.confirmEdit(ctx, edit.ID, err)
		}
		if err != nil {
			return nil, err
		}
		if swapped {
			s.publish(next)
			s.log.Info().Str("edit", string(edit.ID)).Str("author", edit.Author).
				Uint64("revision", uint64(next.Revision)).Msg("edit accepted")
			return next, nil
		}
	}
	return nil, fmt.Errorf("other edits kept coming first: %w", provider.ErrUnavailable)
}

// completeRestored returns the table with the acknowledged edits that it lacks because the key-value service was
// restored from a backup. The replicated rows, whose revision was read before the table, have them: the table is otherwise
// never behind them.
func (s *TableStore) completeRestored(current *table.Table, replicated uint64) (*table.Table, error) {
	var newer []table.Entry
	for _, item := range s.replica.store.Since(state.Cursor{}, 0).Items {
		if !strings.HasPrefix(item.Key, tableRowPrefix) || item.Version.Major <= uint64(current.Revision) {
			continue
		}
		key := rowKey(tableRowPrefix, item)
		entry := table.Entry{Row: table.NewRow(key), Revision: table.Revision(item.Version.Major), Deleted: item.Deleted}
		if !item.Deleted {
			if err := state.Decode(item.Value, &entry.Row); err != nil {
				return nil, eris.Wrap(err, "decoding a replicated row")
			}
		}
		newer = append(newer, entry)
	}
	s.log.Warn().Uint64("revision", uint64(current.Revision)).Uint64("replicated", replicated).Int("rows", len(newer)).
		Msg("table is older than the replicated one, as after a restore; completing it")
	return current.Complete(table.Revision(replicated), newer), nil
}

func (s *TableStore) compareAndSwap(ctx context.Context, next *table.Table, revision provider.Revision) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "encoding the table")
	}
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	s.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	_, swapped, err := s.kv.CompareAndSwap(callCtx, TableKey, value, revision, 0)
	return swapped, err
}

// confirmEdit looks up an edit whose response was lost. If the edit is not found, the
// key-value service may still apply it, so the error is ErrUndecided.
func (s *TableStore) confirmEdit(ctx context.Context, id table.EditID, cause error) (*table.Table, error) {
	for range confirmAttempts {
		current, _, err := s.load(ctx)
		if err == nil {
			if _, found := current.Find(id); found {
				s.publish(current)
				return current, nil
			}
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(confirmInterval):
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrUndecided, cause)
}

// Find returns the record of an edit and whether the table contains it.
func (s *TableStore) Find(ctx context.Context, id table.EditID) (table.EditRecord, bool, error) {
	current, _, err := s.load(ctx)
	if err != nil {
		return table.EditRecord{}, false, err
	}
	record, found := current.Find(id)
	return record, found, nil
}

// History returns the records of edits in the table, oldest first.
func (s *TableStore) History(ctx context.Context) ([]table.EditRecord, error) {
	current, _, err := s.load(ctx)
	if err != nil {
		return nil, err
	}
	return current.History, nil
}

// checkPublished returns table.Findings if an edit sets a version that is not published.
// It does not check rows whose version the edit does not set.
func (s *TableStore) checkPublished(ctx context.Context, edit table.Edit, next *table.Table) error {
	edited := make(map[table.Key]bool)
	for _, change := range edit.Changes {
		if _, ok := change.Set[table.ColumnVersion]; ok {
			edited[change.Key] = true
		}
	}
	var rows []table.Row
	published := make(map[table.Model][]table.ModelVersion)
	for _, row := range next.Rows() {
		if !edited[row.Key()] {
			continue
		}
		rows = append(rows, row)
		versions, err := s.Versions(ctx, row.Model)
		if errors.Is(err, provider.ErrNotPublished) {
			continue
		}
		if err != nil {
			return fmt.Errorf("checking the versions of %s: %w", row.Model, err)
		}
		published[row.Model] = versions
	}
	if findings := table.CheckVersions(rows, published); len(findings) > 0 {
		return findings
	}
	return nil
}

// Versions returns the published versions of a model from the first source that
// responds. Errors wrap provider.ErrNotPublished or provider.ErrUnavailable.
func (s *TableStore) Versions(ctx context.Context, model table.Model) ([]table.ModelVersion, error) {
	return trySources(s.sources, func(source provider.WeightSource) ([]table.ModelVersion, error) {
		callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		return source.Versions(callCtx, model)
	})
}

// trySources calls each source in order until one succeeds. If all fail, it returns
// provider.ErrNotPublished only if every source did; otherwise it returns
// the last other error, because that source may have the content.
func trySources[T any](sources []provider.WeightSource, call func(provider.WeightSource) (T, error)) (T, error) {
	var zero T
	lastErr := provider.ErrNotPublished
	for _, source := range sources {
		result, err := call(source)
		if err == nil {
			return result, nil
		}
		if !errors.Is(err, provider.ErrNotPublished) {
			lastErr = err
		}
	}
	return zero, lastErr
}

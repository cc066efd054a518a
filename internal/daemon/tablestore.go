package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// ErrUndecided reports an edit of which it is not known yet whether it was
// accepted. The same edit id settles it later.
var ErrUndecided = errors.New("edit is undecided")

const (
	// tableReadInterval is how often a relay reads the table without being woken,
	// in case a watch has gone silent.
	tableReadInterval = 5 * time.Second
	// tableReadTimeout bounds such a read, and tableReadRetryDelay is the wait after one that failed: an edit
	// has to be in force in all regions in eight seconds, and a service that is back after
	// an outage must not hide behind a call that it has swallowed.
	tableReadTimeout    = 2 * time.Second
	tableReadRetryDelay = 500 * time.Millisecond
	// tableWatchTimeout bounds one waiting watch.
	tableWatchTimeout = time.Minute
	// platformCallTimeout bounds one call of the key-value service.
	platformCallTimeout = 5 * time.Second
	// confirmAttempts and confirmInterval bound how long an edit whose answer was lost is
	// looked for before it is called undecided.
	confirmAttempts = 4
	confirmInterval = 250 * time.Millisecond
	// maxEditAttempts bounds how often an edit is applied anew after another edit.
	maxEditAttempts = 50
)

// TableStore brings the table from the key-value service into the replicated
// items, and makes edits.
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

// NewTableStore starts to follow the table while isRelay holds.
func NewTableStore(kv provider.KeyValue, sources []provider.WeightSource, replica *Replica,
	clock clockwork.Clock, log zerolog.Logger, metrics *Metrics, isRelay func() bool,
) *TableStore {
	c := &TableStore{
		kv: kv, sources: sources, replica: replica, clock: clock, log: log, metrics: metrics, isRelay: isRelay,
		tasks:        kernel.NewTaskGroup(),
		wake:         make(chan struct{}, 1),
		readRevision: make(chan provider.Revision, 1),
	}
	c.tasks.Go(c.run)
	c.tasks.Go(c.watch)
	return c
}

// String returns the service's name.
func (c *TableStore) String() string { return "configuration" }

// Stop ends following the table.
func (c *TableStore) Stop(ctx context.Context) error { return c.tasks.Stop(ctx) }

func (c *TableStore) run(ctx context.Context) {
	for {
		wait := tableReadInterval
		if c.isRelay() && !c.readTable(ctx) {
			wait = tableReadRetryDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-c.clock.After(wait):
		}
	}
}

// readTable reads the table; done is false if that failed.
func (c *TableStore) readTable(ctx context.Context) (done bool) {
	readCtx, cancel := clockwork.WithTimeout(ctx, c.clock, tableReadTimeout)
	defer cancel()
	held, revision, err := c.load(readCtx)
	if err != nil {
		c.metrics.keyValueErrors.Inc()
		c.log.Warn().Err(err).Msg("table cannot be read")
		return false
	}
	c.publish(held)
	select {
	case <-c.readRevision:
	default:
	}
	c.readRevision <- revision
	return true
}

// watch waits for the next change after what was read last.
func (c *TableStore) watch(ctx context.Context) {
	for {
		var after provider.Revision
		select {
		case <-ctx.Done():
			return
		case after = <-c.readRevision:
		}
		watchCtx, cancel := context.WithTimeout(ctx, tableWatchTimeout)
		c.metrics.keyValueCalls.WithLabelValues("watch").Inc()
		err := c.kv.Watch(watchCtx, TableKey, after)
		cancel()
		if err != nil {
			continue
		}
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

func (c *TableStore) load(ctx context.Context) (*table.Table, provider.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	c.metrics.keyValueCalls.WithLabelValues("get").Inc()
	entry, err := c.kv.Get(callCtx, TableKey)
	if err != nil {
		return nil, 0, err
	}
	held := &table.Table{}
	if entry.Revision == 0 {
		return held, 0, nil
	}
	if err := json.Unmarshal(entry.Value, held); err != nil {
		return nil, 0, eris.Wrap(err, "decoding the table")
	}
	return held, entry.Revision, nil
}

// publish turns the table into items. A row's version is the revision of its
// last edit, so that every reader makes the same item.
func (c *TableStore) publish(held *table.Table) {
	items := make([]state.Item, 0, len(held.Entries)+1)
	for _, entry := range held.Entries {
		value, err := state.Encode(entry.Row)
		if err != nil {
			c.log.Error().Err(err).Msg("row cannot be encoded")
			continue
		}
		items = append(items, state.Item{
			Key:     tableRowPrefix + entry.Key().String(),
			Version: state.Version{Major: uint64(entry.Revision)},
			Deleted: entry.Deleted,
			Value:   value,
		})
	}
	head, err := state.Encode(held.Revision)
	if err != nil {
		c.log.Error().Err(err).Msg("revision cannot be encoded")
		return
	}
	items = append(items, state.Item{Key: tableHeadKey, Version: state.Version{Major: uint64(held.Revision)}, Value: head})
	c.replica.Publish(items...)
}

// Edit makes an edit and returns the table that holds it. Errors wrap
// *table.ConflictError, table.Findings, table.ErrBaseAhead, ErrUndecided or
// provider.ErrUnavailable; with all but ErrUndecided nothing was changed.
func (c *TableStore) Edit(ctx context.Context, edit table.Edit) (*table.Table, error) {
	for range maxEditAttempts {
		held, revision, err := c.load(ctx)
		if err != nil {
			return nil, err
		}
		next, err := held.Apply(edit, c.clock.Now())
		if err != nil {
			return nil, err
		}
		if next == held {
			c.publish(held)
			return held, nil
		}
		if err := c.checkPublished(ctx, edit, next); err != nil {
			return nil, err
		}
		swapped, err := c.compareAndSwap(ctx, next, revision)
		if errors.Is(err, provider.ErrUncertain) {
			return c.confirmEdit(ctx, edit.ID, err)
		}
		if err != nil {
			return nil, err
		}
		if swapped {
			c.publish(next)
			c.log.Info().Str("edit", string(edit.ID)).Str("author", edit.Author).
				Uint64("revision", uint64(next.Revision)).Msg("edit accepted")
			return next, nil
		}
	}
	return nil, fmt.Errorf("other edits kept coming first: %w", provider.ErrUnavailable)
}

func (c *TableStore) compareAndSwap(ctx context.Context, next *table.Table, revision provider.Revision) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "encoding the table")
	}
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	c.metrics.keyValueCalls.WithLabelValues("swap").Inc()
	_, swapped, err := c.kv.CompareAndSwap(callCtx, TableKey, value, revision, 0)
	return swapped, err
}

// confirmEdit looks for an edit whose answer was lost. An edit that is not found may
// still be under way, so it is never reported as refused.
func (c *TableStore) confirmEdit(ctx context.Context, id table.EditID, cause error) (*table.Table, error) {
	for range confirmAttempts {
		held, _, err := c.load(ctx)
		if err == nil {
			if _, done := held.Find(id); done {
				c.publish(held)
				return held, nil
			}
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(confirmInterval):
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrUndecided, cause)
}

// Find reads an edit's record back.
func (c *TableStore) Find(ctx context.Context, id table.EditID) (table.EditRecord, bool, error) {
	held, _, err := c.load(ctx)
	if err != nil {
		return table.EditRecord{}, false, err
	}
	record, done := held.Find(id)
	return record, done, nil
}

// History returns the records that are kept, oldest first.
func (c *TableStore) History(ctx context.Context) ([]table.EditRecord, error) {
	held, _, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	return held.History, nil
}

// checkPublished refuses an edit that names a version which nobody published.
// Rows whose version the edit leaves alone are not looked at.
func (c *TableStore) checkPublished(ctx context.Context, edit table.Edit, next *table.Table) error {
	touched := make(map[table.Key]bool)
	for _, change := range edit.Changes {
		if _, ok := change.Set[table.ColumnVersion]; ok {
			touched[change.Key] = true
		}
	}
	var rows []table.Row
	published := make(map[table.Model][]table.ModelVersion)
	for _, row := range next.Rows() {
		if !touched[row.Key()] {
			continue
		}
		rows = append(rows, row)
		versions, err := c.Versions(ctx, row.Model)
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

// Versions lists the published versions of a model, from the first source that
// answers. Errors wrap provider.ErrNotPublished or provider.ErrUnavailable.
func (c *TableStore) Versions(ctx context.Context, model table.Model) ([]table.ModelVersion, error) {
	return trySources(c.sources, func(source provider.WeightSource) ([]table.ModelVersion, error) {
		callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		return source.Versions(callCtx, model)
	})
}

// trySources asks each source in turn. If none has the answer, the error of one
// that may have it goes before that of one that surely has not.
func trySources[T any](sources []provider.WeightSource, ask func(provider.WeightSource) (T, error)) (T, error) {
	var zero T
	problem := provider.ErrNotPublished
	for _, source := range sources {
		answer, err := ask(source)
		if err == nil {
			return answer, nil
		}
		if !errors.Is(err, provider.ErrNotPublished) {
			problem = err
		}
	}
	return zero, problem
}

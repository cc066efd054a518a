package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// maxTableReadDelay is in which time a relay has to read an edit: half of the eight seconds in
// which it has to be in force in all regions.
const maxTableReadDelay = 4 * time.Second

// hangingKeyValue holds a table and swallows the calls that come while it is silent.
type hangingKeyValue struct {
	mu       sync.Mutex
	silent   bool
	revision table.Revision
}

// set begins or ends the silence, and makes the table another one.
func (kv *hangingKeyValue) set(silent bool, revision table.Revision) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.silent, kv.revision = silent, revision
}

func (kv *hangingKeyValue) client() provider.KeyValue {
	return provider.KeyValue{
		Get: func(ctx context.Context, _ string) (provider.KeyValueEntry, error) {
			kv.mu.Lock()
			silent, revision := kv.silent, kv.revision
			kv.mu.Unlock()
			if silent {
				<-ctx.Done()
				return provider.KeyValueEntry{}, provider.ErrUnavailable
			}
			value, err := json.Marshal(&table.Table{Revision: revision})
			return provider.KeyValueEntry{Value: value, Revision: provider.Revision(revision)}, err
		},
		// What waits for a change hears nothing: its connection has gone silent.
		Watch: func(ctx context.Context, _ string, _ provider.Revision) error {
			<-ctx.Done()
			return ctx.Err()
		},
	}
}

// A read that the key-value service had swallowed just before it came back, and the wait
// after it, hid for up to ten seconds that it was back.
func TestEditIsReadSoonAfterKeyValueOutage(t *testing.T) {
	const shortest, longest, step = time.Second, 21 * time.Second, 250 * time.Millisecond
	for silent := shortest; silent <= longest; silent += step {
		synctest.Test(t, func(t *testing.T) {
			kv, clock, store := new(hangingKeyValue), clockwork.NewRealClock(), state.NewStore(1)
			kv.set(false, 1)
			replica := NewReplica(store, NewPeerPool(), clock, nopLogger(), noLinks)
			c := NewTableStore(kv.client(), nil, replica, clock, nopLogger(), NewMetrics(), always)
			defer func() {
				require.NoError(t, c.Stop(context.Background()))
				require.NoError(t, replica.Stop(context.Background()))
			}()
			synctest.Wait()
			kv.set(true, 1)
			time.Sleep(silent)
			kv.set(false, 2)
			began := time.Now()
			for {
				changed := store.Changed()
				if item, ok := store.Get(tableHeadKey); ok && item.Version.Major >= 2 {
					break
				}
				<-changed
			}
			assert.LessOrEqual(t, time.Since(began), maxTableReadDelay, "silent for %s", silent)
		})
	}
}

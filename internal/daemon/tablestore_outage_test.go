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

// maxTableReadDelay is the time within which a relay must read an edit: half of the
// 8 seconds within which the edit must be in force in all regions.
const maxTableReadDelay = 4 * time.Second

// hangingKeyValue holds a table. Calls that arrive while it is silent hang until their context ends.
type hangingKeyValue struct {
	mu       sync.Mutex
	hanging  bool
	revision table.Revision
}

// set sets whether calls hang, and the revision of the table.
func (kv *hangingKeyValue) set(hanging bool, revision table.Revision) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.hanging, kv.revision = hanging, revision
}

func (kv *hangingKeyValue) client() provider.KeyValue {
	return provider.KeyValue{
		Get: func(ctx context.Context, _ string) (provider.KeyValueEntry, error) {
			kv.mu.Lock()
			hanging, revision := kv.hanging, kv.revision
			kv.mu.Unlock()
			if hanging {
				<-ctx.Done()
				return provider.KeyValueEntry{}, provider.ErrUnavailable
			}
			value, err := json.Marshal(&table.Table{Revision: revision})
			return provider.KeyValueEntry{Value: value, Revision: provider.Revision(revision)}, err
		},
		// A watch never reports a change, as on a dead connection.
		Watch: func(ctx context.Context, _ string, _ provider.Revision) error {
			<-ctx.Done()
			return ctx.Err()
		},
	}
}

// Guards against a late read after an outage: a read that started just before the key-value service
// recovered kept hanging, and together with the delay after it postponed the next read
// by up to 10 seconds.
func TestEditIsReadSoonAfterKeyValueOutage(t *testing.T) {
	const shortest, longest, step = time.Second, 21 * time.Second, 250 * time.Millisecond
	for outage := shortest; outage <= longest; outage += step {
		synctest.Test(t, func(t *testing.T) {
			kv, clock, store := new(hangingKeyValue), clockwork.NewRealClock(), state.NewStore(1)
			kv.set(false, 1)
			replica := NewReplica(store, NewPeerPool(), clock, nopLogger(), noLinks)
			s := NewTableStore(kv.client(), nil, replica, clock, nopLogger(), NewMetrics(), always)
			defer func() {
				require.NoError(t, s.Stop(context.Background()))
				require.NoError(t, replica.Stop(context.Background()))
			}()
			synctest.Wait()
			kv.set(true, 1)
			time.Sleep(outage)
			kv.set(false, 2)
			recovered := time.Now()
			for {
				changed := store.Changed()
				if item, ok := store.Get(tableHeadKey); ok && item.Version.Major >= 2 {
					break
				}
				<-changed
			}
			assert.LessOrEqual(t, time.Since(recovered), maxTableReadDelay, "outage of %s", outage)
		})
	}
}

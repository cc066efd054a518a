// Package standin implements simple stand-ins for the services of the platform, for the --dev mode and for tests: a
// key-value service, a weight store or origin, a box list, a model engine and a plain service.
//
// Each stand-in is an http.Handler that implements the protocol of a client in the provider package. A function passed
// to its SetFault method can inject a fault into each call: a delay, an error status, or a call that takes effect but
// whose response is lost.
//
// # Usage
//
//	kv := standin.NewKeyValue(clockwork.NewRealClock())
//	server := httptest.NewServer(kv)
//	kv.SetFault(func(path string) standin.Fault { return standin.Fault{Status: 503} })
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Fault is a fault injected into one call. The zero value is no fault.
type Fault struct {
	// Status is the status code of the response, if not 0. The call is not executed then.
	Status int
	// Delay is the time to wait before the call is executed or rejected with Status.
	Delay time.Duration
	// DropResponse executes the call, then aborts the connection without sending the response.
	DropResponse bool
}

// faults is embedded in each stand-in to inject faults into its calls.
type faults struct {
	mu    sync.Mutex
	fault func(path string) Fault
}

// SetFault sets the function that returns the fault for each call, by the path of its URL. With nil no faults are
// injected.
func (f *faults) SetFault(fault func(path string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *faults) next(path string) Fault {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	if fault == nil {
		return Fault{}
	}
	return fault(path)
}

// withFaults returns a handler that injects the current fault into each call to next.
func (f *faults) withFaults(clock clockwork.Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := f.next(r.URL.Path)
		if fault.Delay > 0 {
			select {
			case <-clock.After(fault.Delay):
			case <-r.Context().Done():
				return
			}
		}
		if fault.Status != 0 {
			http.Error(w, "fault", fault.Status)
			return
		}
		if fault.DropResponse {
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header            { return d.header }
func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d discardWriter) WriteHeader(int)                {}
func writeJSON(w http.ResponseWriter, response any)    { _ = json.NewEncoder(w).Encode(response) }

type pair struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	lease          int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// KeyValue is a stand-in for the key-value service. It implements the subset of the etcd v3 JSON API that this project
// uses.
type KeyValue struct {
	faults
	clock   clockwork.Clock
	handler http.Handler

	mu       sync.Mutex
	revision int64
	pairs    map[string]pair
	leases   map[int64]lease
	changed  chan struct{}
	calls    map[string]int
}

// valueLimit is the platform's documented maximum size of a value in bytes.
const valueLimit = 1 << 20

// NewKeyValue returns an empty key-value service.
func NewKeyValue(clock clockwork.Clock) *KeyValue {
	kv := &KeyValue{
		clock: clock, revision: 1,
		pairs: make(map[string]pair), leases: make(map[int64]lease),
		changed: make(chan struct{}), calls: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", kv.serveRange)
	mux.HandleFunc("POST /v3/kv/txn", kv.serveTxn)
	mux.HandleFunc("POST /v3/lease/grant", kv.serveGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", kv.serveKeepAlive)
	mux.HandleFunc("POST /v3/lease/revoke", kv.serveRevoke)
	mux.HandleFunc("POST /v3/watch", kv.serveWatch)
	kv.handler = kv.withFaults(clock, mux)
	return kv
}

// ServeHTTP implements http.Handler.
func (kv *KeyValue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kv.mu.Lock()
	kv.calls[r.URL.Path]++
	kv.mu.Unlock()
	kv.handler.ServeHTTP(w, r)
}

// KeyValueBackup is the state of a key-value service at one time, without its leases and their keys.
type KeyValueBackup struct {
	revision int64
	pairs    map[string]pair
}

// Backup returns a copy of the current state.
func (kv *KeyValue) Backup() KeyValueBackup {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire()
	backup := KeyValueBackup{revision: kv.revision, pairs: maps.Clone(kv.pairs)}
	maps.DeleteFunc(backup.pairs, func(_ string, entry pair) bool { return entry.lease != 0 })
	return backup
}

// Restore replaces the state by that of a backup, as after a loss of the service's disks. All leases are lost, and the
// revisions after that of the backup are assigned again.
func (kv *KeyValue) Restore(backup KeyValueBackup) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.revision, kv.pairs = backup.revision, maps.Clone(backup.pairs)
	clear(kv.leases)
	kv.notify()
}

// Calls returns the number of calls of each path.
func (kv *KeyValue) Calls() map[string]int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	calls := make(map[string]int, len(kv.calls))
	for path, count := range kv.calls {
		calls[path] = count
	}
	return calls
}

func decode(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*valueLimit)).Decode(message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// expire removes expired leases and their keys. The caller holds kv.mu.
func (kv *KeyValue) expire() {
	now := kv.clock.Now()
	for id, granted := range kv.leases {
		if now.After(granted.expires) {
			kv.removeLease(id)
		}
	}
}

func (kv *KeyValue) removeLease(id int64) {
	delete(kv.leases, id)
	for key, entry := range kv.pairs {
		if entry.lease == id {
			kv.revision++
			delete(kv.pairs, key)
			kv.notify()
		}
	}
}

func (kv *KeyValue) notify() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

func (kv *KeyValue) serveRange(w http.ResponseWriter, r *http.Request) {
	var message struct {
		Key []byte `json:"key"`
	}
	if !decode(w, r, &message) {
		return
	}
	kv.mu.Lock()
	kv.expire()
	entry, ok := kv.pairs[string(message.Key)]
	kv.mu.Unlock()
	response := struct {
		Pairs []pair `json:"kvs"`
	}{}
	if ok {
		response.Pairs = append(response.Pairs, entry)
	}
	writeJSON(w, response)
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
	} `json:"success"`
}

type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

func (kv *KeyValue) serveTxn(w http.ResponseWriter, r *http.Request) {
	var message txnRequest
	if !decode(w, r, &message) {
		return
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire()
	for _, operation := range message.Success {
		put := operation.Put
		if _, exists := kv.leases[put.Lease]; put.Lease != 0 && !exists || len(put.Value) > valueLimit {
			http.Error(w, "lease not found or value too large", http.StatusBadRequest)
			return
		}
	}
	response := struct {
		Header    responseHeader `json:"header"`
		Succeeded bool           `json:"succeeded"`
	}{Succeeded: kv.matches(message)}
	if response.Succeeded {
		kv.put(message)
	}
	response.Header.Revision = kv.revision
	writeJSON(w, response)
}

func (kv *KeyValue) matches(message txnRequest) bool {
	for _, compare := range message.Compare {
		if kv.pairs[string(compare.Key)].ModRevision != compare.ModRevision {
			return false
		}
	}
	return true
}

func (kv *KeyValue) put(message txnRequest) {
	kv.revision++
	for _, operation := range message.Success {
		put := operation.Put
		entry, ok := kv.pairs[string(put.Key)]
		if !ok {
			entry = pair{Key: bytes.Clone(put.Key), CreateRevision: kv.revision}
		}
		entry.Value = put.Value
		entry.ModRevision = kv.revision
		entry.lease = put.Lease
		kv.pairs[string(put.Key)] = entry
	}
	kv.notify()
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (kv *KeyValue) serveGrant(w http.ResponseWriter, r *http.Request) {
	var message leaseMessage
	if !decode(w, r, &message) {
		return
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.revision++
	ttl := time.Duration(message.TTL) * time.Second
	kv.leases[kv.revision] = lease{ttl: ttl, expires: kv.clock.Now().Add(ttl)}
	writeJSON(w, leaseMessage{ID: kv.revision, TTL: message.TTL})
}

func (kv *KeyValue) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var message leaseMessage
	if !decode(w, r, &message) {
		return
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire()
	response := struct {
		Result leaseMessage `json:"result"`
	}{Result: leaseMessage{ID: message.ID}}
	if granted, exists := kv.leases[message.ID]; exists {
		granted.expires = kv.clock.Now().Add(granted.ttl)
		kv.leases[message.ID] = granted
		response.Result.TTL = int64(granted.ttl / time.Second)
	}
	writeJSON(w, response)
}

func (kv *KeyValue) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var message leaseMessage
	if !decode(w, r, &message) {
		return
	}
	kv.mu.Lock()
	kv.removeLease(message.ID)
	kv.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (kv *KeyValue) serveWatch(w http.ResponseWriter, r *http.Request) {
	var message struct {
		Create struct {
			Key           []byte `json:"key"`
			StartRevision int64  `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if !decode(w, r, &message) {
		return
	}
	writeJSON(w, map[string]any{"result": map[string]any{"created": true}})
	_ = http.NewResponseController(w).Flush()
	entry, ok := kv.waitForChange(r.Context(), string(message.Create.Key), message.Create.StartRevision)
	if !ok {
		return
	}
	event := map[string]any{"type": "PUT", "kv": entry}
	writeJSON(w, map[string]any{"result": map[string]any{"events": []any{event}}})
}

// leasePollInterval is the interval at which a watch checks for expired leases.
const leasePollInterval = 200 * time.Millisecond

func (kv *KeyValue) waitForChange(ctx context.Context, key string, start int64) (pair, bool) {
	kv.mu.Lock()
	_, existed := kv.pairs[key]
	kv.mu.Unlock()
	for {
		kv.mu.Lock()
		kv.expire()
		entry, ok := kv.pairs[key]
		changed := kv.changed
		kv.mu.Unlock()
		if ok && entry.ModRevision >= start || existed && !ok {
			return entry, true
		}
		select {
		case <-changed:
		case <-kv.clock.After(leasePollInterval):
		case <-ctx.Done():
			return pair{}, false
		}
	}
}

// Package provider defines the interfaces to the services of the platform: the key-value service, the weight store and
// origin, the box list and the model engines.
//
// Each interface is a struct of function fields, so that a test can replace a single call. The constructors return
// implementations for these protocols:
//
//   - key-value service: the JSON form of the etcd v3 API (range, txn, lease, watch)
//   - weight store and origin: the OCI distribution API (tags, manifests, blobs with ranges)
//   - box list: the HTTP service discovery format of Prometheus
//   - model engines: the orders described at Engine, beside the engine's own HTTP API for callers
//
// # Usage
//
//	kv := provider.NewKeyValue("http://127.0.0.1:2379", http.DefaultClient)
//	entry, err := kv.Get(ctx, "cinderslip/table")
//	revision, swapped, err := kv.CompareAndSwap(ctx, "cinderslip/table", value, entry.Revision, 0)
package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Revision is the revision that the key-value service assigns to a key. It is 0 if the key is absent.
type Revision int64

// LeaseID identifies a lease; 0 stands for no lease.
type LeaseID int64

// ErrUnavailable reports a service that could not be reached or did not return a valid response. A CompareAndSwap that
// may still have taken effect also wraps ErrUncertain.
var ErrUnavailable = errors.New("platform service is unavailable")

// ErrUncertain reports a write with an unknown result: it may or may not have taken effect.
var ErrUncertain = errors.New("write may have taken effect")

// ErrLeaseLost reports a lease that no longer exists.
var ErrLeaseLost = errors.New("lease no longer exists")

// KeyValueEntry is the value of one key. Revision is that of the last write, CreateRevision that of the key's creation;
// both are 0 if the key is absent.
type KeyValueEntry struct {
	Value          []byte
	Revision       Revision
	CreateRevision Revision
}

// KeyValue is the platform's key-value service.
type KeyValue struct {
	// Get reads a key. Errors wrap ErrUnavailable.
	Get func(ctx context.Context, key string) (KeyValueEntry, error)
	// CompareAndSwap writes a key if its current revision equals expected, and attaches the key to the lease
	// unless lease is 0. It returns the new revision and whether the key was written. Errors wrap ErrUncertain.
	CompareAndSwap func(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, bool, error)
	// Grant creates a lease. The service expires it after ttl unless it is renewed. Errors wrap ErrUnavailable.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. Errors wrap ErrLeaseLost or ErrUnavailable.
	KeepAlive func(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys. Errors wrap ErrUnavailable.
	Revoke func(ctx context.Context, lease LeaseID) error
	// Watch blocks until the key has changed after a revision or the service cancels the watch. Errors wrap
	// ErrUnavailable.
	Watch func(ctx context.Context, key string, after Revision) error
}

// NewKeyValue returns a KeyValue that calls the etcd v3 JSON API at base.
func NewKeyValue(base string, client *http.Client) KeyValue {
	kv := &etcdClient{base: base, client: client}
	return KeyValue{
		Get: kv.get, CompareAndSwap: kv.compareAndSwap, Grant: kv.grant,
		KeepAlive: kv.keepAlive, Revoke: kv.revoke, Watch: kv.watch,
	}
}

// keyValueLimit is the maximum size of the response to a call, or to a watch until its first event, in bytes. The JSON decoder
// reports a longer one as incomplete.
const keyValueLimit = 16 << 20

type etcdClient struct {
	base   string
	client *http.Client
}

// Messages of the etcd v3 JSON API, which encodes 64-bit integers as strings and bytes as base64.
type (
	etcdPair struct {
		Key            []byte `json:"key"`
		Value          []byte `json:"value"`
		CreateRevision int64  `json:"create_revision,string"`
		ModRevision    int64  `json:"mod_revision,string"`
	}
	etcdHeader struct {
		Revision int64 `json:"revision,string"`
	}
	etcdRange struct {
		Key []byte `json:"key"`
	}
	etcdRangeResponse struct {
		Pairs []etcdPair `json:"kvs"`
	}
	etcdCompare struct {
		Result      string `json:"result"`
		Target      string `json:"target"`
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	}
	etcdPut struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	}
	etcdOperation struct {
		Put *etcdPut `json:"request_put,omitempty"`
	}
	etcdTxn struct {
		Compare []etcdCompare   `json:"compare"`
		Success []etcdOperation `json:"success"`
	}
	etcdTxnResponse struct {
		Header    etcdHeader `json:"header"`
		Succeeded bool       `json:"succeeded"`
	}
	etcdLease struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}
	etcdKeepAliveResponse struct {
		Result etcdLease `json:"result"`
	}
	etcdWatch struct {
		Create etcdWatchCreate `json:"create_request"`
	}
	etcdWatchCreate struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"start_revision,string"`
	}
	etcdWatchResponse struct {
		Result struct {
			Canceled bool              `json:"canceled"`
			Events   []json.RawMessage `json:"events"`
		} `json:"result"`
	}
)

func (c *etcdClient) open(ctx context.Context, path string, message any) (io.ReadCloser, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", path, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w: %w", path, ErrUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("calling %s: status %s: %w", path, strconv.Itoa(response.StatusCode), ErrUnavailable)
	}
	return response.Body, nil
}

func (c *etcdClient) call(ctx context.Context, path string, message, response any) error {
	body, err := c.open(ctx, path, message)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(io.LimitReader(body, keyValueLimit)).Decode(response); err != nil {
		return fmt.Errorf("reading answer of %s: %w: %w", path, ErrUnavailable, err)
	}
	return nil
}

func (c *etcdClient) get(ctx context.Context, key string) (KeyValueEntry, error) {
	var response etcdRangeResponse
	if err := c.call(ctx, "/v3/kv/range", etcdRange{Key: []byte(key)}, &response); err != nil {
		return KeyValueEntry{}, err
	}
	if len(response.Pairs) == 0 {
		return KeyValueEntry{}, nil
	}
	pair := response.Pairs[0]
	return KeyValueEntry{
		Value: pair.Value, Revision: Revision(pair.ModRevision), CreateRevision: Revision(pair.CreateRevision),
	}, nil
}

func (c *etcdClient) compareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, bool, error) {
	message := etcdTxn{
		Compare: []etcdCompare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: int64(expected)}},
		Success: []etcdOperation{{Put: &etcdPut{Key: []byte(key), Value: value, Lease: int64(lease)}}},
	}
	var response etcdTxnResponse
	if err := c.call(ctx, "/v3/kv/txn", message, &response); err != nil {
		return 0, false, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return Revision(response.Header.Revision), response.Succeeded, nil
}

func (c *etcdClient) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response etcdLease
	err := c.call(ctx, "/v3/lease/grant", etcdLease{TTL: int64(ttl / time.Second)}, &response)
	return LeaseID(response.ID), err
}

func (c *etcdClient) keepAlive(ctx context.Context, lease LeaseID) error {
	var response etcdKeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", etcdLease{ID: int64(lease)}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return ErrLeaseLost
	}
	return nil
}

func (c *etcdClient) revoke(ctx context.Context, lease LeaseID) error {
	var response struct{}
	return c.call(ctx, "/v3/lease/revoke", etcdLease{ID: int64(lease)}, &response)
}

func (c *etcdClient) watch(ctx context.Context, key string, after Revision) error {
	message := etcdWatch{Create: etcdWatchCreate{Key: []byte(key), StartRevision: int64(after) + 1}}
	body, err := c.open(ctx, "/v3/watch", message)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(body, keyValueLimit))
	for {
		var response etcdWatchResponse
		if err := decoder.Decode(&response); err != nil {
			return fmt.Errorf("reading watch stream: %w: %w", ErrUnavailable, err)
		}
		if len(response.Result.Events) > 0 || response.Result.Canceled {
			return nil
		}
	}
}

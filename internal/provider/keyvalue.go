// Package provider holds the seams to what the platform provides: the key-value
// service, the weight store and origin, the box list and the model engines.
//
// Each seam is a struct of function fields, so that a test replaces one call and
// leaves the rest. The constructors fill them for the published protocols:
//
//   - key-value service: the JSON form of the etcd v3 API (range, txn, lease, watch)
//   - weight store and origin: the OCI distribution API (tags, manifests, blobs with ranges)
//   - box list: the HTTP service discovery format of Prometheus
//   - model engines: the orders described at Engine, and whatever HTTP API the
//     engine has for its callers
//
// # Usage
//
//	kv := provider.NewKeyValue("http://127.0.0.1:2379", http.DefaultClient)
//	entry, err := kv.Get(ctx, "cinderslip/table")
//	revision, swapped, err := kv.Swap(ctx, "cinderslip/table", value, entry.Revision, 0)
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

// Revision is the key-value service's own revision of a key; 0 means absent.
type Revision int64

// LeaseID names a lease; 0 means none.
type LeaseID int64

// ErrUnavailable reports a call that was surely without effect.
var ErrUnavailable = errors.New("platform service is unavailable")

// ErrUncertain reports a write that may or may not have taken effect.
var ErrUncertain = errors.New("write may have taken effect")

// ErrLeaseLost reports a lease that no longer exists.
var ErrLeaseLost = errors.New("lease is lost")

// KeyValueEntry is the value of one key. Revision is 0 if the key is absent.
type KeyValueEntry struct {
	Value          []byte
	Revision       Revision
	CreateRevision Revision
}

// KeyValue is the platform's key-value service.
type KeyValue struct {
	// Get reads a key. Errors wrap ErrUnavailable.
	Get func(ctx context.Context, key string) (KeyValueEntry, error)
	// CompareAndSwap writes a key if its revision is still the expected one, with the
	// lease if one is given. Errors wrap ErrUncertain.
	CompareAndSwap func(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, bool, error)
	// Grant opens a lease.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. Errors wrap ErrLeaseLost or ErrUnavailable.
	KeepAlive func(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke func(ctx context.Context, lease LeaseID) error
	// Watch waits for a change of the key after the revision.
	Watch func(ctx context.Context, key string, after Revision) error
}

// NewKeyValue returns the seam for a service that speaks the etcd v3 JSON API.
func NewKeyValue(base string, client *http.Client) KeyValue {
	kv := &etcdClient{base: base, client: client}
	return KeyValue{
		Get: kv.get, CompareAndSwap: kv.compareAndSwap, Grant: kv.grant,
		KeepAlive: kv.keepAlive, Revoke: kv.revoke, Watch: kv.watch,
	}
}

type etcdClient struct {
	base   string
	client *http.Client
}

// The messages of the etcd v3 JSON API. Its 64-bit integers are strings, its
// bytes base64.
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

func (c *etcdClient) call(ctx context.Context, path string, message, answer any) error {
	body, err := c.open(ctx, path, message)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(body).Decode(answer); err != nil {
		return fmt.Errorf("reading answer of %s: %w: %w", path, ErrUnavailable, err)
	}
	return nil
}

func (c *etcdClient) get(ctx context.Context, key string) (KeyValueEntry, error) {
	var answer etcdRangeResponse
	if err := c.call(ctx, "/v3/kv/range", etcdRange{Key: []byte(key)}, &answer); err != nil {
		return KeyValueEntry{}, err
	}
	if len(answer.Pairs) == 0 {
		return KeyValueEntry{}, nil
	}
	pair := answer.Pairs[0]
	return KeyValueEntry{
		Value: pair.Value, Revision: Revision(pair.ModRevision), CreateRevision: Revision(pair.CreateRevision),
	}, nil
}

func (c *etcdClient) compareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, bool, error) {
	message := etcdTxn{
		Compare: []etcdCompare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: int64(expected)}},
		Success: []etcdOperation{{Put: &etcdPut{Key: []byte(key), Value: value, Lease: int64(lease)}}},
	}
	var answer etcdTxnResponse
	if err := c.call(ctx, "/v3/kv/txn", message, &answer); err != nil {
		return 0, false, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return Revision(answer.Header.Revision), answer.Succeeded, nil
}

func (c *etcdClient) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer etcdLease
	err := c.call(ctx, "/v3/lease/grant", etcdLease{TTL: int64(ttl / time.Second)}, &answer)
	return LeaseID(answer.ID), err
}

func (c *etcdClient) keepAlive(ctx context.Context, lease LeaseID) error {
	var answer etcdKeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", etcdLease{ID: int64(lease)}, &answer); err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
		return ErrLeaseLost
	}
	return nil
}

func (c *etcdClient) revoke(ctx context.Context, lease LeaseID) error {
	var answer struct{}
	return c.call(ctx, "/v3/lease/revoke", etcdLease{ID: int64(lease)}, &answer)
}

func (c *etcdClient) watch(ctx context.Context, key string, after Revision) error {
	message := etcdWatch{Create: etcdWatchCreate{Key: []byte(key), StartRevision: int64(after) + 1}}
	body, err := c.open(ctx, "/v3/watch", message)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	decoder := json.NewDecoder(body)
	for {
		var answer etcdWatchResponse
		if err := decoder.Decode(&answer); err != nil {
			return fmt.Errorf("reading watch: %w: %w", ErrUnavailable, err)
		}
		if len(answer.Result.Events) > 0 || answer.Result.Canceled {
			return nil
		}
	}
}

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

	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// ErrFenced reports an order whose fencing token is lower than the highest one that the engine has accepted.
var ErrFenced = errors.New("order is older than the engine's fence")

// ErrRejected reports an order that the engine or model server cannot execute.
var ErrRejected = errors.New("engine rejected the order")

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// FencingToken is the position of an order in the sequence of all orders to an engine: by epoch first, then by
// sequence. An engine rejects an order whose token is lower than the highest one that it has accepted.
type FencingToken struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Order instructs an engine to load a staged version or to unload a loaded one.
type Order struct {
	Kind     OrderKind          `json:"order"`
	Model    table.Model        `json:"model"`
	Version  table.ModelVersion `json:"version"`
	Manifest weights.Digest     `json:"manifest"`
	// Chunks and WholeDigest are the number of chunks that must have been staged before a load and the digest
	// of their concatenated content. Both are zero for an unload.
	Chunks      int            `json:"chunks,omitempty"`
	WholeDigest weights.Digest `json:"whole,omitzero"`
	Fence       FencingToken   `json:"fence"`
}

// LoadedVersion is one version of a model in the memory of an engine.
type LoadedVersion struct {
	Model    table.Model        `json:"model"`
	Version  table.ModelVersion `json:"version"`
	Manifest weights.Digest     `json:"manifest"`
}

// EngineState is the state that an engine reports: its loaded versions and the number of running and waiting
// requests.
type EngineState struct {
	Loaded  []LoadedVersion `json:"loaded"`
	Running int             `json:"running"`
	Waiting int             `json:"waiting"`
}

// HeaderEngineVersion is the request header that selects the loaded version for a request to an engine.
const HeaderEngineVersion = "Engine-Model-Version"

// Engine is the model engine on the box.
type Engine struct {
	// Stage uploads one verified chunk. All chunks of a version must be staged before its load order.
	Stage func(ctx context.Context, manifest weights.Digest, chunk int, data []byte) error
	// Order loads or unloads a version. Errors wrap ErrFenced, ErrRejected or ErrUnavailable.
	Order func(ctx context.Context, order Order) error
	// State reads the engine's state. Errors wrap ErrUnavailable.
	State func(ctx context.Context) (EngineState, error)
}

// NewEngine returns an Engine that calls the HTTP API at base:
// PUT /staging/{manifest}/{chunk}, POST /orders and GET /state.
func NewEngine(base string, client *http.Client) Engine {
	c := &engineClient{base: base, client: client}
	return Engine{Stage: c.stage, Order: c.order, State: c.state}
}

type engineClient struct {
	base   string
	client *http.Client
}

func (c *engineClient) send(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, fmt.Errorf("calling engine %s: %w", path, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("calling engine %s: %w: %w", path, ErrUnavailable, err)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return response, nil
	case http.StatusConflict:
		err = ErrFenced
	default:
		err = ErrRejected
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	_ = response.Body.Close()
	return nil, fmt.Errorf("calling engine %s: status %d, %s: %w", path, response.StatusCode, bytes.TrimSpace(detail), err)
}

func (c *engineClient) stage(ctx context.Context, manifest weights.Digest, chunk int, data []byte) error {
	path := "/staging/" + manifest.String() + "/" + strconv.Itoa(chunk)
	response, err := c.send(ctx, http.MethodPut, path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (c *engineClient) order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encoding order: %w", err)
	}
	response, err := c.send(ctx, http.MethodPost, "/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// engineStateLimit is the maximum size of the state of an engine, in bytes.
const engineStateLimit = 1 << 20

func (c *engineClient) state(ctx context.Context) (EngineState, error) {
	response, err := c.send(ctx, http.MethodGet, "/state", http.NoBody)
	if err != nil {
		return EngineState{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var state EngineState
	if err := json.NewDecoder(io.LimitReader(response.Body, engineStateLimit)).Decode(&state); err != nil {
		return EngineState{}, fmt.Errorf("reading engine state: %w: %w", ErrUnavailable, err)
	}
	return state, nil
}

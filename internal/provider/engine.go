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

// ErrFenced reports an order that is older than one the engine has obeyed.
var ErrFenced = errors.New("order is older than the engine's fence")

// ErrRejected reports an order that the engine cannot carry out.
var ErrRejected = errors.New("engine rejected the order")

// OrderKind is what an order asks for.
type OrderKind string

// The orders that an engine takes.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// FencingToken orders the orders; an engine refuses one that is lower than the highest
// it has seen.
type FencingToken struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Order tells an engine to load a staged version or to unload one.
type Order struct {
	Kind     OrderKind          `json:"order"`
	Model    table.Model        `json:"model"`
	Version  table.ModelVersion `json:"version"`
	Manifest weights.Digest     `json:"manifest"`
	// Chunks and Whole describe what must have been staged for a load.
	Chunks      int            `json:"chunks,omitempty"`
	WholeDigest weights.Digest `json:"whole,omitzero"`
	Fence       FencingToken   `json:"fence"`
}

// LoadedVersion is one version that an engine has in its memory.
type LoadedVersion struct {
	Model    table.Model        `json:"model"`
	Version  table.ModelVersion `json:"version"`
	Manifest weights.Digest     `json:"manifest"`
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Loaded  []LoadedVersion `json:"loaded"`
	Running int             `json:"running"`
	Waiting int             `json:"waiting"`
}

// HeaderEngineVersion tells an engine which loaded version a request is for.
const HeaderEngineVersion = "Engine-Model-Version"

// Engine is the model engine on the box.
type Engine struct {
	// Stage hands over one verified chunk before the load order.
	Stage func(ctx context.Context, manifest weights.Digest, chunk int, data []byte) error
	// Order carries out a load or an unload. Errors wrap ErrFenced, ErrRejected
	// or ErrUnavailable.
	Order func(ctx context.Context, order Order) error
	// State reads what is loaded. Errors wrap ErrUnavailable.
	State func(ctx context.Context) (EngineState, error)
}

// NewEngine returns the seam for an engine that takes its orders over HTTP:
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

func (c *engineClient) state(ctx context.Context) (EngineState, error) {
	response, err := c.send(ctx, http.MethodGet, "/state", http.NoBody)
	if err != nil {
		return EngineState{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var state EngineState
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return EngineState{}, fmt.Errorf("reading engine state: %w: %w", ErrUnavailable, err)
	}
	return state, nil
}

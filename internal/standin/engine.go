package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/blake3"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// Engine is a stand-in for a model engine. It accepts chunks and fenced orders from its agent and responds to
// POST /v1/chat/completions with a stream of tokens as server-sent events.
type Engine struct {
	faults
	handler http.Handler
	clock   clockwork.Clock
	options EngineOptions

	mu      sync.Mutex
	fence   provider.FencingToken
	staging map[string]map[int][]byte
	loaded  map[string]provider.LoadedVersion
	running int
	runs    map[string]int
	orders  []provider.Order
}

// EngineOptions configures an Engine.
type EngineOptions struct {
	// Slots is the number of versions that can be loaded at the same time.
	Slots int
	// LoadTime is the duration of a load.
	LoadTime time.Duration
	// TokenInterval is the delay before each token of a response.
	TokenInterval time.Duration
	// Tokens is the number of tokens of a response if the request does not set max_tokens.
	Tokens int
}

// NewEngine returns an engine with nothing loaded.
func NewEngine(clock clockwork.Clock, options EngineOptions) *Engine {
	e := &Engine{
		clock: clock, options: options,
		staging: make(map[string]map[int][]byte),
		loaded:  make(map[string]provider.LoadedVersion),
		runs:    make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /staging/{manifest}/{chunk}", e.serveStage)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.handler = e.withFaults(clock, mux)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

// Runs returns how often each request ID started to run.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.runs))
	for id, count := range e.runs {
		counts[id] = count
	}
	return counts
}

// Orders returns the orders executed so far.
func (e *Engine) Orders() []provider.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]provider.Order(nil), e.orders...)
}

// Reset removes all loaded versions and staged chunks, as a restart of the engine does. It keeps the highest fencing
// token, so that older orders are still rejected.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.loaded)
	clear(e.staging)
}

func (e *Engine) serveStage(w http.ResponseWriter, r *http.Request) {
	chunk, err := strconv.Atoi(r.PathValue("chunk"))
	if err != nil {
		http.Error(w, "chunk is not a number", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	manifest := r.PathValue("manifest")
	if e.staging[manifest] == nil {
		e.staging[manifest] = make(map[int][]byte)
	}
	e.staging[manifest][chunk] = data
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order provider.Order
	if !decode(w, r, &order) {
		return
	}
	e.mu.Lock()
	fenced := order.Fence.Epoch < e.fence.Epoch ||
		order.Fence.Epoch == e.fence.Epoch && order.Fence.Sequence < e.fence.Sequence
	if !fenced {
		e.fence = order.Fence
	}
	e.mu.Unlock()
	if fenced {
		http.Error(w, "order is older than the fence", http.StatusConflict)
		return
	}
	if err := e.execute(order); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) execute(order provider.Order) error {
	key := string(order.Model) + "/" + string(order.Version)
	if order.Kind == provider.OrderUnload {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.loaded, key)
		delete(e.staging, order.Manifest.String())
		e.orders = append(e.orders, order)
		return nil
	}
	if err := e.checkStaged(order); err != nil {
		return err
	}
	e.clock.Sleep(e.options.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, already := e.loaded[key]; !already && len(e.loaded) >= e.options.Slots {
		return fmt.Errorf("all %d slots are taken", e.options.Slots)
	}
	e.loaded[key] = provider.LoadedVersion{Model: order.Model, Version: order.Version, Manifest: order.Manifest}
	delete(e.staging, order.Manifest.String())
	e.orders = append(e.orders, order)
	return nil
}

// checkStaged returns an error unless all chunks of the order are staged and match its digest, so that no partial or
// mixed version is loaded.
func (e *Engine) checkStaged(order provider.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunks := e.staging[order.Manifest.String()]
	hash := blake3.New()
	for i := range order.Chunks {
		data, ok := chunks[i]
		if !ok {
			return fmt.Errorf("chunk %d of %d was not staged", i, order.Chunks)
		}
		_, _ = hash.Write(data)
	}
	var sum weights.Digest
	hash.Sum(sum[:0])
	if sum != order.WholeDigest {
		return fmt.Errorf("digest of the whole is %s, want %s", sum.Short(), order.WholeDigest.Short())
	}
	return nil
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := provider.EngineState{Running: e.running}
	for _, loaded := range e.loaded {
		state.Loaded = append(state.Loaded, loaded)
	}
	e.mu.Unlock()
	writeJSON(w, state)
}

// CompletionRequest is the subset of a chat completion request that the engine uses.
type CompletionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if !decode(w, r, &request) {
		return
	}
	version := r.Header.Get(provider.HeaderEngineVersion)
	e.mu.Lock()
	loaded, ok := e.loaded[request.Model+"/"+version]
	if ok {
		e.running++
		e.runs[r.Header.Get("Cinderslip-Request-Id")]++
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, fmt.Sprintf("model %s version %s is not loaded", request.Model, version), http.StatusNotFound)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.stream(w, r, request, loaded)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request CompletionRequest, loaded provider.LoadedVersion) {
	tokens := responseTokens(request, loaded, e.options.Tokens)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for _, token := range tokens {
		select {
		case <-e.clock.After(e.options.TokenInterval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", completionChunk(token, loaded)); err != nil {
			return
		}
		_ = controller.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func responseTokens(request CompletionRequest, loaded provider.LoadedVersion, count int) []string {
	if request.MaxTokens > 0 {
		count = request.MaxTokens
	}
	last := ""
	if len(request.Messages) > 0 {
		last = request.Messages[len(request.Messages)-1].Content
	}
	tokens := strings.Fields(fmt.Sprintf("%s %s answers: %s", loaded.Model, loaded.Version, last))
	for len(tokens) < count {
		tokens = append(tokens, "token"+strconv.Itoa(len(tokens)))
	}
	return tokens[:count]
}

func completionChunk(token string, loaded provider.LoadedVersion) []byte {
	type delta struct {
		Content string `json:"content"`
	}
	type choice struct {
		Index int   `json:"index"`
		Delta delta `json:"delta"`
	}
	content, _ := json.Marshal(struct {
		Object      string   `json:"object"`
		Model       string   `json:"model"`
		Fingerprint string   `json:"system_fingerprint"`
		Choices     []choice `json:"choices"`
	}{"chat.completion.chunk", string(loaded.Model), loaded.Manifest.Short(), []choice{{Delta: delta{Content: token + " "}}}})
	return content
}

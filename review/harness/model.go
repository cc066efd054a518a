//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots    = 16
	warmup   = 300 * time.Millisecond
	badGrace = 3 * time.Second // a piece that has gone bad within this time before the order doesn't count
)

// stagedPiece is a piece of weights that lies at a model server.
type stagedPiece struct {
	data []byte
	// badSince is when it turned bad; zero if it has not.
	badSince time.Time
}

// modelServer is a model server as PROTOCOL.md tells it, with all layers on one server.
type modelServer struct {
	d       *deployment
	server  *http.Server
	id      string
	address string

	mu      sync.Mutex
	staged  map[int]stagedPiece
	version uint64
	// loading is set while an order is under way.
	loading bool
	orders  int
	running int
	// faults are what was wrong with the pieces of the layers that the server holds, at the time of the order.
	faults []string
	// cut is closed to cut the running streams.
	cut chan struct{}
	// tokens counts the events that were made with layers that had faults.
	badTokens int
	lastOrder time.Time
	// onRead is called after a piece was read.
	onRead func(n int)
	// events is how many events a stream has, eventInterval the time between two. endsWithConnection is set if answers
	// have neither a length nor chunks.
	events             int
	eventInterval      time.Duration
	endsWithConnection bool
	// state is what the entry in the store says; the entry is removed once gone is closed.
	state        string
	stateChanged chan struct{}
	gone         chan struct{}
}

func newModelServer(d *deployment, id string) *modelServer {
	m := &modelServer{
		d: d, id: id, version: 1, staged: make(map[int]stagedPiece), cut: make(chan struct{}),
		events: eventCount, eventInterval: eventInterval, state: "ready", stateChanged: make(chan struct{}), gone: make(chan struct{}),
	}
	for n := range chunkCount {
		m.staged[n] = stagedPiece{data: d.origin.Chunk(1, n)}
	}
	return m
}

// writeEntries keeps the server's entry in the store.
func (m *modelServer) writeEntries() {
	for seq := 1; ; seq++ {
		m.mu.Lock()
		entry := map[string]any{
			"Service": modelService, "Address": m.address, "Zone": "kita-a", "Version": "v1", "Slots": slots, "State": m.state, "ColdRemainingMs": 0,
			"Stage": "both", "Models": m.models(), "layers": m.layers(), "Seq": seq,
		}
		m.mu.Unlock()
		m.d.put("servers/"+m.id, entry)
		select {
		case <-m.d.done:
			return
		case <-m.gone:
			m.d.store.Remove("servers/" + m.id)
			return
		case <-m.stateChanged:
		case <-time.After(heartbeat):
		}
	}
}

func (m *modelServer) models() []any {
	if m.version == 0 {
		return []any{}
	}
	return []any{map[string]any{"Name": modelName, "Version": m.version, "Adapters": []string{}}}
}

func (m *modelServer) layers() any {
	if m.version == 0 {
		return nil
	}
	return map[string]any{"Source": 0, "TargetVersion": layerCount, "Version": m.version}
}

// ServeHTTP implements http.Handler.
func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/cinderslip/report":
		m.mu.Lock()
		report := map[string]any{
			"Stage": "both", "Models": m.models(), "layers": m.layers(), "Busy": m.loading, "Seq": m.orders, "Queued": 0, "Running": m.running,
			"KvUsed": 0, "KvTotal": 685000 * layerCount, "Handles": 0, "pace": 1.0,
		}
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	case r.URL.Path == "/cinderslip/order":
		m.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/cinderslip/stage-put/"):
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		m.mu.Lock()
		m.staged[n] = stagedPiece{data: data}
		m.mu.Unlock()
	case strings.HasPrefix(r.URL.Path, "/cinderslip/stage-get/"):
		m.serveStaged(w, r)
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", m.id)
	default:
		m.serveRequest(w, r)
	}
}

func (m *modelServer) serveStaged(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("n"))
	m.mu.Lock()
	piece, ok := m.staged[n]
	onRead := m.onRead
	m.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(piece.data)))
	_, _ = w.Write(piece.data)
	_ = http.NewResponseController(w).Flush()
	if onRead != nil {
		onRead(n)
	}
}

// rot turns a staged piece bad.
func (m *modelServer) rot(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data := append([]byte(nil), m.staged[n].data...)
	data[len(data)/2] ^= 1
	m.staged[n] = stagedPiece{data, time.Now()}
	m.d.record.printf("%s: piece %d turns bad", m.id, n)
}

// serveOrder begins to take the layers from the pieces that lie there now.
func (m *modelServer) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op      string `json:"op"`
		Model   string
		Version uint64
		How     string `json:"how"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "start" || order.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loading {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if m.version == order.Version {
		return // 200: it holds it already
	}
	m.orders++
	m.loading, m.version, m.lastOrder = true, 0, time.Now()
	m.faults = m.checkPieces(order.Version)
	m.d.record.printf("%s: takes the order to start version %d (%s); pieces with faults that count: %d of %d %.200v", m.id, order.Version, order.How, len(m.faults), chunkCount, m.faults)
	if order.How == "cut" {
		close(m.cut)
		m.cut = make(chan struct{})
	}
	go m.load(order.Version)
	w.WriteHeader(http.StatusAccepted)
}

// checkPieces returns what is wrong with the staged pieces of a version, without what turned bad within badGrace.
func (m *modelServer) checkPieces(version uint64) (faults []string) {
	for n := range chunkCount {
		piece, ok := m.staged[n]
		sum := sha256.Sum256(piece.data)
		switch {
		case !ok:
			faults = append(faults, fmt.Sprintf("piece %d is absent", n))
		case hex.EncodeToString(sum[:]) == m.d.origin.Digest(version, n):
		case piece.badSince.IsZero():
			faults = append(faults, fmt.Sprintf("piece %d is of a different version", n))
		case time.Since(piece.badSince) > badGrace:
			faults = append(faults, fmt.Sprintf("piece %d has been bad for %.2f s", n, time.Since(piece.badSince).Seconds()))
		}
	}
	return faults
}

func (m *modelServer) load(version uint64) {
	for {
		m.mu.Lock()
		idle := m.running == 0
		m.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmup)
	m.mu.Lock()
	m.version, m.loading = version, false
	m.mu.Unlock()
	m.d.record.printf("%s: holds version %d", m.id, version)
}

// serveRequest runs a request and answers with a stream of events.
func (m *modelServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	m.mu.Lock()
	expected := r.Header.Get("Expect-Version")
	switch {
	case r.Header.Get("X-Expect-Instance") != m.id, expected != "" && m.version > 0 && expected != strconv.FormatUint(m.version, 10):
		m.mu.Unlock()
		w.Header().Set("X-Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case m.version == 0, m.running >= slots:
		m.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.running++
	version, faults, cut := m.version, len(m.faults), m.cut
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}()
	if m.endsWithConnection {
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Seal", "seal."+m.id+"."+id)
	w.Header().Set("Versions", strconv.FormatUint(version, 10))
	m.stream(w, r, version, faults, cut)
}

// eventCount and eventInterval are those of a stream: 6 tokens an event, at 7.4 ms a token.
const (
	eventCount    = 12
	eventInterval = 45 * time.Millisecond
)

func (m *modelServer) stream(w http.ResponseWriter, r *http.Request, version uint64, faults int, cut chan struct{}) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w)
	for event := first + 1; event <= m.events; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-time.After(m.eventInterval):
		}
		if faults > 0 {
			m.mu.Lock()
			m.badTokens++
			isFirst := m.badTokens == 1
			m.mu.Unlock()
			if isFirst {
				m.d.record.printf("%s: makes the first tokens with layers of version %d whose pieces had faults, for request %s", m.id, version, r.Header.Get("X-Request-Id"))
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: tokens of version %d\n\n", event, version); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// bad returns how many events were made with layers whose pieces had faults.
func (m *modelServer) bad() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.badTokens
}

package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/jonboulle/clockwork"
)

// PlainService is a stand-in for a plain service. Its response echoes the method, URI and body of the request.
type PlainService struct {
	faults
	handler http.Handler

	mu   sync.Mutex
	runs map[string]int
}

// NewPlainService returns a PlainService that has not run any requests.
func NewPlainService(clock clockwork.Clock) *PlainService {
	p := &PlainService{runs: make(map[string]int)}
	p.handler = p.withFaults(clock, http.HandlerFunc(p.serve))
	return p
}

// ServeHTTP implements http.Handler.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.handler.ServeHTTP(w, r) }

// Runs returns how often each request ID started to run.
func (p *PlainService) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int, len(p.runs))
	for id, count := range p.runs {
		counts[id] = count
	}
	return counts
}

func (p *PlainService) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.runs[r.Header.Get("Cinderslip-Request-Id")]++
	p.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = io.Copy(w, r.Body)
}

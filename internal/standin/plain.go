package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/jonboulle/clockwork"
)

// Plain is a stand-in of a plain service. It answers with what it was sent and
// counts how often each request id ran.
type Plain struct {
	faults
	handler http.Handler

	mu  sync.Mutex
	ran map[string]int
}

// NewPlain returns a plain service.
func NewPlain(clock clockwork.Clock) *Plain {
	p := &Plain{ran: make(map[string]int)}
	p.handler = p.wrap(clock, http.HandlerFunc(p.serve))
	return p
}

// ServeHTTP answers one call.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.handler.ServeHTTP(w, r) }

// Ran returns how often each request id ran.
func (p *Plain) Ran() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	ran := make(map[string]int, len(p.ran))
	for id, count := range p.ran {
		ran[id] = count
	}
	return ran
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.ran[r.Header.Get("Cinderslip-Request-Id")]++
	p.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = io.Copy(w, r.Body)
}

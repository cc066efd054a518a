//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// origin is the origin of weights. It can spoil one byte of manifests.
type origin struct {
	*standin.Origin
	address string
	record  *record

	mu sync.Mutex
	// spoilManifests is how many of the next manifests are sent with one byte changed. answers counts all answers.
	spoilManifests, spoilt, answers int
	// spoil changes one bit of a manifest.
	spoil func(manifest []byte) []byte
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	o.Origin.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	isManifest := strings.HasPrefix(r.URL.Path, "/cinderslip/manifest/") && recorder.Code == http.StatusOK
	if isManifest {
		body = withModel(body)
	}
	o.mu.Lock()
	o.answers++
	isSpoilt := isManifest && o.spoilManifests > 0
	if isSpoilt {
		o.spoilManifests--
		o.spoilt++
	}
	o.mu.Unlock()
	if isSpoilt {
		body = o.spoil(body)
	}
	if isManifest {
		o.record.printf("origin: manifest of version %s sent, %d bytes, spoilt %v: %.90s...", r.URL.Query().Get("Version"), len(body), isSpoilt, body)
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(body)
}

// withModel returns a manifest in the form of the pages' example, which names the model.
func withModel(content []byte) []byte {
	var m struct {
		Model      string
		Version    uint64
		ChunkBytes int      `json:"chunk_bytes"`
		Layers     int      `json:"layers"`
		Digests    []string `json:"digests"`
	}
	if err := json.Unmarshal(content, &m); err != nil {
		panic(err)
	}
	m.Model, m.Layers = modelName, layerCount
	named, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return named
}

// spoilFieldName changes one bit in the name of a field: "digests" arrives as "eigests".
func spoilFieldName(manifest []byte) []byte {
	return bytes.Replace(manifest, []byte(`"digests"`), []byte(`"eigests"`), 1)
}

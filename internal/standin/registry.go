package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// Registry is a stand-in for a weight store or an origin. It implements the subset of the OCI distribution API that
// this project uses and limits the rate of the blobs that it sends.
type Registry struct {
	faults
	handler http.Handler
	limiter *rate.Limiter

	mu        sync.Mutex
	repos     map[string]*repository
	bytesSent int64
}

type repository struct {
	tags  map[string][]byte
	blobs map[string]blob
}

// blob holds its content in data, unless path names a file with the content.
type blob struct {
	data []byte
	path string
}

// NewRegistry returns an empty registry that sends blobs at no more than bytesPerSecond.
func NewRegistry(clock clockwork.Clock, bytesPerSecond int) *Registry {
	r := &Registry{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), max(bytesPerSecond/8, 1)),
		repos:   make(map[string]*repository),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/{name}/tags/list", r.serveTags)
	mux.HandleFunc("GET /v2/{name}/manifests/{reference}", r.serveManifest)
	mux.HandleFunc("GET /v2/{name}/blobs/{digest}", r.serveBlob)
	r.handler = r.withFaults(clock, mux)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.handler.ServeHTTP(w, request)
}

// BytesSent returns the number of bytes of blobs sent so far.
func (r *Registry) BytesSent() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytesSent
}

// NamedFile is a file to publish. Its content is Content, or that of the file at Path if Path is set.
type NamedFile struct {
	Name    string
	Content []byte
	Path    string
}

func (f NamedFile) open() (io.ReadCloser, error) {
	if f.Path != "" {
		return os.Open(f.Path)
	}
	return io.NopCloser(bytes.NewReader(f.Content)), nil
}

// Publish adds a version of a model, divided into chunks of chunkSize bytes, and returns its manifest.
func (r *Registry) Publish(model, version string, files []NamedFile, chunkSize int64) (*weights.Manifest, error) {
	blobs := make(map[string]blob)
	sources := make([]weights.Source, 0, len(files))
	layers := make([]provider.OCIDescriptor, 0, len(files))
	for _, file := range files {
		digest, size, err := blobDigest(file)
		if err != nil {
			return nil, fmt.Errorf("publishing %s: %w", file.Name, err)
		}
		blobs[digest] = blob{data: file.Content, path: file.Path}
		sources = append(sources, weights.Source{Path: file.Name, Blob: digest, Open: file.open})
		layers = append(layers, provider.OCIDescriptor{MediaType: "application/octet-stream", Digest: digest, Size: size})
	}
	manifest, content, err := weights.Build(model, version, sources, chunkSize)
	if err != nil {
		return nil, fmt.Errorf("publishing %s %s: %w", model, version, err)
	}
	sum := sha256.Sum256(content)
	config := "sha256:" + hex.EncodeToString(sum[:])
	blobs[config] = blob{data: content}
	return manifest, r.add(model, version, layers, provider.OCIDescriptor{
		MediaType: provider.MediaTypeChunks, Digest: config, Size: int64(len(content)),
	}, blobs)
}

func (r *Registry) add(model, version string, layers []provider.OCIDescriptor, config provider.OCIDescriptor, blobs map[string]blob) error {
	tag, err := json.Marshal(provider.OCIManifest{
		SchemaVersion: 2, MediaType: "application/vnd.oci.image.manifest.v1+json", Config: config, Layers: layers,
	})
	if err != nil {
		return fmt.Errorf("encoding manifest: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	repo, ok := r.repos[model]
	if !ok {
		repo = &repository{tags: make(map[string][]byte), blobs: make(map[string]blob)}
		r.repos[model] = repo
	}
	repo.tags[version] = tag
	for digest, content := range blobs {
		repo.blobs[digest] = content
	}
	return nil
}

// PublishDir adds the files of a directory as a version of a model, like Publish.
func (r *Registry) PublishDir(model, version, dir string, chunkSize int64) (*weights.Manifest, error) {
	var files []NamedFile
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		name, err := filepath.Rel(dir, path)
		files = append(files, NamedFile{Name: filepath.ToSlash(name), Path: path})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", dir, err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("reading %s: no files", dir)
	}
	return r.Publish(model, version, files, chunkSize)
}

func blobDigest(file NamedFile) (digest string, size int64, err error) {
	reader, err := file.open()
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = reader.Close() }()
	hash := sha256.New()
	size, err = io.Copy(hash, reader)
	return "sha256:" + hex.EncodeToString(hash.Sum(nil)), size, err
}

func (r *Registry) serveTags(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	repo, ok := r.repos[request.PathValue("name")]
	tags := provider.OCITags{Name: request.PathValue("name")}
	if ok {
		for tag := range repo.tags {
			tags.Tags = append(tags.Tags, tag)
		}
	}
	r.mu.Unlock()
	if !ok {
		http.NotFound(w, request)
		return
	}
	slices.Sort(tags.Tags)
	writeJSON(w, tags)
}

func (r *Registry) serveManifest(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	var content []byte
	if repo, ok := r.repos[request.PathValue("name")]; ok {
		content = repo.tags[request.PathValue("reference")]
	}
	r.mu.Unlock()
	if content == nil {
		http.NotFound(w, request)
		return
	}
	w.Header().Set("Content-Type", "application/vnd.oci.image.manifest.v1+json")
	_, _ = w.Write(content)
}

func (r *Registry) serveBlob(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	var source blob
	found := false
	if repo, ok := r.repos[request.PathValue("name")]; ok {
		source, found = repo.blobs[request.PathValue("digest")]
	}
	r.mu.Unlock()
	if !found {
		http.NotFound(w, request)
		return
	}
	var content io.ReadSeeker = bytes.NewReader(source.data)
	if source.path != "" {
		file, err := os.Open(source.path)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		defer func() { _ = file.Close() }()
		content = file
	}
	http.ServeContent(&rateLimitedWriter{ResponseWriter: w, registry: r, request: request}, request, "", time.Time{}, content)
}

// rateLimitedWriter is a ResponseWriter that limits the rate of the body to that of the registry.
type rateLimitedWriter struct {
	http.ResponseWriter
	registry *Registry
	request  *http.Request
}

// Write writes data in parts that are no larger than the limiter's burst.
func (w *rateLimitedWriter) Write(data []byte) (int, error) {
	sent := 0
	for sent < len(data) {
		size := min(len(data)-sent, w.registry.limiter.Burst())
		if err := w.registry.limiter.WaitN(w.request.Context(), size); err != nil {
			return sent, err
		}
		n, err := w.ResponseWriter.Write(data[sent : sent+size])
		sent += n
		if err != nil {
			return sent, err
		}
		w.registry.mu.Lock()
		w.registry.bytesSent += int64(n)
		w.registry.mu.Unlock()
	}
	return sent, nil
}

// SetRate sets the maximum rate of blobs in bytes per second.
func (r *Registry) SetRate(bytesPerSecond int) {
	r.limiter.SetLimit(rate.Limit(bytesPerSecond))
	r.limiter.SetBurst(max(bytesPerSecond/8, 1))
}

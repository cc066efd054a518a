package provider

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// MediaTypeChunks is the media type of the config blob in the OCI artifact of a version. The blob holds the chunk
// manifest of the version.
const MediaTypeChunks = "application/vnd.cinderslip.chunks.v1+json"

// ErrNotPublished reports a model or version that the weight source does not have.
var ErrNotPublished = errors.New("not published")

// ErrRateLimited reports a request that the weight source rejected because of its rate limit. It may be retried later.
var ErrRateLimited = errors.New("source limits its rate")

const (
	// listLimit is the maximum size of a list of versions or boxes, and of the OCI manifest of a version, in bytes.
	listLimit = 4 << 20
	// manifestLimit is the maximum size of a chunk manifest, in bytes.
	manifestLimit = 64 << 20
)

// WeightSource is a weight store or an origin.
type WeightSource struct {
	Name string
	// Versions lists the published versions of a model. Errors wrap
	// ErrNotPublished or ErrUnavailable.
	Versions func(ctx context.Context, model table.Model) ([]table.ModelVersion, error)
	// Manifest reads the chunk manifest of a version. Errors wrap ErrRateLimited, ErrNotPublished or
	// ErrUnavailable.
	Manifest func(ctx context.Context, model table.Model, version table.ModelVersion) ([]byte, error)
	// Range reads size bytes of a blob, starting at offset. Errors wrap ErrRateLimited,
	// ErrNotPublished or ErrUnavailable.
	Range func(ctx context.Context, model table.Model, blob string, offset, size int64) ([]byte, error)
}

// NewWeightSource returns a WeightSource that calls the OCI distribution API at base.
func NewWeightSource(name, base string, client *http.Client) WeightSource {
	c := &registryClient{base: base, client: client}
	return WeightSource{Name: name, Versions: c.versions, Manifest: c.manifest, Range: c.blobRange}
}

type registryClient struct {
	base   string
	client *http.Client
}

// OCIManifest is the subset of an OCI image manifest that this project uses.
type OCIManifest struct {
	SchemaVersion int             `json:"schemaVersion"`
	MediaType     string          `json:"mediaType"`
	Config        OCIDescriptor   `json:"config"`
	Layers        []OCIDescriptor `json:"layers"`
}

// OCIDescriptor refers to a blob by its digest. Size is in bytes.
type OCIDescriptor struct {
	MediaType string `json:"mediaType"`
	Digest    string `json:"digest"`
	Size      int64  `json:"size"`
}

// OCITags is the response of the tag list.
type OCITags struct {
	Name string   `json:"name"`
	Tags []string `json:"tags"`
}

// get reads a response of at most limit bytes. A longer one is an error.
func (c *registryClient) get(ctx context.Context, path string, header http.Header, limit int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w: %w", path, ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkStatus(response.StatusCode); err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(content)) > limit {
		err = errTooLong
	}
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w: %w", path, ErrUnavailable, err)
	}
	return content, nil
}

// errTooLong reports a response that is longer than the call allows.
var errTooLong = errors.New("response is too long")

func checkStatus(status int) error {
	switch status {
	case http.StatusOK, http.StatusPartialContent:
		return nil
	case http.StatusNotFound:
		return ErrNotPublished
	case http.StatusTooManyRequests:
		return ErrRateLimited
	}
	return fmt.Errorf("status %d: %w", status, ErrUnavailable)
}

func (c *registryClient) versions(ctx context.Context, model table.Model) ([]table.ModelVersion, error) {
	content, err := c.get(ctx, "/v2/"+string(model)+"/tags/list", nil, listLimit)
	if err != nil {
		return nil, err
	}
	var tags OCITags
	if err := json.Unmarshal(content, &tags); err != nil {
		return nil, fmt.Errorf("decoding tags of %s: %w", model, err)
	}
	versions := make([]table.ModelVersion, 0, len(tags.Tags))
	for _, tag := range tags.Tags {
		versions = append(versions, table.ModelVersion(tag))
	}
	return versions, nil
}

func (c *registryClient) manifest(ctx context.Context, model table.Model, version table.ModelVersion) ([]byte, error) {
	content, err := c.get(ctx, "/v2/"+string(model)+"/manifests/"+string(version), nil, listLimit)
	if err != nil {
		return nil, err
	}
	var manifest OCIManifest
	if err := json.Unmarshal(content, &manifest); err != nil {
		return nil, fmt.Errorf("decoding manifest of %s %s: %w", model, version, err)
	}
	if manifest.Config.MediaType != MediaTypeChunks {
		return nil, fmt.Errorf("%s %s has config %q, want %q: %w", model, version, manifest.Config.MediaType, MediaTypeChunks, ErrNotPublished)
	}
	return c.chunkManifest(ctx, model, manifest.Config)
}

// chunkManifest reads a chunk manifest and checks it against the size and the SHA-256 digest of its descriptor.
func (c *registryClient) chunkManifest(ctx context.Context, model table.Model, config OCIDescriptor) ([]byte, error) {
	if config.Size <= 0 || config.Size > manifestLimit {
		return nil, fmt.Errorf("chunk manifest of %s has %d bytes, want 1 to %d: %w", model, config.Size, manifestLimit, weights.ErrInvalidManifest)
	}
	content, err := c.get(ctx, "/v2/"+string(model)+"/blobs/"+config.Digest, nil, config.Size)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(content)
	if int64(len(content)) != config.Size || ociSHA256+hex.EncodeToString(sum[:]) != config.Digest {
		return nil, fmt.Errorf("chunk manifest of %s, %.80s: %w: %w", model, config.Digest, ErrUnavailable, weights.ErrDigestMismatch)
	}
	return content, nil
}

// ociSHA256 is the prefix of a SHA-256 digest in a descriptor.
const ociSHA256 = "sha256:"

func (c *registryClient) blobRange(ctx context.Context, model table.Model, blob string, offset, size int64) ([]byte, error) {
	header := http.Header{"Range": []string{fmt.Sprintf("bytes=%d-%d", offset, offset+size-1)}}
	return c.get(ctx, "/v2/"+string(model)+"/blobs/"+blob, header, size)
}

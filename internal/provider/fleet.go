package provider

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// ErrCompacted reports that the changes after a revision are no longer available. The caller has to read a new
// snapshot.
var ErrCompacted = errors.New("history has been compacted")

// FactBatch holds facts read from the key-value service and the errors of the entries that could not be decoded.
type FactBatch struct {
	Facts []fleet.Fact
	// Errors holds one error for each entry that could not be decoded.
	Errors []*EntryError
	// HasUnreadableConfiguration is set if the last configuration among the entries could not be decoded, not even in part.
	HasUnreadableConfiguration bool
	// Revision is the revision after which the next call of Changes continues. Its era is that of the response.
	Revision fleet.Revision
}

// EntryError reports an entry of the key-value service that could not be decoded, either completely or in part.
type EntryError struct {
	Key      string
	Revision fleet.Revision
	Err      error
}

// Error returns the key and revision of the entry and the decoding error.
func (e *EntryError) Error() string {
	return fmt.Sprintf("store key %q at revision %v: %v", e.Key, e.Revision, e.Err)
}

// Unwrap returns the decoding error.
func (e *EntryError) Unwrap() error { return e.Err }

// FactSource reads the operators' configuration, the list of backend servers and the desired weights from the
// key-value service.
type FactSource struct {
	// Snapshot reads all entries. Errors wrap ErrUnavailable.
	Snapshot func(ctx context.Context) (FactBatch, error)
	// Changes returns the entries written after a revision. It blocks until there is one, at most for wait.
	// Errors wrap ErrUnavailable or ErrCompacted. If the era of the batch is not that of the given revision, the
	// batch does not follow it and a snapshot has to be read. With ErrCompacted, the batch has only the era.
	Changes func(ctx context.Context, after fleet.Revision, wait time.Duration) (FactBatch, error)
	// Reconnect makes all later calls open new connections, because idle connections may be dead without having
	// been closed.
	Reconnect func()
}

// LoadOrder instructs a model server to load staged weights.
type LoadOrder struct {
	Model   fleet.ModelName
	Version fleet.WeightsVersion
	// AbortRunning aborts the running requests. Otherwise the server finishes them before it loads.
	AbortRunning bool
	// FirstLayer and EndLayer select the layers to load, from FirstLayer up to but not including EndLayer.
	// All layers are loaded if EndLayer is 0.
	FirstLayer, EndLayer int
}

// ModelServer is the model server on the agent's box. Errors of any call wrap a BackoffError if the server requests a
// backoff.
type ModelServer struct {
	// Report reads the server's state. Errors wrap ErrUnavailable.
	Report func(ctx context.Context) (fleet.Report, error)
	// Leaving reports whether the server's last response to any call announced that the server will stop.
	Leaving func() bool
	// Load sends a load order. Errors wrap ErrRejected or ErrUnavailable; after ErrUnavailable the server may
	// have accepted the order.
	Load func(ctx context.Context, order LoadOrder) error
	// Stage uploads one chunk of a model's weights.
	Stage func(ctx context.Context, model fleet.ModelName, index int, data []byte) error
	// ReadStaged reads a staged chunk of a size in bytes. A longer one is an error. Errors wrap
	// weights.ErrChunkNotFound or ErrUnavailable.
	ReadStaged func(ctx context.Context, model fleet.ModelName, index int, size int64) ([]byte, error)
}

// ChunkedVersion identifies a version of a model's weights and has its layout in the operators' configuration.
type ChunkedVersion struct {
	Model   fleet.ModelName
	Version fleet.WeightsVersion
	Layout  weights.Layout
}

// Check returns an error that wraps weights.ErrInvalidManifest if a manifest is for another model or version, or has
// another layout.
func (v ChunkedVersion) Check(manifest *weights.Manifest) error {
	if manifest.Model != string(v.Model) || manifest.Version != strconv.FormatUint(uint64(v.Version), 10) {
		return fmt.Errorf("manifest is for %.80q version %.20q, want %q version %d: %w",
			manifest.Model, manifest.Version, v.Model, v.Version, weights.ErrInvalidManifest)
	}
	return v.Layout.Check(manifest)
}

// ChunkOrigin is an origin that serves the weights of models in chunks. Errors of any call wrap a BackoffError if the
// origin requests a backoff.
type ChunkOrigin struct {
	// Manifest reads the manifest of a version from the origin at an address. Errors wrap ErrNotPublished,
	// ErrUnavailable or weights.ErrInvalidManifest.
	Manifest func(ctx context.Context, at member.Address, version ChunkedVersion) (*weights.Manifest, error)
	// Chunk reads one chunk. One that is longer than the layout says is an error. Errors wrap ErrNotPublished,
	// ErrRateLimited or ErrUnavailable.
	Chunk func(ctx context.Context, at member.Address, version ChunkedVersion, index int) ([]byte, error)
}

// BackoffError reports a call that failed because the server has requested a backoff. Delay is the remaining time of
// the backoff.
type BackoffError struct {
	Delay time.Duration
}

// Error returns a message with the requested delay.
func (e *BackoffError) Error() string { return fmt.Sprintf("server requests a backoff of %v", e.Delay) }

// RequestedBackoff returns the delay of the BackoffError that err wraps, or 0 if err wraps none.
func RequestedBackoff(err error) time.Duration {
	var backoff *BackoffError
	if errors.As(err, &backoff) {
		return backoff.Delay
	}
	return 0
}

// InboundMetadata is the metadata in the headers of a caller's request.
type InboundMetadata struct {
	ID  string
	Key fleet.APIKey
	// Deadline is the time that the caller allows for the request, or 0 if the request has no deadline.
	Deadline time.Duration
	// LastEventID is the ID of the last event that the caller has received, or empty if it has received none.
	LastEventID string
	// PromptTokens is the size of the prompt, MaxResponseTokens the limit of the response and ResponseTokensHint
	// the caller's estimate of its size, all in tokens. Each is 0 if the request does not state it.
	PromptTokens       int
	MaxResponseTokens  int
	ResponseTokensHint int
	// PromptParts are the parts of the prompt that other requests may share, in order and without repetitions.
	PromptParts []PromptPart
	// ParseErr describes metadata that could not be parsed and is ignored; nil if there is none.
	ParseErr error
}

// PromptPart is the ID that callers give to a part of a prompt. Requests with the same part have the same ID for it.
type PromptPart string

// OutboundMetadata is the metadata that an entry box adds to a request to a backend server.
type OutboundMetadata struct {
	Server       fleet.ServerID
	Organisation fleet.OrganisationName
	// Deadline is the time that the server may spend on the request.
	Deadline time.Duration
	// LastEventID is the ID of the last event that the caller has received.
	LastEventID string
	// Priority is 0 for the most urgent requests. It is not sent if it is negative.
	Priority int
	// Version is the version of the weights that must serve the request, or 0 for any version.
	Version fleet.WeightsVersion
}

// ResponseMetadata is the metadata in the headers of a backend server's response.
type ResponseMetadata struct {
	// RequestID is the ID of the request to which the response belongs.
	RequestID string
	// NotExecuted is set if the server guarantees that it did not run the request.
	NotExecuted bool
	// Misdirected is set if another server now has the address, or if the server does not have the requested
	// weights.
	Misdirected bool
	// Signed is set if the response carries a signature of the server.
	Signed bool
	// Leaving is set if the server announces that it will stop.
	Leaving bool
	// Backoff is the backoff that the server requests from this box, or 0 if it requests none. It is never
	// negative and may be as large as the largest time.Duration.
	Backoff time.Duration
	// RateLimit is the limit that the server advertises for all entry boxes together. It applies until a response
	// omits it.
	RateLimit fleet.RateLimit
	// ColdFor is how much longer the server is cold, or 0 if it does not state it.
	ColdFor time.Duration
	// ParseErr reports a header about the server that could not be parsed, or is nil.
	ParseErr error
}

// CallerProtocol defines how the requests of callers and the responses of backend servers carry their metadata.
type CallerProtocol struct {
	// ReadRequest parses the headers of a caller's request.
	ReadRequest func(request *http.Request) InboundMetadata
	// WriteRequest removes the headers of a caller's request that must not reach the backend server and adds
	// the outbound metadata.
	WriteRequest func(header http.Header, outbound OutboundMetadata)
	// ReadResponse parses the headers of a backend server's response.
	ReadResponse func(response *http.Response) ResponseMetadata
	// ReadinessPath is the path of the platform's readiness probe.
	ReadinessPath string
	// DirectoryPath is the path of directory queries, by which callers find the addresses of entry boxes.
	DirectoryPath string
	// ReadDirectoryQuery parses a caller's directory query.
	ReadDirectoryQuery func(request *http.Request) DirectoryQuery
	// NewDirectoryResponse returns the response to a directory query, to be encoded as JSON. Callers may use the
	// addresses for ttl.
	NewDirectoryResponse func(addresses []member.Address, ttl time.Duration) any
}

// DirectoryQuery is a caller's query for the addresses of entry boxes. Host, Region and Domain locate the caller.
type DirectoryQuery struct {
	Host          string
	Region        member.Region
	FailureDomain member.FailureDomain
}

// DirectPlatform is the set of platform services for processes in direct mode.
type DirectPlatform struct {
	Facts   FactSource
	Server  ModelServer
	Origin  ChunkOrigin
	Callers CallerProtocol
}

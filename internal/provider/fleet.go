package provider

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// ErrCompacted reports a revision after which changes can no longer be told;
// everything has to be read again.
var ErrCompacted = errors.New("history is gone")

// FactBatch are facts read from the key-value service, and what could not be read.
type FactBatch struct {
	Facts []fleet.Fact
	// Errors name the entries that could not be decoded, and why.
	Errors []*EntryError
	// Revision is the revision from which to go on.
	Revision fleet.Revision
}

// EntryError is an entry that could not be decoded, whole or in part.
type EntryError struct {
	Key      string
	Revision fleet.Revision
	Err      error
}

// Error names the entry and what is wrong with it.
func (e *EntryError) Error() string {
	return fmt.Sprintf("store key %q at revision %d: %v", e.Key, e.Revision, e.Err)
}

// Unwrap returns what is wrong with the entry.
func (e *EntryError) Unwrap() error { return e.Err }

// FactSource reads the operators' configuration, the list of backend servers and
// the wanted weights.
type FactSource struct {
	// Snapshot reads everything. Errors wrap ErrUnavailable.
	Snapshot func(ctx context.Context) (FactBatch, error)
	// Changes waits for what is written after a revision, at most for the wait.
	// Errors wrap ErrUnavailable or ErrCompacted.
	Changes func(ctx context.Context, after fleet.Revision, wait time.Duration) (FactBatch, error)
	// Reconnect lets the calls that begin from now on use new connections: those that are
	// kept may have gone silent.
	Reconnect func()
}

// LoadOrder tells a model server to take up staged weights.
type LoadOrder struct {
	Model   fleet.ModelName
	Version fleet.WeightsVersion
	// AbortRunning breaks off what runs; otherwise it is finished first.
	AbortRunning bool
	// Layers are those to take; all of them if End is 0.
	FirstLayer, EndLayer int
}

// ModelServer is the model server on the agent's box. Errors of any call wrap a BackoffError if the server wants rest.
type ModelServer struct {
	// Report reads its state. Errors wrap ErrUnavailable.
	Report func(ctx context.Context) (fleet.Report, error)
	// Leaving reports whether the server's last answer to any call said that it will end.
	Leaving func() bool
	// Load gives an order. Errors wrap ErrRejected or ErrUnavailable; with the
	// latter the order may have been taken.
	Load func(ctx context.Context, order LoadOrder) error
	// Stage hands over one piece of a model's weights.
	Stage func(ctx context.Context, model fleet.ModelName, index int, data []byte) error
	// ReadStaged reads a piece back. Errors wrap weights.ErrAbsent or ErrUnavailable.
	ReadStaged func(ctx context.Context, model fleet.ModelName, index int) ([]byte, error)
}

// ChunkOrigin publishes the weights of models in pieces. Errors wrap a BackoffError where it wants rest.
type ChunkOrigin struct {
	// Manifest reads the digests of a version. Errors wrap ErrNotPublished or
	// ErrUnavailable.
	Manifest func(ctx context.Context, at member.Address, model fleet.ModelName, version fleet.WeightsVersion) (*weights.Manifest, error)
	// Chunk reads one piece. Errors wrap ErrNotPublished, ErrRateLimited or
	// ErrUnavailable.
	Chunk func(ctx context.Context, at member.Address, model fleet.ModelName, version fleet.WeightsVersion, index int) ([]byte, error)
}

// BackoffError reports a server that turned a call away and wants nothing more for a time.
type BackoffError struct {
	Delay time.Duration
}

// Error tells the time.
func (e *BackoffError) Error() string { return fmt.Sprintf("wants rest for %v", e.Delay) }

// RequestedBackoff returns for how long a server wants nothing more, as the error of a call says; 0 if it does not.
func RequestedBackoff(err error) time.Duration {
	var rest *BackoffError
	if errors.As(err, &rest) {
		return rest.Delay
	}
	return 0
}

// InboundMetadata is what a caller's request says about itself.
type InboundMetadata struct {
	ID  string
	Key fleet.APIKey
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// LastEventID is the id of the last event that the caller has; empty if none.
	LastEventID string
	// PromptTokens and MaxResponseTokens are the sizes of prompt and longest answer;
	// ResponseTokensHint is the caller's estimate. 0 where the caller does not say.
	PromptTokens       int
	MaxResponseTokens  int
	ResponseTokensHint int
}

// OutboundMetadata is what goes with a request to a backend server.
type OutboundMetadata struct {
	Server       fleet.ServerID
	Organisation fleet.OrganisationName
	// Deadline is how long the server may work.
	Deadline time.Duration
	// LastEventID is the id of the last event that the caller has.
	LastEventID string
	// Priority is 0 for the most urgent; negative if the server is not told.
	Priority int
	// Version is the version of the weights that must answer; 0 for any.
	Version fleet.WeightsVersion
}

// ResponseMetadata is what a backend server's answer says about itself.
type ResponseMetadata struct {
	// RequestID is the id of the request that is answered.
	RequestID string
	// NotExecuted is set when the server promises that it did not run the request.
	NotExecuted bool
	// Misdirected is set when another server has the address, or the server has
	// not the weights that were asked for.
	Misdirected bool
	// Signed is set when the answer bears the server's signature.
	Signed bool
	// Leaving is set when the server says that it will end.
	Leaving bool
	// Backoff is for how long the server wants nothing more from this box; 0 if it does not say, never
	// below. It may be as long as a duration can be.
	Backoff time.Duration
	// RateLimit is the limit that the server advertises for all entry boxes together. It applies until an answer omits it.
	RateLimit fleet.RateLimit
	// ParseErr is what the answer says about the server and could not be read; nil if nothing.
	ParseErr error
}

// CallerProtocol is how callers and backend servers mark their messages.
type CallerProtocol struct {
	ReadRequest func(request *http.Request) InboundMetadata
	// WriteRequest removes from the headers of a caller's request what must not
	// be passed on, and adds what the backend server is told.
	WriteRequest func(header http.Header, outbound OutboundMetadata)
	ReadResponse func(answer *http.Response) ResponseMetadata
	// ReadinessPath is where the platform asks whether the box is ready.
	ReadinessPath string
	// DirectoryPath is where callers ask for addresses.
	DirectoryPath string
	// ReadDirectoryQuery reads a caller's question for addresses.
	ReadDirectoryQuery func(request *http.Request) DirectoryQuery
	// NewDirectoryResponse answers such a question with a JSON document.
	NewDirectoryResponse func(addresses []member.Address, keep time.Duration) any
}

// DirectoryQuery asks which entry boxes a caller should use.
type DirectoryQuery struct {
	Host   string
	Region member.Region
	Domain member.FailureDomain
}

// DirectPlatform is all that a platform gives to processes that serve callers directly.
type DirectPlatform struct {
	Facts   FactSource
	Server  ModelServer
	Origin  ChunkOrigin
	Callers CallerProtocol
}

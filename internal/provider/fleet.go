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

// ErrHistoryGone reports a revision after which changes can no longer be told;
// everything has to be read again.
var ErrHistoryGone = errors.New("history is gone")

// Facts are facts read from the key-value service, and what could not be read.
type Facts struct {
	Facts []fleet.Fact
	// Findings name the entries that could not be decoded, and why.
	Findings []*EntryError
	// At is the revision from which to go on.
	At fleet.Revision
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
	Snapshot func(ctx context.Context) (Facts, error)
	// Changes waits for what is written after a revision, at most for the wait.
	// Errors wrap ErrUnavailable or ErrHistoryGone.
	Changes func(ctx context.Context, after fleet.Revision, wait time.Duration) (Facts, error)
	// Reconnect lets the calls that begin from now on use new connections: those that are
	// kept may have gone silent.
	Reconnect func()
}

// StartOrder tells a model server to take up staged weights.
type StartOrder struct {
	Model   fleet.ModelName
	Version fleet.WeightsVersion
	// Cut breaks off what runs; otherwise it is finished first.
	Cut bool
	// Layers are those to take; all of them if End is 0.
	Start, End int
}

// ModelServer is the model server on the agent's box. Errors of any call wrap a RestError if the server wants rest.
type ModelServer struct {
	// Report reads its state. Errors wrap ErrUnavailable.
	Report func(ctx context.Context) (fleet.Report, error)
	// Leaving reports whether the server's last answer to any call said that it will end.
	Leaving func() bool
	// Start gives an order. Errors wrap ErrRejected or ErrUnavailable; with the
	// latter the order may have been taken.
	Start func(ctx context.Context, order StartOrder) error
	// Stage hands over one piece of a model's weights.
	Stage func(ctx context.Context, model fleet.ModelName, index int, data []byte) error
	// Staged reads a piece back. Errors wrap weights.ErrAbsent or ErrUnavailable.
	Staged func(ctx context.Context, model fleet.ModelName, index int) ([]byte, error)
}

// PieceOrigin publishes the weights of models in pieces. Errors wrap a RestError where it wants rest.
type PieceOrigin struct {
	// Manifest reads the digests of a version. Errors wrap ErrNotPublished or
	// ErrUnavailable.
	Manifest func(ctx context.Context, at member.Address, model fleet.ModelName, version fleet.WeightsVersion) (*weights.Manifest, error)
	// Piece reads one piece. Errors wrap ErrNotPublished, ErrLimited or
	// ErrUnavailable.
	Piece func(ctx context.Context, at member.Address, model fleet.ModelName, version fleet.WeightsVersion, index int) ([]byte, error)
}

// RestError reports a server that turned a call away and wants nothing more for a time.
type RestError struct {
	For time.Duration
}

// Error tells the time.
func (e *RestError) Error() string { return fmt.Sprintf("wants rest for %v", e.For) }

// RestOf returns for how long a server wants nothing more, as the error of a call says; 0 if it does not.
func RestOf(err error) time.Duration {
	var rest *RestError
	if errors.As(err, &rest) {
		return rest.For
	}
	return 0
}

// Inbound is what a caller's request says about itself.
type Inbound struct {
	ID  string
	Key fleet.APIKey
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// LastEvent is the id of the last event that the caller has; empty if none.
	LastEvent string
	// PromptTokens and AnswerTokens are the sizes of prompt and longest answer;
	// AnswerHint is the caller's estimate. 0 where the caller does not say.
	PromptTokens int
	AnswerTokens int
	AnswerHint   int
}

// Outbound is what goes with a request to a backend server.
type Outbound struct {
	Server       fleet.ServerID
	Organisation fleet.OrganisationName
	// Deadline is how long the server may work.
	Deadline time.Duration
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
	// Priority is 0 for the most urgent; negative if the server is not told.
	Priority int
	// Version is the version of the weights that must answer; 0 for any.
	Version fleet.WeightsVersion
}

// AnswerMark is what a backend server's answer says about itself.
type AnswerMark struct {
	// RequestID is the id of the request that is answered.
	RequestID string
	// NotRun is set when the server promises that it did not run the request.
	NotRun bool
	// OtherServer is set when another server has the address, or the server has
	// not the weights that were asked for.
	OtherServer bool
	// Signed is set when the answer bears the server's signature.
	Signed bool
	// Leaving is set when the server says that it will end.
	Leaving bool
	// Rest is for how long the server wants nothing more from this box; 0 if it does not say, never
	// below. It may be as long as a duration can be.
	Rest time.Duration
	// RateLimit is the limit that the server advertises for all entry boxes together. It applies until an answer omits it.
	RateLimit fleet.RateLimit
	// Unread is what the answer says about the server and could not be read; nil if nothing.
	Unread error
}

// CallerProtocol is how callers and backend servers mark their messages.
type CallerProtocol struct {
	ReadRequest func(request *http.Request) Inbound
	// WriteRequest removes from the headers of a caller's request what must not
	// be passed on, and adds what the backend server is told.
	WriteRequest func(header http.Header, outbound Outbound)
	ReadAnswer   func(answer *http.Response) AnswerMark
	// ReadinessPath is where the platform asks whether the box is ready.
	ReadinessPath string
	// DirectoryPath is where callers ask for addresses.
	DirectoryPath string
	// ReadQuestion reads a caller's question for addresses.
	ReadQuestion func(request *http.Request) Question
	// WriteAddresses answers such a question with a JSON document.
	WriteAddresses func(addresses []member.Address, keep time.Duration) any
}

// Question asks which entry boxes a caller should use.
type Question struct {
	Host   string
	Region member.Region
	Domain member.FailureDomain
}

// Direct is all that a platform gives to processes that serve callers directly.
type Direct struct {
	Facts   FactSource
	Server  ModelServer
	Origin  PieceOrigin
	Callers CallerProtocol
}

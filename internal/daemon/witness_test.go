package daemon

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// lossyWitness is a witness that records claims but whose responses are lost.
type lossyWitness struct {
	*BackendProxy
}

// Claim records the claim and returns an error.
func (w lossyWitness) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	_, err := w.BackendProxy.Claim(ctx, request)
	return nil, errors.Join(err, errors.New("response lost"))
}

// If the response of a witness is lost, the attempt is refused as not run, but the witness has
// recorded its claim. The claim must be released. Otherwise the witness refuses the next attempt
// as a duplicate when that is sent to the witness itself, which happened during planned stops
// under load.
func TestClaimWithLostResponseIsReleased(t *testing.T) {
	backend := serveHTTP(t, http.HandlerFunc(echoRequest))
	runner, witness := newProxyFixture(t, backend), newProxyFixture(t, backend)
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterBackend(mux, lossyWitness{witness.proxy}))
	runner.witnesses = []member.Address{listenPeers(t, mux)}
	result, _, err := runner.send(t, newPost(t, http.NoBody), "book-1", "first")
	require.Equal(t, outcomeNotExecuted, result)
	require.Equal(t, wire.Refusal_REFUSAL_WITNESS, refusalOf(t, err))
	result, writer, err := witness.send(t, newPost(t, http.NoBody), "book-1", "second")
	require.NoError(t, err)
	require.Equal(t, outcomeDone, result)
	require.Equal(t, http.StatusAccepted, writer.status)
}

// unreachableWitness is a witness that records claims but whose responses are lost, and that receives no release.
type unreachableWitness struct {
	lossyWitness
}

// Release returns an error.
func (unreachableWitness) Release(context.Context, *wire.ClaimRequest) (*wire.ReleaseResponse, error) {
	return nil, errors.New("request lost")
}

func TestClaimWithLostReleaseDoesNotRefuseNextAttempt(t *testing.T) {
	backend := serveHTTP(t, http.HandlerFunc(echoRequest))
	runner, witness := newProxyFixture(t, backend), newProxyFixture(t, backend)
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterBackend(mux, unreachableWitness{lossyWitness{witness.proxy}}))
	runner.witnesses = []member.Address{listenPeers(t, mux)}
	result, _, err := runner.send(t, newPost(t, http.NoBody), "book-1", "first")
	require.Equal(t, outcomeNotExecuted, result)
	require.Equal(t, wire.Refusal_REFUSAL_WITNESS, refusalOf(t, err))
	result, _, _ = witness.send(t, newPost(t, http.NoBody), "book-1", "other")
	require.Equal(t, outcomeUnknown, result, "a request of which nothing is known is refused")
	witness.notRun = []string{"first"}
	result, writer, err := witness.send(t, newPost(t, http.NoBody), "book-1", "second")
	require.NoError(t, err)
	require.Equal(t, outcomeDone, result)
	require.Equal(t, http.StatusAccepted, writer.status)
	_, err = witness.proxy.Claim(t.Context(), &wire.ClaimRequest{RequestId: "book-1", Attempt: "first"})
	require.NoError(t, err)
	result, _, _ = witness.send(t, newPost(t, http.NoBody), "book-1", "third")
	require.Equal(t, outcomeUnknown, result, "the second attempt ran")
}

func TestWitnessReleasesClaimsOfAttemptsThatNeverRun(t *testing.T) {
	f := newProxyFixture(t, serveHTTP(t, http.HandlerFunc(echoRequest)))
	claim := func(attempt string, notRun ...string) bool {
		response, err := f.proxy.Claim(t.Context(), &wire.ClaimRequest{RequestId: "book-1", Attempt: attempt, NotRun: notRun})
		require.NoError(t, err)
		return !response.Seen
	}
	require.True(t, claim("first"))
	require.False(t, claim("second"))
	require.True(t, claim("second", "first"))
	require.False(t, claim("third", "first"))
}

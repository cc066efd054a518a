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

// lossyWitness takes claims whose answers are lost.
type lossyWitness struct {
	*BackendProxy
}

// Claim takes the claim and answers with an error.
func (w lossyWitness) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	_, err := w.BackendProxy.Claim(ctx, request)
	return nil, errors.Join(err, errors.New("the answer is lost"))
}

// A witness that was slow to answer kept the claim of an attempt that had been refused as not
// run, and refused the next attempt, on itself, as run before (planned-stops, beside load).
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

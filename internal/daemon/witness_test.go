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

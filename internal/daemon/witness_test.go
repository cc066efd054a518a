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
	*Gate
}

// Claim takes the claim and answers with an error.
func (w lossyWitness) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	_, err := w.Gate.Claim(ctx, request)
	return nil, errors.Join(err, errors.New("the answer is lost"))
}

// A witness that was slow to answer kept the claim of an attempt that had been refused as not
// run, and refused the next attempt, on itself, as run before (planned-stops, beside load).
func TestAClaimWhoseAnswerIsLostIsTakenBack(t *testing.T) {
	backend := serveHTTP(t, http.HandlerFunc(echoHandler))
	runner, witness := newGated(t, backend), newGated(t, backend)
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterBackend(mux, lossyWitness{witness.gate}))
	runner.witnesses = []member.Address{listenPeers(t, mux)}
	result, _, err := runner.send(t, post(t, http.NoBody), "book-1", "first")
	require.Equal(t, outcomeNotRun, result)
	require.Equal(t, wire.Refusal_REFUSAL_WITNESS, refusalOf(t, err))
	result, writer, err := witness.send(t, post(t, http.NoBody), "book-1", "second")
	require.NoError(t, err)
	require.Equal(t, outcomeAnswered, result)
	require.Equal(t, http.StatusAccepted, writer.status)
}

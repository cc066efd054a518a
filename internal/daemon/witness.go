package daemon

import (
	"context"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// claimTimeout bounds one call of a witness.
const claimTimeout = 500 * time.Millisecond

// claimAtWitness makes another agent a witness that a request id is about to run. Had the
// id run before, on this agent or the witness, one of the two knows. If no witness
// answers, the request is refused as not run: the entry box knows better ones soon.
func (g *BackendProxy) claimAtWitness(ctx context.Context, head *wire.RequestHead) (wire.Refusal, string) {
	if head.Repeatable || len(head.Witnesses) == 0 {
		return wire.Refusal_REFUSAL_NONE, ""
	}
	refusal, detail := wire.Refusal_REFUSAL_WITNESS, "no witness answers"
	for _, witness := range head.Witnesses {
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		answer, err := wire.NewDRPCBackendClient(g.peers.Conn(member.Address(witness))).Claim(callCtx, newClaimRequest(head))
		cancel()
		if err != nil {
			continue
		}
		if !answer.Seen {
			return wire.Refusal_REFUSAL_NONE, ""
		}
		refusal, detail = wire.Refusal_REFUSAL_DUPLICATE, "the request id ran before on another box"
		break
	}
	g.dedup.Abandon(route.RequestID(head.RequestId), route.AttemptID(head.Attempt), g.clock.Now())
	if refusal == wire.Refusal_REFUSAL_WITNESS {
		// A witness that did not answer may hold the claim, and the next attempt may go there.
		g.releaseClaims(head)
	}
	return refusal, detail
}

// releaseClaims takes back the claims of an attempt that did not run. A claim that is
// not taken back only makes the id unknown for the window.
func (g *BackendProxy) releaseClaims(head *wire.RequestHead) {
	if head.Repeatable {
		return
	}
	for _, witness := range head.Witnesses {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		_, err := wire.NewDRPCBackendClient(g.peers.Conn(member.Address(witness))).Release(ctx, newClaimRequest(head))
		cancel()
		if err != nil {
			g.log.Debug().Str("witness", witness).Err(err).Msg("claim not released")
		}
	}
}

func newClaimRequest(head *wire.RequestHead) *wire.ClaimRequest {
	return &wire.ClaimRequest{RequestId: head.RequestId, Attempt: head.Attempt}
}

// Claim answers another agent.
func (g *BackendProxy) Claim(_ context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	held := g.dedup.Claim(route.RequestID(request.RequestId), route.AttemptID(request.Attempt), g.clock.Now())
	return &wire.ClaimResponse{Seen: !held}, nil
}

// Release answers another agent.
func (g *BackendProxy) Release(_ context.Context, request *wire.ClaimRequest) (*wire.ReleaseResponse, error) {
	g.dedup.Release(route.RequestID(request.RequestId), route.AttemptID(request.Attempt))
	return &wire.ReleaseResponse{}, nil
}

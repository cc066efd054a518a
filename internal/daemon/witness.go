package daemon

import (
	"context"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// claimTimeout limits one Claim or Release call to a witness.
const claimTimeout = 500 * time.Millisecond

// claimAtWitness claims the request id at the first witness that responds. If the request ran
// before, this agent or the witness has a record of its id. If no witness responds, the request
// is refused as not run; by its next attempt, the entry box may know witnesses that respond.
func (p *BackendProxy) claimAtWitness(ctx context.Context, head *wire.RequestHead) (wire.Refusal, string) {
	if head.Repeatable || len(head.Witnesses) == 0 {
		return wire.Refusal_REFUSAL_NONE, ""
	}
	refusal, detail := wire.Refusal_REFUSAL_WITNESS, "no witness answers"
	for _, witness := range head.Witnesses {
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		response, err := wire.NewDRPCBackendClient(p.peers.Conn(member.Address(witness))).Claim(callCtx, newClaimRequest(head))
		cancel()
		if err != nil {
			continue
		}
		if !response.Seen {
			return wire.Refusal_REFUSAL_NONE, ""
		}
		refusal, detail = wire.Refusal_REFUSAL_DUPLICATE, "the request id ran before on another box"
		break
	}
	p.dedup.Abandon(route.RequestID(head.RequestId), route.AttemptID(head.Attempt), p.clock.Now())
	if refusal == wire.Refusal_REFUSAL_WITNESS {
		// A witness whose response was lost may hold the claim, and would refuse the next
		// attempt if that is sent to it.
		p.releaseClaims(head)
	}
	return refusal, detail
}

// releaseClaims releases the claims of an attempt that did not run. If a release fails, only later
// attempts of the same entry box release them: a request that the caller sends again may be refused as a
// duplicate, and so get an unknown outcome, until the dedup window ends.
func (p *BackendProxy) releaseClaims(head *wire.RequestHead) {
	if head.Repeatable {
		return
	}
	for _, witness := range head.Witnesses {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		_, err := wire.NewDRPCBackendClient(p.peers.Conn(member.Address(witness))).Release(ctx, newClaimRequest(head))
		cancel()
		if err != nil {
			p.log.Debug().Str("witness", witness).Err(err).Msg("releasing the claim at a witness failed; it may refuse the request id until the dedup window ends")
		}
	}
}

func newClaimRequest(head *wire.RequestHead) *wire.ClaimRequest {
	return &wire.ClaimRequest{RequestId: head.RequestId, Attempt: head.Attempt, NotRun: head.NotRun}
}

// Claim records a request id for an attempt that is about to run on another agent. Seen is true if
// another attempt with the id is on record here.
func (p *BackendProxy) Claim(_ context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	p.releaseNotRun(request.RequestId, request.NotRun)
	claimed := p.dedup.Claim(route.RequestID(request.RequestId), route.AttemptID(request.Attempt), p.clock.Now())
	return &wire.ClaimResponse{Seen: !claimed}, nil
}

// releaseNotRun releases the claims of earlier attempts of a request that never run.
func (p *BackendProxy) releaseNotRun(request string, attempts []string) {
	for _, attempt := range attempts {
		p.dedup.Abandon(route.RequestID(request), route.AttemptID(attempt), p.clock.Now())
	}
}

// Release removes the claim of an attempt that did not run on another agent.
func (p *BackendProxy) Release(_ context.Context, request *wire.ClaimRequest) (*wire.ReleaseResponse, error) {
	p.dedup.Abandon(route.RequestID(request.RequestId), route.AttemptID(request.Attempt), p.clock.Now())
	return &wire.ReleaseResponse{}, nil
}

package direct

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// sinceFirstTry returns how long ago a caller first asked; 0 if it was not here before. Whom another
// box has sent away is known; of the others the remaining time tells those whose box was killed,
// or who left it by themselves.
func (f *CallerServer) sinceFirstTry(x *exchange) time.Duration {
	x.fingerprint = fingerprintOf(x)
	if first, ok := f.rejectedCallers.FirstRequestAt(x.fingerprint, x.arrived.Add(x.Deadline), x.arrived); ok {
		return x.arrived.Sub(first)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.callerTimeouts[x.route.Name]
	if known == nil {
		known = &route.CallerTimeoutEstimator{}
		f.callerTimeouts[x.route.Name] = known
	}
	waited := known.Waited(x.Deadline, x.route.Timeout)
	known.Observe(x.Deadline)
	return waited
}

// fingerprintOf identifies what a request asks for.
func fingerprintOf(x *exchange) route.Fingerprint {
	var hash xxhash.Digest
	hash.Reset()
	if x.request != nil {
		for _, part := range []string{x.request.Method, x.request.Host, x.request.RequestURI, string(x.Key)} {
			_, _ = hash.WriteString(part)
			_, _ = hash.Write([]byte{0})
		}
	}
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(x.PromptTokens)))
	_, _ = hash.Write(x.body)
	return route.Fingerprint(hash.Sum64())
}

// noteRejected remembers a caller who got no answer and may come back.
func (f *CallerServer) noteRejected(x *exchange) {
	if x.route == nil || x.Deadline <= 0 {
		return
	}
	f.rejectedCallers.Record(route.RejectedCaller{
		Fingerprint: x.fingerprint, FirstRequestAt: x.arrived.Add(-x.sinceFirstTry), TimeoutAt: x.arrived.Add(x.Deadline),
	}, f.clock.Now())
}

package direct

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// sinceFirstTry returns the time since the first try of a caller; 0 for a new request. Callers that another box
// has rejected are known by their fingerprint. Others may have lost their box or switched boxes; a short
// remaining time identifies them as retries.
func (s *CallerServer) sinceFirstTry(x *exchange) time.Duration {
	x.fingerprint = fingerprintOf(x)
	if firstAt, ok := s.rejectedCallers.FirstRequestAt(x.fingerprint, x.arrived.Add(x.Deadline), x.arrived); ok {
		return x.arrived.Sub(firstAt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	estimator := s.callerTimeouts[x.route.Name]
	if estimator == nil {
		estimator = &route.CallerTimeoutEstimator{}
		s.callerTimeouts[x.route.Name] = estimator
	}
	waited := estimator.Waited(x.Deadline, x.route.Timeout)
	estimator.Observe(x.Deadline)
	return waited
}

// fingerprintOf returns a hash that identifies a request across retries.
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

// noteRejected records a caller that got no response and may retry.
func (s *CallerServer) noteRejected(x *exchange) {
	if x.route == nil || x.Deadline <= 0 {
		return
	}
	s.rejectedCallers.Record(route.RejectedCaller{
		Fingerprint: x.fingerprint, FirstRequestAt: x.arrived.Add(-x.sinceFirstTry), TimeoutAt: x.arrived.Add(x.Deadline),
	}, s.clock.Now())
}

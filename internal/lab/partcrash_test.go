package lab

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxPartCrashes limits the servers that crash because of one part of prompts, on all boxes together.
	maxPartCrashes = 8
	// partCrashStart is when requests with the part begin to arrive, partCrashNotice when the other requests must be served
	// as before.
	partCrashStart  = 5 * time.Second
	partCrashNotice = partCrashStart + 2*time.Second
	partCrashSeeds  = 4
	// minPartCrashShare is the part of the other requests that must be served in time then.
	minPartCrashShare = 0.95
)

// Guards against requests of different content with one part of their prompts in common that crash one server after the
// other, beside boxes that are killed, restarted or cut off.
func TestFewServersCrashUnderAPart(t *testing.T) {
	crashes := Fault{Kind: FaultPartCrashes, At: partCrashStart, Duration: 10 * time.Second}
	for name, others := range map[string][]Fault{
		"alone":           nil,
		"boxes restart":   {{Kind: FaultBoxesDown, At: partCrashStart + time.Second, Share: 1, Spread: 4 * time.Second, Duration: 500 * time.Millisecond}},
		"boxes partition": {{Kind: FaultBoxesPartitioned, At: partCrashStart, Share: 0.2, Duration: 2 * time.Second}},
		"servers crash":   {{Kind: FaultServersDown, At: partCrashStart, Share: 0.3, Spread: 5 * time.Second, Duration: 2 * time.Second}},
	} {
		for _, share := range []float64{0.01, 0.1} {
			for seed := range uint64(partCrashSeeds) {
				t.Run(fmt.Sprintf("%s/share=%g/seed=%d", name, share, seed), func(t *testing.T) {
					crashes.Share = share
					deployment := smallDeployment(0.3)
					deployment.Duration = 15 * time.Second
					result := Run(deployment, append([]Fault{crashes}, others...), seed)
					after := result.Between(partCrashNotice, deployment.Duration)
					t.Logf("%d servers crashed, share in time afterwards %.3f", result.PartCrashes, after.Share(OutcomeInTime))
					require.Positive(t, result.PartCrashes)
					require.LessOrEqual(t, result.PartCrashes, maxPartCrashes)
					if others == nil {
						require.Greater(t, after.Share(OutcomeInTime), minPartCrashShare)
					}
				})
			}
		}
	}
}

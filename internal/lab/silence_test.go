package lab

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// minDrawnSilence and maxDrawnSilence limit the silence of a server.
	minDrawnSilence = time.Second
	maxDrawnSilence = 2 * time.Second
	// silenceStart and silenceEnd limit the time in which silences start. silenceRecovery is the time until servers that
	// went on are used as before.
	silenceStart    = 3 * time.Second
	silenceEnd      = 8 * time.Second
	silenceRecovery = 3 * time.Second
	silenceSeeds    = 12
)

// drawSilences returns up to four silences of one server, of some, or of all, at the same time or in turn.
func drawSilences(random *rand.Rand) (faults []Fault) {
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	for range 1 + random.IntN(4) {
		faults = append(faults, Fault{
			Kind: FaultServersSilent, At: between(silenceStart, silenceEnd), Duration: between(minDrawnSilence, maxDrawnSilence),
			Share: []float64{0.05, 0.3, 1}[random.IntN(3)], Spread: time.Duration(random.IntN(2)) * time.Second,
		})
	}
	return faults
}

// Guards against responses that are cut, and servers that are avoided for good, because of a silence. Entry boxes of the
// model send an attempt elsewhere only if its server ends it, so this covers the choice of servers alone.
func TestSilentServersGoOn(t *testing.T) {
	for seed := range uint64(silenceSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			deployment := smallDeployment(0.4)
			deployment.Duration = silenceEnd + maxDrawnSilence + 2*silenceRecovery
			faults := drawSilences(rand.New(rand.NewPCG(seed, seed))) //nolint:gosec // repeatable on purpose
			result := Run(deployment, faults, seed)
			after := result.Between(deployment.Duration-silenceRecovery, deployment.Duration)
			t.Logf("%+v: score %.3f, share in time afterwards %.3f", faults, result.Score(), after.Share(OutcomeInTime))
			require.Zero(t, result.Truncated)
			require.Greater(t, after.Share(OutcomeInTime), 0.95, "servers that went on are used again")
		})
	}
}

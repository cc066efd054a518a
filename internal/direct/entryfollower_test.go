package direct

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/daemon"
)

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func TestFailedDiscoveryIsLoggedAtIntervals(t *testing.T) {
	var log bytes.Buffer
	clock := clockwork.NewFakeClock()
	seeds := []string{closedAddress(t), closedAddress(t)}
	follower := &entryFollower{
		suspects: noSuspectRequests(), fleetState: NewFleetState(clock, zerolog.New(&log), NewMetrics()), peers: daemon.NewPeerPool(), seeds: seeds, lastLogged: make(map[string]time.Time),
	}
	discoverAndReadLog := func() []string {
		log.Reset()
		follower.discover(t.Context())
		require.ElementsMatch(t, seeds, follower.candidates, "the seeds are followed anyway")
		return strings.Split(strings.TrimSpace(log.String()), "\n")
	}
	first := discoverAndReadLog()
	require.Len(t, first, len(seeds))
	for _, seed := range seeds {
		require.Equal(t, 1, strings.Count(strings.Join(first, ""), `"address":"`+seed+`"`))
	}
	for _, line := range first {
		require.Contains(t, line, "cannot connect", "the cause")
	}
	clock.Advance(discoveryLogInterval - time.Millisecond)
	require.Equal(t, []string{""}, discoverAndReadLog())
	clock.Advance(time.Millisecond)
	require.Len(t, discoverAndReadLog(), len(seeds))
}

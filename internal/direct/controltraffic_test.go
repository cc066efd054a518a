package direct

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestControlTrafficLogsWhatWasSentSinceTheLineBefore(t *testing.T) {
	var lines bytes.Buffer
	log := zerolog.New(&lines)
	traffic, sent := newControlTraffic(), make(map[trafficKind]trafficTotals)

	traffic.count(purposeFacts, 700, true)
	traffic.logSince(sent, log.Info())
	require.JSONEq(t, `{"level":"info","facts_remote_messages":1,"facts_remote_bytes":700,"message":"control traffic"}`, lines.String())

	lines.Reset()
	traffic.count(purposeFacts, 50, true)
	traffic.count(purposeAgent, 30, false)
	traffic.logSince(sent, log.Info())
	require.JSONEq(t, `{"level":"info","facts_remote_messages":1,"facts_remote_bytes":50,"agent-status_local_messages":1,
		"agent-status_local_bytes":30,"message":"control traffic"}`, lines.String())
}

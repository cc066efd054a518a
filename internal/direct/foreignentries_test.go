package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// oddEntryDepth is deeper than what decoders and stacks take.
const oddEntryDepth = 200_000

// oddEntries are entries that another writer may leave among those of the servers, by name.
func oddEntries() map[string]string {
	sound := func(field string) string {
		return `{"Service":"maps","Address":"127.0.0.1:1","Zone":"hall-a","Slots":4,"State":"ready",` + field + `}`
	}
	return map[string]string{
		"nested arrays":          strings.Repeat("[", oddEntryDepth) + strings.Repeat("]", oddEntryDepth),
		"nested objects":         strings.Repeat(`{"Service":`, oddEntryDepth) + "1" + strings.Repeat("}", oddEntryDepth),
		"nested field":           sound(`"Models":` + strings.Repeat("[", oddEntryDepth) + strings.Repeat("]", oddEntryDepth)),
		"nested unknown field":   sound(`"other":` + strings.Repeat("[", oddEntryDepth/100) + strings.Repeat("]", oddEntryDepth/100)),
		"slots too large":        `{"Service":"maps","Address":"127.0.0.1:1","Zone":"hall-a","Slots":1e400,"State":"ready"}`,
		"slots of the largest":   `{"Service":"maps","Address":"127.0.0.1:1","Zone":"hall-a","Slots":9223372036854775807,"State":"ready"}`,
		"start too large":        sound(`"born":1e400`),
		"start of the largest":   sound(`"born":9223372036854775807`),
		"cold time of the limit": sound(`"ColdRemainingMs":1e308`),
		"cold time too large":    sound(`"ColdRemainingMs":1e400`),
		"version of the largest": sound(`"Models":[{"Name":"daka","Version":18446744073709551615}]`),
		"layers out of range":    sound(`"Models":[{"Name":"daka","Version":1}],"layers":{"Source":-9,"TargetVersion":9223372036854775807,"Version":1}`),
		"port out of range":      `{"Service":"maps","Address":"127.0.0.1:70000","Zone":"hall-a","Slots":4,"State":"ready"}`,
		"port of zero":           `{"Service":"maps","Address":"127.0.0.1:0","Zone":"hall-a","Slots":4,"State":"ready"}`,
		"long name":              sound(`"other":"` + strings.Repeat("x", oddEntryDepth) + `"`),
		"long failure domain": `{"Service":"maps","Address":"127.0.0.1:1","Zone":"` + strings.Repeat("x", oddEntryDepth) +
			`","Slots":4,"State":"ready"}`,
		"bytes that are no UTF-8": "{\"Service\":\"maps\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"\xff\xfe\",\"Slots\":4,\"State\":\"ready\"}",
		"nothing":                 "",
		"null":                    "null",
	}
}

// Guards against an odd entry of another writer among the servers' ending the processes that read it, also those that start then,
// or keeping them from following the list.
func TestOddEntriesAmongServersStopNothing(t *testing.T) {
	w := newTestDeployment(t)
	t.Cleanup(w.close)
	require.NoError(t, w.cmdPlatform([]string{"plain=2", "models=1"}))
	require.NoError(t, w.cmdEntry([]string{"entry-1"}))
	require.NoError(t, w.cmdAgent([]string{"model-1"}))
	require.NoError(t, w.cmdAwait([]string{"ready", "entry-1"}))
	for name, entry := range oddEntries() {
		w.store.Put("servers/odd "+name, []byte(entry))
	}
	for _, s := range w.servers {
		// The odd entries have replaced those of sound servers for a moment.
		w.store.Put("servers/"+s.id, []byte(oddEntries()["nested objects"]))
	}
	time.Sleep(300 * time.Millisecond)
	for _, s := range w.servers {
		w.putEntry(s, false)
	}
	require.NoError(t, w.cmdEntry([]string{"entry-2"}))
	for _, entry := range []string{"entry-1", "entry-2"} {
		require.NoError(t, w.cmdAwait([]string{"ready", entry}))
		require.NoError(t, w.cmdAwait([]string{"stream", entry}), "the agent's server serves")
		w.putConfig(w.configuration+1, []string{"key-1", "key-" + entry})
		require.NoError(t, w.await(func() error {
			response, err := w.request(entry, "odd-"+entry, "/look/1", "key-"+entry)
			if err != nil {
				return err
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("status %d: the list is not followed", response.StatusCode)
			}
			return nil
		}))
	}
}

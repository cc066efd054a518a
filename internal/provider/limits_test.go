package provider_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// endlessServer sends a body without an end that begins as JSON does.
func endlessServer(t *testing.T) string {
	t.Helper()
	part := []byte(strings.Repeat("j", 1<<20))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"x":"`))
		for err == nil {
			_, err = w.Write(part)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a response without an end of a service of the platform being read until the time of the call ends.
func TestBodiesWithoutEndAreGivenUp(t *testing.T) {
	url, client := endlessServer(t), http.DefaultClient
	kv, source := provider.NewKeyValue(url, client), provider.NewWeightSource("store", url, client)
	calls := map[string]func(ctx context.Context) error{
		"get": func(ctx context.Context) error {
			_, err := kv.Get(ctx, "key")
			return err
		},
		"watch": func(ctx context.Context) error { return kv.Watch(ctx, "key", 1) },
		"engine state": func(ctx context.Context) error {
			_, err := provider.NewEngine(url, client).State(ctx)
			return err
		},
		"versions": func(ctx context.Context) error {
			_, err := source.Versions(ctx, "m")
			return err
		},
		"range": func(ctx context.Context) error {
			_, err := source.Range(ctx, "m", "blob", 0, 100)
			return err
		},
		"box list": func(ctx context.Context) error {
			_, err := provider.NewBoxList(url, client).List(ctx)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			require.Error(t, call(ctx))
			require.NoError(t, ctx.Err(), "the call ends because of the limit, not of its time")
		})
	}
}

// Guards against a chunk manifest that was spoilt on its way being pinned for all boxes.
func TestChunkManifestIsCheckedAgainstItsDescriptor(t *testing.T) {
	content := []byte(`{"model":"m"}`)
	sum := sha256.Sum256(content)
	for name, test := range map[string]struct {
		sent  string
		size  int
		wants error
	}{
		"whole":      {string(content), len(content), nil},
		"one bit":    {strings.Replace(string(content), "model", "mndel", 1), len(content), weights.ErrDigestMismatch},
		"longer":     {string(content) + " ", len(content), provider.ErrUnavailable},
		"shorter":    {string(content[1:]), len(content), weights.ErrDigestMismatch},
		"other size": {string(content), len(content) + 1, weights.ErrDigestMismatch},
		"no size":    {string(content), 0, weights.ErrInvalidManifest},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.Contains(r.URL.Path, "/blobs/") {
					_, _ = w.Write([]byte(test.sent))
					return
				}
				_ = json.NewEncoder(w).Encode(provider.OCIManifest{Config: provider.OCIDescriptor{
					MediaType: provider.MediaTypeChunks, Digest: "sha256:" + hex.EncodeToString(sum[:]), Size: int64(test.size),
				}})
			}))
			defer server.Close()
			got, err := provider.NewWeightSource("store", server.URL, http.DefaultClient).Manifest(t.Context(), "m", "v1")
			if test.wants != nil {
				require.ErrorIs(t, err, test.wants)
				return
			}
			require.NoError(t, err)
			require.Equal(t, content, got)
		})
	}
}

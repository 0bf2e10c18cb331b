package standin

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// BenchmarkBackend measures the cost of a request to the stand-in itself, which is part
// of every figure measured with it.
func BenchmarkBackend(b *testing.B) {
	fake := New(Options{Groups: []Group{{Prefix: "vm", Count: 1}}})
	server, err := NewServer(fake, ServerOptions{})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go server.Serve(ctx)
	address := "http://" + server.BackendAddresses()[0] + "/"
	for b.Loop() {
		req, err := http.NewRequest(http.MethodGet, address, nil)
		require.NoError(b, err)
		req.Header.Set(HeaderReplyBytes, "1024")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(b, err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// BenchmarkAppend measures an append of one entry through the client.
func BenchmarkAppend(b *testing.B) {
	server, err := NewServer(New(Options{AppendsPerSecond: -1, RetentionEntries: 1000}), ServerOptions{})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go server.Serve(ctx)
	client := platform.NewClient(server.Addr(), platform.ClientOptions{})
	defer client.Close()
	data := [][]byte{make([]byte, 200)}
	for b.Loop() {
		_, err := client.Append(b.Context(), "s", data)
		require.NoError(b, err)
	}
}

// BenchmarkListOf4000 measures the lagging list at the fleet size that the design
// targets.
func BenchmarkListOf4000(b *testing.B) {
	fake := New(Options{Groups: []Group{{Prefix: "vm", Count: 4000, Zones: []string{"a", "b", "c"}}}})
	for b.Loop() {
		_, err := fake.List(b.Context())
		require.NoError(b, err)
	}
}

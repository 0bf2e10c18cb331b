package standin

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// Stewards read the list of all VMs every few seconds. With thousands of VMs, an
// uncompressed list alone would exceed a node's budget for control traffic. The
// client requests compression and gets the same list.
func TestListIsCompressed(t *testing.T) {
	fake := New(Options{Groups: []Group{{Prefix: "vm", Count: 100}}})
	server, err := NewServer(fake, ServerOptions{})
	require.NoError(t, err)
	ended := make(chan error, 1)
	ctx := t.Context()
	go func() { ended <- server.Serve(ctx) }()
	req, err := http.NewRequest(http.MethodGet, "http://"+server.Addr()+"/v1/vms", nil)
	require.NoError(t, err)
	req.Header.Set("Accept-Encoding", "gzip")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, "gzip", resp.Header.Get("Content-Encoding"))
	require.Less(t, resp.ContentLength, int64(3000))
	client := platform.NewClient(server.Addr(), platform.ClientOptions{})
	defer client.Close()
	got, err := client.List(t.Context())
	require.NoError(t, err)
	want, err := fake.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, want.VMs, got.VMs)
}

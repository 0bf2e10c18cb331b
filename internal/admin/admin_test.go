package admin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/admin"
)

// startServer serves on a free port. It returns the base URL, the readiness and
// a function that stops the server and returns Serve's error.
func startServer(t *testing.T, profiles bool) (string, *admin.Readiness, func() error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	readiness := admin.NewReadiness()
	server := admin.New(admin.Config{
		Listener: listener, Registry: admin.NewRegistry("yuccadrift-test"), Readiness: readiness,
		Profiles: profiles, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- server.Serve(ctx) }()
	return "http://" + listener.Addr().String(), readiness, func() error {
		cancel()
		return <-result
	}
}

func get(t *testing.T, url string) (int, string) {
	response, err := http.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestHealthReadinessAndMetrics(t *testing.T) {
	base, readiness, stop := startServer(t, false)
	readiness.SetNotReady("platform", "log not read yet")
	readiness.SetNotReady("drain", "stopping")
	readiness.SetNotReady("platform", "log unreachable since 3s")
	status, body := get(t, base+"/readyz")
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Equal(t, "drain: stopping\nplatform: log unreachable since 3s\n", body)
	readiness.SetReady("platform")
	readiness.SetReady("drain")
	status, body = get(t, base+"/readyz")
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "ready\n", body)
	status, _ = get(t, base+"/healthz")
	assert.Equal(t, http.StatusOK, status)
	_, body = get(t, base+"/metrics")
	assert.Regexp(t, `yuccadrift_build_info\{binary="yuccadrift-test",go_version="go1[^}]*\} 1`, body)
	assert.Contains(t, body, "process_resident_memory_bytes")
	status, _ = get(t, base+"/debug/pprof/")
	assert.Equal(t, http.StatusNotFound, status)
	assert.ErrorIs(t, stop(), context.Canceled)
	_, err := http.Get(base + "/healthz")
	assert.Error(t, err, "the listener must be closed after the stop")
}

func TestProfilesAreServedOnlyWhenEnabled(t *testing.T) {
	base, _, stop := startServer(t, true)
	status, body := get(t, base+"/debug/pprof/goroutine?debug=1")
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, body, "goroutine profile:")
	assert.ErrorIs(t, stop(), context.Canceled)
}

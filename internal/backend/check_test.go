package backend_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/backend"
)

func TestHealthCheckFollowsStatus(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "/healthz", r.URL.Path)
		w.WriteHeader(status)
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	checker := backend.NewHealthChecker()
	assert.NoError(t, checker.Check(t.Context(), address))
	status = http.StatusServiceUnavailable
	assert.EqualError(t, checker.Check(t.Context(), address), "health check: status 503")
	server.Close()
	assert.Error(t, checker.Check(t.Context(), address))
}

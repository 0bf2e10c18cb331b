package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Limits of one health check.
const (
	checkTimeout = time.Second
	checkIdle    = 30 * time.Second
	// checkBody is the number of bytes read of an answer's body, so that its connection
	// can be reused.
	checkBody = 4 << 10
)

// HealthChecker checks the health of backend servers over HTTP. It shares no
// connections with requests, so that no check fails because all connections for
// requests are in use.
type HealthChecker struct{ client *http.Client }

// NewHealthChecker returns a HealthChecker with its own connections.
func NewHealthChecker() *HealthChecker {
	return &HealthChecker{client: &http.Client{
		Timeout:   checkTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: checkIdle},
	}}
}

// Check returns nil if the backend server at address (IP:port) answers /healthz with
// status 200, and an error otherwise.
func (c *HealthChecker) Check(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return errors.Wrap(err, "health check")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "health check")
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, checkBody) // only the status matters
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("health check: status %d", resp.StatusCode)
	}
	return nil
}

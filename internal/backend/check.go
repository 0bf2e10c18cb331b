package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Bounds of one health check.
const (
	checkTimeout = time.Second
	checkIdle    = 30 * time.Second
	// checkBody is read of an answer so that its connection can be used again.
	checkBody = 4 << 10
)

// HealthChecker asks backend servers over HTTP whether they are healthy. It
// shares no connection with requests, so that a full pool fails no check.
type HealthChecker struct{ client *http.Client }

// NewHealthChecker returns a checker with its own connections.
func NewHealthChecker() *HealthChecker {
	return &HealthChecker{client: &http.Client{
		Timeout:   checkTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: checkIdle},
	}}
}

// Check returns nil when the backend server at address (IP:port) answers that
// it is healthy, and else why not.
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
	_, _ = io.CopyN(io.Discard, resp.Body, checkBody) // the status is the answer
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("health check: status %d", resp.StatusCode)
	}
	return nil
}

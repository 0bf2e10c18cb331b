package front

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// fullStore implements JobStore for an owner that has no memory for another job.
type fullStore struct{}

func (fullStore) Accept(context.Context, string, workload.Record) (platform.StoreStatus, error) {
	return platform.StoreRefused, errors.Wrap(membudget.ErrNoRoom, "node-1")
}

// Guards against jobs that are held although their owner has no memory for them, and against refusals of those
// that it has accepted before.
func TestJobsWithoutRoomAreRefusedAtOnce(t *testing.T) {
	for status, report := range map[int]AcceptanceReport{
		http.StatusServiceUnavailable: ruledOut(), http.StatusGatewayTimeout: {}, http.StatusOK: {Stands: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newFrontRig(t)
			r.jobs.report = report
			r.handler.Jobs = fullStore{}
			began := time.Now()
			assert.Equal(t, status, r.send(http.MethodPost, jobPath, "Bearer ward-key").StatusCode)
			assert.Zero(t, time.Since(began))
		})
	}
}

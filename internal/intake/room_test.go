package intake_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Guards against jobs that reach an owner without memory by way of other nodes, and against cancellations that
// it refuses.
func TestAnOwnerWithoutRoomRefusesJobs(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := newSerialStore(time.Millisecond)
		c := newCluster(3, store, address(0))
		c.nodes[0].router.LimitJobs(func(r workload.Record) error {
			if r.Submission == nil {
				return nil
			}
			return membudget.ErrNoRoom
		})
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		for i, n := range c.nodes {
			job := workload.Record{Job: cancelRecord(10 + i).Job, Submission: &workload.Submission{}}
			status, err := n.router.Accept(ctx, 1, job)
			assert.Equal(t, platform.StoreRefused, status)
			assert.ErrorIs(t, err, membudget.ErrNoRoom)
		}
		assert.Zero(t, store.appends)
		for i, n := range c.nodes {
			status, err := n.router.Accept(ctx, 1, cancelRecord(i))
			assert.Equal(t, platform.StoreOK, status, err)
		}
	})
}

package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Guards against a caller that loses its place among the others since its attempts reach different nodes.
func TestFirstAttemptIsKnownToTheOwnersNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSerialStore(4 * time.Millisecond)
		c := newCluster(3, store, address(2))
		var stored workload.Submission
		c.nodes[2].acceptor = joblog.NewAcceptor(store, c.nodes[2].hedger, joblog.Limits{}, func(_ int, _ platform.Span, records []workload.Record) { stored = *records[0].Submission })
		submission := func() workload.Record {
			return workload.Record{Job: "aa", Submission: &workload.Submission{AcceptedAtMS: time.Now().UnixMilli()}}
		}
		for _, n := range c.nodes {
			n.unavailable = errors.New("no answer of the store")
		}
		firstAt := time.Now()
		status, err := c.nodes[0].router.Accept(context.Background(), 0, submission())
		assert.Equal(t, platform.StoreRefused, status)
		assert.Error(t, err)
		for _, n := range c.nodes {
			n.unavailable = nil
		}
		time.Sleep(2 * time.Second)
		status, err = c.nodes[1].router.Accept(context.Background(), 0, submission())
		assert.NoError(t, err)
		assert.Equal(t, platform.StoreOK, status)
		assert.Equal(t, firstAt.UnixMilli(), stored.FirstAttemptAtMS)
		assert.Equal(t, firstAt.Add(2*time.Second).UnixMilli(), stored.AcceptedAtMS)
	})
}

// Guards against a caller in its last attempt that is not served because the owner's node has just been lost.
func TestCallerWithLittleTimeIsServedBesideALostOwner(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := newCluster(3, newSerialStore(4*time.Millisecond), address(2))
		c.nodes[2].frozen.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		status, err := c.nodes[0].router.Accept(ctx, 0, cancelRecord(1))
		assert.NoError(t, err)
		assert.Equal(t, platform.StoreOK, status)

		c.nodes[1].hedger.RecordAnswer(time.Now().Add(-time.Second), false) // the store seems slow after an outage
		ctx, cancelSlow := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancelSlow()
		status, err = c.nodes[1].router.Accept(ctx, 0, cancelRecord(2))
		assert.NoError(t, err)
		assert.Equal(t, platform.StoreOK, status)
	})
}

// Guards against an owner's node that is not used for a second by all callers because it didn't answer one with
// little time left.
func TestACallerWithLittleTimeDoesNotExcludeTheOwnersNode(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := newCluster(2, newSerialStore(4*time.Millisecond), address(0))
		c.nodes[0].frozen.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		status, _ := c.nodes[1].router.Accept(ctx, 4, cancelRecord(1))
		assert.Equal(t, platform.StoreOK, status)
		c.nodes[0].frozen.Store(false)
		c.nodes[1].unavailable = errors.New("the store rejects this node")
		status, _ = c.nodes[1].router.Accept(t.Context(), 4, cancelRecord(2))
		assert.Equal(t, platform.StoreOK, status)
	})
}

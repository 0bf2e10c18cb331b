package intake_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// lateStore answers no append and carries it out after delay.
type lateStore struct {
	*serialStore
	delay time.Duration
}

func (s *lateStore) AppendSpan(_ context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	time.AfterFunc(s.delay, func() {
		_, _, _ = s.serialStore.AppendSpan(context.Background(), p, producer, records...)
	})
	time.Sleep(callTimeout)
	return platform.Span{}, platform.StoreUnknown, errors.New("no answer")
}

func requestOf(partition int, r workload.Record) acceptance.Request {
	return acceptance.Request{Partition: partition, Job: r.Job, Cancels: r.Cancel}
}

// Guards against a job that is refused by way of the owner after another node's append of it had an
// unknown outcome, and that runs because the append is carried out seconds later.
func TestTheOwnersNodeHearsOfOpenAttemptsBeforeTheirCallerComesBack(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := &lateStore{serialStore: newSerialStore(time.Millisecond), delay: 5 * time.Second}
		c := newCluster(3, store, address(0))
		c.nodes[0].unavailable = errors.New("the store rejects this node")
		record := cancelRecord(1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		status, _ := c.nodes[1].router.Accept(ctx, 4, record)
		assert.Equal(t, platform.StoreUnknown, status)
		time.Sleep(time.Millisecond)
		assert.True(t, c.nodes[0].router.HasOpenAttempt(requestOf(4, record)))
		assert.True(t, c.nodes[1].router.HasOpenAttempt(requestOf(4, record)))
		assert.False(t, c.nodes[0].router.HasOpenAttempt(requestOf(4, cancelRecord(2))))
		time.Sleep(store.delay)
		store.mu.Lock()
		defer store.mu.Unlock()
		assert.True(t, store.keys["c/"+string(record.Job)], "the append was carried out late")
	})
}

// Guards against an open attempt that nobody remembers because the owner's node didn't answer when it
// was reported.
func TestOpenAttemptsAreReportedOnceTheOwnersNodeAnswers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := &lateStore{serialStore: newSerialStore(time.Millisecond), delay: time.Second}
		c := newCluster(2, store, address(0))
		c.nodes[0].frozen.Store(true)
		record := cancelRecord(1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		status, _ := c.nodes[1].router.Accept(ctx, 4, record)
		assert.Equal(t, platform.StoreUnknown, status)
		time.Sleep(3 * time.Second)
		assert.False(t, c.nodes[0].router.HasOpenAttempt(requestOf(4, record)))
		c.nodes[0].frozen.Store(false)
		time.Sleep(time.Second)
		assert.True(t, c.nodes[0].router.HasOpenAttempt(requestOf(4, record)))
	})
}

// Guards against refusals while the record of the same job is in flight at the owner's node.
func TestARecordInFlightIsAnOpenAttempt(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := newCluster(2, newSerialStore(100*time.Millisecond), address(0))
		record := cancelRecord(1)
		stored := make(chan platform.StoreStatus)
		go func() {
			status, _ := c.nodes[1].router.Accept(t.Context(), 4, record)
			stored <- status
		}()
		time.Sleep(50 * time.Millisecond)
		assert.True(t, c.nodes[0].router.HasOpenAttempt(requestOf(4, record)))
		assert.Equal(t, platform.StoreOK, <-stored)
		assert.False(t, c.nodes[0].router.HasOpenAttempt(requestOf(4, record)))
	})
}

// Guards against refusals while a record is in flight at a node that stores it itself, because the owner's
// node can't reach the store, and that its caller has left.
func TestTheOwnersNodeHearsOfRecordsInFlightElsewhere(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := newCluster(2, newSerialStore(100*time.Millisecond), address(0))
		c.nodes[0].unavailable = errors.New("the store rejects this node")
		record := cancelRecord(1)
		ctx, leave := context.WithCancel(t.Context())
		go func() {
			time.Sleep(20 * time.Millisecond)
			assert.True(t, c.nodes[0].router.HasOpenAttempt(requestOf(4, record)))
			leave()
		}()
		status, _ := c.nodes[1].router.Accept(ctx, 4, record)
		assert.Equal(t, platform.StoreUnknown, status)
	})
}

// Guards against a second record, and a wait for the store, when a request arrives again at a node by
// which its record was stored; also while the store is away.
func TestARepeatedRequestIsNotStoredAgain(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := newSerialStore(4 * time.Millisecond)
		c := newCluster(3, store, address(0))
		submission := workload.Record{Job: "00000000000000aa", Submission: &workload.Submission{Workspace: "ward", Queue: "quick"}}
		accept := func(node int, r workload.Record) platform.StoreStatus {
			status, _ := c.nodes[node].router.Accept(t.Context(), 4, r)
			return status
		}
		assert.Equal(t, platform.StoreOK, accept(1, submission))
		for _, n := range c.nodes {
			n.unavailable = errors.New("the store is away")
		}
		began := time.Now()
		assert.Equal(t, platform.StoreOK, accept(1, submission), "the node that relayed it")
		c.nodes[0].unavailable = nil
		assert.Equal(t, platform.StoreOK, accept(2, submission), "another node, by way of the owner's")
		assert.Zero(t, time.Since(began))
		assert.Equal(t, 1, store.appends)

		ofAnother := workload.Record{Job: submission.Job, Submission: &workload.Submission{Workspace: "clinic", Queue: "quick"}}
		assert.Equal(t, platform.StoreOK, accept(2, ofAnother))
		assert.Equal(t, 2, store.appends, "another workspace's request is one of its own")
	})
}

// Guards against records that are refused for a second after the store's return, as the owner's node has
// answered before that it doesn't reach it.
func TestANodeThatReachesTheStoreAgainIsUsedAtOnce(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := newCluster(2, newSerialStore(time.Millisecond), address(0))
		for _, n := range c.nodes {
			n.unavailable = errors.New("the store is away")
		}
		accept := func() platform.StoreStatus {
			status, _ := c.nodes[1].router.Accept(t.Context(), 4, cancelRecord(1))
			return status
		}
		assert.Equal(t, platform.StoreRefused, accept())
		c.nodes[0].unavailable = nil
		assert.Equal(t, platform.StoreRefused, accept())
		c.nodes[1].router.EndBackoff(address(0))
		assert.Equal(t, platform.StoreOK, accept())
	})
}

// oneSilentOwner is a view in which the owner of partition 1 doesn't answer reports.
type oneSilentOwner struct {
	peerView
	reported chan time.Time // of reports for other partitions
}

func (v oneSilentOwner) ReportOpen(ctx context.Context, partition int, _ []acceptance.Request) error {
	if partition != 1 {
		v.reported <- time.Now()
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against reports to the owner of one partition that wait for the owner of another one that is
// lost, while the callers come back.
func TestALostOwnerDelaysNoReportsToOthers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := newCluster(2, newSerialStore(time.Millisecond), address(0))
		v := oneSilentOwner{peerView{c, address(1)}, make(chan time.Time, 1)}
		router := intake.New(c.nodes[1], v, hclog.NewNullLogger())
		serve := func(partition, n int) {
			router.Serve(t.Context(), intake.StoreRequest{Partition: partition, Record: cancelRecord(n)})
		}
		serve(1, 1)
		time.Sleep(time.Millisecond)
		began := time.Now()
		serve(2, 2)
		assert.Equal(t, began, <-v.reported)
	})
}

package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// laggingStore is a partition whose reads take some time and return a record at a time.
type laggingStore struct {
	memoryStore
	readTime time.Duration
	reads    int
	status   platform.StoreStatus
}

func (s *laggingStore) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error) {
	s.reads++
	batch, _, _ := s.memoryStore.Read(ctx, p, from, wait)
	if len(batch.Records) > 1 {
		batch.Records, batch.Next = batch.Records[:1], from+1
	}
	time.Sleep(s.readTime)
	if s.status != platform.StoreOK {
		return platform.Batch{}, s.status, errors.New("no answer")
	}
	return batch, platform.StoreOK, nil
}

func newLaggingOwner(t *testing.T) (*Owner, *laggingStore) {
	ownedUntil := time.Now().Add(time.Hour)
	o := newAnsweringOwner(t, &ownedUntil)
	store := &laggingStore{readTime: 4 * time.Millisecond, status: platform.StoreOK}
	o.logger = hclog.NewNullLogger()
	o.log = joblog.New(store, nil, joblog.JobsTopic, 0)
	t.Cleanup(func() { time.Sleep(2 * recheckPause) }) // for the goroutine of rechecks to end
	return o, store
}

func newSubmission(id workload.JobID) workload.Record {
	return workload.Record{Job: id, Submission: &workload.Submission{Service: "booking", Queue: "queue", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}}
}

// Guards against a job that counts as never accepted because its record is behind the tail, also if the
// read returns only a part of what is behind it.
func TestARecheckFindsAllRecordsBehindTheTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, store := newLaggingOwner(t)
		for _, id := range []workload.JobID{"0000000000000011", "0000000000000012", unknownJob} {
			store.put(t, newSubmission(id))
		}
		s, ok := o.JobAccepted(t.Context(), unknownJob)
		assert.True(t, ok && !s.Known, "the tail has not read it")
		assert.NoError(t, o.Recheck(t.Context()))
		s, ok = o.JobAccepted(t.Context(), unknownJob)
		assert.True(t, ok && s.Known)
	})
}

// Guards against a recheck that proves nothing because its read was sent before a record was
// acknowledged, and against a read of its own for each of many questions at a time.
func TestARecheckBeginsAfterTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, store := newLaggingOwner(t)
		first := make(chan error, 1)
		go func() { first <- o.Recheck(t.Context()) }()
		synctest.Wait() // the read is in flight
		store.put(t, newSubmission(unknownJob))
		later := make(chan error, 10)
		for range cap(later) {
			go func() { later <- o.Recheck(t.Context()) }()
		}
		assert.NoError(t, <-first)
		for range cap(later) {
			assert.NoError(t, <-later)
		}
		s, ok := o.JobAccepted(t.Context(), unknownJob)
		assert.True(t, ok && s.Known)
		assert.Equal(t, 2, store.reads)
	})
}

// Guards against a recheck that counts as done although the store gave no answer or has dropped records.
func TestARecheckFailsWithoutAnAnswer(t *testing.T) {
	for _, status := range []platform.StoreStatus{platform.StoreRefused, platform.StoreUnknown, platform.StoreDropped} {
		synctest.Test(t, func(t *testing.T) {
			o, store := newLaggingOwner(t)
			store.status = status
			assert.Error(t, o.Recheck(t.Context()), status.String())
		})
	}
}

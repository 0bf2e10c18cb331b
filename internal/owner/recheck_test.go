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
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
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

var testRequester = workload.Requester{Workspace: "ward", Queue: "queue"}

func newSubmission(id workload.JobID) workload.Record {
	return workload.Record{Job: id, Submission: &workload.Submission{Service: "booking", Workspace: testRequester.Workspace, Queue: testRequester.Queue, Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}}
}

// Guards against a job that counts as never accepted because its record is behind the tail, also if the
// read returns only a part of what is behind it.
func TestARecheckFindsAllRecordsBehindTheTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, store := newLaggingOwner(t)
		for _, id := range []workload.JobID{"0000000000000011", "0000000000000012", unknownJob} {
			store.put(t, newSubmission(id))
		}
		stands, ok := o.Stands(t.Context(), unknownJob, false, testRequester)
		assert.True(t, ok && !stands, "the tail has not read it")
		assert.NoError(t, o.Recheck(t.Context()))
		stands, ok = o.Stands(t.Context(), unknownJob, false, testRequester)
		assert.True(t, ok && stands)
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
		stands, ok := o.Stands(t.Context(), unknownJob, false, testRequester)
		assert.True(t, ok && stands)
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

// Guards against a workspace that learns from an answer that another workspace uses a job's ID, against an
// accepted job that counts as unknown in some states, and against a cancellation that is acknowledged
// because its job is known.
func TestOnlyItsRequesterIsToldThatAJobStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ownedUntil := time.Now() // what was accepted stays so without an ownership
		o := newAnsweringOwner(t, &ownedUntil)
		const wardJob, cancelledJob = workload.JobID("0000000000000021"), workload.JobID("0000000000000022")
		o.enqueue(t.Context(), func(c *scheduler.Core, now time.Time) {
			applyRecords(c, []workload.Record{newSubmission(wardJob), newSubmission(cancelledJob), {Job: cancelledJob, Cancel: true, CancelledBy: &testRequester}}, c.AddLoggedJob, now)
			c.RestoreProgress(cancelledJob, &workload.Progress{FinalState: workload.Cancelled})
		})
		for _, c := range []struct {
			job             workload.JobID
			cancels, stands bool
			by              workload.Requester
		}{
			{wardJob, false, true, testRequester},
			{wardJob, true, false, testRequester},
			{wardJob, false, false, workload.Requester{Workspace: "clinic", Queue: "queue"}},
			{cancelledJob, false, true, testRequester},
			{cancelledJob, true, true, testRequester},
			{cancelledJob, true, false, workload.Requester{Workspace: "clinic", Queue: "queue"}},
			{endedJob, false, true, workload.Requester{Queue: "queue"}},
			{unknownJob, false, false, testRequester},
		} {
			stands, ok := o.Stands(t.Context(), c.job, c.cancels, c.by)
			assert.True(t, ok)
			assert.Equal(t, c.stands, stands, "%+v", c)
		}
	})
}

// Guards against a job that counts as never accepted because its record lies behind a later owner's fence, where
// this owner applies nothing, and against a partition that counts as read up to there.
func TestARecheckFailsAtALaterOwnersRecord(t *testing.T) {
	for _, record := range []workload.Record{{Fence: &workload.Fence{Epoch: 1 << 40}}, {Takeover: &workload.Takeover{Epoch: 1 << 40}}} {
		synctest.Test(t, func(t *testing.T) {
			o, store := newLaggingOwner(t)
			store.put(t, record)
			store.put(t, newSubmission(unknownJob))
			assert.Error(t, o.Recheck(t.Context()))
		})
	}
}

// Guards against jobs that wait for the tail although a recheck has read up to them.
func TestJobsThatARecheckHasReadAreOrdered(t *testing.T) {
	core := scheduler.New(scheduler.Settings{Epoch: 7}, time.Unix(0, 0), nil, false)
	core.SetLogEnd(3)
	job := newSubmission(unknownJob)
	job.Offset = 4
	assert.True(t, applyRead(core, []workload.Record{job}, 4, 5, time.Unix(0, 0)))
	assert.True(t, core.HasUnorderedJobs(), "the record at 3 is unknown")
	assert.True(t, applyRead(core, nil, 3, 4, time.Unix(0, 0)))
	assert.False(t, core.HasUnorderedJobs())
}

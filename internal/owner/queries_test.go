package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Jobs of the core behind newAnsweringOwner.
const (
	waitingJob = workload.JobID("0000000000000001")
	endedJob   = workload.JobID("0000000000000002")
	unknownJob = workload.JobID("0000000000000003")
)

// newAnsweringOwner returns an owner that answers queries until the test ends. *ownedUntil
// is the result of Deps.OwnedUntil.
func newAnsweringOwner(t *testing.T, ownedUntil *time.Time) *Owner {
	o := &Owner{inbox: make(chan event, inboxSize), loaded: make(chan struct{})}
	o.deps.OwnedUntil = func(int) time.Time { return *ownedUntil }
	o.lastReadSentAt = time.Now()
	close(o.loaded)
	core := scheduler.New(scheduler.Settings{Epoch: 1, JobRetention: time.Minute}, time.Now(), nil, false)
	sub := &workload.Submission{Service: "booking", Queue: "queue", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}
	core.AddJob(waitingJob, sub)
	core.AddJob(endedJob, sub)
	core.RestoreProgress(endedJob, &workload.Progress{FinalState: workload.Completed})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-ctx.Done():
				return
			case e := <-o.inbox:
				e.apply(core, time.Now())
			}
		}
	}()
	return o
}

// A caller saw a job as completed and 0.04 s later as pending: the process of an earlier
// owner was paused for 3 s, another node completed the job, and the earlier owner answered
// from its old state until its next join. An owner must answer only while its membership
// can't have lapsed; final states never change and may always be reported.
func TestOnlyFinalStatesAreReportedOnceMembershipMayHaveLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ownedUntil := time.Now().Add(time.Second)
		o := newAnsweringOwner(t, &ownedUntil)
		jobState := func(id workload.JobID) (JobStatus, bool) { return o.State(t.Context(), id) }

		s, ok := jobState(waitingJob)
		assert.True(t, ok)
		assert.Equal(t, workload.Pending, s.State)
		s, ok = jobState(unknownJob)
		assert.True(t, ok)
		assert.False(t, s.Known)

		time.Sleep(time.Second)
		_, ok = jobState(waitingJob)
		assert.False(t, ok, "another owner may have changed the state")
		_, ok = jobState(unknownJob)
		assert.False(t, ok, "another owner may know the job")
		s, ok = jobState(endedJob)
		assert.True(t, ok)
		assert.Equal(t, workload.Completed, s.State)

		ownedUntil = time.Now().Add(time.Second)
		_, ok = jobState(waitingJob)
		assert.True(t, ok, "the membership is confirmed again")
	})
}

// Maintenance of a VM cut runs off: an owner that was paused reported the VM's worker as
// drained after another owner had started tasks there.
func TestNoWorkerIsReportedDrainedOnceMembershipMayHaveLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ownedUntil := time.Now().Add(time.Second)
		o := newAnsweringOwner(t, &ownedUntil)
		drainStates, ok := o.DrainWorkers(t.Context(), []string{"w-1", "w-2"})
		assert.True(t, ok)
		assert.Len(t, drainStates, 2)
		assert.NotContains(t, drainStates, workload.NotDrained, "unknown workers run nothing")
		time.Sleep(time.Second)
		_, ok = o.DrainWorkers(t.Context(), []string{"w-1", "w-2"})
		assert.False(t, ok)
	})
}

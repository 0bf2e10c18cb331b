package scheduler_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A rack of workers goes dark and the owner is lost without a handover. Nobody can tell what runs on the
// dark workers until their leases have expired, 4.9 s after the takeover. Jobs submitted meanwhile fit on
// the other workers and must not wait for that.
func TestNewJobsStartBesideDarkWorkersAfterATakeover(t *testing.T) {
	for _, c := range []struct {
		workers, dark int
		interval      time.Duration // between two jobs, for a load of about a quarter
	}{{48, 11, 100 * time.Millisecond}, {12, 1, 400 * time.Millisecond}, {1000, 12, 10 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.dark, " of ", c.workers), func(t *testing.T) {
			w := newWorld(1, faults{})
			for i := range c.workers {
				w.addWorker("worker-"+strconv.Itoa(1000+i), workload.Resources{CPU: 32000, MemoryMB: 64000})
			}
			w.takeOver()
			for at := time.Second; at < 9*time.Second; at += c.interval {
				w.after(at, func() { w.submit(w.randomLookupSpec(), "quick") })
			}
			w.after(3*time.Second, func() {
				for i := range c.dark {
					w.workers["worker-"+strconv.Itoa(1000+i)].partitioned = true
				}
			})
			w.after(3500*time.Millisecond, func() { w.killOwner(500 * time.Millisecond) })
			w.runUntil(20 * time.Second)
			require.Empty(t, w.violations)

			recordedAt := w.owner.takeoverStoredAt
			var waits []time.Duration
			for _, j := range w.jobs {
				submittedAt := time.UnixMilli(j.submission.AcceptedAtMS)
				if submittedAt.After(recordedAt) && submittedAt.Before(recordedAt.Add(4*time.Second)) {
					require.False(t, j.firstOrderedAt.IsZero(), "job %s never starts", j.id)
					waits = append(waits, j.firstOrderedAt.Sub(submittedAt))
				}
			}
			require.GreaterOrEqual(t, len(waits), int(3*time.Second/c.interval))
			slices.Sort(waits)
			assert.Less(t, waits[len(waits)-1], 500*time.Millisecond)
			t.Log(len(waits), "jobs, half start within", waits[len(waits)/2], "all within", waits[len(waits)-1])
		})
	}
}

// fencedRig returns a rig whose owner has fenced the partition at offset 9 and has read up to 10. The
// worker w-1 has answered, w-dark has not.
func fencedRig(t *testing.T, earlierOwnersInLogOrder bool) *rig {
	r := newRig(t)
	settings := testSettings(r.epoch)
	settings.EarlierOwnersInLogOrder = earlierOwnersInLogOrder
	r.core = scheduler.New(settings, r.now, []string{"w-dark"}, false)
	r.core.SetConfig(testConfig)
	r.core.SetLogEnd(10)
	r.core.HandleFenceRecord(r.epoch, 9)
	r.syncWorkers("w-1")
	return r
}

// Jobs are stored while the new owner reads the partition and waits for the list of workers. Those behind
// its fence must not wait for dark workers, but one that its snapshot has may have been stored before.
func TestJobsBehindTheFenceAreNew(t *testing.T) {
	spec := workload.Spec{Payload: "work", Steps: []workload.Step{batchStep(1, 1000)}}
	r := fencedRig(t, true)
	r.core.AddSnapshotJob("0000000000000001", &workload.Submission{Queue: "quick", Service: "service", Spec: spec}, 8)
	r.core.AddSnapshotJob("0000000000000002", &workload.Submission{Queue: "quick", Service: "service", Spec: spec}, 10)
	r.addLogged("0000000000000003", 11)
	r.core.ExtendLog(10, 12)
	starts := r.step(30 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, workload.JobID("0000000000000003"), starts[0].Start.Task.Job)
	assert.Equal(t, 2, r.core.JobsWaitingForWorkers(r.now))
}

// Earlier owners of a version that starts jobs out of order may have started any job.
func TestNewJobsWaitForDarkWorkersOfOwnersOutOfOrder(t *testing.T) {
	r := fencedRig(t, false)
	r.addLogged("0000000000000001", 10)
	r.core.ExtendLog(10, 11)
	assert.Empty(t, r.step(30*time.Millisecond).Starts)
	assert.Equal(t, 1, r.core.JobsWaitingForWorkers(r.now))
}

// Guards against a VM that is moved while its tasks run: its worker has no registry entry and no list has
// named it, and it passed for gone.
func TestWorkersThatNoListNamesAreNotDrained(t *testing.T) {
	r := newRig(t)
	r.core = scheduler.New(testSettings(r.epoch), r.now, nil, true)
	r.core.SetConfig(testConfig)
	r.syncWorkers("w-1")
	assert.Equal(t, workload.NotDrained, r.core.DrainWorker("w-cut", r.now))
	r.core.SetUnresolvedWorkers([]scheduler.UnresolvedWorker{{ID: "w-1"}}, true)
	assert.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-cut", r.now))
	assert.Zero(t, r.core.JobsWaitingForWorkers(r.now), "w-1 has answered before it was listed")
}

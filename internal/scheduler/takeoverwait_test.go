package scheduler_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// Earlier owners of a version that starts jobs out of order may have started any job.
func TestNewJobsWaitForDarkWorkersOfOwnersOutOfOrder(t *testing.T) {
	r := newRig(t, "w-dark")
	r.core.SetLogEnd(10)
	r.core.HandleTakeoverRecord(r.epoch, 10)
	r.core.ExtendLog(10, 11)
	r.addLogged("0000000000000001", 11)
	r.core.ExtendLog(11, 12)
	assert.Empty(t, r.syncWorkers("w-1"))
	assert.Equal(t, 1, r.core.JobsWaitingForWorkers(r.now))
}

package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a lease that outlives what owners reckon: a worker that was idle for
// three minutes and whose clock is slow would take its first lease for one of seconds
// more.
func TestLeaseOnAWorkerThatWasIdleIsNoLongerThanReckoned(t *testing.T) {
	const idleTime = 3 * time.Minute
	w := newWorld(1, faults{})
	room := workload.Resources{CPU: 32000, MemoryMB: 64000}
	idle := w.addWorker("worker-0", room)
	idle.speed = 0.98
	w.takeOver()
	w.after(idleTime, func() {
		w.submit(workload.Spec{Steps: []workload.Step{{Count: 1, Need: workload.Resources{CPU: 1000, MemoryMB: 1000}, Lasting: true}}}, "quick")
	})
	w.run(idleTime + 200*time.Millisecond)
	require.Len(t, idle.runs, 1)
	idle.dark = true
	idle.unregister()
	other := w.addWorker("worker-1", room)
	w.run(idleTime + 10*time.Second)
	require.Empty(t, w.broken)
	require.Len(t, other.runs, 1, "its lease is over on every clock")
}

// Guards against the time of an idle worker being reckoned on an answer that grows ever
// older: its first lease would get shorter and shorter, and be refused in the end.
func TestIdleWorkerIsPolledForItsTime(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	polls := 0
	for range 250 {
		for range r.step(100 * time.Millisecond).Holds {
			polls++
			r.held("w-1", r.now, workload.Held{})
		}
	}
	require.Equal(t, 2, polls, "in 25 s")
}

// Guards against a takeover that waits no longer for a worker whose entry is gone: it may
// be cut off from the store alone, and run what an earlier owner started.
func TestTakeoverWaitsForAWorkerThatIsListedNoMore(t *testing.T) {
	r := newRig(t, "w-1", "w-2")
	r.workers("w-1", "w-2")
	r.step(0)
	r.held("w-2", r.now, workload.Held{})
	r.submit("0000000000000001", batch(1, 1000))
	r.workers("w-2")
	began := r.now
	var starts []scheduler.StartOrder
	for len(starts) == 0 && r.now.Sub(began) < 10*time.Second {
		orders := r.step(50 * time.Millisecond)
		starts = orders.Starts
		for _, h := range orders.Holds {
			if h.Worker.ID == "w-1" {
				r.unanswered("w-1")
			}
		}
	}
	require.NotEmpty(t, starts)
	require.GreaterOrEqual(t, r.now.Sub(began), testLease, "a lease that the earlier owner gave may last as long")
}

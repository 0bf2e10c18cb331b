package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a job of no fault being given up as its worker restarts soon after a change
// of owners: the new owner took the run, a second old, for one that had just begun when it
// heard of it, and the crash for one at the task's start.
func TestCrashUnderAnInheritedRunIsNoEarlyOne(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const inherited = int64(3<<16 + 2)
	key := workload.TaskKey{Job: job}
	for _, c := range []struct {
		name string
		tell func(next *rig) // how the new owner hears of the run
	}{
		{"handed over", func(next *rig) {
			left := workload.LeftRun{Worker: "w-1", Task: key.String(), Run: inherited, Born: firstBorn, Confirmed: true}
			next.core.Inherit(&workload.Handover{Epoch: next.epoch - 1, Runs: []workload.LeftRun{left}}, next.now)
			next.entry("w-1", firstBorn)
		}},
		{"listed", func(next *rig) {
			next.entry("w-1", firstBorn)
			h, _ := next.look("w-1")
			next.answer(h, firstBorn, workload.Held{Running: []workload.RunState{{Task: key, Run: inherited}}})
		}},
	} {
		before := workload.Crash{Worker: "w-0", Address: "w-0", Run: inherited - 1, AtMS: epochStart.UnixMilli() - 1000, AgeMS: 100, Likely: true, Sole: true}
		next := newIncarnationRig(t).succeed(job, &workload.Progress{Begun: true, Crashes: map[string][]workload.Crash{"0.0.0": {before}}})
		c.tell(next)
		for next.core.Counts.Crashes == 0 {
			h, _ := next.look("w-1")
			next.answer(h, nextBorn, workload.Held{})
		}
		next.step(30 * time.Millisecond)
		require.Equal(t, 1, next.core.Counts.Crashes, c.name)
		state, _ := next.core.State(job)
		assert.Equal(t, workload.Running, state, c.name)
	}
}

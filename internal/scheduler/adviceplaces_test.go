package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against runs that are stopped for an urgent task on workers that may not run it.
func TestPreemptionStopsRunsOnApprovedWorkersOnly(t *testing.T) {
	r := newRig(t)
	r.core.SetConfig(adviceConfig())
	r.syncWorkers("w-1", "w-2")
	r.submitToQueue("slow", "0000000000000001", checkpointedStep(8, 2000))
	workerByTask := map[workload.TaskKey]string{}
	for _, s := range r.step(20 * time.Millisecond).Starts {
		r.answerStart(s, workload.WorkerOK)
		workerByTask[s.Start.Task] = s.Worker.ID
	}
	require.Len(t, workerByTask, 8)
	urgent := batchStep(1, 2000)
	urgent.EstimateMS = 5000
	r.submitToQueue("advised", "0000000000000002", urgent)
	var stopped []string
	for range 20 {
		for _, s := range r.step(50 * time.Millisecond).Stops {
			stopped = append(stopped, workerByTask[s.Task])
		}
		r.answerAdvice("w-2")
	}
	assert.Equal(t, []string{"w-2"}, stopped)
}

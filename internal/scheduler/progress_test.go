package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// storeRecordBytes is the store's limit of a record.
const storeRecordBytes = 262144

// largestSpec returns a job of as many steps and tasks as are accepted: 10,000 occurrences of 10 steps, due one
// at a time.
func largestSpec() workload.Spec {
	spec := workload.Spec{Payload: "work", Repeat: 10_000, StartAtMS: historyStart.UnixMilli(), IntervalMS: 300_000}
	for i := range 10 {
		s := batchStep(1, 100)
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

// Guards against a service that stands still since the progress of one job is larger than a record of the store:
// each owner of its partition stepped down when the store refused it.
func TestProgressOfTheLargestJobFitsIntoARecord(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	spec := largestSpec()
	require.NoError(t, spec.Validate())
	r := newRig(t)
	r.core.AddJob(job, &workload.Submission{Queue: "quick", Service: "service", Spec: spec})
	starts := r.syncWorkers("w-1")
	require.Len(t, starts, 1)
	r.answerStart(starts[0], workload.WorkerOK)
	r.answerPoll("w-1", r.now, workload.PollReport{Exited: []workload.RunExit{{Sequence: 1, Task: starts[0].Start.Task, Run: starts[0].Start.Run, Reason: workload.ExitDone}}})
	_, progress := r.stepAndStore(30 * time.Millisecond)
	require.NotNil(t, progress)
	_, value, err := workload.Record{Job: job, Progress: progress}.Encode()
	require.NoError(t, err)
	assert.Less(t, len(value), storeRecordBytes)
	assert.LessOrEqual(t, len(value), spec.MaxProgressBytes())

	next := newRig(t)
	next.core.RestoreProgress(job, progress)
	next.core.AddJob(job, &workload.Submission{Queue: "quick", Service: "service", Spec: spec})
	starts = next.syncWorkers("w-1")
	require.Len(t, starts, 1)
	assert.Equal(t, 1, starts[0].Start.Task.Step, "the first step is done")
}

package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A replaced owner reads a batch with its successor's takeover in the middle. If it took in the jobs
// behind the takeover, it would start them beside its successor.
func TestRecordsBehindALaterTakeoverAreNotApplied(t *testing.T) {
	core := scheduler.New(scheduler.Settings{Epoch: 7}, time.Unix(0, 0), nil, false)
	sub := &workload.Submission{Service: "booking", Queue: "queue", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}
	applyRecords(core, []workload.Record{
		{Offset: 0, Takeover: &workload.Takeover{Epoch: 7}},
		{Offset: 1, Job: waitingJob, Submission: sub},
		{Offset: 2, Takeover: &workload.Takeover{Epoch: 9}},
		{Offset: 3, Job: endedJob, Submission: sub},
	}, time.Unix(0, 0))
	_, known := core.JobState(waitingJob)
	assert.True(t, known)
	_, known = core.JobState(endedJob)
	assert.False(t, known)
	assert.NotEmpty(t, core.StepDownReason())
}

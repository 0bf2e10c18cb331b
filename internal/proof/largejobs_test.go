package proof_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a service that stands still because the progress of one caller's schedule is larger than a record
// of the store: each owner of its partition stepped down at the refusal, three times a second.
func TestALargeScheduleStopsNoOtherJob(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 3)
	const steps, occurrences = 11, 8640
	schedule := testkit.Chain(100*time.Millisecond, make([]int, steps)...)
	for i := range schedule.Steps {
		schedule.Steps[i].Count = 1
	}
	schedule.Repeat, schedule.StartAtMS, schedule.IntervalMS = occurrences, time.Now().UnixMilli(), (5 * time.Minute).Milliseconds()
	id := c.NewID()
	c.Submit("booking", id, schedule)
	c.Until("the first occurrence is done", func() bool { return c.Platform.DoneTasksOf(id) == steps })
	jobs := map[workload.JobID]string{}
	for range 10 {
		job := c.NewID()
		c.Submit("booking", job, testkit.Chain(50*time.Millisecond, 2))
		jobs[job] = "booking"
	}
	awaitCompleted(c, jobs)
	for _, n := range c.Nodes {
		n.Kill()
	}
	for _, n := range c.Nodes {
		n.Start()
	}
	c.AwaitReady()
	c.AwaitState("booking", id, workload.Running)
	assert.Equal(t, steps, c.Platform.DoneTasksOf(id))
	assert.Empty(t, c.Platform.Violations())
}

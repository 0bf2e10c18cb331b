package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A step must not start before all tasks of the steps that it depends on are done.
func TestStepsWaitForTheirDependencies(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	second := batchStep(1, 1000)
	second.DependsOn = []int{0}
	r.submit("0000000000000001", batchStep(2, 1000), second)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		r.answerStart(s, workload.WorkerOK)
	}
	firstExited := exitReport(1, starts[0], workload.ExitDone)
	firstExited.Running = []workload.ListedRun{{Task: starts[1].Start.Task, Run: starts[1].Start.Run, SpeedPercent: 100}}
	r.answerPoll("w-1", r.now, firstExited)
	assert.Empty(t, r.step(100*time.Millisecond).Starts)
	r.answerPoll("w-1", r.now, exitReport(2, starts[1], workload.ExitDone))
	dependentStarts := r.step(100 * time.Millisecond).Starts
	require.Len(t, dependentStarts, 1)
	assert.Equal(t, 1, dependentStarts[0].Start.Task.Step)
}

// A gang must start with all members under one run number, or not at all: members that start alone
// occupy capacity without doing any work.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	gang := batchStep(3, 3000)
	gang.Gang = true
	r.submit("0000000000000001", gang)
	assert.Empty(t, r.step(20*time.Millisecond).Starts, "only two of three members fit")
	starts := r.syncWorkers("w-1", "w-2")
	require.Len(t, starts, 3)
	assert.Equal(t, starts[0].Start.Run, starts[1].Start.Run)
	assert.Equal(t, starts[0].Start.Run, starts[2].Start.Run)
}

// An occurrence must not start before its due time.
func TestOccurrencesDoNotStartBeforeTheyAreDue(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	due := r.now.Add(2 * time.Second)
	r.core.AddJob("0000000000000001", &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: r.now.UnixMilli(), Spec: workload.Spec{
		Steps: []workload.Step{batchStep(1, 1000)}, Repeat: 2, StartAtMS: due.UnixMilli(), IntervalMS: 1000,
	}})
	var startedAt []time.Time
	for r.now.Before(due.Add(3 * time.Second)) {
		for range r.step(100 * time.Millisecond).Starts {
			startedAt = append(startedAt, r.now)
		}
		r.answerPoll("w-1", r.now, workload.PollReport{})
	}
	require.Len(t, startedAt, 2)
	assert.False(t, startedAt[0].Before(due))
	assert.False(t, startedAt[1].Before(due.Add(time.Second)))
}

// The tasks of a queue with advice may run only on some workers. The owner must request advice before
// it starts them, each start must carry the worker's ticket, and workers without a ticket must get no
// start.
func TestAdviceIsRequestedBeforeAStart(t *testing.T) {
	r := newRig(t)
	config := *testConfig
	config.Version = 2
	config.Queues = []workload.Queue{{Name: "quick", Service: "service", MaxAttempts: 2, Stretch: 2, Objective: time.Second, Advice: &workload.Advice{TicketValidity: 3 * time.Second}}}
	r.core.SetConfig(&config)
	r.syncWorkers("w-1", "w-2")
	r.submit("0000000000000001", batchStep(2, 1000))
	orders := r.step(20 * time.Millisecond)
	assert.Empty(t, orders.Starts)
	require.Len(t, orders.AdviceRequests, 1)
	assert.Empty(t, r.step(20*time.Millisecond).AdviceRequests, "one request at a time")
	r.core.HandleAdviceResult(scheduler.AdviceResult{Order: orders.AdviceRequests[0], SentAt: r.now, OK: true, ValidFor: 3 * time.Second, Tickets: map[string]string{"w-2": "ticket"}}, r.now)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		assert.Equal(t, "w-2", s.Worker.ID)
		assert.Equal(t, "ticket", s.Start.Ticket)
	}
}

// Only occurrences that are due now or within seconds may count as demand. If all occurrences of a job
// counted, the pool of its service would get too many VMs.
func TestOnlyOccurrencesDueSoonCountAsDemand(t *testing.T) {
	r := newRig(t)
	r.core.AddJob("0000000000000001", &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: r.now.UnixMilli(), Spec: workload.Spec{
		Steps: []workload.Step{batchStep(2, 1000)}, Repeat: 8, StartAtMS: r.now.UnixMilli(), IntervalMS: 2000,
	}})
	loads := r.core.ServiceLoads(r.now)
	require.Len(t, loads, 1)
	assert.Zero(t, loads[0].ArrivedWork.CoreMS)
	assert.Equal(t, 2000, loads[0].PendingDemand.CPU)
	assert.Equal(t, 2000, loads[0].UpcomingDemand.CPU)
}

// An occurrence long past its deadline and a new job compete for the capacity for one task. The job
// must start first, because the occurrence can't meet its deadline any more.
func TestJobOnTimeStartsBeforeAnOverdueOccurrence(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.core.AddJob("0000000000000001", &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: r.now.UnixMilli(), Spec: workload.Spec{
		Steps: []workload.Step{batchStep(1, 8000)}, Repeat: 1, StartAtMS: r.now.Add(-15 * time.Second).UnixMilli(), IntervalMS: 1000,
	}})
	job := r.submit("0000000000000002", batchStep(1, 8000))
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, job, starts[0].Start.Task.Job)
}

// A task needs a label that no worker of its service has, or more capacity than any worker has.
// That must be reported to the fleet owner, or it would never add a suitable VM. Tasks that only wait
// for free capacity must not be reported.
func TestUnmetRequirementsAreReported(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	labelled := batchStep(2, 1000)
	labelled.RequiredLabel = "b"
	r.submit("0000000000000001", labelled)
	r.submit("0000000000000002", batchStep(1, 9000))
	r.submit("0000000000000003", batchStep(9, 3000))
	rackBound := batchStep(2, 8000)
	rackBound.DataRack = "rack-7"
	r.submit("0000000000000004", rackBound)
	r.step(20 * time.Millisecond)
	loads := r.core.ServiceLoads(r.now)
	require.Len(t, loads, 1)
	assert.Equal(t, []workload.UnmetRequirement{
		{Label: "b", Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, NoFeasibleWorker: true},
		{Resources: workload.Resources{CPU: 9000, MemoryMB: 100}, NoFeasibleWorker: true},
	}, loads[0].UnmetRequirements)
	assert.Equal(t, 2000, loads[0].DemandByLabel["b"].CPU)
	assert.Equal(t, 8000, loads[0].DemandByLabel["rack-7"].CPU)
}

// Guards against a pool that gets VMs of other pools for tasks that none of them can run.
func TestTasksLargerThanAnyWorkerAreNoDemand(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	tooLarge := batchStep(4, 9000)
	tooLarge.LongRunning = true
	r.submit("0000000000000001", tooLarge)
	r.step(20 * time.Millisecond)
	load := r.core.ServiceLoads(r.now)[0]
	assert.Zero(t, load.PendingDemand)
	assert.Len(t, load.UnmetRequirements, 1)
	r.submit("0000000000000002", batchStep(1, 8000))
	assert.Equal(t, 8000, r.core.ServiceLoads(r.now)[0].PendingDemand.CPU)
}

// After a takeover no worker has answered yet. No unmet requirement may be reported then, as VMs would
// be moved needlessly.
func TestNoUnmetRequirementsBeforeWorkersAnswer(t *testing.T) {
	r := newRig(t)
	r.setWorkers("w-1")
	r.submit("0000000000000001", batchStep(1, 1000))
	loads := r.core.ServiceLoads(r.now)
	require.Len(t, loads, 1)
	assert.Empty(t, loads[0].UnmetRequirements)
}

// Tasks must run in the rack of their data while it has free capacity, and otherwise in other racks
// rather than wait.
func TestTasksRunNearTheirData(t *testing.T) {
	r := newRig(t)
	r.core.SetWorkers([]workload.Worker{
		{ID: "w-1", Service: "service", Address: "w-1", Labels: []string{"a", "rack-1"}, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}},
		{ID: "w-2", Service: "service", Address: "w-2", Labels: []string{"a", "rack-2"}, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}},
	}, r.now)
	r.step(0)
	r.answerPoll("w-1", r.now, workload.PollReport{})
	r.answerPoll("w-2", r.now, workload.PollReport{})
	preferringRack := batchStep(3, 3000)
	preferringRack.DataRack = "rack-2"
	r.submit("0000000000000001", preferringRack)
	startsByWorker := map[string]int{}
	for _, s := range r.step(20 * time.Millisecond).Starts {
		startsByWorker[s.Worker.ID]++
	}
	assert.Equal(t, map[string]int{"w-1": 1, "w-2": 2}, startsByWorker)
}

// Some jobs of a service require VMs with a label. Tasks without a required label must leave these VMs
// free while others have capacity, so that the next job that requires them starts immediately.
func TestUnconstrainedTasksLeaveLabelledWorkersFree(t *testing.T) {
	r := newRig(t)
	r.core.SetWorkers([]workload.Worker{
		{ID: "w-1", Service: "service", Address: "w-1", Labels: []string{"a", "rack-1"}, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}},
		{ID: "w-2", Service: "service", Address: "w-2", Labels: []string{"b", "rack-1"}, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}},
	}, r.now)
	r.step(0)
	r.answerPoll("w-1", r.now, workload.PollReport{})
	r.answerPoll("w-2", r.now, workload.PollReport{})
	labelled := batchStep(1, 1000)
	labelled.RequiredLabel = "a"
	labelledJob := r.submit("0000000000000001", labelled)
	unconstrained := batchStep(3, 2000)
	r.submit("0000000000000002", unconstrained)
	for _, s := range r.step(20 * time.Millisecond).Starts {
		if s.Start.Task.Job == labelledJob {
			assert.Equal(t, "w-1", s.Worker.ID)
		} else {
			assert.Equal(t, "w-2", s.Worker.ID)
		}
	}
}

// Two jobs have waited for 40 s for more capacity than any worker has free. Only one worker may be kept
// free for them, and a small job must start on the other. If a worker were kept free for each of
// them, nothing would start although there is free capacity.
func TestJobsThatWaitedLongDoNotReserveAllWorkers(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	r.submit("0000000000000001", batchStep(2, 7000))
	require.Len(t, r.step(20*time.Millisecond).Starts, 2)
	for _, id := range []string{"0000000000000002", "0000000000000003"} {
		r.core.AddJob(workload.JobID(id), &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: r.now.Add(-40 * time.Second).UnixMilli(), Spec: workload.Spec{Steps: []workload.Step{batchStep(1, 5000)}}})
	}
	assert.Empty(t, r.step(20*time.Millisecond).Starts)
	small := r.submit("0000000000000004", batchStep(1, 500))
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, small, starts[0].Start.Task.Job)
}

// Several jobs are overdue. The oldest must start first, however large it is, or it would wait forever
// if smaller jobs keep becoming overdue. The other overdue jobs must not start before a job that can
// still meet its deadline.
func TestOldestOverdueJobStartsFirst(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	for i, cpu := range []int{1000, 7000, 2000} {
		age := []time.Duration{40, 60, 50}[i] * time.Second
		r.core.AddJob(workload.JobID("000000000000000"+string(rune('1'+i))), &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: r.now.Add(-age).UnixMilli(), Spec: workload.Spec{Steps: []workload.Step{batchStep(1, cpu)}}})
	}
	onTime := r.submit("0000000000000004", batchStep(1, 1000))
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	assert.Equal(t, workload.JobID("0000000000000002"), starts[0].Start.Task.Job)
	assert.Equal(t, onTime, starts[1].Start.Task.Job)
}

package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a gang that waits for the expiry of its tickets beside idle workers: it holds one ticket, and requested
// none for workers that were busy at that moment.
func TestGangRequestsTicketsOfWorkersThatWereBusy(t *testing.T) {
	r := newRig(t)
	config := adviceConfig()
	r.core.SetConfig(config)
	r.syncWorkers("w-1", "w-2", "w-3")
	busy := r.startJob("0000000000000001", batchStep(2, 7000))
	gang := batchStep(2, 7000)
	gang.Gang = true
	r.submitToQueue("advised", "0000000000000002", gang)
	approveAll := func() {
		for _, request := range r.adviceRequests {
			tickets := map[string]string{}
			for _, id := range request.Workers {
				tickets[id] = "ticket"
			}
			r.core.HandleAdviceResult(scheduler.AdviceResult{Order: request, SentAt: r.now, OK: true, ValidFor: 30 * time.Second, Tickets: tickets}, r.now)
		}
		r.adviceRequests = nil
	}
	for range 10 {
		assert.Empty(t, r.step(50*time.Millisecond).Starts)
		approveAll()
	}
	for _, s := range busy {
		r.answerPoll(s.Worker.ID, r.now.Add(time.Millisecond), exitReport(1, s, workload.ExitDone))
	}
	var starts []scheduler.StartOrder
	for range 6 {
		starts = append(starts, r.step(50*time.Millisecond).Starts...)
		approveAll()
	}
	assert.Len(t, starts, 2)
}

// Guards against advice that is requested again and again for a gang that does not fit.
func TestGangThatDoesNotFitRenewsNoTickets(t *testing.T) {
	r := newRig(t)
	r.core.SetConfig(adviceConfig())
	r.syncWorkers("w-1", "w-2")
	gang := batchStep(3, 7000)
	gang.Gang = true
	r.submitToQueue("advised", "0000000000000001", gang)
	requests := 0
	for range 200 {
		r.step(50 * time.Millisecond)
		requests += len(r.adviceRequests)
		r.answerAdvice("w-1", "w-2")
	}
	assert.LessOrEqual(t, requests, 1)
}

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

// Guards against advice that is requested for tasks that wait for their workspace's cap.
func TestTasksBeyondTheirCapRequestNoTickets(t *testing.T) {
	r := newRig(t)
	config := adviceConfig()
	config.Workspaces = workload.NewWorkspaces()
	require.NoError(t, config.Workspaces.Add(workload.Workspace{Name: "ward", Cap: workload.Resources{CPU: 500, MemoryMB: 1000}}, []string{"key"}))
	r.core.SetConfig(config)
	r.syncWorkers("w-1", "w-2")
	gang := batchStep(2, 400)
	gang.Gang = true
	r.core.AddJob("0000000000000001", &workload.Submission{Queue: "advised", Service: "service", Workspace: "ward", AcceptedAtMS: r.now.UnixMilli(), Spec: workload.Spec{Steps: []workload.Step{gang}}})
	for range 20 {
		assert.Empty(t, r.step(50*time.Millisecond).Starts)
	}
	assert.Positive(t, r.core.Counts.CapBlockedSteps)
	assert.Empty(t, r.adviceRequests)
}

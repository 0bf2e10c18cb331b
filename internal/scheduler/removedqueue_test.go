package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// withoutQueues returns the test configuration, later, without queues.
func withoutQueues() *workload.Config {
	config := *testConfig
	config.Version += 10
	config.Queues = nil
	return &config
}

// Guards against a job that fails too early, or is started once too often, because its queue was removed while it
// runs.
func TestAJobKeepsItsAttemptsWhenItsQueueIsRemoved(t *testing.T) {
	for _, attempts := range []int{1, 2, 4} {
		r := newRig(t)
		r.core.SetConfig(withoutQueues())
		const job = workload.JobID("0000000000000001")
		r.core.AddJob(job, &workload.Submission{Queue: "gone", Service: "service", MaxAttempts: attempts, Spec: workload.Spec{Payload: "work", Steps: []workload.Step{batchStep(1, 1000)}}})
		starts, lastExit := r.syncWorkers("w-1", "w-2"), map[string]int64{}
		for n := 1; n <= attempts; n++ {
			require.Len(t, starts, 1, "%d of %d", n, attempts)
			r.answerStart(starts[0], workload.WorkerOK)
			lastExit[starts[0].Worker.ID]++
			r.answerPoll(starts[0].Worker.ID, r.now, exitReport(lastExit[starts[0].Worker.ID], starts[0], workload.ExitFailed))
			starts = r.stepFor(2 * time.Second).Starts
		}
		assert.Empty(t, starts)
		state, _ := r.core.JobState(job)
		assert.Equal(t, workload.Failed, state, "%d", attempts)
	}
}

// adviseAll answers a request for advice with a ticket for each worker, a time after it was sent.
func (r *rig) adviseAll(order scheduler.AdviceOrder, after, validFor time.Duration) {
	sentAt := r.now
	r.now = r.now.Add(after)
	tickets := map[string]string{}
	for _, w := range order.Workers {
		tickets[w] = "ticket"
	}
	r.core.HandleAdviceResult(scheduler.AdviceResult{Order: order, SentAt: sentAt, OK: true, ValidFor: validFor, Tickets: tickets}, r.now)
}

// newAdvisedRig returns a rig with a job that needs advice, and the first request for it.
func newAdvisedRig(t *testing.T) (*rig, scheduler.AdviceOrder) {
	r := newRig(t)
	config := *testConfig
	config.Version = 2
	config.Queues = []workload.Queue{{Name: "quick", Service: "service", Advice: &workload.Advice{TicketValidity: time.Second}}}
	r.core.SetConfig(&config)
	r.syncWorkers("w-1")
	r.submit("0000000000000001", batchStep(1, 1000))
	requests := r.step(20 * time.Millisecond).AdviceRequests
	require.Len(t, requests, 1)
	return r, requests[0]
}

// Guards against tasks that never start because their tickets have expired since their queue was removed.
func TestTicketsAreRenewedWhenTheQueueIsRemoved(t *testing.T) {
	r, request := newAdvisedRig(t)
	r.core.SetConfig(withoutQueues())
	r.core.HandleAdviceResult(scheduler.AdviceResult{Order: request, SentAt: r.now, OK: true, ValidFor: 100 * time.Millisecond}, r.now)
	var renewed []scheduler.AdviceOrder
	for range 20 {
		orders := r.step(100 * time.Millisecond)
		require.Empty(t, orders.Starts)
		renewed = append(renewed, orders.AdviceRequests...)
	}
	require.Empty(t, renewed, "no worker may run it")

	r, request = newAdvisedRig(t)
	r.adviseAll(request, 10*time.Millisecond, 200*time.Millisecond) // expires before it is used
	r.core.SetConfig(withoutQueues())
	renewed = r.step(time.Second).AdviceRequests
	require.Len(t, renewed, 1)
	r.adviseAll(renewed[0], 10*time.Millisecond, 3*time.Second)
	assert.Len(t, r.step(20*time.Millisecond).Starts, 1)
}

// Guards against tasks that never start because each answer to a request for tickets takes longer than the tickets
// are valid, counted from the request.
func TestTicketsOfALateAnswerAreTried(t *testing.T) {
	r, request := newAdvisedRig(t)
	r.adviseAll(request, 1500*time.Millisecond, time.Second)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, "ticket", starts[0].Start.Ticket)
}

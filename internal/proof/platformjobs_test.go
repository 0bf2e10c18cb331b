package proof_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// smallPlatform returns the options of a platform with two services and a spare pool.
func smallPlatform() standin.Options {
	return standin.Options{
		Services:   []string{"booking", "returns", "spare"},
		Standby:    "spare",
		PerService: 3,
		Capacity:   workload.Resources{CPU: 16000, MemoryMB: 32000},
		Partitions: 4,
	}
}

// submitJobs submits n jobs of two steps, alternately to both services, and returns the
// service of each.
func submitJobs(c *testkit.JobCluster, n int, taskDuration time.Duration) map[workload.JobID]string {
	jobs := map[workload.JobID]string{}
	for i := range n {
		id := c.NewID()
		service := []string{"booking", "returns"}[i%2]
		c.Submit(service, id, testkit.Chain(taskDuration, 3, 2))
		jobs[id] = service
	}
	return jobs
}

func awaitCompleted(c *testkit.JobCluster, jobs map[workload.JobID]string) {
	for id, service := range jobs {
		c.AwaitState(service, id, workload.Completed)
	}
}

// Jobs are submitted to all nodes while a maintenance wave takes every VM away once. Each job
// must complete, no task may run twice or be interrupted, at most two VMs may be away at once,
// and the wave must be published as completed.
func TestJobsRunThroughAWave(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 3)
	jobs := submitJobs(c, 10, 80*time.Millisecond)
	var vms []string
	for _, vm := range c.Platform.VMs() {
		vms = append(vms, vm.ID)
	}
	require.NoError(t, c.Platform.PublishWave(1, vms, 20*time.Second, 2))
	for id, service := range submitJobs(c, 20, 120*time.Millisecond) {
		jobs[id] = service
	}
	awaitCompleted(c, jobs)
	c.Until("the wave is completed", func() bool { return c.Platform.IsWaveCompleted(1) })
	assert.Empty(t, c.Platform.Violations())
	assert.Equal(t, len(jobs)*5, c.Platform.DoneTasks())
}

// A job crashes each worker that starts its task, and with the worker all its other tasks.
// Connections to the worker break and are refused until it returns under another ID. The job
// must fail after two or three crashes, with a log entry; all other jobs must complete.
func TestJobThatCrashesItsWorkersFails(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 2)
	jobs := submitJobs(c, 8, 200*time.Millisecond)
	id := c.NewID()
	c.Submit("booking", id, workload.Spec{Payload: standin.CrashPayload, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPU: 500, MemoryMB: 500}, EstimateMS: 100}}})
	for other, service := range submitJobs(c, 8, 200*time.Millisecond) {
		jobs[other] = service
	}
	c.AwaitState("booking", id, workload.Failed)
	awaitCompleted(c, jobs)
	crashes := c.Platform.CrashesByTask(string(id) + ".0.0.0")
	assert.GreaterOrEqual(t, crashes, 2)
	assert.LessOrEqual(t, crashes, 3)
	assert.Empty(t, c.Platform.Violations())
	assert.Contains(t, c.Nodes[0].Log()+c.Nodes[1].Log(), `"@message":"given-up"`)
}

// Nodes are killed one after another while jobs run, each after the previous one is ready again.
// Other nodes must take over the partitions of a killed node, and each job must complete once.
func TestOwnersKilledWhileJobsRun(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 3)
	jobs := map[workload.JobID]string{}
	for _, n := range c.Nodes {
		for id, service := range submitJobs(c, 8, 300*time.Millisecond) {
			jobs[id] = service
		}
		n.Kill()
		for id, service := range submitJobs(c, 4, 100*time.Millisecond) {
			jobs[id] = service
		}
		n.Start()
		c.AwaitReady()
	}
	awaitCompleted(c, jobs)
	assert.Empty(t, c.Platform.Violations())
}

// All nodes are killed at once right after they accepted jobs. The restarted processes must know
// these jobs and complete them.
func TestAllNodesKilledAtOnce(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 3)
	jobs := submitJobs(c, 8, 500*time.Millisecond)
	for _, n := range c.Nodes {
		n.Kill()
	}
	for _, n := range c.Nodes {
		n.Start()
	}
	c.AwaitReady()
	awaitCompleted(c, jobs)
	assert.Empty(t, c.Platform.Violations())
}

// A node gets SIGTERM while it serves callers and owns jobs. Its callers must get their answers,
// the process must exit without an error, and the jobs must complete.
func TestNodeShutsDownGracefully(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 2)
	jobs := submitJobs(c, 6, 400*time.Millisecond)
	c.Nodes[0].Terminate()
	id := c.NewID()
	status, body := c.Call(c.Nodes[0], http.MethodPost, standin.QueuePrefix("booking")+string(id), testkit.Body(t, testkit.Chain(50*time.Millisecond, 1)))
	assert.Equal(t, http.StatusOK, status, body)
	jobs[id] = "booking"
	require.NoError(t, c.Nodes[0].Wait())
	awaitCompleted(c, jobs)
	assert.Empty(t, c.Platform.Violations())
	assert.Contains(t, c.Nodes[0].Log(), `"@message":"stopped"`)
}

// A node that is shutting down gets SIGHUP while a call is still in progress. The default action
// of the signal would end the process at once; instead the caller must get its answer and the
// process must exit without an error.
func TestHangupWhileANodeStops(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 1)
	n := c.Nodes[0]
	c.Platform.Store.SetFault(standin.LoseWriteAnswers, "")
	id := c.NewID()
	answers := make(chan int, 1)
	go func() {
		status, _ := c.Call(n, http.MethodPost, standin.QueuePrefix("booking")+string(id), testkit.Body(t, testkit.Chain(50*time.Millisecond, 1)))
		answers <- status
	}()
	c.Until("the call waits for the store", func() bool { return c.Platform.Store.HasKey(joblog.JobsTopic, "s/"+string(id)) })
	n.Terminate()
	c.Until("the node has begun to stop", func() bool { return strings.Contains(n.Log(), "told to stop") || !n.Running() })
	n.Hangup()
	assert.Equal(t, http.StatusGatewayTimeout, <-answers)
	c.Platform.Store.SetFault(standin.NoStoreFault, "")
	require.NoError(t, n.Wait())
}

// A caller submits a job with the same ID to two nodes, as after a lost answer. Both calls must
// succeed and the tasks must run once.
func TestSameIDAtTwoNodes(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 2)
	id := c.NewID()
	path := standin.QueuePrefix("booking") + string(id)
	body := testkit.Body(t, testkit.Chain(100*time.Millisecond, 3))
	answers := make(chan int, len(c.Nodes))
	for _, n := range c.Nodes {
		go func() {
			status, _ := c.Call(n, http.MethodPost, path, body)
			answers <- status
		}()
	}
	for range c.Nodes {
		assert.Equal(t, http.StatusOK, <-answers)
	}
	c.AwaitState("booking", id, workload.Completed)
	assert.Equal(t, 3, c.Platform.DoneTasks())
	assert.Empty(t, c.Platform.Violations())
}

// Guards against refusals that promise that a job never runs while nobody can know, and against refusals of
// jobs that were accepted: the store carries out no calls for a while, first it answers 503, then it
// doesn't answer.
func TestNoJobIsRefusedFalselyWhileTheStoreIsUnavailable(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 2)
	running, chain := c.NewID(), testkit.Chain(300*time.Millisecond, 2, 2)
	c.Submit("booking", running, chain)
	c.AwaitState("booking", running, workload.Running)
	send := func(n *testkit.JobNode, service string, id workload.JobID, spec workload.Spec) int {
		status, _ := c.Call(n, http.MethodPost, standin.QueuePrefix(service)+string(id), testkit.Body(t, spec))
		return status
	}
	short := testkit.Chain(50*time.Millisecond, 1)
	var untaken []workload.JobID
	for _, fault := range []standin.StoreFault{standin.Busy, standin.Silent} {
		c.Platform.Store.SetFault(fault, "")
		c.Until("callers are told that the store is away", func() bool {
			id := c.NewID()
			untaken = append(untaken, id)
			status := send(c.Nodes[0], "returns", id, short)
			assert.NotEqual(t, http.StatusServiceUnavailable, status, "nobody can know that job %s was not accepted", id)
			return status == http.StatusGatewayTimeout
		})
		for _, n := range c.Nodes {
			assert.Equal(t, http.StatusOK, send(n, "booking", running, chain), "%s, fault %d: the job was accepted", n.Name, fault)
		}
		c.Platform.Store.SetFault(standin.NoStoreFault, "")
		c.AwaitReady()
	}
	c.AwaitState("booking", running, workload.Completed)
	for _, id := range untaken {
		c.Submit("returns", id, short)
		c.AwaitState("returns", id, workload.Completed)
	}
	assert.Equal(t, 4+len(untaken), c.Platform.DoneTasks(), "each task has run once")
	assert.Empty(t, c.Platform.Violations())
}

// The store carries writes out but its answers are lost. The caller must get 504, because the job
// may have been accepted, and not a refusal. When it retries with the same ID, the job must run
// once.
func TestLostAnswersOfTheStoreAreNoRefusals(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 2)
	c.Platform.Store.SetFault(standin.LoseWriteAnswers, "")
	id := c.NewID()
	path := standin.QueuePrefix("booking") + string(id)
	job := testkit.Chain(50*time.Millisecond, 2)
	status, _ := c.Call(c.Nodes[0], http.MethodPost, path, testkit.Body(t, job))
	assert.Equal(t, http.StatusGatewayTimeout, status)
	c.Platform.Store.SetFault(standin.NoStoreFault, "")
	c.AwaitReady()
	c.Submit("booking", id, job)
	c.AwaitState("booking", id, workload.Completed)
	assert.Equal(t, 2, c.Platform.DoneTasks())
	assert.Empty(t, c.Platform.Violations())
}

// One worker carries starts out two seconds late without answering, the next one loses all its
// answers, and the third is unreachable while its tasks run on. Every job must complete, and no
// task may run on two workers.
func TestWorkersThatAnswerLateOrNever(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 2)
	vms := c.Platform.VMs()
	jobs := submitJobs(c, 4, 100*time.Millisecond)
	for i, fault := range []standin.WorkerFault{standin.DelayStarts, standin.LoseAnswers, standin.Unreachable} {
		worker := vms[i].Worker
		if worker == nil {
			continue
		}
		worker.SetFault(fault)
		for id, service := range submitJobs(c, 6, 150*time.Millisecond) {
			jobs[id] = service
		}
		worker.SetFault(standin.NoWorkerFault)
	}
	awaitCompleted(c, jobs)
	assert.Empty(t, c.Platform.Violations())
}

// A long-running job must run until it is cancelled, also when one of its workers crashes.
func TestLongRunningJobRunsUntilItIsCancelled(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 2)
	id := c.NewID()
	c.Submit("booking", id, workload.Spec{Payload: standin.Payload(0), Steps: []workload.Step{{
		Count: 3, Resources: workload.Resources{CPU: 1000, MemoryMB: 500}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1,
	}}})
	c.Until("all tasks run", func() bool { return c.Platform.RunningTasksOf(id) == 3 })
	for _, vm := range c.Platform.VMs() {
		if vm.Pool == "booking" {
			c.Platform.CrashVM(vm, 500*time.Millisecond)
			break
		}
	}
	c.Until("one task is lost", func() bool { return c.Platform.RunningTasksOf(id) < 3 })
	c.Until("all tasks run again", func() bool { return c.Platform.RunningTasksOf(id) == 3 })
	status, _ := c.Call(c.Nodes[1], http.MethodDelete, standin.QueuePrefix("booking")+string(id), "")
	assert.Equal(t, http.StatusOK, status)
	c.Until("no task runs", func() bool { return c.Platform.RunningTasksOf(id) == 0 })
	c.AwaitState("booking", id, workload.Cancelled)
	assert.Empty(t, c.Platform.Violations())
}

// Invalid calls and an invalid configuration must get an answer or log entry that names the
// error. The last valid configuration must stay in force.
func TestBadInputIsRefusedClearly(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 1)
	node := c.Nodes[0]
	prefix := standin.QueuePrefix("booking")
	cases := []struct {
		name, method, path, body string
		status                   int
		says                     string
	}{
		{"no JSON", http.MethodPost, prefix + "00000000000000aa", `{"spec":`, http.StatusBadRequest, "job"},
		{"no steps", http.MethodPost, prefix + "00000000000000ab", `{"spec":"x"}`, http.StatusBadRequest, "at least one step"},
		{"later dependency", http.MethodPost, prefix + "00000000000000ac", `{"steps":[{"count":1,"depends_on":[0]}]}`, http.StatusBadRequest, "not an earlier one"},
		{"no count", http.MethodPost, prefix + "00000000000000ad", `{"steps":[{"cpu":1}]}`, http.StatusBadRequest, "count"},
		{"bad ID", http.MethodPost, prefix + "xyz", `{"steps":[{"count":1}]}`, http.StatusBadRequest, "16 digits"},
		{"large body", http.MethodPost, prefix + "00000000000000ae", strings.Repeat(" ", 300_000), http.StatusRequestEntityTooLarge, "262144"},
		{"unknown queue", http.MethodPost, "/nowhere/00000000000000af", `{"steps":[{"count":1}]}`, http.StatusNotFound, "no queue"},
		{"unknown job", http.MethodGet, prefix + "00000000000000b0", "", http.StatusGone, "no such job"},
	}
	for _, tc := range cases {
		status, body := c.Call(node, tc.method, tc.path, tc.body)
		assert.Equal(t, tc.status, status, tc.name)
		assert.Contains(t, body, tc.says, tc.name)
	}
	require.NoError(t, c.Platform.PublishRaw("no configuration"))
	c.Until("the bad configuration is logged", func() bool {
		return strings.Contains(node.Log(), "published change can't be read, the last good state stays")
	})
	id := c.NewID()
	c.Submit("booking", id, testkit.Chain(50*time.Millisecond, 1))
	c.AwaitState("booking", id, workload.Completed)
	require.NoError(t, c.Platform.Publish("returns"))
	c.Until("the new queue is known", func() bool {
		status, _ := c.Call(node, http.MethodGet, "/extra-0/", "")
		return status == http.StatusOK
	})
}

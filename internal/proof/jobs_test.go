package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// urgentStartBound bounds the time from the submission of an urgent job to its start.
const urgentStartBound = 6700 * time.Millisecond

// jobsCluster starts entry VMs and a pool of four workers with 8 cores each that runs jobs.
func jobsCluster(t *testing.T, nodes int, lease time.Duration) *testkit.Cluster {
	c := testkit.Start(t, testkit.Options{
		Nodes: []string{"a", "b", "c"}[:nodes],
		Fleet: []testkit.Group{{Prefix: "vm", Count: 4, Zones: []string{"a", "b"}, RackSize: 2, Cores: 8, MemoryMB: 16384}},
	})
	c.Publish(testDocument("export", 4, 1) + fmt.Sprintf(`
[[quota]]
team = "proof"
cores = 32.0
memory_mb = 65536
[jobs]
on_drain = "checkpoint"
urgent_cores = 0.0
lease = %q
`, lease.String()))
	awaitServing(c, "export", 4)
	return c
}

func submitExportJob(c *testkit.Cluster, name string, flags ...string) {
	args := append([]string{"jobs", "submit", "--service", "export", "--team", "proof", "--memory-mb", "64"}, flags...)
	c.MustCommand(append(args, name)...)
}

// startCount returns how many times the job's tasks were started.
func startCount(c *testkit.Cluster, job string) int { return c.Standin.Counters().JobStarts[job] }

// allJobsEnded reports whether every job has ended.
func allJobsEnded(c *testkit.Cluster) bool {
	for _, j := range c.Standin.State().Jobs {
		if !j.Ended() {
			return false
		}
	}
	return true
}

// Replies to starts are lost after the platform started the task, and each steward in turn is killed
// while jobs are placed and started. An export must run at most once: the other stewards adopt
// started tasks, and an export whose start is uncertain ends as lapsed and is not started again.
func TestExportsRunAtMostOnceThroughLostRepliesAndKills(t *testing.T) {
	c := jobsCluster(t, 3, 3*time.Second)
	c.Standin.InjectFaults(standin.Fault{Kind: standin.APILoseReply, Target: "start", Count: 12})
	const jobs = 24
	for i := range jobs {
		flags := []string{"--cores", "1", "--run-time", "2s"}
		if i%3 == 0 {
			flags = append(flags, "--repeatable")
		}
		submitExportJob(c, fmt.Sprintf("export-%02d", i), flags...)
		if i%8 == 4 {
			c.Nodes[i/8].Steward.Kill()
		}
		if i%8 == 7 {
			c.Nodes[i/8].Steward.Start()
		}
	}
	c.Until("all jobs have ended", func() bool { return allJobsEnded(c) })
	results := map[record.JobResult]int{}
	starts := c.Standin.Counters().JobStarts
	for id, j := range c.Standin.State().Jobs {
		results[j.Result]++
		if !j.Spec.Repeatable {
			assert.LessOrEqual(t, starts[id], 1, "%s ended %s", id, j.Result)
			assert.Contains(t, []record.JobResult{record.JobSucceeded, record.JobLapsed}, j.Result, id)
			continue
		}
		assert.Equal(t, record.JobSucceeded, j.Result, id)
	}
	t.Logf("results of %d jobs: %v", jobs, results)
	assert.GreaterOrEqual(t, results[record.JobSucceeded], jobs/2)
}

// Urgent jobs are submitted to a pool that is full of long checkpointable jobs, each while another
// steward is down. Whichever steward managed the pool, a remaining one must free capacity, and each
// urgent job must start within urgentStartBound.
func TestUrgentJobsStartWithinTheirBoundOnAFullPool(t *testing.T) {
	c := jobsCluster(t, 3, 3*time.Second)
	for i := range 4 {
		submitExportJob(c, fmt.Sprintf("long-%d", i), "--cores", "8", "--run-time", "10m", "--repeatable", "--checkpointable")
	}
	c.Until("the pool is full", func() bool {
		counters := c.Standin.Counters()
		return len(counters.JobStarts) == 4
	})
	for i := range 3 {
		c.Nodes[i].Steward.Kill()
		name := fmt.Sprintf("urgent-%d", i)
		submitExportJob(c, name, "--cores", "4", "--run-time", "1s", "--urgent", "--repeatable")
		submittedAt := time.Now()
		c.Until(name+" is started", func() bool { return startCount(c, name) > 0 })
		took := time.Since(submittedAt)
		t.Logf("%s started after %v with steward %d dead", name, took.Round(time.Millisecond), i)
		assert.Less(t, took, urgentStartBound)
		c.Nodes[i].Steward.Start()
	}
}

// The only steward is paused past the lease of a running export, and the platform ends the task.
// After it resumes, the steward must neither renew the task nor start it again: the export ends as
// lapsed. A repeatable job must run once more. The lease is far longer than a busy machine delays a
// process; TestPausedStewardReadsLogAndStatusBeforeItActs tests the same in virtual time.
func TestStewardStoppedPastTheLeaseStartsNoExportAgain(t *testing.T) {
	c := jobsCluster(t, 1, 5*time.Second)
	submitExportJob(c, "export", "--run-time", "20s")
	submitExportJob(c, "report", "--run-time", "8s", "--repeatable")
	c.Until("both jobs run", func() bool { return startCount(c, "export")+startCount(c, "report") == 2 })
	c.Nodes[0].Steward.Pause()
	awaitTasksExpired(t, c, "export", "report")
	c.Nodes[0].Steward.Resume()
	c.Until("both jobs have ended", func() bool { return allJobsEnded(c) })
	state := c.Standin.State()
	assert.Equal(t, record.JobLapsed, state.Jobs["export"].Result)
	assert.Equal(t, 1, startCount(c, "export"))
	assert.Equal(t, record.JobSucceeded, state.Jobs["report"].Result)
	assert.Equal(t, 2, startCount(c, "report"))
}

// awaitTasksExpired waits until the platform reports the jobs' tasks as expired.
func awaitTasksExpired(t *testing.T, c *testkit.Cluster, jobs ...string) {
	state := c.Standin.State()
	for _, id := range jobs {
		worker := state.Jobs[id].Worker
		c.Until(id+" has expired", func() bool {
			statuses, err := c.Standin.Client.Status(t.Context(), worker)
			for _, s := range statuses {
				if err == nil && strings.HasPrefix(s.ID, id+".") && s.Phase == "expired" {
					return true
				}
			}
			return false
		})
	}
}

// Sixty jobs are submitted to a pool too small for all and cancelled in quick succession. No job that
// was never placed may be started.
func TestCancelledJobsAreNotStarted(t *testing.T) {
	c := jobsCluster(t, 2, 3*time.Second)
	const jobs = 60
	for i := range jobs {
		submitExportJob(c, fmt.Sprintf("job-%02d", i), "--cores", "4", "--run-time", "5m", "--repeatable")
	}
	state := c.Standin.State()
	queued := 0
	for _, j := range state.Jobs {
		if j.Status == ledger.JobQueued {
			queued++
		}
	}
	require.Positive(t, queued)
	for i := range jobs {
		c.MustCommand("jobs", "cancel", fmt.Sprintf("job-%02d", i))
	}
	c.Until("all jobs have ended", func() bool { return allJobsEnded(c) })
	state = c.Standin.State()
	starts := c.Standin.Counters().JobStarts
	neverPlaced := 0
	for id, j := range state.Jobs {
		assert.Equal(t, ledger.JobCancelled, j.Status, id)
		if j.Attempt == 0 {
			neverPlaced++
			assert.Zero(t, starts[id], id)
		}
	}
	t.Logf("%d jobs were queued at the first cancellation, %d were never placed, %d were started", queued, neverPlaced, len(starts))
	assert.Positive(t, neverPlaced)
}

// Stewards are restarted one after another while exports are submitted. A steward that gets SIGTERM
// decides nothing new but starts the jobs that it has placed before it exits, so that the start of no
// export is left uncertain.
func TestStewardToldToStopLeavesNoExportInDoubt(t *testing.T) {
	c := jobsCluster(t, 3, 3*time.Second)
	const jobs = 15
	for i := range jobs {
		steward := c.Nodes[i%3].Steward
		submitExportJob(c, fmt.Sprintf("export-%02d", i), "--cores", "1", "--run-time", "1s")
		steward.Terminate()
		require.NoError(t, steward.Wait())
		steward.Start()
	}
	c.Until("all jobs have ended", func() bool { return allJobsEnded(c) })
	starts := c.Standin.Counters().JobStarts
	for id, j := range c.Standin.State().Jobs {
		assert.Equal(t, record.JobSucceeded, j.Result, "%s: %s", id, j.Reason)
		assert.Equal(t, 1, starts[id], id)
	}
}

package proof_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

const (
	// reroutedPath is the queue that leads to another service with each configuration, versionPath one
	// that is added beside it, so that its presence shows the version.
	reroutedPath = "extra-0"
	versionPath  = "extra-"
)

// lasting returns a job of two long-running tasks.
func lasting() workload.Spec {
	return workload.Spec{Payload: standin.Payload(0), Steps: []workload.Step{{
		Count: 2, Resources: workload.Resources{CPU: 500, MemoryMB: 500}, LongRunning: true,
	}}}
}

// reroute makes the rerouted path lead to a service, and waits until that is in force on all nodes. step is
// the number of earlier calls, from 1 on.
func reroute(t *testing.T, c *testkit.JobCluster, step int, service string) {
	t.Helper()
	extra := []string{service}
	for range step {
		extra = append(extra, "booking")
	}
	require.NoError(t, c.Platform.Publish(extra...))
	added := standin.QueuePrefix(versionPath + string(rune('0'+step)))
	c.Until("the configuration is in force", func() bool {
		for _, n := range c.Nodes {
			if status, _ := c.Call(n, http.MethodGet, added, ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// checkHeld submits a job that runs again at all nodes and reads its state. It must be the same job.
func checkHeld(t *testing.T, c *testkit.JobCluster, id workload.JobID) {
	t.Helper()
	path := standin.QueuePrefix(reroutedPath) + string(id)
	for _, n := range c.Nodes {
		c.Until(n.Name+" acknowledges the job", func() bool {
			status, _ := c.Call(n, http.MethodPost, path, testkit.Body(t, lasting()))
			return status == http.StatusOK
		})
		c.Until(n.Name+" answers for the job", func() bool {
			status, body := c.Call(n, http.MethodGet, path, "")
			require.NotEqual(t, http.StatusGone, status, "%s: %s", n.Name, body)
			return status == http.StatusOK
		})
	}
	c.Until("the job's tasks run", func() bool { return c.Platform.RunningTasksOf(id) == 2 })
}

// Guards against jobs that run twice, are answered 410 or can't be cancelled after their path has led to another
// service, also once all nodes have restarted and the path leads back.
func TestJobsStayWithTheirServiceWhenTheirPathLeadsElsewhere(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 3)
	reroute(t, c, 1, "booking")
	first, second := c.NewID(), c.NewID()
	c.Submit(reroutedPath, first, lasting())
	c.Until("the first job's tasks run", func() bool { return c.Platform.RunningTasksOf(first) == 2 })

	reroute(t, c, 2, "returns")
	checkHeld(t, c, first)
	c.Submit(reroutedPath, second, lasting())
	c.Until("the second job's tasks run", func() bool { return c.Platform.RunningTasksOf(second) == 2 })
	for _, n := range c.Nodes {
		n.Kill()
	}
	for _, n := range c.Nodes {
		n.Start()
	}
	c.AwaitReady()
	checkHeld(t, c, first)
	checkHeld(t, c, second)

	reroute(t, c, 3, "booking")
	checkHeld(t, c, first)
	checkHeld(t, c, second)
	for _, id := range []workload.JobID{first, second} {
		status, body := c.Call(c.Nodes[0], http.MethodDelete, standin.QueuePrefix(reroutedPath)+string(id), "")
		require.Equal(t, http.StatusOK, status, body)
		c.Until("the job's tasks have ended", func() bool { return c.Platform.RunningTasksOf(id) == 0 })
	}
	assert.Empty(t, c.Platform.Violations())
}

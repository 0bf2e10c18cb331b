package proof_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/assignments"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/partitioning"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// Guards against a task that runs on two workers, each kept running by another owner of the
// partition: the earlier owner has lost the store but reaches a worker that its successor can't
// reach.
func TestOwnerWithoutTheStoreKeepsNoTaskOfItsSuccessor(t *testing.T) {
	t.Parallel()
	c := testkit.StartLinkedJobs(t, smallPlatform(), 3)
	id := c.NewID()
	c.Submit("booking", id, workload.Spec{Payload: standin.Payload(0), Steps: []workload.Step{{
		Count: 2, Resources: workload.Resources{CPU: 500, MemoryMB: 500}, LongRunning: true, MaxPerWorker: 1,
	}}})
	c.Until("both tasks run", func() bool { return c.Platform.RunningTasksOf(id) == 2 })
	task := workload.TaskKey{Job: id}.String()
	worker := c.Platform.WorkerOf(task)
	require.NotNil(t, worker)
	worker.SetFault(standin.KnownOwnersOnly)
	owner := isolateOwner(t, c, "booking")
	c.Until("the task runs on another worker", func() bool {
		current := c.Platform.WorkerOf(task)
		return current != nil && current != worker
	})
	assert.Empty(t, c.Platform.Violations())

	worker.SetFault(standin.NoWorkerFault)
	owner.Store.Heal()
	c.AwaitReady()
	c.Until("both tasks run", func() bool { return c.Platform.RunningTasksOf(id) == 2 })
	assert.Empty(t, c.Platform.Violations())
}

// isolateOwner cuts the node that owns a service's jobs off from the store and returns the node.
func isolateOwner(t *testing.T, c *testkit.JobCluster, service string) (owner *testkit.JobNode) {
	leaseHolder := func() string {
		key := partitioning.KeyPrefix + service
		_, partition, err := partitioning.Decode(key, c.Platform.Store.Value(assignments.Topic, key), smallPlatform().Partitions)
		require.NoError(t, err)
		return c.Platform.Store.OwnerOf(joblog.JobsTopic, partition)
	}
	c.Until("the owner of "+service+" is cut off from the store", func() bool {
		name := leaseHolder()
		for _, n := range c.Nodes {
			if strings.HasPrefix(name, n.Name+"|") {
				owner = n
			}
		}
		if owner == nil {
			return false
		}
		owner.Store.Blackhole()
		if leaseHolder() == name {
			return true
		}
		owner.Store.Heal() // the partition has just been handed over
		return false
	})
	return owner
}

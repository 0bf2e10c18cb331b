package proof_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

func platformWithWorkspaces() standin.Options {
	o := smallPlatform()
	o.Workspaces = []standin.Workspace{
		{Name: "ward", Keys: []string{"ward-key-1", "ward-key-2"}, Weight: 100, Cap: workload.Resources{CPU: 6000}},
		{Name: "clinic", Keys: []string{"clinic-key"}, Weight: 100},
	}
	return o
}

// Jobs of one workspace are handed in to both services, whose owners divide its cap of six cores; a node is
// killed meanwhile. The stand-in counts what runs on all workers: never more than the cap, and all jobs
// complete.
func TestCapHoldsOverAllServicesWhileANodeIsKilled(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, platformWithWorkspaces(), 3)
	c.Key = "ward-key-1"
	jobs := map[workload.JobID]string{}
	submit := func(n int, service string) {
		for range n {
			id, spec := c.NewID(), testkit.Chain(100*time.Millisecond, 4, 2)
			c.Platform.DeclareJob(id, "ward", spec)
			c.Submit(service, id, spec)
			jobs[id] = service
		}
	}
	submit(10, "booking")
	submit(6, "returns")
	c.Nodes[0].Kill()
	submit(6, "returns")
	c.Nodes[0].Start()
	c.AwaitReady()
	submit(6, "booking")
	awaitCompleted(c, jobs)
	assert.Empty(t, c.Platform.Violations())
}

// A key is taken away while one node can't reach the store. That node must learn of it from the others and
// refuse the key, still serve the workspace's other key, and log no key.
func TestKeyIsTakenAwayAtANodeWithoutTheStore(t *testing.T) {
	t.Parallel()
	c := testkit.StartLinkedJobs(t, platformWithWorkspaces(), 3)
	waiting := standin.QueuePrefix("booking")
	call := func(n *testkit.JobNode, key string) int {
		c.Key = key
		status, _ := c.Call(n, http.MethodGet, waiting, "")
		return status
	}
	for _, n := range c.Nodes {
		c.Until("the first configuration is in force", func() bool { return call(n, "ward-key-1") == http.StatusOK })
		assert.Equal(t, http.StatusUnauthorized, call(n, ""))
		assert.Equal(t, http.StatusUnauthorized, call(n, "no-key"))
	}
	cutOff := c.Nodes[2]
	cutOff.Store.Blackhole()
	o := platformWithWorkspaces()
	o.Workspaces[0].Keys = []string{"ward-key-2"}
	require.NoError(t, c.Platform.PublishWorkspaces(o.Workspaces))
	c.Until("the node without the store refuses the key", func() bool { return call(cutOff, "ward-key-1") == http.StatusUnauthorized })
	assert.NotEqual(t, http.StatusUnauthorized, call(cutOff, "ward-key-2"))
	for _, n := range c.Nodes {
		c.Until("all nodes refuse the key", func() bool { return call(n, "ward-key-1") == http.StatusUnauthorized })
		assert.NotContains(t, n.Log(), "ward-key")
	}
}

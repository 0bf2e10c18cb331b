package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a workspace that floods a service and takes the others' share of it: of its jobs, those
// beyond its weight come after all jobs of others that can still earn credit.
func TestJobsBeyondAWorkspacesWeightComeLast(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	config := &workload.Config{Version: 1, Services: []workload.Service{{Name: "service"}}, Queues: []workload.Queue{{Name: "quick", Service: "service", Stretch: 1.6, Objective: 600 * time.Millisecond}}, Workspaces: workload.NewWorkspaces()}
	require.NoError(t, config.Workspaces.Add(workload.Workspace{Name: "flood", Weight: 10}, nil))
	require.NoError(t, config.Workspaces.Add(workload.Workspace{Name: "ward", Weight: 10}, nil))
	c := New(Settings{Epoch: 1, JobRetention: time.Minute}, now, nil, false)
	c.SetConfig(config)
	ids := map[string]int{}
	add := func(workspace string, at time.Time, estimateMS int64) {
		ids[workspace]++
		id := workload.JobID(workspace + time.Duration(ids[workspace]).String())
		c.AddJob(id, &workload.Submission{Queue: "quick", Service: "service", Workspace: workspace, AcceptedAtMS: at.UnixMilli(), Spec: workload.Spec{Steps: []workload.Step{{Count: 1, EstimateMS: estimateMS, Resources: workload.Resources{CPU: 1000}}}}})
	}
	for i := range 100 {
		add("flood", now.Add(time.Duration(i)*time.Millisecond), 100)
	}
	for i := range 10 {
		add("ward", now.Add(time.Duration(i)*100*time.Millisecond), 500)
	}
	c.refreshRanking(now.Add(time.Second / 2))
	beyond, wardBefore := 0, 0
	for _, cand := range c.ranking.candidates {
		switch {
		case cand.class == classBeyondWeight:
			assert.Equal(t, "flood", cand.job.submission.Workspace)
			beyond++
		case cand.job.submission.Workspace == "ward":
			assert.Zero(t, beyond, "a job within its workspace's weight comes first")
			wardBefore++
		}
	}
	assert.Equal(t, 100-20, beyond, "two seconds' jobs have full rank, nothing has come back within a tenth")
	assert.Equal(t, 10, wardBefore)
}

func TestJobAllowanceRefillsByWeight(t *testing.T) {
	var b jobAllowance
	at := time.UnixMilli(1_700_000_000_000)
	taken := 0
	for range 100 {
		if b.take(10, at) {
			taken++
		}
	}
	assert.Equal(t, 20, taken)
	taken = 0
	for i := range 1000 {
		if b.take(10, at.Add(time.Duration(i)*10*time.Millisecond)) {
			taken++
		}
	}
	assert.InDelta(t, 100, taken, 2, "ten jobs a second for ten seconds")
	assert.True(t, b.take(0, at), "no weight is no limit")
	var small jobAllowance
	for range minWeightBurstJobs {
		assert.True(t, small.take(0.5, at))
	}
	assert.False(t, small.take(0.5, at))
}

package scheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// BenchmarkShareOf640Workspaces is what shares and prospects add to a ranking: one job of each of 640
// workspaces waits for a full service.
func BenchmarkShareOf640Workspaces(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	config := &workload.Config{Version: 1, Services: []workload.Service{{Name: "service"}}, Queues: []workload.Queue{{Name: "quick", Service: "service", Stretch: 1.6, Objective: 600 * time.Millisecond}}, Workspaces: workload.NewWorkspaces()}
	for i := range 640 {
		require.NoError(b, config.Workspaces.Add(workload.Workspace{Name: strconv.Itoa(i), Weight: 10}, nil))
	}
	c := New(Settings{Epoch: 1, JobRetention: time.Minute}, now, nil, false)
	c.SetConfig(config)
	for i := range 640 {
		c.AddJob(workload.JobID(strconv.Itoa(i)), &workload.Submission{Queue: "quick", Service: "service", Workspace: strconv.Itoa(i), AcceptedAtMS: now.UnixMilli(), Spec: workload.Spec{Steps: []workload.Step{{Count: 8, EstimateMS: 1000, Resources: workload.Resources{CPU: 6200}}}}})
	}
	c.refreshRanking(now)
	b.Run("shares", func(b *testing.B) {
		for b.Loop() {
			c.assignTurns(now)
		}
	})
	b.Run("prospects", func(b *testing.B) {
		for b.Loop() {
			c.updateProspects(now)
		}
	})
}

package proof_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// schedule is an accepted job that repeats.
type schedule struct {
	service string
	id      workload.JobID
}

// submitSchedule hands in a job of n steps that repeats once a minute for a week, from tomorrow on. It reports whether
// the job was accepted.
func submitSchedule(c *testkit.JobCluster, s schedule, n int) bool {
	steps := strings.Repeat(`,{"count":1,"cpu":1000,"mem_mb":256,"estimated_ms":1000}`, n)[1:]
	body := fmt.Sprintf(`{"spec":"%s","repeat_count":10000,"start_at_ms":%d,"interval_ms":60000,"steps":[%s]}`,
		standin.Payload(time.Second), time.Now().Add(24*time.Hour).UnixMilli(), steps)
	status, _ := c.Call(c.Nodes[0], http.MethodPost, standin.QueuePrefix(s.service)+string(s.id), body)
	return status == http.StatusOK
}

// checkShown checks that a node shows all schedules as pending.
func checkShown(t *testing.T, c *testkit.JobCluster, n *testkit.JobNode, accepted []schedule) {
	t.Helper()
	require.NotEmpty(t, accepted)
	for _, s := range accepted {
		c.Until("a schedule is shown", func() bool {
			status, body := c.Call(n, http.MethodGet, standin.QueuePrefix(s.service)+string(s.id), "")
			return status == http.StatusOK && body == `{"state":"pending"}`
		})
	}
}

// Guards against schedules that end their owner's node by memory because they come at once: all are admitted by what the
// node had measured before.
func TestNodeSurvivesABurstOfSchedules(t *testing.T) {
	c, n := startCrowdedNode(t)
	pid := n.PID()
	accepted := make([]schedule, 16)
	var isAccepted [16]bool
	var sent sync.WaitGroup
	for i := range accepted {
		accepted[i] = schedule{"booking", c.NewID()}
		sent.Go(func() { isAccepted[i] = submitSchedule(c, accepted[i], 4) })
	}
	sent.Wait()
	i := -1
	accepted = slices.DeleteFunc(accepted, func(schedule) bool { i++; return !isAccepted[i] })
	t.Log(len(accepted), "of 16 schedules accepted")
	checkShown(t, c, n, accepted)
	checkSurvival(t, c, n, pid)
}

// Guards against a node that exceeds its memory with the schedules that it takes over: each owner had kept within its
// bound before all nodes but one were lost.
func TestNodeLeftAfterALossKeepsAllSchedules(t *testing.T) {
	o := smallPlatform()
	o.NodeLimits = standin.ProcessLimits{MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors}
	c := testkit.StartJobs(t, o, 3)
	var accepted []schedule
	for i := range 40 {
		s := schedule{[]string{"booking", "returns"}[i%2], c.NewID()}
		if submitSchedule(c, s, 1) {
			accepted = append(accepted, s)
		}
	}
	t.Log(len(accepted), "of 40 schedules accepted")
	left := c.Nodes[2]
	pid := left.PID()
	c.Nodes[0].Kill()
	c.Nodes[1].Kill()
	checkShown(t, c, left, accepted)
	assert.Equal(t, pid, left.PID())
	checkMemory(t, left)
}

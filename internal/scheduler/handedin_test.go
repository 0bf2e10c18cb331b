package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against jobs of an outage that can no longer be completed in time and are started before those that can.
func TestJobsOfAnOutageAreRankedByTheirFirstAttempt(t *testing.T) {
	now := time.Unix(100, 0)
	c := New(Settings{Epoch: 1, JobRetention: time.Minute}, now, nil, false)
	c.SetConfig(&workload.Config{Version: 1, Services: []workload.Service{{Name: "service"}}, Queues: []workload.Queue{{Name: "quick", Service: "service", Stretch: 1, Objective: 2 * time.Second}}})
	rank := func(firstAttempt time.Time) rankClass {
		s := &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: now.UnixMilli(), Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}
		if !firstAttempt.IsZero() {
			s.FirstAttemptAtMS = firstAttempt.UnixMilli()
		}
		id := workload.JobID(firstAttempt.String())
		c.AddJob(id, s)
		return c.rankOccurrence(c.jobs[id], 0, now).class
	}
	assert.Equal(t, classOnTime, rank(time.Time{}))
	assert.Equal(t, classLate, rank(now.Add(-4*time.Second)))
	assert.Equal(t, classExpired, rank(now.Add(-15*time.Second)))
}

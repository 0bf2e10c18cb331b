package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/prospect"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against small jobs that are rejected for the wait of large ones. On a queue whose target doesn't grow with
// the run time a job has less time to wait than its target, so that any prospect may reject.
func TestProspectsOfLargeJobsDoNotRejectSmallOnes(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	q := &workload.Queue{Name: "flat", Service: "service", Objective: 600 * time.Millisecond}
	for name, c := range map[string]struct {
		work    float64 // ahead, on 100 cores
		minWork float64
	}{
		"all sizes can wait":    {400, 0},
		"large ones can't":      {1000, 10},
		"no size can wait long": {10_000, 0},
	} {
		core := New(Settings{Epoch: 1, JobRetention: time.Minute}, now, nil, false)
		core.shares["flat"] = &queueShares{meanWork: 10}
		for size, low := range []float64{0.1, 0.1, 0.4, 0.4} {
			calibration := core.calibrationOf(calibrationKey{"flat", classOnTime, jobSize(size)})
			for range 50 {
				calibration.RecordStart(time.Second, time.Duration(low*float64(time.Second)))
			}
		}
		s := &prospect.Service{Cores: 100}
		s.Add(prospect.Rank{Class: int(classOnTime)}, "ward", 1, c.work, c.work)
		s.Prepare()
		p := core.prospectOf(s, q, &account{name: "ward", weight: 1}, classOnTime)
		assert.InDelta(t, c.minWork, p.MinWork, 0.001, name)
		assert.Equal(t, c.work == 400, p.IsZero(), name)
		if !p.IsZero() {
			assert.Greater(t, p.Wait, admission.LateFactor*q.Objective, name)
		}
	}
}

// Guards against jobs that are rejected although VMs for them may be on their way, because a node of an earlier
// version owns the fleet, or none.
func TestNothingIsRejectedWhileIncomingCapacityIsUnknown(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	core := New(Settings{Epoch: 1, JobRetention: time.Minute}, now, nil, false)
	config := &workload.Config{Version: 1, Services: []workload.Service{{Name: "service"}}, Queues: []workload.Queue{{Name: "quick", Service: "service", Stretch: 1.6, Objective: 600 * time.Millisecond}}, Workspaces: workload.NewWorkspaces()}
	assert.NoError(t, config.Workspaces.Add(workload.Workspace{Name: "ward", Weight: 100}, nil))
	core.SetConfig(config)
	for i := range 20 {
		core.AddJob(workload.JobID(fmt.Sprintf("%016d", i)), &workload.Submission{Queue: "quick", Service: "service", Workspace: "ward", AcceptedAtMS: now.UnixMilli(), Spec: workload.Spec{Steps: []workload.Step{{Count: 8, EstimateMS: 1000, Resources: workload.Resources{CPU: 6000}}}}})
	}
	core.refreshRanking(now)
	now = now.Add(admission.SettleTime)
	core.updateProspects(now)
	assert.True(t, core.Prospect("quick", "ward", now).IsZero(), "nobody has told")
	core.SetIncoming("service", 0, now.Add(-incomingTTL-1))
	assert.True(t, core.Prospect("quick", "ward", now).IsZero(), "told too long ago")
	core.SetIncoming("service", 0, now)
	assert.False(t, core.Prospect("quick", "ward", now).IsZero())
}

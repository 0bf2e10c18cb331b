package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a workspace that cancels another's job through a node that could not ask the owner,
// in either order of the two records.
func TestOnlyItsWorkspaceCancelsAJob(t *testing.T) {
	const id = workload.JobID("0000000000000001")
	now := time.UnixMilli(1_700_000_000_000)
	submission := &workload.Submission{Service: "service", Queue: "quick", Workspace: "ward", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}
	for name, c := range map[string]struct {
		by            []*workload.Requester
		wantCancelled bool
	}{
		"its workspace":             {[]*workload.Requester{{Workspace: "ward", Queue: "other"}}, true},
		"another workspace":         {[]*workload.Requester{{Workspace: "clinic", Queue: "quick"}}, false},
		"another, then its own":     {[]*workload.Requester{{Workspace: "clinic", Queue: "quick"}, {Workspace: "ward"}}, true},
		"another queue without key": {[]*workload.Requester{{Queue: "other"}}, false},
		"unknown":                   {[]*workload.Requester{nil}, true},
	} {
		for _, jobFirst := range []bool{true, false} {
			core := scheduler.New(scheduler.Settings{Epoch: 1, JobRetention: time.Minute}, now, nil, false)
			if jobFirst {
				core.AddJob(id, submission)
			}
			for _, by := range c.by {
				core.CancelJob(id, by, now)
			}
			if !jobFirst {
				core.AddJob(id, submission)
			}
			assert.Equal(t, c.wantCancelled, core.WaitingJobs("quick") == 0, "%s, job first: %t", name, jobFirst)
			workspace, queue := core.JobAccess(id)
			assert.Equal(t, []string{"ward", "quick"}, []string{workspace, queue})
		}
	}
}

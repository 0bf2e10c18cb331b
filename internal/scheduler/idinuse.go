package scheduler

import (
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// keepFirstSubmission queues the submission of a job to be stored again if a submission of another job under the
// same ID has replaced it in the store. Otherwise the next owner would run the other job in its place, with the
// progress of the first, and show it to the other one's workspace.
func (c *Core) keepFirstSubmission(j *job, other *workload.Submission) {
	if !j.submission.IsOtherJob(other, j.finalState.IsTerminal()) || slices.Contains(c.overwrittenJobs, j) {
		return
	}
	c.overwrittenJobs = append(c.overwrittenJobs, j)
	c.recordDecision(Decision{Verb: "id-in-use", Job: j.id, Queue: other.Queue, Workspace: other.Workspace,
		Reason: "another job was handed in under the ID; it is ignored", AlwaysLogged: true})
}

// overwrittenSubmissions returns the submissions that must be stored again.
func (c *Core) overwrittenSubmissions() []workload.Record {
	var records []workload.Record
	for _, j := range c.overwrittenJobs {
		submission := j.submission
		if j.storedState.IsTerminal() && j.liveRuns == 0 {
			submission = submission.WithoutWork()
		}
		records = append(records, workload.Record{Job: j.id, Submission: submission})
	}
	return records
}

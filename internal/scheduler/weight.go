package scheduler

import "time"

// A workspace's weight is the number of jobs a second that it may hand in at full rank. What it hands in
// beyond that comes after the jobs of all other workspaces that can still earn credit, so one workspace
// that floods a service doesn't take the others' share. Each owner counts the jobs of its own services.

// weightBurst is the time for which a workspace may hand in jobs at twice its weight, after a pause. It
// keeps the random fluctuation of a small workspace from counting as too many jobs.
const weightBurst = 2 * time.Second

// minWeightBurstJobs is the least number of jobs that a workspace may hand in at once.
const minWeightBurstJobs = 4

// jobAllowance is a token bucket of the jobs that a workspace may hand in at full rank.
type jobAllowance struct {
	jobs      float64   // left
	updatedAt time.Time // zero before the first job
}

// take takes a job that was accepted at a time from the allowance, and reports whether there was one left.
// Jobs may arrive out of order.
func (b *jobAllowance) take(weight float64, acceptedAt time.Time) bool {
	if weight <= 0 {
		return true
	}
	most := max(minWeightBurstJobs, weight*weightBurst.Seconds())
	if b.updatedAt.IsZero() {
		b.jobs, b.updatedAt = most, acceptedAt
	}
	if passed := acceptedAt.Sub(b.updatedAt); passed > 0 {
		b.jobs = min(most, b.jobs+passed.Seconds()*weight)
		b.updatedAt = acceptedAt
	}
	if b.jobs < 1 {
		return false
	}
	b.jobs--
	return true
}

// hasJob reports whether a job that is accepted now finds one left.
func (b *jobAllowance) hasJob(weight float64, now time.Time) bool {
	next := *b
	return next.take(weight, now)
}

// checkWeight records whether a new job is beyond its workspace's weight.
func (c *Core) checkWeight(j *job) {
	if a := j.account; a != nil {
		j.isBeyondWeight = !a.jobAllowance.take(a.weight, time.UnixMilli(j.submission.AcceptedAtMS))
	}
}

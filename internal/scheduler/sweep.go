package scheduler

import (
	"slices"
	"time"
)

// removedWorker is what is kept of a removed worker.
type removedWorker struct {
	token int64
	acks  ackState
}

// removeUnregisteredWorkers removes workers that are not registered and run nothing, and keeps
// their tokens. A worker that is being drained is not removed: it may not be registered yet, and
// without its drain it would get starts as soon as it is. Neither is a worker with an unconfirmed
// crash, nor one that may run tasks of an earlier owner.
func (c *Core) removeUnregisteredWorkers(now time.Time) {
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(w *worker) bool {
		if !w.unregistered || len(w.runs) > 0 || now.Before(w.drainUntil) || now.Before(w.crashUnconfirmedUntil) {
			return false
		}
		if c.isUnresolved(w, now) {
			return false // it may be partitioned from the store and run tasks of an earlier owner
		}
		delete(c.workers, w.info.ID)
		c.unresolved.resolve(w.info.ID)
		c.removedWorkers[w.info.ID] = removedWorker{token: w.token, acks: w.acks.afterRemoval()}
		return true
	})
}

// sweepJobs removes ended jobs from activeJobs, and deletes jobs that ended long ago here
// and in the store. It also logs how a takeover goes on.
func (c *Core) sweepJobs(now time.Time) {
	c.logTakeoverComplete(now)
	c.logWaitingForWorkers(now)
	c.activeJobs = slices.DeleteFunc(c.activeJobs, func(j *job) bool { return j.storedState.IsTerminal() && j.liveRuns == 0 })
	if now.Before(c.lastJobSweepAt.Add(jobSweepInterval)) {
		return
	}
	for id, j := range c.jobs {
		if j.storedState.IsTerminal() && j.liveRuns == 0 && now.UnixMilli()-j.endedAtMS > (2*c.settings.JobRetention).Milliseconds() {
			c.jobsToDelete = append(c.jobsToDelete, id)
			delete(c.jobs, id)
		}
	}
	slices.Sort(c.jobsToDelete)
	c.lastJobSweepAt = now
}

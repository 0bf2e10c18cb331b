package scheduler

import "time"

// Backlog is the work that waits at an owner, and the capacity of its workers.
type Backlog struct {
	ActiveJobs  int           // jobs whose end is not stored or that have live runs
	WaitingJobs int           // active jobs that are due and have not started
	OldestWait  time.Duration // the longest wait of a waiting job
	// FreeMilliCores and CapacityMilliCores are sums over the workers that accept starts.
	FreeMilliCores, CapacityMilliCores int
}

// Backlog returns the backlog. Jobs that wait while capacity is free show an owner that is
// overloaded; without free capacity the services are full.
func (c *Core) Backlog(now time.Time) Backlog {
	b := Backlog{ActiveJobs: len(c.activeJobs)}
	for _, j := range c.activeJobs {
		if j.started || j.finalState.IsTerminal() || now.Before(j.objectiveStart(0)) {
			continue
		}
		b.WaitingJobs++
		b.OldestWait = max(b.OldestWait, now.Sub(j.objectiveStart(0)))
	}
	for _, w := range c.sortedWorkers {
		if w.canAcceptStarts(now) {
			b.CapacityMilliCores += w.info.Capacity.CPU
			b.FreeMilliCores += w.free().CPU
		}
	}
	return b
}

package scheduler

import "time"

// Backlog is what waits at an owner, and what its workers have room for.
type Backlog struct {
	ActiveJobs  int           // jobs that have not ended
	WaitingJobs int           // of these, jobs that no task of has been started
	OldestWait  time.Duration // the longest that one of these waits
	// FreeMilliCores and Capacity are of the processors of the workers that take starts, in
	// thousandths of a core.
	FreeMilliCores, CapacityMilliCores int
}

// Backlog tells a service that is full from an owner that doesn't keep up.
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

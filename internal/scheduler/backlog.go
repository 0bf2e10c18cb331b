package scheduler

import "time"

// Backlog is what waits at an owner, and what its workers have room for.
type Backlog struct {
	Active  int           // jobs that have not ended
	Waiting int           // of these, jobs that no task of has been started
	Oldest  time.Duration // the longest that one of these waits
	// Unused and Capacity are of the processors of the workers that take starts, in
	// thousandths of a core.
	Unused, Capacity int
}

// Backlog tells a service that is full from an owner that doesn't keep up.
func (c *Core) Backlog(now time.Time) Backlog {
	b := Backlog{Active: len(c.active)}
	for _, j := range c.active {
		if j.begun || j.final.Ended() || now.Before(j.since(0)) {
			continue
		}
		b.Waiting++
		b.Oldest = max(b.Oldest, now.Sub(j.since(0)))
	}
	for _, w := range c.order {
		if w.takes(now) {
			b.Capacity += w.info.Capacity.CPU
			b.Unused += w.free().CPU
		}
	}
	return b
}

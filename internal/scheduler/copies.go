package scheduler

import "time"

// copyFactor is how many times its estimate a run may take before a copy of it
// is started, where copies are allowed. Estimates are off by a fifth or so and
// tasks of one step differ by as much, so that most runs end before it.
const copyFactor = 1.8

// copyInterval is the pause between looks for stragglers.
const copyInterval = 100 * time.Millisecond

// copyStragglers starts second copies of runs that take much longer than
// others, as on a slow worker. Only room that nothing else wants is used.
func (c *Core) copyStragglers(now time.Time) {
	if now.Before(c.copiedAt.Add(copyInterval)) || c.blocked(now) || !c.hasAuthority(now) {
		return
	}
	c.copiedAt = now
	var pools map[string]*pool
	for _, j := range c.active {
		if j.final.Ended() || j.live == 0 {
			continue
		}
		for _, s := range j.steps {
			if !s.spec.Speculative || s.spec.Lasting || s.spec.Gang || s.tickets != nil {
				continue
			}
			if pools == nil {
				pools = c.pools(now)
			}
			if p := pools[j.sub.Service]; p != nil {
				c.copyStep(p, s, now)
			}
		}
	}
}

// crashShows is how long after a crash the worker is asked again at the latest, and
// refuses the connection.
const crashShows = time.Second

// mayHaveCrashed tells whether the worker is silent and has perhaps crashed. A copy of
// what it ran could crash the next one; until its lease is over it isn't worth that.
func (w *worker) mayHaveCrashed(now time.Time) bool {
	return w.unreachable && (w.refuses || now.Before(w.unreachableSince.Add(crashShows)))
}

func (c *Core) copyStep(p *pool, s *step, now time.Time) {
	limit := time.Duration(float64(estimate(s.spec)) * copyFactor)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || t.suspect() || len(t.runs) != 1 || now.Sub(t.runs[0].orderedAt) < limit {
			continue
		}
		if t.runs[0].worker.mayHaveCrashed(now) {
			continue
		}
		w := p.best(s, t, now)
		if w == nil || w == t.runs[0].worker {
			continue
		}
		c.start(w, s, i, s.nextRun(c.cfg.Epoch), t.checkpoint, now)
	}
}

package scheduler

import "time"

// speculativeCopyFactor is how many times its estimate a run may take before a copy of it
// is started, where copies are allowed. Estimates are off by a fifth or so and
// tasks of one step differ by as much, so that most runs end before it.
const speculativeCopyFactor = 1.8

// stragglerCheckInterval is the pause between looks for stragglers.
const stragglerCheckInterval = 100 * time.Millisecond

// startSpeculativeCopies starts second copies of runs that take much longer than
// others, as on a slow worker. Only room that nothing else wants is used.
func (c *Core) startSpeculativeCopies(now time.Time) {
	if now.Before(c.lastSpeculationAt.Add(stragglerCheckInterval)) || c.isPlacementBlocked(now) || !c.hasAuthority(now) {
		return
	}
	c.lastSpeculationAt = now
	var pools map[string]*pool
	for _, j := range c.activeJobs {
		if j.finalState.IsTerminal() || j.liveRuns == 0 {
			continue
		}
		for _, s := range j.steps {
			if !s.spec.Speculative || s.spec.LongRunning || s.spec.Gang || s.tickets != nil {
				continue
			}
			if pools == nil {
				pools = c.poolsByService(now)
			}
			if p := pools[j.submission.Service]; p != nil {
				c.startSpeculativeCopiesOf(p, s, now)
			}
		}
	}
}

// maxCrashDetectionDelay is how long after a crash the worker is asked again at the latest, and
// refuses the connection.
const maxCrashDetectionDelay = time.Second

// mayHaveCrashed tells whether the worker is silent and has perhaps crashed. A copy of
// what it ran could crash the next one; until its lease is over it isn't worth that.
func (w *worker) mayHaveCrashed(now time.Time) bool {
	return w.unreachable && (w.connectionRefused || now.Before(w.unreachableSince.Add(maxCrashDetectionDelay)))
}

func (c *Core) startSpeculativeCopiesOf(p *pool, s *step, now time.Time) {
	stragglerAge := time.Duration(float64(estimate(s.spec)) * speculativeCopyFactor)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || t.isSuspect() || len(t.runs) != 1 || now.Sub(t.runs[0].orderedAt) < stragglerAge {
			continue
		}
		if t.runs[0].worker.mayHaveCrashed(now) {
			continue
		}
		w := p.bestWorker(s, t, now)
		if w == nil || w == t.runs[0].worker {
			continue
		}
		c.startRun(w, s, i, s.nextRunNumber(c.settings.Epoch), t.checkpoint, now)
	}
}

package scheduler

import "time"

// speculativeCopyFactor is how many times its estimate a run may take before a speculative copy of
// it is started, if its step allows copies. Estimates are off by about a fifth and tasks of one
// step differ by as much, so most runs end earlier.
const speculativeCopyFactor = 1.8

// stragglerCheckInterval is the pause between checks for stragglers.
const stragglerCheckInterval = 100 * time.Millisecond

// startSpeculativeCopies starts second copies of runs that take much longer than estimated, for
// example on a slow worker. It uses only the free capacity that placeTasks has left.
func (c *Core) startSpeculativeCopies(now time.Time) {
	if now.Before(c.lastSpeculationAt.Add(stragglerCheckInterval)) || c.mayHaveUnknownRuns(now) || !c.hasAuthority(now) {
		return
	}
	c.lastSpeculationAt = now
	var pools map[string]*placementPool
	for _, j := range c.activeJobs {
		if j.finalState.IsTerminal() || j.liveRuns == 0 {
			continue
		}
		for s := range j.openSteps() {
			if !s.spec.Speculative || s.spec.LongRunning || s.spec.Gang || s.advice != nil {
				continue
			}
			if pools == nil {
				pools = c.placementPoolsByService(now)
			}
			if p := pools[j.submission.Service]; p != nil {
				c.startSpeculativeCopiesOf(p, s, now)
			}
		}
	}
}

// maxCrashDetectionDelay is the longest time from a crash until a poll of the worker has its
// connection refused.
const maxCrashDetectionDelay = time.Second

// mayHaveCrashed reports whether a worker is unreachable and may have crashed. A copy of a task
// that crashed it would crash the next worker, so its tasks get no copies: they start again once
// its leases have expired.
func (w *worker) mayHaveCrashed(now time.Time) bool {
	return w.unreachable && (w.connectionRefused || now.Before(w.unreachableSince.Add(maxCrashDetectionDelay)))
}

func (c *Core) startSpeculativeCopiesOf(p *placementPool, s *step, now time.Time) {
	stragglerAge := time.Duration(float64(estimate(s.spec)) * speculativeCopyFactor)
	for i := range s.tasks {
		t := s.peek(i)
		if t.done || t.isSuspect() || len(t.runs) != 1 || now.Sub(t.runs[0].orderedAt) < stragglerAge {
			continue
		}
		if t.runs[0].worker.mayHaveCrashed(now) || !c.isWithinCap(s, 1, now) {
			continue
		}
		w := p.bestWorker(s, t, now)
		if w == nil || w == t.runs[0].worker {
			continue
		}
		c.startRun(w, s, i, s.nextRunNumber(c.settings.Epoch), t.checkpoint, now)
	}
}

package scheduler

import (
	"slices"
	"time"
)

// minTrialEstimate is how often the longest duration of a stop a task must be estimated to last for an exit trial.
const minTrialEstimate = 10

// startExitTrials starts an exit trial on each worker that may drop its exits: a task that is stopped as soon as it has
// started. If the worker lists its exit, it drops none and gets other tasks again. Otherwise the task starts elsewhere, as
// it had no time to be done.
func (c *Core) startExitTrials(now time.Time) {
	for _, w := range c.sortedWorkers {
		if w.acks.mayDropExitsUpTo == 0 || w.acks.dropsExits || w.hasExitTrial() || c.startsInFlight.isFull() ||
			!w.canAcceptStarts(now) || !c.isRackAdmitted(w, now) || c.awaitsLongLeaseWrite(w) {
			continue
		}
		c.startExitTrial(w, now)
	}
}

func (w *worker) hasExitTrial() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.isExitTrial })
}

// startExitTrial starts a waiting task on a worker for an exit trial, if there is one that may take part in it.
func (c *Core) startExitTrial(w *worker, now time.Time) {
	for _, cand := range c.ranking.candidates {
		j := cand.job
		if j.submission.Service != w.info.Service || j.finalState.IsTerminal() || !c.ranking.mayStart(j) {
			continue
		}
		for _, s := range cand.steps {
			if s.idleCount == 0 || s.spec.Gang || s.mayStartAgain() || s.needsAdvice() || estimate(s.spec) < minTrialEstimate*c.settings.MaxStopDuration ||
				!s.isReady(now) || c.mayRunOnLongLease(s, now) || !c.isWithinCap(s, 1, now) || !w.info.HasLabel(s.spec.RequiredLabel) || !s.spec.Reservation().FitsIn(w.free()) {
				continue
			}
			for i := range s.tasks {
				if t := s.peek(i); !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && !t.isSuspect() {
					c.startRun(w, s, i, s.nextRunNumber(c.settings.Epoch), t.checkpoint, now).isExitTrial = true
					return
				}
			}
		}
	}
}

// endExitTrial stops the run of an exit trial once it has started.
func (c *Core) endExitTrial(r *run) {
	if r.isExitTrial && r.startConfirmed {
		c.stopRun(r, "it shows whether its worker drops exits")
	}
}

package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// successorTimeout is how long a worker is remembered that may have crashed: its successor
// is there after some seconds.
const successorTimeout = 30 * time.Second

// handleProcessExit takes that a worker's process has ended, and with it the runs that it had.
func (c *Core) handleProcessExit(w *worker, runs []*run, now time.Time) {
	delete(c.unresolvedWorkers, w.info.ID)
	reason := "another incarnation answers"
	nonCrashReason := c.nonCrashReason(w, runs, now)
	switch {
	case nonCrashReason != "":
		reason += ", " + nonCrashReason
		c.retractWorkerCrash(w)
	case now.Before(w.crashUnconfirmedUntil):
		c.confirmCrash(w)
	default:
		c.recordCrash(w, runs, false, now)
	}
	w.crashUnconfirmedUntil = time.Time{}
	if w.synced || len(runs) > 0 {
		c.recordDecision(Decision{Verb: "worker-lost", Worker: w.info.ID, Reason: reason, Age: now.Sub(w.lastPollAnsweredAt), AlwaysLogged: true})
	}
	w.synced = false
	for _, r := range slices.Clone(runs) {
		c.Counts.LostRuns++
		c.recordDecision(Decision{Verb: "run-lost", Job: r.step.job.id, Task: r.taskKey().String(), Worker: w.info.ID, Run: r.number, Reason: reason, Age: now.Sub(r.orderedAt)})
		if nonCrashReason == "" {
			r.isolated = false // it has ended, by a crash
		}
		c.removeRun(r)
	}
	for _, r := range w.blamedRuns {
		c.giveUpIfProvenCause(r, now)
	}
}

// recordPossibleCrash notes the crash of a worker that refuses connections. It may as well be
// cut off and run on, so that its tasks go on counting as there until its leases are
// over, and nothing is proved until its successor shows. But it is stored at once: that
// may take as long as owners live.
func (c *Core) recordPossibleCrash(w *worker, now time.Time) {
	if len(w.runs) == 0 || !w.crashUnconfirmedUntil.IsZero() || c.nonCrashReason(w, w.runs, now) != "" {
		return
	}
	c.recordCrash(w, w.runs, true, now)
	w.crashUnconfirmedUntil = now.Add(successorTimeout)
}

// resolvePossibleCrash checks whether the list of workers tells what has become of a worker: it lags.
func (c *Core) resolvePossibleCrash(w *worker, now time.Time) {
	if len(w.blamedRuns) > 0 && c.listedNonCrashReason(w, w.blamedRuns) != "" {
		c.retractWorkerCrash(w)
		return
	}
	if w.unreachable && (len(w.runs) > 0 || now.Before(w.crashUnconfirmedUntil)) && c.hasSuccessor(w) {
		c.handleReplaced(w, now)
	}
}

// hasSuccessor tells whether another worker of the service answers at the address.
func (c *Core) hasSuccessor(w *worker) bool {
	return slices.ContainsFunc(c.sortedWorkers, func(other *worker) bool {
		return other != w && w.info.Address != "" && other.info.Address == w.info.Address && other.info.Service == w.info.Service && other.synced && !other.unreachable
	})
}

// confirmCrash takes that a worker that may have crashed has.
func (c *Core) confirmCrash(w *worker) {
	c.Counts.WorkerCrashes++
	for _, r := range w.blamedRuns {
		t := r.task()
		for i := range t.crashes {
			if t.crashes[i].Worker == w.info.ID && t.crashes[i].Incarnation == r.incarnation && t.crashes[i].Unconfirmed {
				t.crashes[i].Unconfirmed = false
				c.queueCrashWrite(r.step, t)
			}
		}
	}
}

// retractPossibleCrash takes that a worker answers that may have crashed: it has not.
func (c *Core) retractPossibleCrash(w *worker) {
	if !w.crashUnconfirmedUntil.IsZero() {
		w.crashUnconfirmedUntil = time.Time{}
		c.retractWorkerCrash(w)
	}
}

// nonCrashReason is why the end of a worker's process is no crash, "" if none is known.
// Tasks are not to be blamed for workers that leave, are taken away or were cut off.
func (c *Core) nonCrashReason(w *worker, runs []*run, now time.Time) string {
	switch {
	case now.Before(w.drainUntil):
		return "its VM was to be emptied"
	case w.unreachable && !w.connectionRefused && w.crashUnconfirmedUntil.IsZero() && !now.Before(w.leasesExpireAt):
		return "its leases were over"
	}
	return c.listedNonCrashReason(w, runs)
}

// listedNonCrashReason is the same as far as the list of workers tells it, which lags by some
// hundred milliseconds, of the incarnation that had the runs.
func (c *Core) listedNonCrashReason(w *worker, runs []*run) string {
	incarnation := w.incarnation
	if len(runs) > 0 {
		incarnation = runs[0].incarnation
	}
	switch {
	case w.hasAnnouncedLeaving(incarnation):
		return "it was leaving"
	case c.foreignAddresses[w.info.Address] || c.isAddressReassigned(w):
		return "its address was given to another service"
	}
	return ""
}

// hasAnnouncedLeaving tells whether an incarnation's entry has said that it leaves. The entry may
// be that of the next one by now.
func (w *worker) hasAnnouncedLeaving(incarnation int64) bool {
	if incarnation != 0 && w.leavingIncarnation == incarnation {
		return true
	}
	return w.info.Leaving && (incarnation == 0 || w.info.Incarnation == 0 || w.info.Incarnation == incarnation)
}

// isAddressReassigned tells whether a worker of another service of the partition is at its address.
func (c *Core) isAddressReassigned(w *worker) bool {
	return slices.ContainsFunc(c.sortedWorkers, func(other *worker) bool {
		return other.info.Address == w.info.Address && other.info.Service != w.info.Service && !other.unregistered
	})
}

// recordCrash notes against the tasks of a worker that it crashed: the one that was on
// trial there if there was one, else all. It is unclear where the worker may have been
// cut off.
func (c *Core) recordCrash(w *worker, runs []*run, unconfirmed bool, now time.Time) {
	w.blamedRuns = nil // of an incarnation before
	if !unconfirmed {
		c.Counts.WorkerCrashes++
	}
	crashedAt := now
	if w.unreachable && !w.unreachableSince.IsZero() {
		crashedAt = w.unreachableSince
	}
	likelyRuns := likelyCauses(runs, crashedAt)
	crashes := make([]workload.Crash, len(runs))
	for i, r := range runs {
		crashes[i] = workload.Crash{
			Worker: w.info.ID, Incarnation: r.incarnation, Address: w.info.Address, Run: r.number, DetectedAtMS: now.UnixMilli(), RunAgeMS: r.maxAgeAt(crashedAt).Milliseconds(),
			LikelyCause: slices.Contains(likelyRuns, r),
			SoleCause:   r.isOnlyCandidate(runs, crashedAt),
			Unconfirmed: unconfirmed,

			StartUnanswered: !r.startConfirmed && !r.restored,
			Inherited:       r.inherited,
		}
	}
	hasIsolatedRun := slices.ContainsFunc(runs, func(r *run) bool { return r.isolated })
	for i, r := range runs {
		t := r.task()
		if t.done || r.step.job.finalState.IsTerminal() || hasIsolatedRun && !r.isolated {
			continue
		}
		if t.madeProgress && !crashes[i].LikelyCause && crashes[i].RunAgeMS < minProgressTime.Milliseconds() {
			continue // it has begun before without harm
		}
		t.addCrash(crashes[i])
		c.queueCrashWrite(r.step, t)
		w.blamedRuns = append(w.blamedRuns, r)
	}
}

// maxAgeAt is for how long the run may have been under way at a time.
func (r *run) maxAgeAt(at time.Time) time.Duration {
	age := max(0, at.Sub(r.orderedAt))
	if !r.isolationPlannedAt.IsZero() {
		age = max(age, at.Sub(r.isolationPlannedAt))
	}
	return age
}

// queueCrashWrite has the crashes of a task stored. It isn't started before: one that
// crashes the next worker, too, would be counted anew by each owner.
func (c *Core) queueCrashWrite(s *step, t *task) {
	c.addCrashedStep(s)
	t.crashesStoredInWrite = c.lastWriteSeq + 1
	c.suspectWritePending = true
	c.dirtyJobs[s.job.id] = s.job
}

// addCrashedStep notes that workers have crashed under a step's tasks.
func (c *Core) addCrashedStep(s *step) {
	if !s.hasCrashes {
		s.hasCrashes = true
		c.stepsWithCrashes = append(c.stepsWithCrashes, s)
	}
}

// likelyCauses are those of a worker's runs that are most likely to blame for its crash at
// a time: of those that could be, or of all where none could, those that had just begun,
// and the last.
func likelyCauses(runs []*run, at time.Time) []*run {
	likely := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return !r.isCrashCandidate(at) })
	if len(likely) == 0 {
		likely = slices.Clone(runs)
	}
	var latestOrder time.Time
	for _, r := range likely {
		if r.orderedAt.After(latestOrder) {
			latestOrder = r.orderedAt
		}
	}
	return slices.DeleteFunc(likely, func(r *run) bool {
		return at.Sub(r.orderedAt) >= earlyCrash && r.orderedAt.Before(latestOrder)
	})
}

// isOnlyCandidate tells whether none of the other runs there can have caused a crash at a
// time. Others that had got on for long are beyond doubt only beside a trial, which
// crashes its worker at once or not at all.
func (r *run) isOnlyCandidate(runs []*run, at time.Time) bool {
	for _, other := range runs {
		if !other.isSameTaskOrGang(r) && (!r.isolated || other.isCrashCandidate(at)) {
			return false
		}
	}
	return r.startConfirmed || r.isolated
}

// isCrashCandidate tells whether a run could be to blame for a crash at a time. A task that has
// got on before, perhaps on a worker that others crashed, is not to blame for beginning.
func (r *run) isCrashCandidate(at time.Time) bool {
	t := r.task()
	return t.isSuspect() || !t.madeProgress && (!r.startConfirmed || at.Sub(r.orderedAt) < minProgressTime)
}

// isSameTaskOrGang tells whether two runs are of one task, or of one gang: their job fails
// whichever of them is to blame.
func (r *run) isSameTaskOrGang(other *run) bool {
	return r.step == other.step && (r.index == other.index || r.step.spec.Gang)
}

// giveUpIfProvenCause gives up the job of a run's task if crashes have proved the task to be their
// cause.
func (c *Core) giveUpIfProvenCause(r *run, now time.Time) {
	t, j := r.task(), r.step.job
	if j.finalState.IsTerminal() || !t.isProvenCause(r.step.spec.LongRunning) {
		return
	}
	c.Counts.CrashingJobs++
	c.recordDecision(Decision{Verb: "given-up", Job: j.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number,
		Reason: fmt.Sprintf("%d workers have crashed under it", len(t.crashes)), AlwaysLogged: true})
	crashes := t.crashes
	c.completeJob(j, workload.Failed, now)
	c.retractUnlikelyCrashes(crashes)
}

// retractUnlikelyCrashes takes back what crashes said about unlikely causes once the cause is proved.
// Tasks that last lie beside many such ones, and would be suspects for nothing else.
// Likely causes stay: two tasks may have crashed one worker.
func (c *Core) retractUnlikelyCrashes(crashes []workload.Crash) {
	for _, j := range c.activeJobs {
		for _, s := range j.steps {
			if !s.hasCrashes || j.finalState.IsTerminal() {
				continue
			}
			for i := range s.tasks {
				c.retractCrashes(s, &s.tasks[i], func(own workload.Crash) bool {
					return !own.LikelyCause && slices.ContainsFunc(crashes, own.IsSameProcess)
				})
			}
		}
	}
	c.planStale = true
}

// retractCrashes drops crashes from what is noted of a task.
func (c *Core) retractCrashes(s *step, t *task, shouldRetract func(workload.Crash) bool) {
	countBefore := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, shouldRetract)
	if len(t.crashes) < countBefore {
		c.queueCrashWrite(s, t)
	}
}

// retractWorkerCrash takes back what a worker's end said about its tasks: it was no crash.
func (c *Core) retractWorkerCrash(w *worker) {
	for _, r := range w.blamedRuns {
		c.retractCrashes(r.step, r.task(), func(own workload.Crash) bool { return own.Worker == w.info.ID && own.Incarnation == r.incarnation })
	}
	w.blamedRuns = nil
	c.planStale = true
}

// recordRunProgress clears a task of which a poll, sent at a time, finds a run at work for longer
// than it ever was at a crash.
func (c *Core) recordRunProgress(r *run, pollSentAt time.Time) {
	t := r.task()
	t.madeProgress = t.madeProgress || !pollSentAt.Before(r.orderedAt.Add(minProgressTime))
	if len(t.crashes) == 0 || pollSentAt.Before(r.orderedAt.Add(t.requiredRunTime())) {
		return
	}
	if r.isolated {
		r.isolated = false
		c.planStale = true
	}
	if !slices.ContainsFunc(t.crashes, func(crash workload.Crash) bool { return !crash.Cleared }) {
		return
	}
	c.Counts.ClearedSuspects++
	t.madeProgress = true
	t.crashes = slices.DeleteFunc(t.crashes, func(crash workload.Crash) bool { return crash.IsolatedRunPending })
	for i := range t.crashes {
		t.crashes[i].Cleared = true
	}
	c.queueCrashWrite(r.step, t)
	c.recordDecision(Decision{Verb: "cleared", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "gets on since a worker crashed under it"})
}

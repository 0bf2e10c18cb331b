package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// unconfirmedCrashTimeout is how long a worker with an unconfirmed crash is kept. After a crash its
// replacement answers within some seconds.
const unconfirmedCrashTimeout = 30 * time.Second

// handleProcessExit handles the end of a worker's process and of the given runs on it. It is called
// when another process answers in its place: the next incarnation of the worker, or a replacement at
// its address. It records a crash unless another reason for the end is known.
func (c *Core) handleProcessExit(w *worker, runs []*run, now time.Time) {
	c.unresolved.resolve(w.info.ID)
	reason := "another process answers"
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
		c.recordDecision(Decision{Verb: "worker-lost", Worker: w.info.ID, Reason: reason, Age: now.Sub(w.lastReportHandledAt), AlwaysLogged: true})
	}
	w.synced = false
	for _, r := range slices.Clone(runs) {
		c.Counts.LostRuns++
		c.recordDecision(Decision{Verb: "run-lost", Job: r.step.job.id, Task: r.taskKey().String(), Worker: w.info.ID, Run: r.number, Reason: reason, Age: now.Sub(r.orderedAt)})
		if nonCrashReason == "" {
			r.isolated = false // ended by the crash; endIsolatedRun is for runs that end without one
		}
		c.removeRun(r)
	}
	for _, r := range w.blamedRuns {
		c.failJobIfProvenCause(r.step, r.index, now)
	}
}

// recordUnconfirmedCrash records an unconfirmed crash of a worker that refuses connections. The
// worker may be partitioned and still run its tasks. So its runs are kept until its leases expire,
// and the crash is no evidence until another process answers in its place. The record is stored
// immediately, because this owner may be lost before that.
func (c *Core) recordUnconfirmedCrash(w *worker, now time.Time) {
	if len(w.runs) == 0 || !w.crashUnconfirmedUntil.IsZero() || c.nonCrashReason(w, w.runs, now) != "" {
		return
	}
	c.recordCrash(w, w.runs, true, now)
	w.crashUnconfirmedUntil = now.Add(unconfirmedCrashTimeout)
}

// resolveProcessExit determines from the list of workers how a worker's process ended. It retracts
// the crash recorded for the worker, confirmed or not, if the list shows another reason for the end.
// It handles the end of the process if the worker is unreachable, has runs or an unconfirmed crash,
// and a replacement answers. The list of workers is some hundred milliseconds old.
func (c *Core) resolveProcessExit(w *worker, now time.Time) {
	if len(w.blamedRuns) > 0 && c.listedNonCrashReason(w, w.blamedRuns) != "" {
		c.retractWorkerCrash(w)
		return
	}
	if w.unreachable && (len(w.runs) > 0 || now.Before(w.crashUnconfirmedUntil)) && c.hasReplacement(w) {
		c.handleReplaced(w, now)
	}
}

// hasReplacement reports whether another worker of the same service answers polls at the worker's
// address.
func (c *Core) hasReplacement(w *worker) bool {
	return slices.ContainsFunc(c.sortedWorkers, func(other *worker) bool {
		return other != w && w.info.Address != "" && other.info.Address == w.info.Address && other.info.Service == w.info.Service && other.synced && !other.unreachable
	})
}

// confirmCrash confirms the unconfirmed crash of a worker.
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

// retractUnconfirmedCrash retracts the unconfirmed crash of a worker that has answered.
func (c *Core) retractUnconfirmedCrash(w *worker) {
	if !w.crashUnconfirmedUntil.IsZero() {
		w.crashUnconfirmedUntil = time.Time{}
		c.retractWorkerCrash(w)
	}
}

// nonCrashReason returns why the end of a worker's process is not a crash, "" if no such reason is
// known. Tasks are not blamed for workers that leave, are drained or were partitioned.
func (c *Core) nonCrashReason(w *worker, runs []*run, now time.Time) string {
	switch {
	case now.Before(w.drainUntil):
		return "its VM was being drained"
	case w.unreachable && !w.connectionRefused && w.crashUnconfirmedUntil.IsZero() && !now.Before(w.leasesExpireAt):
		return "its leases had expired"
	}
	return c.listedNonCrashReason(w, runs)
}

// listedNonCrashReason is nonCrashReason based only on the list of workers, which is some hundred
// milliseconds old. It concerns the incarnation that had the runs.
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

// hasAnnouncedLeaving reports whether an incarnation has announced in its entry that it leaves. The
// current entry may already be that of the next incarnation.
func (w *worker) hasAnnouncedLeaving(incarnation int64) bool {
	if incarnation != 0 && w.leavingIncarnation == incarnation {
		return true
	}
	return w.info.Leaving && (incarnation == 0 || w.info.Incarnation == 0 || w.info.Incarnation == incarnation)
}

// isAddressReassigned reports whether a registered worker of another service of the partition has
// the worker's address.
func (c *Core) isAddressReassigned(w *worker) bool {
	return slices.ContainsFunc(c.sortedWorkers, func(other *worker) bool {
		return other.info.Address == w.info.Address && other.info.Service != w.info.Service && !other.unregistered
	})
}

// recordCrash records a crash of the worker with the tasks that may have caused it: those of the
// isolated runs if there were any, otherwise those of all runs. It skips tasks that are done or
// whose job has ended, and tasks that had made progress before, were restarted only recently and
// are no likely cause. unconfirmed is set if the worker may be partitioned rather than crashed.
func (c *Core) recordCrash(w *worker, runs []*run, unconfirmed bool, now time.Time) {
	w.blamedRuns = nil // those of an earlier incarnation
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
			SoleCause:   r.isSoleCause(runs, crashedAt),
			Unconfirmed: unconfirmed,

			StartUnanswered: !r.startConfirmed && !r.fromCrashRecord,
			Inherited:       r.inherited,
		}
	}
	hasIsolatedRun := slices.ContainsFunc(runs, func(r *run) bool { return r.isolated })
	var blamed []workload.Crash // those of blamedRuns
	for i, r := range runs {
		t := r.task()
		if t.done || r.step.job.finalState.IsTerminal() || hasIsolatedRun && !r.isolated {
			continue
		}
		if t.madeProgress && !crashes[i].LikelyCause && crashes[i].RunAgeMS < minProgressTime.Milliseconds() {
			continue // an earlier run of it did not crash its worker
		}
		blamed = append(blamed, crashes[i])
		w.blamedRuns = append(w.blamedRuns, r)
	}
	setOtherCauses(blamed, w.blamedRuns, crashedAt)
	for i, r := range w.blamedRuns {
		r.task().addCrash(blamed[i])
		c.queueCrashWrite(r.step, r.task())
	}
}

// maxAgeAt returns the longest time that the run may have been in progress at the given time. An
// isolated run of an earlier owner may have started as soon as it was planned.
func (r *run) maxAgeAt(at time.Time) time.Duration {
	age := max(0, at.Sub(r.orderedAt))
	if !r.isolationPlannedAt.IsZero() {
		age = max(age, at.Sub(r.isolationPlannedAt))
	}
	return age
}

// queueCrashWrite queues the crashes of a task to be stored. The task does not start before they
// are stored. Otherwise a new owner would not know of the crashes, and a task that crashes its
// workers would be started by each owner anew.
func (c *Core) queueCrashWrite(s *step, t *task) {
	c.trackStepWithCrashes(s)
	t.crashesStoredInWrite = c.lastWriteSeq + 1
	c.crashWritePending = true
	c.dirtyJobs[s.job.id] = s.job
}

// trackStepWithCrashes adds a step to stepsWithCrashes.
func (c *Core) trackStepWithCrashes(s *step) {
	if !s.hasCrashes {
		s.hasCrashes = true
		c.stepsWithCrashes = append(c.stepsWithCrashes, s)
	}
}

// likelyCauses returns the runs that most likely caused their worker's crash at the given time. Of
// the crash candidates, or of all runs if there is none, these are the runs ordered within
// earlyCrash before the crash and the run ordered last.
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

// isSoleCause reports whether r is the only one of the worker's runs that can have caused a crash at
// the given time. If r is isolated, other runs that are not crash candidates are ignored, because an
// isolated run crashes its worker soon after its start or not at all. Otherwise r must have a
// confirmed start, and any run of another task or gang rules it out.
func (r *run) isSoleCause(runs []*run, at time.Time) bool {
	for _, other := range runs {
		if !other.isSameTaskOrGang(r) && (!r.isolated || other.isCrashCandidate(at)) {
			return false
		}
	}
	return r.startConfirmed || r.isolated
}

// isCrashCandidate reports whether a run can have caused a crash at the given time. A run of a
// suspect can. Another run can until its start is confirmed and it has lasted for minProgressTime,
// unless an earlier run of its task made progress, even on a worker that other tasks crashed.
func (r *run) isCrashCandidate(at time.Time) bool {
	t := r.task()
	return t.isSuspect() || !t.madeProgress && (!r.startConfirmed || at.Sub(r.orderedAt) < minProgressTime)
}

// isSameTaskOrGang reports whether two runs belong to one task or one gang. Whichever of them caused
// a crash, the same job fails.
func (r *run) isSameTaskOrGang(other *run) bool {
	return r.step == other.step && (r.index == other.index || r.step.spec.Gang)
}

// failJobIfProvenCause fails the job of a task if the task is proven to crash its workers. The
// logged number counts all recorded crashes of the task, also those that don't count as proof.
func (c *Core) failJobIfProvenCause(s *step, index int, now time.Time) {
	t, j := s.peek(index), s.job
	if j.finalState.IsTerminal() || !t.isProvenCause(s.spec.LongRunning) {
		return
	}
	latest := t.crashes[len(t.crashes)-1]
	c.Counts.CrashingJobs++
	c.recordDecision(Decision{Verb: "given-up", Job: j.id, Task: s.taskKey(index).String(), Worker: latest.Worker, Run: latest.Run,
		Reason: fmt.Sprintf("it crashes its workers, %d crashes are recorded", len(t.crashes)), AlwaysLogged: true})
	crashes := t.crashes
	c.endJob(j, workload.Failed, now)
	c.retractUnlikelyCrashes(crashes)
}

// retractUnlikelyCrashes retracts the given crashes from the tasks that were unlikely causes, once
// the cause is proven. Otherwise a long-running task, whose workers many other tasks crash in time,
// would become a suspect for that alone. Likely causes keep their records, because two tasks may
// have crashed one worker.
func (c *Core) retractUnlikelyCrashes(crashes []workload.Crash) {
	for _, j := range c.activeJobs {
		for s := range j.openSteps() {
			if !s.hasCrashes || j.finalState.IsTerminal() {
				continue
			}
			for i := range s.tasks {
				c.retractCrashes(s, s.peek(i), func(own workload.Crash) bool {
					return !own.LikelyCause && slices.ContainsFunc(crashes, own.IsSameProcess)
				})
			}
		}
	}
	c.planStale = true
}

// retractCrashes drops the recorded crashes of a task for which shouldRetract returns true and
// queues the change to be stored.
func (c *Core) retractCrashes(s *step, t *task, shouldRetract func(workload.Crash) bool) {
	countBefore := len(t.crashes)
	if countBefore == 0 {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, shouldRetract)
	if len(t.crashes) < countBefore {
		c.queueCrashWrite(s, t)
	}
}

// retractWorkerCrash retracts the crash recorded for a worker that did not crash from all tasks that
// were blamed for it.
func (c *Core) retractWorkerCrash(w *worker) {
	for _, r := range w.blamedRuns {
		c.retractCrashes(r.step, r.task(), func(own workload.Crash) bool { return own.Worker == w.info.ID && own.Incarnation == r.incarnation })
	}
	w.blamedRuns = nil
	c.planStale = true
}

// recordRunProgress records that the worker listed the run in answer to a poll sent at pollSentAt. It
// clears the task once the run has lasted for requiredRunTime.
func (c *Core) recordRunProgress(r *run, pollSentAt, now time.Time) {
	t := r.task()
	if !t.madeProgress && !pollSentAt.Before(r.orderedAt.Add(minProgressTime)) {
		t.madeProgress = true
	}
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
	c.exonerate(r.taskKey(), t.crashes, now)
	c.queueCrashWrite(r.step, t)
	c.recordDecision(Decision{Verb: "cleared", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "made progress after a crash of its worker"})
}

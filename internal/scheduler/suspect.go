package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A task may crash every worker that starts it. Each crash also ends all other tasks of the worker,
// and each restart of the task takes down one more worker, so a single task can take down a
// service. A crashed worker reports no exits, so the limit of attempts does not stop such a task.
//
// One crash is weak evidence against any of the tasks that the worker ran. The tasks that had just
// started become suspects. Each suspect runs next on a worker where it is the only crash candidate
// (isolation.go), and only once the crash is stored, so that the count survives the loss of the
// owner. Repeated crashes that only the task can have caused prove that it crashes its workers. A
// task that makes progress is cleared.
//
// Terms: a crash candidate is a run that can have caused a crash at a given time. A likely cause is
// a candidate that was ordered last or shortly before the crash. A sole cause is a run whose worker
// had no other run that can have caused the crash.
const (
	// earlyCrash is the age of a run up to which it is a likely cause of its worker's crash.
	earlyCrash = 300 * time.Millisecond
	// minProgressTime is how long a run must last to be an unlikely cause of a crash.
	minProgressTime = time.Second
	// The evidence of recorded crashes adds up; proofNeeded proves that a task crashes its workers. It
	// is that of two early crashes in each of which only the task can be the cause: one may be the
	// worker's own fault.
	proofNeeded = 2 * earlyCrashEvidence
	// earlyCrashEvidence is that of a crash within minIsolatedRunTime after the start, and
	// laterCrashEvidence that of one that may have happened later, after an unanswered start, or under
	// a run that was inherited from an earlier owner. A worker that crashes on its own may do so by
	// chance within a task's first second or two, but hardly repeatedly within its first half second.
	earlyCrashEvidence = 3
	laterCrashEvidence = 1
	// sharedCrashEvidence is that of a crash of which the task was a likely cause beside others, and
	// lastCauseEvidence that of an early one whose other possible causes have been cleared since. Both
	// weigh less than an early crash of a task alone, as some task has always just started on a busy
	// worker.
	sharedCrashEvidence = 1
	lastCauseEvidence   = 2
	// A batch task starts beside many others, so of such crashes only those count of which it was the last
	// possible cause: one as a later crash, lastCausesPerCrash as an early one. A long-running task starts seldom
	// and is hardly a likely cause of several crashes by chance: all count, up to
	// maxSharedEvidenceLongRunning. Either proves nothing without a crash that only the task can have
	// caused.
	lastCausesPerCrash           = 2
	maxSharedEvidenceLongRunning = 4
	// minCrashesOfSuspect is the number of recorded crashes that make a task a suspect although it
	// was a likely cause of none.
	minCrashesOfSuspect = 3
	// crashRetention is how long a crash counts. A long-running task runs for months and sees many
	// crashes that it did not cause.
	crashRetention = 10 * time.Minute
	// maxStoredCrashes bounds the crashes stored for one task.
	maxStoredCrashes = 12
	// minIsolatedRunTime is the shortest run time that clears a suspect. maxIsolatedRunTime is the
	// longest that may be required, because only suspects may start on the worker meanwhile.
	minIsolatedRunTime = 500 * time.Millisecond
	maxIsolatedRunTime = 5 * time.Second
	// maxProofWait is how long a suspect waits for the confirmation of the crash that would prove it
	// to crash its workers. A long-running task must run again some 9 s after its last run.
	maxProofWait = 8 * time.Second
)

// isSuspect reports whether the task may crash its workers: it was a likely cause of an uncleared
// crash, its isolated run is pending, or it has minCrashesOfSuspect recorded crashes, at least one of
// them uncleared.
func (t *task) isSuspect() bool {
	hasUncleared := false
	for _, crash := range t.crashes {
		if crash.Cleared {
			continue
		}
		hasUncleared = true
		if crash.LikelyCause || crash.IsolatedRunPending {
			return true
		}
	}
	return hasUncleared && len(t.crashes) >= minCrashesOfSuspect
}

// isProvenCause reports whether the recorded crashes prove that the task crashes its workers. Only
// confirmed, uncleared crashes that only the task can have caused count.
func (t *task) isProvenCause(longRunning bool) bool {
	return t.isProvenBy(longRunning, func(crash workload.Crash) bool { return !crash.Unconfirmed })
}

// awaitsProof reports whether unconfirmed crashes of the last maxProofWait would prove, if they were
// confirmed, that the task crashes its workers. Another start would then most likely crash one more
// worker. If the confirmed crashes alone prove it, there is nothing to wait for: an earlier owner, which
// knew that the task had made progress, did not take them for a proof.
func (t *task) awaitsProof(longRunning bool, now time.Time) bool {
	if t.isProvenCause(longRunning) {
		return false
	}
	oldestMS := now.Add(-maxProofWait).UnixMilli()
	return t.isProvenBy(longRunning, func(crash workload.Crash) bool {
		return !crash.Unconfirmed || crash.DetectedAtMS > oldestMS
	})
}

// isProvenBy is isProvenCause based on the crashes for which counts returns true.
func (t *task) isProvenBy(longRunning bool, counts func(workload.Crash) bool) bool {
	evidence, shared, lastCauses, silentLosses := 0, 0, 0, 0
	progressed := t.madeProgress
	for _, crash := range t.crashes {
		progressed = progressed || !crash.SoleCause && !crash.StartUnanswered && !crash.WorkerWentSilent && crash.RunAgeMS >= minProgressTime.Milliseconds()
		switch {
		case crash.Cleared || !counts(crash):
		case !crash.SoleCause && crash.OthersCleared && isEarlyCrash(crash):
			lastCauses++
		case !crash.SoleCause:
			if crash.LikelyCause {
				shared += sharedCrashEvidence
			}
		case crash.WorkerWentSilent:
			silentLosses++
		default:
			evidence += soleCrashEvidence(crash)
		}
	}
	evidence += silentLosses / silentLossesPerCrash * earlyCrashEvidence
	if progressed {
		return evidence >= proofNeededAfterProgress(longRunning)
	}
	if longRunning {
		shared += lastCauses * lastCauseEvidence
		// Its service ends with it, so there must be more than two crashes.
		return evidence+min(shared, maxSharedEvidenceLongRunning) > proofNeeded
	}
	switch {
	case lastCauses >= lastCausesPerCrash:
		evidence += earlyCrashEvidence // once: more of them prove nothing alone
	case lastCauses > 0:
		evidence += sharedCrashEvidence
	}
	return evidence >= proofNeeded
}

// proofNeededAfterProgress returns the evidence that proves that a task which has made progress crashes its
// workers. It does not crash each worker at its start. A long-running one sees more crashes by chance.
func proofNeededAfterProgress(longRunning bool) int {
	if longRunning {
		return proofNeeded + 2*earlyCrashEvidence
	}
	return proofNeeded + earlyCrashEvidence
}

// soleCrashEvidence returns the evidence of a crash that only the task can have caused.
func soleCrashEvidence(crash workload.Crash) int {
	if isEarlyCrash(crash) {
		return earlyCrashEvidence
	}
	return laterCrashEvidence
}

// isEarlyCrash reports whether the crash is known to have happened within minIsolatedRunTime after the start.
func isEarlyCrash(crash workload.Crash) bool {
	return crash.RunAgeMS < minIsolatedRunTime.Milliseconds() && !crash.StartUnanswered && !crash.Inherited
}

// requiredRunTime returns how long a run must last to clear the task: twice its age at its crashes,
// at least minIsolatedRunTime. Crashes for which that exceeds maxIsolatedRunTime are left out, as
// an isolated run can't last long enough for them.
func (t *task) requiredRunTime() time.Duration {
	required := minIsolatedRunTime
	for _, crash := range t.crashes {
		if doubleAge := 2 * time.Duration(crash.RunAgeMS) * time.Millisecond; doubleAge <= maxIsolatedRunTime {
			required = max(required, doubleAge)
		}
	}
	return required
}

// addCrash adds a crash, replaces an earlier record of the same run, and drops crashes older than
// crashRetention and the oldest beyond maxStoredCrashes.
func (t *task) addCrash(crash workload.Crash) {
	oldestKeptMS := crash.DetectedAtMS - crashRetention.Milliseconds()
	t.crashes = slices.DeleteFunc(t.crashes, func(c workload.Crash) bool { return c.DetectedAtMS < oldestKeptMS || c.Run == crash.Run })
	t.crashes = append(t.crashes, crash)
	t.crashes = t.crashes[max(0, len(t.crashes)-maxStoredCrashes):]
}

// idleSuspectCount returns how many of the step's idle tasks wait for an isolated run. They need a
// reserved worker rather than free capacity, so they are not part of the step's own demand for VMs.
func (s *step) idleSuspectCount() int {
	if !s.hasCrashes {
		return 0
	}
	n := 0
	for i := range s.tasks {
		t := s.peek(i)
		if !t.done && len(t.runs) == 0 && t.isSuspect() {
			n++
		}
	}
	if n > 0 && s.spec.Gang {
		return s.idleCount // the other members wait for the suspects
	}
	return n
}

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
	// crashesToProve is how many crashes that only the task can have caused prove that it crashes
	// its workers. One may be the worker's own fault.
	crashesToProve = 2
	// laterCrashesPerEarlyCrash is how many later crashes count as one early crash. A crash is a
	// later one if it happened minIsolatedRunTime or more after the start, if the start was
	// unanswered, or if the run was inherited from an earlier owner. A worker that crashes on its own
	// may do so by chance within a task's first second or two, but hardly repeatedly within its first
	// half second.
	laterCrashesPerEarlyCrash = 3
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
// worker.
func (t *task) awaitsProof(longRunning bool, now time.Time) bool {
	oldestMS := now.Add(-maxProofWait).UnixMilli()
	return t.isProvenBy(longRunning, func(crash workload.Crash) bool {
		return !crash.Unconfirmed || crash.DetectedAtMS > oldestMS
	})
}

// isProvenBy is isProvenCause based on the crashes for which counts returns true.
func (t *task) isProvenBy(longRunning bool, counts func(workload.Crash) bool) bool {
	early, later, silent := 0, 0, 0
	progressed := t.madeProgress
	for _, crash := range t.crashes {
		progressed = progressed || !crash.SoleCause && !crash.StartUnanswered && !crash.WorkerWentSilent && crash.RunAgeMS >= minProgressTime.Milliseconds()
		switch {
		case !crash.SoleCause || crash.Cleared || !counts(crash):
		case crash.WorkerWentSilent:
			silent++
		case crash.RunAgeMS < minIsolatedRunTime.Milliseconds() && !crash.StartUnanswered && !crash.Inherited:
			early++
		default:
			later++
		}
	}
	needed := crashesToProve
	if progressed {
		needed++ // it does not crash every worker at its start
	}
	if longRunning {
		needed++ // it sees more crashes by chance, and its service ends with it
	}
	return early+later/laterCrashesPerEarlyCrash+silent/silentLossesPerCrash >= needed
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
		t := &s.tasks[i]
		if !t.done && len(t.runs) == 0 && t.isSuspect() {
			n++
		}
	}
	if n > 0 && s.spec.Gang {
		return s.idleCount // the other members wait for the suspects
	}
	return n
}

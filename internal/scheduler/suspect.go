package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A task may crash every worker that starts it. Each crash also ends all other tasks of the worker,
// and each restart of the task takes down one more worker, so a single task can take down a
// service. A crashed worker lists no exits, so the limit of attempts does not stop such a task.
//
// One crash proves nothing about any of the tasks that the worker ran. The tasks that had just
// begun become suspects. Each suspect runs next on a worker where it is the only crash candidate
// (isolation.go), and only once the crash is stored, so that the count survives the loss of the
// owner. Crashes of workers in isolated runs prove the task to be the cause. A task that makes
// progress is cleared.
const (
	// earlyCrash is the age of a run up to which it is a likely cause of its worker's crash.
	earlyCrash = 300 * time.Millisecond
	// minProgressTime is how long a run must last to be an unlikely cause of a crash.
	minProgressTime = time.Second
	// crashesToProve is how many crashes that the task alone can have caused prove it to be the
	// cause. One may be the worker's own fault.
	crashesToProve = 2
	// laterCrashesPerEarlyCrash is how many later crashes weigh as much as an early one. Later
	// crashes are those minIsolatedRunTime or more after the start, after an unanswered start, or
	// under a run of an earlier owner. A worker that crashes on its own may do so by chance within
	// a task's first second or two, but hardly repeatedly within its first half second.
	laterCrashesPerEarlyCrash = 3
	// minCrashesOfSuspect is how many crashes make a task a suspect that had run for a while each
	// time, beside likelier causes.
	minCrashesOfSuspect = 3
	// crashRetention is how long a crash counts. A long-running task lives through the ordinary
	// crashes of months.
	crashRetention = 10 * time.Minute
	// maxStoredCrashes bounds the crashes stored for one task.
	maxStoredCrashes = 12
	// minIsolatedRunTime is the shortest run time that clears a suspect. maxIsolatedRunTime is the
	// longest that may be required, because the worker accepts nothing else meanwhile.
	minIsolatedRunTime = 500 * time.Millisecond
	maxIsolatedRunTime = 5 * time.Second
)

// isSuspect reports whether the task may have crashed the workers that it lost: it was a likely
// cause of a crash, its isolated run is pending, or it was present at minCrashesOfSuspect crashes.
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

// isProvenCause reports whether the recorded crashes prove the task to be their cause.
func (t *task) isProvenCause(longRunning bool) bool {
	early, later, silent := 0, 0, 0
	progressed := t.madeProgress
	for _, crash := range t.crashes {
		progressed = progressed || !crash.SoleCause && !crash.StartUnanswered && !crash.WorkerWentSilent && crash.RunAgeMS >= minProgressTime.Milliseconds()
		switch {
		case !crash.SoleCause || crash.Cleared || crash.Unconfirmed:
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
		needed++ // it sees more random crashes, and its service ends with it
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

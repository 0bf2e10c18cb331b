package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A task may crash each worker that starts it, and every other task there is lost
// with it. Started again like any other, it takes a service down: each restart ends
// one more worker and all that it runs. A worker that crashed lists no ends, so
// attempts don't count it.
//
// A crash proves nothing against one of the tasks that the worker ran. It makes those
// that had just begun suspects; each of these is started next on a worker where it is
// the only one that could be to blame (trial.go), and only once the crash is stored, so
// that no owner that dies takes the count with it. Workers that crash under it there
// prove it; a task that gets on is cleared.
const (
	// earlyCrash is how long after its start a task is likely to be what crashed its
	// worker.
	earlyCrash = 300 * time.Millisecond
	// minProgressTime is how long a run must have got on to be hardly to blame for a crash.
	minProgressTime = time.Second
	// crashesToProve is how many crashes for which nothing else can be to blame prove a
	// task to be the cause: one may be the worker's own fault.
	crashesToProve = 2
	// laterCrashesPerEarlyCrash is how many crashes later than shortestTrial after the start, after a
	// start without an answer or under a run of an earlier owner weigh as much as an early
	// one. A worker that crashes by itself does so by chance within a task's first second or
	// two, but hardly time and again within its first half second.
	laterCrashesPerEarlyCrash = 3
	// minCrashesOfSuspect is how many crashes make also a task a suspect that had run for a
	// while each time, and lay beside likelier ones.
	minCrashesOfSuspect = 3
	// crashRetention is how long a crash says something about a task: a lasting one lives
	// through the ordinary crashes of months.
	crashRetention = 10 * time.Minute
	// maxStoredCrashes bounds what is stored of one task.
	maxStoredCrashes = 12
	// minIsolatedRunTime is how long a suspect must get on at least to be cleared, and
	// longestTrial for how long one is watched at most: its worker takes nothing else.
	minIsolatedRunTime = 500 * time.Millisecond
	maxIsolatedRunTime = 5 * time.Second
)

// isSuspect tells whether the task may be what crashed the workers that it lost: it was a
// likely cause of one crash, or it was there time and again.
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

// isProvenCause tells whether crashes have shown the task to be their cause.
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
		needed++ // it doesn't crash each worker at its start
	}
	if longRunning {
		needed++ // it meets more random crashes, and its service ends with it
	}
	return early+later/laterCrashesPerEarlyCrash+silent/silentLossesPerCrash >= needed
}

// requiredRunTime is how long the task must get on to be cleared: well beyond its age at its
// crashes. One that had run for longer than a trial lasts can't be tried for that.
func (t *task) requiredRunTime() time.Duration {
	required := minIsolatedRunTime
	for _, crash := range t.crashes {
		if doubleAge := 2 * time.Duration(crash.RunAgeMS) * time.Millisecond; doubleAge <= maxIsolatedRunTime {
			required = max(required, doubleAge)
		}
	}
	return required
}

// addCrash adds a crash in place of what was noted of its run, and drops those that say
// nothing any more.
func (t *task) addCrash(crash workload.Crash) {
	oldestKeptMS := crash.DetectedAtMS - crashRetention.Milliseconds()
	t.crashes = slices.DeleteFunc(t.crashes, func(c workload.Crash) bool { return c.DetectedAtMS < oldestKeptMS || c.Run == crash.Run })
	t.crashes = append(t.crashes, crash)
	t.crashes = t.crashes[max(0, len(t.crashes)-maxStoredCrashes):]
}

// idleSuspectCount is how many of the step's idle tasks wait for a trial. They need a
// worker of their own rather than room, and ask for no VMs.
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
		return s.idleCount // the others wait for them
	}
	return n
}

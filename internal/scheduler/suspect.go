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
	// provenAfter is how long a run must have got on to be hardly to blame for a crash.
	provenAfter = time.Second
	// crashesToProve is how many crashes for which nothing else can be to blame prove a
	// task to be the cause: one may be the worker's own fault.
	crashesToProve = 2
	// laterCrashes is how many crashes later than shortestTrial after the start, after a
	// start without an answer or under a run of an earlier owner weigh as much as an early
	// one. A worker that crashes by itself does so by chance within a task's first second or
	// two, but hardly time and again within its first half second.
	laterCrashes = 3
	// suspectCrashes is how many crashes make also a task a suspect that had run for a
	// while each time, and lay beside likelier ones.
	suspectCrashes = 3
	// crashMemory is how long a crash says something about a task: a lasting one lives
	// through the ordinary crashes of months.
	crashMemory = 10 * time.Minute
	// keptCrashes bounds what is stored of one task.
	keptCrashes = 12
	// shortestTrial is how long a suspect must get on at least to be cleared, and
	// longestTrial for how long one is watched at most: its worker takes nothing else.
	shortestTrial = 500 * time.Millisecond
	longestTrial  = 5 * time.Second
)

// suspect tells whether the task may be what crashed the workers that it lost: it was a
// likely cause of one crash, or it was there time and again.
func (t *task) suspect() bool {
	open := false
	for _, crash := range t.crashes {
		if crash.Cleared {
			continue
		}
		open = true
		if crash.Likely || crash.Pending {
			return true
		}
	}
	return open && len(t.crashes) >= suspectCrashes
}

// proven tells whether crashes have shown the task to be their cause.
func (t *task) proven(lasting bool) bool {
	early, later, silent := 0, 0, 0
	gotOn := t.gotOn
	for _, crash := range t.crashes {
		gotOn = gotOn || !crash.Sole && !crash.Unanswered && !crash.Silent && crash.AgeMS >= provenAfter.Milliseconds()
		switch {
		case !crash.Sole || crash.Cleared || crash.Unclear:
		case crash.Silent:
			silent++
		case crash.AgeMS < shortestTrial.Milliseconds() && !crash.Unanswered && !crash.Inherited:
			early++
		default:
			later++
		}
	}
	needed := crashesToProve
	if gotOn {
		needed++ // it doesn't crash each worker at its start
	}
	if lasting {
		needed++ // it meets more random crashes, and its service ends with it
	}
	return early+later/laterCrashes+silent/silentLosses >= needed
}

// trialTime is how long the task must get on to be cleared: well beyond its age at its
// crashes. One that had run for longer than a trial lasts can't be tried for that.
func (t *task) trialTime() time.Duration {
	needed := shortestTrial
	for _, crash := range t.crashes {
		if twice := 2 * time.Duration(crash.AgeMS) * time.Millisecond; twice <= longestTrial {
			needed = max(needed, twice)
		}
	}
	return needed
}

// note adds a crash in place of what was noted of its run, and drops those that say
// nothing any more.
func (t *task) note(crash workload.Crash) {
	oldest := crash.AtMS - crashMemory.Milliseconds()
	t.crashes = slices.DeleteFunc(t.crashes, func(c workload.Crash) bool { return c.AtMS < oldest || c.Run == crash.Run })
	t.crashes = append(t.crashes, crash)
	t.crashes = t.crashes[max(0, len(t.crashes)-keptCrashes):]
}

// idleSuspects is how many of the step's idle tasks wait for a trial. They need a
// worker of their own rather than room, and ask for no VMs.
func (s *step) idleSuspects() int {
	if !s.crashed {
		return 0
	}
	n := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.done && len(t.runs) == 0 && t.suspect() {
			n++
		}
	}
	if n > 0 && s.spec.Gang {
		return s.idle // the others wait for them
	}
	return n
}

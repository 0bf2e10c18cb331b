package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// maxOtherCauses bounds the tasks stored for one crash.
const maxOtherCauses = 16

// setOtherCauses sets the OtherCauses of the crashes that are about to be recorded for the blamed runs.
func setOtherCauses(crashes []workload.Crash, blamedRuns []*run, crashedAt time.Time) {
	for i, r := range blamedRuns {
		if !crashes[i].SoleCause {
			crashes[i].OtherCauses = otherCauses(r, blamedRuns, crashedAt)
		}
	}
}

// otherCauses returns the names of the tasks, other than that of r, that may have caused the crash of the
// worker that ran the blamed runs. It returns none if r can't have caused it, or if there are more than
// maxOtherCauses.
func otherCauses(r *run, blamedRuns []*run, crashedAt time.Time) []string {
	if !r.isCrashCandidate(crashedAt) {
		return nil
	}
	var names []string
	for _, other := range blamedRuns {
		if !other.isSameTaskOrGang(r) && other.isCrashCandidate(crashedAt) {
			names = append(names, other.taskKey().String())
		}
	}
	if len(names) > maxOtherCauses {
		return nil
	}
	return names
}

// exonerate removes a task that was cleared or is done from the possible causes of the crashes that it was
// blamed for. Whoever remains alone caused the crash, unless the worker crashed on its own. The others don't
// wait for the write of that: if it is lost, their crashes weigh less.
func (c *Core) exonerate(key workload.TaskKey, crashes []workload.Crash, now time.Time) {
	name := key.String()
	crashes = slices.Clone(crashes) // records may be retracted meanwhile
	for _, s := range c.stepsWithCrashes {
		if s.job.finalState.IsTerminal() {
			continue
		}
		for i := range s.tasks {
			if t := s.peek(i); t.excludeCause(name, crashes) {
				c.dirtyJobs[s.job.id] = s.job
				c.failJobIfProvenCause(s, i, now)
			}
		}
	}
}

// excludeCause removes a task's name from the possible causes of those of the given crashes that t was blamed for,
// too. It reports whether any of its records has changed.
func (t *task) excludeCause(name string, crashes []workload.Crash) (changed bool) {
	for i := range t.crashes {
		own := &t.crashes[i]
		if !slices.Contains(own.OtherCauses, name) || !slices.ContainsFunc(crashes, own.IsSameProcess) {
			continue
		}
		own.OtherCauses = slices.DeleteFunc(slices.Clone(own.OtherCauses), func(other string) bool { return other == name })
		own.OthersCleared = len(own.OtherCauses) == 0
		changed = true
	}
	return changed
}

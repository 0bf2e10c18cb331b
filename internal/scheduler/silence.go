package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A task may take the VM of its worker with it. Nothing refuses calls then, and nothing
// comes up at the address, so the loss looks like that of a worker that was cut off and
// says nothing by itself: a zone that is cut off loses hundreds of tasks at once. Time and
// again, soon after each start of one task, it does. Several such losses make the task a
// suspect, as unlikely causes are (suspect.go); those under its trials prove it.
const (
	// silencedAfter is how long after a start its worker may have fallen silent for the
	// loss to count. The poll that shows it has waited for an answer.
	silencedAfter = 2 * time.Second
	// silentLosses is how many losses under trials weigh as much as an early crash.
	silentLosses = 2
)

// lostInSilence notes which of the runs that lapse on a worker had their start soon before it
// fell silent, and returns them.
func (c *Core) lostInSilence(w *worker, runs []*run, now time.Time) (blamed []*run) {
	if len(runs) == 0 || now.Before(w.evacuateUntil) || !w.unclearUntil.IsZero() || c.listedEnd(w, runs) != "" {
		return nil
	}
	at := w.unreachableSince
	if at.IsZero() {
		at = c.startedAt // it has never answered this owner
	}
	trial := slices.ContainsFunc(runs, func(r *run) bool { return r.trial })
	for _, r := range runs {
		t := r.task()
		age := r.ageAt(at)
		if t.done || r.step.job.final.Ended() || r.inherited || age >= silencedAfter || trial && !r.trial {
			continue
		}
		t.note(workload.Crash{
			Worker: w.info.ID, Born: r.born, Address: w.info.Address, Run: r.number, AtMS: now.UnixMilli(), AgeMS: age.Milliseconds(),
			Sole: r.trial && r.soleCause(runs, at), Silent: true,
		})
		c.markCrashed(r.step)
		if r.trial || len(t.crashes) > 1 {
			c.storeCrashes(r.step, t) // the first says nothing, and there may be hundreds
		}
		r.trial = false
		blamed = append(blamed, r)
	}
	return blamed
}

// answersAgain takes back what the silence of a worker's process said: it was cut off.
func (c *Core) answersAgain(w *worker) {
	for _, s := range c.crashedSteps {
		for i := range s.tasks {
			c.takeBack(s, &s.tasks[i], func(own workload.Crash) bool {
				return own.Silent && own.Worker == w.info.ID && own.Born == w.born
			})
		}
	}
}

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
	// maxSilenceDelay is how long after a start its worker may have fallen silent for the
	// loss to count. The poll that shows it has waited for an answer.
	maxSilenceDelay = 2 * time.Second
	// silentLossesPerCrash is how many losses under trials weigh as much as an early crash.
	silentLossesPerCrash = 2
)

// recordSilentLosses notes which of the runs that lapse on a worker had their start soon before it
// fell silent, and returns them.
func (c *Core) recordSilentLosses(w *worker, runs []*run, now time.Time) (blamed []*run) {
	if len(runs) == 0 || now.Before(w.drainUntil) || !w.crashUnconfirmedUntil.IsZero() || c.listedNonCrashReason(w, runs) != "" {
		return nil
	}
	silentSince := w.unreachableSince
	if silentSince.IsZero() {
		silentSince = c.tookOverAt // it has never answered this owner
	}
	anyIsolated := slices.ContainsFunc(runs, func(r *run) bool { return r.isolated })
	for _, r := range runs {
		t := r.task()
		age := r.maxAgeAt(silentSince)
		if t.done || r.step.job.finalState.IsTerminal() || r.inherited || age >= maxSilenceDelay || anyIsolated && !r.isolated {
			continue
		}
		t.addCrash(workload.Crash{
			Worker: w.info.ID, Incarnation: r.incarnation, Address: w.info.Address, Run: r.number, DetectedAtMS: now.UnixMilli(), RunAgeMS: age.Milliseconds(),
			SoleCause: r.isolated && r.isOnlyCandidate(runs, silentSince), WorkerWentSilent: true,
		})
		c.addCrashedStep(r.step)
		if r.isolated || len(t.crashes) > 1 {
			c.queueCrashWrite(r.step, t) // the first says nothing, and there may be hundreds
		}
		r.isolated = false
		blamed = append(blamed, r)
	}
	return blamed
}

// withdrawSilentLosses takes back what the silence of a worker's process said: it was cut off.
func (c *Core) withdrawSilentLosses(w *worker) {
	for _, s := range c.stepsWithCrashes {
		for i := range s.tasks {
			c.retractCrashes(s, &s.tasks[i], func(own workload.Crash) bool {
				return own.WorkerWentSilent && own.Worker == w.info.ID && own.Incarnation == w.incarnation
			})
		}
	}
}

package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A task may crash the VM of its worker. Then nothing refuses connections and no other process
// answers at the address, so the owner can't distinguish the crash from a partition: the worker is
// unreachable until the leases of its runs expire. Such a silent loss alone is no evidence, as a
// partition of a zone loses hundreds of runs at once. But silent losses count if each follows soon
// after a start of the same task. minCrashesOfSuspect of them make the task a suspect (suspect.go),
// and silent losses during its isolated runs prove that it crashes its workers.
const (
	// maxUnreachableDelay is how long after a start the worker may have become unreachable for
	// the loss to count. The poll that detects it has waited for an answer.
	maxUnreachableDelay = 2 * time.Second
	// silentLossesPerCrash is how many silent losses during isolated runs count as one early crash.
	silentLossesPerCrash = 2
)

// recordSilentLosses records a crash for each of the expired runs on a worker that had started
// within maxUnreachableDelay before the worker became unreachable, and returns those runs. It skips
// inherited runs, whose age is unknown, and all others if one was isolated.
func (c *Core) recordSilentLosses(w *worker, runs []*run, now time.Time) (blamed []*run) {
	if len(runs) == 0 || now.Before(w.drainUntil) || !w.crashUnconfirmedUntil.IsZero() || c.listedNonCrashReason(w, runs) != "" {
		return nil
	}
	unreachableSince := w.unreachableSince
	if unreachableSince.IsZero() {
		unreachableSince = c.tookOverAt // the worker has never answered this owner
	}
	anyIsolated := slices.ContainsFunc(runs, func(r *run) bool { return r.isolated })
	for _, r := range runs {
		t := r.task()
		age := r.maxAgeAt(unreachableSince)
		if t.done || r.step.job.finalState.IsTerminal() || r.inherited || age >= maxUnreachableDelay || anyIsolated && !r.isolated {
			continue
		}
		t.addCrash(workload.Crash{
			Worker: w.info.ID, Incarnation: r.incarnation, Address: w.info.Address, Run: r.number, DetectedAtMS: now.UnixMilli(), RunAgeMS: age.Milliseconds(),
			SoleCause: r.isolated && r.isSoleCause(runs, unreachableSince), WorkerWentSilent: true,
		})
		c.trackStepWithCrashes(r.step)
		if r.isolated || len(t.crashes) > 1 {
			c.queueCrashWrite(r.step, t) // a first loss is no evidence, and there may be hundreds to store
		}
		r.isolated = false
		blamed = append(blamed, r)
	}
	return blamed
}

// retractSilentLosses retracts the crashes that were recorded for silent losses on the worker's
// current incarnation, which has answered again: it was partitioned.
func (c *Core) retractSilentLosses(w *worker) {
	for _, s := range c.stepsWithCrashes {
		for i := range s.tasks {
			c.retractCrashes(s, s.peek(i), func(own workload.Crash) bool {
				return own.WorkerWentSilent && own.Worker == w.info.ID && own.Incarnation == w.incarnation
			})
		}
	}
}

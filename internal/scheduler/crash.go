package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// successorWait is how long a worker is remembered that may have crashed: its successor
// is there after some seconds.
const successorWait = 30 * time.Second

// processEnded takes that a worker's process has ended, and with it the runs that it had.
func (c *Core) processEnded(w *worker, runs []*run, now time.Time) {
	delete(c.unheld, w.info.ID)
	how := "another incarnation answers"
	cause := c.ordinaryEnd(w, runs, now)
	switch {
	case cause != "":
		how += ", " + cause
		c.exonerate(w)
	case now.Before(w.unclearUntil):
		c.clarified(w)
	default:
		c.crashed(w, runs, false, now)
	}
	w.unclearUntil = time.Time{}
	if w.synced || len(runs) > 0 {
		c.note(Decision{Verb: "worker-lost", Worker: w.info.ID, Reason: how, Age: now.Sub(w.answered), Critical: true})
	}
	w.synced = false
	for _, r := range slices.Clone(runs) {
		c.Counts.RunsLost++
		c.note(Decision{Verb: "run-lost", Job: r.step.job.id, Task: r.key().String(), Worker: w.info.ID, Run: r.number, Reason: how, Age: now.Sub(r.orderedAt)})
		if cause == "" {
			r.trial = false // it has ended, by a crash
		}
		c.remove(r)
	}
	for _, r := range w.victims {
		c.judge(r, now)
	}
}

// mayHaveCrashed notes the crash of a worker that refuses connections. It may as well be
// cut off and run on, so that its tasks go on counting as there until its leases are
// over, and nothing is proved until its successor shows. But it is stored at once: that
// may take as long as owners live.
func (c *Core) mayHaveCrashed(w *worker, now time.Time) {
	if len(w.runs) == 0 || !w.unclearUntil.IsZero() || c.ordinaryEnd(w, w.runs, now) != "" {
		return
	}
	c.crashed(w, w.runs, true, now)
	w.unclearUntil = now.Add(successorWait)
}

// clarify checks whether the list of workers tells what has become of a worker: it lags.
func (c *Core) clarify(w *worker, now time.Time) {
	if len(w.victims) > 0 && c.listedEnd(w, w.victims) != "" {
		c.exonerate(w)
		return
	}
	if w.unreachable && (len(w.runs) > 0 || now.Before(w.unclearUntil)) && c.hasSuccessor(w) {
		c.replaced(w, now)
	}
}

// hasSuccessor tells whether another worker of the service answers at the address.
func (c *Core) hasSuccessor(w *worker) bool {
	return slices.ContainsFunc(c.order, func(other *worker) bool {
		return other != w && w.info.Address != "" && other.info.Address == w.info.Address && other.info.Service == w.info.Service && other.synced && !other.unreachable
	})
}

// clarified takes that a worker that may have crashed has.
func (c *Core) clarified(w *worker) {
	c.Counts.Crashes++
	for _, r := range w.victims {
		t := r.task()
		for i := range t.crashes {
			if t.crashes[i].Worker == w.info.ID && t.crashes[i].Born == r.born && t.crashes[i].Unclear {
				t.crashes[i].Unclear = false
				c.storeCrashes(r.step, t)
			}
		}
	}
}

// wasCutOff takes that a worker answers that may have crashed: it has not.
func (c *Core) wasCutOff(w *worker) {
	if !w.unclearUntil.IsZero() {
		w.unclearUntil = time.Time{}
		c.exonerate(w)
	}
}

// ordinaryEnd is why the end of a worker's process is no crash, "" if none is known.
// Tasks are not to be blamed for workers that leave, are taken away or were cut off.
func (c *Core) ordinaryEnd(w *worker, runs []*run, now time.Time) string {
	switch {
	case now.Before(w.evacuateUntil):
		return "its VM was to be emptied"
	case w.unreachable && !w.refuses && w.unclearUntil.IsZero() && !now.Before(w.leaseOver):
		return "its leases were over"
	}
	return c.listedEnd(w, runs)
}

// listedEnd is the same as far as the list of workers tells it, which lags by some
// hundred milliseconds, of the incarnation that had the runs.
func (c *Core) listedEnd(w *worker, runs []*run) string {
	born := w.born
	if len(runs) > 0 {
		born = runs[0].born
	}
	switch {
	case w.saidToLeave(born):
		return "it was leaving"
	case c.elsewhere[w.info.Address] || c.passedOn(w):
		return "its address was given to another service"
	}
	return ""
}

// saidToLeave tells whether an incarnation's entry has said that it leaves. The entry may
// be that of the next one by now.
func (w *worker) saidToLeave(born int64) bool {
	if born != 0 && w.drained == born {
		return true
	}
	return w.info.Draining && (born == 0 || w.info.Born == 0 || w.info.Born == born)
}

// passedOn tells whether a worker of another service of the partition is at its address.
func (c *Core) passedOn(w *worker) bool {
	return slices.ContainsFunc(c.order, func(other *worker) bool {
		return other.info.Address == w.info.Address && other.info.Service != w.info.Service && !other.missing
	})
}

// crashed notes against the tasks of a worker that it crashed: the one that was on
// trial there if there was one, else all. It is unclear where the worker may have been
// cut off.
func (c *Core) crashed(w *worker, runs []*run, unclear bool, now time.Time) {
	w.victims = nil // of an incarnation before
	if !unclear {
		c.Counts.Crashes++
	}
	at := now
	if w.unreachable && !w.unreachableSince.IsZero() {
		at = w.unreachableSince
	}
	likely := likelyCauses(runs, at)
	crashes := make([]workload.Crash, len(runs))
	for i, r := range runs {
		crashes[i] = workload.Crash{
			Worker: w.info.ID, Born: r.born, Address: w.info.Address, Run: r.number, AtMS: now.UnixMilli(), AgeMS: r.ageAt(at).Milliseconds(),
			Likely:  slices.Contains(likely, r),
			Sole:    r.soleCause(runs, at),
			Unclear: unclear,

			Unanswered: !r.confirmed && !r.restored,
			Inherited:  r.inherited,
		}
	}
	trial := slices.ContainsFunc(runs, func(r *run) bool { return r.trial })
	for i, r := range runs {
		t := r.task()
		if t.done || r.step.job.final.Ended() || trial && !r.trial {
			continue
		}
		if t.gotOn && !crashes[i].Likely && crashes[i].AgeMS < provenAfter.Milliseconds() {
			continue // it has begun before without harm
		}
		t.note(crashes[i])
		c.storeCrashes(r.step, t)
		w.victims = append(w.victims, r)
	}
}

// ageAt is for how long the run may have been under way at a time.
func (r *run) ageAt(at time.Time) time.Duration {
	age := max(0, at.Sub(r.orderedAt))
	if !r.plannedAt.IsZero() {
		age = max(age, at.Sub(r.plannedAt))
	}
	return age
}

// storeCrashes has the crashes of a task stored. It isn't started before: one that
// crashes the next worker, too, would be counted anew by each owner.
func (c *Core) storeCrashes(s *step, t *task) {
	c.markCrashed(s)
	t.storedIn = c.writeSeq + 1
	c.suspectsWait = true
	c.dirty[s.job.id] = s.job
}

// markCrashed notes that workers have crashed under a step's tasks.
func (c *Core) markCrashed(s *step) {
	if !s.crashed {
		s.crashed = true
		c.crashedSteps = append(c.crashedSteps, s)
	}
}

// likelyCauses are those of a worker's runs that are most likely to blame for its crash at
// a time: of those that could be, or of all where none could, those that had just begun,
// and the last.
func likelyCauses(runs []*run, at time.Time) []*run {
	likely := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return !r.unproven(at) })
	if len(likely) == 0 {
		likely = slices.Clone(runs)
	}
	var last time.Time
	for _, r := range likely {
		if r.orderedAt.After(last) {
			last = r.orderedAt
		}
	}
	return slices.DeleteFunc(likely, func(r *run) bool {
		return at.Sub(r.orderedAt) >= earlyCrash && r.orderedAt.Before(last)
	})
}

// soleCause tells whether none of the other runs there can have caused a crash at a
// time. Others that had got on for long are beyond doubt only beside a trial, which
// crashes its worker at once or not at all.
func (r *run) soleCause(runs []*run, at time.Time) bool {
	for _, other := range runs {
		if !other.isOneWith(r) && (!r.trial || other.unproven(at)) {
			return false
		}
	}
	return r.confirmed || r.trial
}

// unproven tells whether a run could be to blame for a crash at a time. A task that has
// got on before, perhaps on a worker that others crashed, is not to blame for beginning.
func (r *run) unproven(at time.Time) bool {
	t := r.task()
	return t.suspect() || !t.gotOn && (!r.confirmed || at.Sub(r.orderedAt) < provenAfter)
}

// isOneWith tells whether two runs are of one task, or of one gang: their job fails
// whichever of them is to blame.
func (r *run) isOneWith(other *run) bool {
	return r.step == other.step && (r.index == other.index || r.step.spec.Gang)
}

// judge gives up the job of a run's task if crashes have proved the task to be their
// cause.
func (c *Core) judge(r *run, now time.Time) {
	t, j := r.task(), r.step.job
	if j.final.Ended() || !t.proven(r.step.spec.Lasting) {
		return
	}
	c.Counts.GivenUp++
	c.note(Decision{Verb: "given-up", Job: j.id, Task: r.key().String(), Worker: r.worker.info.ID, Run: r.number,
		Reason: fmt.Sprintf("%d workers have crashed under it", len(t.crashes)), Critical: true})
	crashes := t.crashes
	c.end(j, workload.Failed, now)
	c.explain(crashes)
}

// explain takes back what crashes said about unlikely causes once the cause is proved.
// Tasks that last lie beside many such ones, and would be suspects for nothing else.
// Likely causes stay: two tasks may have crashed one worker.
func (c *Core) explain(crashes []workload.Crash) {
	for _, j := range c.active {
		for _, s := range j.steps {
			if !s.crashed || j.final.Ended() {
				continue
			}
			for i := range s.tasks {
				c.takeBack(s, &s.tasks[i], func(own workload.Crash) bool {
					return !own.Likely && slices.ContainsFunc(crashes, own.IsOf)
				})
			}
		}
	}
	c.dirtyPlan = true
}

// takeBack drops crashes from what is noted of a task.
func (c *Core) takeBack(s *step, t *task, drops func(workload.Crash) bool) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, drops)
	if len(t.crashes) < before {
		c.storeCrashes(s, t)
	}
}

// exonerate takes back what a worker's end said about its tasks: it was no crash.
func (c *Core) exonerate(w *worker) {
	for _, r := range w.victims {
		c.takeBack(r.step, r.task(), func(own workload.Crash) bool { return own.Worker == w.info.ID && own.Born == r.born })
	}
	w.victims = nil
	c.dirtyPlan = true
}

// getsOn clears a task of which a poll, sent at a time, finds a run at work for longer
// than it ever was at a crash.
func (c *Core) getsOn(r *run, sent time.Time) {
	t := r.task()
	t.gotOn = t.gotOn || !sent.Before(r.orderedAt.Add(provenAfter))
	if len(t.crashes) == 0 || sent.Before(r.orderedAt.Add(t.trialTime())) {
		return
	}
	if r.trial {
		r.trial = false
		c.dirtyPlan = true
	}
	if !slices.ContainsFunc(t.crashes, func(crash workload.Crash) bool { return !crash.Cleared }) {
		return
	}
	c.Counts.Cleared++
	t.gotOn = true
	t.crashes = slices.DeleteFunc(t.crashes, func(crash workload.Crash) bool { return crash.Pending })
	for i := range t.crashes {
		t.crashes[i].Cleared = true
	}
	c.storeCrashes(r.step, t)
	c.note(Decision{Verb: "cleared", Job: r.step.job.id, Task: r.key().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "gets on since a worker crashed under it"})
}

package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A worker that restarts may keep its ID, so a worker's process is known by its ID and its
// start. The new process knows nothing of before: it numbers its ends from 1, its clock
// begins anew, and it has seen no fencing token and no stop. Its entry and its lists tell
// its start; answers to orders don't.
//
// Calls that were on their way to the process before may reach the new one. Three rules
// keep them harmless:
//
//   - Each incarnation has a fencing token of its own. What was sent before is refused
//     once a poll with the new token has been carried out, and no task starts before that
//     poll's list has come.
//   - An acknowledgement travels only just after a list of the same incarnation. The new
//     process would take it for its own ends and forget those unread.
//   - A run that was ordered before counts as lost only once that list shows that it
//     isn't there.

// ackFresh is how old a worker's list may be for an acknowledgement to be sent: a process
// takes longer to crash and start again.
const ackFresh = 200 * time.Millisecond

// clockBack is how far a worker's clock must have gone back to tell a restart where its
// start isn't known: answers may overtake each other.
const clockBack = time.Second

// isOther tells whether a list was given by another incarnation than the one that is
// known.
func (w *worker) isOther(r HoldResult) bool {
	if r.Held.Born != 0 {
		return w.born != 0 && r.Held.Born != w.born
	}
	return r.Answer.Clock != 0 && w.clock-r.Answer.Clock > clockBack.Milliseconds()
}

// entryAgrees tells whether a worker's entry and its lists name the same start, as far as
// they tell it. Where they don't, one of them is of an earlier incarnation.
//
// A task starts only where they agree. Lists of entries are passed on only while the
// ownership is confirmed, so an owner that was replaced unawares can't start tasks on an
// incarnation that the next owner has not held.
func (w *worker) entryAgrees() bool {
	return w.info.Born == 0 || w.born == 0 || w.info.Born == w.born
}

// takeEntry takes a worker's entry. It may be older or newer than what the worker itself
// has told, or of another writer, so that it only has the worker asked.
func (c *Core) takeEntry(w *worker, info workload.Worker, now time.Time) {
	before := w.info
	w.info = info
	w.most = w.most.Max(info.Capacity)
	if info.Born != before.Born {
		w.most = info.Capacity // the VM may be another one
		w.inDoubt = w.inDoubt || !w.entryAgrees()
	}
	if info.Draining {
		w.drained = info.Born
	}
	if w.ended && before.Address != "" && (info.Born != before.Born || info.Address != before.Address) {
		w.ended = false
		c.restarted(w, info.Born, "another one had its address, and its entry is back", now)
	}
}

// restarted takes that a worker's process has started again under its ID.
func (c *Core) restarted(w *worker, born int64, reason string, now time.Time) {
	c.Counts.Restarts++
	c.note(Decision{Verb: "worker-restarted", Worker: w.info.ID, Reason: reason, Age: now.Sub(w.answered), Critical: true})
	c.raiseToken(w)
	w.born = born
	w.unsettled = true
	w.restartedAt = now
	w.since = now
	w.answered = now
	w.synced = false
	w.holding = false
	w.holdAfter = now
	w.clock = 0
	w.listedAt = 0
	w.seen, w.acked, w.ackSent, w.ackTaken = 0, 0, 0, 0
	w.pace, w.pacedAt = fullPace, time.Time{}
	w.trust = trust{}
	w.fullUntil = time.Time{}
	for _, r := range w.runs {
		r.stopping, r.stopped = false, false // the process before knew of the stop
	}
	c.forgetAdvice(w.info.ID)
	c.dirtyPlan = true
}

func restartReason(before, born int64) string {
	switch {
	case born == 0:
		return "its clock went back"
	case born < before:
		return fmt.Sprintf("it started at %d by its clock, before the one known so far, %d", born, before)
	default:
		return fmt.Sprintf("it started at %d, the one before at %d", born, before)
	}
}

// raiseToken gives a worker the next fencing token. There are as many as the epochs leave
// room for; the next owner has more.
func (c *Core) raiseToken(w *worker) {
	if w.token+1 >= (c.cfg.Epoch+1)*tokenStep {
		c.GiveUp("no fencing token is left for worker " + w.info.ID)
		return
	}
	w.token++
}

// takeBorn takes which incarnation has given a list.
func (c *Core) takeBorn(w *worker, held workload.Held) {
	if held.Born != 0 {
		w.born = held.Born
		return
	}
	if w.bornNoted || held.BornErr == nil && w.born == 0 && w.info.Born == 0 {
		return
	}
	w.bornNoted = true
	reason := "its lists don't tell when it started"
	if held.BornErr != nil {
		reason = held.BornErr.Error()
	}
	c.note(Decision{Verb: "worker-start-unknown", Worker: w.info.ID, Reason: reason, Critical: true})
}

// settleIncarnation takes the first list of an incarnation under its own token: no order
// that was sent before has effect any more, so that runs which are not listed are lost
// with the process that they were ordered to.
func (c *Core) settleIncarnation(w *worker, held workload.Held, now time.Time) {
	w.unsettled = false
	var lost []*run
	for _, r := range w.runs {
		switch {
		case r.born == 0 || r.born == w.born:
		case isListed(held.Running, r) || hasEnded(held.Finished, r):
			r.born = w.born // its start arrived late
		default:
			lost = append(lost, r)
		}
	}
	if len(lost) > 0 || w.hasVictimsOfAnother() {
		c.processEnded(w, lost, now)
	}
	if !w.restartedAt.IsZero() {
		// An order with a lease by the clock of the process before may have arrived.
		w.extendLease(now.Add(lapse(c.cfg.MaxLease)))
	}
}

// hasVictimsOfAnother tells whether it is still unclear if an earlier incarnation of the
// worker has crashed.
func (w *worker) hasVictimsOfAnother() bool {
	return !w.unclearUntil.IsZero() && slices.ContainsFunc(w.victims, func(r *run) bool { return r.born != 0 && r.born != w.born })
}

// mayRunLonger tells whether runs on a worker of which a restart is known may outlive the
// leases that were given: a start that arrived late has its lease cut to the longest one.
func (c *Core) mayRunLonger(w *worker, now time.Time) bool {
	return w.unsettled && !w.restartedAt.IsZero() && now.Before(w.restartedAt.Add(lapse(c.cfg.MaxLease)))
}

// mayAcknowledge tells whether an acknowledgement may travel with a poll that is sent now.
func (c *Core) mayAcknowledge(w *worker, now time.Time) bool {
	if !w.ackOwed() || !w.synced || w.unreachable || w.inDoubt {
		return false
	}
	listed := w.answered
	if now.Before(c.stalledUntil) {
		listed = w.toldAt // the answer may have lain unread
	}
	return now.Sub(listed) < ackFresh
}

func hasEnded(rows []workload.RunEnd, r *run) bool {
	return slices.ContainsFunc(rows, func(e workload.RunEnd) bool { return e.Run == r.number && e.Task == r.key() })
}

// endUnread takes that a run has vanished from the worker that had it, which lists no end:
// the end was acknowledged before anybody read it. The task may be done, so that it isn't
// started again unless it may run more than once; and as nothing will ever tell, its job
// ends as failed rather than never.
func (c *Core) endUnread(r *run, now time.Time) {
	c.Counts.EndsUnread++
	c.note(Decision{Verb: "end-unread", Job: r.step.job.id, Task: r.key().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "the worker lists neither the run nor its end", Age: now.Sub(r.orderedAt), Critical: true})
	c.remove(r)
	if r.step.spec.Lasting || r.step.spec.Speculative || r.task().done {
		return
	}
	c.end(r.step.job, workload.Failed, now)
}

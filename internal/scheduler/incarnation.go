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

// maxAckReportAge is how old a worker's list may be for an acknowledgement to be sent: a process
// takes longer to crash and start again.
const maxAckReportAge = 200 * time.Millisecond

// minClockRegression is how far a worker's clock must have gone back to tell a restart where its
// start isn't known: answers may overtake each other.
const minClockRegression = time.Second

// isOtherIncarnation tells whether a list was given by another incarnation than the one that is
// known.
func (w *worker) isOtherIncarnation(r PollResult) bool {
	if r.Report.Incarnation != 0 {
		return w.incarnation != 0 && r.Report.Incarnation != w.incarnation
	}
	return r.Answer.ClockMS != 0 && w.clockMS-r.Answer.ClockMS > minClockRegression.Milliseconds()
}

// entryMatchesReports tells whether a worker's entry and its lists name the same start, as far as
// they tell it. Where they don't, one of them is of an earlier incarnation.
//
// A task starts only where they agree. Lists of entries are passed on only while the
// ownership is confirmed, so an owner that was replaced unawares can't start tasks on an
// incarnation that the next owner has not held.
func (w *worker) entryMatchesReports() bool {
	return w.info.Incarnation == 0 || w.incarnation == 0 || w.info.Incarnation == w.incarnation
}

// updateEntry takes a worker's entry. It may be older or newer than what the worker itself
// has told, or of another writer, so that it only has the worker asked.
func (c *Core) updateEntry(w *worker, entry workload.Worker, now time.Time) {
	previous := w.info
	w.info = entry
	w.maxCapacity = w.maxCapacity.Max(entry.Capacity)
	if entry.Incarnation != previous.Incarnation {
		w.maxCapacity = entry.Capacity // the VM may be another one
		w.entryMismatch = w.entryMismatch || !w.entryMatchesReports()
	}
	if entry.Leaving {
		w.leavingIncarnation = entry.Incarnation
	}
	if w.replaced && previous.Address != "" && (entry.Incarnation != previous.Incarnation || entry.Address != previous.Address) {
		w.replaced = false
		c.handleRestart(w, entry.Incarnation, "another one had its address, and its entry is back", now)
	}
}

// handleRestart takes that a worker's process has started again under its ID.
func (c *Core) handleRestart(w *worker, incarnation int64, reason string, now time.Time) {
	c.Counts.WorkerRestarts++
	c.recordDecision(Decision{Verb: "worker-restarted", Worker: w.info.ID, Reason: reason, Age: now.Sub(w.lastPollAnsweredAt), AlwaysLogged: true})
	c.raiseToken(w)
	w.incarnation = incarnation
	w.incarnationUnresolved = true
	w.restartDetectedAt = now
	w.incarnationFirstSeenAt = now
	w.lastPollAnsweredAt = now
	w.synced = false
	w.pollInFlight = false
	w.nextPollAt = now
	w.clockMS = 0
	w.lastReportClockMS = 0
	w.lastExitSeen, w.ackAllowed, w.ackSent, w.ackConfirmed = 0, 0, 0, 0
	w.bestEffortSpeedPercent, w.speedChangedAt = fullSpeedPercent, time.Time{}
	w.failures = failureTracker{}
	w.startBackoffUntil = time.Time{}
	for _, r := range w.runs {
		r.stopInFlight, r.stopConfirmed = false, false // the process before knew of the stop
	}
	c.forgetAdvice(w.info.ID)
	c.planStale = true
}

func restartReason(previous, incarnation int64) string {
	switch {
	case incarnation == 0:
		return "its clock went back"
	case incarnation < previous:
		return fmt.Sprintf("it started at %d by its clock, before the one known so far, %d", incarnation, previous)
	default:
		return fmt.Sprintf("it started at %d, the one before at %d", incarnation, previous)
	}
}

// raiseToken gives a worker the next fencing token. There are as many as the epochs leave
// room for; the next owner has more.
func (c *Core) raiseToken(w *worker) {
	if w.token+1 >= (c.settings.Epoch+1)*tokensPerEpoch {
		c.StepDown("no fencing token is left for worker " + w.info.ID)
		return
	}
	w.token++
}

// recordIncarnation takes which incarnation has given a list.
func (c *Core) recordIncarnation(w *worker, report workload.PollReport) {
	if report.Incarnation != 0 {
		w.incarnation = report.Incarnation
		return
	}
	if w.incarnationUnknownLogged || report.IncarnationErr == nil && w.incarnation == 0 && w.info.Incarnation == 0 {
		return
	}
	w.incarnationUnknownLogged = true
	reason := "its lists don't tell when it started"
	if report.IncarnationErr != nil {
		reason = report.IncarnationErr.Error()
	}
	c.recordDecision(Decision{Verb: "worker-start-unknown", Worker: w.info.ID, Reason: reason, AlwaysLogged: true})
}

// resolveIncarnation takes the first list of an incarnation under its own token: no order
// that was sent before has effect any more, so that runs which are not listed are lost
// with the process that they were ordered to.
func (c *Core) resolveIncarnation(w *worker, report workload.PollReport, now time.Time) {
	w.incarnationUnresolved = false
	var lost []*run
	for _, r := range w.runs {
		switch {
		case r.incarnation == 0 || r.incarnation == w.incarnation:
		case isListed(report.Running, r) || hasExited(report.Exited, r):
			r.incarnation = w.incarnation // its start arrived late
		default:
			lost = append(lost, r)
		}
	}
	if len(lost) > 0 || w.hasBlamedRunsOfEarlierIncarnation() {
		c.handleProcessExit(w, lost, now)
	}
	if !w.restartDetectedAt.IsZero() {
		// An order with a lease by the clock of the process before may have arrived.
		w.extendLease(now.Add(leaseExpiryDelay(c.settings.MaxLeaseDuration)))
	}
}

// hasBlamedRunsOfEarlierIncarnation tells whether it is still unclear if an earlier incarnation of the
// worker has crashed.
func (w *worker) hasBlamedRunsOfEarlierIncarnation() bool {
	return !w.crashUnconfirmedUntil.IsZero() && slices.ContainsFunc(w.blamedRuns, func(r *run) bool { return r.incarnation != 0 && r.incarnation != w.incarnation })
}

// mayOutliveLeases tells whether runs on a worker of which a restart is known may outlive the
// leases that were given: a start that arrived late has its lease cut to the longest one.
func (c *Core) mayOutliveLeases(w *worker, now time.Time) bool {
	return w.incarnationUnresolved && !w.restartDetectedAt.IsZero() && now.Before(w.restartDetectedAt.Add(leaseExpiryDelay(c.settings.MaxLeaseDuration)))
}

// canAcknowledge tells whether an acknowledgement may travel with a poll that is sent now.
func (c *Core) canAcknowledge(w *worker, now time.Time) bool {
	if !w.hasPendingAck() || !w.synced || w.unreachable || w.entryMismatch {
		return false
	}
	reportedAt := w.lastPollAnsweredAt
	if now.Before(c.stalledUntil) {
		reportedAt = w.lastAnsweredPollSentAt // the answer may have lain unread
	}
	return now.Sub(reportedAt) < maxAckReportAge
}

func hasExited(exited []workload.RunExit, r *run) bool {
	return slices.ContainsFunc(exited, func(e workload.RunExit) bool { return e.Run == r.number && e.Task == r.taskKey() })
}

// handleUnreadExit takes that a run has vanished from the worker that had it, which lists no end:
// the end was acknowledged before anybody read it. The task may be done, so that it isn't
// started again unless it may run more than once; and as nothing will ever tell, its job
// ends as failed rather than never.
func (c *Core) handleUnreadExit(r *run, now time.Time) {
	c.Counts.UnreadExits++
	c.recordDecision(Decision{Verb: "end-unread", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "the worker lists neither the run nor its end", Age: now.Sub(r.orderedAt), AlwaysLogged: true})
	c.removeRun(r)
	if r.step.spec.LongRunning || r.step.spec.Speculative || r.task().done {
		return
	}
	c.completeJob(r.step.job, workload.Failed, now)
}

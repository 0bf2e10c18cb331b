package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A worker that restarts may keep its ID, so a process is identified by its ID and its start
// time, the incarnation. The new process has no state of the previous one: it numbers its
// exits from 1, its clock starts anew, and it has seen no fencing token and no stop. The
// worker's registry entry and its reports state the incarnation; answers to other orders
// don't.
//
// Orders that were in flight to the previous process may reach the new one. Three rules make
// them harmless:
//
//   - Each incarnation has its own fencing token. The worker refuses earlier orders once it has
//     carried out a poll with the new token, and no task starts there before the owner has that
//     poll's report.
//   - An acknowledgement is sent only shortly after a report of the same incarnation. Otherwise a
//     new process could apply it to its own exits and drop them unread.
//   - A run that was ordered earlier counts as lost only once the new incarnation's first report
//     shows that the run isn't there.

// maxAckReportAge is the maximum age of a worker's report when an acknowledgement is sent. It is
// shorter than any restart of a process, so the acknowledgement reaches the process that sent the
// report.
const maxAckReportAge = 200 * time.Millisecond

// minClockRegression is how far a worker's clock must go back to count as a restart if the
// incarnation is unknown. Answers that arrive out of order cause smaller steps.
const minClockRegression = time.Second

// isOtherIncarnation reports whether a report comes from another incarnation than the known one.
func (w *worker) isOtherIncarnation(r PollResult) bool {
	if r.Report.Incarnation != 0 {
		return w.incarnation != 0 && r.Report.Incarnation != w.incarnation
	}
	return r.Answer.ClockMS != 0 && w.clockMS-r.Answer.ClockMS > minClockRegression.Milliseconds()
}

// entryMatchesReports reports whether a worker's entry and its reports name the same incarnation.
// An unknown incarnation matches any. If they differ, the entry or the latest report is stale.
//
// A task starts only if they match. The owner gets new entries only while its ownership is
// confirmed. So an owner that has lost its ownership without knowing it can't start tasks on an
// incarnation that the next owner has not polled.
func (w *worker) entryMatchesReports() bool {
	return w.info.Incarnation == 0 || w.incarnation == 0 || w.info.Incarnation == w.incarnation
}

// updateEntry applies a worker's registry entry. The entry may be older or newer than the
// worker's reports, or come from another writer. So an entry with a new incarnation only resets
// maxCapacity, causes a poll, and blocks starts, acknowledgements and renewals of leases until the
// worker has answered one. If the worker was replaced, a change of its entry counts as a restart.
func (c *Core) updateEntry(w *worker, entry workload.Worker, now time.Time) {
	previous := w.info
	w.info = entry
	w.maxCapacity = w.maxCapacity.Max(entry.Capacity)
	if entry.Incarnation != previous.Incarnation {
		w.maxCapacity = entry.Capacity // it may be another VM
		w.entryMismatch = w.entryMismatch || !w.entryMatchesReports()
	}
	if entry.Leaving {
		w.leavingIncarnation = entry.Incarnation
	}
	if w.replaced && previous.Address != "" && (entry.Incarnation != previous.Incarnation || entry.Address != previous.Address) {
		w.replaced = false
		c.handleRestart(w, entry.Incarnation, "another worker had its address, and its entry has changed", now)
	}
}

// handleRestart records that a worker has restarted under its ID, and resets what is known of its
// previous process. Its runs are kept until the first report of the new incarnation.
func (c *Core) handleRestart(w *worker, incarnation int64, reason string, now time.Time) {
	c.Counts.WorkerRestarts++
	if n := w.unansweredStarts(); n > 0 {
		reason += fmt.Sprintf("; %d starts were not answered", n)
	}
	if w.acks.hasOpen(now) {
		reason += fmt.Sprintf("; %d acknowledgements were not answered", len(w.acks.open))
	}
	c.recordDecision(Decision{Verb: "worker-restarted", Worker: w.info.ID, Reason: reason, Age: now.Sub(w.lastReportHandledAt), AlwaysLogged: true})
	c.raiseToken(w)
	w.incarnation = incarnation
	w.incarnationUnresolved = true
	w.restartDetectedAt = now
	w.incarnationFirstSeenAt = now
	w.lastReportHandledAt = now
	w.synced = false
	w.pollInFlight, w.acks.probeInFlight = false, false
	w.nextPollAt = now
	w.clockMS = 0
	w.lastReportClockMS = 0
	w.lastExitSeen, w.ackAllowed, w.ackSent, w.ackConfirmed = 0, 0, 0, 0
	c.setMayDropExits(w, 0)
	if !w.acks.hasOpen(now) && !c.mayHaveEarlierAck(w, now) {
		w.acks.checkedIncarnation = incarnation
	}
	w.bestEffortSpeedPercent, w.speedChangedAt = fullSpeedPercent, time.Time{}
	w.failures = failureTracker{}
	w.startBackoffUntil = time.Time{}
	for _, r := range w.runs {
		r.stopInFlight, r.stopConfirmed = false, false // only the previous process had the stop
	}
	c.recordLongLease(w, now.Add(leaseExpiryDelay(c.settings.MaxLeaseDuration)))
	c.forgetAdvice(w.info.ID)
	c.planStale = true
}

// unansweredStarts returns how many of the worker's runs are not known to have started. The next incarnation may
// carry their starts out.
func (w *worker) unansweredStarts() int {
	n := 0
	for _, r := range w.runs {
		if !r.startConfirmed {
			n++
		}
	}
	return n
}

// restartReason returns why a report with another incarnation counts as a restart.
func restartReason(previous, incarnation int64) string {
	switch {
	case incarnation == 0:
		return "its clock went backwards"
	case incarnation < previous:
		return fmt.Sprintf("it started at %d, before the known incarnation, which started at %d", incarnation, previous)
	default:
		return fmt.Sprintf("it started at %d, after the known incarnation, which started at %d", incarnation, previous)
	}
}

// raiseToken gives a worker the next fencing token. If the epoch has no token left, the owner
// steps down; the next owner has a new epoch.
func (c *Core) raiseToken(w *worker) {
	if w.token+1 >= (c.settings.Epoch+1)*tokensPerEpoch {
		c.StepDown("no fencing token is left for worker " + w.info.ID)
		return
	}
	w.token++
}

// recordIncarnation records which incarnation a report comes from.
func (c *Core) recordIncarnation(w *worker, report workload.PollReport) {
	if report.Incarnation != 0 {
		w.incarnation = report.Incarnation
		return
	}
	if w.incarnationUnknownLogged || report.IncarnationErr == nil && w.incarnation == 0 && w.info.Incarnation == 0 {
		return
	}
	w.incarnationUnknownLogged = true
	reason := "its reports don't state when it started"
	if report.IncarnationErr != nil {
		reason = report.IncarnationErr.Error()
	}
	c.recordDecision(Decision{Verb: "worker-start-unknown", Worker: w.info.ID, Reason: reason, AlwaysLogged: true})
}

// resolveIncarnation handles the first report of an incarnation under its own token. No
// earlier order has an effect any more, so runs that were ordered to a previous process and
// are not listed are lost.
func (c *Core) resolveIncarnation(w *worker, report workload.PollReport, now time.Time) {
	w.incarnationUnresolved = false
	var lost []*run
	for _, r := range w.runs {
		switch {
		case r.incarnation == 0 || r.incarnation == w.incarnation:
		case isListed(report.Running, r) || hasExited(report.Exited, r):
			r.incarnation = w.incarnation // its start reached the new process
			r.minClockMS = 0              // a bound of the previous process's clock
		default:
			lost = append(lost, r)
		}
	}
	if len(lost) > 0 || w.hasUnconfirmedCrashOfEarlierIncarnation() {
		c.handleProcessExit(w, lost, now)
	}
	if c.mayHaveLongLease(w, now) {
		c.recordLongLease(w, now.Add(leaseExpiryDelay(c.settings.MaxLeaseDuration)))
	}
}

// hasUnconfirmedCrashOfEarlierIncarnation reports whether a crash of an earlier incarnation of the
// worker is unconfirmed.
func (w *worker) hasUnconfirmedCrashOfEarlierIncarnation() bool {
	return !w.crashUnconfirmedUntil.IsZero() && slices.ContainsFunc(w.blamedRuns, func(r *run) bool { return r.incarnation != 0 && r.incarnation != w.incarnation })
}

// mayOutliveLeases reports whether runs on a restarted worker may outlive the leases that
// were granted. A start that was sent to the previous process may have reached the new one. Its
// lease then ends far in the future on the new process's clock, and the worker caps the lease at
// MaxLeaseDuration.
func (c *Core) mayOutliveLeases(w *worker, now time.Time) bool {
	return w.incarnationUnresolved && !w.restartDetectedAt.IsZero() && now.Before(w.restartDetectedAt.Add(leaseExpiryDelay(c.settings.MaxLeaseDuration)))
}

// canAcknowledge reports whether a poll that is sent now may carry an acknowledgement.
func (c *Core) canAcknowledge(w *worker, now time.Time) bool {
	if !w.hasPendingAck() || !w.synced || w.unreachable || w.entryMismatch {
		return false
	}
	reportedAt := w.lastReportHandledAt
	if now.Before(c.stalledUntil) {
		reportedAt = w.lastAnsweredPollSentAt // the answer may have waited unread
	}
	return now.Sub(reportedAt) < maxAckReportAge
}

func hasExited(exited []workload.RunExit, r *run) bool {
	return slices.ContainsFunc(exited, func(e workload.RunExit) bool { return e.Run == r.number && e.Task == r.taskKey() })
}

// handleUnreadExit handles a run that has vanished from its worker without a reported exit: the
// exit was acknowledged before an owner read it. The task may be done, so it must not start
// again unless it is long-running or speculative. Its result will never be known, so its job
// fails; otherwise the job would never end.
func (c *Core) handleUnreadExit(r *run, now time.Time) {
	c.Counts.UnreadExits++
	c.recordDecision(Decision{Verb: "end-unread", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "the worker lists neither the run nor its end", Age: now.Sub(r.orderedAt), AlwaysLogged: true})
	c.removeRun(r)
	if r.isExitTrial {
		r.worker.acks.dropsExits = true
		return
	}
	if r.step.mayStartAgain() || r.task().done {
		return
	}
	c.endJob(r.step.job, workload.Failed, now)
}

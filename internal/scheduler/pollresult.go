package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// maxExitsPerReport is the maximum number of exits in one report. More follow once these are
// acknowledged.
const maxExitsPerReport = 500

// unreadJobPollInterval is the pause after a report that names a job which was not read yet: about as long
// as a read of the partition takes.
const unreadJobPollInterval = 20 * time.Millisecond

// PollResult is the outcome of a PollOrder.
type PollResult struct {
	Worker string
	Token  int64
	SentAt time.Time
	Extra  bool // as ordered
	// Probe and AckedUpTo are as ordered.
	Probe     bool
	AckedUpTo int64
	Report    workload.PollReport
	Answer    workload.WorkerAnswer
}

// HandlePollResult handles the outcome of a poll.
func (c *Core) HandlePollResult(r PollResult, now time.Time) {
	if r.Extra {
		c.extraPollsInFlight--
	}
	w := c.workers[r.Worker]
	if w == nil {
		return
	}
	if isFromWorker(r.Answer.Status) {
		w.recordHeard(r.SentAt, now)
	}
	if r.Probe {
		c.handleProbeResult(w, r, now)
		return
	}
	w.acks.close(r)
	// A report is stale if a poll that was sent later has already been answered: runs that it
	// lists may have ended, and its exits will be reported again. The report of a poll that was
	// sent before a restart of the worker was detected is stale, too.
	stale := r.SentAt.Before(w.lastAnsweredPollSentAt) || r.Token < w.token
	if r.Extra {
		w.extraPollsInFlight--
	} else if !stale {
		w.pollInFlight = false
	}
	stale = stale || w.isStaleReport(r)
	if !stale && r.Answer.Status == workload.WorkerOK && w.isOtherIncarnation(r) {
		w.lastAnsweredPollSentAt = r.SentAt
		c.handleRestart(w, r.Report.Incarnation, restartReason(w.incarnation, r.Report.Incarnation), now)
		return
	}
	if r.Token >= w.token {
		w.recordClock(r.Answer.ClockMS, now)
	}
	switch {
	case r.Answer.Status == workload.WorkerFenced:
		c.handleFenced(w, r.Token)
	case r.Answer.Status == workload.WorkerReplaced && r.Token >= w.token:
		c.handleReplaced(w, now)
	case stale:
	case r.Answer.Status == workload.WorkerOK:
		w.lastAnsweredPollSentAt = r.SentAt
		w.lastReportClockMS = r.Answer.ClockMS
		w.pollInFlight = false // the report of an earlier poll will be stale
		c.handlePollReport(w, r, now)
	default:
		c.handlePollFailure(w, r, now)
	}
}

// isStaleReport reports whether a report is older by the worker's clock than the last accepted one.
// The order of the polls does not show that, as an earlier poll may wait longer at the worker.
func (w *worker) isStaleReport(r PollResult) bool {
	return r.Answer.Status == workload.WorkerOK && r.Answer.ClockMS < w.lastReportClockMS && !w.isOtherIncarnation(r)
}

// handlePollFailure handles a poll that got no usable answer.
func (c *Core) handlePollFailure(w *worker, r PollResult, now time.Time) {
	w.lastUnansweredPollSentAt = r.SentAt
	w.nextPollAt = now.Add(pollRetryInterval)
	if !w.unreachable {
		if !w.isDrainingAndIdle(now) {
			c.recordDecision(Decision{Verb: "worker-silent", Worker: w.info.ID, Reason: answerReason(r.Answer), Age: now.Sub(w.lastReportHandledAt), AlwaysLogged: true})
		}
		w.markUnreachable(now)
		w.nextPollAt = now.Add(firstPollRetryInterval)
	}
	w.connectionRefused = r.Answer.Status == workload.WorkerConnRefused
	if w.connectionRefused {
		c.recordUnconfirmedCrash(w, now)
	}
}

// handleFenced steps down if a later owner has sent orders to the worker. An order that was
// refused because this owner has raised its own token meanwhile has no further effect.
func (c *Core) handleFenced(w *worker, token int64) {
	if token >= w.token {
		c.StepDown("worker " + w.info.ID + " has seen a higher fencing token")
	}
}

// handleReplaced records that another worker, with another ID, answers at a worker's address. So the
// worker's process and its runs have ended. The worker is not polled again until its entry changes.
func (c *Core) handleReplaced(w *worker, now time.Time) {
	if w.replaced {
		return
	}
	w.replaced = true
	c.handleProcessExit(w, w.runs, now)
}

// handlePollReport handles the report of an answered poll. It leaves a report that names an unread job,
// whose run would be stopped and whose exit dropped, to the next poll.
func (c *Core) handlePollReport(w *worker, r PollResult, now time.Time) {
	if c.namesUnreadJob(r.Report) {
		w.nextPollAt = now.Add(unreadJobPollInterval)
		return
	}
	c.recordIncarnation(w, r.Report)
	c.checkOpenAcks(w, r.Report.Incarnation, now)
	if w.incarnationUnresolved {
		c.resolveIncarnation(w, r.Report, now)
	}
	if !r.Extra {
		w.ackConfirmed = max(w.ackConfirmed, w.ackSent)
	}
	w.lastReportHandledAt = now
	w.unreachable = false
	w.connectionRefused = false
	w.entryMismatch = false
	c.retractUnconfirmedCrash(w)
	w.nextPollAt = now.Add(minPollInterval + time.Duration(len(c.sortedWorkers))*pollIntervalPerWorker)
	for _, e := range r.Report.Exited {
		if w.acks.mayDropExitsUpTo > 0 {
			c.setMayDropExits(w, 0) // it would have dropped this one, or drops none from here on
		}
		if e.Sequence > w.lastExitSeen {
			w.lastExitSeen = e.Sequence
			c.handleExit(w, e, now)
		}
	}
	switch {
	case w.hasPendingAck() && w.lastExitSeen == w.ackAllowed:
		w.nextPollAt = now
	case len(r.Report.Exited) > 0 || w.acks.mayDropExitsUpTo > 0:
		w.nextPollAt = now.Add(unackedPollInterval)
	}
	for _, listed := range r.Report.Running {
		c.handleListedRun(w, listed, r.SentAt, now)
	}
	if len(r.Report.Exited) < maxExitsPerReport {
		c.handleMissingRuns(w, r, now)
	}
	if !w.synced {
		w.synced = true
		c.unresolved.resolve(w.info.ID)
		c.retractSilentLosses(w)
		c.recordDecision(Decision{Verb: "worker-synced", Worker: w.info.ID, Reason: "answered under the owner's token", Age: now.Sub(w.incarnationFirstSeenAt)})
	}
	c.throttleBestEffort(w, now)
	c.planStale = true
}

// handleListedRun handles a run that a worker lists in answer to a poll sent at sentAt.
func (c *Core) handleListedRun(w *worker, listed workload.ListedRun, sentAt, now time.Time) {
	r := w.findRun(listed.Task, listed.Run)
	if r == nil {
		r = c.addListedRun(w, listed, now)
		if r == nil {
			return
		}
	}
	if r.state == runStarting || r.state == runUnconfirmed {
		r.state = runRunning
		r.stateChangedAt = now
	}
	r.startConfirmed = true
	c.endExitTrial(r)
	r.confirmedRunning = !sentAt.Before(r.mayBeStoppingUntil)
	r.speedPercent = listed.SpeedPercent
	r.latencyOrCPU = listed.LatencyOrCPU
	r.checkpoint = listed.Checkpoint
	if listed.Checkpoint != "" {
		r.task().checkpoint = listed.Checkpoint
		r.step.checkpoint = listed.Checkpoint
	}
	c.recordRunProgress(r, sentAt, now)
	if r.state == runStopping && c.canRetryStop(r, now) {
		c.sendStop(r, now)
	}
}

// addListedRun adds a run that an earlier owner started and this owner learns of from a worker's
// report. It stops the run if the task is done, its job has ended or the task has another run. If the
// task is unknown, it orders a stop and returns nil.
func (c *Core) addListedRun(w *worker, listed workload.ListedRun, now time.Time) *run {
	s, t := c.findTask(listed.Task)
	if s == nil {
		c.orders.Stops = append(c.orders.Stops, StopOrder{Worker: w.info, Task: listed.Task, Run: listed.Run, Token: w.token})
		return nil
	}
	r := &run{step: s, index: listed.Task.Index, number: listed.Run, worker: w, incarnation: w.incarnation, state: runRunning, stateChangedAt: now, orderedAt: now, orderedSpeedPercent: fullSpeedPercent, inherited: true, fromReportOnly: true, mayBeStoppingUntil: now.Add(c.settings.MaxStopDuration + stopSlack)}
	if !s.spec.Speculative {
		c.dropEarlierRuns(t, listed.Run)
	}
	others := len(t.runs)
	w.extendLease(now.Add(leaseExpiryDelay(c.settings.LeaseDuration))) // the earlier owner may have renewed it just now
	w.addRun(r)
	switch {
	case s.job.finalState.IsTerminal() || t.done:
		c.stopRun(r, "no longer needed")
	case others > 0 && !s.spec.Speculative:
		c.Counts.DuplicateRuns++
		c.recordDecision(Decision{Verb: "second-run", Job: s.job.id, Task: r.taskKey().String(), Worker: w.info.ID, Run: r.number, Reason: fmt.Sprintf("run %d of the task is on %s", t.runs[0].number, t.runs[0].worker.info.ID), Age: now.Sub(c.tookOverAt), AlwaysLogged: true})
		c.stopRun(r, "runs elsewhere")
	}
	return r
}

// dropEarlierRuns removes a task's runs with lower numbers that earlier owners left and that no
// worker has listed. A task starts again only once its previous run is known to have ended, so a
// listed run with a higher number proves that the earlier ones have ended. The owner that knew of
// their end may have been lost before it stored it.
func (c *Core) dropEarlierRuns(t *task, number int64) {
	for _, r := range slices.Clone(t.runs) {
		if r.number < number && r.state == runUnconfirmed && (r.inherited || r.fromCrashRecord) {
			c.recordDecision(Decision{Verb: "run-over", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "a later run of the task is listed"})
			c.removeRun(r)
		}
	}
}

// handleMissingRuns handles the runs that the worker's report does not list.
func (c *Core) handleMissingRuns(w *worker, result PollResult, now time.Time) {
	for _, r := range slices.Clone(w.runs) {
		if r.stateChangedAt.After(result.SentAt) || r.state == runStarting || isListed(result.Report.Running, r) {
			continue
		}
		switch {
		case r.state == runUnconfirmed:
			// Its start may not have been carried out yet. Once the worker has accepted a stop,
			// it won't carry the start out later.
			c.stopRun(r, "its worker doesn't list it")
			c.sendStop(r, now)
		case r.state == runStopping && !r.stopConfirmed:
			c.sendStop(r, now)
		case r.startConfirmed && !r.fromReportOnly:
			c.handleUnreadExit(r, now)
		default:
			c.removeRun(r)
		}
	}
}

// isListed reports whether a worker lists the run as running.
func isListed(running []workload.ListedRun, r *run) bool {
	return slices.ContainsFunc(running, func(listed workload.ListedRun) bool { return listed.Run == r.number && listed.Task == r.taskKey() })
}

// handleExit handles the exit of a run.
func (c *Core) handleExit(w *worker, exit workload.RunExit, now time.Time) {
	runDuration := time.Duration(0)
	r := w.findRun(exit.Task, exit.Run)
	if r != nil {
		runDuration = now.Sub(r.orderedAt)
		c.removeRun(r)
	}
	s, t := c.findTask(exit.Task)
	if s == nil || s.job.submission == nil {
		return
	}
	if r == nil && len(t.runs) > 0 && !s.spec.Speculative && exit.Reason != workload.ExitLeaseExpired {
		c.recordDecision(Decision{Verb: "exit-beside-run", Job: s.job.id, Task: exit.Task.String(), Worker: w.info.ID, Run: exit.Run, Reason: fmt.Sprintf("ended as %s; run %d of the task is on %s", exit.Reason, t.runs[0].number, t.runs[0].worker.info.ID), AlwaysLogged: true})
	}
	if exit.Checkpoint != "" {
		t.checkpoint = exit.Checkpoint
		s.checkpoint = exit.Checkpoint
	}
	w.recordExit(exit.Reason, s, runDuration, now)
	switch {
	case s.job.finalState.IsTerminal() || t.done:
	case exit.Reason == workload.ExitDone && !s.spec.LongRunning:
		c.completeTask(s, exit.Task.Index, now)
	case exit.Reason == workload.ExitFailed:
		c.recordFailedRun(w, s, t, exit, runDuration, now)
	case exit.Reason == workload.ExitLeaseExpired:
		c.Counts.ExpiredRuns++
	}
	c.planStale = true
}

// completeTask marks a task as done. In a gang one completed task completes all.
func (c *Core) completeTask(s *step, index int, now time.Time) {
	t := s.task(index)
	c.Counts.DoneTasks++
	if s.spec.Gang {
		for i := range s.tasks {
			c.markDone(s, i, now)
		}
	} else {
		c.markDone(s, index, now)
	}
	for _, r := range t.runs {
		c.stopRun(r, "another copy is done")
	}
	c.dirtyJobs[s.job.id] = s.job
	if s.doneCount == len(s.tasks) {
		c.requestRerank(s) // the next step may be ready, and less work is left
	}
	if s.job.remainingTasks == 0 {
		c.endJob(s.job, workload.Completed, now)
	}
}

// markDone marks a task as done. A task that is done has caused none of the crashes that it was blamed for.
func (c *Core) markDone(s *step, index int, now time.Time) {
	t := s.task(index)
	s.markDone(t)
	if len(t.crashes) > 0 {
		c.exonerate(s.taskKey(index), t.crashes, now)
	}
	s.releaseDone(index)
}

// recordFailedRun records a run that failed by its task's own fault, and fails the job once the
// task, or the gang as a whole, has failed MaxAttempts times. Long-running tasks have no limit.
func (c *Core) recordFailedRun(w *worker, s *step, t *task, exit workload.RunExit, runDuration time.Duration, now time.Time) {
	c.Counts.FailedRuns++
	t.avoidWorker = w.info.ID
	t.avoidUntil = now.Add(avoidWorkerDuration)
	if s.spec.LongRunning {
		t.delayRestart(s, runDuration, now)
		return // its attempts are not limited
	}
	if slices.Contains(t.failedRuns, exit.Run) {
		return
	}
	t.failedRuns = append(t.failedRuns, exit.Run)
	c.dirtyJobs[s.job.id] = s.job
	maxAttempts := s.job.maxAttempts()
	if s.failedRunCount() >= maxAttempts && s.spec.Gang || len(t.failedRuns) >= maxAttempts {
		c.endJob(s.job, workload.Failed, now)
	}
}

// avoidWorkerDuration is how long a task that failed on a worker starts only on other workers, unless
// it is long-running. After that it may start there again, because the failure may be the task's own fault.
const avoidWorkerDuration = time.Second

// defaultMaxAttempts applies if the queue sets no limit.
const defaultMaxAttempts = 2

// maxAttempts returns how often a task of the job may fail. If its queue was removed, the limit stays as it was when
// the job was accepted.
func (j *job) maxAttempts() int {
	limit := j.submission.MaxAttempts
	if j.queue != nil {
		limit = j.queue.MaxAttempts
	}
	if limit <= 0 {
		return defaultMaxAttempts
	}
	return limit
}

// failedRunCount returns the number of failed runs of a gang. Its members share a run number
// and count once.
func (s *step) failedRunCount() int {
	seen := map[int64]bool{}
	for i := range s.tasks {
		for _, n := range s.peek(i).failedRuns {
			seen[n] = true
		}
	}
	return len(seen)
}
